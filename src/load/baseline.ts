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
import {readSseData} from './sse.js';

/** Schema of the settings file of a baseline router process. */
export const baselineSettingsSchema = z.strictObject({
	vm: z.string(),
	callers: z.string(),
	operators: z.string(),
	entryPoints: z.array(z.strictObject({address: z.string(), zone: z.string()})).min(1),
	/** Path of the shared configuration file. */
	configuration: z.string(),
	/** Customers by API key. */
	keys: z.record(z.string(), z.string()),
});

export type BaselineSettings = z.infer<typeof baselineSettingsSchema>;

const chatRequestSchema = z.looseObject({
	model: z.string(),
	messages: z.array(z.looseObject({content: z.string()})),
	max_tokens: z.int().optional(), // eslint-disable-line @typescript-eslint/naming-convention -- field of the chat API
});

type ModelRequest = {
	readonly requestId: string;
	readonly service: string;
	readonly model: string;
	readonly prompt: string;
	readonly maxTokens: number;
	/** Addresses of the engines that may hold KV cache memory for the request. */
	readonly engines: Set<string>;
	readonly abort: AbortController;
};

/** Time for which callers may cache the list of entry points, in milliseconds. */
const validForMs = 5000;
/** Delay before an import is tried on the next decode engine, in milliseconds. All attempts together cover the lifetime of a prefill result. */
const importRetryDelayMs = 50;
/** Maximum number of attempts to import one prefill result. */
const maxImportAttempts = 14;
/** Maximum number of prefills that are started for one request. */
const maxPrefillAttempts = 2;

/** Error that makes the router refuse a request with an HTTP status and a code. `mayHaveRun` tells whether the request may have run. */
class RefusalError extends Error {
	constructor(readonly status: number, readonly code: string, readonly mayHaveRun = false) {
		super(code);
	}
}

class LocalTokenBucket {
	private _level: number;
	private _lastMs = performance.now();

	constructor(private readonly _rate: number, private readonly _burst: number) {
		this._level = _burst;
	}

	tryTake(cost: number): boolean {
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
Simple router used as a baseline. It selects upstreams round robin, serves requests in order of arrival and reserves neither decode
slots nor link time. Each entry process enforces the rate and burst of every customer, both divided by the number of entry processes.
*/
export class BaselineRouter implements Disposable {
	private readonly _agent = new Agent({connections: 512, pipelining: 1});
	private readonly _servers: Server[] = [];
	private readonly _buckets = new Map<string, LocalTokenBucket>();
	private readonly _turnCounters = new Map<string, number>();
	private _nextId = 1;

	constructor(private readonly _settings: BaselineSettings, private readonly _configuration: SharedConfiguration) {
		const share = 1 / _settings.entryPoints.length;
		for (const [customer, {rate, burst}] of Object.entries(_configuration.tenants)) {
			this._buckets.set(customer, new LocalTokenBucket(rate * share, burst * share));
		}
	}

	async start(): Promise<void> {
		await this._listen(this._settings.callers, async (req, res) => this._handleRequest(req, res));
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

	private async _handleRequest(req: IncomingMessage, res: ServerResponse): Promise<void> {
		const url = new URL(req.url ?? '/', 'http://entry');
		try {
			if (url.pathname === '/v1/entry-points') {
				this._sendJson(res, 200, {entryPoints: this._settings.entryPoints, validForMs});
			} else if (url.pathname === '/v1/chat/completions') {
				await this._handleModelRequest(req, res);
			} else {
				await this._handlePlainRequest(req, res, url);
			}
		} catch (err) {
			this._sendRefusal(res, err instanceof RefusalError ? err : new RefusalError(502, 'upstream-failed', true));
		}
	}

	private _sendJson(res: ServerResponse, status: number, body: unknown): void {
		res.writeHead(status, {'content-type': 'application/json'});
		res.end(JSON.stringify(body));
	}

	private _sendRefusal(res: ServerResponse, {status, code, mayHaveRun}: RefusalError): void {
		if (res.headersSent) {
			res.destroy();
		} else {
			this._sendJson(res, status, {
				type: 'about:blank', title: code, status, detail: code, code, run: mayHaveRun ? 'unknown' : 'not-run',
			});
		}
	}

	private _authenticate(req: IncomingMessage): string {
		const customer = this._settings.keys[(req.headers.authorization ?? '').replace('Bearer ', '')];
		if (customer === undefined) {
			throw new RefusalError(401, 'unknown-key');
		}

		return customer;
	}

	private _takeTokens(customer: string, cost: number): void {
		if (!this._buckets.get(customer)?.tryTake(cost)) {
			throw new RefusalError(429, 'rate-exceeded');
		}
	}

	/** Selects the next upstream of a service with a suitable role, in round-robin order, and returns its address. Throws a `RefusalError` if there is none. */
	private _nextUpstream(service: string, isSuitable: (role: Upstream['role']) => boolean): string {
		const pool = Object.values(this._configuration.upstreams).filter(upstream => upstream.service === service && isSuitable(upstream.role));
		const turnKey = `${service}/${pool[0]?.role}`;
		const turn = this._turnCounters.get(turnKey) ?? 0;
		this._turnCounters.set(turnKey, turn + 1);
		const upstream = pool[turn % pool.length];
		if (!upstream) {
			throw new RefusalError(503, 'no-upstream');
		}

		return upstream.address;
	}

	private async _handlePlainRequest(req: IncomingMessage, res: ServerResponse, url: URL): Promise<void> {
		const [, prefix, name = '', ...rest] = url.pathname.split('/');
		const path = `/${rest.join('/')}`;
		const service = this._configuration.services[name];
		const route = service?.kind === 'plain' ? service.routes.find(candidate => path.startsWith(candidate.path)) : undefined;
		if (prefix !== 's' || !route) {
			throw new RefusalError(404, 'unknown-route');
		}

		if (!route.open) {
			this._takeTokens(this._authenticate(req), route.cost);
		}

		const key = req.headers['idempotency-key'] as string | undefined;
		const upstream = await request(`http://${this._nextUpstream(name, role => role === 'plain')}${path}${url.search}`, {
			method: req.method as 'GET' | 'POST',
			dispatcher: this._agent,
			headers: key === undefined ? {} : {'idempotency-key': key},
			...(req.method === 'POST' && {body: await text(req)}),
		});
		res.writeHead(upstream.statusCode, {'content-type': 'application/json'});
		res.end(await upstream.body.text());
	}

	private async _handleModelRequest(req: IncomingMessage, res: ServerResponse): Promise<void> {
		const chat = chatRequestSchema.parse(await json(req));
		const service = this._configuration.services[chat.model];
		if (service?.kind !== 'model') {
			throw new RefusalError(404, 'unknown-model');
		}

		const prompt = chat.messages.map(({content}) => content).join('\n');
		const maxTokens = chat.max_tokens ?? service.maxTokens;
		this._takeTokens(this._authenticate(req), estimateTokens(prompt) + maxTokens);
		const modelRequest: ModelRequest = {
			requestId: `${this._settings.vm}-${this._nextId++}`, service: chat.model, model: service.model, prompt, maxTokens, engines: new Set(), abort: new AbortController(),
		};
		res.once('close', () => {
			modelRequest.abort.abort();
		});
		try {
			const decoder = await this._prefillAndImport(modelRequest);
			await this._streamAnswer(modelRequest, decoder, res);
		} finally {
			await this._cancelOnEngines(modelRequest);
		}
	}

	private async _post(req: ModelRequest, engine: string, path: string, body: unknown): Promise<{status: number; body: unknown}> {
		req.engines.add(engine);
		const res = await request(`http://${engine}${path}`, {
			method: 'POST', dispatcher: this._agent, body: JSON.stringify(body), signal: req.abort.signal,
		});
		return {status: res.statusCode, body: await res.body.json()};
	}

	/**
	Runs a prefill, then tries decode engines in turn until one accepts the import. Starts another prefill if no decode engine does so before the prefill result expires.
	Returns the address of the decode engine. Throws a `RefusalError` after `maxPrefillAttempts` prefills.
	*/
	private async _prefillAndImport(req: ModelRequest): Promise<string> {
		const owner = {vm: this._settings.vm, incarnation: 1};
		const {requestId, model, prompt} = req;
		for (let attempt = 0; attempt < maxPrefillAttempts; attempt++) {
			const source = this._nextUpstream(req.service, role => role !== 'decode');
			const prefill = await this._post(req, source, '/v1/prefill', {
				requestId, owner, model, prompt, priority: 5,
			});
			if (prefill.status !== 200) {
				continue;
			}

			const {handle} = prefillReplySchema.parse(prefill.body);
			for (let importAttempt = 0; importAttempt < maxImportAttempts; importAttempt++) {
				const decoder = this._nextUpstream(req.service, role => role !== 'prefill');
				const imported = await this._post(req, decoder, '/v1/kv/import', {
					requestId, owner, source, handle,
				});
				if (imported.status === 200) {
					return decoder;
				}

				if (imported.status === 410) {
					break;
				}

				await sleep(importRetryDelayMs);
			}
		}

		throw new RefusalError(503, 'overloaded');
	}

	private async _streamAnswer(req: ModelRequest, decoder: string, res: ServerResponse): Promise<void> {
		const {requestId, maxTokens} = req;
		const upstream = await request(`http://${decoder}/v1/decode`, {
			method: 'POST',
			dispatcher: this._agent,
			signal: req.abort.signal,
			body: JSON.stringify({
				requestId, owner: {vm: this._settings.vm, incarnation: 1}, maxTokens, after: 0,
			}),
		});
		res.writeHead(200, {'content-type': 'text/event-stream'});
		for await (const data of readSseData(upstream.body)) {
			const event = decodeEventSchema.parse(JSON.parse(data));
			if ('end' in event) {
				res.end('data: [DONE]\n\n');
				return;
			}

			res.write(`data: ${JSON.stringify({id: requestId, choices: [{index: 0, delta: {content: event.text}}]})}\n\n`);
		}

		res.destroy();
	}

	private async _cancelOnEngines({requestId, engines}: ModelRequest): Promise<void> {
		await Promise.allSettled([...engines].map(async engine => {
			const {body} = await request(`http://${engine}/v1/requests/${requestId}`, {method: 'DELETE', dispatcher: this._agent});
			await body.dump();
		}));
	}
}
