import assert from 'node:assert/strict';
import {test} from 'node:test';
import {makeDocument, TestCluster, until} from './test-helper.js';

async function startCluster(controlVms?: string[]) {
	const cluster = new TestCluster(controlVms);
	const controls = cluster.controlVms.map(vm => cluster.addControl(vm));
	cluster.consensus.elect(cluster.controlVms[0]!);
	const operator = cluster.addOperator('operator-1');
	const applied = await operator.applyConfiguration(makeDocument(), 0);
	assert.equal(applied.kind, 'applied');
	return {cluster, controls, operator};
}

test('guards against an entry process that serves without a confirmed view or after a key is withdrawn', async () => {
	const {cluster, operator} = await startCluster();
	const {client: {access}} = cluster.addEntry('entry-1');
	assert.equal(access.isFresh(), false);
	const issued = await operator.issueKey('acme', 'key-1');
	assert.ok(issued.kind === 'issued');
	await until(() => access.authenticate(issued.key) !== undefined);
	assert.deepEqual(access.authenticate(issued.key), {tenant: 'acme', keyId: 'key-1'});
	assert.equal(access.authenticate(issued.key + 'x'), undefined);
	assert.equal(access.isFresh(), true);
	const withdrawn = access.events.once('onKeyWithdrawn');
	await operator.withdrawKey('key-1');
	assert.equal(await withdrawn, 'key-1');
	assert.equal(access.authenticate(issued.key), undefined);
	await cluster.dispose();
});

test('guards against grants that do not reach a waiting request, and refusals that wait although hopeless', async () => {
	const {cluster, operator} = await startCluster();
	const {client: {access}} = cluster.addEntry('entry-1');
	await until(() => access.view !== undefined);
	assert.deepEqual(await access.acquire('acme', 1001, 1000), {ok: false, code: 'exceeds-burst'});
	assert.deepEqual(await access.acquire('acme', 100, 10_000), {ok: true});
	const refused = await access.acquire('acme', 1000, 100);
	assert.ok(!refused.ok);
	assert.equal(refused.code, 'rate-exceeded');
	assert.ok(refused.retryAfterMs! > 0);
	await operator.getHistory();
	await cluster.dispose();
});

test('guards against a second run of a claimed request', async () => {
	const {cluster} = await startCluster();
	const {client: {claims: first}} = cluster.addEntry('entry-1');
	const {client: {claims: second}} = cluster.addEntry('entry-2');
	const claim = {
		tenant: 'acme', service: 'entry-desk', idempotencyKey: 'i-1', requestDigest: 'a',
	};
	const granted = await first.open(claim, 0);
	assert.ok(granted.kind === 'granted');
	assert.deepEqual(await second.open(claim, 0), {kind: 'unknown'});
	assert.deepEqual(await second.open({...claim, requestDigest: 'b'}, 0), {kind: 'conflict'});
	const waiting = second.open(claim, 10_000);
	const outcome = {status: 201, headers: {'content-type': 'text/plain'}, body: new Uint8Array([1, 2])};
	await first.settle(granted.claimId, {kind: 'answered', outcome});
	const recorded = await waiting;
	assert.ok(recorded.kind === 'recorded');
	assert.deepEqual([...recorded.outcome.body!], [1, 2]);
	await cluster.dispose();
});
