import {createPlainForward, reducePlainForward} from '../../common/forwarding/plain-forward.js';
import type {PlainForwardState, PlainForwardEffect, PlainForwardEvent} from '../../common/forwarding/plain-forward.js';
import type {Server, ServerQuery} from '../../common/forwarding/server-directory.js';
import type {ServerKey, StopCause} from '../../common/forwarding/types.js';
import type {UntimedEvent} from '../../common/core/types.js';
import {blockedReason} from '../../common/quarantine/quarantine.js';
import type {TrackedAttempt} from '../quarantine/request-quarantine.js';
import {failureOf} from '../upstreams/call-error.js';
import {AnswerMemory} from './answer-memory.js';
import {bufferAnswer} from './forward-adapter.js';
import type {BufferedAnswer, HttpMethod} from './forward-adapter.js';
import {
	checkEnd, recordColdSend, relayAnswer, sendLocalAnswer, watchForStop,
} from './forward-request.js';
import type {ForwardDependencies, ForwardRequest, ForwardResult} from './forward-request.js';

/** Maximum size of a server's answer, in bytes; the whole answer is held in memory before it is relayed. */
const answerLimitBytes = 4 * 1024 * 1024;
/** Lowest status with which a server states that it failed. */
const firstServerErrorStatus = 500;

/** Forwards one request to a plain service: executes the effects of the lifecycle reducer and dispatches their results to the reducer. */
export class PlainForwarder {
	private readonly _state: PlainForwardState;
	private readonly _triedServers = new Set<ServerKey>();
	private _abort = new AbortController();
	private _answer: BufferedAnswer | undefined;
	private _outcome = 'unfinished';
	private _isDeadlineExceeded = false;
	private _finish!: () => void;
	private readonly _answerMemory: AnswerMemory;

	constructor(private readonly _dependencies: ForwardDependencies, private readonly _request: ForwardRequest) {
		const {route, service} = _request;
		this._answerMemory = new AnswerMemory(_request, _dependencies.memory);
		this._state = createPlainForward({
			isIdempotent: route.repeat === 'safe',
			maxAttempts: route.maxAttempts,
			takeRetry: () => _dependencies.fleet.takeRetry(service.name),
		});
	}

	/** Forwards the request. Resolves when the request has ended. */
	async run(): Promise<ForwardResult> {
		await new Promise<void>(resolve => {
			this._finish = resolve;
			watchForStop(this._request, this._dependencies, cause => {
				this._stop(cause);
			});
			this._dispatch({type: 'forward/start'});
		});
		return {mayHaveRun: this._state.mayHaveRun, sends: this._state.sends, outcome: this._outcome};
	}

	private _stop(cause: StopCause): void {
		this._outcome = cause;
		this._isDeadlineExceeded = cause === 'deadline';
		this._dispatch({type: 'forward/stopped', cause});
	}

	private _dispatch(event: UntimedEvent<PlainForwardEvent>): void {
		for (const effect of reducePlainForward(this._state, {...event, nowMs: this._dependencies.clock.nowMs()})) {
			this._execute(effect);
		}

		if (this._state.phase !== 'sending') {
			this._finish();
		}
	}

	private _execute(effect: PlainForwardEffect): void {
		switch (effect.type) {
			case 'forward/send': {
				void this._send();
				break;
			}

			case 'forward/abort': {
				this._abort.abort();
				break;
			}

			case 'forward/relay': {
				this._relay();
				break;
			}

			case 'forward/answer': {
				this._outcome = effect.answer.reason;
				sendLocalAnswer(this._request, this._dependencies.protocol, effect.answer);
				break;
			}
		}
	}

	private _query(): ServerQuery {
		const {fleet, clock, zone} = this._dependencies;
		const {service, allowedZones} = this._request;
		return {
			service: service.name, zone, exclude: this._triedServers, maxInFlight: fleet.exchangeLimit(service.maxConnections), nowMs: clock.nowMs(), coldRate: fleet.coldRate(service), allowedZones,
		};
	}

	private async _send(): Promise<void> {
		const {
			fleet, clock, logger, quarantine,
		} = this._dependencies;
		const {service, requestId, parts} = this._request;
		const block = quarantine.findBlock(parts);
		if (block) {
			const retryAfterMs = quarantine.recordRefusal(block, requestId);
			queueMicrotask(() => {
				this._dispatch({type: 'forward/blocked', reason: blockedReason, retryAfterMs});
			});
			return;
		}

		const query = this._query();
		const server = fleet.directory.choose(query);
		if (!server) {
			const coldWaitMs = fleet.directory.coldWaitMs(query);
			// Dispatched later, because the reducer must not be re-entered while its effects are being executed.
			queueMicrotask(() => {
				this._dispatch({type: 'forward/no-server', resumesInMs: fleet.directory.earliestResumeInMs(service.name, clock.nowMs(), undefined, query.allowedZones), coldWaitMs});
			});
			return;
		}

		this._triedServers.add(server.key);
		const sentMs = clock.nowMs();
		recordColdSend(this._request, this._dependencies, server);
		if (this._state.sends === 1) {
			fleet.countSend(service.name);
		} else {
			logger.log('info', 'request sent again', {
				requestId, server: server.key, send: this._state.sends, failureShare: server.failureShare, listAgeMs: fleet.listAgeMs(),
			});
		}

		const exchange = fleet.directory.beginExchange(server, sentMs);
		const abort = new AbortController();
		this._abort = abort;
		const trackedSend = quarantine.track(server.key, requestId, parts);
		let event: UntimedEvent<PlainForwardEvent>;
		try {
			event = await this._sendAndBuffer(server, abort.signal, sentMs, trackedSend);
		} catch (err) {
			trackedSend.fail(failureOf(err), abort.signal.aborted);
			event = this._toFailedEvent(server, err, abort.signal.aborted);
			if (this._isDeadlineExceeded && fleet.directory.recordOverdue(server, exchange, clock.nowMs())) {
				logger.log('warn', 'server did not answer in time', {
					requestId, server: server.key, elapsedMs: Math.round(clock.nowMs() - sentMs), failureShare: server.failureShare, listAgeMs: fleet.listAgeMs(),
				});
			}
		} finally {
			fleet.directory.endExchange(server, exchange);
		}

		this._dispatch(event);
	}

	private async _sendAndBuffer(server: Server, signal: AbortSignal, sentMs: number, trackedSend: TrackedAttempt): Promise<UntimedEvent<PlainForwardEvent>> {
		const {fleet, clock, protocol} = this._dependencies;
		const {exchange: {req}, body, callerDeadlineMs, deadlineMs, customer, caller, requestId} = this._request;
		const response = await fleet.adapterFor(server).send({
			requestId,
			method: req.method as HttpMethod,
			path: req.url!,
			headers: protocol.serverHeaders(req.rawHeaders, {
				waitMs: callerDeadlineMs - sentMs, serverId: server.record.id, customer, lastEventId: caller.lastEventId,
			}),
			...(body.length > 0 && {body}),
			headersTimeoutMs: Math.max(1, deadlineMs - sentMs + 100),
			signal,
		});
		const buffered = await bufferAnswer(response, answerLimitBytes, bytes => this._answerMemory.resize(bytes));
		if (protocol.readServerAnswer(buffered.headers).isNotRun) {
			trackedSend.end('inconclusive');
			return {type: 'forward/answered', status: buffered.status, isNotRun: true};
		}

		await checkEnd(buffered, fleet, server);
		trackedSend.endWithAnswer(buffered.status < firstServerErrorStatus);
		this._answer = buffered;
		fleet.directory.recordAnswer(server, buffered.status < firstServerErrorStatus, clock.nowMs() - sentMs, clock.nowMs());
		return {type: 'forward/answered', status: buffered.status, isNotRun: false};
	}

	private _toFailedEvent(server: Server, err: unknown, isAborted: boolean): UntimedEvent<PlainForwardEvent> {
		const {fleet, logger} = this._dependencies;
		const detail = err instanceof Error ? err.message : String(err);
		const mayHaveRun = failureOf(err).mayHaveBeenSent;
		if (!isAborted) {
			fleet.recordFailure(server, {isUnreachable: !mayHaveRun, detail});
			logger.log('warn', 'server failed', {
				requestId: this._request.requestId, fingerprint: this._request.fingerprint, server: server.key, mayHaveRun, detail, listAgeMs: fleet.listAgeMs(),
			});
		}

		return {type: 'forward/failed', failure: {mayHaveRun, detail}};
	}

	private _relay(): void {
		this._outcome = 'relayed';
		relayAnswer(this._request.exchange, this._dependencies.protocol, this._answer!);
		this._answerMemory.recordMove();
	}
}
