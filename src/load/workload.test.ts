import assert from 'node:assert/strict';
import {test} from 'node:test';
import {prefixHashes} from '../common/upstreams/prompt-prefix.js';
import {buildPrompt} from './prompts.js';
import {loadExample} from './replay.js';
import {requestCost} from './request-cost.js';
import {readTrace, writeTrace} from './trace.js';
import type {ModelTraceRequest, PlainTraceRequest} from './trace.js';
import {generateTrace} from './workload.js';
import type {WorkloadName} from './workload.js';

function makeTrace(workload: WorkloadName, seed = 3) {
	return generateTrace({
		workload, seed, configuration: loadExample(workload).value, durationMs: 20_000,
	});
}

test('equal seeds give equal traces, different seeds give different traces, and writing and reading a trace does not change it', () => {
	for (const workload of ['bereket', 'vanua'] as const) {
		const trace = makeTrace(workload);
		assert.equal(writeTrace(trace), writeTrace(makeTrace(workload)));
		assert.notEqual(writeTrace(trace), writeTrace(makeTrace(workload, 4)));
		assert.deepEqual(readTrace(writeTrace(trace)), trace);
		assert.equal(new Set(trace.requests.map(({id}) => id)).size, trace.requests.length);
	}

	assert.throws(() => readTrace('{"kind":"header","format":2}'));
});

test('a trace contains shared prefixes, uneven customers, a burst, cancellations, repeated lookups and resent calls', () => {
	const {requests, header} = makeTrace('bereket');
	const models = requests.filter((req): req is ModelTraceRequest => req.kind === 'model');
	const plain = requests.filter((req): req is PlainTraceRequest => req.kind === 'plain');
	assert.ok(models.some(({cancelAfterMs}) => cancelAfterMs !== undefined));
	const [first, second] = models as [ModelTraceRequest, ModelTraceRequest];
	assert.deepEqual(prefixHashes(buildPrompt(first), 8), prefixHashes(buildPrompt(second), 8), 'all prompts start with the same standard rules');
	assert.equal(Math.ceil(buildPrompt(first).length / 4) + first.maxTokens, requestCost(first), 'the cost covers the whole prompt and the maximum output');
	const lookups = plain.filter(({path}) => path.startsWith('/lookups')).map(({path}) => path);
	assert.ok(new Set(lookups).size < lookups.length);
	const resent = plain.filter(({id}) => id.endsWith('-again'));
	assert.ok(resent.length > 0);
	for (const resend of resent) {
		const original = plain.find(({id}) => id === resend.ref)!;
		assert.equal(resend.idempotencyKey, original.idempotencyKey);
		assert.equal(resend.path, original.path);
	}

	const countIn = (customer: string, from: number, to: number): number =>
		requests.filter(({tenant: other, atMs}) => other === customer && atMs >= from * header.durationMs && atMs < to * header.durationMs).length;
	assert.ok(countIn('sled-league', 0.4, 0.6) > 2 * countIn('sled-league', 0.6, 0.8), 'one tenant bursts');
	assert.ok(countIn('trials-board', 0, 1) > 3 * countIn('agility-circle', 0, 1), 'tenants with a higher rate send more');
});
