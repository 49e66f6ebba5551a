import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {Disposable} from '../../common/core/disposable.js';
import {createCallerServer, startListening} from '../entry/caller-listener.js';
import {Exchange} from '../entry/exchange.js';
import {ProblemError} from '../entry/problems.js';
import {ActiveRequests} from '../entry/active-requests.js';
import {defaultEntryLimits} from '../entry/types.js';
import {sendLocalAnswer} from './forward-request.js';
import {ForwardHandler, ForwardRefusal, refusalFromProblem} from './forward-handler.js';
import type {ForwardHandlerOptions} from './forward-handler.js';

/** Time within which a plain request usually ends, in milliseconds; a stopping process that has less time left than this refuses plain requests. */
const plainRequestDurationMs = 1500;
/** Time within which a model request usually ends, in milliseconds; a stopping process that has less time left than this refuses model requests. */
const modelRequestDurationMs = 5500;
/** Time reserved for the exit of the process after its last request, in milliseconds. */
const exitMarginMs = 700;
/** Interval at which a draining process checks whether requests are still running, in milliseconds. */
const drainPollIntervalMs = 50;

export type ForwardServerOptions = Omit<ForwardHandlerOptions, 'hasTimeFor'> & {
	readonly host: string;
	readonly port: number;
	/** Time from the start of a drain until the process is killed, in milliseconds. */
	readonly stopWithinMs: number;
	/** Time for which callers may still use this process after entry-point answers have ceased to name it, in milliseconds. */
	readonly entryAnswerExpiryMs: number;
};

/** HTTP server for callers; forwards their requests by host and path. */
export class ForwardServer implements Disposable {
	readonly handler: ForwardHandler;
	private readonly _server: Server;
	private readonly _activeRequests = new ActiveRequests();
	private _stopAtMs: number | undefined;

	constructor(private readonly _options: ForwardServerOptions) {
		this.handler = new ForwardHandler({..._options, hasTimeFor: kind => this._hasTimeFor(kind)});
		this._server = createCallerServer(defaultEntryLimits, _options.metrics);
		this._server.on('request', (req, res) => {
			void this._handle(req, res);
		});
		_options.access.events.on('onViewChanged', view => {
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
	process must exit. Requires that entry-point answers no longer name this process.
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

			await new Promise(resolve => {
				setTimeout(resolve, drainPollIntervalMs);
			});
		}

		logger.log('info', 'drained', {running: this.runningRequests, tookMs: Math.round(clock.nowMs() - startedMs)});
	}

	async dispose(): Promise<void> {
		const closed = new Promise(resolve => {
			this._server.close(resolve);
		});
		this._server.closeAllConnections();
		await closed;
	}

	private _hasTimeFor(kind: 'plain' | 'model'): boolean {
		const leftMs = (this._stopAtMs ?? Infinity) - this._options.clock.nowMs();
		return leftMs >= (kind === 'plain' ? plainRequestDurationMs : modelRequestDurationMs);
	}

	private async _handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
		const exchange = new Exchange(req, res, {nowMs: this._options.clock.nowMs(), shouldCloseConnection: this.isDraining, omitsTraceHeaders: true});
		this._activeRequests.add(exchange);
		try {
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
		const {logger, metrics, protocol} = this._options;
		const refusal = toRefusal(err);
		const {status, message, retryAfterMs} = refusal;
		metrics.count('forward_refusals_total', {status: String(status)});
		logger.log(status >= 500 && status !== 503 ? 'error' : 'info', 'request refused', {
			requestId: protocol.readCallerRequest(exchange.req.rawHeaders).requestId, status, reason: message, retryAfterMs, version: this.handler.version,
		});
		sendLocalAnswer({exchange}, protocol, {status, reason: message, retryAfterMs});
	}
}

function toRefusal(err: unknown): ForwardRefusal {
	if (err instanceof ForwardRefusal) {
		return err;
	}

	return err instanceof ProblemError ? refusalFromProblem(err) : new ForwardRefusal(500, err instanceof Error ? err.message : String(err));
}
