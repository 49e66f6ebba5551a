import assert from 'node:assert/strict';
import {test} from 'node:test';
import {SeededRandom} from '../core/random.js';
import {buildServer} from './fixtures.js';
import {createModelForward, isLastChance, reduceModelForward} from './model-forward.js';
import type {ModelForwardEvent, ModelForwardState} from './model-forward.js';
import {ServerDirectory} from './server-directory.js';
import type {Server, ServerQuery} from './server-directory.js';
import {StreamPace} from './stream-pace.js';
import type {EngineStage} from './types.js';

/** Builds a directory of engines of one stage: `count` in each zone. */
function buildPool(zones: readonly string[], count: number, stage: EngineStage): ServerDirectory {
	const directory = new ServerDirectory(new SeededRandom(1));
	directory.update(zones.flatMap(zone => Array.from({length: count}, (_, i) => buildServer({id: `${zone}-${i}`, zone, stage}))), 0);
	return directory;
}

function query(changes: Partial<ServerQuery> = {}): ServerQuery {
	return {
		service: 'desk', zone: 'z1', exclude: new Set(), maxInFlight: 10, tokens: 5000, nowMs: 0, ...changes,
	};
}

/** Chooses 600 times, and returns how often each result of `groupBy` was chosen. */
function countChoices(choose: () => Server | undefined, groupBy: (server: Server) => string): Record<string, number> {
	const counts: Record<string, number> = {};
	for (let i = 0; i < 600; i++) {
		const group = groupBy(choose()!);
		counts[group] = (counts[group] ?? 0) + 1;
	}

	return counts;
}

/** Lets every engine of the pool prefill or stream in turn, `slowFactor` times as slowly if `isSlow`. */
function work(directory: ServerDirectory, isSlow: (server: Server) => boolean, slowFactor: number): void {
	for (let i = 0; i < 30; i++) {
		for (const server of directory.servers) {
			directory.recordWork(server, 5000, 0.02 * (isSlow(server) ? slowFactor : 1), i * 100);
		}
	}
}

test('prefill engines get prompts in proportion to their speed, so that no VM needs to know the queues of the others', () => {
	const directory = buildPool(['z1'], 9, 'prefill');
	work(directory, ({record}) => Number(record.id.at(-1)) < 3, 2.5);
	const {slow, other} = countChoices(() => directory.choosePrefillEngine(query({nowMs: 3000})), ({record}) => Number(record.id.at(-1)) < 3 ? 'slow' : 'other');
	// Three engines of the speed 0.4 and six of the speed 1 have shares of 1/6 and 5/6.
	assert.ok(slow! > 60 && slow! < 140, `${slow} of 600 prompts at slow engines, ${other} at others`);
});

test('an engine whose work ahead takes longer gets no work, although fewer tokens are in progress there', () => {
	const directory = buildPool(['z1'], 8, 'decode');
	work(directory, ({record}) => record.id === 'z1-0', 3);
	for (const server of directory.servers) {
		directory.beginWork(server, server.record.id === 'z1-0' ? 10_000 : 15_000);
	}

	const counts = countChoices(() => directory.chooseDecodeEngine(query({nowMs: 3000})), ({record}) => record.id);
	assert.equal(counts['z1-0'], undefined);
});

for (const [zones, count] of [[['z1'], 12], [['z1', 'z2', 'z3'], 2]] as const) {
	test(`engines of equal speed are chosen by load, zone and refusals alone, with one random number each: ${count} in each of ${zones.length} zones`, () => {
		const directory = buildPool(zones, count, 'decode');
		const random = new SeededRandom(1);
		const events = new SeededRandom(7);
		for (let nowMs = 0; nowMs < 20_000; nowMs += 10) {
			const costs = [...directory.servers].map(server => (server.fullUntilMs > nowMs ? 1e9 : 0) + server.tokens + (server.record.zone === 'z1' ? 0 : 2000) + random.integer(0, 2000));
			const server = directory.chooseDecodeEngine(query({nowMs, maxInFlight: Infinity}))!;
			assert.equal(server, [...directory.servers][costs.indexOf(Math.min(...costs))]);
			directory.recordWork(server, 1, 36 + (8 * events.next()), nowMs);
			if (events.next() < 0.3) {
				directory.recordRefusal(server, nowMs);
			} else {
				directory.recordGrant(server, nowMs);
				directory.beginWork(server, events.integer(0, 500));
			}
		}
	});
}

test('engines of another zone are not used as long as those at home are alike and have room', () => {
	const directory = buildPool(['z1', 'z2'], 12, 'decode');
	assert.deepEqual(countChoices(() => directory.chooseDecodeEngine(query()), ({record}) => record.zone), {z1: 600});
});

test('slow engines at home are no reason to leave the zone', () => {
	const directory = buildPool(['z1', 'z2'], 12, 'decode');
	work(directory, ({record}) => record.zone === 'z1', 1.8);
	assert.deepEqual(countChoices(() => directory.chooseDecodeEngine(query({nowMs: 3000})), ({record}) => record.zone), {z1: 600});
});

test('a zone that refuses nearly everything sends a part of its requests away at once, and all of them stay home when it has room again', () => {
	const directory = buildPool(['z1', 'z2', 'z3'], 12, 'decode');
	const home = directory.readyServers('desk', 'decode').filter(({record}) => record.zone === 'z1');
	for (const [i, server] of [...home, ...home].entries()) {
		directory.recordRefusal(server, i * 10);
		directory.chooseDecodeEngine(query({nowMs: i * 10}));
	}

	// The engines' refusals of 350 ms ago no longer rank them last.
	const choose = () => directory.chooseDecodeEngine(query({nowMs: 350}));
	const {away} = countChoices(choose, ({record}) => record.zone === 'z1' ? 'home' : 'away');
	assert.ok(away! > 150, `${away} of 600 leave`);
	assert.equal(directory.departureReason(directory.readyServers('desk', 'decode').find(({record}) => record.zone === 'z2')!, query({nowMs: 350})), 'leaving-pays');
	for (let nowMs = 400; nowMs < 5000; nowMs += 100) {
		directory.recordGrant(home[0]!, nowMs);
		directory.chooseDecodeEngine(query({nowMs}));
	}

	assert.deepEqual(countChoices(() => directory.chooseDecodeEngine(query({nowMs: 5000})), ({record}) => record.zone), {z1: 600});
});

test('with few engines at home, a refusal at one of them changes nothing for the others', () => {
	const directory = buildPool(['z1', 'z2'], 2, 'decode');
	const [first] = directory.readyServers('desk', 'decode');
	for (let i = 0; i < 20; i++) {
		directory.recordRefusal(first!, i * 10);
	}

	assert.deepEqual(countChoices(() => directory.chooseDecodeEngine(query({nowMs: 190})), ({record}) => record.id), {'z1-1': 600});
});

test('if every zone of a large pool refuses, only the engines at home are asked', () => {
	const directory = buildPool(['z1', 'z2', 'z3'], 12, 'decode');
	for (const server of directory.servers) {
		directory.recordRefusal(server, 0);
	}

	const asked = new Set<string>();
	for (;;) {
		const server = directory.chooseDecodeEngine(query({exclude: asked, nowMs: 50}));
		if (!server) {
			break;
		}

		assert.equal(server.record.zone, 'z1');
		asked.add(server.key);
	}

	assert.equal(asked.size, 12);
});

/**
Plays the reservation calls of one request of zone z1, 5 ms each, until it is placed, sent away or cut; returns the engine, or undefined. Meanwhile other
requests are refused by every zone, so that all of them count as full. Only `roomAt` has room, and no spare memory.
*/
function playReservations(directory: ServerDirectory, roomAt: string, changes: Partial<ModelForwardState> = {}): Server | undefined {
	const state = Object.assign(createModelForward({
		isResumable: true, maxAttempts: 3, memoryWaitPolicy: {maxWaitMs: 400, roundIntervalMs: 50, spareMemoryRatio: 0}, fullPoolRetryAfterMs: 3000,
		takeRetry: () => true, hasAcceptingPrefillEngine: () => true, chargeFailedPrefill: () => undefined,
	}), changes);
	const servers = [...directory.servers].filter(({record}) => record.id !== roomAt);
	let nowMs = 0;
	let input: ModelForwardEvent = {type: 'forward/start', nowMs};
	for (;;) {
		const [effect] = reduceModelForward(state, input);
		if (effect?.type === 'forward/wait') {
			nowMs += effect.durationMs;
			input = {type: 'forward/wake', nowMs};
			continue;
		}

		if (effect?.type !== 'forward/hold') {
			return undefined;
		}

		for (const server of servers) {
			directory.recordRefusal(server, nowMs);
		}

		const {attempt, exclude, isSpacious} = effect;
		const server = directory.chooseDecodeEngine(query({exclude, nowMs, isLastChance: isLastChance(state, nowMs)}));
		if (!server) {
			input = {type: 'forward/no-engine', attempt, nowMs};
			continue;
		}

		nowMs += 5;
		if (server.record.id === roomAt && !isSpacious) {
			return server;
		}

		directory.recordRefusal(server, nowMs);
		input = {
			type: 'forward/hold-refused', attempt, server: server.key, nowMs,
		};
	}
}

test('no request is refused for lack of room while an engine has room, also if all zones are believed to be full', () => {
	const zones = ['z1', 'z2', 'z3'];
	assert.equal(playReservations(buildPool(zones, 12, 'decode'), 'z3-7')?.record.id, 'z3-7');
	// A stream that has begun would be cut.
	assert.equal(playReservations(buildPool(zones, 12, 'decode'), 'z2-3', {hasForwardedHead: true})?.record.id, 'z2-3');
	assert.equal(playReservations(buildPool(zones, 12, 'decode'), 'none'), undefined);
});

test('the requests of a zone without engines are served by the other zones', () => {
	const directory = buildPool(['z2', 'z3'], 4, 'decode');
	const server = directory.chooseDecodeEngine(query())!;
	assert.equal(directory.departureReason(server, query()), 'no-engine-at-home');
	assert.equal(Object.keys(countChoices(() => directory.chooseDecodeEngine(query()), ({record}) => record.zone)).length, 2);
});

test('the pace of a stream is the time per event of windows that are long enough', () => {
	const pace = new StreamPace();
	assert.equal(pace.record(1, 0), undefined);
	assert.equal(pace.record(3, 60), undefined);
	assert.equal(pace.record(5, 120), 30);
	assert.equal(pace.record(5, 240), undefined, 'a window without events tells nothing');
	assert.equal(pace.record(9, 340), 25);
});

test('few engines are not compared: neither their pace nor refusals change the choice', () => {
	const chooseFrom = (prepare: (directory: ServerDirectory) => void) => {
		const directory = buildPool(['z1', 'z2', 'z3'], 2, 'decode');
		prepare(directory);
		return Array.from({length: 200}, () => directory.chooseDecodeEngine(query({nowMs: 3000}))!.record.id);
	};

	const untouched = chooseFrom(() => undefined);
	assert.deepEqual(chooseFrom(directory => {
		work(directory, ({record}) => record.id === 'z1-0', 3);
		for (const server of directory.readyServers('desk', 'decode').slice(0, 2)) {
			directory.recordRefusal(server, 2800);
		}
	}), untouched);
});
