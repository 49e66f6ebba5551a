import assert from 'node:assert/strict';
import {test} from 'node:test';
import {SeededRandom} from '../core/random.js';
import {buildServer} from './fixtures.js';
import {ServerDirectory} from './server-directory.js';
import type {ServerQuestion} from './server-directory.js';
import type {ServerRecord} from './types.js';

function build(records: readonly ServerRecord[]): ServerDirectory {
	const directory = new ServerDirectory(new SeededRandom(1));
	directory.update(records, 0);
	return directory;
}

function ask(changes: Partial<ServerQuestion> = {}): ServerQuestion {
	return {
		service: 'desk', zone: 'z1', exclude: new Set(), maxInFlight: 10, nowMs: 0, ...changes,
	};
}

/** Ids of the servers that 60 questions were answered with. */
function chosenIds(directory: ServerDirectory, question: ServerQuestion, choose: 'choose' | 'chooseDecode' | 'choosePrefill' = 'choose'): string[] {
	const ids = Array.from({length: 60}, () => directory[choose](question)?.record.id ?? 'none');
	return [...new Set(ids)].sort();
}

test('a leaving server and one that the list lacks get no new work', () => {
	const directory = build([buildServer({id: 'a'}), buildServer({id: 'b', state: 'leaving'}), buildServer({id: 'c'})]);
	assert.deepEqual(chosenIds(directory, ask()), ['a', 'c']);
	const {changed, removed} = directory.update([buildServer({id: 'a', state: 'leaving'}), buildServer({id: 'b'})], 1);
	assert.equal(changed.length, 2);
	assert.equal(removed.length, 1);
	assert.deepEqual(chosenIds(directory, ask()), ['b']);
});

test('a server that starts again under its former id is another server', () => {
	const directory = build([buildServer({bornMs: 1})]);
	const before = directory.choose(ask())!;
	directory.update([buildServer({bornMs: 2})], 1);
	assert.equal(directory.get(before.key), undefined);
	assert.notEqual(directory.choose(ask())!.key, before.key);
});

test('a server that fails several times in a row is passed over, and used when every server is', () => {
	const directory = build([buildServer({id: 'a'}), buildServer({id: 'b'})]);
	const [a] = [...directory.servers];
	const isEjected = [1, 2, 3].map(() => directory.recordFailure(a!, false, 0));
	assert.deepEqual(isEjected, [false, false, true]);
	assert.deepEqual(chosenIds(directory, ask()), ['b']);
	// The healthy server was tried already: a dark one would only cost the request its time.
	assert.deepEqual(chosenIds(directory, ask({exclude: new Set(['desk 127.0.0.1:1 b '])})), ['none']);
	const [, b] = [...directory.servers];
	assert.equal(directory.recordFailure(b!, true, 0), true);
	assert.ok(!chosenIds(directory, ask()).includes('none'));
	assert.equal(a!.ejection.recordProbe(true, 600), true);
	assert.deepEqual(chosenIds(directory, ask()), ['a']);
});

test('guards against a grey server: one that fails part of its requests gets few of them', () => {
	const directory = build([buildServer({id: 'a'}), buildServer({id: 'b'}), buildServer({id: 'c'})]);
	const grey = directory.choose(ask())!;
	for (let i = 0; i < 20; i++) {
		directory.recordAnswer(grey, i % 2 === 0, 20, 0);
	}

	assert.ok(!chosenIds(directory, ask()).includes(grey.record.id));
});

test('prompts go to the decode engine with the most room, to one that refused memory last', () => {
	const engine = (id: string, stage: 'prefill' | 'decode') => buildServer({id, stage});
	const directory = build([engine('p', 'prefill'), engine('a', 'decode'), engine('b', 'decode')]);
	const first = directory.chooseDecode(ask())!;
	directory.begin(first, 20_000);
	const second = directory.chooseDecode(ask())!;
	assert.notEqual(second, first);
	directory.refusedReservation(second, 0);
	assert.equal(directory.chooseDecode(ask()), first);
	assert.deepEqual(chosenIds(directory, ask(), 'choosePrefill'), ['p']);
});

test('no server gets more connections than this process may have', () => {
	const directory = build([buildServer()]);
	const server = directory.choose(ask({maxInFlight: 1}))!;
	directory.begin(server);
	assert.equal(directory.choose(ask({maxInFlight: 1})), undefined);
	directory.end(server);
	assert.equal(directory.choose(ask({maxInFlight: 1})), server);
});

/** Requests of one process to three servers, one of which leaves part of them unanswered until `muteUntilMs`. */
function playMuteServer(muteShare: number, muteUntilMs: number): {readonly unanswered: number; readonly sentToMute: number; readonly sentLater: number} {
	const directory = build(['a', 'b', 'c'].map(id => buildServer({id})));
	const mute = [...directory.servers][0]!;
	const random = new SeededRandom(7);
	const timeoutMs = 1200;
	const pending: Array<{readonly atMs: number; readonly end: () => void}> = [];
	const counts = {unanswered: 0, sentToMute: 0, sentLater: 0};
	for (let nowMs = 0; nowMs < 30_000; nowMs += 10) {
		for (const {end} of pending.filter(({atMs}) => atMs === nowMs)) {
			end();
		}

		if (random.next() >= 0.05) {
			continue;
		}

		const server = directory.choose(ask({nowMs}))!;
		const exchange = directory.beginExchange(server, nowMs);
		const isMute = server === mute && nowMs < muteUntilMs && random.next() < muteShare;
		counts.unanswered += isMute ? 1 : 0;
		counts.sentToMute += server === mute && nowMs < muteUntilMs ? 1 : 0;
		counts.sentLater += server === mute && nowMs >= muteUntilMs ? 1 : 0;
		const workMs = random.integer(2, 8) * 10;
		const atMs = nowMs + (isMute ? timeoutMs : workMs);
		pending.push({
			atMs, end() {
				if (isMute) {
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

test('guards against a mute server: one that leaves part of its requests unanswered gets few of them, and its share when it answers again', () => {
	const muteUntilMs = 15_000;
	const {unanswered, sentToMute, sentLater} = playMuteServer(0.4, muteUntilMs);
	// A third of about 75 requests would go there.
	assert.ok(sentToMute <= 8, `${sentToMute} sent to it, ${unanswered} unanswered`);
	assert.ok(sentLater >= 12, `${sentLater} sent to it later`);
});

test('a server that had little time for its answer is not blamed', () => {
	const directory = build([buildServer()]);
	const [server] = [...directory.servers];
	const exchange = directory.beginExchange(server!, 0);
	assert.equal(directory.recordOverdue(server!, exchange, 50), false);
	assert.equal(server!.failureShare, 0);
});

test('guards against prompts that decode engines read although a prefill engine takes them: it is sound until it fails or turns one away', () => {
	const directory = build([buildServer({id: 'p', stage: 'prefill'}), buildServer({id: 'd', stage: 'decode'})]);
	const [prefill] = directory.ready('desk', 'prefill');
	assert.equal(directory.hasSoundPrefill('desk', 0), false, 'nothing is known of it');
	directory.recordAnswer(prefill!, true, 100, 500);
	assert.equal(directory.hasSoundPrefill('desk', 1500), true);
	assert.equal(directory.hasSoundPrefill('desk', 1501), false, 'too long ago');
	directory.recordAnswer(prefill!, true, 100, 2000);
	directory.refusedReservation(prefill!, 2100);
	assert.equal(directory.hasSoundPrefill('desk', 2200), false);
	directory.recordAnswer(prefill!, true, 100, 2300);
	directory.recordFailure(prefill!, false, 2400);
	assert.equal(directory.hasSoundPrefill('desk', 2500), false);
});
