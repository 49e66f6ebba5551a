import {createModelForward, isLastChance, reduceModelForward} from '../../common/forwarding/model-forward.js';
import type {ModelForwardState, ModelForwardEffect, ModelForwardInput} from '../../common/forwarding/model-forward.js';
import {memoryWaitPolicy, fullPoolRetryAfterMs, isCallerRetry} from '../../common/forwarding/memory-wait.js';
import {RequestPriority} from '../../common/forwarding/priority-policy.js';
import {priorityLevel} from '../../common/forwarding/priority-ranks.js';
import {keptTokens, reservedTokens, minFreeTokens} from '../../common/forwarding/reservation.js';
import type {Server, ServerQuery} from '../../common/forwarding/server-directory.js';
import {StreamPace} from '../../common/forwarding/stream-pace.js';
import type {ServerKey, StopCause} from '../../common/forwarding/types.js';
import {prefillParts} from '../../common/quarantine/parts.js';
import {blockedReason} from '../../common/quarantine/quarantine.js';
import type {TrackedAttempt} from '../quarantine/request-quarantine.js';
import {CallError, failureOf, ForeignAnswerError} from '../upstreams/call-error.js';
import {discardBody} from '../upstreams/connection-pool.js';
import type {UpstreamResponse} from '../upstreams/connection-pool.js';
import {EngineResources} from './engine-resources.js';
import type {MemoryReservation, PrefilledCache} from './engine-resources.js';
import {StreamWriter} from './stream-writer.js';
import {bufferAnswer} from './forward-adapter.js';
import type {HttpMethod} from './forward-adapter.js';
import {
	checkEnd, recordColdSend, relayAnswer, sendLocalAnswer, watchForStop,
} from './forward-request.js';
import type {ForwardDependencies, ForwardRequest, ForwardResult} from './forward-request.js';
import type {ServerRequestFacts} from './fleet-protocol.js';
import {SseEventBuffer} from './sse-event-buffer.js';
import {SseEventTracker} from './sse-event-tracker.js';

/**
Timeout of a prefill call, as a multiple of the route's latency objective. It exceeds 1 because a prefill that is given up is
wasted entirely, whereas a prefill that ends after the objective is still useful.
*/
const prefillTimeoutShare = 1.2;
/** Maximum size of the answer to a prefill call, in bytes; as that of other calls that the router makes. */
const prefillAnswerLimitBytes = 65_536;
/** Maximum size of an answer other than a stream, in bytes. */
const failureAnswerLimitBytes = 1024 * 1024;
/** Status of an answer with output (HTTP 200, OK). */
const successStatus = 200;
/** Status with which a server rejects a request for another incarnation or another stage (HTTP 421, Misdirected Request). */
const misdirectedStatus = 421;
/** Maximum time to live of a memory reservation, in milliseconds; long enough for the prefill and the transfer of the KV cache. */
const reservationTtlMs = 2000;
/** Time without a first event after which an engine counts as stalled, in milliseconds; five times what an engine with reserved memory and a prefilled prompt takes. */
const firstEventTimeoutMs = 500;
/**
Addition to `firstEventTimeoutMs` for each prompt token, in milliseconds, if the decode engine has to prefill the prompt itself;
several times what an idle engine takes to prefill a token.
*/
const decodePrefillMsPerToken = 0.2;
/**
Time without a further event after which an engine counts as stalled, in milliseconds; longer than an engine takes to prefill a
request again after preempting it.
*/
const eventGapTimeoutMs = 1500;
/** Time after which another engine is sought again for a run that is still silent, in milliseconds; about as often as new requests ask a full pool for memory. */
const seekIntervalMs = 100;
/** Time after the deadline of the request for which an answer's headers are still awaited, in milliseconds; the server may have sent them before the deadline. */
const headersSlackMs = 100;
/** Largest incomplete event that does not count as memory, in bytes. Sound events have a few hundred, and their streams go on while there is no memory left. */
const uncountedEventBytes = 4096;
/** Size by which the pace of streams is compared; the time per event hardly depends on the length of a stream. */
const streamSize = 1;

/** Forwards one request to a model service: executes the effects of the lifecycle reducer and dispatches their results to the reducer. */
export class ModelForwarder {
	private readonly _state: ModelForwardState;
	private readonly _eventTracker = new SseEventTracker();
	private readonly _reservedTokens: number;
	private readonly _priority: RequestPriority | undefined;
	private _abort = new AbortController();
	private readonly _resources: EngineResources;
	private readonly _writer: StreamWriter;
	/** Memory that another engine has reserved for a run that is silent, until the request goes on there or the memory is released. */
	private _foundReservation: MemoryReservation | undefined;
	/** Whether the request occupies one of the prefill slots of this process. */
	private _hasPrefillSlot = false;
	private _response: UpstreamResponse | undefined;
	/** The send in progress, for the quarantine. */
	private _trackedSend: TrackedAttempt | undefined;
	private _outcome = 'unfinished';
	private _sends = 0;
	private _firstEventMs: number | undefined;
	private _lastEventMs = 0;
	private _longestGapMs: number | undefined;
	private _wakeTimer: NodeJS.Timeout | undefined;
	private _stallTimer: NodeJS.Timeout | undefined;
	private _finish!: () => void;

	constructor(private readonly _dependencies: ForwardDependencies, private readonly _request: ForwardRequest) {
		const {
			route, service, requestId, priority, caller: {prompt},
		} = _request;
		const waitMs = _request.callerDeadlineMs - _request.exchange.startedAtMs;
		const base = {
			memoryWaitPolicy: memoryWaitPolicy({waitMs, timeoutMs: route.timeoutMs, targetMs: route.targetMs}),
			fullPoolRetryAfterMs: fullPoolRetryAfterMs(_dependencies.fleet.random.next()),
		};
		this._priority = priority && new RequestPriority({
			...base, priority, service: service.name, shortage: _dependencies.fleet.roomShortage,
			isCallerRetry: isCallerRetry({waitMs, timeoutMs: route.timeoutMs}), waitMs, random: _dependencies.fleet.random.next(),
			readyEngines: () => _dependencies.fleet.directory.readyServers(service.name, 'decode').length,
			sizeShare: reservedTokens(prompt) / (service.engine?.cacheTokens ?? Infinity),
		});
		this._resources = new EngineResources(_dependencies, requestId);
		this._writer = new StreamWriter(_request, _dependencies.memory);
		this._state = createModelForward({
			isResumable: route.isResumable,
			maxAttempts: route.maxAttempts,
			...base,
			priority: this._priority,
			chargeFailedPrefill() {
				_dependencies.fleet.recordRequest(service.name);
			},
			hasAcceptingPrefillEngine: nowMs => _dependencies.fleet.directory.hasAcceptingPrefillEngine(service.name, nowMs, _request.allowedZones),
			takeRetry: (_nowMs, requests) => _dependencies.fleet.takeRetry(service.name, requests),
		});
		this._reservedTokens = reservedTokens(prompt);
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
		clearTimeout(this._wakeTimer);
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
		for (const effect of reduceModelForward(this._state, {...event, nowMs: this._dependencies.clock.nowMs()})) {
			this._execute(effect);
		}

		if (this._state.phase === 'ended') {
			this._finish();
		}
	}

	/** Dispatches an event once all effects that are now being executed are done, so that the reducer is not re-entered. */
	private _dispatchLater(event: ModelForwardInput): void {
		queueMicrotask(() => {
			this._dispatch(event);
		});
	}

	private _execute(effect: ModelForwardEffect): void {
		switch (effect.type) {
			case 'forward/hold': {
				void this._reserveMemory(effect);
				break;
			}

			case 'forward/wait': {
				this._releasePrefillSlot();
				this._wakeTimer = setTimeout(() => {
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
				void (this._response!.status === 200 ? this._relayStream(effect.attempt) : this._relayWhole(effect.attempt));
				break;
			}

			case 'forward/seek-engine': {
				void this._seekEngine(effect);
				break;
			}

			case 'forward/watch': {
				this._watchSilence(effect);
				break;
			}

			case 'forward/switch-engine': {
				this._switchEngine();
				break;
			}

			case 'forward/release-found': {
				this._releaseFoundReservation();
				break;
			}

			case 'forward/release': {
				this._release();
				break;
			}

			case 'forward/answer': {
				this._outcome = effect.answer.reason;
				sendLocalAnswer(this._request, this._dependencies.protocol, effect.answer);
				break;
			}

			case 'forward/cut': {
				this._outcome = `cut: ${effect.reason}`;
				this._request.exchange.destroyConnection();
				break;
			}
		}
	}

	private _selectionCriteria(exclude: ReadonlySet<ServerKey>, zone: string): ServerQuery {
		const {fleet, clock} = this._dependencies;
		const {service, allowedZones} = this._request;
		const nowMs = clock.nowMs();
		return {
			allowedZones,
			service: service.name,
			zone,
			exclude,
			maxInFlight: fleet.exchangeLimit(service.maxConnections),
			tokens: this._request.caller.prompt?.promptTokens ?? 0,
			nowMs,
			coldRate: fleet.coldRate(service),
			isLastChance: isLastChance(this._state, nowMs),
		};
	}

	/**
	Reserves memory on a decode engine. The call is not aborted when the request is given up, because only its answer contains
	the id by which a granted reservation can be released at once.
	*/
	private async _reserveMemory({attempt, exclude, isSpacious}: Extract<ModelForwardEffect, {type: 'forward/hold'}>): Promise<void> {
		if (this._endIfBlocked(attempt)) {
			return;
		}

		const {fleet, logger, clock, zone, metrics} = this._dependencies;
		const {service, requestId, priority} = this._request;
		this._hasPrefillSlot ||= fleet.acquirePrefillSlot(service.name, this._state.hasForwardedHead ? 0 : this._priority?.effectiveRank);
		const isPrefillBusy = !this._hasPrefillSlot;
		const query = this._selectionCriteria(exclude, zone);
		const server = isPrefillBusy ? undefined : fleet.directory.chooseDecodeEngine(query);
		if (!server) {
			const coldWaitMs = isPrefillBusy ? undefined : fleet.directory.coldWaitMs({...query, stage: 'decode'});
			this._releasePrefillSlot();
			this._dispatchLater({
				type: 'forward/no-engine', attempt, resumesInMs: fleet.directory.earliestResumeInMs(service.name, clock.nowMs(), 'decode', query.allowedZones), isPrefillBusy, coldWaitMs,
			});
			return;
		}

		try {
			const result = await this._resources.reserve(server, {tokens: this._reservedTokens, ttlMs: this._reservationTtlMs(), minFreeTokens: this._minFreeTokens(isSpacious)});
			if (result.kind !== 'held') {
				this._dispatch({type: result.kind === 'refused' ? 'forward/hold-refused' : 'forward/hold-failed', attempt, server: server.key});
				return;
			}

			if (this._isStale(attempt)) {
				this._resources.releaseReservation(result.reservation);
				return;
			}

			this._resources.reservation = result.reservation;
			const departure = fleet.directory.departureReason(server, query);
			metrics.count('forward_placements_total', {service: service.name, departure: departure ?? 'none'});
			logger.log('info', 'request placed', {
				requestId, attempt, server: server.key, tokens: this._reservedTokens, isSpacious, ownTokens: server.tokens, priority: priority?.rank,
				keptRatio: this._state.round?.keptRatio, waitedMs: this._elapsedMs(), listAgeMs: fleet.listAgeMs(),
				...fleet.directory.describeRanking(server, zone, clock.nowMs()), ...(departure && {departure, fromZone: zone, toZone: server.record.zone}),
			});
			this._dispatch({type: 'forward/held', attempt});
		} catch (err) {
			// Engines answer a reservation call without running a model, so an engine that does not answer counts as unreachable.
			this._recordFailure(server, err, {isAborted: this._isStale(attempt), isUnreachable: !(err instanceof ForeignAnswerError)});
			this._dispatch({type: 'forward/hold-failed', attempt, server: server.key});
		}
	}

	/** Asks the engines in turn for memory for a silent run, until one has reserved it. */
	private async _seekEngine({attempt, server: silentServer, exclude}: Extract<ModelForwardEffect, {type: 'forward/seek-engine'}>): Promise<void> {
		const {fleet, zone, logger} = this._dependencies;
		const {service, requestId} = this._request;
		const tried = new Set(exclude);
		while (!this._isStale(attempt) && this._state.isSeekingEngine) {
			this._hasPrefillSlot ||= fleet.acquirePrefillSlot(service.name);
			const server = this._hasPrefillSlot ? fleet.directory.chooseDecodeEngine({...this._selectionCriteria(tried, zone), isLastChance: true}) : undefined;
			if (!server) {
				break;
			}

			tried.add(server.key);
			try {
				const result = await this._resources.reserve(server, {tokens: this._reservedTokens, ttlMs: this._reservationTtlMs(), minFreeTokens: 0});
				if (result.kind === 'held') {
					if (this._isStale(attempt)) {
						this._resources.releaseReservation(result.reservation);
						return;
					}

					this._foundReservation = result.reservation;
					logger.log('info', 'engine found for a silent run', {
						requestId, attempt, server: server.key, silentServer, elapsedMs: this._elapsedMs(),
					});
					this._dispatch({type: 'forward/engine-found', attempt, server: silentServer});
					return;
				}
			} catch (err) {
				this._recordFailure(server, err, {isAborted: this._isStale(attempt), isUnreachable: !(err instanceof ForeignAnswerError)});
			}
		}

		if (!this._isStale(attempt)) {
			this._releasePrefillSlot();
			const {ejection} = fleet.directory.get(silentServer) ?? {};
			this._dispatch({
				type: 'forward/no-engine-found', attempt, server: silentServer, isLost: ejection?.isEjected ?? true,
			});
		}
	}

	/** Ends the silent run and makes the reservation that was found that of the request. */
	private _switchEngine(): void {
		const reservation = this._foundReservation;
		this._foundReservation = undefined;
		const hadPrefillSlot = this._hasPrefillSlot;
		this._hasPrefillSlot = false;
		this._release();
		this._hasPrefillSlot = hadPrefillSlot;
		this._resources.reservation = reservation;
	}

	private _releaseFoundReservation(): void {
		this._releasePrefillSlot();
		if (this._foundReservation) {
			this._resources.releaseReservation(this._foundReservation);
			this._foundReservation = undefined;
		}
	}

	private _reservationTtlMs(): number {
		return Math.min(reservationTtlMs, this._request.service.engine?.holdTtlMs ?? reservationTtlMs);
	}

	/** Memory that an engine must have free in addition to the reservation, in tokens of KV cache. */
	private _minFreeTokens(isSpacious: boolean): number {
		const {service} = this._request;
		const {round, memoryWaitPolicy: {spareMemoryRatio}} = this._state;
		const cacheTokens = service.engine?.cacheTokens ?? 0;
		const kept = round ? keptTokens(this._reservedTokens, round.keptRatio, cacheTokens) : this._reservedTokens * spareMemoryRatio;
		return Math.max(kept, isSpacious ? minFreeTokens(cacheTokens) : 0);
	}

	private _isStale(attempt: number): boolean {
		return this._state.phase === 'ended' || this._state.attempt !== attempt;
	}

	/** Ends the request if its prompt contains blocked parts. Returns whether it does. */
	private _endIfBlocked(attempt: number): boolean {
		const {quarantine} = this._dependencies;
		const {parts, requestId} = this._request;
		const block = quarantine.findBlock(parts);
		if (block) {
			this._dispatchLater({
				type: 'forward/blocked', attempt, reason: blockedReason, retryAfterMs: quarantine.recordRefusal(block, requestId),
			});
		}

		return block !== undefined;
	}

	private async _prefill(attempt: number, exclude: ReadonlySet<ServerKey>): Promise<void> {
		if (this._endIfBlocked(attempt)) {
			return;
		}

		const {
			fleet, protocol, clock, logger, quarantine,
		} = this._dependencies;
		const {
			route, service, caller, requestId,
		} = this._request;
		const parts = prefillParts(this._request.parts);
		const block = quarantine.findBlock(parts);
		const server = block ? undefined : fleet.directory.choosePrefillEngine(this._selectionCriteria(exclude, this._resources.reservation!.server.record.zone));
		if (!server) {
			if (block) {
				logger.log('info', 'prompt with blocked parts is read by the decode engine', {
					requestId, attempt, parts: block.parts, decidedBy: block.decidedBy,
				});
			}

			this._dispatchLater({type: 'forward/prefill-failed', attempt, server: undefined});
			return;
		}

		const {signal} = this._abort;
		const tokens = caller.prompt?.promptTokens ?? 0;
		const startedMs = clock.nowMs();
		const trackedPrefill = quarantine.track(server.key, requestId, parts);
		fleet.directory.beginWork(server, tokens);
		recordColdSend(this._request, this._dependencies, server);
		try {
			const response = await fleet.adapterFor(server).send(this._serverRequest(server, {isPrefill: true}, Math.max(1, route.targetMs * prefillTimeoutShare), signal));
			const {status, headers, body, isFramed} = await bufferAnswer(response, prefillAnswerLimitBytes);
			const result = status === successStatus ? protocol.readPrefill(new TextDecoder().decode(body.take())) : undefined;
			if (status === successStatus && !result && !isFramed) {
				throw new CallError('broken', true, 'the answer ended early with its connection');
			}

			trackedPrefill.endWithAnswer(result !== undefined);
			if (!result) {
				const isRejected = protocol.readServerAnswer(headers).isNotRun;
				logger.log('info', 'prompt not prefilled', {
					requestId, attempt, server: server.key, status, isRejected, listAgeMs: fleet.listAgeMs(),
				});
				if (status === misdirectedStatus) {
					fleet.recordMisdirected(server);
				} else if (isRejected) {
					fleet.directory.recordRefusal(server, clock.nowMs());
				} else {
					fleet.recordFailure(server, {isUnreachable: false, detail: `prefill answered with status ${status}`});
				}

				this._dispatch({type: 'forward/prefill-failed', attempt, server: server.key});
				return;
			}

			const prefilledCache: PrefilledCache = {server, handle: result.handle, isUsed: false};
			if (this._isStale(attempt)) {
				this._resources.releasePrefilledCache(prefilledCache);
				return;
			}

			fleet.directory.recordAnswer(server, true, clock.nowMs() - startedMs, clock.nowMs());
			fleet.recordPrefillDuration(service.name, clock.nowMs() - startedMs, route.targetMs);
			if (tokens > 0) {
				fleet.directory.recordWork(server, tokens, (clock.nowMs() - startedMs) / tokens, clock.nowMs());
			}

			this._resources.prefilledCache = prefilledCache;
			this._dispatch({type: 'forward/prefilled', attempt});
		} catch (err) {
			trackedPrefill.fail(failureOf(err), signal.aborted);
			this._recordFailure(server, err, {isAborted: signal.aborted, isUnreachable: !failureOf(err).mayHaveBeenSent});
			if (!signal.aborted && clock.nowMs() - startedMs >= route.targetMs) {
				fleet.recordPrefillDuration(service.name, clock.nowMs() - startedMs, route.targetMs);
			}

			this._dispatch({type: 'forward/prefill-failed', attempt, server: server.key});
		} finally {
			fleet.directory.endWork(server, tokens);
		}
	}

	private _serverRequest(server: Server, facts: Partial<ServerRequestFacts>, headersTimeoutMs: number, signal: AbortSignal) {
		const {
			exchange: {req}, body, callerDeadlineMs, customer, caller, priority,
		} = this._request;
		return {
			requestId: this._request.requestId,
			method: req.method as HttpMethod,
			path: req.url!,
			headers: this._dependencies.protocol.serverHeaders(req.rawHeaders, {
				waitMs: callerDeadlineMs - this._dependencies.clock.nowMs(), serverId: server.record.id, customer, lastEventId: this._eventTracker.lastEventId ?? caller.lastEventId,
				priorityLevel: priority && priorityLevel(priority), ...facts,
			}),
			...(body.length > 0 && {body}),
			headersTimeoutMs,
			signal,
		};
	}

	private async _send(attempt: number): Promise<void> {
		const {fleet, protocol, clock, logger} = this._dependencies;
		const {service, requestId, deadlineMs} = this._request;
		const {prefilledCache} = this._resources;
		const reservation = this._resources.reservation!;
		const {server} = reservation;
		const {signal} = this._abort;
		this._releasePrefillSlot();
		if (this._endIfBlocked(attempt)) {
			return;
		}

		if (!fleet.directory.isAcceptingWork(server, clock.nowMs())) {
			this._dispatchLater({
				type: 'forward/failed', attempt, failure: {mayHaveRun: false, detail: 'the engine takes no more work'}, server: server.key,
			});
			return;
		}

		const trackedSend = this._dependencies.quarantine.track(server.key, requestId, this._request.parts);
		this._trackedSend = trackedSend;
		this._sends++;
		if (this._sends === 1) {
			fleet.countSend(service.name);
		}

		recordColdSend(this._request, this._dependencies, server);
		reservation.isUsed = true;
		if (prefilledCache) {
			prefilledCache.isUsed = true;
		}

		logger.log('info', 'request sent', {
			requestId, attempt, server: server.key, prefillServer: prefilledCache?.server.key, after: this._eventTracker.lastEventId, elapsedMs: this._elapsedMs(),
			fingerprint: this._request.fingerprint, parts: this._request.caller.promptParts,
		});
		this._armStallTimer(attempt, server.key, firstEventTimeoutMs + (prefilledCache ? 0 : (this._request.caller.prompt?.promptTokens ?? 0) * decodePrefillMsPerToken));
		try {
			const response = await fleet.adapterFor(server).send(this._serverRequest(server, {
				reservationId: reservation.id, ...(prefilledCache && {prefill: {address: prefilledCache.server.record.address, handle: prefilledCache.handle}}),
			}, Math.max(1, deadlineMs - clock.nowMs() + headersSlackMs), signal));
			if (protocol.readServerAnswer(response.headers).isNotRun) {
				trackedSend.end('inconclusive');
				discardBody(response.body);
				this._handleRejection(attempt, response.status, reservation, prefilledCache);
				return;
			}

			fleet.directory.recordAnswer(server, response.status < 500, server.latencyMs, clock.nowMs());
			this._response = response;
			this._dispatch({
				type: 'forward/answered', attempt, status: response.status, isNotRun: false, server: server.key,
			});
			if (this._isStale(attempt)) {
				response.body.destroy();
			}
		} catch (err) {
			trackedSend.fail(failureOf(err), signal.aborted);
			this._recordFailure(server, err, {isAborted: signal.aborted, isUnreachable: !failureOf(err).mayHaveBeenSent});
			this._dispatch({
				type: 'forward/failed', attempt, failure: {mayHaveRun: failureOf(err).mayHaveBeenSent, detail: err instanceof Error ? err.message : String(err)}, server: server.key,
			});
		}
	}

	/** Handles an answer that states that the engine did not run the request. */
	private _handleRejection(attempt: number, status: number, reservation: MemoryReservation, prefilledCache: PrefilledCache | undefined): void {
		const {fleet, logger} = this._dependencies;
		const {requestId} = this._request;
		const {server} = reservation;
		reservation.isUsed = false;
		if (prefilledCache) {
			prefilledCache.isUsed = false;
		}

		logger.log('info', 'engine turned the request away', {
			requestId, attempt, server: server.key, prefillServer: prefilledCache?.server.key, status,
		});
		if (status === misdirectedStatus) {
			fleet.recordMisdirected(server);
		} else if (prefilledCache) {
			fleet.recordFailure(prefilledCache.server, {isUnreachable: false, detail: 'the prefill result is no longer available'});
		}

		this._dispatch({
			type: 'forward/answered', attempt, status, isNotRun: true, server: server.key, prefillServer: prefilledCache?.server.key,
		});
	}

	/** Relays an answer other than a stream once it is complete, so that no part of it stands ahead of the answer to another attempt. */
	private async _relayWhole(attempt: number): Promise<void> {
		const {exchange} = this._request;
		const {server} = this._resources.reservation!;
		try {
			const answer = await bufferAnswer(this._response!, failureAnswerLimitBytes, bytes => this._writer.hold(bytes));
			await checkEnd(answer, this._dependencies.fleet, server);
			if (this._isStale(attempt)) {
				return;
			}

			this._trackedSend?.endWithAnswer(answer.status === successStatus);
			this._outcome = 'relayed';
			relayAnswer(exchange, this._dependencies.protocol, answer);
			this._dispatch({type: 'forward/completed', attempt});
		} catch (err) {
			this._writer.hold(0);
			if (!this._isStale(attempt)) {
				this._trackedSend?.end('broken');
				this._recordFailure(server, err, {isAborted: false, isUnreachable: false});
				this._dispatch({
					type: 'forward/failed', attempt, failure: {mayHaveRun: true, detail: 'the answer broke off'}, server: server.key,
				});
			}
		}
	}

	/** Relays a stream event by event, so that one that breaks off can resume after its last complete event. */
	private async _relayStream(attempt: number): Promise<void> {
		const {exchange} = this._request;
		const {protocol, fleet, clock} = this._dependencies;
		const response = this._response!;
		const {server} = this._resources.reservation!;
		this._eventTracker.discardPartialEvent();
		const eventBuffer = new SseEventBuffer(this._eventTracker);
		const pace = new StreamPace();
		try {
			if (!exchange.res.headersSent) {
				// Without a length, since another engine may go on with the stream in other bytes. In chunks also if the engine's answer has
				// no framing: if this process is killed, the kernel closes the connection in order, and only a last chunk tells an end.
				exchange.writeHead(response.status, withoutHeader(protocol.callerHeaders(response.headers), 'content-length'));
				exchange.res.flushHeaders();
			}

			for await (const chunk of response.body as AsyncIterable<Uint8Array>) {
				if (this._isStale(attempt)) {
					return;
				}

				const completeEvents = eventBuffer.push(chunk);
				if (!this._writer.hold(eventBuffer.partialBytes > uncountedEventBytes ? eventBuffer.partialBytes : 0)) {
					return;
				}

				if (completeEvents.length > 0) {
					this._armStallTimer(attempt, server.key, eventGapTimeoutMs);
					this._recordEvent();
					const receivedMs = clock.nowMs();
					const msPerEvent = pace.record(this._eventTracker.eventCount, receivedMs);
					if (msPerEvent !== undefined) {
						fleet.directory.recordWork(server, streamSize, msPerEvent, receivedMs);
					}

					this._writer.write(completeEvents);
				}

				if (eventBuffer.fault !== undefined) {
					response.body.destroy();
					throw new CallError('broken', true, eventBuffer.fault);
				}
			}
		} catch (err) {
			this._writer.hold(0);
			if (!this._isStale(attempt)) {
				this._trackedSend?.end('broken');
				this._recordFailure(server, err, {isAborted: false, isUnreachable: false});
				this._dispatch({type: 'forward/broken', attempt, server: server.key});
			}

			return;
		}

		this._writer.hold(0);
		if (!this._isStale(attempt)) {
			await this._endStream(attempt, response, eventBuffer.hasPartialEvent);
		}
	}

	/** Ends the relay of a stream whose body has ended: only what the engine has told makes the caller's answer complete. */
	private async _endStream(attempt: number, response: UpstreamResponse, isWithinEvent: boolean): Promise<void> {
		const {exchange, requestId} = this._request;
		const {fleet, logger} = this._dependencies;
		const {server} = this._resources.reservation!;
		const {isFramed} = response;
		const wasBrokenOff = response.wasBrokenOff();
		const isBroken = wasBrokenOff || isWithinEvent || (!isFramed && await fleet.isLost(server));
		if (this._isStale(attempt)) {
			return;
		}

		const end = {
			requestId, attempt, server: server.key, isFramed, wasBrokenOff, isWithinEvent, after: this._eventTracker.lastEventId,
		};
		if (isBroken) {
			this._trackedSend?.end('broken');
			logger.log('warn', 'stream broke off', end);
			this._recordFailure(server, new CallError('broken', true, 'the stream broke off'), {isAborted: false, isUnreachable: false});
			this._dispatch({type: 'forward/broken', attempt, server: server.key});
			return;
		}

		if (!isFramed) {
			logger.log('info', 'stream ended with its connection', end);
		}

		this._trackedSend?.endWithAnswer(response.status === successStatus);
		this._outcome = 'relayed';
		exchange.res.end();
		this._dispatch({type: 'forward/completed', attempt});
	}

	private _recordEvent(): void {
		if (this._state.isSeekingEngine) {
			this._dispatch({type: 'forward/progressed', attempt: this._state.attempt});
		}

		this._trackedSend?.recordOutput();
		const nowMs = this._elapsedMs();
		if (this._firstEventMs === undefined) {
			this._firstEventMs = nowMs;
			this._dependencies.metrics.observe('forward_first_event_ms', nowMs, {route: this._request.route.name});
		} else {
			this._longestGapMs = Math.max(this._longestGapMs ?? 0, nowMs - this._lastEventMs);
		}

		this._lastEventMs = nowMs;
	}

	/** Restarts the stall timer: the engine is reported as stalled after `stallMs` milliseconds unless the timer is restarted or cleared before. */
	private _armStallTimer(attempt: number, server: ServerKey, stallMs: number): void {
		clearTimeout(this._stallTimer);
		this._stallTimer = setTimeout(() => {
			if (this._isStale(attempt)) {
				return;
			}

			this._dependencies.logger.log('warn', 'engine silent', {
				requestId: this._request.requestId, attempt, server, stallMs, after: this._eventTracker.lastEventId, elapsedMs: this._elapsedMs(),
			});
			this._trackedSend?.recordStall();
			this._dispatch({type: 'forward/stalled', attempt, server});
		}, stallMs);
	}

	/** Reports the run as stalled again after `seekIntervalMs`, unless it sends an event before. */
	private _watchSilence({attempt, server}: Extract<ModelForwardEffect, {type: 'forward/watch'}>): void {
		clearTimeout(this._stallTimer);
		this._stallTimer = setTimeout(() => {
			this._dispatch({type: 'forward/stalled', attempt, server});
		}, seekIntervalMs);
	}

	/** Aborts the exchanges and timers of the request, and releases its prefill slot and the memory that engines keep for it. */
	private _release(): void {
		this._releaseFoundReservation();
		this._trackedSend?.end('stopped');
		this._trackedSend = undefined;
		this._abort.abort();
		this._abort = new AbortController();
		this._response?.body.destroy();
		this._response = undefined;
		clearTimeout(this._wakeTimer);
		clearTimeout(this._stallTimer);
		this._resources.releaseAll();
	}

	private _releasePrefillSlot(): void {
		if (this._hasPrefillSlot) {
			this._hasPrefillSlot = false;
			this._dependencies.fleet.releasePrefillSlot(this._request.service.name);
		}
	}

	private _recordFailure(server: Server, err: unknown, {isAborted, isUnreachable}: {readonly isAborted: boolean; readonly isUnreachable: boolean}): void {
		if (isAborted) {
			return;
		}

		const detail = err instanceof Error ? err.message : String(err);
		this._dependencies.fleet.recordFailure(server, {isUnreachable, detail});
		this._dependencies.logger.log('warn', 'server failed', {
			requestId: this._request.requestId, server: server.key, phase: this._state.phase, detail, listAgeMs: this._dependencies.fleet.listAgeMs(),
		});
	}

	private _elapsedMs(): number {
		return Math.round(this._dependencies.clock.nowMs() - this._request.exchange.startedAtMs);
	}
}

function withoutHeader(headers: readonly string[], name: string): string[] {
	return headers.filter((_, i) => headers[i - (i % 2)]!.toLowerCase() !== name);
}
