import type {BaseEvent} from '../core/types.js';
import type {
	DecodeFailure, Placement, PlacementReply, Progress,
} from '../services/scheduler-client.js';
import type {DecodeEvent, PrefillReply, Usage} from '../upstreams/engine-api.js';
import {acceptEvent, createAssembler} from './answer-assembler.js';
import type {
	AssemblerState, CallFailure, ExecutionStatus, StopReason,
} from './types.js';

/** Largest number of placements per request: the initial placement and one more, after which the prefill is computed again. */
export const maxPlacements = 2;
/** Largest number of decode engines that are tried with one prefill result. */
export const maxDecodeEngines = 3;
/** Largest number of consecutive stream resumptions without new text. If one more is needed, the decode engine counts as lost. */
export const maxResumesWithoutProgress = 3;

/** Step of a model request that is in progress. In the phase `replacing`, the scheduler has been asked for another decode engine. */
export type ModelPhase = 'placing' | 'prefilling' | 'transferring' | 'replacing' | 'decoding' | 'ended';

/** State of one model request. */
export type ModelRequestState = {
	readonly requestId: string;
	/** Whether text is sent to the caller as it is produced; if so, the request cannot be restarted once text has been sent. */
	readonly isStreaming: boolean;
	phase: ModelPhase;
	/** Number of the current attempt, starting at 1; 0 before the request starts. Each placement starts a new attempt. */
	attempt: number;
	placement: Placement | undefined;
	prefill: PrefillReply | undefined;
	/** Time at which the prefill engine may discard the current prefill result, in milliseconds; 0 before the first result. */
	prefillExpiresAtMs: number;
	/** Time at which the current phase started, in milliseconds. */
	phaseStartedAtMs: number;
	/** Number of decode engines tried with the current prefill result. */
	decodeEnginesTried: number;
	/** Number of stream resumptions since the last new text. */
	resumesWithoutProgress: number;
	/** Engines that may hold KV cache or a slot for the current attempt and must be told to free it. */
	readonly enginesToFree: Set<string>;
	/** Whether any engine may have processed the request. */
	mayHaveRun: boolean;
	assembler: AssemblerState;
	/** Estimated number of prompt tokens, used until a prefill engine has counted them. */
	readonly estimatedPromptTokens: number;
	/** Number of prompt and output tokens charged to the customer if the request ends without usage figures from an engine. */
	tokensToCharge: number;
};

/** Event of a model request: its start, the result of a call made for it, or an instruction to stop it. */
export type ModelRequestEvent =
	| BaseEvent<'request/start'>
	| (BaseEvent<'request/placed'> & {readonly reply: PlacementReply})
	| (BaseEvent<'request/prefilled'> & {readonly reply: PrefillReply})
	| (BaseEvent<'request/prefill-failed'> & {readonly failure: CallFailure})
	| BaseEvent<'request/imported'>
	| (BaseEvent<'request/import-failed'> & {readonly failure: CallFailure})
	| (BaseEvent<'request/replaced'> & {readonly reply: PlacementReply})
	| (BaseEvent<'request/decode-event'> & {readonly event: DecodeEvent})
	| (BaseEvent<'request/decode-broken'> & {readonly failure: CallFailure})
	/** The prompt contains parts that crash engines; the block of these parts ends after `retryAfterMs` milliseconds. */
	| (BaseEvent<'request/blocked'> & {readonly retryAfterMs: number})
	| (BaseEvent<'request/stopped'> & {readonly reason: StopReason});

/** Problem code reported to the caller of a refused model request. */
export type ModelRefusalCode = 'overloaded' | 'deadline' | 'no-upstream' | 'engine-failed' | 'timeout' | 'key-withdrawn' | 'control-unreachable' | 'prompt-blocked';

/** Action that the entry process carries out for a request. `attemptId` identifies the current attempt on the engines. */
export type ModelRequestEffect =
	/** Asks the scheduler for a placement. */
	| {readonly type: 'request/place'; readonly attemptId: string}
	| {readonly type: 'request/prefill'; readonly attemptId: string; readonly upstream: string}
	/** Makes the decode engine `upstream` pull the KV cache `handle` from the engine `source`. */
	| {readonly type: 'request/import'; readonly attemptId: string; readonly upstream: string; readonly source: string; readonly handle: string}
	/** Asks the scheduler for another decode engine. */
	| {readonly type: 'request/replace'; readonly reservation: string; readonly failure: DecodeFailure}
	/** Opens a decode stream that starts after event number `after`; a resumption waits for `delayMs` and uses a new connection. */
	| {
		readonly type: 'request/decode'; readonly attemptId: string; readonly upstream: string; readonly after: number;
		readonly isResume: boolean; readonly delayMs: number;
	}
	| {readonly type: 'request/text'; readonly text: string}
	/** Discards the text collected so far, because the request is restarted. */
	| {readonly type: 'request/restart'}
	| {readonly type: 'request/complete'; readonly usage: Usage}
	| {readonly type: 'request/refuse'; readonly code: ModelRefusalCode; readonly run: ExecutionStatus; readonly retryAfterMs: number | undefined}
	/** Frees what the engines hold for the attempt; `mayBeInFlight` is true if a call to them may still be in flight. */
	| {readonly type: 'request/cancel'; readonly attemptId: string; readonly upstreams: readonly string[]; readonly mayBeInFlight: boolean}
	/** Reports progress to the scheduler. */
	| {readonly type: 'request/progress'; readonly progress: Progress}
	/** Settles what the request took from the customer's rate limit; `tokens` is the number of tokens to charge. */
	| {readonly type: 'request/settle'; readonly tokens: number}
	/** Counts `tokens`, the computed prompt tokens of a discarded prefill result, as wasted prefill. */
	| {readonly type: 'request/wasted-prefill'; readonly tokens: number};

/** Delay added with each consecutive resumption without new text, in milliseconds. The first resumption has no delay. */
const resumeDelayStepMs = 200;
/** Retry delay suggested to callers after a failure or a refusal of an engine, in milliseconds. */
const retryAfterEngineFailureMs = 1000;

export function createModelRequest(requestId: string, isStreaming: boolean, estimatedPromptTokens: number): ModelRequestState {
	return {
		requestId,
		isStreaming,
		phase: 'placing',
		attempt: 0,
		placement: undefined,
		prefill: undefined,
		prefillExpiresAtMs: 0,
		phaseStartedAtMs: 0,
		decodeEnginesTried: 0,
		resumesWithoutProgress: 0,
		enginesToFree: new Set(),
		mayHaveRun: false,
		assembler: createAssembler(attemptIdOf(requestId, 1)),
		estimatedPromptTokens,
		tokensToCharge: 0,
	};
}

/** Returns the id that identifies the attempt on the engines. It differs between attempts, so that a cancel of one attempt that arrives late cannot end the next attempt. */
function attemptIdOf(requestId: string, attempt: number): string {
	return `${requestId}.${attempt}`;
}

function enterPhase(state: ModelRequestState, phase: ModelPhase, nowMs: number): void {
	state.phase = phase;
	state.phaseStartedAtMs = nowMs;
}

function startAttempt(state: ModelRequestState, nowMs: number): ModelRequestEffect[] {
	state.attempt++;
	state.placement = undefined;
	state.prefill = undefined;
	state.decodeEnginesTried = 0;
	state.resumesWithoutProgress = 0;
	state.assembler = createAssembler(attemptIdOf(state.requestId, state.attempt));
	enterPhase(state, 'placing', nowMs);
	return [{type: 'request/place', attemptId: state.assembler.requestId}];
}

/** Returns the number of output tokens of the current attempt, which is the number of its last event, since each text event carries one token. */
function outputTokenCount(state: ModelRequestState): number {
	return state.assembler.lastEventNumber;
}

/** Ends the current attempt: frees its engines and notifies the scheduler. */
function endAttempt(state: ModelRequestState, reason: 'cancelled' | 'failed', failedUpstream?: string): ModelRequestEffect[] {
	const effects: ModelRequestEffect[] = [];
	if (state.enginesToFree.size > 0) {
		effects.push({
			type: 'request/cancel', attemptId: state.assembler.requestId, upstreams: [...state.enginesToFree], mayBeInFlight: true,
		});
		state.enginesToFree.clear();
	}

	if (state.placement) {
		const {reservation} = state.placement;
		effects.push({
			type: 'request/progress',
			progress: {
				phase: 'ended', reservation, outputTokens: outputTokenCount(state), reason, ...(failedUpstream !== undefined && {failedUpstream}),
			},
		});
	}

	// Cancelled work is charged to the customer; work lost to a failed engine is not.
	if (reason === 'cancelled' && state.placement) {
		state.tokensToCharge = (state.prefill?.promptTokens ?? state.estimatedPromptTokens) + outputTokenCount(state);
	}

	if (state.prefill && (reason === 'failed' || outputTokenCount(state) === 0 || !state.isStreaming)) {
		effects.push({type: 'request/wasted-prefill', tokens: state.prefill.promptTokens - state.prefill.cachedTokens});
	}

	state.placement = undefined;
	state.prefill = undefined;
	return effects;
}

function refuse(state: ModelRequestState, code: ModelRefusalCode, retryAfterMs?: number): ModelRequestEffect[] {
	state.phase = 'ended';
	return [
		{
			type: 'request/refuse', code, run: state.mayHaveRun ? 'unknown' : 'not-run', retryAfterMs,
		},
		{type: 'request/settle', tokens: state.tokensToCharge},
	];
}

/** Returns the upstream to report to the scheduler as failed, or undefined if the call does not count as a failure of the upstream. A full engine and an expired prefill result do not count: ejecting engines for them emptied the pool under load. */
function failedUpstreamToReport(upstream: string, {kind}: CallFailure): string | undefined {
	return kind === 'full' || kind === 'gone' ? undefined : upstream;
}

/** Restarts the request with a new placement. Refuses the request if the caller has received text or `maxPlacements` is reached. */
function restartOrRefuse(state: ModelRequestState, code: ModelRefusalCode, failedUpstream: string | undefined, nowMs: number): ModelRequestEffect[] {
	const hasVisibleText = state.isStreaming && outputTokenCount(state) > 0;
	const endEffects = endAttempt(state, 'failed', failedUpstream);
	if (hasVisibleText || state.attempt >= maxPlacements) {
		return [...endEffects, ...refuse(state, code, retryAfterEngineFailureMs)];
	}

	return [...endEffects, {type: 'request/restart'}, ...startAttempt(state, nowMs)];
}

function onPlaced(state: ModelRequestState, reply: PlacementReply, nowMs: number): ModelRequestEffect[] {
	if (reply.kind === 'refused') {
		return refuse(state, reply.code, reply.retryAfterMs);
	}

	const {placement} = reply;
	state.placement = placement;
	state.enginesToFree.add(placement.prefill);
	enterPhase(state, 'prefilling', nowMs);
	return [{type: 'request/prefill', attemptId: state.assembler.requestId, upstream: placement.prefill}];
}

function onPrefillFailed(state: ModelRequestState, placement: Placement, failure: CallFailure, nowMs: number): ModelRequestEffect[] {
	const callMayHaveRun = failure.mayHaveBeenSent && failure.kind !== 'full';
	state.mayHaveRun ||= callMayHaveRun;
	if (!callMayHaveRun) {
		state.enginesToFree.delete(placement.prefill);
	}

	// Epoch 0 marks a placement made by this entry process without the scheduler. Such a placement does not
	// account for requests of other entry processes, so the engine's refusal is final.
	if (failure.kind === 'full' && placement.epoch === 0) {
		return [...endAttempt(state, 'failed'), ...refuse(state, 'overloaded', retryAfterEngineFailureMs)];
	}

	return restartOrRefuse(state, failure.kind === 'full' ? 'overloaded' : 'engine-failed', failedUpstreamToReport(placement.prefill, failure), nowMs);
}

function startImport(state: ModelRequestState, placement: Placement, prefill: PrefillReply, nowMs: number): ModelRequestEffect[] {
	state.decodeEnginesTried++;
	state.enginesToFree.add(placement.decode);
	enterPhase(state, 'transferring', nowMs);
	return [{
		type: 'request/import', attemptId: state.assembler.requestId, upstream: placement.decode, source: placement.prefill, handle: prefill.handle,
	}];
}

function onPrefilled(state: ModelRequestState, placement: Placement, reply: PrefillReply, nowMs: number): ModelRequestEffect[] {
	state.prefill = reply;
	state.prefillExpiresAtMs = nowMs + reply.expiresInMs;
	state.mayHaveRun = true;
	const progress: Progress = {
		phase: 'prefilled',
		reservation: placement.reservation,
		promptTokens: reply.promptTokens,
		cachedTokens: reply.cachedTokens,
		durationMs: nowMs - state.phaseStartedAtMs,
	};
	return [{type: 'request/progress', progress}, ...startImport(state, placement, reply, nowMs)];
}

/** Frees the failed decode engine and asks the scheduler for another one while the prefill result is still held; otherwise restarts or refuses the request. */
function onImportFailed(state: ModelRequestState, placement: Placement, failure: CallFailure, nowMs: number): ModelRequestEffect[] {
	const failedEngine = placement.decode;
	const isPrefillHeld = nowMs < state.prefillExpiresAtMs && failure.kind !== 'gone';
	if (!isPrefillHeld || state.decodeEnginesTried >= maxDecodeEngines || (failure.kind === 'full' && placement.epoch === 0)) {
		return restartOrRefuse(state, failure.kind === 'full' ? 'overloaded' : 'engine-failed', failedUpstreamToReport(failedEngine, failure), nowMs);
	}

	const effects: ModelRequestEffect[] = [];
	// One engine may serve both as prefill and as decode engine; a cancel would then lose the prefill result.
	if (failedEngine !== placement.prefill) {
		state.enginesToFree.delete(failedEngine);
		effects.push({
			type: 'request/cancel', attemptId: state.assembler.requestId, upstreams: [failedEngine], mayBeInFlight: true,
		});
	}

	enterPhase(state, 'replacing', nowMs);
	return [...effects, {type: 'request/replace', reservation: placement.reservation, failure: {upstream: failedEngine, cause: failure.kind === 'full' ? 'full' : 'failed'}}];
}

function onReplaced(state: ModelRequestState, previous: Placement, reply: PlacementReply, nowMs: number): ModelRequestEffect[] {
	if (reply.kind === 'refused' || !state.prefill || nowMs >= state.prefillExpiresAtMs) {
		return restartOrRefuse(state, 'engine-failed', previous.decode, nowMs);
	}

	// The KV cache remains on the original prefill engine, so a different prefill engine in the reply is ignored.
	state.placement = {...reply.placement, prefill: previous.prefill};
	return startImport(state, state.placement, state.prefill, nowMs);
}

function onImported(state: ModelRequestState, placement: Placement, nowMs: number): ModelRequestEffect[] {
	const effects: ModelRequestEffect[] = [{
		type: 'request/progress',
		progress: {phase: 'transferred', reservation: placement.reservation, durationMs: nowMs - state.phaseStartedAtMs},
	}];
	// The decode engine now holds the KV cache, so the copy on the prefill engine is freed, which leaves more memory for
	// the prefix cache of the prefill engine.
	if (placement.prefill !== placement.decode) {
		state.enginesToFree.delete(placement.prefill);
		effects.push({
			type: 'request/cancel', attemptId: state.assembler.requestId, upstreams: [placement.prefill], mayBeInFlight: false,
		});
	}

	enterPhase(state, 'decoding', nowMs);
	effects.push({
		type: 'request/decode', attemptId: state.assembler.requestId, upstream: placement.decode, after: 0, isResume: false, delayMs: 0,
	});
	return effects;
}

function onEndMarker(state: ModelRequestState, placement: Placement, usage: Usage): ModelRequestEffect[] {
	state.phase = 'ended';
	state.enginesToFree.clear();
	return [
		{type: 'request/complete', usage},
		{
			type: 'request/progress',
			progress: {
				phase: 'ended', reservation: placement.reservation, outputTokens: usage.outputTokens, reason: 'complete',
			},
		},
		{type: 'request/settle', tokens: usage.promptTokens + usage.outputTokens},
	];
}

function onDecodeEvent(state: ModelRequestState, placement: Placement, event: DecodeEvent, nowMs: number): ModelRequestEffect[] {
	const result = acceptEvent(state.assembler, event);
	switch (result.kind) {
		case 'text': {
			state.resumesWithoutProgress = 0;
			const effects: ModelRequestEffect[] = [{type: 'request/text', text: result.text}];
			if (state.assembler.lastEventNumber === 1) {
				const progress: Progress = {phase: 'first-token', reservation: placement.reservation, durationMs: nowMs - state.phaseStartedAtMs};
				effects.push({type: 'request/progress', progress});
			}

			return effects;
		}

		case 'end': {
			return onEndMarker(state, placement, result.usage);
		}

		case 'gap':
		case 'foreign': {
			return resumeStream(state, placement, nowMs);
		}

		case 'duplicate':
		case 'late': {
			return [];
		}
	}
}

/** Reopens the stream after the last delivered event. An engine whose stream repeatedly brings no new text counts as lost. */
function resumeStream(state: ModelRequestState, placement: Placement, nowMs: number): ModelRequestEffect[] {
	state.resumesWithoutProgress++;
	if (state.resumesWithoutProgress > maxResumesWithoutProgress) {
		return restartOrRefuse(state, 'engine-failed', placement.decode, nowMs);
	}

	return [{
		type: 'request/decode',
		attemptId: state.assembler.requestId,
		upstream: placement.decode,
		after: state.assembler.lastEventNumber,
		isResume: true,
		delayMs: (state.resumesWithoutProgress - 1) * resumeDelayStepMs,
	}];
}

function onDecodeBroken(state: ModelRequestState, placement: Placement, failure: CallFailure, nowMs: number): ModelRequestEffect[] {
	if (failure.kind === 'gone') {
		return restartOrRefuse(state, 'engine-failed', placement.decode, nowMs);
	}

	return resumeStream(state, placement, nowMs);
}

const refusalCodeByStopReason: Readonly<Record<StopReason, ModelRefusalCode>> = {
	'caller-gone': 'timeout',
	'slow-reader': 'timeout',
	'key-withdrawn': 'key-withdrawn',
	'stale-view': 'control-unreachable',
	deadline: 'timeout',
};

function onStopped(state: ModelRequestState, reason: StopReason): ModelRequestEffect[] {
	// Once a placement exists, an engine may have run a call that it has not answered yet.
	state.mayHaveRun ||= state.phase !== 'placing';
	const endEffects = endAttempt(state, 'cancelled');
	return [...endEffects, ...refuse(state, refusalCodeByStopReason[reason])];
}

type PlacementDependentEvent = Exclude<ModelRequestEvent, {type: 'request/start' | 'request/placed' | 'request/blocked' | 'request/stopped'}>;

function reduceWithPlacement(state: ModelRequestState, event: PlacementDependentEvent, placement: Placement): ModelRequestEffect[] {
	switch (event.type) {
		case 'request/prefilled': {
			return state.phase === 'prefilling' ? onPrefilled(state, placement, event.reply, event.nowMs) : [];
		}

		case 'request/prefill-failed': {
			return state.phase === 'prefilling' ? onPrefillFailed(state, placement, event.failure, event.nowMs) : [];
		}

		case 'request/imported': {
			return state.phase === 'transferring' ? onImported(state, placement, event.nowMs) : [];
		}

		case 'request/import-failed': {
			return state.phase === 'transferring' ? onImportFailed(state, placement, event.failure, event.nowMs) : [];
		}

		case 'request/replaced': {
			return state.phase === 'replacing' ? onReplaced(state, placement, event.reply, event.nowMs) : [];
		}

		case 'request/decode-event': {
			return state.phase === 'decoding' ? onDecodeEvent(state, placement, event.event, event.nowMs) : [];
		}

		case 'request/decode-broken': {
			return state.phase === 'decoding' ? onDecodeBroken(state, placement, event.failure, event.nowMs) : [];
		}
	}
}

/** Advances the request by one event and returns the actions to carry out. Events that do not match the phase are ignored: they are results of abandoned calls. */
export function reduceModelRequest(state: ModelRequestState, event: ModelRequestEvent): ModelRequestEffect[] {
	if (state.phase === 'ended') {
		return [];
	}

	if (event.type === 'request/start') {
		return startAttempt(state, event.nowMs);
	}

	if (event.type === 'request/stopped') {
		return onStopped(state, event.reason);
	}

	if (event.type === 'request/blocked') {
		return [...endAttempt(state, 'failed'), ...refuse(state, 'prompt-blocked', event.retryAfterMs)];
	}

	if (event.type === 'request/placed') {
		return state.phase === 'placing' ? onPlaced(state, event.reply, event.nowMs) : [];
	}

	return state.placement ? reduceWithPlacement(state, event, state.placement) : [];
}
