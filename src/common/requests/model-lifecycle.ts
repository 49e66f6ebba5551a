import type {BaseEvent} from '../core/types.js';
import type {
	DecodeFailure, Placement, PlaceReply, Progress,
} from '../services/scheduler-client.js';
import type {DecodeEvent, PrefillReply, Usage} from '../upstreams/engine-api.js';
import {assemble, createAssembler} from './assembler.js';
import type {
	AssemblerState, CallFailure, RunStatement, StopReason,
} from './types.js';

/** Placements of one request: the first, and one that recomputes the prefill. */
export const maxPlacements = 2;
/** Decode engines tried with one prefill result. */
export const maxDecodeEngines = 3;
/** Resumptions in a row that bring no new event before the decode engine counts as lost. */
export const maxFruitlessResumes = 3;

export type ModelPhase = 'placing' | 'prefilling' | 'transferring' | 'replacing' | 'decoding' | 'ended';

/** Lifecycle of one model request. */
export type ModelState = {
	readonly requestId: string;
	/** Whether text reaches the caller as it is produced; then an answer cannot be started over. */
	readonly isStreaming: boolean;
	phase: ModelPhase;
	/** Grows with each placement; answers to calls of an earlier one are ignored. */
	attempt: number;
	placement: Placement | undefined;
	prefill: PrefillReply | undefined;
	prefillExpiresAtMs: number;
	phaseStartedAtMs: number;
	decodeEngines: number;
	fruitlessResumes: number;
	/** Engines that may hold something for the current attempt. */
	readonly engines: Set<string>;
	/** Whether any engine may have worked on the request. */
	mayHaveRun: boolean;
	assembler: AssemblerState;
	/** Prompt tokens as estimated before an engine has counted them. */
	readonly estimatedPromptTokens: number;
	/** Tokens to charge for a request that ends without usage figures. */
	spentTokens: number;
};

export type ModelEvent =
	| BaseEvent<'request/start'>
	| (BaseEvent<'request/placed'> & {readonly reply: PlaceReply})
	| (BaseEvent<'request/prefilled'> & {readonly reply: PrefillReply})
	| (BaseEvent<'request/prefill-failed'> & {readonly failure: CallFailure})
	| BaseEvent<'request/imported'>
	| (BaseEvent<'request/import-failed'> & {readonly failure: CallFailure})
	| (BaseEvent<'request/replaced'> & {readonly reply: PlaceReply})
	| (BaseEvent<'request/decode-event'> & {readonly event: DecodeEvent})
	| (BaseEvent<'request/decode-broken'> & {readonly failure: CallFailure})
	| (BaseEvent<'request/stopped'> & {readonly reason: StopReason});

export type ModelRefusalCode = 'overloaded' | 'deadline' | 'no-upstream' | 'engine-failed' | 'timeout' | 'key-withdrawn' | 'control-unreachable';

export type ModelEffect =
	/** `attemptId` names the request on the engines. */
	| {readonly type: 'request/place'; readonly attemptId: string}
	| {readonly type: 'request/prefill'; readonly attemptId: string; readonly upstream: string}
	| {readonly type: 'request/import'; readonly attemptId: string; readonly upstream: string; readonly source: string; readonly handle: string}
	| {readonly type: 'request/replace'; readonly reservation: string; readonly failure: DecodeFailure}
	/** Opens a decode stream behind event `after`; a resumption uses a new connection. */
	| {
		readonly type: 'request/decode'; readonly attemptId: string; readonly upstream: string; readonly after: number;
		readonly isResume: boolean; readonly delayMs: number;
	}
	| {readonly type: 'request/text'; readonly text: string}
	/** Text collected so far belongs to an attempt that is started over. */
	| {readonly type: 'request/restart'}
	| {readonly type: 'request/complete'; readonly usage: Usage}
	| {readonly type: 'request/refuse'; readonly code: ModelRefusalCode; readonly run: RunStatement; readonly retryAfterMs: number | undefined}
	/** Frees what the engines hold; `inDoubt` when a call to them may still be under way. */
	| {readonly type: 'request/cancel'; readonly attemptId: string; readonly upstreams: readonly string[]; readonly inDoubt: boolean}
	| {readonly type: 'request/progress'; readonly progress: Progress}
	/** Tokens that engines spent on this request, for settling the allowance. */
	| {readonly type: 'request/settle'; readonly tokens: number}
	/** Prompt tokens computed for nothing. */
	| {readonly type: 'request/wasted-prefill'; readonly tokens: number};

/** The first resumption follows at once; each further one that brings nothing waits this much longer, in milliseconds. */
const resumeDelayMs = 200;
/** Retry delay told to callers when an engine failed, in milliseconds. */
const retryAfterFailureMs = 1000;

export function createModelRequest(requestId: string, isStreaming: boolean, estimatedPromptTokens: number): ModelState {
	return {
		requestId,
		isStreaming,
		phase: 'placing',
		attempt: 0,
		placement: undefined,
		prefill: undefined,
		prefillExpiresAtMs: 0,
		phaseStartedAtMs: 0,
		decodeEngines: 0,
		fruitlessResumes: 0,
		engines: new Set(),
		mayHaveRun: false,
		assembler: createAssembler(attemptIdOf(requestId, 1)),
		estimatedPromptTokens,
		spentTokens: 0,
	};
}

/** Each attempt has its own id on the engines, so that a late cancel of one attempt cannot end the next. */
function attemptIdOf(requestId: string, attempt: number): string {
	return `${requestId}.${attempt}`;
}

function enter(state: ModelState, phase: ModelPhase, nowMs: number): void {
	state.phase = phase;
	state.phaseStartedAtMs = nowMs;
}

function place(state: ModelState, nowMs: number): ModelEffect[] {
	state.attempt++;
	state.placement = undefined;
	state.prefill = undefined;
	state.decodeEngines = 0;
	state.fruitlessResumes = 0;
	state.assembler = createAssembler(attemptIdOf(state.requestId, state.attempt));
	enter(state, 'placing', nowMs);
	return [{type: 'request/place', attemptId: state.assembler.requestId}];
}

/** Output tokens of the current attempt; engines number one event per token. */
function outputTokens(state: ModelState): number {
	return state.assembler.lastN;
}

/** Ends the current attempt: frees its engines and tells the scheduler. */
function endAttempt(state: ModelState, reason: 'cancelled' | 'failed', failedUpstream?: string): ModelEffect[] {
	const effects: ModelEffect[] = [];
	if (state.engines.size > 0) {
		effects.push({
			type: 'request/cancel', attemptId: state.assembler.requestId, upstreams: [...state.engines], inDoubt: true,
		});
		state.engines.clear();
	}

	if (state.placement) {
		const {reservation} = state.placement;
		effects.push({
			type: 'request/progress',
			progress: {
				phase: 'ended', reservation, outputTokens: outputTokens(state), reason, ...(failedUpstream !== undefined && {failedUpstream}),
			},
		});
	}

	// A tenant pays for work that its caller gave up, but not for work lost to a failing engine.
	if (reason === 'cancelled' && state.placement) {
		state.spentTokens = (state.prefill?.promptTokens ?? state.estimatedPromptTokens) + outputTokens(state);
	}

	if (state.prefill && (reason === 'failed' || outputTokens(state) === 0 || !state.isStreaming)) {
		effects.push({type: 'request/wasted-prefill', tokens: state.prefill.promptTokens - state.prefill.cachedTokens});
	}

	state.placement = undefined;
	state.prefill = undefined;
	return effects;
}

function refuse(state: ModelState, code: ModelRefusalCode, retryAfterMs?: number): ModelEffect[] {
	state.phase = 'ended';
	return [
		{
			type: 'request/refuse', code, run: state.mayHaveRun ? 'unknown' : 'not-run', retryAfterMs,
		},
		{type: 'request/settle', tokens: state.spentTokens},
	];
}

/** The upstream to report as failed. A full engine and a prefill result that expired are no failures; ejecting engines for them emptied the pool under load. */
function blamed(upstream: string, {kind}: CallFailure): string | undefined {
	return kind === 'full' || kind === 'gone' ? undefined : upstream;
}

/** Starts over with a new placement if the caller has seen nothing and it was not done before; refuses otherwise. */
function startOver(state: ModelState, code: ModelRefusalCode, failedUpstream: string | undefined, nowMs: number): ModelEffect[] {
	const isVisible = state.isStreaming && outputTokens(state) > 0;
	const ending = endAttempt(state, 'failed', failedUpstream);
	if (isVisible || state.attempt >= maxPlacements) {
		return [...ending, ...refuse(state, code, retryAfterFailureMs)];
	}

	return [...ending, {type: 'request/restart'}, ...place(state, nowMs)];
}

function onPlaced(state: ModelState, reply: PlaceReply, nowMs: number): ModelEffect[] {
	if (reply.kind === 'refused') {
		return refuse(state, reply.code, reply.retryAfterMs);
	}

	const {placement} = reply;
	state.placement = placement;
	state.engines.add(placement.prefill);
	enter(state, 'prefilling', nowMs);
	return [{type: 'request/prefill', attemptId: state.assembler.requestId, upstream: placement.prefill}];
}

function onPrefillFailed(state: ModelState, placement: Placement, failure: CallFailure, nowMs: number): ModelEffect[] {
	const hasRun = failure.maySent && failure.kind !== 'full';
	state.mayHaveRun ||= hasRun;
	if (!hasRun) {
		state.engines.delete(placement.prefill);
	}

	// A local placement knows nothing of other entry processes' requests, so the engine's refusal is final.
	if (failure.kind === 'full' && placement.epoch === 0) {
		return [...endAttempt(state, 'failed'), ...refuse(state, 'overloaded', retryAfterFailureMs)];
	}

	return startOver(state, failure.kind === 'full' ? 'overloaded' : 'engine-failed', blamed(placement.prefill, failure), nowMs);
}

function startImport(state: ModelState, placement: Placement, prefill: PrefillReply, nowMs: number): ModelEffect[] {
	state.decodeEngines++;
	state.engines.add(placement.decode);
	enter(state, 'transferring', nowMs);
	return [{
		type: 'request/import', attemptId: state.assembler.requestId, upstream: placement.decode, source: placement.prefill, handle: prefill.handle,
	}];
}

function onPrefilled(state: ModelState, placement: Placement, reply: PrefillReply, nowMs: number): ModelEffect[] {
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

/** Frees the failed decode engine and asks for another while the prefill result is still held. */
function onImportFailed(state: ModelState, placement: Placement, failure: CallFailure, nowMs: number): ModelEffect[] {
	const failed = placement.decode;
	const isHeld = nowMs < state.prefillExpiresAtMs && failure.kind !== 'gone';
	if (!isHeld || state.decodeEngines >= maxDecodeEngines || (failure.kind === 'full' && placement.epoch === 0)) {
		return startOver(state, failure.kind === 'full' ? 'overloaded' : 'engine-failed', blamed(failed, failure), nowMs);
	}

	const effects: ModelEffect[] = [];
	// The engine that prefilled may also be the one that decodes; a cancel there would lose the prefill result.
	if (failed !== placement.prefill) {
		state.engines.delete(failed);
		effects.push({
			type: 'request/cancel', attemptId: state.assembler.requestId, upstreams: [failed], inDoubt: true,
		});
	}

	enter(state, 'replacing', nowMs);
	return [...effects, {type: 'request/replace', reservation: placement.reservation, failure: {upstream: failed, cause: failure.kind === 'full' ? 'full' : 'failed'}}];
}

function onReplaced(state: ModelState, old: Placement, reply: PlaceReply, nowMs: number): ModelEffect[] {
	if (reply.kind === 'refused' || !state.prefill || nowMs >= state.prefillExpiresAtMs) {
		return startOver(state, 'engine-failed', old.decode, nowMs);
	}

	// The prefill result stays where it is, whatever the reply says.
	state.placement = {...reply.placement, prefill: old.prefill};
	return startImport(state, state.placement, state.prefill, nowMs);
}

function onImported(state: ModelState, placement: Placement, nowMs: number): ModelEffect[] {
	const effects: ModelEffect[] = [{
		type: 'request/progress',
		progress: {phase: 'transferred', reservation: placement.reservation, durationMs: nowMs - state.phaseStartedAtMs},
	}];
	// The prefill result is of no more use; freeing it early leaves the engine more memory for its prefix cache.
	if (placement.prefill !== placement.decode) {
		state.engines.delete(placement.prefill);
		effects.push({
			type: 'request/cancel', attemptId: state.assembler.requestId, upstreams: [placement.prefill], inDoubt: false,
		});
	}

	enter(state, 'decoding', nowMs);
	effects.push({
		type: 'request/decode', attemptId: state.assembler.requestId, upstream: placement.decode, after: 0, isResume: false, delayMs: 0,
	});
	return effects;
}

function onEnd(state: ModelState, placement: Placement, usage: Usage): ModelEffect[] {
	state.phase = 'ended';
	state.engines.clear();
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

function onDecodeEvent(state: ModelState, placement: Placement, event: DecodeEvent, nowMs: number): ModelEffect[] {
	const assembled = assemble(state.assembler, event);
	switch (assembled.kind) {
		case 'text': {
			state.fruitlessResumes = 0;
			const effects: ModelEffect[] = [{type: 'request/text', text: assembled.text}];
			if (state.assembler.lastN === 1) {
				const progress: Progress = {phase: 'first-token', reservation: placement.reservation, durationMs: nowMs - state.phaseStartedAtMs};
				effects.push({type: 'request/progress', progress});
			}

			return effects;
		}

		case 'end': {
			return onEnd(state, placement, assembled.usage);
		}

		case 'gap':
		case 'foreign': {
			return resume(state, placement, nowMs);
		}

		case 'duplicate':
		case 'late': {
			return [];
		}
	}
}

/** Opens the stream behind the last event passed on; an engine that brings nothing new counts as lost. */
function resume(state: ModelState, placement: Placement, nowMs: number): ModelEffect[] {
	state.fruitlessResumes++;
	if (state.fruitlessResumes > maxFruitlessResumes) {
		return startOver(state, 'engine-failed', placement.decode, nowMs);
	}

	return [{
		type: 'request/decode',
		attemptId: state.assembler.requestId,
		upstream: placement.decode,
		after: state.assembler.lastN,
		isResume: true,
		delayMs: (state.fruitlessResumes - 1) * resumeDelayMs,
	}];
}

function onDecodeBroken(state: ModelState, placement: Placement, failure: CallFailure, nowMs: number): ModelEffect[] {
	if (failure.kind === 'gone') {
		return startOver(state, 'engine-failed', placement.decode, nowMs);
	}

	return resume(state, placement, nowMs);
}

const stopCodes: Readonly<Record<StopReason, ModelRefusalCode>> = {
	'caller-gone': 'timeout',
	'slow-reader': 'timeout',
	'key-withdrawn': 'key-withdrawn',
	'stale-view': 'control-unreachable',
	deadline: 'timeout',
};

function onStopped(state: ModelState, reason: StopReason): ModelEffect[] {
	// A call that has not been answered may have run.
	state.mayHaveRun ||= state.phase !== 'placing';
	const ending = endAttempt(state, 'cancelled');
	return [...ending, ...refuse(state, stopCodes[reason])];
}

type PlacedEvent = Exclude<ModelEvent, {type: 'request/start' | 'request/placed' | 'request/stopped'}>;

function reducePlaced(state: ModelState, event: PlacedEvent, placement: Placement): ModelEffect[] {
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

/** Advances the request; events that do not fit the phase are ignored, as they answer calls that were given up. */
export function reduceModelRequest(state: ModelState, event: ModelEvent): ModelEffect[] {
	if (state.phase === 'ended') {
		return [];
	}

	if (event.type === 'request/start') {
		return place(state, event.nowMs);
	}

	if (event.type === 'request/stopped') {
		return onStopped(state, event.reason);
	}

	if (event.type === 'request/placed') {
		return state.phase === 'placing' ? onPlaced(state, event.reply, event.nowMs) : [];
	}

	return state.placement ? reducePlaced(state, event, state.placement) : [];
}
