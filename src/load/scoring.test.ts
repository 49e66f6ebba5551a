import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {EngineRecord, PrefillRecord} from '../../fakes/engine.js';
import type {PlainServiceCall, PlainServiceRecord} from '../../fakes/plain-service.js';
import type {Outcome, ReplayResult} from './outcome.js';
import {renderPlotPage} from './plot.js';
import {score} from './scoring.js';
import type {ModelTraceRequest, PlainTraceRequest, TraceRequest} from './trace.js';

function modelRequest(id: string, fields: Partial<ModelTraceRequest> = {}): ModelTraceRequest {
	return {
		kind: 'model', id, atMs: 0, tenant: 'a', service: 'm',
		firstTokenTargetMs: 800, betweenTokensTargetMs: 69, maxTokens: 10, shared: [], ownTokens: 80, ...fields,
	};
}

function postRequest(id: string): PlainTraceRequest {
	return {
		kind: 'plain', id, atMs: 0, tenant: 'a', service: 'p', method: 'POST', path: '/orders', isIdempotent: false, isOpen: false, ref: id, cost: 10, firstTokenTargetMs: 500,
	};
}

function makeOutcome(request: TraceRequest, fields: Partial<Outcome> = {}): Outcome {
	return {
		request, kind: 'complete', sentMs: request.atMs, firstMs: request.atMs + 100, endMs: request.atMs + 200,
		gapsMs: request.kind === 'model' ? [20, 20] : [], outputTokens: 3, attempts: [{sentMs: request.atMs, endMs: request.atMs + 200, isBroken: false}], ...fields,
	};
}

function makeEngine(prefills: readonly PrefillRecord[], fields: Partial<EngineRecord> = {}): EngineRecord {
	return {
		kind: 'engine', keysSeen: 0, prefills, decodes: [], outputTokens: 0, refusals: 0, cancels: 0, orders: [], requests: [], ...fields,
	};
}

function makePrefill(answerId: string, outcome: PrefillRecord['outcome'] = 'transferred', cachedTokens = 0): PrefillRecord {
	return {
		requestId: answerId, startedMs: 0, answerId, promptTokens: 100, cachedTokens, outcome,
	};
}

function makePlain(references: readonly string[]): PlainServiceRecord {
	const calls = references.map((ref): PlainServiceCall => ({
		startedMs: 0, method: 'POST', path: '/orders', idempotencyKey: undefined, bodyDigest: '', ref,
	}));
	return {kind: 'plain', keysSeen: 0, calls};
}

function makeResult(outcomes: readonly Outcome[], fields: Partial<ReplayResult> = {}): ReplayResult {
	const customers = {a: {rate: 100, burst: 200}, b: {rate: 100, burst: 200}};
	return {
		trace: {
			header: {
				kind: 'header', format: 1, workload: 'bereket', seed: 1, durationMs: 1000, tenants: customers,
			},
			requests: outcomes.map(({request}) => request),
		},
		startedMs: 0,
		outcomes,
		engines: [],
		plain: [],
		...fields,
	};
}

test('goodput counts only complete answers within both latency targets and ignores cancelled requests', () => {
	const req = modelRequest('1', {ownTokens: 1});
	const late = makeOutcome(req, {firstMs: 900});
	const slow = makeOutcome(req, {gapsMs: [80, 80]});
	const partial = makeOutcome(req, {kind: 'incomplete'});
	assert.equal(score(makeResult([makeOutcome(req)])).goodput, 1);
	for (const bad of [late, slow, partial]) {
		assert.equal(score(makeResult([makeOutcome(req), bad])).goodput, 0.5);
	}

	assert.equal(score(makeResult([makeOutcome(req), makeOutcome(req, {kind: 'cancelled'})])).goodput, 1);
	assert.equal(score(makeResult([partial])).incompleteAnswers, 1);
	assert.equal(score(makeResult([makeOutcome(req, {kind: 'crossed'})])).crossedAnswers, 1);
});

test('a prefill counts as wasted if its result expires, is recomputed or belongs to an incomplete answer, and cached prompt tokens never count as wasted', () => {
	const outcomes = [makeOutcome(modelRequest('1')), makeOutcome(modelRequest('2'), {kind: 'unknown'})];
	const wastedRatio = (prefills: readonly PrefillRecord[]): number => score(makeResult(outcomes, {engines: [makeEngine(prefills)]})).wastedPrefillRatio;
	assert.equal(wastedRatio([makePrefill('1')]), 0);
	assert.equal(wastedRatio([makePrefill('1', 'expired'), makePrefill('1')]), 0.5);
	assert.equal(wastedRatio([makePrefill('1'), makePrefill('1')]), 0.5);
	assert.equal(wastedRatio([makePrefill('1'), makePrefill('2')]), 0.5);
	assert.equal(wastedRatio([makePrefill('1'), makePrefill('2', 'transferred', 100)]), 0);
});

test('the goodput of the worst customer is reported relative to the mean of all customers', () => {
	const makeGood = (customer: string): Outcome => makeOutcome(modelRequest(customer, {tenant: customer}));
	const bad = makeOutcome(modelRequest('x', {tenant: 'b', ownTokens: 1}), {kind: 'unknown'});
	assert.equal(score(makeResult([makeGood('a'), makeGood('b')])).worstTenantGoodput, 1);
	assert.equal(score(makeResult([makeGood('a'), makeGood('b'), bad])).worstTenantGoodput, 0.5 / 0.75);
});

test('over-admission is the largest excess over burst and rate in any time window', () => {
	const makeAdmitted = (count: number, everyMs: number): Outcome[] => Array.from({length: count}, (_, index) => makeOutcome(modelRequest(String(index), {atMs: index * everyMs})));
	assert.equal(score(makeResult(makeAdmitted(2, 0))).overAdmitted, 0);
	assert.equal(score(makeResult(makeAdmitted(9, 1000))).overAdmitted, 0, 'one request per second is within the rate');
	assert.ok(score(makeResult(makeAdmitted(4, 0))).overAdmitted > 100);
});

test('duplicate executions, requests left on engines and API keys that reach an upstream are counted', () => {
	const outcomes = [makeOutcome(postRequest('1')), makeOutcome(postRequest('2'))];
	const countDuplicates = (references: readonly string[]): number => score(makeResult(outcomes, {plain: [makePlain(references), makePlain(references.slice(0, 1))]})).duplicateRuns;
	assert.equal(countDuplicates(['1', '2']), 1, 'the same non-idempotent call ran on two upstreams');
	assert.equal(countDuplicates([]), 0);
	assert.equal(countDuplicates(['lookup', 'lookup']), 0, 'a call that the trace does not list as non-idempotent may run twice');
	const leaked = makeEngine([], {
		keysSeen: 2, requests: [{
			requestId: 'r', owner: {vm: 'entry-1', incarnation: 1}, phase: 'imported', kvBlocks: 1, ageMs: 5,
		}],
	});
	const measures = score(makeResult(outcomes, {engines: [leaked]}));
	assert.equal(measures.leakedEngineRequests, 1);
	assert.equal(measures.keysSeenByUpstreams, 2);
});

test('percentiles are in milliseconds, and every chart of the plot page has one line per router', () => {
	const outcomes = Array.from({length: 100}, (_, index) => makeOutcome(modelRequest(String(index)), {firstMs: index + 1}));
	const {firstTokenMs} = score(makeResult(outcomes));
	assert.ok(Math.abs(firstTokenMs.p50 - 50) < 1);
	assert.ok(Math.abs(firstTokenMs.p99 - 99) < 1);
	const page = renderPlotPage({system: makeResult(outcomes), baseline: makeResult(outcomes)});
	assert.equal(page.match(/<polyline/g)?.length, 6);
});
