import assert from 'node:assert/strict';
import {test} from 'node:test';
import {SeededRandom} from '../core/random.js';
import {buildServer} from './fixtures.js';
import {ServerDirectory} from './server-directory.js';
import type {ServerQuery} from './server-directory.js';
import type {ServerRecord} from './types.js';

function buildDirectory(records: readonly ServerRecord[]): ServerDirectory {
	const directory = new ServerDirectory(new SeededRandom(1));
	directory.update(records, 0);
	return directory;
}

function query(changes: Partial<ServerQuery> = {}): ServerQuery {
	return {
		service: 'desk', zone: 'z1', exclude: new Set(), maxInFlight: 10, nowMs: 0, ...changes,
	};
}

/** Chooses a server 60 times and returns the ids of the chosen servers, without duplicates; 'none' stands for a choice that gave no server. */
function chosenIds(directory: ServerDirectory, question: ServerQuery, choose: 'choose' | 'chooseDecodeEngine' | 'choosePrefillEngine' = 'choose'): string[] {
	const ids = Array.from({length: 60}, () => directory[choose](question)?.record.id ?? 'none');
	return [...new Set(ids)].sort();
}

test('a leaving server and a server that is no longer listed get no new work', () => {
	const directory = buildDirectory([buildServer({id: 'a'}), buildServer({id: 'b', state: 'leaving'}), buildServer({id: 'c'})]);
	assert.deepEqual(chosenIds(directory, query()), ['a', 'c']);
	const {changed, removed} = directory.update([buildServer({id: 'a', state: 'leaving'}), buildServer({id: 'b'})], 1);
	assert.equal(changed.length, 2);
	assert.equal(removed.length, 1);
	assert.deepEqual(chosenIds(directory, query()), ['b']);
});

test('a server that one entry shows as leaving gets no new work, although another entry shows it as ready', () => {
	const [ready, leaving] = [buildServer({id: 'a'}), buildServer({id: 'a', state: 'leaving'})];
	assert.deepEqual(chosenIds(buildDirectory([ready, leaving]), query()), ['none']);
	assert.deepEqual(chosenIds(buildDirectory([leaving, ready]), query()), ['none']);
});

test('a server that restarts under the same id is treated as another server', () => {
	const directory = buildDirectory([buildServer({bornMs: 1})]);
	const before = directory.choose(query())!;
	directory.update([buildServer({bornMs: 2})], 1);
	assert.equal(directory.get(before.key), undefined);
	assert.notEqual(directory.choose(query())!.key, before.key);
});

test('a server that fails several times in a row is ejected, and ejected servers are used only if all servers are ejected', () => {
	const directory = buildDirectory([buildServer({id: 'a'}), buildServer({id: 'b'})]);
	const [a] = [...directory.servers];
	const isEjected = [1, 2, 3].map(() => directory.recordFailure(a!, false, 0));
	assert.deepEqual(isEjected, [false, false, true]);
	assert.deepEqual(chosenIds(directory, query()), ['b']);
	// If the healthy server was already tried, no server is chosen, since an ejected server would only use up the time of the request.
	assert.deepEqual(chosenIds(directory, query({exclude: new Set(['desk 127.0.0.1:1 b '])})), ['none']);
	const [, b] = [...directory.servers];
	assert.equal(directory.recordFailure(b!, true, 0), true);
	assert.ok(!chosenIds(directory, query()).includes('none'));
	assert.equal(a!.ejection.recordProbe(true, 600), true);
	assert.deepEqual(chosenIds(directory, query()), ['a']);
});

test('a server that fails some of its requests gets no work while other servers are healthy', () => {
	const directory = buildDirectory([buildServer({id: 'a'}), buildServer({id: 'b'}), buildServer({id: 'c'})]);
	const flaky = directory.choose(query())!;
	for (let i = 0; i < 20; i++) {
		directory.recordAnswer(flaky, i % 2 === 0, 20, 0);
	}

	assert.ok(!chosenIds(directory, query()).includes(flaky.record.id));
});

test('a reservation goes to the decode engine with the fewest reserved tokens, and engines that recently refused a reservation rank last', () => {
	const engine = (id: string, stage: 'prefill' | 'decode') => buildServer({id, stage});
	const directory = buildDirectory([engine('p', 'prefill'), engine('a', 'decode'), engine('b', 'decode')]);
	const first = directory.chooseDecodeEngine(query())!;
	directory.beginWork(first, 20_000);
	const second = directory.chooseDecodeEngine(query())!;
	assert.notEqual(second, first);
	directory.recordRefusal(second, 0);
	assert.equal(directory.chooseDecodeEngine(query()), first);
	assert.deepEqual(chosenIds(directory, query(), 'choosePrefillEngine'), ['p']);
});

test('a server with the maximum number of exchanges in progress is not chosen until one of them ends', () => {
	const directory = buildDirectory([buildServer()]);
	const server = directory.choose(query({maxInFlight: 1}))!;
	directory.beginWork(server);
	assert.equal(directory.choose(query({maxInFlight: 1})), undefined);
	directory.endWork(server);
	assert.equal(directory.choose(query({maxInFlight: 1})), server);
});

/** Simulates the requests of one process to three servers, one of which leaves a share of them unanswered until `silentUntilMs`. */
function simulateSilentServer(unansweredShare: number, silentUntilMs: number): {readonly unanswered: number; readonly sentWhileSilent: number; readonly sentAfterRecovery: number} {
	const directory = buildDirectory(['a', 'b', 'c'].map(id => buildServer({id})));
	const silent = [...directory.servers][0]!;
	const random = new SeededRandom(7);
	const timeoutMs = 1200;
	const pending: Array<{readonly atMs: number; readonly end: () => void}> = [];
	const counts = {unanswered: 0, sentWhileSilent: 0, sentAfterRecovery: 0};
	for (let nowMs = 0; nowMs < 30_000; nowMs += 10) {
		for (const {end} of pending.filter(({atMs}) => atMs === nowMs)) {
			end();
		}

		if (random.next() >= 0.05) {
			continue;
		}

		const server = directory.choose(query({nowMs}))!;
		const exchange = directory.beginExchange(server, nowMs);
		const isUnanswered = server === silent && nowMs < silentUntilMs && random.next() < unansweredShare;
		counts.unanswered += isUnanswered ? 1 : 0;
		counts.sentWhileSilent += server === silent && nowMs < silentUntilMs ? 1 : 0;
		counts.sentAfterRecovery += server === silent && nowMs >= silentUntilMs ? 1 : 0;
		const workMs = random.integer(2, 8) * 10;
		const atMs = nowMs + (isUnanswered ? timeoutMs : workMs);
		pending.push({
			atMs, end() {
				if (isUnanswered) {
					assert.equal(directory.recordOverdue(server, exchange, atMs), true);
				} else {
					directory.recordAnswer(server, true, workMs, atMs);
				}

				directory.endExchange(server, exchange);
			},
		});
	}

	return counts;
}

test('a server that leaves some requests unanswered gets only a few requests, and its usual share once it answers again', () => {
	const silentUntilMs = 15_000;
	const {unanswered, sentWhileSilent, sentAfterRecovery} = simulateSilentServer(0.4, silentUntilMs);
	// If unanswered requests did not count against it, the silent server would get a third of the about 75 requests sent until `silentUntilMs`.
	assert.ok(sentWhileSilent <= 8, `${sentWhileSilent} sent while silent, ${unanswered} unanswered`);
	assert.ok(sentAfterRecovery >= 12, `${sentAfterRecovery} sent after recovery`);
});

test('an unanswered request does not count as a failure if the server had no more time than its answers may normally take', () => {
	const directory = buildDirectory([buildServer()]);
	const [server] = [...directory.servers];
	const exchange = directory.beginExchange(server!, 0);
	assert.equal(directory.recordOverdue(server!, exchange, 50), false);
	assert.equal(server!.failureShare, 0);
});

test('a prefill engine counts as accepting prompts for a time after a success, until it fails or refuses one, so that decode engines need not prefill', () => {
	const directory = buildDirectory([buildServer({id: 'p', stage: 'prefill'}), buildServer({id: 'd', stage: 'decode'})]);
	const [prefill] = directory.readyServers('desk', 'prefill');
	assert.equal(directory.hasAcceptingPrefillEngine('desk', 0), false, 'no answer has arrived yet');
	directory.recordAnswer(prefill!, true, 100, 500);
	assert.equal(directory.hasAcceptingPrefillEngine('desk', 1500), true);
	assert.equal(directory.hasAcceptingPrefillEngine('desk', 1501), false, 'the success was too long ago');
	directory.recordAnswer(prefill!, true, 100, 2000);
	directory.recordRefusal(prefill!, 2100);
	assert.equal(directory.hasAcceptingPrefillEngine('desk', 2200), false);
	directory.recordAnswer(prefill!, true, 100, 2300);
	directory.recordFailure(prefill!, false, 2400);
	assert.equal(directory.hasAcceptingPrefillEngine('desk', 2500), false);
});

test('servers of an evacuated zone get no work, not even if all others fail, until the evacuation is withdrawn', () => {
	const directory = buildDirectory([
		buildServer({id: 'a'}), buildServer({id: 'b', zone: 'z2'}), ...['prefill', 'decode'].flatMap(stage => ['z1', 'z2'].map(zone =>
			buildServer({
				id: `${stage}-${zone}`, zone, service: 'models', stage: stage as 'prefill' | 'decode',
			}))),
	]);
	const model = query({service: 'models'});
	directory.setEvacuatedZones(new Set(['z1']), 0);
	assert.deepEqual(chosenIds(directory, query()), ['b']);
	assert.deepEqual(chosenIds(directory, model, 'chooseDecodeEngine'), ['decode-z2']);
	assert.deepEqual(chosenIds(directory, model, 'choosePrefillEngine'), ['prefill-z2']);
	const [a, b] = [...directory.servers];
	directory.recordFailure(b!, true, 0);
	assert.deepEqual(chosenIds(directory, query()), ['b']);
	assert.equal(directory.isAcceptingWork(a!, 0), false, 'a reservation that was made before is not used');
	assert.equal(directory.isServiceEvacuated('desk'), false);
	directory.setEvacuatedZones(new Set(['z1', 'z2']), 0);
	assert.deepEqual([...chosenIds(directory, query()), ...chosenIds(directory, model, 'chooseDecodeEngine')], ['none', 'none']);
	assert.deepEqual(['desk', 'models', 'unknown'].map(service => directory.isServiceEvacuated(service)), [true, true, false]);
	directory.setEvacuatedZones(new Set(), 0);
	assert.deepEqual(chosenIds(directory, model, 'chooseDecodeEngine'), ['decode-z1']);
});
