import assert from 'node:assert/strict';
import {test} from 'node:test';
import {SeededRandom} from '../core/random.js';
import {buildServer} from './fixtures.js';
import {ServerDirectory} from './server-directory.js';
import type {ServerRecord} from './types.js';

const query = {
	service: 'desk', zone: 'z1', exclude: new Set<string>(), maxInFlight: 10,
};

function buildDirectory(records: readonly ServerRecord[]): ServerDirectory {
	const directory = new ServerDirectory(new SeededRandom(1));
	directory.update(records, 0);
	return directory;
}

test('a server that announced that it is leaving gets no work, even if the server list still shows the server as ready or omits it for a moment', () => {
	const [a, b] = ['a', 'b'].map(id => buildServer({id, bornMs: 1}));
	const directory = buildDirectory([a!, b!]);
	const leaving = [...directory.servers].find(({record}) => record.id === 'a')!;
	assert.equal(directory.notices.recordLeaving(leaving.key, 10), true);
	assert.equal(directory.notices.recordLeaving(leaving.key, 20), false);
	directory.update([b!], 1000);
	directory.update([a!, b!], 2000);
	const chosen = Array.from({length: 40}, () => directory.choose({...query, nowMs: 8000})!.record.id);
	assert.deepEqual([...new Set(chosen)], ['b']);
	directory.update([a!], 9000);
	assert.equal(directory.choose({...query, nowMs: 9000}), undefined, 'a leaving server gets no work even if it is the only server');
	directory.update([{...a!, bornMs: 2}], 10_000);
	assert.ok(directory.choose({...query, nowMs: 10_000}), 'the restarted server has not announced that it is leaving');
});

test('a paused server gets no work, and if all servers are paused, the directory tells how long it takes until the first of them resumes', () => {
	const directory = buildDirectory([buildServer({id: 'a'}), buildServer({id: 'b'})]);
	const [a, b] = [...directory.servers];
	directory.notices.recordPause(a!.key, 2000, 0);
	directory.notices.recordPause(a!.key, 500, 100);
	assert.equal(directory.earliestResumeInMs('desk', 100), undefined);
	assert.equal(directory.choose({...query, nowMs: 1500}), b);
	directory.notices.recordPause(b!.key, 800, 100);
	assert.equal(directory.choose({...query, nowMs: 100}), undefined);
	assert.equal(directory.earliestResumeInMs('desk', 100), 800);
	assert.equal(directory.choose({...query, nowMs: 950}), b);
	assert.equal(directory.isAcceptingWork(a!, 1999), false);
	assert.equal(directory.isAcceptingWork(a!, 2000), true);
});

test('the number of notices is bounded: expired notices are evicted first, then the oldest', () => {
	const {notices} = buildDirectory([]);
	notices.recordLeaving('first', 0);
	for (let i = 0; i < 5000; i++) {
		notices.recordPause(`server-${i}`, 10, i);
	}

	assert.equal(notices.isLeaving('first', 5000), true);
	for (let i = 0; i < 5000; i++) {
		notices.recordLeaving(`leaving-${i}`, 6000);
	}

	assert.equal(notices.isLeaving('first', 6000), false);
	assert.equal(notices.isLeaving('leaving-4999', 6000), true);
});
