import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {createPlainRequest, reducePlainRequest} from './plain-lifecycle.js';
import {RetryBudget} from './retry-budget.js';
import type {CallFailure, PlainEffect, PlainEvent} from './types.js';

type Step = PlainEvent extends infer E ? E extends unknown ? Omit<E, 'nowMs'> : never : never;
type Options = {isIdempotent?: boolean; isClaimed?: boolean; retries?: number};

const broken: CallFailure = {kind: 'broken', maySent: true};
const unreachable: CallFailure = {kind: 'unreachable', maySent: false};

function run(steps: readonly Step[], {isIdempotent = false, isClaimed = false, retries = 10}: Options = {}): PlainEffect[] {
	const state = createPlainRequest({isIdempotent, isClaimed, budget: new RetryBudget(0.1, retries)});
	return [{type: 'plain/start'} as const, ...steps].flatMap(step => reducePlainRequest(state, {...step, nowMs: 0}));
}

function summary(effects: readonly PlainEffect[]): string[] {
	return effects.map(effect => {
		const name = effect.type.slice('plain/'.length);
		return effect.type === 'plain/refuse' ? `${name} ${effect.code} ${effect.run}` : (effect.type === 'plain/settle' ? `${name} ${effect.outcome}` : name);
	});
}

function failed(attempt: number, failure: CallFailure): Step {
	return {type: 'plain/attempt-failed', attempt, failure};
}

test('a request that is not idempotent is retried only while nothing can have been sent', () => {
	assert.deepEqual(summary(run([failed(1, unreachable), failed(2, broken)])), ['send', 'send', 'refuse upstream-failed unknown']);
	assert.deepEqual(summary(run([failed(1, broken)])), ['send', 'refuse upstream-failed unknown']);
	assert.deepEqual(summary(run([{type: 'plain/hedge-due'}])), ['send']);
	assert.deepEqual(summary(run([{type: 'plain/answered', attempt: 1, status: 503}])), ['send', 'relay']);
});

test('an idempotent request is retried within the budget', () => {
	const steps = [failed(1, broken), failed(2, broken), failed(3, broken)];
	assert.deepEqual(summary(run(steps, {isIdempotent: true})), ['send', 'send', 'send', 'refuse upstream-failed unknown']);
	assert.deepEqual(summary(run(steps, {isIdempotent: true, retries: 0})), ['send', 'refuse upstream-failed unknown']);
});

test('the first answer of a hedged request is the only one that is passed on', () => {
	const effects = run([{type: 'plain/hedge-due'}, {type: 'plain/answered', attempt: 2, status: 200}, {type: 'plain/answered', attempt: 1, status: 200}], {isIdempotent: true});
	assert.deepEqual(summary(effects), ['send', 'send', 'abort', 'relay']);
});

test('a claimed request goes on without its caller, and its outcome is recorded', () => {
	const effects = run([{type: 'plain/stopped', reason: 'caller-gone'}, {type: 'plain/answered', attempt: 1, status: 200}, {type: 'plain/body-ended'}], {isClaimed: true});
	assert.deepEqual(summary(effects), ['send', 'relay', 'settle answered']);
	assert.deepEqual(summary(run([failed(1, broken)], {isClaimed: true})), ['send', 'settle unknown', 'refuse upstream-failed unknown']);
});

test('an answer that breaks off is cut, never ended as if it were complete', () => {
	const effects = run([{type: 'plain/answered', attempt: 1, status: 200}, {type: 'plain/body-broken'}]);
	assert.deepEqual(summary(effects), ['send', 'relay', 'cut']);
});

const anyAttempt = fc.integer({min: 1, max: 3});
const anyStep: fc.Arbitrary<Step> = fc.oneof(
	fc.tuple(anyAttempt, fc.constantFrom(broken, unreachable)).map(([attempt, failure]) => failed(attempt, failure)),
	fc.tuple(anyAttempt, fc.constantFrom(200, 503)).map(([attempt, status]): Step => ({type: 'plain/answered', attempt, status})),
	anyAttempt.map((attempt): Step => ({type: 'plain/no-upstream', attempt, code: 'overloaded'})),
	fc.constantFrom<Step>({type: 'plain/hedge-due'}, {type: 'plain/body-ended'}, {type: 'plain/body-broken'}, {type: 'plain/stopped', reason: 'caller-gone'}),
);

test('whatever happens, a request is answered once, and one that is not idempotent leaves at most once', () => {
	fc.assert(fc.property(fc.array(anyStep, {maxLength: 12}), fc.boolean(), fc.boolean(), (steps, isIdempotent, isClaimed) => {
		const end: Step = {type: 'plain/stopped', reason: 'deadline'};
		const effects = run([...steps, end, ...steps, end], {isIdempotent, isClaimed});
		const answers = effects.filter(effect => effect.type === 'plain/relay' || effect.type === 'plain/refuse');
		assert.equal(answers.length, 1);
		assert.equal(effects.filter(effect => effect.type === 'plain/settle').length, isClaimed ? 1 : 0);
		const unsent = steps.filter(step => step.type === 'plain/attempt-failed' && !step.failure.maySent).length;
		const sends = effects.filter(effect => effect.type === 'plain/send').length;
		assert.equal(isIdempotent || sends - unsent <= 1, true);
	}), {seed: 3, numRuns: 2000});
});
