import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import type {UntimedEvent} from '../core/types.js';
import {createPlainForward, reducePlainForward} from './plain-forward.js';
import type {PlainForwardEffect, PlainForwardEvent} from './plain-forward.js';

type Step = UntimedEvent<PlainForwardEvent>;

const broken: Step = {type: 'forward/failed', failure: {mayHaveRun: true, detail: 'reset'}};
const unreachable: Step = {type: 'forward/failed', failure: {mayHaveRun: false, detail: 'refused'}};
const notRun: Step = {type: 'forward/answered', status: 503, isNotRun: true};

function answered(status: number): Step {
	return {type: 'forward/answered', status, isNotRun: false};
}

function run(steps: readonly Step[], {isIdempotent = false, maxAttempts = 1, retries = 10} = {}): string[] {
	let retriesLeft = retries;
	const state = createPlainForward({isIdempotent, maxAttempts, takeRetry: () => retriesLeft-- > 0});
	const effects = [{type: 'forward/start'} as const, ...steps].flatMap(step => reducePlainForward(state, {...step, nowMs: 0}));
	return effects.map(effect => summary(effect));
}

function summary(effect: PlainForwardEffect): string {
	return effect.type === 'forward/answer' ? String(effect.answer.status) : effect.type.slice('forward/'.length);
}

test('a non-idempotent request is resent only after a send that certainly did not run', () => {
	assert.deepEqual(run([notRun, answered(200)]), ['send', 'send', 'relay']);
	assert.deepEqual(run([unreachable, answered(200)]), ['send', 'send', 'relay']);
	assert.deepEqual(run([broken]), ['send', '502']);
	assert.deepEqual(run([answered(500)]), ['send', 'relay']);
});

test('an idempotent request is resent after failures until as many servers as its route allows may have run it', () => {
	const options = {isIdempotent: true, maxAttempts: 2};
	assert.deepEqual(run([broken, answered(200)], options), ['send', 'send', 'relay']);
	assert.deepEqual(run([answered(500), broken], options), ['send', 'send', 'relay']);
	assert.deepEqual(run([broken, broken], options), ['send', 'send', '502']);
	assert.deepEqual(run([broken], {...options, retries: 0}), ['send', '502']);
});

test('a 503, which tells the caller that the request did not run, is never the answer to a request that may have run', () => {
	assert.deepEqual(run([notRun, notRun, notRun]), ['send', 'send', 'send', '503']);
	assert.deepEqual(run([{type: 'forward/no-server'}]), ['send', '503']);
	assert.deepEqual(run([{type: 'forward/stopped', cause: 'deadline'}]), ['send', 'abort', '504']);
	const step = fc.constantFrom<Step>(broken, unreachable, notRun, answered(200), answered(500), {type: 'forward/no-server'}, {type: 'forward/stopped', cause: 'deadline'});
	fc.assert(fc.property(fc.array(step, {maxLength: 8}), fc.boolean(), fc.integer({min: 1, max: 3}), (steps, isIdempotent, maxAttempts) => {
		const effects = run(steps, {isIdempotent, maxAttempts});
		const outcomes = steps.slice(0, effects.filter(name => name === 'send').length);
		if (effects.at(-1) === '503') {
			assert.ok(outcomes.every(taken => taken === notRun || taken === unreachable || taken.type === 'forward/no-server'));
		}
	}), {seed: 5});
});

test('a request for which only cold servers without a turn are left is refused with the reason and a short retry delay', () => {
	const refusal = (coldWaitMs: number) => {
		const state = createPlainForward({isIdempotent: false, maxAttempts: 1, takeRetry: () => true});
		reducePlainForward(state, {type: 'forward/start', nowMs: 0});
		return reducePlainForward(state, {type: 'forward/no-server', coldWaitMs, nowMs: 0});
	};

	const answer = {status: 503, reason: 'the servers have just started and take few requests'};
	assert.deepEqual(refusal(400), [{type: 'forward/answer', answer: {...answer, retryAfterMs: 400}}]);
	assert.deepEqual(refusal(30_000), [{type: 'forward/answer', answer: {...answer, retryAfterMs: 1000}}]);
});

test('a request whose caller has gone is aborted and not answered', () => {
	assert.deepEqual(run([{type: 'forward/stopped', cause: 'caller-gone'}, answered(200)]), ['send', 'abort']);
});
