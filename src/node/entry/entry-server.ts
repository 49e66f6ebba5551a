import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import restana from 'restana';
import type {Disposable} from '../../common/core/disposable.js';
import {SeededRandom} from '../../common/core/random.js';
import {BodyMemory} from '../../common/requests/body-memory.js';
import {UpstreamRegistry} from '../upstreams/upstream-registry.js';
import {createCallerServer, listen} from './caller-listener.js';
import {ChatHandler} from './chat-handler.js';
import {Exchange} from './exchange.js';
import {Gatekeeper} from './gatekeeper.js';
import {PlainHandler} from './plain-handler.js';
import {problem, ProblemError} from './problems.js';
import {Sessions} from './sessions.js';
import type {EntryLimits, EntryOptions, EntryServices} from './types.js';
import {defaultEntryLimits} from './types.js';

type Handler = (exchange: Exchange) => Promise<void>;

/** Serves callers: authenticates, limits, and runs their requests on upstreams. */
export class EntryServer implements Disposable {
	private readonly _limits: EntryLimits;
	private readonly _server: Server;
	private readonly _upstreams: UpstreamRegistry;
	private readonly _sessions = new Sessions();
	private readonly _memory: BodyMemory;
	private readonly _unsubscribe: Array<() => void>;
	private readonly _disposed = new AbortController();
	private _answersExpireAtMs = 0;
	private _drain: Promise<void> | undefined;

	constructor(private readonly _services: EntryServices, private readonly _options: EntryOptions) {
		const {
			clock, metrics, logger, access,
		} = _services;
		this._limits = {...defaultEntryLimits, ..._options.limits};
		this._memory = new BodyMemory(this._limits.bodyMemoryBytes);
		this._upstreams = new UpstreamRegistry({
			zone: _options.zone, random: new SeededRandom(_options.seed), clock, metrics, logger,
		});
		this._server = createCallerServer(this._limits, metrics);
		this._addRoutes();
		this._unsubscribe = [
			access.events.on('onViewChanged', view => {
				this._upstreams.update(view.configuration, view.drainedUpstreams);
			}),
			access.events.on('onKeyWithdrawn', keyId => {
				this._sessions.withdraw(keyId);
			}),
		];
		if (access.view) {
			this._upstreams.update(access.view.configuration, access.view.drainedUpstreams);
		}
	}

	/** Requests that have not ended. */
	get running(): number {
		return this._sessions.running;
	}

	/** What the process holds at the moment, for the operator's dump. */
	state() {
		return {
			isDraining: this._drain !== undefined,
			running: this._sessions.running,
			bodyBytes: this._memory.used,
			...this._upstreams.state(),
		};
	}

	/** Resolves with the address, IP and port, on which it listens. */
	async start(): Promise<string> {
		return listen(this._server, this._options.host, this._options.port);
	}

	/** Takes the names of plain upstreams that leave according to the platform's list; they get no new requests. */
	setLeavingUpstreams(names: ReadonlySet<string>): void {
		this._upstreams.setLeaving(names);
	}

	/**
	Begins a graceful shutdown: answers close their connections, and listening ends when no caller can still hold an
	answer that names this process. The caller of this method withdraws the process from entry-point answers first.
	*/
	beginDrain(): void {
		this._drain ??= this._runDrain();
	}

	/** Resolves when the drain is over: no request runs and nothing listens. */
	async drained(): Promise<void> {
		this.beginDrain();
		await this._drain;
	}

	/** Stops at once; requests that still run are interrupted. */
	async dispose(): Promise<void> {
		for (const unsubscribe of this._unsubscribe) {
			unsubscribe();
		}

		this._disposed.abort();
		const closed = this._close();
		this._server.closeAllConnections();
		await closed;
		this._upstreams.dispose();
	}

	private async _runDrain(): Promise<void> {
		const {clock, entryPoints, logger} = this._services;
		const {validForMs} = entryPoints.answer(undefined, undefined);
		const expiryMs = Math.max(this._answersExpireAtMs - clock.nowMs(), validForMs) + this._limits.drainSpreadMs;
		// An idle connection is closed by its own timeout within this time, so no request can cross with its end.
		const idleMs = this._limits.keepAliveMs + 1000;
		logger.log('info', 'draining', {expiryMs});
		await this._pause(Math.max(expiryMs, idleMs));
		const closed = this._close();
		await this._sessions.idle();
		await this._upstreams.settled();
		await closed;
		logger.log('info', 'drained');
	}

	private async _pause(durationMs: number): Promise<void> {
		try {
			await sleep(durationMs, undefined, {signal: this._disposed.signal});
		} catch {
			// The server is being disposed, which ends a drain at once.
		}
	}

	private async _close(): Promise<void> {
		if (this._server.listening) {
			await new Promise<void>(resolve => {
				this._server.close(() => {
					resolve();
				});
			});
		}
	}

	private _addRoutes(): void {
		const options = {...this._options, limits: this._limits, memory: this._memory};
		const gatekeeper = new Gatekeeper(this._services, this._options.zone, this._sessions, this._upstreams);
		const chat = new ChatHandler(this._services, options, gatekeeper, this._upstreams);
		const plain = new PlainHandler(this._services, options, gatekeeper, this._upstreams);
		const run = (handler: Handler) => async (req: IncomingMessage, res: ServerResponse) => this._handle(req, res, handler);
		const service = restana({
			server: this._server,
			prioRequestsProcessing: false,
			// The cache is keyed by whole paths of up to 16 KiB; a few entries are enough for four routes.
			routerCacheSize: 64,
			defaultRoute: run(async () => {
				throw new ProblemError('not-found');
			}),
		});
		service.get('/healthz', run(async exchange => {
			exchange.send(200, {'content-type': 'application/json'}, JSON.stringify({status: this._drain ? 'draining' : 'ok'}));
		}));
		service.get('/v1/entry-points', run(async exchange => {
			this._answerEntryPoints(exchange);
		}));
		service.post('/v1/chat/completions', run(async exchange => chat.handle(exchange)));
		service.all('/s/*', run(async exchange => plain.handle(exchange)));
	}

	/** Runs a handler; whatever it throws becomes the caller's answer. */
	private async _handle(req: IncomingMessage, res: ServerResponse, handler: Handler): Promise<void> {
		const exchange = new Exchange(req, res, {
			nowMs: this._services.clock.nowMs(), isClosing: this._drain !== undefined, slowReaderMs: this._limits.slowReaderMs,
		});
		this._sessions.begin(exchange);
		this._services.metrics.gauge('requests_running', this._sessions.running);
		try {
			await handler(exchange);
		} catch (err) {
			this._refuse(exchange, err);
		}

		await exchange.closed();
		this._sessions.end(exchange);
		this._services.metrics.gauge('requests_running', this._sessions.running);
		this._count(exchange);
	}

	private _refuse(exchange: Exchange, err: unknown): void {
		if (!(err instanceof ProblemError)) {
			this._services.logger.log('error', 'request failed', {err});
		}

		const document = err instanceof ProblemError ? problem(err.code, err.options) : problem('internal');
		if (exchange.res.headersSent) {
			exchange.cut();
		} else if (exchange.req.readableEnded) {
			exchange.sendProblem(document);
		} else {
			exchange.refuseUpload(document);
		}
	}

	private _count(exchange: Exchange): void {
		const {metrics, clock} = this._services;
		const {status, code} = exchange.outcome ?? {status: 0, code: 'caller-gone'};
		const service = exchange.serviceName ?? '';
		metrics.count('requests_total', {service, status: String(status)});
		metrics.observe('request_ms', clock.nowMs() - exchange.startedAtMs, {service});
		if (code !== undefined) {
			metrics.count('refusals_total', {service, code});
		}

		if (exchange.identity) {
			metrics.count('tenant_requests_total', {tenant: exchange.identity.tenant, outcome: code ?? 'answered'});
		}
	}

	private _answerEntryPoints(exchange: Exchange): void {
		const {searchParams} = new URL(exchange.req.url!, 'http://entry');
		const answer = this._services.entryPoints.answer(searchParams.get('tenant') ?? undefined, searchParams.get('zone') ?? undefined);
		this._answersExpireAtMs = Math.max(this._answersExpireAtMs, this._services.clock.nowMs() + answer.validForMs);
		exchange.send(200, {'content-type': 'application/json', 'cache-control': `max-age=${Math.floor(answer.validForMs / 1000)}`}, JSON.stringify(answer));
	}
}
