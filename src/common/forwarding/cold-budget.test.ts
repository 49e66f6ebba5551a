import assert from 'node:assert/strict';
import {test} from 'node:test';
import {SeededRandom} from '../core/random.js';
import type {VmIdentity} from '../core/types.js';
import type {EntryProcesses} from '../scheduler/types.js';
import {rankByRendezvous, rendezvousPosition} from '../membership/rendezvous.js';
import {ColdBudget, planTurns} from './cold-budget.js';
import type {ColdRate} from './cold-budget.js';
import {buildServer} from './fixtures.js';
import {ServerDirectory} from './server-directory.js';
import type {ServerQuery} from './server-directory.js';
import {serverKey} from './types.js';
import type {ServerKey, ServerRecord} from './types.js';

const allowance = {factor: 1.5, slack: 5};
const rate: ColdRate = {requestsPerSecond: 6.7, requestsPerTurn: 1};
/** 6.7 x 1.5 + 5, rounded down. */
const bound = 15;
const vmNames = Array.from({length: 83}, (_, i) => `10.0.0.${i + 1}`);
const identities = (names: readonly string[]): VmIdentity[] => names.map(vm => ({vm, incarnation: 1}));

/** A process that asks its budget for a turn at a cold server at random times, `requestsPerSecond` times a second on average. */
class SimulatedVm {
	budget: ColdBudget;
	private _processes!: EntryProcesses;

	constructor(readonly vm: string, live: readonly string[], private readonly _known: readonly string[], startedMs = -10_000) {
		this.setLive(live);
		this.budget = this.createBudget(startedMs);
	}

	setLive(live: readonly string[]): void {
		const alive = new Set(live);
		this._processes = {live: identities(live), dead: identities(this._known.filter(name => !alive.has(name)))};
	}

	createBudget(startedMs: number): ColdBudget {
		return new ColdBudget({
			allowance, self: this.vm, startedMs, processes: () => this._processes,
		});
	}

	restart(nowMs: number): void {
		this.budget = this.createBudget(nowMs);
	}

	learnCold(record: ServerRecord, requestedMs: number, nowMs: number): void {
		this.budget.update(new Map([[serverKey(record), record]]), requestedMs, nowMs, () => true);
	}
}

type Simulation = {readonly vms: readonly SimulatedVm[]; readonly record: ServerRecord; readonly requestsPerSecond?: number; readonly onStep?: (nowMs: number) => void; readonly rate?: ColdRate};

/** Returns the times of all requests to the server in 10 s, with a second request in the same turn for engines. */
function simulate({vms, record, requestsPerSecond = 4, onStep, rate: usedRate = rate}: Simulation): number[] {
	const random = new SeededRandom(3);
	const key = serverKey(record);
	const sent: number[] = [];
	const followUps: Array<{readonly atMs: number; readonly budget: ColdBudget}> = [];
	for (let nowMs = 0; nowMs < 10_000; nowMs += 5) {
		onStep?.(nowMs);
		for (const {budget} of followUps.filter(({atMs}) => atMs === nowMs)) {
			budget.recordRequest(key, nowMs);
			sent.push(nowMs);
		}

		for (const {budget} of vms) {
			if (random.next() < requestsPerSecond / 200 && budget.mayBegin(key, usedRate, nowMs)) {
				const isPair = usedRate.requestsPerTurn === 2;
				budget.recordRequest(key, nowMs, isPair ? 2000 : 0);
				sent.push(nowMs);
				if (isPair) {
					followUps.push({atMs: nowMs + (random.integer(1, 200) * 5), budget});
				}
			}
		}
	}

	return sent.sort((a, b) => a - b);
}

/** Returns the largest number of requests in any window of one second. */
function busiestSecond(sent: readonly number[]): number {
	let first = 0;
	let most = 0;
	for (const [i, atMs] of sent.entries()) {
		while (sent[first]! < atMs - 1000) {
			first++;
		}

		most = Math.max(most, i - first + 1);
	}

	return most;
}

const coldRecord = (id: string, coldLeftMs = 60_000) => buildServer({id, coldLeftMs});
const serverIds = Array.from({length: 6}, (_, i) => `server-${i}`);

/** VMs that all know the server as cold from the start; `liveAt` returns the members that a VM takes for alive. */
function buildVms(record: ServerRecord, liveAt: (i: number) => readonly string[] = () => vmNames, startedMs = -10_000): SimulatedVm[] {
	return vmNames.map((vm, i) => {
		const simulated = new SimulatedVm(vm, liveAt(i), vmNames, startedMs);
		simulated.learnCold(record, -5000, -5000);
		return simulated;
	});
}

test('turns are planned for the rate that a cold server tolerates, and for the bound on all processes whatever they know of each other', () => {
	assert.deepEqual(planTurns(allowance, rate), {senders: 6, maxSenders: 15, turnIntervalMs: 1050});
	assert.deepEqual(planTurns(allowance, {...rate, requestsPerTurn: 2}), {senders: 3, maxSenders: 7, turnIntervalMs: 1050});
	assert.deepEqual(planTurns(allowance, {requestsPerSecond: 0.5, requestsPerTurn: 1}), {senders: 1, maxSenders: 5, turnIntervalMs: 2000});
	assert.equal(planTurns({factor: 1, slack: 0}, {requestsPerSecond: 0.5, requestsPerTurn: 1}).senders, 0, 'any request would exceed the bound');
});

test('the position of a node is that of the ranking', () => {
	const ranked = rankByRendezvous('key', vmNames, name => name);
	assert.deepEqual(ranked.map(name => rendezvousPosition('key', name, vmNames)), ranked.map((_, i) => i));
});

test('all processes together keep the bound in every second, and use most of the rate that a cold server tolerates', () => {
	for (const id of serverIds) {
		const record = coldRecord(id);
		const sent = simulate({vms: buildVms(record), record});
		assert.ok(busiestSecond(sent) <= 6, `${busiestSecond(sent)} requests within a second`);
		assert.ok(sent.length >= 10 * 6.7 * 0.6, `${sent.length} requests in 10 s`);
	}
});

test('the bound holds while each half of the processes takes the other for dead, and while each process takes all others for dead', () => {
	for (const id of serverIds) {
		const record = coldRecord(id);
		const halves = buildVms(record, i => vmNames.filter((_, j) => j % 2 === i % 2));
		assert.ok(busiestSecond(simulate({vms: halves, record})) <= bound);
		const alone = buildVms(record, i => [vmNames[i]!]);
		const sent = simulate({vms: alone, record, requestsPerSecond: 50});
		assert.ok(busiestSecond(sent) <= bound, `${busiestSecond(sent)} requests within a second`);
		assert.ok(busiestSecond(sent) > 10, 'the processes use their turns');
	}
});

test('the bound holds while processes fail and return in any order of news', () => {
	const random = new SeededRandom(9);
	for (const id of serverIds) {
		const record = coldRecord(id);
		const vms = buildVms(record);
		const sent = simulate({
			vms, record, requestsPerSecond: 50, onStep(nowMs) {
				if (nowMs % 100 === 0) {
					vms[random.integer(0, vms.length)]!.setLive(vmNames.filter(() => random.next() < 0.5));
				}
			},
		});
		assert.ok(busiestSecond(sent) <= bound, `${busiestSecond(sent)} requests within a second`);
	}
});

test('a process that restarts and forgets what it sent waits until that no longer counts', () => {
	for (const id of serverIds) {
		const record = coldRecord(id);
		const vms = buildVms(record);
		const sent = simulate({
			vms, record, requestsPerSecond: 50, onStep(nowMs) {
				if (nowMs % 400 === 0) {
					for (const vm of vms) {
						vm.restart(nowMs);
						vm.learnCold(record, nowMs, nowMs);
					}
				}

				if (nowMs === 6000) {
					for (const vm of vms) {
						assert.equal(vm.budget.mayBegin(serverKey(record), rate, nowMs), false);
					}
				}
			},
		});
		assert.ok(busiestSecond(sent) <= 6);
	}
});

test('an engine that gets a reservation and a run in each turn gets no more than its bound, also while every process takes the others for dead', () => {
	const engineRate = {...rate, requestsPerTurn: 2};
	for (const id of serverIds) {
		const record = buildServer({id, stage: 'decode', coldLeftMs: 60_000});
		const sent = simulate({
			vms: buildVms(record, i => [vmNames[i]!]), record, requestsPerSecond: 50, rate: engineRate,
		});
		assert.ok(busiestSecond(sent) <= bound, `${busiestSecond(sent)} requests within a second`);
		const agreed = simulate({vms: buildVms(record), record, rate: engineRate});
		assert.ok(agreed.length >= 10 * 3, `${agreed.length} requests in 10 s`);
	}
});

test('a server is warm once its time has passed or a newer list says so, and a server of another incarnation is judged anew', () => {
	const [cold, other] = [coldRecord('a', 3000), {...coldRecord('a', 0), bornMs: 9}];
	const {budget} = new SimulatedVm('x', vmNames, vmNames);
	const update = (record: ServerRecord, requestedMs: number) => budget.update(new Map<ServerKey, ServerRecord>([[serverKey(record), record]]), requestedMs, requestedMs, () => false);
	assert.deepEqual(update(cold, 0), [serverKey(cold)]);
	assert.equal(budget.coldForMs(serverKey(cold), 1000), 2000);
	// A process that does not poll gets the unchanged record again with each sync.
	update(cold, 2000);
	assert.equal(budget.coldForMs(serverKey(cold), 2000), 1000);
	update(cold, 3500);
	assert.equal(budget.coldForMs(serverKey(cold), 3500), 0);
	update(other, 4000);
	assert.equal(budget.coldForMs(serverKey(other), 4000), 0);
	update({...other, coldLeftMs: 3000}, 5000);
	update(other, 6000);
	assert.equal(budget.coldForMs(serverKey(other), 6000), 0, 'the list says that it is warm');
});

test('what a server states of itself counts more than a list that may show an earlier state', () => {
	const warm = coldRecord('a', 0);
	const {budget} = new SimulatedVm('x', vmNames, vmNames);
	const update = (requestedMs: number) => budget.update(new Map([[serverKey(warm), warm]]), requestedMs, requestedMs, () => false);
	assert.equal(budget.recordNotice(serverKey(warm), 3000, 100), true);
	update(900);
	assert.equal(budget.coldForMs(serverKey(warm), 900), 2200);
	update(1100);
	assert.equal(budget.coldForMs(serverKey(warm), 1100), 0);
	budget.presumeCold(serverKey(warm), 2000);
	update(2500);
	assert.ok(budget.coldForMs(serverKey(warm), 2500) > 0);
	update(3000);
	assert.equal(budget.coldForMs(serverKey(warm), 3000), 0);
});

test('a list that may show an earlier state does not shorten the time for which a cold server says that it remains cold', () => {
	const {budget} = new SimulatedVm('x', vmNames, vmNames);
	const record = coldRecord('a', 400);
	const update = (coldLeftMs: number, requestedMs: number) => budget.update(new Map([[serverKey(record), {...record, coldLeftMs}]]), requestedMs, requestedMs, () => false);
	update(400, 0);
	budget.recordNotice(serverKey(record), 3000, 100);
	update(200, 200);
	assert.equal(budget.coldForMs(serverKey(record), 200), 2900);
	update(1900, 1200);
	assert.equal(budget.coldForMs(serverKey(record), 1200), 1900);
	budget.presumeCold(serverKey(record), 2000);
	update(300, 2900);
	assert.equal(budget.coldForMs(serverKey(record), 2900), 4100);
});

test('a cold server of a service that states no rate is ranked as if nothing protected cold servers', () => {
	const records = [{...coldRecord('cold', 3000), zone: 'z1'}, {...buildServer({id: 'warm'}), zone: 'z1'}];
	const shareOfCold = (cold?: ColdBudget) => {
		const directory = new ServerDirectory(new SeededRandom(1), cold);
		directory.update(records, 0);
		return Array.from({length: 100}, () => directory.choose({
			service: 'desk', zone: 'z1', exclude: new Set(), maxInFlight: 10, nowMs: 100,
		})!.record.id).filter(id => id === 'cold').length;
	};

	assert.equal(shareOfCold(new SimulatedVm('x', ['x'], ['x']).budget), shareOfCold());
	assert.ok(shareOfCold() > 0);
});

test('the directory leaves out cold servers without a turn, and tells how long a request would have to wait for one', () => {
	const directory = new ServerDirectory(new SeededRandom(1), new ColdBudget({
		allowance, self: 'x', startedMs: 0, processes: () => ({live: identities(['x']), dead: []}),
	}));
	const query = (nowMs: number): ServerQuery => ({
		service: 'desk', zone: 'z1', exclude: new Set(), maxInFlight: 10, nowMs, coldRate: rate,
	});
	const [cold, warm] = [coldRecord('cold', 3000), buildServer({id: 'warm'})];
	directory.update([cold, warm], 2000);
	assert.equal(directory.choose(query(2000))!.record, warm);
	assert.equal(directory.coldWaitMs(query(2000)), undefined);
	directory.update([cold], 2100);
	assert.equal(directory.choose(query(2100)), undefined);
	assert.equal(directory.coldWaitMs(query(2100)), 950);
	const chosen = directory.choose(query(3050))!;
	assert.equal(chosen.record, cold);
	directory.cold!.recordRequest(chosen.key, 3050);
	assert.equal(directory.coldWaitMs(query(3100)), 1000);
	assert.equal(directory.choose({...query(3100), coldRate: undefined}), chosen, 'a service that states no rate is not limited');
	assert.equal(directory.choose(query(5000)), chosen);
	assert.equal(directory.coldWaitMs(query(5000)), undefined);
	const evacuateAndReturn = (zone: string) => {
		directory.setEvacuatedZones(new Set([zone]), 5200);
		directory.setEvacuatedZones(new Set(), 5200);
	};

	evacuateAndReturn('z2');
	assert.equal(directory.choose(query(5200)), chosen);
	directory.cold!.recordRequest(chosen.key, 5200);
	evacuateAndReturn('z1');
	assert.equal(directory.choose(query(5200)), undefined, 'its zone has come back into service');
	directory.update([buildServer({id: 'cold'})], 6200);
	assert.equal(directory.choose(query(6200)), chosen, 'a list requested since then says that it is warm');
});
