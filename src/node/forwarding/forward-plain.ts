import {createPlainForward, reducePlainForward} from '../../common/forwarding/plain-forward.js';
import type {PlainForward, PlainForwardEffect, PlainForwardEvent} from '../../common/forwarding/plain-forward.js';
import type {Server} from '../../common/forwarding/server-directory.js';
import type {ServerKey, StopCause} from '../../common/forwarding/types.js';
import type {WithoutTime} from '../../common/core/types.js';
import {CallError, failureOf} from '../upstreams/call-error.js';
import {readWhole} from './forward-adapter.js';
import type {ForwardMethod, WholeAnswer} from './forward-adapter.js';
import {sendOwnAnswer, watchStops} from './forward-call.js';
import type {ForwardCall, ForwardResult, ForwardServices} from './forward-call.js';

/** Largest answer that is read to its end before it is passed on, in bytes. */
const answerLimitBytes = 4 * 1024 * 1024;

/** Runs one request to a plain service: executes the effects of its lifecycle and reports what comes of them. */
export class PlainForwardRun {
	private readonly _state: PlainForward;
	private readonly _tried = new Set<ServerKey>();
	private _abort = new AbortController();
	private _answer: WholeAnswer | undefined;
	private _outcome = 'unfinished';
	private _isOverdue = false;
	private _finish!: () => void;

	constructor(private readonly _services: ForwardServices, private readonly _call: ForwardCall) {
		const {route, service} = _call;
		this._state = createPlainForward({
			isIdempotent: route.repeat === 'safe',
			maxAttempts: route.maxAttempts,
			takeRetry: () => _services.fleet.takeRetry(service.name),
		});
	}

	/** Resolves when the request has ended. */
	async run(): Promise<ForwardResult> {
		await new Promise<void>(resolve => {
			this._finish = resolve;
			watchStops(this._call, this._services.clock, cause => {
				this._stop(cause);
			});
			this._dispatch({type: 'forward/start'});
		});
		return {mayHaveRun: this._state.mayHaveRun, sends: this._state.sends, outcome: this._outcome};
	}

	private _stop(cause: StopCause): void {
		this._outcome = cause;
		this._isOverdue = cause === 'deadline';
		this._dispatch({type: 'forward/stopped', cause});
	}

	private _dispatch(event: WithoutTime<PlainForwardEvent>): void {
		for (const effect of reducePlainForward(this._state, {...event, nowMs: this._services.clock.nowMs()})) {
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
				sendOwnAnswer(this._call, this._services.protocol, effect.answer);
				break;
			}
		}
	}

	private _choose(): Server | undefined {
		const {fleet, clock, zone} = this._services;
		const {service} = this._call;
		return fleet.directory.choose({
			service: service.name, zone, exclude: this._tried, maxInFlight: fleet.connectionShare(service.maxConnections), nowMs: clock.nowMs(),
		});
	}

	private async _send(): Promise<void> {
		const {fleet, clock, logger} = this._services;
		const {service, requestId} = this._call;
		const server = this._choose();
		if (!server) {
			// The reducer must not be entered again while its effects are executed.
			queueMicrotask(() => {
				this._dispatch({type: 'forward/no-server', resumesInMs: fleet.directory.resumesInMs(service.name, clock.nowMs())});
			});
			return;
		}

		this._tried.add(server.key);
		const sentMs = clock.nowMs();
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
		let event: WithoutTime<PlainForwardEvent>;
		try {
			event = await this._exchange(server, abort.signal, sentMs);
		} catch (err) {
			event = this._failed(server, err, abort.signal.aborted);
			if (this._isOverdue && fleet.directory.recordOverdue(server, exchange, clock.nowMs())) {
				logger.log('warn', 'server did not answer in time', {
					requestId, server: server.key, elapsedMs: Math.round(clock.nowMs() - sentMs), failureShare: server.failureShare, listAgeMs: fleet.listAgeMs(),
				});
			}
		} finally {
			fleet.directory.endExchange(server, exchange);
		}

		this._dispatch(event);
	}

	private async _exchange(server: Server, signal: AbortSignal, sentMs: number): Promise<WithoutTime<PlainForwardEvent>> {
		const {fleet, clock, protocol} = this._services;
		const {exchange: {req}, body, callerDeadlineMs, deadlineMs, tenant, caller, requestId} = this._call;
		const answer = await fleet.adapter(server).send({
			method: req.method as ForwardMethod,
			path: req.url!,
			headers: protocol.serverHeaders(req.rawHeaders, {
				waitMs: callerDeadlineMs - sentMs, serverId: server.record.id, tenant, lastEventId: caller.lastEventId,
			}),
			...(body.length > 0 && {body}),
			headersTimeoutMs: Math.max(1, deadlineMs - sentMs + 100),
			signal,
		});
		const whole = await readWhole(answer, answerLimitBytes);
		const facts = protocol.readServerAnswer(whole.headers);
		if (facts.isNotRun) {
			return {type: 'forward/answered', status: whole.status, isNotRun: true};
		}

		if (facts.requestId !== requestId) {
			throw new CallError('broken', true, 'the answer belongs to another request');
		}

		this._answer = whole;
		fleet.directory.recordAnswer(server, whole.status < 500, clock.nowMs() - sentMs, clock.nowMs());
		return {type: 'forward/answered', status: whole.status, isNotRun: false};
	}

	private _failed(server: Server, err: unknown, isAborted: boolean): WithoutTime<PlainForwardEvent> {
		const {fleet, logger} = this._services;
		const detail = err instanceof Error ? err.message : String(err);
		const mayHaveRun = failureOf(err).maySent;
		if (!isAborted) {
			fleet.recordFailure(server, {isUnreachable: !mayHaveRun, detail});
			logger.log('warn', 'server failed', {
				requestId: this._call.requestId, server: server.key, mayHaveRun, detail, listAgeMs: fleet.listAgeMs(),
			});
		}

		return {type: 'forward/failed', failure: {mayHaveRun, detail}};
	}

	private _relay(): void {
		const {exchange} = this._call;
		const {status, headers, body} = this._answer!;
		this._outcome = 'relayed';
		if (exchange.res.destroyed) {
			return;
		}

		const passed = this._services.protocol.callerHeaders(headers);
		if (isFramed(headers)) {
			const hasLength = passed.some((name, i) => i % 2 === 0 && name === 'content-length');
			const isBodiless = status === 204 || status === 304 || exchange.req.method === 'HEAD';
			exchange.writeHead(status, hasLength || isBodiless ? passed : [...passed, 'content-length', String(body.length)]);
		} else {
			// Its end cannot be told from that of a server that died, so it is passed on as it came: up to the end of the connection.
			exchange.res.useChunkedEncodingByDefault = false;
			exchange.closeAfterAnswer();
			exchange.writeHead(status, passed);
		}

		exchange.res.end(body);
	}
}

/** Whether an answer tells where its body ends; otherwise it ends with its connection. */
function isFramed(headers: readonly string[]): boolean {
	return headers.some((name, i) => i % 2 === 0 && (name === 'content-length' || name === 'transfer-encoding'));
}
