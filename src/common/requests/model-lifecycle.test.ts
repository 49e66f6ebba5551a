import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import type {PlacementReply} from '../services/scheduler-client.js';
import {createModelRequest, reduceModelRequest} from './model-lifecycle.js';
import type {CallFailure, ModelRequestEffect, ModelRequestEvent} from './types.js';

type Step = ModelRequestEvent extends infer E ? E extends unknown ? Omit<E, 'nowMs'> : never : never;

const prefill = {
	handle: 'kv', promptTokens: 10, cachedTokens: 4, kvBytes: 1, expiresInMs: 800,
};
const brokenCall: CallFailure = {kind: 'broken', mayHaveBeenSent: true};
const engineFull: CallFailure = {kind: 'full', mayHaveBeenSent: true};
const engineUnreachable: CallFailure = {kind: 'unreachable', mayHaveBeenSent: false};

function placedReply(decode = 'd1', epoch = 1): PlacementReply {
	return {
		kind: 'placed', placement: {
			reservation: 'r', epoch, prefill: 'p1', decode,
		},
	};
}

/** Applies the steps to a new request, `stepMs` apart, and returns all effects. */
function runSteps(steps: readonly Step[], {isStreaming = true, stepMs = 10} = {}): ModelRequestEffect[] {
	const state = createModelRequest('q', isStreaming, 9);
	return [{type: 'request/start'} as const, ...steps].flatMap((step, i) => reduceModelRequest(state, {...step, nowMs: i * stepMs}));
}

function effectTypes(effects: readonly ModelRequestEffect[]): string[] {
	return effects.map(effect => effect.type.slice('request/'.length));
}

function refusals(effects: readonly ModelRequestEffect[]) {
	return effects.filter(effect => effect.type === 'request/refuse').map(({code, run}) => `${code} ${run}`);
}

const stepsToPrefill: Step[] = [{type: 'request/placed', reply: placedReply()}];
const stepsToImport: Step[] = [...stepsToPrefill, {type: 'request/prefilled', reply: prefill}];
const stepsToDecode: Step[] = [...stepsToImport, {type: 'request/imported'}];

test('a failed transfer is retried on another decode engine while the prefill result is held', () => {
	const effects = runSteps([...stepsToImport, {type: 'request/import-failed', failure: brokenCall}, {type: 'request/replaced', reply: placedReply('d2')}]);
	assert.deepEqual(effectTypes(effects), ['place', 'prefill', 'progress', 'import', 'cancel', 'replace', 'import']);
	assert.equal(effects.filter(effect => effect.type === 'request/prefill').length, 1, 'the prefill is not recomputed');
});

test('a prefill result that expired is computed once more, and the request is refused if the new result expires too', () => {
	const steps: Step[] = [...stepsToImport, {type: 'request/import-failed', failure: {kind: 'gone', mayHaveBeenSent: true}}];
	const effects = runSteps([...steps, ...steps]);
	assert.equal(effects.filter(effect => effect.type === 'request/prefill').length, 2);
	assert.deepEqual(refusals(effects), ['engine-failed unknown']);
	assert.deepEqual(effects.filter(effect => effect.type === 'request/wasted-prefill').map(effect => effect.tokens), [6, 6]);
	const afterExpiry = runSteps([...stepsToImport, {type: 'request/import-failed', failure: brokenCall}], {stepMs: 900});
	assert.ok(!effectTypes(afterExpiry).includes('replace'), 'an expired prefill result is not transferred to another engine');
});

test('a full engine is not reported to the scheduler as failed, so that it is not ejected under load', () => {
	const engineFull = {kind: 'full', mayHaveBeenSent: true} as const;
	const atPrefill = runSteps([...stepsToPrefill, {type: 'request/prefill-failed', failure: engineFull}]);
	const ended = atPrefill.flatMap(effect => effect.type === 'request/progress' && effect.progress.phase === 'ended' ? [effect.progress] : []);
	assert.deepEqual(ended.map(({failedUpstream}) => failedUpstream), [undefined]);
	const atImport = runSteps([...stepsToImport, {type: 'request/import-failed', failure: engineFull}]);
	assert.deepEqual(atImport.flatMap(effect => effect.type === 'request/replace' ? [effect.failure.cause] : []), ['full']);
});

test('each attempt has an id of its own, so that a late cancel of one attempt cannot end the next attempt', () => {
	const effects = runSteps([...stepsToPrefill, {type: 'request/prefill-failed', failure: brokenCall}, ...stepsToPrefill]);
	const ids = effects.filter(effect => effect.type === 'request/prefill').map(effect => effect.attemptId);
	assert.deepEqual(ids, ['q.1', 'q.2']);
});

test('a refusal says "not run" only if no engine can have processed the request', () => {
	const placementRefused: Step = {type: 'request/placed', reply: {kind: 'refused', code: 'overloaded', retryAfterMs: 5}};
	assert.deepEqual(refusals(runSteps([placementRefused])), ['overloaded not-run']);
	assert.deepEqual(refusals(runSteps([...stepsToPrefill, {type: 'request/prefill-failed', failure: engineFull}, placementRefused])), ['overloaded not-run']);
	assert.deepEqual(refusals(runSteps([...stepsToPrefill, {type: 'request/prefill-failed', failure: engineUnreachable}, placementRefused])), ['overloaded not-run']);
	assert.deepEqual(refusals(runSteps([...stepsToPrefill, {type: 'request/prefill-failed', failure: brokenCall}, placementRefused])), ['overloaded unknown']);
	assert.deepEqual(refusals(runSteps([{type: 'request/stopped', reason: 'deadline'}])), ['timeout not-run']);
	assert.deepEqual(refusals(runSteps([...stepsToPrefill, {type: 'request/stopped', reason: 'deadline'}])), ['timeout unknown']);
});

test('a request that was placed without the scheduler is refused if the engine is full', () => {
	const effects = runSteps([{type: 'request/placed', reply: placedReply('d1', 0)}, {type: 'request/prefill-failed', failure: engineFull}]);
	assert.deepEqual(refusals(effects), ['overloaded not-run']);
});

test('a broken stream resumes after the last delivered event, and a request whose text the caller has seen is not restarted', () => {
	const text: Step = {type: 'request/decode-event', event: {requestId: 'q.1', n: 1, text: 'a'}};
	const streamBroken: Step = {type: 'request/decode-broken', failure: brokenCall};
	const effects = runSteps([...stepsToDecode, text, streamBroken, streamBroken, streamBroken, streamBroken]);
	const resumptions = effects.filter(effect => effect.type === 'request/decode').filter(effect => effect.isResume);
	assert.deepEqual(resumptions.map(effect => effect.after), [1, 1, 1]);
	assert.deepEqual(refusals(effects), ['engine-failed unknown']);
	const notStreamed = runSteps([...stepsToDecode, text, streamBroken, streamBroken, streamBroken, streamBroken], {isStreaming: false});
	assert.deepEqual(effectTypes(notStreamed).slice(-2), ['restart', 'place'], 'a request whose text the caller has not seen is restarted');
});

const anyFailure = fc.constantFrom<CallFailure>(brokenCall, engineFull, engineUnreachable, {kind: 'gone', mayHaveBeenSent: true}, {kind: 'timeout', mayHaveBeenSent: true});
const anyStep: fc.Arbitrary<Step> = fc.oneof(
	fc.constantFrom<Step>({type: 'request/placed', reply: placedReply()}, {type: 'request/placed', reply: placedReply('p1')}, {type: 'request/prefilled', reply: prefill}, {type: 'request/imported'}),
	fc.constantFrom<Step>({type: 'request/replaced', reply: placedReply('d2')}, {type: 'request/replaced', reply: {kind: 'refused', code: 'no-upstream', retryAfterMs: 1}}),
	anyFailure.chain(failure => fc.constantFrom<Step>({type: 'request/prefill-failed', failure}, {type: 'request/import-failed', failure}, {type: 'request/decode-broken', failure})),
	fc.tuple(fc.integer({min: 1, max: 3}), fc.constantFrom('q.1', 'q.2')).map(([n, requestId]): Step => ({type: 'request/decode-event', event: {requestId, n, text: 'x'}})),
	fc.constant<Step>({
		type: 'request/decode-event', event: {
			requestId: 'q.1', n: 3, end: true, usage: {promptTokens: 1, outputTokens: 2},
		},
	}),
);

/** Applies effects to `heldWork`, the set of `engine/attempt` pairs that hold resources for the request. */
function trackHeldWork(heldWork: Set<string>, effects: readonly ModelRequestEffect[]): void {
	for (const effect of effects) {
		if (effect.type === 'request/prefill' || effect.type === 'request/import') {
			heldWork.add(`${effect.upstream}/${effect.attemptId}`);
		}

		if (effect.type === 'request/cancel') {
			for (const upstream of effect.upstreams) {
				heldWork.delete(`${upstream}/${effect.attemptId}`);
			}
		}

		if (effect.type === 'request/complete') {
			heldWork.clear();
		}
	}
}

test('after any sequence of events, a stopped request is answered once, settled once and holds no resources on any engine', () => {
	fc.assert(fc.property(fc.array(anyStep, {maxLength: 25}), fc.boolean(), (steps, isStreaming) => {
		const state = createModelRequest('q', isStreaming, 9);
		const heldWork = new Set<string>();
		const allEffects: ModelRequestEffect[] = [];
		for (const step of [{type: 'request/start'} as const, ...steps, {type: 'request/stopped', reason: 'caller-gone'} as const, ...steps]) {
			if (state.phase === 'prefilling' && step.type === 'request/prefill-failed' && (step.failure.kind === 'full' || !step.failure.mayHaveBeenSent)) {
				heldWork.delete(`p1/q.${state.attempt}`);
			}

			const effects = reduceModelRequest(state, {...step, nowMs: allEffects.length});
			trackHeldWork(heldWork, effects);
			allEffects.push(...effects);
		}

		assert.equal(allEffects.filter(effect => effect.type === 'request/complete' || effect.type === 'request/refuse').length, 1);
		assert.equal(allEffects.filter(effect => effect.type === 'request/settle').length, 1);
		assert.deepEqual([...heldWork], []);
	}), {seed: 2, numRuns: 2000});
});
