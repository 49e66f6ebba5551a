import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {TestContext} from 'node:test';
import {makeRequest} from '../../common/scheduler/fixtures.js';
import {
	makeConfiguration, startEngine, startProcesses, until,
} from './fixtures.js';

const vms = ['entry-1', 'entry-2', 'entry-3'].map(vm => ({vm, incarnation: 1}));
const lease = 'scheduler/dossiers/0';
const never = new AbortController().signal;

async function setUp(context: TestContext, requests: Parameters<typeof startEngine>[0] = []) {
	const prefill = await startEngine();
	const decode = await startEngine(requests);
	const fleet = startProcesses(vms, makeConfiguration(prefill.address, decode.address));
	context.after(async () => {
		await fleet.dispose();
		await prefill.close();
		await decode.close();
	});
	return {...fleet, decode};
}

async function elect({processes, leases}: Awaited<ReturnType<typeof setUp>>) {
	for (const {host} of processes) {
		host.start();
	}

	await until(() => leases.leases.has(lease));
	const holder = processes.find(({self}) => self.vm === leases.leases.get(lease)?.holder.vm)!;
	await until(() => holder.host.held.includes(lease));
	return holder;
}

test('clients of every process place through the one holder of the lease', async context => {
	const fleet = await setUp(context);
	const holder = await elect(fleet);
	const replies = await Promise.all(fleet.processes.map(async ({client}, i) => client.place(makeRequest(`r${i}`, {promptTokens: 10}), never)));
	assert.ok(replies.every(reply => reply.kind === 'placed' && reply.placement.epoch === 1));
	assert.equal(holder.host.dump()[0]?.reservations, 3);
	assert.equal(fleet.counts.get('scheduler_local_placements_total'), undefined);
});

test('without a holder each process places into its own share of the slots, never beyond', async context => {
	const {processes} = await setUp(context);
	const replies = await Promise.all(processes.flatMap(({client}, i) => Array.from({length: 6}, async (_, j) =>
		client.place(makeRequest(`r${i}-${j}`, {promptTokens: 10, maxWaitMs: 100}), new AbortController().signal))));
	const placed = replies.flatMap(reply => reply.kind === 'placed' ? [reply.placement] : []);
	assert.equal(placed.length, 8);
	for (const engine of ['d1', 'd2']) {
		assert.ok(placed.filter(({decode}) => decode === engine).length <= 4);
	}
});

test('a successor adopts what the entry processes run, so that slots are not given out twice', async context => {
	const fleet = await setUp(context);
	const first = await elect(fleet);
	const others = fleet.processes.filter(process => process !== first);
	const reply = await others[0]!.client.place(makeRequest('r1'), never);
	assert.equal(reply.kind, 'placed');
	fleet.switchboard.down.add(first.self.vm);
	fleet.directory.entries = {live: vms.filter(({vm}) => vm !== first.self.vm), dead: [first.self]};
	await first.host.stop();
	const successor = await (async () => {
		await until(() => others.some(({host}) => host.held.includes(lease)));
		return others.find(({host}) => host.held.includes(lease))!;
	})();
	await until(() => successor.host.dump()[0]?.reservations === 1);
	const next = await others[1]!.client.place(makeRequest('r2'), never);
	assert.ok(next.kind === 'placed' && next.placement.epoch > 1);
});

test('requests that an engine runs for a dead process are cancelled, others are left alone', async context => {
	const running = [vms[0]!, {vm: 'entry-9', incarnation: 4}].map(owner => ({
		requestId: `of-${owner.vm}`, owner, phase: 'decoding' as const, kvBlocks: 3, ageMs: 100,
	}));
	const fleet = await setUp(context, running);
	fleet.directory.entries = {live: vms, dead: [{vm: 'entry-9', incarnation: 4}]};
	await elect(fleet);
	await until(() => fleet.decode.cancelled.length > 0);
	assert.ok(fleet.decode.cancelled.every(id => id === 'of-entry-9'));
});

test('a caller that is gone leaves the queue at once and holds no slot', {timeout: 20_000}, async context => {
	const fleet = await setUp(context);
	const holder = await elect(fleet);
	const {client} = fleet.processes[0]!;
	await Promise.all(Array.from({length: 8}, async (_, i) => client.place(makeRequest(`r${i}`, {promptTokens: 10}), new AbortController().signal)));
	const abort = new AbortController();
	const waiting = client.place(makeRequest('gone', {maxWaitMs: 60_000, budgetMs: 100_000}), abort.signal);
	await until(() => holder.host.dump()[0]?.queued === 1);
	abort.abort();
	await assert.rejects(waiting, {name: 'AbortError'});
	assert.deepEqual([holder.host.dump()[0]?.queued, holder.host.dump()[0]?.reservations], [0, 8]);
});

test('a placement of a deposed holder is not used', async context => {
	const fleet = await setUp(context);
	const holder = await elect(fleet);
	const {client} = fleet.processes.find(process => process !== holder)!;
	const {holder: identity} = fleet.leases.leases.get(lease)!;
	for (const access of fleet.accesses) {
		await access.change({leases: new Map([[lease, {holder: identity, epoch: 5}]])});
	}

	const reply = await client.place(makeRequest('r1'), never);
	assert.equal(reply.kind === 'placed' && reply.placement.epoch, 0);
});

test('a holder that does not answer is replaced by the local share at once, and not asked again for a while', async context => {
	const fleet = await setUp(context);
	const holder = await elect(fleet);
	const {client} = fleet.processes.find(process => process !== holder)!;
	fleet.switchboard.down.add(holder.self.vm);
	for (const id of ['r1', 'r2']) {
		const reply = await client.place(makeRequest(id, {promptTokens: 10}), new AbortController().signal);
		assert.equal(reply.kind === 'placed' && reply.placement.epoch, 0);
	}

	assert.equal(fleet.counts.get('scheduler_holder_unanswered_total'), 1);
});

test('a holder that membership knows to be dead is not asked', async context => {
	const fleet = await setUp(context);
	const holder = await elect(fleet);
	const {client} = fleet.processes.find(process => process !== holder)!;
	fleet.directory.entries = {live: vms, dead: [holder.self]};
	const reply = await client.place(makeRequest('r1'), never);
	assert.equal(reply.kind === 'placed' && reply.placement.epoch, 0);
});

test('a reservation moves to another decode engine, through the holder or locally', async context => {
	const fleet = await setUp(context);
	const [{client}] = fleet.processes as [typeof fleet.processes[0]];
	const move = async (id: string) => {
		const placed = await client.place(makeRequest(id, {promptTokens: 10}), new AbortController().signal);
		assert.equal(placed.kind, 'placed');
		const {placement} = placed;
		const moved = await client.replaceDecode(placement.reservation, {upstream: placement.decode, cause: 'failed'});
		assert.ok(moved.kind === 'placed' && moved.placement.decode !== placement.decode && moved.placement.epoch === placement.epoch);
		const running = client.report({service: 'dossiers', shard: 0}).reservations.find(({requestId}) => requestId === id);
		assert.deepEqual([running?.decode, running?.phase], [moved.placement.decode, 'transfer']);
		return placement.epoch;
	};

	assert.equal(await move('local'), 0);
	await elect(fleet);
	assert.ok(await move('shared') > 0);
	const unknown = await client.replaceDecode('nonsense', {upstream: 'd1', cause: 'failed'});
	assert.equal(unknown.kind, 'refused');
});

test('progress reaches the holder, frees the slot and leaves the report', {timeout: 20_000}, async context => {
	const fleet = await setUp(context);
	const holder = await elect(fleet);
	const {client} = fleet.processes.find(process => process !== holder)!;
	const reply = await client.place(makeRequest('r1', {prefix: ['h0', 'h1', 'h2']}), never);
	assert.ok(reply.kind === 'placed');
	client.progress({
		phase: 'prefilled', reservation: reply.placement.reservation, promptTokens: 1000, cachedTokens: 0, durationMs: 10,
	});
	await until(() => holder.host.dump()[0]?.prefixEntries === 3);
	client.progress({
		phase: 'ended', reservation: reply.placement.reservation, outputTokens: 1, reason: 'complete',
	});
	await until(() => holder.host.dump()[0]?.reservations === 0);
	assert.deepEqual(client.report({service: 'dossiers', shard: 0}).reservations, []);
});

test('a VM that is drained gives its leases to another', async context => {
	const fleet = await setUp(context);
	const holder = await elect(fleet);
	for (const access of fleet.accesses) {
		await access.change({drainedVms: new Set([holder.self.vm])});
	}

	await until(() => fleet.processes.some(process => process !== holder && process.host.held.includes(lease)));
	assert.deepEqual(holder.host.held, []);
});
