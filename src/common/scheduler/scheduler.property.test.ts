import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {SeededRandom} from '../core/random.js';
import {
	entry1, makeEngine, makeLoad, SchedulerHarness,
} from './fixtures.js';

const makeEngines = (drained: string) => [
	makeEngine('p1', 'prefill', {isDrained: drained === 'p1'}),
	makeEngine('p2', 'prefill', {zone: 'z2'}),
	makeEngine('d1', 'decode', {slots: 2, isDrained: drained === 'd1'}),
	makeEngine('d2', 'decode', {slots: 3}),
	makeEngine('b1', 'both', {slots: 2}),
];

const pick = fc.nat(1000);
const command = fc.oneof(
	{
		weight: 6, arbitrary: fc.record({
			kind: fc.constant('place' as const), pick, promptTokens: fc.integer({min: 1, max: 8000}), priority: fc.nat(9), budgetMs: fc.integer({min: 50, max: 8000}),
		}),
	},
	{weight: 4, arbitrary: fc.record({kind: fc.constantFrom('prefilled', 'transferred', 'first-token', 'ended', 'replace', 'report', 'cancel', 'failed'), pick})},
	{weight: 3, arbitrary: fc.record({kind: fc.constant('advance' as const), pick})},
	{weight: 1, arbitrary: fc.record({kind: fc.constantFrom('die', 'revive', 'drain', 'load', 'poll-failed', 'lease'), pick})},
);
type Command = typeof command extends fc.Arbitrary<infer T> ? T : never;

/** Runs commands against a scheduler and checks its invariants after each command. */
class SchedulerModel {
	readonly harness = new SchedulerHarness(makeEngines('')).acquireLease();
	readonly tokens = new Set<number>();
	private readonly _answeredTokens = new Set<number>();
	private _checkedEffects = 0;
	private _epoch = 1;
	private _incarnation = 1;

	run(step: Command): void {
		const {harness} = this;
		const reservations = [...harness.state.reservations.values()];
		const chosen = reservations[step.pick % Math.max(1, reservations.length)];
		const owner = chosen?.owner ?? entry1;
		if (step.kind === 'place') {
			const current = [entry1, {vm: 'entry-2', incarnation: this._incarnation}][step.pick % 2]!;
			const {promptTokens, priority, budgetMs} = step;
			this.tokens.add(harness.place(`r${step.pick}`, {
				promptTokens, priority, budgetMs, shedOrder: priority, tenant: `t${step.pick % 5}`, maxWaitMs: 2000,
			}, current));
		} else if (step.kind === 'advance') {
			harness.advance(step.pick);
		} else {
			this._runOtherCommand(step.kind, step.pick, owner, chosen?.id ?? 'none');
		}

		this.checkInvariants();
	}

	checkInvariants(): void {
		const {state, effects} = this.harness;
		for (const effect of effects.slice(this._checkedEffects)) {
			if (effect.type === 'reply') {
				assert.ok(!this._answeredTokens.has(effect.token), 'a token was answered twice');
				this._answeredTokens.add(effect.token);
			}
		}

		this._checkedEffects = effects.length;
		const held = new Map<string, string>();
		for (const engine of state.pool.engines.values()) {
			assert.ok(engine.decodes.size <= engine.spec.slots, `${engine.spec.name} holds more reservations than slots`);
			for (const id of engine.decodes.keys()) {
				assert.ok(!held.has(id), 'a reservation holds two slots');
				held.set(id, engine.spec.name);
			}
		}

		assert.deepEqual(held, new Map([...state.reservations.values()].map(({id, decode}) => [id, decode])));
		assert.equal(state.reservationIdsByRequest.size, state.reservations.size);
	}

	endAllAndCheck(): void {
		this.harness.advance(3000);
		assert.deepEqual([...this.tokens].filter(token => !this.harness.replies.has(token)), [], 'requests without a reply');
		for (const {id, owner} of this.harness.state.reservations.values()) {
			this.harness.endRequest(id, 1, owner);
		}

		this.checkInvariants();
		for (const engine of this.harness.state.pool.engines.values()) {
			assert.deepEqual([engine.decodes.size, engine.hasPrefills, Math.round(engine.linkBacklogMs), engine.hasFreeBlocks(engine.spec.cacheBlocks)], [0, false, 0, true]);
		}
	}

	private _runOtherCommand(kind: string, choice: number, owner: typeof entry1, reservation: string): void {
		const {harness} = this;
		const token = 100_000 + this.tokens.size;
		switch (kind) {
			case 'prefilled': {
				harness.startDecode(reservation, owner);
				break;
			}

			case 'transferred': {
				harness.send({type: 'scheduler/progress', owner, progress: {phase: 'transferred', reservation, durationMs: choice}});
				break;
			}

			case 'first-token': {
				harness.send({type: 'scheduler/progress', owner, progress: {phase: 'first-token', reservation, durationMs: choice}});
				break;
			}

			case 'failed': {
				harness.send({
					type: 'scheduler/progress', owner, progress: {
						phase: 'ended', reservation, outputTokens: 0, reason: 'failed', failedUpstream: 'd2',
					},
				});
				break;
			}

			case 'ended': {
				harness.endRequest(reservation, choice, owner);
				break;
			}

			case 'replace': {
				this.tokens.add(token);
				harness.send({
					type: 'scheduler/replace', token, owner, reservation, failure: {upstream: harness.state.reservations.get(reservation)?.decode ?? 'd1', cause: 'failed'},
				});
				break;
			}

			case 'report': {
				harness.send({
					type: 'scheduler/report', owner, requestedMs: harness.nowMs, reservations: [],
				});
				break;
			}

			case 'cancel': {
				harness.send({type: 'scheduler/cancel', owner, requestId: `r${choice}`});
				break;
			}

			case 'die': {
				harness.send({type: 'scheduler/entries', entries: {live: [entry1], dead: [{vm: 'entry-2', incarnation: this._incarnation}]}});
				break;
			}

			case 'revive': {
				this._incarnation++;
				harness.send({type: 'scheduler/entries', entries: {live: [entry1, {vm: 'entry-2', incarnation: this._incarnation}], dead: []}});
				break;
			}

			case 'drain': {
				harness.send({type: 'scheduler/configure', engines: makeEngines(['d1', 'p1', ''][choice % 3]!), weights: new Map([['t1', 3]])});
				break;
			}

			case 'load': {
				harness.send({type: 'scheduler/load', engine: ['d1', 'd2', 'p1'][choice % 3]!, load: makeLoad({activeDecodes: choice % 4, queuedPrefillTokens: choice})});
				break;
			}

			case 'poll-failed': {
				harness.send({type: 'scheduler/poll-failed', engine: 'b1'});
				break;
			}

			default: {
				harness.send({type: 'scheduler/lease', epoch: choice % 2 === 0 ? undefined : ++this._epoch});
			}
		}
	}
}

test('no engine holds more reservations than slots, no reservation is lost or duplicated, and every request gets exactly one reply', () => {
	fc.assert(fc.property(fc.array(command, {minLength: 40, maxLength: 120}), commands => {
		const model = new SchedulerModel();
		for (const step of commands) {
			model.run(step);
		}

		model.endAllAndCheck();
	}), {seed: 7, numRuns: 200});
});

type WaitTimes = {readonly meanMs: number; readonly worstMs: number};

/** Maximum time for which a request in `measureWaitsBeside` holds its slot, in milliseconds. */
const maxHoldMs = 100;
const slots = 8;

/** Measures the waiting times of four customers that together use 60% of the pool, while a fifth customer sends `floodFactor` times its 20% share. */
function measureWaitsBeside(floodFactor: number, seed: number): WaitTimes {
	const harness = new SchedulerHarness([makeEngine('p1', 'prefill'), makeEngine('d1', 'decode', {slots})]).acquireLease();
	const random = new SeededRandom(seed);
	const ends: Array<{readonly atMs: number; readonly id: string}> = [];
	const pending = new Map<number, {readonly atMs: number; readonly tenant: string}>();
	const waits: number[] = [];
	const requestsPerMs = slots / maxHoldMs;
	for (let i = 0; i < 4000; i++) {
		harness.advance(5, 5);
		for (const {id} of ends.filter(({atMs}) => atMs <= harness.nowMs).splice(0)) {
			harness.endRequest(id);
		}

		ends.splice(0, ends.length, ...ends.filter(({atMs}) => atMs > harness.nowMs));
		for (const customer of ['a', 'b', 'c', 'd', 'flood']) {
			const share = customer === 'flood' ? 0.2 * floodFactor : 0.15;
			for (let due = share * requestsPerMs * 5; random.next() < due; due--) {
				pending.set(harness.place(`${i}-${customer}-${due}`, {
					tenant: customer, promptTokens: 1, maxTokens: 200, maxWaitMs: 1000,
				}), {atMs: harness.nowMs, tenant: customer});
			}
		}

		for (const [token, {atMs, tenant: customer}] of pending) {
			const reply = harness.replies.get(token);
			if (reply) {
				pending.delete(token);
				waits.push(...(customer === 'flood' ? [] : [reply.atMs - atMs]));
				assert.ok(customer === 'flood' || reply.body.kind === 'placed', `${customer} was refused`);
				if (reply.body.kind === 'placed') {
					harness.startDecode(reply.body.placement.reservation);
					ends.push({atMs: harness.nowMs + random.integer(maxHoldMs / 2, maxHoldMs), id: reply.body.placement.reservation});
				}
			}
		}
	}

	let total = 0;
	for (const wait of waits) {
		total += wait;
	}

	return {meanMs: total / waits.length, worstMs: Math.max(...waits)};
}

test('a customer that sends eight times its share increases the mean wait of other customers by at most one turn of all customers', () => {
	for (const seed of [1, 2, 3]) {
		const alone = measureWaitsBeside(1, seed);
		const flooded = measureWaitsBeside(8, seed);
		// Five customers take turns on `slots` slots, so at most 5 requests are served before a customer's next request.
		const turnMs = maxHoldMs * 5 / slots;
		assert.ok(flooded.meanMs <= alone.meanMs + turnMs, `mean ${alone.meanMs} became ${flooded.meanMs}`);
		assert.ok(flooded.worstMs <= alone.worstMs + (2 * maxHoldMs), `worst ${alone.worstMs} became ${flooded.worstMs}`);
	}
});
