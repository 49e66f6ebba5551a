import {createServer} from 'node:http';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import {json, text} from 'node:stream/consumers';
import {setTimeout as sleep} from 'node:timers/promises';
import {Agent, request} from 'undici';
import {z} from 'zod';
import type {SharedConfiguration, Upstream} from '../common/configuration/types.js';
import type {Disposable} from '../common/core/disposable.js';
import {decodeEventSchema, prefillReplySchema} from '../common/upstreams/engine-api.js';
import {estimateTokens} from '../common/upstreams/prompt-prefix.js';
import {sseData} from './sse.js';

/** Settings file of a baseline process. */
export const baselineSettingsSchema = z.strictObject({
	vm: z.string(),
	callers: z.string(),
	operators: z.string(),
	entryPoints: z.array(z.strictObject({address: z.string(), zone: z.string()})).min(1),
	/** Path of the shared configuration. */
	configuration: z.string(),
	/** Tenants by key. */
	keys: z.record(z.string(), z.string()),
});

export type BaselineSettings = z.infer<typeof baselineSettingsSchema>;

const chatRequestSchema = z.looseObject({
	model: z.string(),
	messages: z.array(z.looseObject({content: z.string()})),
	max_tokens: z.int().optional(), // eslint-disable-line @typescript-eslint/naming-convention -- field of the chat API
});

type ModelRun = {
	readonly requestId: string;
	readonly service: string;
	readonly model: string;
	readonly prompt: string;
	readonly maxTokens: number;
	/** Engines that may hold memory of the request. */
	readonly engines: Set<string>;
	readonly abort: AbortController;
};

/** How long callers keep the list of entry points, in milliseconds. */
const validForMs = 5000;
/** Pause before an import is tried on the next engine, and how often, so that it ends with the result's lifetime. */
const importPauseMs = 50;
const importAttempts = 14;
const prefillAttempts = 2;

/** A refusal with a status; `isUnknown` when the request may have run. */
class Refusal extends Error {
	constructor(readonly status: number, readonly code: string, readonly isUnknown = false) {
		super(code);
	}
}

class LocalBucket {
	private _level: number;
	private _lastMs = performance.now();

	constructor(private readonly _rate: number, private readonly _burst: number) {
		this._level = _burst;
	}

	take(cost: number): boolean {
		const nowMs = performance.now();
		this._level = Math.min(this._burst, this._level + (this._rate * (nowMs - this._lastMs) / 1000));
		this._lastMs = nowMs;
		if (this._level < cost) {
			return false;
		}

		this._level -= cost;
		return true;
	}
}

/**
A plain router for comparison: round robin, first come first served, no reservation of decode slots or link time,
and local limits of rate and burst divided by the number of entry processes.
*/
export class BaselineRouter implements Disposable {
	private readonly _agent = new Agent({connections: 512, pipelining: 1});
	private readonly _servers: Server[] = [];
	private readonly _buckets = new Map<string, LocalBucket>();
	private readonly _turns = new Map<string, number>();
	private _nextId = 1;

	constructor(private readonly _settings: BaselineSettings, private readonly _configuration: SharedConfiguration) {
		const share = 1 / _settings.entryPoints.length;
		for (const [tenant, {rate, burst}] of Object.entries(_configuration.tenants)) {
			this._buckets.set(tenant, new LocalBucket(rate * share, burst * share));
		}
	}

	async start(): Promise<void> {
		await this._listen(this._settings.callers, async (req, res) => this._serve(req, res));
		await this._listen(this._settings.operators, async (_req, res) => {
			res.end('ready');
		});
	}

	async dispose(): Promise<void> {
		for (const server of this._servers) {
			server.close();
			server.closeAllConnections();
		}

		await this._agent.destroy();
	}

	private async _listen(address: string, serve: (req: IncomingMessage, res: ServerResponse) => Promise<void>): Promise<void> {
		const server = createServer(serve);
		this._servers.push(server);
		const [host, port] = address.split(':') as [string, string];
		await new Promise<void>((resolve, reject) => {
			server.once('error', reject);
			server.listen(Number(port), host, resolve);
		});
	}

	private async _serve(req: IncomingMessage, res: ServerResponse): Promise<void> {
		const url = new URL(req.url ?? '/', 'http://entry');
		try {
			if (url.pathname === '/v1/entry-points') {
				this._reply(res, 200, {entryPoints: this._settings.entryPoints, validForMs});
			} else if (url.pathname === '/v1/chat/completions') {
				await this._serveModel(req, res);
			} else {
				await this._servePlain(req, res, url);
			}
		} catch (err) {
			this._refuse(res, err instanceof Refusal ? err : new Refusal(502, 'upstream-failed', true));
		}
	}

	private _reply(res: ServerResponse, status: number, body: unknown): void {
		res.writeHead(status, {'content-type': 'application/json'});
		res.end(JSON.stringify(body));
	}

	private _refuse(res: ServerResponse, {status, code, isUnknown}: Refusal): void {
		if (res.headersSent) {
			res.destroy();
		} else {
			this._reply(res, status, {
				type: 'about:blank', title: code, status, detail: code, code, run: isUnknown ? 'unknown' : 'not-run',
			});
		}
	}

	private _tenant(req: IncomingMessage): string {
		const tenant = this._settings.keys[(req.headers.authorization ?? '').replace('Bearer ', '')];
		if (tenant === undefined) {
			throw new Refusal(401, 'unknown-key');
		}

		return tenant;
	}

	private _take(tenant: string, cost: number): void {
		if (!this._buckets.get(tenant)?.take(cost)) {
			throw new Refusal(429, 'rate-exceeded');
		}
	}

	/** The next upstream of a service in turn. */
	private _next(service: string, isSuitable: (role: Upstream['role']) => boolean): string {
		const pool = Object.values(this._configuration.upstreams).filter(upstream => upstream.service === service && isSuitable(upstream.role));
		const turnKey = `${service}/${pool[0]?.role}`;
		const turn = this._turns.get(turnKey) ?? 0;
		this._turns.set(turnKey, turn + 1);
		const upstream = pool[turn % pool.length];
		if (!upstream) {
			throw new Refusal(503, 'no-upstream');
		}

		return upstream.address;
	}

	private async _servePlain(req: IncomingMessage, res: ServerResponse, url: URL): Promise<void> {
		const [, prefix, name = '', ...rest] = url.pathname.split('/');
		const path = `/${rest.join('/')}`;
		const service = this._configuration.services[name];
		const route = service?.kind === 'plain' ? service.routes.find(candidate => path.startsWith(candidate.path)) : undefined;
		if (prefix !== 's' || !route) {
			throw new Refusal(404, 'unknown-route');
		}

		if (!route.open) {
			this._take(this._tenant(req), route.cost);
		}

		const key = req.headers['idempotency-key'] as string | undefined;
		const upstream = await request(`http://${this._next(name, role => role === 'plain')}${path}${url.search}`, {
			method: req.method as 'GET' | 'POST',
			dispatcher: this._agent,
			headers: key === undefined ? {} : {'idempotency-key': key},
			...(req.method === 'POST' && {body: await text(req)}),
		});
		res.writeHead(upstream.statusCode, {'content-type': 'application/json'});
		res.end(await upstream.body.text());
	}

	private async _serveModel(req: IncomingMessage, res: ServerResponse): Promise<void> {
		const chat = chatRequestSchema.parse(await json(req));
		const service = this._configuration.services[chat.model];
		if (service?.kind !== 'model') {
			throw new Refusal(404, 'unknown-model');
		}

		const prompt = chat.messages.map(({content}) => content).join('\n');
		const maxTokens = chat.max_tokens ?? service.maxTokens;
		this._take(this._tenant(req), estimateTokens(prompt) + maxTokens);
		const run: ModelRun = {
			requestId: `${this._settings.vm}-${this._nextId++}`, service: chat.model, model: service.model, prompt, maxTokens, engines: new Set(), abort: new AbortController(),
		};
		res.once('close', () => {
			run.abort.abort();
		});
		try {
			const decoder = await this._placeByTrial(run);
			await this._stream(run, decoder, res);
		} finally {
			await this._cancel(run);
		}
	}

	private async _post(run: ModelRun, engine: string, path: string, body: unknown): Promise<{status: number; body: unknown}> {
		run.engines.add(engine);
		const res = await request(`http://${engine}${path}`, {
			method: 'POST', dispatcher: this._agent, body: JSON.stringify(body), signal: run.abort.signal,
		});
		return {status: res.statusCode, body: await res.body.json()};
	}

	/** Prefills first and then looks for a decode engine with a free slot, until the result has expired. */
	private async _placeByTrial(run: ModelRun): Promise<string> {
		const owner = {vm: this._settings.vm, incarnation: 1};
		const {requestId, model, prompt} = run;
		for (let attempt = 0; attempt < prefillAttempts; attempt++) {
			const source = this._next(run.service, role => role !== 'decode');
			const prefill = await this._post(run, source, '/v1/prefill', {
				requestId, owner, model, prompt, priority: 5,
			});
			if (prefill.status !== 200) {
				continue;
			}

			const {handle} = prefillReplySchema.parse(prefill.body);
			for (let trial = 0; trial < importAttempts; trial++) {
				const decoder = this._next(run.service, role => role !== 'prefill');
				const imported = await this._post(run, decoder, '/v1/kv/import', {
					requestId, owner, source, handle,
				});
				if (imported.status === 200) {
					return decoder;
				}

				if (imported.status === 410) {
					break;
				}

				await sleep(importPauseMs);
			}
		}

		throw new Refusal(503, 'overloaded');
	}

	private async _stream(run: ModelRun, decoder: string, res: ServerResponse): Promise<void> {
		const {requestId, maxTokens} = run;
		const upstream = await request(`http://${decoder}/v1/decode`, {
			method: 'POST',
			dispatcher: this._agent,
			signal: run.abort.signal,
			body: JSON.stringify({
				requestId, owner: {vm: this._settings.vm, incarnation: 1}, maxTokens, after: 0,
			}),
		});
		res.writeHead(200, {'content-type': 'text/event-stream'});
		for await (const data of sseData(upstream.body)) {
			const event = decodeEventSchema.parse(JSON.parse(data));
			if ('end' in event) {
				res.end('data: [DONE]\n\n');
				return;
			}

			res.write(`data: ${JSON.stringify({id: requestId, choices: [{index: 0, delta: {content: event.text}}]})}\n\n`);
		}

		res.destroy();
	}

	private async _cancel({requestId, engines}: ModelRun): Promise<void> {
		await Promise.allSettled([...engines].map(async engine => {
			const {body} = await request(`http://${engine}/v1/requests/${requestId}`, {method: 'DELETE', dispatcher: this._agent});
			await body.dump();
		}));
	}
}
