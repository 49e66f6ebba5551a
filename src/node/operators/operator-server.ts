import {Buffer} from 'node:buffer';
import {createHash, timingSafeEqual} from 'node:crypto';
import {createServer} from 'node:http';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';
import restana from 'restana';
import type {z} from 'zod';
import type {Disposable} from '../../common/core/disposable.js';
import {
	configApplySchema, drainSetSchema, keyIssueSchema, keyWithdrawSchema, memberChangeSchema, orderSubmitSchema,
} from '../../common/services/operator-service.js';
import type {OperatorProblem, OperatorResult, OperatorService} from '../../common/services/operator-service.js';
import {joinAddress, splitAddress} from '../address.js';
import type {PromMetrics} from '../observability/prom-metrics.js';

/** Maximum size of a request body, in bytes. */
const maxBodyBytes = 5_242_880;
/** Timeout for receiving a request, in milliseconds. */
const requestTimeoutMs = 10_000;

export type OperatorServerOptions = {
	/** IP address and port to listen on. */
	readonly listen: string;
	/** Bearer token that requests must carry, except those for health, readiness and metrics. */
	readonly token: string;
	readonly service: OperatorService;
	readonly metrics: PromMetrics;
	/** Returns why the process is not ready; undefined if it is ready. */
	readonly getNotReadyReason: () => string | undefined;
	/** Returns the state dump of the process, which must not contain secrets. */
	readonly dump: () => unknown;
};

type Handler = (req: IncomingMessage, query: URLSearchParams) => Promise<OperatorResult>;

function problemResult(status: number, code: string, detail: string): OperatorResult & {ok: false} {
	return {ok: false, problem: {status, code, detail}};
}

function sendJson(res: ServerResponse, status: number, contentType: string, body: unknown): void {
	res.writeHead(status, {'content-type': contentType});
	res.end(stringifyState(body));
}

/** Converts a value to JSON, with maps as objects and sets as arrays. */
export function stringifyState(body: unknown): string {
	return JSON.stringify(body, (_key, value: unknown) => {
		if (value instanceof Map) {
			return Object.fromEntries(value as Map<string, unknown>);
		}

		return value instanceof Set ? [...value as Set<unknown>] : value;
	});
}

function sendProblem(res: ServerResponse, {status, code, detail, ...rest}: OperatorProblem): void {
	sendJson(res, status, 'application/problem+json', {
		type: `urn:jasminehead:problem:${code}`, title: code, status, detail, code, ...rest,
	});
}

async function readBody(req: IncomingMessage): Promise<string> {
	const chunks: Uint8Array[] = [];
	let size = 0;
	for await (const chunk of req as AsyncIterable<Uint8Array>) {
		size += chunk.length;
		if (size > maxBodyBytes) {
			throw new RangeError(`the body is over ${maxBodyBytes} bytes`);
		}

		chunks.push(chunk);
	}

	return Buffer.concat(chunks).toString('utf8');
}

/** HTTP server for operators: metrics, health, readiness, the state dump, and queries and changes of the shared state. */
export class OperatorServer implements Disposable {
	static async listen(options: OperatorServerOptions): Promise<OperatorServer> {
		const server = new OperatorServer(options);
		const {host, port} = splitAddress(options.listen);
		await new Promise<void>((resolve, reject) => {
			server._server.once('error', reject);
			server._server.listen(port, host, resolve);
		});
		return server;
	}

	private readonly _server: Server;
	private readonly _tokenDigest: Uint8Array;

	private constructor(private readonly _options: OperatorServerOptions) {
		this._tokenDigest = createHash('sha256').update(_options.token).digest();
		this._server = createServer({requestTimeout: requestTimeoutMs, headersTimeout: requestTimeoutMs});
		const app = restana({server: this._server});
		this._registerUnauthenticatedRoutes(app);
		this._registerServiceRoutes(app);
		app.get('/state', (req, res) => {
			void this._handleAuthorized(req, res, async () => ({ok: true, body: _options.dump()}));
		});
	}

	/** Address that the server listens on (`IP:port`), with the actual port if the settings specify port 0. */
	get address(): string {
		return joinAddress(this._server.address() as AddressInfo);
	}

	async dispose(): Promise<void> {
		this._server.closeAllConnections();
		await new Promise(resolve => {
			this._server.close(resolve);
		});
	}

	private _registerUnauthenticatedRoutes(app: restana.Service<restana.Protocol.HTTP>): void {
		app.get('/healthz', (_req, res) => {
			sendJson(res, 200, 'application/json', {status: 'alive'});
		});
		app.get('/readyz', (_req, res) => {
			const reason = this._options.getNotReadyReason();
			sendJson(res, reason === undefined ? 200 : 503, 'application/json', {status: reason === undefined ? 'ready' : 'not ready', reason});
		});
		app.get('/metrics', (_req, res) => {
			void this._sendMetrics(res);
		});
	}

	private _registerServiceRoutes(app: restana.Service<restana.Protocol.HTTP>): void {
		const {service} = this._options;
		const route = (method: 'get' | 'put' | 'post' | 'delete', path: string, handler: Handler): void => {
			app[method](path, (req, res) => {
				void this._handleAuthorized(req, res, handler);
			});
		};

		route('get', '/v1/config', async (_req, query) => service.readConfiguration(query.has('version') ? Number(query.get('version')) : undefined));
		route('get', '/v1/config/history', async () => service.readConfigurationHistory());
		route('put', '/v1/config', this._withBody(configApplySchema, async change => service.applyConfiguration(change)));
		route('get', '/v1/keys', async () => service.listKeys());
		route('post', '/v1/keys', this._withBody(keyIssueSchema, async change => service.issueKey(change)));
		route('delete', '/v1/keys/:id', async (req, query) => {
			const keyId = (req as IncomingMessage & {params: Record<string, string>}).params.id;
			const change = keyWithdrawSchema.safeParse({changeId: query.get('changeId'), keyId});
			return change.success ? service.withdrawKey(change.data) : problemResult(400, 'invalid-request', 'the query needs a changeId');
		});
		route('get', '/v1/drains', async () => service.listDrains());
		route('put', '/v1/drains', this._withBody(drainSetSchema, async change => service.setDrain(change)));
		route('get', '/v1/orders', async () => service.listOrders());
		route('get', '/v1/members', async () => service.listMembers());
		route('post', '/v1/members', this._withBody(memberChangeSchema, async change => service.changeMembers(change)));
		route('post', '/v1/orders', this._withBody(orderSubmitSchema, async change => service.submitOrder(change)));
	}

	private _withBody<S extends z.ZodType>(schema: S, handler: (change: z.output<S>) => Promise<OperatorResult>): Handler {
		return async req => {
			let value: unknown;
			try {
				value = JSON.parse(await readBody(req));
			} catch (err) {
				return problemResult(400, 'malformed-json', (err as Error).message);
			}

			const parsed = schema.safeParse(value);
			return parsed.success ? handler(parsed.data) : problemResult(400, 'invalid-request', parsed.error.issues.map(issue => `${issue.path.join('.')}: ${issue.message}`).join('; '));
		};
	}

	private async _handleAuthorized(req: IncomingMessage, res: ServerResponse, handler: Handler): Promise<void> {
		if (!this._isAuthorized(req)) {
			sendProblem(res, {status: 401, code: 'unauthorized', detail: 'the operator token is missing or wrong'});
			return;
		}

		try {
			const result = await handler(req, new URL(req.url ?? '/', 'http://localhost').searchParams);
			if (result.ok) {
				sendJson(res, 200, 'application/json', result.body);
			} else {
				sendProblem(res, result.problem);
			}
		} catch (err) {
			sendProblem(res, {status: 503, code: 'control-unreachable', detail: err instanceof Error ? err.message : String(err)});
		}
	}

	private _isAuthorized(req: IncomingMessage): boolean {
		const presentedToken = /^Bearer (.+)$/.exec(req.headers.authorization ?? '')?.[1] ?? '';
		return timingSafeEqual(createHash('sha256').update(presentedToken).digest(), this._tokenDigest);
	}

	private async _sendMetrics(res: ServerResponse): Promise<void> {
		const text = await this._options.metrics.render();
		res.writeHead(200, {'content-type': this._options.metrics.contentType});
		res.end(text);
	}
}
