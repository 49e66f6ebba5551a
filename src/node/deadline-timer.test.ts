import assert from 'node:assert/strict';
import {test} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {SystemClock} from './clock.js';
import {DeadlineTimer} from './deadline-timer.js';

function makeTimer() {
	const clock = new SystemClock();
	const state = {deadlineMs: Infinity, fireCount: 0};
	const timer = new DeadlineTimer(clock, () => state.deadlineMs, () => {
		state.fireCount++;
		state.deadlineMs = Infinity;
	});
	return {clock, state, timer};
}

test('the timer does not fire while there is no deadline, and fires for a deadline that has moved to an earlier time', async () => {
	const {clock, state, timer} = makeTimer();
	timer.rearmIfEarlier();
	await sleep(30);
	assert.equal(state.fireCount, 0);
	state.deadlineMs = clock.nowMs() + 60_000;
	timer.rearmIfEarlier();
	state.deadlineMs = clock.nowMs() + 20;
	timer.rearmIfEarlier();
	while (state.fireCount === 0) {
		await sleep(5);
	}

	assert.equal(state.fireCount, 1);
	timer.dispose();
});

test('after the deadline has moved to a later time, the timer fires once, and not before the new deadline', async () => {
	const {clock, state, timer} = makeTimer();
	state.deadlineMs = clock.nowMs() + 10;
	timer.rearmIfEarlier();
	const laterMs = clock.nowMs() + 80;
	state.deadlineMs = laterMs;
	while (state.fireCount === 0) {
		await sleep(5);
	}

	assert.ok(clock.nowMs() >= laterMs);
	assert.equal(state.fireCount, 1);
	timer.dispose();
});
