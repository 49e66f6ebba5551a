import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {TestContext} from 'node:test';
import {freshnessLimitMs} from '../../common/access/access.js';
import {snapshotState} from '../../common/control/state.js';
import {MonotonicClock} from '../clock.js';
import {makeDocument, TestCluster, until} from './test-helper.js';

async function startCluster(context: TestContext, controlVms?: string[]) {
	const cluster = new TestCluster(controlVms);
	context.after(async () => cluster.dispose());
	const controls = cluster.controlVms.map(vm => cluster.addControl(vm));
	cluster.consensus.elect(cluster.controlVms[0]!);
	const operator = cluster.addOperator('operator-1');
	const applied = await operator.applyConfiguration(makeDocument(), 0);
	assert.equal(applied.kind, 'applied');
	return {cluster, controls, operator};
}

test('guards against an entry process that serves without a confirmed view or after a key is withdrawn', async context => {
	const {cluster, operator} = await startCluster(context);
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
});

/** A clock of a machine that a test suspends: only the time of day goes on. */
class SuspendedClock extends MonotonicClock {
	suspendedMs = 0;

	override wallMs(): number {
		return super.wallMs() + this.suspendedMs;
	}
}

test('guards against keys accepted after a suspension by a view that was confirmed before it', async context => {
	const {cluster} = await startCluster(context);
	const clock = new SuspendedClock();
	const {client: {access}} = cluster.addEntry('entry-1', 1, clock);
	await until(() => access.isFresh());
	clock.suspendedMs += freshnessLimitMs + 1;
	assert.equal(access.isFresh(), false);
	await until(() => access.isFresh());
});

test('guards against grants that do not reach a waiting request, and refusals that wait although hopeless', async context => {
	const {cluster} = await startCluster(context);
	const {client: {access}} = cluster.addEntry('entry-1');
	await until(() => access.view !== undefined);
	assert.deepEqual(await access.acquire('acme', 1001, 1000), {ok: false, code: 'exceeds-burst'});
	const acquired = await access.acquire('acme', 100, 10_000);
	assert.equal(acquired.ok, true);
	const refused = await access.acquire('acme', 1000, 100);
	assert.ok(!refused.ok);
	assert.equal(refused.code, 'rate-exceeded');
	assert.ok(refused.retryAfterMs! > 0);
});

test('guards against a second run of a claimed request', async context => {
	const {cluster} = await startCluster(context);
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
	const next = {...claim, idempotencyKey: 'i-2'};
	const running = await first.open(next, 0);
	assert.equal(running.kind, 'granted');
	const reads = cluster.hub.delivered.get('control/read')!;
	const cutOff = second.open(next, 300);
	await until(() => cluster.hub.delivered.get('control/read')! > reads);
	cluster.hub.silenced.add('control-1');
	// The other process may be running the request, so this is not the same as no quorum for a new claim.
	assert.deepEqual(await cutOff, {kind: 'unknown'});
});

test('guards against a claim that blocks resends although its process was told that no quorum answered', async context => {
	const {cluster, controls: [control]} = await startCluster(context);
	const {client: {claims}} = cluster.addEntry('entry-1');
	const claim = {
		tenant: 'acme', service: 'entry-desk', idempotencyKey: 'i-1', requestDigest: 'a',
	};
	cluster.hub.lostReplies.set('control/propose', 4);
	assert.deepEqual(await claims.open(claim, 0), {kind: 'unavailable'});
	await until(() => control!.slice.data.claims.size === 0);
	const granted = await claims.open(claim, 0);
	assert.equal(granted.kind, 'granted');
});

test('guards against a proof from a control process that cannot reach a quorum', async context => {
	const {cluster, operator} = await startCluster(context, ['control-1', 'control-2']);
	const entry = cluster.addEntry('entry-1');
	await until(() => entry.client.access.isFresh());
	cluster.consensus.isolated.add('control-1');
	const before = entry.state.lastSentMs;
	// Each sync to the isolated leader times out; its view never counts as confirmed.
	await until(() => entry.state.lastSentMs > before + 1000);
	assert.ok(entry.state.confirmedMs! <= before);
	cluster.consensus.elect('control-2');
	await until(() => entry.state.confirmedMs! > before);
	const issued = await operator.issueKey('acme', 'key-1');
	assert.equal(issued.kind, 'issued');
});

test('guards against keyed service without a proof', async context => {
	const {cluster} = await startCluster(context);
	const {client: {access}, state} = cluster.addEntry('entry-1');
	await until(() => access.isFresh());
	cluster.hub.silenced.add('control-1');
	await until(() => !access.isFresh());
	assert.ok(cluster.clock.nowMs() - state.confirmedMs! > freshnessLimitMs);
	cluster.hub.silenced.clear();
	await until(() => access.isFresh());
});

test('guards against a change that takes effect twice, or a key that is lost, when the answer is lost', async context => {
	const {cluster, controls: [control], operator} = await startCluster(context);
	const lose = () => cluster.hub.lostReplies.set('control/propose', 1);
	lose();
	assert.deepEqual(await operator.applyConfiguration(makeDocument({rate: 5}), 1), {kind: 'applied', version: 2, revision: 2});
	lose();
	const issued = await operator.issueKey('acme', 'key-1', 'change-1');
	assert.equal(issued.kind, 'issued');
	// An operator who repeats the whole operation must not get a key that does not work.
	assert.deepEqual(await operator.issueKey('acme', 'key-1', 'change-1'), {kind: 'already-issued', keyId: 'key-1', revision: 3});
	const {client: {claims}} = cluster.addEntry('entry-1');
	const claim = {
		tenant: 'acme', service: 'entry-desk', idempotencyKey: 'i-1', requestDigest: 'a',
	};
	lose();
	const granted = await claims.open(claim, 0);
	assert.equal(granted.kind, 'granted');
	assert.deepEqual(await claims.open(claim, 0), {kind: 'unknown'});
	assert.equal(control!.slice.data.claims.size, 1);
});

test('guards against two racing operators who are both told that they won', async context => {
	const {cluster, operator} = await startCluster(context);
	const rival = cluster.addOperator('operator-2');
	const results = await Promise.all([operator.applyConfiguration(makeDocument({rate: 1}), 1), rival.applyConfiguration(makeDocument({rate: 2}), 1)]);
	assert.deepEqual(results.map(({kind}) => kind).sort(), ['applied', 'conflict']);
	const winner = results[0].kind === 'applied' ? 1 : 2;
	const {version, source} = await rival.getConfiguration();
	assert.deepEqual([version, source], [2, makeDocument({rate: winner})]);
	const {versions} = await operator.getHistory();
	assert.deepEqual(versions.map(entry => entry.version), [1, 2]);
	const faulty = await operator.applyConfiguration('tenants: {}', 2);
	assert.equal(faulty.kind, 'faulty');
});

test('guards against keys, drains and configurations that are lost or come back after a restart following hundreds of changes', async context => {
	const {cluster, operator} = await startCluster(context, ['control-1']);
	const entry = cluster.addEntry('entry-1');
	for (let i = 0; i < 300; i++) {
		await operator.issueKey('acme', `key-${i}`);
	}

	for (let i = 0; i < 300; i += 2) {
		await operator.withdrawKey(`key-${i}`);
	}

	await operator.setDrain('upstream', 'engine-1', true);
	for (let version = 1; version <= 60; version++) {
		await operator.applyConfiguration(makeDocument({rate: version}), version);
	}

	const replayed = cluster.addControl('control-1');
	const {data} = replayed.slice;
	assert.deepEqual([data.keys.size, data.drains.size, data.revision], [150, 1, 512]);
	const restored = cluster.addControl('control-1', {index: cluster.consensus.log.length, data: cluster.hub.copy(snapshotState(data))});
	cluster.consensus.elect('control-1');
	assert.deepEqual(snapshotState(restored.slice.data), cluster.hub.copy(snapshotState(data)));
	await operator.withdrawKey('key-1');
	await until(() => entry.client.access.view?.revision === 513);
	assert.deepEqual([entry.state.view.keysByDigest.size, entry.client.access.view?.version], [149, 61]);
	const {keys, drains} = {keys: await operator.listKeys(), drains: await operator.listDrains()};
	assert.deepEqual([keys.length, drains], [149, [{target: 'upstream', name: 'engine-1'}]]);
});

test('guards against messages that exceed a frame, and an incomplete view, with 20,000 tenants and keys', async context => {
	const {cluster, controls: [control], operator} = await startCluster(context);
	const applied = await operator.applyConfiguration(makeDocument({tenants: 20_000}), 1);
	assert.equal(applied.kind, 'applied');
	for (let i = 0; i < 20_000; i++) {
		control!.runtime.dispatch({
			type: 'control/propose', token: 1e9 + i, command: {
				type: 'key.issue', changeId: `c${i}`, keyId: `key-of-customer-${i}`, digest: String(i).padStart(64, '0'), tenant: 'acme',
			},
		});
	}

	cluster.hub.largestBytes = 0;
	const entry = cluster.addEntry('entry-1');
	await until(() => entry.client.access.isFresh());
	assert.equal(entry.state.view.keysByDigest.size, 20_000);
	assert.equal(Object.keys(entry.client.access.view!.configuration.tenants).length, 20_000);
	assert.ok(cluster.hub.largestBytes < 1_048_576, `${cluster.hub.largestBytes} bytes`);
});

test('guards against a key in the log, in a snapshot or in a listing', async context => {
	const {cluster, controls: [control], operator} = await startCluster(context);
	const issued = await operator.issueKey('acme', 'key-1');
	assert.ok(issued.kind === 'issued');
	assert.match(issued.key, /^jh_[\w-]{43}$/);
	const stored = JSON.stringify([cluster.consensus.log, snapshotState(control!.slice.data), await operator.listKeys()]);
	assert.ok(stored.includes('key-1'));
	assert.ok(!stored.includes(issued.key) && !stored.includes(issued.key.slice(3)));
	assert.deepEqual(await operator.issueKey('nobody', 'key-2'), {kind: 'refused', code: 'unknown-tenant'});
});

test('guards against a lease that two processes hold, and an order settled by a former holder', async context => {
	const {operator} = await startCluster(context);
	const [first, second] = [{vm: 'vm-1', incarnation: 1}, {vm: 'vm-2', incarnation: 1}];
	assert.deepEqual(await operator.acquireLease('orders', first, 60_000), {kind: 'held', epoch: 1});
	assert.deepEqual(await operator.acquireLease('orders', second, 60_000), {kind: 'taken', current: {holder: first, epoch: 1}});
	await operator.submitOrder('engine-1', {load: 'dossier-8b'}, 'order-1');
	const released = await operator.releaseLease('orders', first, 1);
	assert.equal(released.kind, 'done');
	assert.deepEqual(await operator.acquireLease('orders', second, 60_000), {kind: 'held', epoch: 2});
	assert.deepEqual(await operator.renewLease('orders', first, 1, 1000), {kind: 'taken', current: {holder: second, epoch: 2}});
	assert.deepEqual(await operator.settleOrder('order-1', 1, 'done'), {kind: 'refused', code: 'stale'});
	const settled = await operator.settleOrder('order-1', 2, 'failed', 'no memory');
	assert.equal(settled.kind, 'done');
	const [order] = await operator.listOrders();
	assert.deepEqual([order?.status, order?.detail], ['failed', 'no memory']);
});
