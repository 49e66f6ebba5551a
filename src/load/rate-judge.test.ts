import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {EngineRecord} from '../../fakes/engine.js';
import type {Outcome, ReplayResult} from './outcome.js';
import {wrongfulRefusals} from './rate-judge.js';
import type {ModelTraceRequest} from './trace.js';

const burst = 200;
const replayStartMs = 5000;

/** A request that costs 93 tokens: 83 of prompt with its marker, and 10 of output. */
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

/** `runs` are ids with the times at which an engine began to read the prompt. */
function judge(outcomes: readonly Outcome[], runs: ReadonlyArray<readonly [string, number]>, rate = 0): string[] {
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
	return wrongfulRefusals(result).map(({request}) => request.id);
}

test('a planted refusal is found wrongful while the bucket has room', () => {
	assert.deepEqual(judge([makeRefusal('1', 0)], []), ['1']);
	assert.deepEqual(judge([makeOutcome('1', 0), makeRefusal('2', 10)], [['1', 5]]), ['2']);
});

test('a refusal is no wrongful one once runs have used up the burst, until the bucket has refilled', () => {
	const before = [makeOutcome('1', 0), makeOutcome('2', 0)];
	const runs = [['1', 5], ['2', 5]] as const;
	assert.deepEqual(judge([...before, makeRefusal('3', 200)], runs), []);
	assert.deepEqual(judge([...before, makeRefusal('3', 1200)], runs, 100), ['3']);
});

test('a request that was sent again after its process died has used the tokens of both attempts', () => {
	const resent = makeOutcome('1', 0, {
		attempts: [{sentMs: 0, endMs: 100, isBroken: true}, {sentMs: 110, endMs: 300, isBroken: false}], endMs: 300,
	});
	assert.deepEqual(judge([resent, makeRefusal('2', 400)], [['1', 5], ['1', 115]]), [], 'both attempts ran');
	assert.deepEqual(judge([resent, makeRefusal('2', 400)], [['1', 115]]), ['2'], 'the first attempt never reached an engine');
});

test('a request holds its whole cost while it runs and returns what it did not use', () => {
	const short = makeOutcome('1', 0, {outputTokens: 1});
	const later = makeOutcome('2', 0, {outputTokens: 1});
	const runs = [['1', 5], ['2', 5]] as const;
	const large = (atMs: number) => ({...makeRefusal('3', atMs), request: {...makeRequest('3'), ownTokens: 5, maxTokens: 10}});
	assert.deepEqual(judge([short, later, large(50)], runs), [], 'both still hold 93 tokens');
	assert.deepEqual(judge([short, later, large(150)], runs), ['3'], '9 tokens came back from each');
});
