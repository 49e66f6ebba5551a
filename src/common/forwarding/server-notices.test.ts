import assert from 'node:assert/strict';
import {test} from 'node:test';
import {SeededRandom} from '../core/random.js';
import {buildServer} from './fixtures.js';
import {ServerDirectory} from './server-directory.js';
import type {ServerRecord} from './types.js';

const question = {
	service: 'desk', zone: 'z1', exclude: new Set<string>(), maxInFlight: 10,
};

function build(records: readonly ServerRecord[]): ServerDirectory {
	const directory = new ServerDirectory(new SeededRandom(1));
	directory.update(records, 0);
	return directory;
}

test('guards against work for a server that says it leaves while the list says that it is ready, or lacks it for a moment', () => {
	const [a, b] = ['a', 'b'].map(id => buildServer({id, bornMs: 1}));
	const directory = build([a!, b!]);
	const leaving = [...directory.servers].find(({record}) => record.id === 'a')!;
	assert.equal(directory.notices.noteLeaving(leaving.key, 10), true);
	assert.equal(directory.notices.noteLeaving(leaving.key, 20), false);
	directory.update([b!], 1000);
	directory.update([a!, b!], 2000);
	const chosen = Array.from({length: 40}, () => directory.choose({...question, nowMs: 8000})!.record.id);
	assert.deepEqual([...new Set(chosen)], ['b']);
	directory.update([a!], 9000);
	assert.equal(directory.choose({...question, nowMs: 9000}), undefined, 'also if it is the last one');
	directory.update([{...a!, bornMs: 2}], 10_000);
	assert.ok(directory.choose({...question, nowMs: 10_000}), 'a later start of the server did not say so');
});

test('guards against work for a server that wants none for a time; all paused tell when to return', () => {
	const directory = build([buildServer({id: 'a'}), buildServer({id: 'b'})]);
	const [a, b] = [...directory.servers];
	directory.notices.notePause(a!.key, 2000, 0);
	directory.notices.notePause(a!.key, 500, 100);
	assert.equal(directory.resumesInMs('desk', 100), undefined);
	assert.equal(directory.choose({...question, nowMs: 1500}), b);
	directory.notices.notePause(b!.key, 800, 100);
	assert.equal(directory.choose({...question, nowMs: 100}), undefined);
	assert.equal(directory.resumesInMs('desk', 100), 800);
	assert.equal(directory.choose({...question, nowMs: 950}), b);
	assert.equal(directory.mayTake(a!, 1999), false);
	assert.equal(directory.mayTake(a!, 2000), true);
});

test('notices are bounded: those that no longer count make room, then the oldest', () => {
	const {notices} = build([]);
	notices.noteLeaving('first', 0);
	for (let i = 0; i < 5000; i++) {
		notices.notePause(`server-${i}`, 10, i);
	}

	assert.equal(notices.isLeaving('first', 5000), true);
	for (let i = 0; i < 5000; i++) {
		notices.noteLeaving(`leaving-${i}`, 6000);
	}

	assert.equal(notices.isLeaving('first', 6000), false);
	assert.equal(notices.isLeaving('leaving-4999', 6000), true);
});
