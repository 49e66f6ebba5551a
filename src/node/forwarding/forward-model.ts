import {createModelForward, reduceModelForward} from '../../common/forwarding/model-forward.js';
import type {ModelForward, ModelForwardEffect, ModelForwardInput} from '../../common/forwarding/model-forward.js';
import {patienceOf, returnAfterMs} from '../../common/forwarding/patience.js';
import {reservedTokens, spareTokens} from '../../common/forwarding/reservation.js';
import type {Server} from '../../common/forwarding/server-directory.js';
import type {ServerKey, StopCause} from '../../common/forwarding/types.js';
import {CallError, failureOf} from '../upstreams/call-error.js';
import type {Answer} from '../upstreams/connection-pool.js';
import {EngineMemory} from './engine-memory.js';
import type {Prefilled} from './engine-memory.js';
import {EventIds} from './event-ids.js';
import {readWhole} from './forward-adapter.js';
import type {ForwardMethod} from './forward-adapter.js';
import {sendOwnAnswer, watchStops} from './forward-call.js';
import type {ForwardCall, ForwardResult, ForwardServices} from './forward-call.js';
import type {SystemFacts} from './fleet-protocol.js';
import {WholeEvents} from './whole-events.js';

/** Bound on a prefill call as a share of the latency objective; giving one up costs the whole reading, and a late answer has worth. */
const prefillShare = 1.2;
/** Largest answer to a prefill call, or of an answer that is no stream, in bytes. */
const wholeAnswerLimitBytes = 1024 * 1024;
/** Status of a server that is not the one meant, or in another stage (HTTP 421, Misdirected Request). */
const misdirectedStatus = 421;
/** Validity of a reservation; it covers the prefill and the transfer. */
const holdTtlMs = 2000;
/** Time without the first event after which an engine counts as silent, in milliseconds; with memory reserved, one takes a fifth of it. */
const firstStallMs = 500;
/** Time that a decode engine gets to read a prompt token by itself, in milliseconds; several times what an idle one needs. */
const ownReadMsPerToken = 0.2;
/** The same between events, in milliseconds; an engine that preempted the request reads it again in less. */
const nextStallMs = 1500;
/** Requests whose head arrives late may have been answered by the server in time. */
const headSlackMs = 100;

/** Runs one request to a model service: executes the effects of its lifecycle and reports what comes of them. */
export class ModelForwardRun {
	private readonly _state: ModelForward;
	private readonly _events = new EventIds();
	private readonly _tokens: number;
	private _abort = new AbortController();
	private readonly _memory: EngineMemory;
	/** Whether the request counts among the prompts under way to prefill engines. */
	private _hasPrefillPlace = false;
	private _answer: Answer | undefined;
	private _outcome = 'unfinished';
	private _sends = 0;
	private _firstEventMs: number | undefined;
	private _lastEventMs = 0;
	private _longestGapMs: number | undefined;
	private _timer: NodeJS.Timeout | undefined;
	private _stallTimer: NodeJS.Timeout | undefined;
	private _finish!: () => void;

	constructor(private readonly _services: ForwardServices, private readonly _call: ForwardCall) {
		const {route, service, requestId, caller: {prompt}} = _call;
		this._memory = new EngineMemory(_services, requestId);
		this._state = createModelForward({
			isResumable: route.isResumable,
			maxAttempts: route.maxAttempts,
			patience: patienceOf({waitMs: _call.callerDeadlineMs - _call.exchange.startedAtMs, timeoutMs: route.timeoutMs, targetMs: route.targetMs}),
			returnAfterMs: returnAfterMs(_services.fleet.random.next()),
			countFailedPrompt() {
				_services.fleet.countArrival(service.name);
			},
			hasSoundPrefill: nowMs => _services.fleet.directory.hasSoundPrefill(service.name, nowMs),
			takeRetry: (_nowMs, arrivals) => _services.fleet.takeRetry(service.name, arrivals),
		});
		this._tokens = reservedTokens(prompt);
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
		clearTimeout(this._timer);
		clearTimeout(this._stallTimer);
		return {
			mayHaveRun: this._sends > 0, sends: this._sends, outcome: this._outcome, firstEventMs: this._firstEventMs, longestGapMs: this._longestGapMs,
		};
	}

	private _stop(cause: StopCause): void {
		this._outcome = cause;
		this._dispatch({type: 'forward/stopped', cause});
	}

	private _dispatch(event: ModelForwardInput): void {
		for (const effect of reduceModelForward(this._state, {...event, nowMs: this._services.clock.nowMs()})) {
			this._execute(effect);
		}

		if (this._state.phase === 'ended') {
			this._finish();
		}
	}

	/** Dispatches behind the effects that are being executed. */
	private _dispatchLater(event: ModelForwardInput): void {
		queueMicrotask(() => {
			this._dispatch(event);
		});
	}

	private _execute(effect: ModelForwardEffect): void {
		switch (effect.type) {
			case 'forward/hold': {
				void this._hold(effect);
				break;
			}

			case 'forward/wait': {
				this._timer = setTimeout(() => {
					this._dispatch({type: 'forward/wake'});
				}, effect.durationMs);
				break;
			}

			case 'forward/prefill': {
				void this._prefill(effect.attempt, effect.exclude);
				break;
			}

			case 'forward/send': {
				void this._send(effect.attempt);
				break;
			}

			case 'forward/relay': {
				void this._relay(effect.attempt);
				break;
			}

			case 'forward/release': {
				this._release();
				break;
			}

			case 'forward/answer': {
				this._outcome = effect.answer.reason;
				sendOwnAnswer(this._call, this._services.protocol, effect.answer);
				break;
			}

			case 'forward/cut': {
				this._outcome = `cut: ${effect.reason}`;
				this._call.exchange.cut();
				break;
			}
		}
	}

	private _question(exclude: ReadonlySet<ServerKey>, zone: string) {
		const {fleet, clock} = this._services;
		const {service} = this._call;
		return {
			service: service.name, zone, exclude, maxInFlight: fleet.connectionShare(service.maxConnections), nowMs: clock.nowMs(),
		};
	}

	/** The call goes on when the request is given up, so that a reservation that was granted is freed at once. */
	private async _hold({attempt, exclude, isSpacious}: Extract<ModelForwardEffect, {type: 'forward/hold'}>): Promise<void> {
		const {fleet, logger, clock, zone} = this._services;
		const {service, requestId} = this._call;
		this._hasPrefillPlace ||= fleet.takePrefillPlace(service.name);
		const isPrefillBusy = !this._hasPrefillPlace;
		const server = isPrefillBusy ? undefined : fleet.directory.chooseDecode(this._question(exclude, zone));
		if (!server) {
			this._leavePrefill();
			this._dispatchLater({
				type: 'forward/no-engine', attempt, resumesInMs: fleet.directory.resumesInMs(service.name, clock.nowMs(), 'decode'), isPrefillBusy,
			});
			return;
		}

		const ttlMs = Math.min(holdTtlMs, service.engine?.holdTtlMs ?? holdTtlMs);
		try {
			const reservation = await this._memory.reserve(server, {tokens: this._tokens, ttlMs, spareTokens: this._spareTokens(isSpacious)});
			if (reservation.kind !== 'held') {
				this._dispatch({type: reservation.kind === 'refused' ? 'forward/hold-refused' : 'forward/hold-failed', attempt, server: server.key});
				return;
			}

			if (this._isStale(attempt)) {
				this._memory.freeHold(reservation.held);
				return;
			}

			this._memory.held = reservation.held;
			logger.log('info', 'request placed', {
				requestId, attempt, server: server.key, tokens: this._tokens, isSpacious, ownTokens: server.tokens, waitedMs: this._elapsedMs(), listAgeMs: fleet.listAgeMs(),
			});
			this._dispatch({type: 'forward/held', attempt});
		} catch (err) {
			// A reservation is no work: an engine that does not answer cannot be reached.
			this._noteFailure(server, err, {isAborted: this._isStale(attempt), isUnreachable: true});
			this._dispatch({type: 'forward/hold-failed', attempt, server: server.key});
		}
	}

	/** Memory that an engine must have beside the request. */
	private _spareTokens(isSpacious: boolean): number {
		const {service} = this._call;
		return Math.max(this._tokens * this._state.patience.spareShare, isSpacious ? spareTokens(service.engine?.cacheTokens ?? 0) : 0);
	}

	private _isStale(attempt: number): boolean {
		return this._state.phase === 'ended' || this._state.attempt !== attempt;
	}

	private async _prefill(attempt: number, exclude: ReadonlySet<ServerKey>): Promise<void> {
		const {fleet, protocol, clock, logger} = this._services;
		const {route, service, caller, requestId} = this._call;
		const server = fleet.directory.choosePrefill(this._question(exclude, this._memory.held!.server.record.zone));
		if (!server) {
			this._dispatchLater({type: 'forward/prefill-failed', attempt, server: undefined});
			return;
		}

		const {signal} = this._abort;
		const tokens = caller.prompt?.promptTokens ?? 0;
		const startedMs = clock.nowMs();
		fleet.directory.begin(server, tokens);
		try {
			const answer = await fleet.adapter(server).send(this._message(server, {isPrefill: true}, Math.max(1, route.targetMs * prefillShare), signal));
			const {status, headers, body} = await readWhole(answer, wholeAnswerLimitBytes);
			const result = status === 200 ? protocol.readPrefill(new TextDecoder().decode(body)) : undefined;
			if (!result) {
				const isRejected = protocol.readServerAnswer(headers).isNotRun;
				logger.log('info', 'prompt not read', {
					requestId, attempt, server: server.key, status, isRejected, listAgeMs: fleet.listAgeMs(),
				});
				if (status === misdirectedStatus) {
					fleet.recordMisdirected(server);
				} else if (isRejected) {
					fleet.directory.refusedReservation(server, clock.nowMs());
				} else {
					fleet.recordFailure(server, {isUnreachable: false, detail: `prefill answered with status ${status}`});
				}

				this._dispatch({type: 'forward/prefill-failed', attempt, server: server.key});
				return;
			}

			const prefilled: Prefilled = {server, handle: result.handle, isUsed: false};
			if (this._isStale(attempt)) {
				this._memory.freePrefill(prefilled);
				return;
			}

			fleet.directory.recordAnswer(server, true, clock.nowMs() - startedMs, clock.nowMs());
			fleet.recordPrefill(service.name, clock.nowMs() - startedMs, route.targetMs);
			this._memory.prefilled = prefilled;
			this._dispatch({type: 'forward/prefilled', attempt});
		} catch (err) {
			this._noteFailure(server, err, {isAborted: signal.aborted, isUnreachable: !failureOf(err).maySent});
			if (!signal.aborted && clock.nowMs() - startedMs >= route.targetMs) {
				fleet.recordPrefill(service.name, clock.nowMs() - startedMs, route.targetMs);
			}

			this._dispatch({type: 'forward/prefill-failed', attempt, server: server.key});
		} finally {
			fleet.directory.end(server, tokens);
		}
	}

	private _message(server: Server, facts: Partial<SystemFacts>, headersTimeoutMs: number, signal: AbortSignal) {
		const {exchange: {req}, body, callerDeadlineMs, tenant, caller} = this._call;
		return {
			method: req.method as ForwardMethod,
			path: req.url!,
			headers: this._services.protocol.serverHeaders(req.rawHeaders, {
				waitMs: callerDeadlineMs - this._services.clock.nowMs(), serverId: server.record.id, tenant, lastEventId: this._events.lastId ?? caller.lastEventId, ...facts,
			}),
			...(body.length > 0 && {body}),
			headersTimeoutMs,
			signal,
		};
	}

	private async _send(attempt: number): Promise<void> {
		const {fleet, protocol, clock, logger} = this._services;
		const {service, requestId, deadlineMs} = this._call;
		const {prefilled} = this._memory;
		const held = this._memory.held!;
		const {server} = held;
		const {signal} = this._abort;
		this._leavePrefill();
		if (!fleet.directory.mayTake(server, clock.nowMs())) {
			this._dispatchLater({
				type: 'forward/failed', attempt, failure: {mayHaveRun: false, detail: 'the engine takes no more work'}, server: server.key,
			});
			return;
		}

		this._sends++;
		if (this._sends === 1) {
			fleet.countSend(service.name);
		}

		held.isUsed = true;
		if (prefilled) {
			prefilled.isUsed = true;
		}

		logger.log('info', 'request sent', {
			requestId, attempt, server: server.key, prefillServer: prefilled?.server.key, after: this._events.lastId, elapsedMs: this._elapsedMs(),
		});
		this._watch(attempt, server, firstStallMs + (prefilled ? 0 : (this._call.caller.prompt?.promptTokens ?? 0) * ownReadMsPerToken));
		try {
			const answer = await fleet.adapter(server).send(this._message(server, {
				hold: held.hold, ...(prefilled && {prefill: {address: prefilled.server.record.address, handle: prefilled.handle}}),
			}, Math.max(1, deadlineMs - clock.nowMs() + headSlackMs), signal));
			const facts = protocol.readServerAnswer(answer.headers);
			if (facts.isNotRun) {
				answer.body.resume();
				held.isUsed = false;
				if (prefilled) {
					prefilled.isUsed = false;
				}

				logger.log('info', 'engine turned the request away', {
					requestId, attempt, server: server.key, prefillServer: prefilled?.server.key, status: answer.status,
				});
				if (answer.status === misdirectedStatus) {
					fleet.recordMisdirected(server);
				} else if (prefilled) {
					fleet.recordFailure(prefilled.server, {isUnreachable: false, detail: 'the prefill result was gone'});
				}

				this._dispatch({
					type: 'forward/answered', attempt, status: answer.status, isNotRun: true, server: server.key, prefillServer: prefilled?.server.key,
				});
				return;
			}

			if (facts.requestId !== requestId) {
				answer.body.destroy();
				throw new CallError('broken', true, 'the answer belongs to another request');
			}

			fleet.directory.recordAnswer(server, answer.status < 500, server.latencyMs, clock.nowMs());
			this._answer = answer;
			this._dispatch({
				type: 'forward/answered', attempt, status: answer.status, isNotRun: false, server: server.key,
			});
			if (this._isStale(attempt)) {
				answer.body.destroy();
			}
		} catch (err) {
			this._noteFailure(server, err, {isAborted: signal.aborted, isUnreachable: !failureOf(err).maySent});
			this._dispatch({
				type: 'forward/failed', attempt, failure: {mayHaveRun: failureOf(err).maySent, detail: err instanceof Error ? err.message : String(err)}, server: server.key,
			});
		}
	}

	/** Passes the answer on, event by event, so that a stream that breaks off can go on behind its last whole event. */
	private async _relay(attempt: number): Promise<void> {
		const {exchange, requestId} = this._call;
		const {protocol, logger} = this._services;
		const answer = this._answer!;
		const {server} = this._memory.held!;
		this._events.restart();
		const events = new WholeEvents(this._events);
		try {
			if (!exchange.res.headersSent) {
				exchange.writeHead(answer.status, protocol.callerHeaders(answer.headers));
				exchange.res.flushHeaders();
			}

			for await (const chunk of answer.body as AsyncIterable<Uint8Array>) {
				if (this._isStale(attempt)) {
					return;
				}

				if (answer.status !== 200) {
					await exchange.write(chunk);
					continue;
				}

				const whole = events.push(chunk);
				if (whole.length > 0) {
					this._watch(attempt, server, nextStallMs);
					this._noteEvent();
					await exchange.write(whole);
				}
			}
		} catch (err) {
			if (!this._isStale(attempt)) {
				this._noteFailure(server, err, {isAborted: false, isUnreachable: false});
				this._dispatch({type: 'forward/broken', attempt, server: server.key});
			}

			return;
		}

		if (this._isStale(attempt)) {
			return;
		}

		if (answer.wasReset() || events.hasPart) {
			logger.log('warn', 'stream broke off', {
				requestId, attempt, server: server.key, wasReset: answer.wasReset(), after: this._events.lastId,
			});
			this._dispatch({type: 'forward/broken', attempt, server: server.key});
			return;
		}

		this._outcome = 'relayed';
		exchange.res.end();
		this._dispatch({type: 'forward/completed', attempt});
	}

	private _noteEvent(): void {
		const nowMs = this._elapsedMs();
		if (this._firstEventMs === undefined) {
			this._firstEventMs = nowMs;
			this._services.metrics.observe('forward_first_event_ms', nowMs, {route: this._call.route.name});
		} else {
			this._longestGapMs = Math.max(this._longestGapMs ?? 0, nowMs - this._lastEventMs);
		}

		this._lastEventMs = nowMs;
	}

	/** Reports the engine as silent unless the watch is renewed in time. */
	private _watch(attempt: number, server: Server, stallMs: number): void {
		clearTimeout(this._stallTimer);
		this._stallTimer = setTimeout(() => {
			if (this._isStale(attempt)) {
				return;
			}

			this._services.logger.log('warn', 'engine silent', {
				requestId: this._call.requestId, attempt, server: server.key, stallMs, after: this._events.lastId, elapsedMs: this._elapsedMs(),
			});
			this._dispatch({type: 'forward/stalled', attempt, server: server.key});
		}, stallMs);
	}

	/** Gives up exchanges under way and frees what engines keep. */
	private _release(): void {
		this._leavePrefill();
		this._abort.abort();
		this._abort = new AbortController();
		this._answer?.body.destroy();
		this._answer = undefined;
		clearTimeout(this._timer);
		clearTimeout(this._stallTimer);
		this._memory.release();
	}

	private _leavePrefill(): void {
		if (this._hasPrefillPlace) {
			this._hasPrefillPlace = false;
			this._services.fleet.releasePrefillPlace(this._call.service.name);
		}
	}

	private _noteFailure(server: Server, err: unknown, {isAborted, isUnreachable}: {readonly isAborted: boolean; readonly isUnreachable: boolean}): void {
		if (isAborted) {
			return;
		}

		const detail = err instanceof Error ? err.message : String(err);
		this._services.fleet.recordFailure(server, {isUnreachable, detail});
		this._services.logger.log('warn', 'server failed', {
			requestId: this._call.requestId, server: server.key, phase: this._state.phase, detail, listAgeMs: this._services.fleet.listAgeMs(),
		});
	}

	private _elapsedMs(): number {
		return Math.round(this._services.clock.nowMs() - this._call.exchange.startedAtMs);
	}
}
