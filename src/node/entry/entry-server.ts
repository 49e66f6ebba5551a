import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import restana from 'restana';
import type {Disposable} from '../../common/core/disposable.js';
import {SeededRandom} from '../../common/core/random.js';
import {UpstreamRegistry} from '../upstreams/upstream-registry.js';
import {MemoryKeeper} from '../memory/memory-keeper.js';
import {RequestIntake} from '../memory/request-intake.js';
import {createCallerServer, startListening} from './caller-listener.js';
import {ChatHandler} from './chat-handler.js';
import {Exchange} from './exchange.js';
import {AdmissionController} from './admission-controller.js';
import {PlainHandler} from './plain-handler.js';
import {createProblem, ProblemError} from './problems.js';
import {ActiveRequests} from './active-requests.js';
import type {EntryLimits, EntryOptions, EntryServices} from './types.js';
import {defaultEntryLimits} from './types.js';

type Handler = (exchange: Exchange) => Promise<void>;

/** Largest fraction (0 to 1) of the memory for request bodies that one customer may occupy. */
const maxCustomerShare = 0.25;

/** Largest number of requests of one connection that run at the same time; what a caller sends in advance beyond them waits. */
const maxUnanswered = 4;

/** HTTP server for callers: authenticates and rate-limits their requests and runs them on upstreams. */
export class EntryServer implements Disposable {
	private readonly _limits: EntryLimits;
	private readonly _server: Server;
	private readonly _upstreams: UpstreamRegistry;
	private readonly _activeRequests = new ActiveRequests();
	private readonly _memory: MemoryKeeper;
	private readonly _intake: RequestIntake;
	private readonly _unsubscribers: Array<() => void>;
	private readonly _disposeController = new AbortController();
	private _entryPointAnswersExpireAtMs = 0;
	private _drainPromise: Promise<void> | undefined;

	constructor(private readonly _services: EntryServices, private readonly _options: EntryOptions) {
		const {
			clock, metrics, logger, access,
		} = _services;
		this._limits = {...defaultEntryLimits, ..._options.limits};
		this._memory = new MemoryKeeper({
			totalBytes: this._limits.bodyMemoryBytes, maxOwnerShare: maxCustomerShare, clock, logger, metrics,
		});
		this._upstreams = new UpstreamRegistry({
			zone: _options.zone, random: new SeededRandom(_options.seed), clock, metrics, logger,
		});
		this._server = createCallerServer(this._limits, metrics);
		this._intake = new RequestIntake({
			memory: this._memory, clock, logger, metrics,
		}, maxUnanswered);
		this._intake.watch(this._server);
		this._addRoutes();
		this._unsubscribers = [
			access.events.on('onViewChanged', view => {
				this._upstreams.update(view.configuration, view.drainedUpstreams);
			}),
			access.events.on('onKeyWithdrawn', keyId => {
				this._activeRequests.disconnectKey(keyId);
			}),
		];
		if (access.view) {
			this._upstreams.update(access.view.configuration, access.view.drainedUpstreams);
		}
	}

	/** Number of requests that have not ended. */
	get runningCount(): number {
		return this._activeRequests.runningCount;
	}

	/** Returns the current state of the process for the operator's state dump. */
	getState() {
		return {
			isDraining: this._drainPromise !== undefined,
			running: this._activeRequests.runningCount,
			bodyBytes: this._memory.usedBytes,
			...this._upstreams.dumpState(),
		};
	}

	/** Starts listening and resolves with the address of the listener (`IP:port`). */
	async start(): Promise<string> {
		return startListening(this._server, this._options.host, this._options.port);
	}

	/** Sets the plain upstreams that are leaving according to the platform's list; they get no new requests. */
	setLeavingUpstreams(names: ReadonlySet<string>): void {
		this._upstreams.setLeavingUpstreams(names);
	}

	/**
	Begins a graceful shutdown: responses close their connections, and the listener closes once every entry-point answer that
	lists this process has expired. Before this call, the process must have been removed from new entry-point answers.
	*/
	beginDrain(): void {
		this._drainPromise ??= this._runDrain();
	}

	/** Begins a drain unless one is in progress; resolves when no request is running and the listener is closed. */
	async drain(): Promise<void> {
		this.beginDrain();
		await this._drainPromise;
	}

	/** Stops at once and interrupts running requests. */
	async dispose(): Promise<void> {
		for (const unsubscribe of this._unsubscribers) {
			unsubscribe();
		}

		this._disposeController.abort();
		const closed = this._closeListener();
		this._activeRequests.destroyConnections();
		this._server.closeAllConnections();
		await closed;
		this._intake.dispose();
		this._upstreams.dispose();
	}

	private async _runDrain(): Promise<void> {
		const {clock, entryPoints, logger} = this._services;
		const {validForMs} = entryPoints.chooseEntryPoints(undefined, undefined);
		const expiryMs = Math.max(this._entryPointAnswersExpireAtMs - clock.nowMs(), validForMs) + this._limits.drainPropagationMs;
		// Idle connections reach their keep-alive timeout within this time; closing them earlier could race with a new request.
		const keepAliveExpiryMs = this._limits.keepAliveTimeoutMs + 1000;
		logger.log('info', 'draining', {expiryMs});
		await this._sleepUnlessDisposed(Math.max(expiryMs, keepAliveExpiryMs));
		const closed = this._closeListener();
		await this._activeRequests.waitUntilIdle();
		await this._upstreams.waitForCancels();
		await closed;
		logger.log('info', 'drained');
	}

	private async _sleepUnlessDisposed(durationMs: number): Promise<void> {
		try {
			await sleep(durationMs, undefined, {signal: this._disposeController.signal});
		} catch {
			// The server is being disposed, which ends the drain at once.
		}
	}

	private async _closeListener(): Promise<void> {
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
		const admission = new AdmissionController(this._services, this._options.zone, this._activeRequests, this._upstreams);
		const chat = new ChatHandler(this._services, options, admission, this._upstreams);
		const plain = new PlainHandler(this._services, options, admission, this._upstreams);
		const toRouteHandler = (handler: Handler) => async (req: IncomingMessage, res: ServerResponse) => this._handleRequest(req, res, handler);
		const router = restana({
			server: this._server,
			prioRequestsProcessing: false,
			// Cache keys are whole paths of up to 16 KiB; a few entries are enough for four routes.
			routerCacheSize: 64,
			defaultRoute: toRouteHandler(async () => {
				throw new ProblemError('not-found');
			}),
		});
		router.get('/healthz', toRouteHandler(async exchange => {
			exchange.send(200, {'content-type': 'application/json'}, JSON.stringify({status: this._drainPromise ? 'draining' : 'ok'}));
		}));
		router.get('/v1/entry-points', toRouteHandler(async exchange => {
			this._sendEntryPoints(exchange);
		}));
		router.post('/v1/chat/completions', toRouteHandler(async exchange => chat.handle(exchange)));
		router.all('/s/*', toRouteHandler(async exchange => plain.handle(exchange)));
	}

	/** Runs a handler and sends an error that it throws to the caller as a problem document. */
	private async _handleRequest(req: IncomingMessage, res: ServerResponse, handler: Handler): Promise<void> {
		const exchange = new Exchange(req, res, {
			nowMs: this._services.clock.nowMs(), shouldCloseConnection: this._drainPromise !== undefined, slowReaderTimeoutMs: this._limits.slowReaderTimeoutMs,
		});
		this._activeRequests.add(exchange);
		this._services.metrics.gauge('requests_running', this._activeRequests.runningCount);
		try {
			await handler(exchange);
		} catch (err) {
			this._sendRefusal(exchange, err);
		}

		await exchange.waitUntilClosed();
		this._activeRequests.remove(exchange);
		this._services.metrics.gauge('requests_running', this._activeRequests.runningCount);
		this._recordRequestMetrics(exchange);
	}

	private _sendRefusal(exchange: Exchange, err: unknown): void {
		if (!(err instanceof ProblemError)) {
			this._services.logger.log('error', 'request failed', {err});
		}

		const problem = err instanceof ProblemError ? createProblem(err.code, err.options) : createProblem('internal');
		if (exchange.res.headersSent) {
			exchange.destroyConnection();
		} else if (exchange.req.readableEnded) {
			exchange.sendProblem(problem);
		} else {
			exchange.sendProblemAndDiscardBody(problem);
		}
	}

	private _recordRequestMetrics(exchange: Exchange): void {
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

	private _sendEntryPoints(exchange: Exchange): void {
		const {searchParams} = new URL(exchange.req.url!, 'http://entry');
		const answer = this._services.entryPoints.chooseEntryPoints(searchParams.get('tenant') ?? undefined, searchParams.get('zone') ?? undefined);
		this._entryPointAnswersExpireAtMs = Math.max(this._entryPointAnswersExpireAtMs, this._services.clock.nowMs() + answer.validForMs);
		exchange.send(200, {'content-type': 'application/json', 'cache-control': `max-age=${Math.floor(answer.validForMs / 1000)}`}, JSON.stringify(answer));
	}
}
