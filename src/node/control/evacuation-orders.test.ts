import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {TestContext} from 'node:test';
import {ManualClock} from '../../common/core/clock.js';
import type {PeerMessage, VmId} from '../../common/core/types.js';
import {EvacuationOrders} from './evacuation-orders.js';
import type {EvacuationOrder} from './evacuation-orders.js';
import {makeConfigurationDocument, TestCluster, waitUntil} from './test-helper.js';

const timeoutMs = 60_000;

async function startCluster(t: TestContext) {
	const cluster = new TestCluster(['control-1', 'control-2']);
	t.after(async () => cluster.dispose());
	cluster.addControl('control-1');
	const control = cluster.addControl('control-2');
	cluster.consensus.elect('control-1');
	const adminClient = cluster.addOperator('vm-1');
	const orders = new EvacuationOrders(adminClient, cluster.clock);
	const execute = async (isEvacuated: boolean, order: Partial<EvacuationOrder> = {}) => orders.execute({
		zone: 'z1', isEvacuated, isAwaited: () => true, ...order,
	}, timeoutMs);
	return {
		cluster, control, adminClient, execute,
	};
}

test('an evacuation and its withdrawal reach the view of every process, and repeated orders leave no entry in the log', async t => {
	const {cluster, adminClient, execute} = await startCluster(t);
	const entry = cluster.addEntry('entry-1');
	await adminClient.applyConfiguration(makeConfigurationDocument(), 0);
	const zones = () => [...entry.client.access.view?.evacuatedZones ?? ['no view']].join(' ');
	const first = await execute(true);
	assert.equal(first.kind, 'done');
	await waitUntil(() => zones() === 'z1');
	const {length} = cluster.consensus.log;
	assert.deepEqual(await execute(true), {kind: 'done', revision: 2, isChanged: false});
	assert.equal(cluster.consensus.log.filter((_, i) => i >= length).some(command => (command as {type: string}).type === 'drain.set'), false);
	await execute(false);
	await waitUntil(() => zones() === '');
});

test('an order whose acknowledgement is lost with the leader is acknowledged by the next leader', async t => {
	const {cluster, control, execute} = await startCluster(t);
	cluster.hub.repliesToDrop.set('control/propose', 1);
	const order = execute(true);
	await waitUntil(() => cluster.consensus.log.length > 0);
	cluster.hub.disconnectedVms.add('control-1');
	cluster.consensus.isolatedVms.add('control-1');
	cluster.consensus.elect('control-2');
	const result = await order;
	assert.equal(result.kind, 'done');
	assert.ok(control.slice.data.drains.has('zone/z1'));
});

test('a copy of an order whose operator has left proposes nothing', async t => {
	const {cluster, execute} = await startCluster(t);
	await execute(true);
	await execute(false);
	const {length} = cluster.consensus.log;
	assert.deepEqual(await execute(true, {isAwaited: () => false}), {kind: 'abandoned'});
	assert.equal(cluster.consensus.log.slice(length).some(command => (command as {type: string}).type === 'drain.set'), false);
});

test('a copy of an order that was overtaken while it was proposed does not undo the later order, but is carried out if its operator still waits', async t => {
	const {adminClient, execute} = await startCluster(t);
	let isOvertaken = false;
	const late = new EvacuationOrders({
		readDrains: async ms => adminClient.readDrains(ms),
		async setEvacuation(zone, isEvacuated, unchangedSince, ms) {
			if (!isOvertaken) {
				isOvertaken = true;
				await execute(true);
				await execute(false);
			}

			return adminClient.setEvacuation(zone, isEvacuated, unchangedSince, ms);
		},
	}, new ManualClock());
	const order = {zone: 'z1', isEvacuated: true};
	assert.deepEqual(await late.execute({...order, isAwaited: () => !isOvertaken}, timeoutMs), {kind: 'abandoned'});
	assert.deepEqual(await adminClient.listDrains(), []);
	isOvertaken = false;
	const result = await late.execute({...order, isAwaited: () => true}, timeoutMs);
	assert.equal(result.kind, 'done');
	assert.deepEqual(await adminClient.listDrains(), [{target: 'zone', name: 'z1'}]);
});

test('an order that cannot be read in time is given up, also when its process was suspended meanwhile', async () => {
	const clock = new ManualClock();
	const orders = new EvacuationOrders({
		async readDrains() {
			clock.advance(timeoutMs);
			return {revision: 0, drains: []};
		},
		setEvacuation: async () => assert.fail('the order is too old'),
	}, clock);
	await assert.rejects(orders.execute({zone: 'z1', isEvacuated: true, isAwaited: () => true}, timeoutMs), {name: 'TimeoutError'});
});

/** Records the requests of `vm-1`, and lets `answer` replace their replies. */
function interceptRequests(cluster: TestCluster, answer: (to: VmId, message: PeerMessage, ask: () => Promise<unknown>) => Promise<unknown>): string[] {
	const requests: string[] = [];
	const network = cluster.hub.networks.get('vm-1')!;
	const request = network.request.bind(network);
	network.request = async (to, message, ms) => {
		requests.push(`${message.type} ${to}`);
		const timeout = request('nobody', message, ms);
		return Promise.race([answer(to, message, async () => request(to, message, ms)), timeout]);
	};

	return requests;
}

test('a lost leader is passed over before the time of the read at the lost leader is over', async t => {
	const {cluster, adminClient, execute} = await startCluster(t);
	await adminClient.listDrains();
	cluster.hub.disconnectedVms.add('control-1');
	cluster.consensus.isolatedVms.add('control-1');
	cluster.consensus.elect('control-2');
	let isFirstOpen = true;
	const requests = interceptRequests(cluster, async (to, _message, ask) => {
		assert.ok(isFirstOpen, 'the read at the lost leader is still open');
		try {
			return await ask();
		} finally {
			isFirstOpen &&= to !== 'control-1';
		}
	});
	const result = await execute(true);
	assert.equal(result.kind, 'done');
	assert.deepEqual(requests, ['control/read control-1', 'control/read control-2', 'control/propose control-2']);
});

test('the late answer of a slow leader is used although another process was asked meanwhile', async t => {
	const {cluster, execute} = await startCluster(t);
	let onAsked: (() => void) | undefined;
	const asked = new Promise<void>(resolve => {
		onAsked = resolve;
	});
	const requests = interceptRequests(cluster, async (to, {type}, ask) => {
		if (to === 'control-2') {
			onAsked?.();
			return new Promise(() => {}); // eslint-disable-line @typescript-eslint/no-empty-function -- never answers
		}

		if (type === 'control/read') {
			await asked;
		}

		return ask();
	});
	const result = await execute(true);
	assert.equal(result.kind, 'done');
	assert.deepEqual(requests, ['control/read control-1', 'control/read control-2', 'control/propose control-1']);
});
