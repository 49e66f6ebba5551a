import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import type {PlaceReply} from '../services/scheduler-client.js';
import {createModelRequest, reduceModelRequest} from './model-lifecycle.js';
import type {CallFailure, ModelEffect, ModelEvent} from './types.js';

type Step = ModelEvent extends infer E ? E extends unknown ? Omit<E, 'nowMs'> : never : never;

const prefill = {
	handle: 'kv', promptTokens: 10, cachedTokens: 4, kvBytes: 1, expiresInMs: 800,
};
const broken: CallFailure = {kind: 'broken', maySent: true};
const full: CallFailure = {kind: 'full', maySent: true};
const unreachable: CallFailure = {kind: 'unreachable', maySent: false};

function placed(decode = 'd1', epoch = 1): PlaceReply {
	return {
		kind: 'placed', placement: {
			reservation: 'r', epoch, prefill: 'p1', decode,
		},
	};
}

/** Runs the steps, 10 ms apart unless told otherwise, and returns all effects. */
function run(steps: readonly Step[], {isStreaming = true, stepMs = 10} = {}): ModelEffect[] {
	const state = createModelRequest('q', isStreaming, 9);
	return [{type: 'request/start'} as const, ...steps].flatMap((step, i) => reduceModelRequest(state, {...step, nowMs: i * stepMs}));
}

function types(effects: readonly ModelEffect[]): string[] {
	return effects.map(effect => effect.type.slice('request/'.length));
}

function refusal(effects: readonly ModelEffect[]) {
	return effects.filter(effect => effect.type === 'request/refuse').map(({code, run}) => `${code} ${run}`);
}

const toPrefill: Step[] = [{type: 'request/placed', reply: placed()}];
const toImport: Step[] = [...toPrefill, {type: 'request/prefilled', reply: prefill}];
const toDecode: Step[] = [...toImport, {type: 'request/imported'}];

test('a failed transfer moves to another decode engine while the prefill result lives', () => {
	const effects = run([...toImport, {type: 'request/import-failed', failure: broken}, {type: 'request/replaced', reply: placed('d2')}]);
	assert.deepEqual(types(effects), ['place', 'prefill', 'progress', 'import', 'cancel', 'replace', 'import']);
	assert.equal(effects.filter(effect => effect.type === 'request/prefill').length, 1, 'the prefill is not repeated');
});

test('when the prefill result has expired, the prefill is recomputed once and then the request is refused', () => {
	const steps: Step[] = [...toImport, {type: 'request/import-failed', failure: {kind: 'gone', maySent: true}}];
	const effects = run([...steps, ...steps]);
	assert.equal(effects.filter(effect => effect.type === 'request/prefill').length, 2);
	assert.deepEqual(refusal(effects), ['engine-failed unknown']);
	assert.deepEqual(effects.filter(effect => effect.type === 'request/wasted-prefill').map(effect => effect.tokens), [6, 6]);
	const late = run([...toImport, {type: 'request/import-failed', failure: broken}], {stepMs: 900});
	assert.ok(!types(late).includes('replace'), 'an expired result is not transferred');
});

test('an engine that is full is not reported as failed, since the scheduler would eject it for being busy', () => {
	const full = {kind: 'full', maySent: true} as const;
	const atPrefill = run([...toPrefill, {type: 'request/prefill-failed', failure: full}]);
	const ended = atPrefill.flatMap(effect => effect.type === 'request/progress' && effect.progress.phase === 'ended' ? [effect.progress] : []);
	assert.deepEqual(ended.map(({failedUpstream}) => failedUpstream), [undefined]);
	const atImport = run([...toImport, {type: 'request/import-failed', failure: full}]);
	assert.deepEqual(atImport.flatMap(effect => effect.type === 'request/replace' ? [effect.failure.cause] : []), ['full']);
});

test('each attempt has its own id, so that a late cancel of one cannot end the next', () => {
	const effects = run([...toPrefill, {type: 'request/prefill-failed', failure: broken}, ...toPrefill]);
	const ids = effects.filter(effect => effect.type === 'request/prefill').map(effect => effect.attemptId);
	assert.deepEqual(ids, ['q.1', 'q.2']);
});

test('a refusal says "not run" only where no engine worked on the request', () => {
	const refused: Step = {type: 'request/placed', reply: {kind: 'refused', code: 'overloaded', retryAfterMs: 5}};
	assert.deepEqual(refusal(run([refused])), ['overloaded not-run']);
	assert.deepEqual(refusal(run([...toPrefill, {type: 'request/prefill-failed', failure: full}, refused])), ['overloaded not-run']);
	assert.deepEqual(refusal(run([...toPrefill, {type: 'request/prefill-failed', failure: unreachable}, refused])), ['overloaded not-run']);
	assert.deepEqual(refusal(run([...toPrefill, {type: 'request/prefill-failed', failure: broken}, refused])), ['overloaded unknown']);
	assert.deepEqual(refusal(run([{type: 'request/stopped', reason: 'deadline'}])), ['timeout not-run']);
	assert.deepEqual(refusal(run([...toPrefill, {type: 'request/stopped', reason: 'deadline'}])), ['timeout unknown']);
});

test('an engine\'s refusal of a local placement is final', () => {
	const effects = run([{type: 'request/placed', reply: placed('d1', 0)}, {type: 'request/prefill-failed', failure: full}]);
	assert.deepEqual(refusal(effects), ['overloaded not-run']);
});

test('a broken stream is resumed behind the last number; text that the caller saw is never produced again', () => {
	const text: Step = {type: 'request/decode-event', event: {requestId: 'q.1', n: 1, text: 'a'}};
	const failed: Step = {type: 'request/decode-broken', failure: broken};
	const effects = run([...toDecode, text, failed, failed, failed, failed]);
	const resumed = effects.filter(effect => effect.type === 'request/decode').filter(effect => effect.isResume);
	assert.deepEqual(resumed.map(effect => effect.after), [1, 1, 1]);
	assert.deepEqual(refusal(effects), ['engine-failed unknown']);
	const unseen = run([...toDecode, text, failed, failed, failed, failed], {isStreaming: false});
	assert.deepEqual(types(unseen).slice(-2), ['restart', 'place'], 'an answer that nobody saw may be started over');
});

const anyFailure = fc.constantFrom<CallFailure>(broken, full, unreachable, {kind: 'gone', maySent: true}, {kind: 'timeout', maySent: true});
const anyStep: fc.Arbitrary<Step> = fc.oneof(
	fc.constantFrom<Step>({type: 'request/placed', reply: placed()}, {type: 'request/placed', reply: placed('p1')}, {type: 'request/prefilled', reply: prefill}, {type: 'request/imported'}),
	fc.constantFrom<Step>({type: 'request/replaced', reply: placed('d2')}, {type: 'request/replaced', reply: {kind: 'refused', code: 'no-upstream', retryAfterMs: 1}}),
	anyFailure.chain(failure => fc.constantFrom<Step>({type: 'request/prefill-failed', failure}, {type: 'request/import-failed', failure}, {type: 'request/decode-broken', failure})),
	fc.tuple(fc.integer({min: 1, max: 3}), fc.constantFrom('q.1', 'q.2')).map(([n, requestId]): Step => ({type: 'request/decode-event', event: {requestId, n, text: 'x'}})),
	fc.constant<Step>({
		type: 'request/decode-event', event: {
			requestId: 'q.1', n: 3, end: true, usage: {promptTokens: 1, outputTokens: 2},
		},
	}),
);

/** Engines, with the ids of attempts, that hold something for the request after these effects. */
function track(held: Set<string>, effects: readonly ModelEffect[]): void {
	for (const effect of effects) {
		if (effect.type === 'request/prefill' || effect.type === 'request/import') {
			held.add(`${effect.upstream}/${effect.attemptId}`);
		}

		if (effect.type === 'request/cancel') {
			for (const upstream of effect.upstreams) {
				held.delete(`${upstream}/${effect.attemptId}`);
			}
		}

		if (effect.type === 'request/complete') {
			held.clear();
		}
	}
}

test('whatever happens, a stopped request is answered once, frees every engine and settles once', () => {
	fc.assert(fc.property(fc.array(anyStep, {maxLength: 25}), fc.boolean(), (steps, isStreaming) => {
		const state = createModelRequest('q', isStreaming, 9);
		const held = new Set<string>();
		const all: ModelEffect[] = [];
		for (const step of [{type: 'request/start'} as const, ...steps, {type: 'request/stopped', reason: 'caller-gone'} as const, ...steps]) {
			if (state.phase === 'prefilling' && step.type === 'request/prefill-failed' && (step.failure.kind === 'full' || !step.failure.maySent)) {
				held.delete(`p1/q.${state.attempt}`);
			}

			const effects = reduceModelRequest(state, {...step, nowMs: all.length});
			track(held, effects);
			all.push(...effects);
		}

		assert.equal(all.filter(effect => effect.type === 'request/complete' || effect.type === 'request/refuse').length, 1);
		assert.equal(all.filter(effect => effect.type === 'request/settle').length, 1);
		assert.deepEqual([...held], []);
	}), {seed: 2, numRuns: 2000});
});
