import assert from 'node:assert/strict';
import {test} from 'node:test';
import {ManualClock} from '../../common/core/clock.js';
import {StartupGate} from './startup-gate.js';

test('guards against a herd that restarts and refuses every request until its first configuration comes: they wait for it', async () => {
	const gate = new StartupGate(new ManualClock());
	const passed = [1, 2].map(async () => gate.passed(14_000));
	assert.equal(gate.waiting, 2);
	gate.open();
	await Promise.all(passed);
	assert.equal(gate.waiting, 0);
	await gate.passed(14_000);
});

test('a request waits for a part of its caller\'s time, and not at all when no configuration comes for long', async () => {
	const clock = new ManualClock();
	const gate = new StartupGate(clock);
	const passed = gate.passed(80);
	assert.equal(gate.waiting, 1);
	await passed;
	clock.advance(3000);
	const late = gate.passed(14_000);
	assert.equal(gate.waiting, 0);
	await late;
});
