import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {TestContext} from 'node:test';
import {ManualClock} from '../../common/core/clock.js';
import {NullLogger} from '../../common/core/log.js';
import {buildServer} from '../../common/forwarding/fixtures.js';
import type {ServerRecord} from '../../common/forwarding/types.js';
import {LeaseStore} from '../../common/scheduler/lease-store.js';
import {NullMetrics} from '../../common/services/metrics.js';
import {TestServer} from '../entry/testing/upstreams.js';
import {LeaseHolder} from '../scheduler/lease-holder.js';
import {PlatformProtocol} from '../../../platform/protocol.js';
import {ServerFleet} from './server-fleet.js';
import {StageBalancer} from './stage-balancer.js';

const minOrderGapMs = 3000;
/** Time step in milliseconds, longer than an imbalance must last before an order is given. */
const imbalanceElapsedMs = 1600;

class FakeLeaseStore extends LeaseStore {
	constructor(private readonly _epoch: number) {
		super();
	}

	override async acquire(): Promise<number> {
		return this._epoch;
	}

	override async renew(): Promise<boolean> {
		return true;
	}

	override async release(): Promise<void> {
		// No other process competes for the lease.
	}
}

/** Builds a stage balancer whose ticks the test runs itself. The pool has one prefill engine too many unless the test passes other `ids`. Engines are in zone z1, those whose id ends in `-z2` in zone z2. */
async function buildBalancer(t: TestContext, {epoch, isLeader = true, ids = ['p1', 'p2', 'p3', 'd1', 'd2', 'd3']}: {epoch: number; isLeader?: boolean; ids?: readonly string[]}) {
	const orders: Array<{readonly body: unknown; readonly expectedServer: unknown}> = [];
	const server = await TestServer.start((req, res, body) => {
		if (req.url === '/v1/report') {
			const isPrefill = (req.headers['expect-instance'] as string).startsWith('p');
			res.end(JSON.stringify({stage: isPrefill ? 'prefill' : 'decode', busy: false, seq: 4}));
			return;
		}

		orders.push({body: JSON.parse(body), expectedServer: req.headers['expect-instance']});
		res.writeHead(202).end();
	});
	const announced: Array<readonly [id: string, isOrdered: boolean, ordersBefore: number]> = [];
	const clock = new ManualClock();
	const logger = new NullLogger();
	const fleet = new ServerFleet({
		clock,
		logger,
		protocol: new PlatformProtocol(),
		seed: 1,
		retries: {ratio: 0.2, windowMs: 10_000, slack: 10},
		processCount: () => 1,
		announceUnreachable: () => undefined,
		announceSuspended: () => undefined,
		announceLeaving: () => undefined, onServerLost: () => undefined,
	});
	const records: ServerRecord[] = ids.map(id => buildServer({
		id, address: server.address, zone: id.endsWith('-z2') ? 'z2' : 'z1', stage: id.startsWith('p') ? 'prefill' : 'decode',
	}));
	const balancer = new StageBalancer({
		clock,
		logger,
		metrics: new NullMetrics(),
		protocol: new PlatformProtocol(),
		fleet,
		lease: new LeaseHolder('orders', new FakeLeaseStore(epoch), clock),
		isLeader: () => isLeader,
		holderName: 'vm-1',
		services: () => ['desk'],
		announceSuspended(key, forMs) {
			announced.push([key.split(' ')[2]!, forMs > 0, orders.length]);
		},
		minOrderGapMs,
	});
	t.after(() => {
		balancer.dispose();
		fleet.dispose();
		server.close();
	});
	const advanceAndTick = async (afterMs: number) => {
		clock.advance(afterMs);
		fleet.update(records, clock.nowMs());
		await balancer.tick();
	};

	const chooseDecode = () => fleet.directory.chooseDecodeEngine({
		service: 'desk', zone: 'z1', exclude: new Set(), maxInFlight: 10, nowMs: clock.nowMs(),
	})?.record.id;
	return {
		advanceAndTick, orders, announced, chooseDecode, fleet,
	};
}

test('a surplus prefill engine is ordered only once to change to decode, and the order carries the fencing token and the order count that the engine reported', async t => {
	const {advanceAndTick, orders} = await buildBalancer(t, {epoch: 1});
	await advanceAndTick(0);
	assert.equal(orders.length, 0);
	await advanceAndTick(imbalanceElapsedMs);
	assert.deepEqual(orders, [{
		body: {
			op: 'stage', stage: 'decode', holder: 'vm-1', fencingToken: 1, expected: 4,
		}, expectedServer: 'p1',
	}]);
	await advanceAndTick(imbalanceElapsedMs);
	await advanceAndTick(imbalanceElapsedMs);
	assert.equal(orders.length, 1);
});

test('a decode engine is ordered to change to prefill when the pool has too few prefill engines', async t => {
	const {advanceAndTick, orders} = await buildBalancer(t, {epoch: 1, ids: ['p1', 'd1', 'd2', 'd3', 'd4', 'd5']});
	await advanceAndTick(0);
	await advanceAndTick(imbalanceElapsedMs);
	await advanceAndTick(imbalanceElapsedMs);
	assert.deepEqual(orders.map(({body, expectedServer}) => [(body as {stage: string}).stage, expectedServer]), [['prefill', 'd1']]);
});

test('an engine that is ordered to change its stage gets no requests that it would reject: its suspension is announced before the order is sent', async t => {
	const {advanceAndTick, announced, chooseDecode} = await buildBalancer(t, {epoch: 1, ids: ['d1', 'd2']});
	await advanceAndTick(0);
	await advanceAndTick(imbalanceElapsedMs);
	assert.deepEqual(announced, [['d1', true, 0]]);
	assert.deepEqual([...new Set(Array.from({length: 30}, () => chooseDecode()))], ['d2']);
});

test('a lease holder that has a predecessor waits before its first order, so that this order is not too close to the predecessor\'s last one', async t => {
	const {advanceAndTick, orders} = await buildBalancer(t, {epoch: 2});
	await advanceAndTick(0);
	await advanceAndTick(imbalanceElapsedMs);
	for (let i = 0; i < 3; i++) {
		await advanceAndTick(minOrderGapMs / 3);
		assert.equal(orders.length, 0);
	}

	await advanceAndTick(minOrderGapMs / 3);
	assert.equal(orders.length, 1);
});

test('a process that does not lead the replicated log gives no orders', async t => {
	const {advanceAndTick, orders} = await buildBalancer(t, {epoch: 1, isLeader: false});
	await advanceAndTick(0);
	await advanceAndTick(imbalanceElapsedMs);
	await advanceAndTick(minOrderGapMs);
	assert.equal(orders.length, 0);
});

test('the pool is balanced among the engines outside evacuated zones, and those inside get no orders', async t => {
	const {advanceAndTick, orders, fleet} = await buildBalancer(t, {epoch: 1, ids: ['p1', 'p2', 'd1', 'd2', 'd3-z2', 'd4-z2', 'd5-z2', 'd6-z2']});
	await advanceAndTick(0);
	await advanceAndTick(imbalanceElapsedMs);
	assert.equal(orders.length, 0);
	fleet.setEvacuatedZones(new Set(['z1']), 1);
	await advanceAndTick(0);
	await advanceAndTick(imbalanceElapsedMs);
	assert.deepEqual(orders.map(({body, expectedServer}) => [(body as {stage: string}).stage, expectedServer]), [['prefill', 'd3-z2']]);
	fleet.setEvacuatedZones(new Set(['z1', 'z2']), 2);
	await advanceAndTick(imbalanceElapsedMs);
	await advanceAndTick(imbalanceElapsedMs);
	assert.equal(orders.length, 1);
});
