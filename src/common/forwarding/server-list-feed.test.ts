import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {SeededRandom} from '../core/random.js';
import {buildServer} from './fixtures.js';
import {ServerListCopy, ServerListLog} from './server-list-feed.js';
import type {ListUpdate, ReceivedList} from './server-list-feed.js';
import {serverKey} from './types.js';
import type {ServerRecord} from './types.js';

const keysOf = (records: readonly ServerRecord[]) => records.map(record => `${serverKey(record)} ${record.state}`).sort();

/** A list that changes at random: servers come, leave and go. */
function nextList(list: readonly ServerRecord[], random: SeededRandom, serial: number): ServerRecord[] {
	const kept = list.filter(() => random.next() > 0.1).map(record => random.next() > 0.1 ? record : {...record, state: 'leaving' as const});
	return random.next() < 0.5 ? [...kept, buildServer({id: `s${serial}`})] : kept;
}

test('a copy equals the list at its reader whatever answers are lost and however often the reader changes', () => {
	fc.assert(fc.property(fc.integer(), fc.double({min: 0, max: 0.6, noNaN: true}), (seed, lostShare) => {
		const random = new SeededRandom(seed);
		const copy = new ServerListCopy();
		let term = 1;
		let log = new ServerListLog(term);
		let list: ServerRecord[] = [];
		for (let step = 1; step <= 400; step++) {
			list = nextList(list, random, step);
			if (random.next() < 0.02) {
				log = new ServerListLog(++term);
			}

			log.take(list, step * 1000);
			const update = log.since(copy.position, (step * 1000) + 100)!;
			if (random.next() >= lostShare) {
				const received = copy.take(update, (step * 1000) + 90);
				assert.deepEqual(keysOf(received.records), keysOf(list));
			}
		}
	}), {seed: 1, numRuns: 50});
});

test('guards against a whole list in every answer', () => {
	const copy = new ServerListCopy();
	const log = new ServerListLog(1);
	const list = Array.from({length: 100}, (_, i) => buildServer({id: `s${i}`, coldLeftMs: 5000}));
	const ask = (nowMs: number): [ListUpdate, ReceivedList] => {
		const update = log.since(copy.position, nowMs)!;
		return [update, copy.take(update, nowMs)];
	};

	log.take(list, 0);
	assert.equal(ask(10)[1].isChanged, true);
	// How much longer servers are slow is no news.
	assert.equal(log.take(list.map(record => ({...record, coldLeftMs: 4000})), 1000), false);
	const [unchanged, received] = ask(1010);
	assert.deepEqual([unchanged.isWhole, unchanged.changed.length, unchanged.removed.length, received.isChanged], [false, 0, 0, false]);
	assert.equal(log.take([{...list[0]!, state: 'leaving'}, ...list.slice(2)], 2000), true);
	const [update] = ask(2010);
	assert.deepEqual([update.isWhole, update.changed.length, update.removed.length], [false, 1, 1]);
});

test('guards against a list that counts as younger than it is, since its answer was on its way', () => {
	const copy = new ServerListCopy();
	const log = new ServerListLog(1);
	log.take([buildServer({id: 'a'})], 1000);
	const update = log.since(copy.position, 1300)!;
	// By the receiver's clock the question was sent at 50,000 ms; when the answer arrives says nothing.
	assert.equal(copy.take(update, 50_000).askedMs, 50_000 - 300);
});
