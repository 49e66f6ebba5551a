import {setMaxListeners} from 'node:events';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import type {Disposable} from '../../common/core/disposable.js';
import type {MemoryPlan} from '../../common/memory/memory-plan.js';
import {ConnectionGuard, refuseStalledBody} from '../memory/connection-guard.js';
import type {RequestIntake} from '../memory/request-intake.js';
import {createCallerServer, startListening} from '../entry/caller-listener.js';
import {Exchange} from '../entry/exchange.js';
import {ProblemError} from '../entry/problems.js';
import {ActiveRequests} from '../entry/active-requests.js';
import {defaultEntryLimits} from '../entry/types.js';
import {sendLocalAnswer, sendLocalAnswerLingering} from './forward-request.js';
import {
	ForwardHandler, ForwardRefusal, noMemoryRetryMs, refusalFromProblem,
} from './forward-handler.js';
import type {ForwardHandlerOptions} from './forward-handler.js';

/** Time within which a resumable stream usually ends, in milliseconds; a stopping process that has less time left than this refuses such streams. One that takes longer can go on at another process. */
const resumableStreamDurationMs = 5500;
/** Time reserved for the exit of the process after its last request, in milliseconds. */
const exitMarginMs = 700;
/** Longest time for which a process that ends waits until its last answers are sent, in milliseconds; a part of `exitMarginMs`. */
const lastAnswersMs = 300;
/** Interval at which a draining process checks whether requests are still running, in milliseconds. */
const drainPollIntervalMs = 50;

export type ForwardServerOptions = Omit<ForwardHandlerOptions, 'hasTimeFor' | 'refuseStalled' | 'shutdownSignal'> & {
	readonly host: string;
	readonly port: number;
	readonly plan: MemoryPlan;
	readonly intake: RequestIntake;
	/** Time from the start of a drain until the process is killed, in milliseconds. */
	readonly stopWithinMs: number;
	/** Time for which callers may still use this process after entry-point answers have ceased to name it, in milliseconds. */
	readonly entryAnswerExpiryMs: number;
};

/** HTTP server for callers; forwards their requests by host and path. */
export class ForwardServer implements Disposable {
	readonly handler: ForwardHandler;
	private readonly _server: Server;
	private readonly _guard: ConnectionGuard;
	private readonly _activeRequests = new ActiveRequests();
	private readonly _shutdown = new AbortController();
	private _stopAtMs: number | undefined;

	constructor(private readonly _options: ForwardServerOptions) {
		setMaxListeners(0, this._shutdown.signal);
		this.handler = new ForwardHandler({
			..._options,
			shutdownSignal: this._shutdown.signal,
			hasTimeFor: (deadlineMs, isResumable) => this._hasTimeFor(deadlineMs, isResumable),
			refuseStalled: socket => {
				refuseStalledBody(this._server, socket);
			},
		});
		const {metrics, plan: {maxCallers, headBytes}} = _options;
		this._server = createCallerServer({...defaultEntryLimits, maxConnections: Number.POSITIVE_INFINITY}, metrics);
		this._guard = new ConnectionGuard({
			..._options, ports: 'callers', maxConnections: maxCallers, headBytes,
		});
		this._guard.watch(this._server);
		this._server.on('request', (req, res) => {
			void this._handle(req, res);
		});
		_options.access.events.on('onViewChanged', view => {
			// First, since the handler lets requests pass once it is configured.
			_options.fleet.setEvacuatedZones(view.evacuatedZones, view.revision);
			this.handler.configure(view);
			const limits = view.configuration.forwarding?.limits;
			if (limits) {
				this._server.keepAliveTimeout = limits.idleTimeoutMs;
				this._server.headersTimeout = limits.headersTimeoutMs;
			}

			_options.logger.log('info', 'configuration in force', {version: view.version, revision: view.revision});
		});
	}

	get runningRequests(): number {
		return this._activeRequests.runningCount;
	}

	get isDraining(): boolean {
		return this._stopAtMs !== undefined;
	}

	async start(): Promise<string> {
		return startListening(this._server, this._options.host, this._options.port);
	}

	/**
	Drains the server: keeps serving until callers have switched to other processes and the last request has ended, or until the
	process must exit. Then every request that is still running gets an answer, and none is accepted any more. Requires that entry-point
	answers no longer name this process.
	*/
	async drain(): Promise<void> {
		const {clock, logger, stopWithinMs, entryAnswerExpiryMs} = this._options;
		const startedMs = clock.nowMs();
		this._stopAtMs = startedMs + stopWithinMs - exitMarginMs;
		logger.log('info', 'draining', {running: this.runningRequests, stopWithinMs});
		while (clock.nowMs() < this._stopAtMs) {
			if (this.runningRequests === 0 && clock.nowMs() - startedMs >= entryAnswerExpiryMs) {
				break;
			}

			await sleep(drainPollIntervalMs);
		}

		const {runningRequests} = this;
		this._shutdown.abort();
		this._stopAtMs = clock.nowMs();
		while (this.runningRequests > 0 && clock.nowMs() < this._stopAtMs + lastAnswersMs) {
			await sleep(drainPollIntervalMs);
		}

		logger.log('info', 'drained', {running: runningRequests, unanswered: this.runningRequests, tookMs: Math.round(clock.nowMs() - startedMs)});
	}

	async dispose(): Promise<void> {
		const closed = new Promise(resolve => {
			this._server.close(resolve);
		});
		this._guard.dispose();
		this._activeRequests.destroyConnections();
		this._server.closeAllConnections();
		await closed;
	}

	private _hasTimeFor(deadlineMs: number, isResumable: boolean): boolean {
		if (this._stopAtMs === undefined) {
			return true;
		}

		const nowMs = this._options.clock.nowMs();
		return !this._shutdown.signal.aborted && (isResumable ? nowMs + resumableStreamDurationMs : deadlineMs) <= this._stopAtMs;
	}

	private async _handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
		const exchange = new Exchange(req, res, {nowMs: this._options.clock.nowMs(), shouldCloseConnection: this.isDraining, omitsTraceHeaders: true});
		this._activeRequests.add(exchange);
		try {
			if (this._guard.hasDroppedHeaders(req)) {
				exchange.closeAfterResponse();
				throw new ForwardRefusal(503, 'too many header lines while many connections are open', noMemoryRetryMs);
			}

			await this.handler.handle(exchange);
			await exchange.waitUntilClosed();
		} catch (err) {
			this._refuse(exchange, err);
			await exchange.waitUntilClosed();
		} finally {
			this._activeRequests.remove(exchange);
		}
	}

	private _refuse(exchange: Exchange, err: unknown): void {
		const {logger, metrics, protocol, intake} = this._options;
		const refusal = toRefusal(err);
		const {status, message, retryAfterMs} = refusal;
		metrics.count('forward_refusals_total', {status: String(status)});
		logger.log(status >= 500 && status !== 503 ? 'error' : 'info', 'request refused', {
			requestId: protocol.readCallerRequest(exchange.req.rawHeaders).requestId, status, reason: message, retryAfterMs, version: this.handler.version,
		});
		const {req, mustCloseAtOnce} = exchange;
		const answer = {status, reason: message, retryAfterMs};
		if (req.complete || mustCloseAtOnce) {
			sendLocalAnswer({exchange}, protocol, answer);
		} else {
			// The rest of the body is neither parsed nor kept.
			intake.discard(req.socket);
			sendLocalAnswerLingering(exchange, protocol, answer);
		}
	}
}

function toRefusal(err: unknown): ForwardRefusal {
	if (err instanceof ForwardRefusal) {
		return err;
	}

	return err instanceof ProblemError ? refusalFromProblem(err) : new ForwardRefusal(500, err instanceof Error ? err.message : String(err));
}
