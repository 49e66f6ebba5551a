import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {SeededRandom} from '../core/random.js';
import {buildServer} from './fixtures.js';
import {ServerListReplica, ServerListPublisher} from './server-list-feed.js';
import type {ListUpdate, ReceivedList} from './server-list-feed.js';
import {serverKey} from './types.js';
import type {ServerRecord} from './types.js';

const keysAndStates = (records: readonly ServerRecord[]) => records.map(record => `${serverKey(record)} ${record.state}`).sort();

/** Returns the list after random changes: servers are added, begin to leave or are removed. */
function randomNextList(list: readonly ServerRecord[], random: SeededRandom, serial: number): ServerRecord[] {
	const kept = list.filter(() => random.next() > 0.1).map(record => random.next() > 0.1 ? record : {...record, state: 'leaving' as const});
	return random.next() < 0.5 ? [...kept, buildServer({id: `s${serial}`})] : kept;
}

test('a replica that gets an update has the same list as the polling process, however many replies were lost and however often another process took over polling', () => {
	fc.assert(fc.property(fc.integer(), fc.double({min: 0, max: 0.6, noNaN: true}), (seed, lostShare) => {
		const random = new SeededRandom(seed);
		const replica = new ServerListReplica();
		let term = 1;
		let publisher = new ServerListPublisher(term);
		let list: ServerRecord[] = [];
		for (let step = 1; step <= 400; step++) {
			list = randomNextList(list, random, step);
			if (random.next() < 0.02) {
				publisher = new ServerListPublisher(++term);
			}

			publisher.apply(list, step * 1000);
			const update = publisher.updateSince(replica.position, (step * 1000) + 100)!;
			if (random.next() >= lostShare) {
				const received = replica.apply(update, (step * 1000) + 90);
				assert.deepEqual(keysAndStates(received.records), keysAndStates(list));
			}
		}
	}), {seed: 1, numRuns: 50});
});

test('after the first whole list, an update contains only the differences from the list that the replica has', () => {
	const replica = new ServerListReplica();
	const publisher = new ServerListPublisher(1);
	const list = Array.from({length: 100}, (_, i) => buildServer({id: `s${i}`, coldLeftMs: 5000}));
	const sync = (nowMs: number): [ListUpdate, ReceivedList] => {
		const update = publisher.updateSince(replica.position, nowMs)!;
		return [update, replica.apply(update, nowMs)];
	};

	publisher.apply(list, 0);
	assert.equal(sync(10)[1].isChanged, true);
	// A shorter remaining warm-up time alone needs no update, since it changes with every poll.
	assert.equal(publisher.apply(list.map(record => ({...record, coldLeftMs: 4000})), 1000), false);
	const [unchanged, received] = sync(1010);
	assert.deepEqual([unchanged.isWhole, unchanged.changed.length, unchanged.removed.length, received.isChanged], [false, 0, 0, false]);
	const warming = list.map(record => ({...record, coldLeftMs: 3000}));
	assert.equal(publisher.apply([{...warming[0]!, state: 'leaving'}, ...warming.slice(2)], 2000), true);
	const [update] = sync(2010);
	assert.deepEqual([update.isWhole, update.changed.length, update.removed.length], [false, 1, 1]);
	// A longer remaining time means that the server has become cold again.
	const later = warming.map(record => ({...record, coldLeftMs: 2000}));
	assert.equal(publisher.apply([{...later[0]!, state: 'leaving'}, {...later[2]!, coldLeftMs: 5000}, ...later.slice(3)], 3000), true);
	assert.deepEqual(sync(3010)[0].changed.map(({id, coldLeftMs}) => `${id} ${coldLeftMs}`), ['s2 5000']);
});

test('the age of a list includes the time that the reply was in transit', () => {
	const replica = new ServerListReplica();
	const publisher = new ServerListPublisher(1);
	publisher.apply([buildServer({id: 'a'})], 1000);
	const update = publisher.updateSince(replica.position, 1300)!;
	// The receiver sent the request at 50,000 ms on its own clock, so the list, 300 ms old at the publisher, was requested at 49,700 ms at the earliest.
	assert.equal(replica.apply(update, 50_000).requestedMs, 50_000 - 300);
});
