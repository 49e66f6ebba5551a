/**
State machine for a forwarded model request. Each attempt reserves memory on a decode engine, prefills the prompt on a
prefill engine, and sends the request to the decode engine, which fetches the KV cache and streams the output.
*/
import type {BaseEvent, UntimedEvent} from '../core/types.js';
import {coldRetryAfterMs, coldServersReason} from './cold-budget.js';
import type {MemoryWaitPolicy} from './memory-wait.js';
import type {RequestPriority, ReservationRound} from './priority-policy.js';
import type {
	LocalAnswer, SendFailure, ServerKey, StopCause,
} from './types.js';
import {stoppingRetryMs} from './types.js';

/** Maximum number of prefill calls per attempt: the second call goes to another engine if the first call fails. */
const maxPrefillCalls = 2;
/** Requests that a retry adds at the engines: one to a prefill engine and one to a decode engine. */
const requestsPerRetry = 2;
/** Time that may pass between the choice of an engine and the event that tells of it, in milliseconds. */
const eventDelayMs = 5;
/** `Retry-After` for callers whose request failed on the engines, in milliseconds. */
const retryAfterFailureMs = 300;

export type ModelForwardOptions = {
	/** Whether another engine may continue the stream after the last event that was forwarded. */
	readonly isResumable: boolean;
	/** Maximum number of engines that may run the request. */
	readonly maxAttempts: number;
	readonly memoryWaitPolicy: MemoryWaitPolicy;
	/** `Retry-After` for the caller if the pool stays full, in milliseconds. */
	readonly fullPoolRetryAfterMs: number;
	/** Competition with requests of other priorities; undefined if all requests of the service have the same priority. */
	readonly priority?: Pick<RequestPriority, 'planRound' | 'recordRefusedRound' | 'recordGranted'> | undefined;
	/**
	Takes as many requests from the service's retry budget as a retry adds at the engines (`requests`), and returns whether the budget had that many
	left. With 0, takes nothing and returns whether the budget is not overdrawn.
	*/
	readonly takeRetry: (nowMs: number, requests: number) => boolean;
	/** Whether some prefill engine accepted a prompt recently, so that the next prompt is unlikely to be rejected. */
	readonly hasAcceptingPrefillEngine: (nowMs: number) => boolean;
	/**
	Charges a failed prefill call to the retry budget, since the engine may already have received the prompt. A prefill call
	that succeeds is not charged.
	*/
	readonly chargeFailedPrefill: (nowMs: number) => void;
};

export type ModelForwardState = ModelForwardOptions & {
	phase: 'holding' | 'waiting' | 'prefilling' | 'sending' | 'relaying' | 'ended';
	/** Time at which the current attempt began to wait for memory, in milliseconds. */
	memoryWaitStartedMs: number;
	/** Number of the current attempt; events of earlier attempts are ignored. */
	attempt: number;
	/** Whether the current round of reservation calls requires engines to keep spare memory beyond the reservation. */
	isSpareRequired: boolean;
	/** How the current round goes; undefined if all requests of the service have the same priority. */
	round: ReservationRound | undefined;
	/** Engines that refused a reservation in the current round of calls. */
	refusedBy: Set<ServerKey>;
	/** Engines on which the request failed; they are not asked again until the request waits for memory. */
	readonly failedOn: Set<ServerKey>;
	/** Number of prefill calls in the current attempt. */
	prefillCalls: number;
	/** Number of engines that may have run the request. */
	possibleRuns: number;
	/** Number of sends that did not run, because the engine rejected them or was not reached. */
	rejections: number;
	/** Whether the head of a stream was forwarded to the caller. */
	hasForwardedHead: boolean;
	/** Whether another engine is sought for a silent run, which goes on meanwhile. */
	isSeekingEngine: boolean;
};

export type ModelForwardEvent =
	| BaseEvent<'forward/start'>
	| (BaseEvent<'forward/held'> & {readonly attempt: number})
	/** The engine refused the reservation for lack of free memory. */
	| (BaseEvent<'forward/hold-refused'> & {readonly attempt: number; readonly server: ServerKey})
	/** The engine did not answer the reservation call, or cannot be used. */
	| (BaseEvent<'forward/hold-failed'> & {readonly attempt: number; readonly server: ServerKey})
	/**
	No engine is left to ask for a reservation. `resumesInMs` is set if every engine paused new work: the time until the first engine resumes, in
	milliseconds. `isPrefillBusy` is set if no engine was asked because this process already has as many prompts at the prefill engines as it may.
	*/
	| (BaseEvent<'forward/no-engine'> & {readonly attempt: number; readonly resumesInMs?: number | undefined; readonly isPrefillBusy?: boolean;
		/** Set if engines are left out only because they are cold: the time until this process may send to the first of them, in milliseconds. */
		readonly coldWaitMs?: number | undefined;})
	| (BaseEvent<'forward/prefilled'> & {readonly attempt: number})
	| (BaseEvent<'forward/prefill-failed'> & {readonly attempt: number; readonly server: ServerKey | undefined})
	/** The head of a response arrived; `isNotRun` means that the engine reported that it did not run the request. */
	| (BaseEvent<'forward/answered'> & {readonly attempt: number; readonly status: number; readonly isNotRun: boolean; readonly server: ServerKey;
		/** Engine whose prefill result the request referred to. */
		readonly prefillServer?: ServerKey | undefined;})
	| (BaseEvent<'forward/failed'> & {readonly attempt: number; readonly failure: SendFailure; readonly server: ServerKey})
	/** The stream ended before its last event. */
	| (BaseEvent<'forward/broken'> & {readonly attempt: number; readonly server: ServerKey})
	/** No event arrived within the stall timeout. */
	| (BaseEvent<'forward/stalled'> & {readonly attempt: number; readonly server: ServerKey})
	/** The run for which another engine is sought has sent an event. */
	| (BaseEvent<'forward/progressed'> & {readonly attempt: number})
	/** Another engine has reserved memory for the silent run on `server`. */
	| (BaseEvent<'forward/engine-found'> & {readonly attempt: number; readonly server: ServerKey})
	/** No other engine has room; `isLost` means that the silent one is not listed any more or is ejected. */
	| (BaseEvent<'forward/no-engine-found'> & {readonly attempt: number; readonly server: ServerKey; readonly isLost: boolean})
	| (BaseEvent<'forward/completed'> & {readonly attempt: number})
	/** The prompt contains parts that crash servers; the block of these parts ends after `retryAfterMs` milliseconds. */
	| (BaseEvent<'forward/blocked'> & {readonly attempt: number; readonly reason: string; readonly retryAfterMs: number})
	| BaseEvent<'forward/wake'>
	| (BaseEvent<'forward/stopped'> & {readonly cause: StopCause});

export type ModelForwardEffect =
	/** Reserves memory on a decode engine that is not excluded. If `isSpacious` is true, the engine must have spare memory beyond the reservation, so that its streams can grow. */
	| {readonly type: 'forward/hold'; readonly attempt: number; readonly exclude: ReadonlySet<ServerKey>; readonly isSpacious: boolean}
	| {readonly type: 'forward/wait'; readonly durationMs: number}
	| {readonly type: 'forward/prefill'; readonly attempt: number; readonly exclude: ReadonlySet<ServerKey>}
	/** Sends the request to the engine that reserved memory for it, with the prefill result if there is one. */
	| {readonly type: 'forward/send'; readonly attempt: number}
	| {readonly type: 'forward/relay'; readonly attempt: number}
	/** Seeks an engine that is not excluded and reserves memory on it, while the run on `server` goes on. */
	| {readonly type: 'forward/seek-engine'; readonly attempt: number; readonly server: ServerKey; readonly exclude: ReadonlySet<ServerKey>}
	/** Reports the run as stalled again if it remains silent. */
	| {readonly type: 'forward/watch'; readonly attempt: number; readonly server: ServerKey}
	/** Ends the silent run, and goes on with the reservation that was found. */
	| {readonly type: 'forward/switch-engine'}
	/** Frees the reservation that was found. */
	| {readonly type: 'forward/release-found'}
	/** Aborts every exchange in progress and frees reservations and prefill results. */
	| {readonly type: 'forward/release'}
	| {readonly type: 'forward/answer'; readonly answer: LocalAnswer}
	/** Closes the caller's connection, so that a partial response is not mistaken for a complete one. */
	| {readonly type: 'forward/cut'; readonly reason: string};

export function createModelForward(options: ModelForwardOptions): ModelForwardState {
	return {
		...options,
		phase: 'holding',
		memoryWaitStartedMs: 0,
		attempt: 0,
		isSpareRequired: true,
		round: undefined,
		refusedBy: new Set(),
		failedOn: new Set(),
		prefillCalls: 0,
		possibleRuns: 0,
		rejections: 0,
		hasForwardedHead: false,
		isSeekingEngine: false,
	};
}

type EventOf<Type extends ModelForwardEvent['type']> = Extract<ModelForwardEvent, {type: Type}>;

export function reduceModelForward(state: ModelForwardState, event: ModelForwardEvent): ModelForwardEffect[] {
	if (state.phase === 'ended' || ('attempt' in event && event.attempt !== state.attempt)) {
		return [];
	}

	if (isSilenceEvent(event)) {
		return handleSilence(state, event);
	}

	switch (event.type) {
		case 'forward/start': {
			return startAttempt(state, event.nowMs);
		}

		case 'forward/held': {
			return handleGrant(state, event.nowMs);
		}

		case 'forward/hold-refused': {
			return handleRefusal(state, event);
		}

		case 'forward/hold-failed': {
			state.failedOn.add(event.server);
			return requestReservation(state);
		}

		case 'forward/no-engine': {
			return handleNoEngine(state, event);
		}

		case 'forward/prefilled': {
			state.phase = 'sending';
			return [{type: 'forward/send', attempt: state.attempt}];
		}

		case 'forward/prefill-failed': {
			return handlePrefillFailure(state, event);
		}

		case 'forward/answered': {
			return handleAnswer(state, event);
		}

		case 'forward/failed': {
			return handleFailure(state, event);
		}

		case 'forward/broken': {
			return retryOrFail(state, {
				server: event.server, mayHaveRun: true, nowMs: event.nowMs, reason: 'the stream broke off',
			});
		}

		case 'forward/completed': {
			state.phase = 'ended';
			return [{type: 'forward/release'}];
		}

		case 'forward/blocked': {
			return failRequest(state, event.reason, event.retryAfterMs);
		}

		case 'forward/wake': {
			return wake(state, event.nowMs);
		}

		case 'forward/stopped': {
			return stop(state, event.cause);
		}
	}
}

/** Failure of an attempt: it ended without a complete response. */
type AttemptFailure = {readonly server: ServerKey; readonly mayHaveRun: boolean; readonly nowMs: number; readonly reason: string};

function startAttempt(state: ModelForwardState, nowMs: number): ModelForwardEffect[] {
	beginAttempt(state, nowMs);
	return startReservationRound(state, nowMs);
}

function beginAttempt(state: ModelForwardState, nowMs: number): void {
	state.attempt++;
	state.memoryWaitStartedMs = nowMs;
	state.phase = 'holding';
	state.prefillCalls = 0;
	state.isSeekingEngine = false;
}

/** Starts a round of reservation calls that requires spare memory; if engines refuse, `handleNoEngine` asks again without that requirement. */
function startReservationRound(state: ModelForwardState, nowMs: number): ModelForwardEffect[] {
	state.round = state.priority?.planRound(nowMs, state.hasForwardedHead);
	state.isSpareRequired = state.round?.isSpareFirst ?? true;
	state.refusedBy = new Set();
	return requestReservation(state);
}

function requestReservation(state: ModelForwardState): ModelForwardEffect[] {
	return [{
		type: 'forward/hold', attempt: state.attempt, exclude: new Set([...state.refusedBy, ...state.failedOn]), isSpacious: state.isSpareRequired,
	}];
}

function wake(state: ModelForwardState, nowMs: number): ModelForwardEffect[] {
	if (state.phase !== 'waiting') {
		return [];
	}

	state.phase = 'holding';
	return startReservationRound(state, nowMs);
}

function handleGrant(state: ModelForwardState, nowMs: number): ModelForwardEffect[] {
	state.priority?.recordGranted(state.refusedBy.size);
	return handleReservation(state, nowMs);
}

function handleRefusal(state: ModelForwardState, {server, nowMs}: EventOf<'forward/hold-refused'>): ModelForwardEffect[] {
	state.refusedBy.add(server);
	return state.refusedBy.size >= (state.round?.maxEngines ?? Infinity) ? handleNoEngine(state, {nowMs}) : requestReservation(state);
}

function requestPrefill(state: ModelForwardState): ModelForwardEffect[] {
	state.prefillCalls++;
	return [{type: 'forward/prefill', attempt: state.attempt, exclude: state.failedOn}];
}

function handleReservation(state: ModelForwardState, nowMs: number): ModelForwardEffect[] {
	// A failed prefill call is charged to the retry budget, so if the budget is overdrawn, a prefill engine is called only if a failure is unlikely.
	// Otherwise the decode engine prefills the prompt, although this stalls its other streams.
	state.phase = state.takeRetry(nowMs, 0) || state.hasAcceptingPrefillEngine(nowMs) ? 'prefilling' : 'sending';
	return state.phase === 'prefilling' ? requestPrefill(state) : [{type: 'forward/send', attempt: state.attempt}];
}

/**
Whether the request fails, or a stream that has begun is cut, if no engine that is asked in this round has room. Engines that are believed to be full
are then asked as well.
*/
export function isLastChance({memoryWaitPolicy: {maxWaitMs, roundIntervalMs}, memoryWaitStartedMs, hasForwardedHead, isSpareRequired, refusedBy}: ModelForwardState, nowMs: number): boolean {
	const isLastRound = nowMs - memoryWaitStartedMs + roundIntervalMs + eventDelayMs > maxWaitMs;
	// Those that refused are asked again without the spare-memory requirement.
	const isFollowed = isSpareRequired && refusedBy.size > 0;
	return !isFollowed && (isLastRound || hasForwardedHead);
}

type NoEngineFacts = Omit<EventOf<'forward/no-engine'>, 'type' | 'attempt'>;

/** Starts another round without the spare-memory requirement if this round had it; otherwise waits for memory if the policy allows it, or else rejects the request. */
function handleNoEngine(state: ModelForwardState, {nowMs, resumesInMs = 0, isPrefillBusy = false, coldWaitMs}: NoEngineFacts): ModelForwardEffect[] {
	if (state.isSpareRequired && state.refusedBy.size > 0) {
		state.isSpareRequired = false;
		state.refusedBy = new Set();
		return requestReservation(state);
	}

	if (state.round && state.refusedBy.size > 0) {
		state.priority?.recordRefusedRound(state.round, state.refusedBy.size, nowMs);
	}

	const {maxWaitMs, roundIntervalMs} = state.memoryWaitPolicy;
	const {fullPoolRetryAfterMs} = state.round ?? state;
	const waitedMs = nowMs - state.memoryWaitStartedMs;
	if (coldWaitMs !== undefined && state.refusedBy.size + state.failedOn.size === 0 && waitedMs + coldWaitMs > maxWaitMs) {
		return failRequest(state, coldServersReason, coldRetryAfterMs(coldWaitMs));
	}

	if (resumesInMs > 0 && waitedMs + resumesInMs > maxWaitMs) {
		return failRequest(state, 'no engine takes work', Math.max(resumesInMs, fullPoolRetryAfterMs));
	}

	if (waitedMs + roundIntervalMs <= maxWaitMs) {
		state.phase = 'waiting';
		// Engines on which the request failed may be the only ones left, so the next round asks them again.
		state.failedOn.clear();
		return [{type: 'forward/wait', durationMs: roundIntervalMs}];
	}

	const noRoomReason = (state.round?.keptRatio ?? 0) > 0 ? 'no engine has room beside that kept for others' : 'no engine has room';
	return failRequest(state, isPrefillBusy ? 'the prefill engines are busy' : noRoomReason, fullPoolRetryAfterMs);
}

/** Calls another prefill engine if one failed, the attempt has a call left and the retry budget is not overdrawn; otherwise lets the decode engine prefill the prompt. */
function handlePrefillFailure(state: ModelForwardState, {server, nowMs}: EventOf<'forward/prefill-failed'>): ModelForwardEffect[] {
	if (server !== undefined) {
		state.failedOn.add(server);
		state.chargeFailedPrefill(nowMs);
		if (state.prefillCalls < maxPrefillCalls && state.takeRetry(nowMs, 0)) {
			return requestPrefill(state);
		}
	}

	state.phase = 'sending';
	return [{type: 'forward/send', attempt: state.attempt}];
}

function handleAnswer(state: ModelForwardState, {status, isNotRun, server, prefillServer, nowMs}: EventOf<'forward/answered'>): ModelForwardEffect[] {
	if (isNotRun) {
		state.rejections++;
		// The decode engine has reserved memory, so it rejects the request only if the prefill engine no longer has the prefill result.
		// The next attempt therefore excludes the prefill engine rather than the decode engine.
		return retryOrFail(state, {
			server: prefillServer ?? server, mayHaveRun: false, nowMs, reason: 'the engine turned the request away',
		});
	}

	const failure: AttemptFailure = {
		server, mayHaveRun: true, nowMs, reason: `the engine answered with status ${status}`,
	};
	const isFailure = status >= 500;
	if (isFailure && state.isResumable && state.possibleRuns + 1 < state.maxAttempts) {
		return retryOrFail(state, failure);
	}

	if (state.hasForwardedHead && status !== 200) {
		return retryOrFail(state, failure);
	}

	state.phase = 'relaying';
	// An answer other than a stream is forwarded only once it is complete.
	state.hasForwardedHead = status === 200;
	return [{type: 'forward/relay', attempt: state.attempt}];
}

function handleFailure(state: ModelForwardState, {failure, server, nowMs}: EventOf<'forward/failed'>): ModelForwardEffect[] {
	state.rejections += failure.mayHaveRun ? 0 : 1;
	return retryOrFail(state, {
		server, mayHaveRun: failure.mayHaveRun, nowMs, reason: failure.detail,
	});
}

/** Starts another attempt if the request either did not run or may run again, and the retry budget allows it; otherwise fails the request. */
function retryOrFail(state: ModelForwardState, {server, mayHaveRun, nowMs, reason}: AttemptFailure): ModelForwardEffect[] {
	state.possibleRuns += mayHaveRun ? 1 : 0;
	const isAllowed = state.possibleRuns < state.maxAttempts && (state.possibleRuns === 0 || state.isResumable) && state.rejections <= state.maxAttempts;
	if (isAllowed && state.takeRetry(nowMs, requestsPerRetry)) {
		state.failedOn.add(server);
		return [{type: 'forward/release'}, ...startAttempt(state, nowMs)];
	}

	return failRequest(state, reason, retryAfterFailureMs);
}

type SilenceEvent = EventOf<'forward/stalled' | 'forward/progressed' | 'forward/engine-found' | 'forward/no-engine-found'>;

/** Returns whether the event concerns a silent run. */
function isSilenceEvent(event: ModelForwardEvent): event is SilenceEvent {
	return event.type === 'forward/stalled' || event.type === 'forward/progressed' || event.type === 'forward/engine-found' || event.type === 'forward/no-engine-found';
}

function handleSilence(state: ModelForwardState, event: SilenceEvent): ModelForwardEffect[] {
	switch (event.type) {
		case 'forward/stalled': {
			return seekEngine(state, event);
		}

		case 'forward/progressed': {
			state.isSeekingEngine = false;
			return [];
		}

		case 'forward/engine-found': {
			return switchEngine(state, event);
		}

		case 'forward/no-engine-found': {
			return waitOn(state, event);
		}
	}
}

/**
Seeks another engine for a silent run. The run is not given up before one has reserved memory: a sound engine is silent while it has preempted
a request, and goes on with it.
*/
function seekEngine(state: ModelForwardState, {server, nowMs}: EventOf<'forward/stalled'>): ModelForwardEffect[] {
	const mayResumeElsewhere = state.isResumable && state.possibleRuns + 1 < state.maxAttempts && state.takeRetry(nowMs, 0);
	if (!mayResumeElsewhere || state.isSeekingEngine) {
		return [];
	}

	state.isSeekingEngine = true;
	return [{
		type: 'forward/seek-engine', attempt: state.attempt, server, exclude: new Set([...state.failedOn, server]),
	}];
}

/** Waits on for a run that is still silent, unless its engine is lost. */
function waitOn(state: ModelForwardState, {attempt, server, isLost, nowMs}: EventOf<'forward/no-engine-found'>): ModelForwardEffect[] {
	if (!state.isSeekingEngine) {
		return [];
	}

	state.isSeekingEngine = false;
	return isLost
		? retryOrFail(state, {
			server, mayHaveRun: true, nowMs, reason: 'the engine is lost',
		})
		: [{type: 'forward/watch', attempt, server}];
}

/** Goes on at the engine that was found, unless the run has sent an event meanwhile or the retry budget does not allow it. */
function switchEngine(state: ModelForwardState, {server, nowMs}: EventOf<'forward/engine-found'>): ModelForwardEffect[] {
	if (!state.isSeekingEngine || !state.takeRetry(nowMs, requestsPerRetry)) {
		state.isSeekingEngine = false;
		return [{type: 'forward/release-found'}];
	}

	state.possibleRuns++;
	state.failedOn.add(server);
	beginAttempt(state, nowMs);
	return [{type: 'forward/switch-engine'}, ...handleReservation(state, nowMs)];
}

function failRequest(state: ModelForwardState, reason: string, retryAfterMs: number): ModelForwardEffect[] {
	state.phase = 'ended';
	if (state.hasForwardedHead) {
		return [{type: 'forward/release'}, {type: 'forward/cut', reason}];
	}

	const answer: LocalAnswer = state.possibleRuns > 0 ? {status: 502, reason, retryAfterMs: undefined} : {status: 503, reason, retryAfterMs};
	return [{type: 'forward/release'}, {type: 'forward/answer', answer}];
}

function stop(state: ModelForwardState, cause: StopCause): ModelForwardEffect[] {
	const mayHaveRun = state.possibleRuns > 0 || state.phase === 'sending' || state.phase === 'relaying';
	state.phase = 'ended';
	if (cause === 'caller-gone') {
		return [{type: 'forward/release'}];
	}

	const isShutdown = cause === 'shutdown';
	const reason = isShutdown ? 'the process is stopping' : 'the time for the request is over';
	if (state.hasForwardedHead) {
		return [{type: 'forward/release'}, {type: 'forward/cut', reason}];
	}

	const answer: LocalAnswer = mayHaveRun
		? {status: isShutdown ? 502 : 504, reason, retryAfterMs: undefined}
		: {status: 503, reason, retryAfterMs: isShutdown ? stoppingRetryMs : state.fullPoolRetryAfterMs};
	return [{type: 'forward/release'}, {type: 'forward/answer', answer}];
}

export type ModelForwardInput = UntimedEvent<ModelForwardEvent>;
