import assert from 'node:assert/strict';
import {test} from 'node:test';
import {comparePlacement} from './compare-placement.js';
import {Timeline} from './timeline.js';

const smallPool = {
	engines: 6, entryVms: 10, durationMs: 20_000, seed: 5,
};

test('under overload, one scheduler per shard wastes less prefill than the policy `sampled` and has a higher goodput than the policy `leased`, and equal seeds give equal results', () => {
	const results = comparePlacement({...smallPool, load: 1.5});
	assert.deepEqual(comparePlacement({...smallPool, load: 1.5}), results);
	const [sampled, leased, shard] = results as [typeof results[0], typeof results[0], typeof results[0]];
	assert.ok(shard.wastedPrefill <= 0.01 && shard.wastedPrefill < sampled.wastedPrefill);
	assert.ok(shard.goodputPerSecond > leased.goodputPerSecond);
});

test('the goodput of one scheduler per shard falls by at most 10% when the offered load rises from 1.2 to 3 times the capacity', () => {
	const [full, overloaded] = [1.2, 3].map(load => comparePlacement({...smallPool, load})[2]!);
	assert.ok(overloaded!.goodputPerSecond >= 0.9 * full!.goodputPerSecond, `${full!.goodputPerSecond} became ${overloaded!.goodputPerSecond}`);
});

test('the timeline runs actions in order of time, and in order of insertion at equal times', () => {
	const timeline = new Timeline();
	const seen: string[] = [];
	for (const [atMs, name] of [[5, 'c'], [1, 'a'], [5, 'd'], [2, 'b'], [9, 'late']] as const) {
		timeline.scheduleAt(atMs, () => {
			seen.push(name);
		});
	}

	timeline.runUntil(8);
	assert.equal(seen.join(''), 'abcd');
});
