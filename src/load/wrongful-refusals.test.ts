import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {EngineRecord} from '../../fakes/engine.js';
import type {Outcome, ReplayResult} from './outcome.js';
import {findWrongfulRefusals} from './wrongful-refusals.js';
import type {ModelTraceRequest} from './trace.js';

const burst = 200;
const replayStartMs = 5000;

/** Makes a request that costs 93 tokens: 83 for the prompt including its marker, and 10 for the output. */
function makeRequest(id: string): ModelTraceRequest {
	return {
		kind: 'model', id, atMs: 0, tenant: 'a', service: 'm', firstTokenTargetMs: 800, betweenTokensTargetMs: 69, maxTokens: 10, shared: [], ownTokens: 80,
	};
}

function makeOutcome(id: string, sentMs: number, fields: Partial<Outcome> = {}): Outcome {
	return {
		request: makeRequest(id), kind: 'complete', sentMs, firstMs: sentMs + 50, endMs: sentMs + 100, gapsMs: [], outputTokens: 10,
		attempts: [{sentMs, endMs: sentMs + 100, isBroken: false}], ...fields,
	};
}

function makeRefusal(id: string, atMs: number): Outcome {
	return makeOutcome(id, atMs, {
		kind: 'refused', firstMs: undefined, endMs: atMs, outputTokens: 0, attempts: [{sentMs: atMs, endMs: atMs, isBroken: false}],
	});
}

/** Returns the ids of the wrongfully refused requests; `runs` lists request ids with the times at which an engine started the prefill. */
function findWrongfulIds(outcomes: readonly Outcome[], runs: ReadonlyArray<readonly [string, number]>, rate = 0): string[] {
	const engine: EngineRecord = {
		kind: 'engine', keysSeen: 0, decodes: [], outputTokens: 0, refusals: 0, cancels: 0, orders: [], requests: [],
		prefills: runs.map(([answerId, atMs]) => ({
			requestId: answerId, startedMs: replayStartMs + atMs, answerId, promptTokens: 83, cachedTokens: 0, outcome: 'transferred',
		})),
	};
	const result: ReplayResult = {
		trace: {
			header: {
				kind: 'header', format: 1, workload: 'bereket', seed: 1, durationMs: 1000, tenants: {a: {rate, burst}},
			},
			requests: outcomes.map(({request}) => request),
		},
		startedMs: replayStartMs,
		outcomes,
		engines: [engine],
		plain: [],
	};
	return findWrongfulRefusals(result).map(({request}) => request.id);
}

test('a refusal while the bucket has enough tokens is reported as wrongful', () => {
	assert.deepEqual(findWrongfulIds([makeRefusal('1', 0)], []), ['1']);
	assert.deepEqual(findWrongfulIds([makeOutcome('1', 0), makeRefusal('2', 10)], [['1', 5]]), ['2']);
});

test('a refusal is not wrongful while the burst is used up, and is wrongful once the bucket has refilled', () => {
	const completed = [makeOutcome('1', 0), makeOutcome('2', 0)];
	const runs = [['1', 5], ['2', 5]] as const;
	assert.deepEqual(findWrongfulIds([...completed, makeRefusal('3', 200)], runs), []);
	assert.deepEqual(findWrongfulIds([...completed, makeRefusal('3', 1200)], runs, 100), ['3']);
});

test('a request that is retried after its entry process died is charged for each attempt that reached an engine', () => {
	const retried = makeOutcome('1', 0, {
		attempts: [{sentMs: 0, endMs: 100, isBroken: true}, {sentMs: 110, endMs: 300, isBroken: false}], endMs: 300,
	});
	assert.deepEqual(findWrongfulIds([retried, makeRefusal('2', 400)], [['1', 5], ['1', 115]]), [], 'both attempts ran');
	assert.deepEqual(findWrongfulIds([retried, makeRefusal('2', 400)], [['1', 115]]), ['2'], 'the first attempt never reached an engine');
});

test('a request reserves its full cost while it runs and returns the unused tokens when it ends', () => {
	const first = makeOutcome('1', 0, {outputTokens: 1});
	const second = makeOutcome('2', 0, {outputTokens: 1});
	const runs = [['1', 5], ['2', 5]] as const;
	const makeRefusalAt = (atMs: number) => ({...makeRefusal('3', atMs), request: {...makeRequest('3'), ownTokens: 5, maxTokens: 10}});
	assert.deepEqual(findWrongfulIds([first, second, makeRefusalAt(50)], runs), [], 'each of the two completed requests still reserves 93 tokens');
	assert.deepEqual(findWrongfulIds([first, second, makeRefusalAt(150)], runs), ['3'], 'each of the two completed requests returned 9 unused tokens');
});
