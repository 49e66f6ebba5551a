import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {TestContext} from 'node:test';
import {makeRequest} from '../../common/scheduler/fixtures.js';
import {
	makeConfiguration, startFakeEngine, startProcesses, waitUntil,
} from './fixtures.js';

const vms = ['entry-1', 'entry-2', 'entry-3'].map(vm => ({vm, incarnation: 1}));
const leaseName = 'scheduler/dossiers/0';
const neverAborted = new AbortController().signal;

async function setUp(context: TestContext, requests: Parameters<typeof startFakeEngine>[0] = []) {
	const prefill = await startFakeEngine();
	const decode = await startFakeEngine(requests);
	const cluster = startProcesses(vms, makeConfiguration(prefill.address, decode.address));
	context.after(async () => {
		await cluster.dispose();
		await prefill.close();
		await decode.close();
	});
	return {...cluster, decode};
}

async function startHostsAndAwaitHolder({processes, leases}: Awaited<ReturnType<typeof setUp>>) {
	for (const {host} of processes) {
		host.start();
	}

	await waitUntil(() => leases.leases.has(leaseName));
	const holder = processes.find(({self}) => self.vm === leases.leases.get(leaseName)?.holder.vm)!;
	await waitUntil(() => holder.host.heldLeases.includes(leaseName));
	return holder;
}

test('the clients of all processes place requests through the lease holder', async context => {
	const cluster = await setUp(context);
	const holder = await startHostsAndAwaitHolder(cluster);
	const replies = await Promise.all(cluster.processes.map(async ({client}, i) => client.place(makeRequest(`r${i}`, {promptTokens: 10}), neverAborted)));
	assert.ok(replies.every(reply => reply.kind === 'placed' && reply.placement.epoch === 1));
	assert.equal(holder.host.dump()[0]?.reservations, 3);
	assert.equal(cluster.counts.get('scheduler_local_placements_total'), undefined);
});

test('without a lease holder, each process places requests only into its own share of the slots', async context => {
	const {processes} = await setUp(context);
	const replies = await Promise.all(processes.flatMap(({client}, i) => Array.from({length: 6}, async (_, j) =>
		client.place(makeRequest(`r${i}-${j}`, {promptTokens: 10, maxWaitMs: 100}), new AbortController().signal))));
	const placed = replies.flatMap(reply => reply.kind === 'placed' ? [reply.placement] : []);
	assert.equal(placed.length, 8);
	for (const engine of ['d1', 'd2']) {
		assert.ok(placed.filter(({decode}) => decode === engine).length <= 4);
	}
});

test('a successor adopts the reservations of the entry processes, so that slots are not assigned twice', async context => {
	const cluster = await setUp(context);
	const first = await startHostsAndAwaitHolder(cluster);
	const others = cluster.processes.filter(process => process !== first);
	const reply = await others[0]!.client.place(makeRequest('r1'), neverAborted);
	assert.equal(reply.kind, 'placed');
	cluster.hub.unreachable.add(first.self.vm);
	cluster.directory.entries = {live: vms.filter(({vm}) => vm !== first.self.vm), dead: [first.self]};
	await first.host.stop();
	const successor = await (async () => {
		await waitUntil(() => others.some(({host}) => host.heldLeases.includes(leaseName)));
		return others.find(({host}) => host.heldLeases.includes(leaseName))!;
	})();
	await waitUntil(() => successor.host.dump()[0]?.reservations === 1);
	const next = await others[1]!.client.place(makeRequest('r2'), neverAborted);
	assert.ok(next.kind === 'placed' && next.placement.epoch > 1);
});

test('requests that an engine runs for a dead process are cancelled, and requests of live processes continue', async context => {
	const running = [vms[0]!, {vm: 'entry-9', incarnation: 4}].map(owner => ({
		requestId: `of-${owner.vm}`, owner, phase: 'decoding' as const, kvBlocks: 3, ageMs: 100,
	}));
	const cluster = await setUp(context, running);
	cluster.directory.entries = {live: vms, dead: [{vm: 'entry-9', incarnation: 4}]};
	await startHostsAndAwaitHolder(cluster);
	await waitUntil(() => cluster.decode.cancelled.length > 0);
	assert.ok(cluster.decode.cancelled.every(id => id === 'of-entry-9'));
});

test('an aborted request leaves the queue immediately and holds no slot', {timeout: 20_000}, async context => {
	const cluster = await setUp(context);
	const holder = await startHostsAndAwaitHolder(cluster);
	const {client} = cluster.processes[0]!;
	await Promise.all(Array.from({length: 8}, async (_, i) => client.place(makeRequest(`r${i}`, {promptTokens: 10}), new AbortController().signal)));
	const abort = new AbortController();
	const pendingPlacement = client.place(makeRequest('gone', {maxWaitMs: 60_000, budgetMs: 100_000}), abort.signal);
	await waitUntil(() => holder.host.dump()[0]?.queued === 1);
	abort.abort();
	await assert.rejects(pendingPlacement, {name: 'AbortError'});
	assert.deepEqual([holder.host.dump()[0]?.queued, holder.host.dump()[0]?.reservations], [0, 8]);
});

test('a placement of a former lease holder is not used, and the request is placed locally', async context => {
	const cluster = await setUp(context);
	const holder = await startHostsAndAwaitHolder(cluster);
	const {client} = cluster.processes.find(process => process !== holder)!;
	const {holder: identity} = cluster.leases.leases.get(leaseName)!;
	for (const access of cluster.accesses) {
		await access.change({leases: new Map([[leaseName, {holder: identity, epoch: 5}]])});
	}

	const reply = await client.place(makeRequest('r1'), neverAborted);
	assert.equal(reply.kind === 'placed' && reply.placement.epoch, 0);
});

test('if the lease holder does not answer, requests are placed locally, and the holder is not asked again during the backoff', async context => {
	const cluster = await setUp(context);
	const holder = await startHostsAndAwaitHolder(cluster);
	const {client} = cluster.processes.find(process => process !== holder)!;
	cluster.hub.unreachable.add(holder.self.vm);
	for (const id of ['r1', 'r2']) {
		const reply = await client.place(makeRequest(id, {promptTokens: 10}), new AbortController().signal);
		assert.equal(reply.kind === 'placed' && reply.placement.epoch, 0);
	}

	assert.equal(cluster.counts.get('scheduler_holder_unanswered_total'), 1);
});

test('requests are placed locally if membership knows that the lease holder is dead', async context => {
	const cluster = await setUp(context);
	const holder = await startHostsAndAwaitHolder(cluster);
	const {client} = cluster.processes.find(process => process !== holder)!;
	cluster.directory.entries = {live: vms, dead: [holder.self]};
	const reply = await client.place(makeRequest('r1'), neverAborted);
	assert.equal(reply.kind === 'placed' && reply.placement.epoch, 0);
});

test('a reservation can move to another decode engine, whether the lease holder or the local scheduler placed it', async context => {
	const cluster = await setUp(context);
	const [{client}] = cluster.processes as [typeof cluster.processes[0]];
	const placeAndMove = async (id: string) => {
		const placed = await client.place(makeRequest(id, {promptTokens: 10}), new AbortController().signal);
		assert.equal(placed.kind, 'placed');
		const {placement} = placed;
		const moved = await client.replaceDecode(placement.reservation, {upstream: placement.decode, cause: 'failed'});
		assert.ok(moved.kind === 'placed' && moved.placement.decode !== placement.decode && moved.placement.epoch === placement.epoch);
		const running = client.listRunningReservations({service: 'dossiers', shard: 0}).reservations.find(({requestId}) => requestId === id);
		assert.deepEqual([running?.decode, running?.phase], [moved.placement.decode, 'transfer']);
		return placement.epoch;
	};

	assert.equal(await placeAndMove('local'), 0);
	await startHostsAndAwaitHolder(cluster);
	assert.ok(await placeAndMove('shared') > 0);
	const unknown = await client.replaceDecode('nonsense', {upstream: 'd1', cause: 'failed'});
	assert.equal(unknown.kind, 'refused');
});

test('progress messages reach the lease holder, and a request that has ended holds no slot and is no longer reported', {timeout: 20_000}, async context => {
	const cluster = await setUp(context);
	const holder = await startHostsAndAwaitHolder(cluster);
	const {client} = cluster.processes.find(process => process !== holder)!;
	const reply = await client.place(makeRequest('r1', {prefix: ['h0', 'h1', 'h2']}), neverAborted);
	assert.ok(reply.kind === 'placed');
	client.reportProgress({
		phase: 'prefilled', reservation: reply.placement.reservation, promptTokens: 1000, cachedTokens: 0, durationMs: 10,
	});
	await waitUntil(() => holder.host.dump()[0]?.prefixEntries === 3);
	client.reportProgress({
		phase: 'ended', reservation: reply.placement.reservation, outputTokens: 1, reason: 'complete',
	});
	await waitUntil(() => holder.host.dump()[0]?.reservations === 0);
	assert.deepEqual(client.listRunningReservations({service: 'dossiers', shard: 0}).reservations, []);
});

test('a drained VM releases its leases, and another VM acquires them', async context => {
	const cluster = await setUp(context);
	const holder = await startHostsAndAwaitHolder(cluster);
	for (const access of cluster.accesses) {
		await access.change({drainedVms: new Set([holder.self.vm])});
	}

	await waitUntil(() => cluster.processes.some(process => process !== holder && process.host.heldLeases.includes(leaseName)));
	assert.deepEqual(holder.host.heldLeases, []);
});
