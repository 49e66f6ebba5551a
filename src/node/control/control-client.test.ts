import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {TestContext} from 'node:test';
import {freshnessLimitMs} from '../../common/access/access.js';
import {snapshotState} from '../../common/control/state.js';
import {SystemClock} from '../clock.js';
import {makeConfigurationDocument, TestCluster, waitUntil} from './test-helper.js';

async function startCluster(context: TestContext, controlVms?: string[]) {
	const cluster = new TestCluster(controlVms);
	context.after(async () => cluster.dispose());
	const controls = cluster.controlVms.map(vm => cluster.addControl(vm));
	cluster.consensus.elect(cluster.controlVms[0]!);
	const adminClient = cluster.addOperator('operator-1');
	const applied = await adminClient.applyConfiguration(makeConfigurationDocument(), 0);
	assert.equal(applied.kind, 'applied');
	return {cluster, controls, adminClient};
}

test('an entry process starts without a confirmed view, and rejects a key after its withdrawal', async context => {
	const {cluster, adminClient} = await startCluster(context);
	const {client: {access}} = cluster.addEntry('entry-1');
	assert.equal(access.isFresh(), false);
	const issued = await adminClient.issueKey('acme', 'key-1');
	assert.ok(issued.kind === 'issued');
	await waitUntil(() => access.authenticate(issued.key) !== undefined);
	assert.deepEqual(access.authenticate(issued.key), {tenant: 'acme', keyId: 'key-1'});
	assert.equal(access.authenticate(issued.key + 'x'), undefined);
	assert.equal(access.isFresh(), true);
	const withdrawn = access.events.once('onKeyWithdrawn');
	await adminClient.withdrawKey('key-1');
	assert.equal(await withdrawn, 'key-1');
	assert.equal(access.authenticate(issued.key), undefined);
});

/** Clock of a suspended machine: only the wall clock advances during the suspension. */
class SuspendedClock extends SystemClock {
	suspendedMs = 0;

	override wallTimeMs(): number {
		return super.wallTimeMs() + this.suspendedMs;
	}
}

test('a view that was confirmed before the machine was suspended is not fresh afterwards', async context => {
	const {cluster} = await startCluster(context);
	const clock = new SuspendedClock();
	const {client: {access}} = cluster.addEntry('entry-1', 1, clock);
	await waitUntil(() => access.isFresh());
	clock.suspendedMs += freshnessLimitMs + 1;
	assert.equal(access.isFresh(), false);
	await waitUntil(() => access.isFresh());
});

test('a waiting request receives its rate tokens, and a request that the customer\'s bucket cannot cover in time is refused', async context => {
	const {cluster} = await startCluster(context);
	const {client: {access}} = cluster.addEntry('entry-1');
	await waitUntil(() => access.view !== undefined);
	assert.deepEqual(await access.acquire('acme', 1001, 1000), {ok: false, code: 'exceeds-burst'});
	const acquired = await access.acquire('acme', 100, 10_000);
	assert.equal(acquired.ok, true);
	const refused = await access.acquire('acme', 1000, 100);
	assert.ok(!refused.ok);
	assert.equal(refused.code, 'rate-exceeded');
	assert.ok(refused.retryAfterMs! > 0);
});

test('a claimed request does not run a second time', async context => {
	const {cluster} = await startCluster(context);
	const {client: {claims: first}} = cluster.addEntry('entry-1');
	const {client: {claims: second}} = cluster.addEntry('entry-2');
	const claim = {
		tenant: 'acme', service: 'entry-desk', idempotencyKey: 'i-1', requestDigest: 'a',
	};
	const granted = await first.claim(claim, 0);
	assert.ok(granted.kind === 'granted');
	assert.deepEqual(await second.claim(claim, 0), {kind: 'unknown'});
	assert.deepEqual(await second.claim({...claim, requestDigest: 'b'}, 0), {kind: 'conflict'});
	const pendingOpen = second.claim(claim, 10_000);
	const outcome = {status: 201, headers: {'content-type': 'text/plain'}, body: new Uint8Array([1, 2])};
	await first.settle(granted.claimId, {kind: 'answered', outcome});
	const recorded = await pendingOpen;
	assert.ok(recorded.kind === 'recorded');
	assert.deepEqual([...recorded.outcome.body!], [1, 2]);
	const nextClaim = {...claim, idempotencyKey: 'i-2'};
	const nextGranted = await first.claim(nextClaim, 0);
	assert.equal(nextGranted.kind, 'granted');
	const reads = cluster.hub.deliveredCounts.get('control/read')!;
	const interrupted = second.claim(nextClaim, 300);
	await waitUntil(() => cluster.hub.deliveredCounts.get('control/read')! > reads);
	cluster.hub.disconnectedVms.add('control-1');
	// The other process may be running the request, so the result is `unknown` and not `unavailable`, which only a new claim gets.
	assert.deepEqual(await interrupted, {kind: 'unknown'});
});

test('a claim that failed because no quorum answered does not block a resent request', async context => {
	const {cluster, controls: [control]} = await startCluster(context);
	const {client: {claims}} = cluster.addEntry('entry-1');
	const claim = {
		tenant: 'acme', service: 'entry-desk', idempotencyKey: 'i-1', requestDigest: 'a',
	};
	cluster.hub.repliesToDrop.set('control/propose', 4);
	assert.deepEqual(await claims.claim(claim, 0), {kind: 'unavailable'});
	await waitUntil(() => control!.slice.data.claims.size === 0);
	const granted = await claims.claim(claim, 0);
	assert.equal(granted.kind, 'granted');
});

test('a leader that cannot reach a quorum does not confirm a view', async context => {
	const {cluster, adminClient} = await startCluster(context, ['control-1', 'control-2']);
	const entry = cluster.addEntry('entry-1');
	await waitUntil(() => entry.client.access.isFresh());
	cluster.consensus.isolatedVms.add('control-1');
	const lastSyncSentMs = entry.state.lastSentMs;
	// Each sync with the isolated leader times out, so the view is not confirmed.
	await waitUntil(() => entry.state.lastSentMs > lastSyncSentMs + 1000);
	assert.ok(entry.state.confirmedMs! <= lastSyncSentMs);
	cluster.consensus.elect('control-2');
	await waitUntil(() => entry.state.confirmedMs! > lastSyncSentMs);
	const issued = await adminClient.issueKey('acme', 'key-1');
	assert.equal(issued.kind, 'issued');
});

test('the view of an entry process is no longer fresh while the control VM is unreachable', async context => {
	const {cluster} = await startCluster(context);
	const {client: {access}, state} = cluster.addEntry('entry-1');
	await waitUntil(() => access.isFresh());
	cluster.hub.disconnectedVms.add('control-1');
	await waitUntil(() => !access.isFresh());
	assert.ok(cluster.clock.nowMs() - state.confirmedMs! > freshnessLimitMs);
	cluster.hub.disconnectedVms.clear();
	await waitUntil(() => access.isFresh());
});

test('a change whose reply is lost takes effect once, and an issued key is not lost', async context => {
	const {cluster, controls: [control], adminClient} = await startCluster(context);
	const dropNextReply = () => cluster.hub.repliesToDrop.set('control/propose', 1);
	dropNextReply();
	assert.deepEqual(await adminClient.applyConfiguration(makeConfigurationDocument({rate: 5}), 1), {kind: 'applied', version: 2, revision: 2});
	dropNextReply();
	const issued = await adminClient.issueKey('acme', 'key-1', 'change-1');
	assert.equal(issued.kind, 'issued');
	// An operator who repeats the whole operation must not get a key that does not work.
	assert.deepEqual(await adminClient.issueKey('acme', 'key-1', 'change-1'), {kind: 'already-issued', keyId: 'key-1', revision: 3});
	const {client: {claims}} = cluster.addEntry('entry-1');
	const claim = {
		tenant: 'acme', service: 'entry-desk', idempotencyKey: 'i-1', requestDigest: 'a',
	};
	dropNextReply();
	const granted = await claims.claim(claim, 0);
	assert.equal(granted.kind, 'granted');
	assert.deepEqual(await claims.claim(claim, 0), {kind: 'unknown'});
	assert.equal(control!.slice.data.claims.size, 1);
});

test('only one of two concurrent configuration changes is reported as applied', async context => {
	const {cluster, adminClient} = await startCluster(context);
	const otherAdminClient = cluster.addOperator('operator-2');
	const results = await Promise.all([adminClient.applyConfiguration(makeConfigurationDocument({rate: 1}), 1), otherAdminClient.applyConfiguration(makeConfigurationDocument({rate: 2}), 1)]);
	assert.deepEqual(results.map(({kind}) => kind).sort(), ['applied', 'conflict']);
	const winningRate = results[0].kind === 'applied' ? 1 : 2;
	const {version, source} = await otherAdminClient.getConfiguration();
	assert.deepEqual([version, source], [2, makeConfigurationDocument({rate: winningRate})]);
	const {versions} = await adminClient.getHistory();
	assert.deepEqual(versions.map(entry => entry.version), [1, 2]);
	const invalid = await adminClient.applyConfiguration('tenants: {}', 2);
	assert.equal(invalid.kind, 'faulty');
});

test('after hundreds of changes, a restarted control process has the same keys, drains and configurations', async context => {
	const {cluster, adminClient} = await startCluster(context, ['control-1']);
	const entry = cluster.addEntry('entry-1');
	for (let i = 0; i < 300; i++) {
		await adminClient.issueKey('acme', `key-${i}`);
	}

	for (let i = 0; i < 300; i += 2) {
		await adminClient.withdrawKey(`key-${i}`);
	}

	await adminClient.setDrain('upstream', 'engine-1', true);
	for (let version = 1; version <= 60; version++) {
		await adminClient.applyConfiguration(makeConfigurationDocument({rate: version}), version);
	}

	const replayed = cluster.addControl('control-1');
	const {data} = replayed.slice;
	assert.deepEqual([data.keys.size, data.drains.size, data.revision], [150, 1, 512]);
	const restored = cluster.addControl('control-1', {index: cluster.consensus.log.length, data: cluster.hub.encodeAndDecode(snapshotState(data))});
	cluster.consensus.elect('control-1');
	assert.deepEqual(snapshotState(restored.slice.data), cluster.hub.encodeAndDecode(snapshotState(data)));
	await adminClient.withdrawKey('key-1');
	await waitUntil(() => entry.client.access.view?.revision === 513);
	assert.deepEqual([entry.state.view.keysByDigest.size, entry.client.access.view?.version], [149, 61]);
	const {keys, drains} = {keys: await adminClient.listKeys(), drains: await adminClient.listDrains()};
	assert.deepEqual([keys.length, drains], [149, [{target: 'upstream', name: 'engine-1'}]]);
});

test('with 20,000 customers and keys, every message fits in a frame and the view is complete', async context => {
	const {cluster, controls: [control], adminClient} = await startCluster(context);
	const applied = await adminClient.applyConfiguration(makeConfigurationDocument({tenants: 20_000}), 1);
	assert.equal(applied.kind, 'applied');
	for (let i = 0; i < 20_000; i++) {
		control!.runtime.dispatch({
			type: 'control/propose', token: 1e9 + i, command: {
				type: 'key.issue', changeId: `c${i}`, keyId: `key-of-customer-${i}`, digest: String(i).padStart(64, '0'), tenant: 'acme',
			},
		});
	}

	cluster.hub.largestMessageBytes = 0;
	const entry = cluster.addEntry('entry-1');
	await waitUntil(() => entry.client.access.isFresh());
	assert.equal(entry.state.view.keysByDigest.size, 20_000);
	assert.equal(Object.keys(entry.client.access.view!.configuration.tenants).length, 20_000);
	assert.ok(cluster.hub.largestMessageBytes < 1_048_576, `${cluster.hub.largestMessageBytes} bytes`);
});

test('an issued key does not appear in the log, in a snapshot or in a listing', async context => {
	const {cluster, controls: [control], adminClient} = await startCluster(context);
	const issued = await adminClient.issueKey('acme', 'key-1');
	assert.ok(issued.kind === 'issued');
	assert.match(issued.key, /^jh_[\w-]{43}$/);
	const stored = JSON.stringify([cluster.consensus.log, snapshotState(control!.slice.data), await adminClient.listKeys()]);
	assert.ok(stored.includes('key-1'));
	assert.ok(!stored.includes(issued.key) && !stored.includes(issued.key.slice(3)));
	assert.deepEqual(await adminClient.issueKey('nobody', 'key-2'), {kind: 'refused', code: 'unknown-tenant'});
});

test('a lease has only one holder, and a former holder cannot settle an order', async context => {
	const {adminClient} = await startCluster(context);
	const [first, second] = [{vm: 'vm-1', incarnation: 1}, {vm: 'vm-2', incarnation: 1}];
	assert.deepEqual(await adminClient.acquireLease('orders', first, 60_000), {kind: 'held', epoch: 1});
	assert.deepEqual(await adminClient.acquireLease('orders', second, 60_000), {kind: 'taken', current: {holder: first, epoch: 1}});
	await adminClient.submitOrder('engine-1', {load: 'dossier-8b'}, 'order-1');
	const released = await adminClient.releaseLease('orders', first, 1);
	assert.equal(released.kind, 'done');
	assert.deepEqual(await adminClient.acquireLease('orders', second, 60_000), {kind: 'held', epoch: 2});
	assert.deepEqual(await adminClient.renewLease('orders', first, 1, 1000), {kind: 'taken', current: {holder: second, epoch: 2}});
	assert.deepEqual(await adminClient.settleOrder('order-1', 1, 'done'), {kind: 'refused', code: 'stale'});
	const settled = await adminClient.settleOrder('order-1', 2, 'failed', 'no memory');
	assert.equal(settled.kind, 'done');
	const [order] = await adminClient.listOrders();
	assert.deepEqual([order?.status, order?.detail], ['failed', 'no memory']);
});
