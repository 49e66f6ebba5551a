import assert from 'node:assert/strict';
import {test} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {MonotonicClock} from './clock.js';
import {DeadlineTimer} from './deadline-timer.js';

function makeTimer() {
	const clock = new MonotonicClock();
	const state = {dueMs: Infinity, fired: 0};
	const timer = new DeadlineTimer(clock, () => state.dueMs, () => {
		state.fired++;
		state.dueMs = Infinity;
	});
	return {clock, state, timer};
}

test('a part without a deadline is not woken, and a deadline that is brought forward is kept', async () => {
	const {clock, state, timer} = makeTimer();
	timer.update();
	await sleep(30);
	assert.equal(state.fired, 0);
	state.dueMs = clock.nowMs() + 60_000;
	timer.update();
	state.dueMs = clock.nowMs() + 20;
	timer.update();
	while (state.fired === 0) {
		await sleep(5);
	}

	assert.equal(state.fired, 1);
	timer.dispose();
});

test('a deadline that moved back fires once, at its new time', async () => {
	const {clock, state, timer} = makeTimer();
	state.dueMs = clock.nowMs() + 10;
	timer.update();
	const laterMs = clock.nowMs() + 80;
	state.dueMs = laterMs;
	while (state.fired === 0) {
		await sleep(5);
	}

	assert.ok(clock.nowMs() >= laterMs);
	assert.equal(state.fired, 1);
	timer.dispose();
});
