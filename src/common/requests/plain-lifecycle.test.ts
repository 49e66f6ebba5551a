import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {createPlainRequest, reducePlainRequest} from './plain-lifecycle.js';
import {RetryBudget} from './retry-budget.js';
import type {CallFailure, PlainRequestEffect, PlainRequestEvent} from './types.js';

type Step = PlainRequestEvent extends infer E ? E extends unknown ? Omit<E, 'nowMs'> : never : never;
type Options = {isIdempotent?: boolean; isClaimed?: boolean; retries?: number};

const brokenCall: CallFailure = {kind: 'broken', mayHaveBeenSent: true};
const upstreamUnreachable: CallFailure = {kind: 'unreachable', mayHaveBeenSent: false};

function runSteps(steps: readonly Step[], {isIdempotent = false, isClaimed = false, retries = 10}: Options = {}): PlainRequestEffect[] {
	const state = createPlainRequest({isIdempotent, isClaimed, budget: new RetryBudget(0.1, retries)});
	return [{type: 'plain/start'} as const, ...steps].flatMap(step => reducePlainRequest(state, {...step, nowMs: 0}));
}

function summarize(effects: readonly PlainRequestEffect[]): string[] {
	return effects.map(effect => {
		const name = effect.type.slice('plain/'.length);
		return effect.type === 'plain/refuse' ? `${name} ${effect.code} ${effect.run}` : (effect.type === 'plain/settle' ? `${name} ${effect.outcome}` : name);
	});
}

function attemptFailed(attempt: number, failure: CallFailure): Step {
	return {type: 'plain/attempt-failed', attempt, failure};
}

test('a non-idempotent request is sent again only if no part of it can have reached an upstream', () => {
	assert.deepEqual(summarize(runSteps([attemptFailed(1, upstreamUnreachable), attemptFailed(2, brokenCall)])), ['send', 'send', 'refuse upstream-failed unknown']);
	assert.deepEqual(summarize(runSteps([attemptFailed(1, brokenCall)])), ['send', 'refuse upstream-failed unknown']);
	assert.deepEqual(summarize(runSteps([{type: 'plain/hedge-due'}])), ['send']);
	assert.deepEqual(summarize(runSteps([{type: 'plain/answered', attempt: 1, status: 503}])), ['send', 'relay']);
});

test('retries of an idempotent request do not exceed the retry budget', () => {
	const steps = [attemptFailed(1, brokenCall), attemptFailed(2, brokenCall), attemptFailed(3, brokenCall)];
	assert.deepEqual(summarize(runSteps(steps, {isIdempotent: true})), ['send', 'send', 'send', 'refuse upstream-failed unknown']);
	assert.deepEqual(summarize(runSteps(steps, {isIdempotent: true, retries: 0})), ['send', 'refuse upstream-failed unknown']);
});

test('only the first answer of a hedged request is relayed', () => {
	const effects = runSteps([{type: 'plain/hedge-due'}, {type: 'plain/answered', attempt: 2, status: 200}, {type: 'plain/answered', attempt: 1, status: 200}], {isIdempotent: true});
	assert.deepEqual(summarize(effects), ['send', 'send', 'abort', 'relay']);
});

test('the outcome of a claimed request is recorded even if its caller disconnects', () => {
	const effects = runSteps([{type: 'plain/stopped', reason: 'caller-gone'}, {type: 'plain/answered', attempt: 1, status: 200}, {type: 'plain/body-ended'}], {isClaimed: true});
	assert.deepEqual(summarize(effects), ['send', 'relay', 'settle answered']);
	assert.deepEqual(summarize(runSteps([attemptFailed(1, brokenCall)], {isClaimed: true})), ['send', 'settle unknown', 'refuse upstream-failed unknown']);
});

test('a truncated answer closes the connection to the caller, so that the answer does not look complete', () => {
	const effects = runSteps([{type: 'plain/answered', attempt: 1, status: 200}, {type: 'plain/body-broken'}]);
	assert.deepEqual(summarize(effects), ['send', 'relay', 'cut']);
});

const anyAttempt = fc.integer({min: 1, max: 3});
const anyStep: fc.Arbitrary<Step> = fc.oneof(
	fc.tuple(anyAttempt, fc.constantFrom(brokenCall, upstreamUnreachable)).map(([attempt, failure]) => attemptFailed(attempt, failure)),
	fc.tuple(anyAttempt, fc.constantFrom(200, 503)).map(([attempt, status]): Step => ({type: 'plain/answered', attempt, status})),
	anyAttempt.map((attempt): Step => ({type: 'plain/no-upstream', attempt, code: 'overloaded'})),
	fc.constantFrom<Step>({type: 'plain/hedge-due'}, {type: 'plain/body-ended'}, {type: 'plain/body-broken'}, {type: 'plain/stopped', reason: 'caller-gone'}),
);

test('after any sequence of events, a request is answered once, and a non-idempotent request reaches an upstream at most once', () => {
	fc.assert(fc.property(fc.array(anyStep, {maxLength: 12}), fc.boolean(), fc.boolean(), (steps, isIdempotent, isClaimed) => {
		const stopStep: Step = {type: 'plain/stopped', reason: 'deadline'};
		const effects = runSteps([...steps, stopStep, ...steps, stopStep], {isIdempotent, isClaimed});
		const answers = effects.filter(effect => effect.type === 'plain/relay' || effect.type === 'plain/refuse');
		assert.equal(answers.length, 1);
		assert.equal(effects.filter(effect => effect.type === 'plain/settle').length, isClaimed ? 1 : 0);
		const unsent = steps.filter(step => step.type === 'plain/attempt-failed' && !step.failure.mayHaveBeenSent).length;
		const sends = effects.filter(effect => effect.type === 'plain/send').length;
		assert.equal(isIdempotent || sends - unsent <= 1, true);
	}), {seed: 3, numRuns: 2000});
});
