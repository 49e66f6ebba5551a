import assert from 'node:assert/strict';
import {test} from 'node:test';
import {ManualClock} from './clock.js';

test('a manual clock starts at its initial time and advances by exactly the time that advance() is given', () => {
	const clock = new ManualClock(5);
	assert.equal(clock.nowMs(), 5);
	clock.advance(10);
	assert.equal(clock.nowMs(), 15);
});
