import assert from 'node:assert/strict';
import {once} from 'node:events';
import {createServer} from 'node:http';
import {createServer as createTcpServer} from 'node:net';
import type {AddressInfo, Socket} from 'node:net';
import {text} from 'node:stream/consumers';
import {test} from 'node:test';
import type {TestContext} from 'node:test';
import {request} from 'undici';
import {FakeEngine} from '../../../fakes/engine.js';
import type {FakeEngineOptions} from '../../../fakes/engine.js';
import {FakeWeightStore} from '../../../fakes/weight-store.js';
import {sharedConfigurationSchema} from '../../common/configuration/shared.js';
import type {OrderRecord} from '../../common/control/messages.js';
import {Clock, ManualClock} from '../../common/core/clock.js';
import type {Disposable} from '../../common/core/disposable.js';
import {NullLogger} from '../../common/core/log.js';
import {LeaseStore} from '../../common/scheduler/lease-store.js';
import type {Order} from '../../common/upstreams/engine-api.js';
import {SystemClock} from '../clock.js';
import type {ChangeResult} from '../control/control-admin-client.js';
import {EngineControlClient} from '../scheduler/engine-control-client.js';
import {
	StaticAccessService, StaticEntryDirectory, MemoryLeases, waitUntil,
} from '../scheduler/fixtures.js';
import {LeaseHolder} from '../scheduler/lease-holder.js';
import {OrderHost} from './order-host.js';

const vms = ['entry-1', 'entry-2'].map(vm => ({vm, incarnation: 1}));
const leaseName = 'orders';

/** In-memory order records that, like the replicated state, accept outcomes only under the current epoch. */
class MemoryOrderRecords {
	readonly records: OrderRecord[] = [];

	constructor(private readonly _leases: MemoryLeases) {}

	submit(upstream: string, order: Order): void {
		this.records.push({
			orderId: `o${this.records.length}`, upstream, order, status: 'submitted', submittedMs: 0,
		});
	}

	get statuses(): string[] {
		return this.records.map(({status, detail}) => detail ? `${status}: ${detail}` : status);
	}

	async listOrders(): Promise<OrderRecord[]> {
		return structuredClone(this.records);
	}

	async settleOrder(orderId: string, epoch: number, status: 'done' | 'failed', detail?: string): Promise<ChangeResult> {
		if (this._leases.leases.get(leaseName)?.epoch !== epoch) {
			return {kind: 'refused', code: 'stale'};
		}

		const i = this.records.findIndex(record => record.orderId === orderId);
		this.records[i] = {...this.records[i]!, status, ...(detail !== undefined && {detail})};
		return {kind: 'done', revision: 1};
	}
}

/** A clock that tests can advance past the real time, to simulate a suspension of the process. */
class SkewedClock extends Clock {
	skewMs = 0;
	private readonly _clock = new SystemClock();

	override nowMs(): number {
		return this._clock.nowMs() + this.skewMs;
	}

	override wallTimeMs(): number {
		return this._clock.wallTimeMs() + this.skewMs;
	}
}

async function startForTest<T extends Disposable & {start(): Promise<void>}>(context: TestContext, component: T): Promise<T> {
	await component.start();
	context.after(async () => component.dispose());
	return component;
}

/** Starts a proxy to the engine that drops the answer to the first order. */
async function startLossyProxy(context: TestContext, engine: FakeEngine) {
	const orderIds: string[] = [];
	const server = createServer(async (req, res) => {
		const body = await text(req);
		const reply = await request(`http://${engine.address}${req.url}`, {method: req.method as 'GET' | 'POST', ...(body !== '' && {body})});
		const answer = await reply.body.text();
		if (req.method === 'POST' && orderIds.push((JSON.parse(body) as {orderId: string}).orderId) === 1) {
			req.socket.destroy();
		} else {
			res.writeHead(reply.statusCode).end(answer);
		}
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	context.after(() => {
		server.close();
		server.closeAllConnections();
	});
	return {orderIds, address: `127.0.0.1:${(server.address() as AddressInfo).port}`};
}

async function startHosts(context: TestContext) {
	const store = await startForTest(context, new FakeWeightStore({name: 'store', rate: 1e6}));
	const startEngine = async (name: string, options: Partial<FakeEngineOptions>) => startForTest(context, new FakeEngine({name, weightStore: store.address, ...options}));
	const fencingEngine = await startEngine('checks', {checksFencing: true});
	const nonFencingEngine = await startEngine('ignores', {checksFencing: false});
	const proxy = await startLossyProxy(context, fencingEngine);
	const upstream = {service: 'dossiers', zone: 'z1', role: 'both'};
	const configuration = sharedConfigurationSchema.parse({
		profiles: {batch: {}},
		tenants: {},
		services: {dossiers: {kind: 'model', profile: 'batch', model: 'm'}},
		upstreams: {
			checks: {...upstream, address: proxy.address},
			ignores: {...upstream, address: nonFencingEngine.address, checksFencing: false},
		},
		weightStore: {address: store.address, rate: '1MB/s'},
	});
	const accesses = vms.map(() => new StaticAccessService(configuration));
	const leases = new MemoryLeases(accesses);
	const records = new MemoryOrderRecords(leases);
	const clock = new SkewedClock();
	const counts: string[] = [];
	const countHook = {run() {}}; // eslint-disable-line @typescript-eslint/no-empty-function -- replaced by a test
	const hosts = vms.map((self, i) => new OrderHost({
		self,
		clock,
		logger: new NullLogger(),
		access: accesses[i]!,
		directory: new StaticEntryDirectory({live: vms, dead: []}),
		leases: leases.storeOf(self),
		adminClient: records,
		limits: {
			leaseMs: 100, orderTimeoutMs: 1200, listIntervalMs: 100, enginePollIntervalMs: 50,
		},
		count({metric}) {
			counts.push(metric);
			countHook.run();
		},
	}));
	for (const host of hosts) {
		host.start();
		context.after(async () => host.dispose());
	}

	return {
		hosts, accesses, records, fencingEngine, nonFencingEngine, proxy, counts, clock, countHook, store,
	};
}

function makeLoadOrder(model: string): Order {
	return {
		kind: 'load-model', model, version: '1', bytes: 100_000,
	};
}

test('an order runs once despite a lost answer or a change of lease holder, whether or not the engine checks fencing tokens', {timeout: 60_000}, async context => {
	const {hosts, records, fencingEngine, nonFencingEngine, proxy, store} = await startHosts(context);
	records.submit('checks', makeLoadOrder('a'));
	records.submit('ignores', makeLoadOrder('b'));
	records.submit('ignores', {kind: 'set-role', role: 'both'});
	records.submit('gone', {kind: 'set-role', role: 'both'});
	await waitUntil(() => records.records.slice(0, 3).every(({status}) => status !== 'submitted'));
	assert.deepEqual(records.statuses, ['done', 'done', 'done', 'submitted']);
	assert.deepEqual(proxy.orderIds, ['o0']);
	assert.deepEqual(store.getRecord(), {loads: [{bytes: 100_000, isComplete: true}, {bytes: 100_000, isComplete: true}]});
	const holder = hosts.find(host => host.dump().epoch !== undefined)!;
	assert.deepEqual(holder.dump().orders.map(({orderId, phase}) => [orderId, phase]), [['o3', 'queued']]);
	await holder.dispose();
	records.submit('checks', {kind: 'set-role', role: 'both'});
	records.submit('ignores', makeLoadOrder('c'));
	await waitUntil(() => records.records.slice(4).every(({status}) => status !== 'submitted'));
	assert.deepEqual(records.statuses.slice(4), ['done', 'done']);
	assert.deepEqual(nonFencingEngine.getRecord().orders.map(({orderId, fencing}) => [orderId, fencing]), [['o1', 1], ['o2', 1], ['o5', 2]]);
	assert.deepEqual(fencingEngine.getRecord().orders.map(({orderId, fencing}) => [orderId, fencing]), [['o0', 1], ['o4', 2]]);
});

test('an order is not sent under a lease that expired while the process was suspended', {timeout: 60_000}, async context => {
	const {records, nonFencingEngine, counts, clock, countHook} = await startHosts(context);
	countHook.run = () => {
		// The reducer counts an order just before the host sends it, so the clock jumps here between the lease check of the reducer and that of the host.
		clock.skewMs += counts.filter(metric => metric === 'orders_sent_total').length === 1 ? 10_000 : 0;
		countHook.run = () => undefined;
	};

	records.submit('ignores', {kind: 'set-role', role: 'both'});
	await waitUntil(() => records.records[0]!.status !== 'submitted');
	assert.equal(counts.filter(metric => metric === 'orders_sent_total').length, 2);
	assert.equal(nonFencingEngine.getRecord().orders.length, 1);
});

test('a drained VM gives up the lease to another VM', {timeout: 60_000}, async context => {
	const {hosts, accesses} = await startHosts(context);
	const holderIndex = () => hosts.findIndex(host => host.dump().epoch !== undefined);
	await waitUntil(() => holderIndex() >= 0);
	const first = holderIndex();
	for (const access of accesses) {
		await access.change({drainedVms: new Set([vms[first]!.vm])});
	}

	await waitUntil(() => holderIndex() === 1 - first);
});

test('an aborted order resets its connection, so that no bytes of it remain in the send buffer', {timeout: 60_000}, async context => {
	const server = createTcpServer();
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	context.after(() => {
		server.close();
	});
	const engines = new EngineControlClient(new ManualClock());
	context.after(async () => engines.dispose());
	const accepted = once(server, 'connection');
	const sending = engines.sendOrder(`127.0.0.1:${(server.address() as AddressInfo).port}`, {orderId: 'o1', fencing: 1, order: makeLoadOrder('a')});
	const [socket] = await accepted as [Socket];
	socket.resume();
	const [err] = await once(socket, 'error') as [NodeJS.ErrnoException];
	assert.equal(err.code, 'ECONNRESET');
	assert.deepEqual(await sending, {kind: 'unknown'});
});

test('a lease runs from when its acquisition or renewal was sent, not from when the answer arrived', async () => {
	const clock = new ManualClock();
	class SlowLeaseStore extends LeaseStore {
		override async acquire(): Promise<number> {
			clock.advance(700);
			return 1;
		}

		override async renew(): Promise<boolean> {
			clock.advance(700);
			return true;
		}

		override async release(): Promise<void> {
			// There is no state to release.
		}
	}

	const holder = new LeaseHolder(leaseName, new SlowLeaseStore(), clock);
	assert.equal(holder.heldUntilMs, -Infinity);
	await holder.renewOrAcquire(true);
	assert.equal(holder.heldUntilMs, 1800);
	await holder.renewOrAcquire(false);
	assert.equal(holder.heldUntilMs, 2500);
});
