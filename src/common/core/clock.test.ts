import assert from 'node:assert/strict';
import {test} from 'node:test';
import {ManualClock} from './clock.js';

test('a manual clock advances only by the time passed to advance', () => {
	const clock = new ManualClock(5);
	assert.equal(clock.nowMs(), 5);
	clock.advance(10);
	assert.equal(clock.nowMs(), 15);
});
