import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {TestContext} from 'node:test';
import {ManualClock} from '../../common/core/clock.js';
import {NullLogger} from '../../common/core/log.js';
import {buildServer} from '../../common/forwarding/fixtures.js';
import type {ServerRecord} from '../../common/forwarding/types.js';
import {LeaseKeeper} from '../../common/scheduler/lease-keeper.js';
import {NullMetrics} from '../../common/services/metrics.js';
import {TestServer} from '../entry/testing/upstreams.js';
import {LeaseHolder} from '../scheduler/lease-holder.js';
import {PlatformProtocol} from '../../../platform/protocol.js';
import {ServerFleet} from './server-fleet.js';
import {StageHost} from './stage-host.js';

const turnMs = 3000;
/** Longer than a surplus must last before it is acted on, in milliseconds. */
const settledMs = 1600;

class FakeKeeper extends LeaseKeeper {
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
		// Nothing else asks for the lease.
	}
}

/** A host whose ticks the test takes, before a pool with one prefill engine too many unless the test names others. */
async function build(t: TestContext, {epoch, isLeader = true, ids = ['p1', 'p2', 'p3', 'd1', 'd2', 'd3']}: {epoch: number; isLeader?: boolean; ids?: readonly string[]}) {
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
		processes: () => 1,
		announceUnreachable: () => undefined,
		announceSuspended: () => undefined,
		announceLeaving: () => undefined,
	});
	const records: ServerRecord[] = ids.map(id => buildServer({
		id, address: server.address, stage: id.startsWith('p') ? 'prefill' : 'decode',
	}));
	const host = new StageHost({
		clock,
		logger,
		metrics: new NullMetrics(),
		protocol: new PlatformProtocol(),
		fleet,
		lease: new LeaseHolder('orders', new FakeKeeper(epoch), clock),
		isLeader: () => isLeader,
		holder: 'vm-1',
		services: () => ['desk'],
		announceSuspended(key, forMs) {
			announced.push([key.split(' ')[2]!, forMs > 0, orders.length]);
		},
		turnMs,
	});
	t.after(() => {
		host.dispose();
		fleet.dispose();
		server.close();
	});
	const step = async (afterMs: number) => {
		clock.advance(afterMs);
		fleet.update(records, clock.nowMs());
		await host.tick();
	};

	const chooseDecode = () => fleet.directory.chooseDecode({
		service: 'desk', zone: 'z1', exclude: new Set(), maxInFlight: 10, nowMs: clock.nowMs(),
	})?.record.id;
	return {
		step, orders, announced, chooseDecode,
	};
}

test('a surplus prefill engine is ordered to decode once, under the fencing number and for the state that was read', async t => {
	const {step, orders} = await build(t, {epoch: 1});
	await step(0);
	assert.equal(orders.length, 0);
	await step(settledMs);
	assert.deepEqual(orders, [{
		body: {
			op: 'stage', stage: 'decode', holder: 'vm-1', fencingToken: 1, expected: 4,
		}, expectedServer: 'p1',
	}]);
	await step(settledMs);
	await step(settledMs);
	assert.equal(orders.length, 1);
});

test('a decode engine is ordered to prefill when the pool has lost the engines that did', async t => {
	const {step, orders} = await build(t, {epoch: 1, ids: ['p1', 'd1', 'd2', 'd3', 'd4', 'd5']});
	await step(0);
	await step(settledMs);
	await step(settledMs);
	assert.deepEqual(orders.map(({body, expectedServer}) => [(body as {stage: string}).stage, expectedServer]), [['prefill', 'd1']]);
});

test('guards against work for an engine that will turn it away: an order is announced before it is sent, and keeps the engine out', async t => {
	const {step, announced, chooseDecode} = await build(t, {epoch: 1, ids: ['d1', 'd2']});
	await step(0);
	await step(settledMs);
	assert.deepEqual(announced, [['d1', true, 0]]);
	assert.deepEqual([...new Set(Array.from({length: 30}, () => chooseDecode()))], ['d2']);
});

test('guards against two holders whose orders lie too close together: a later holder waits before its first one', async t => {
	const {step, orders} = await build(t, {epoch: 2});
	await step(0);
	await step(settledMs);
	for (let i = 0; i < 3; i++) {
		await step(turnMs / 3);
		assert.equal(orders.length, 0);
	}

	await step(turnMs / 3);
	assert.equal(orders.length, 1);
});

test('a process that does not lead the replicated log gives no orders', async t => {
	const {step, orders} = await build(t, {epoch: 1, isLeader: false});
	await step(0);
	await step(settledMs);
	await step(turnMs);
	assert.equal(orders.length, 0);
});
