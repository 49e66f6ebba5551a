import assert from 'node:assert/strict';
import {test} from 'node:test';
import {ManualClock} from '../../common/core/clock.js';
import {StartupGate} from './startup-gate.js';

test('requests wait for the first configuration after a restart of all processes instead of being refused', async () => {
	const gate = new StartupGate(new ManualClock());
	const waits = [1, 2].map(async () => gate.waitUntilOpen(14_000));
	assert.equal(gate.waitingCount, 2);
	gate.open();
	await Promise.all(waits);
	assert.equal(gate.waitingCount, 0);
	await gate.waitUntilOpen(14_000);
});

test('a request waits for the first configuration only for a share of its caller\'s time, and not at all after the startup window', async () => {
	const clock = new ManualClock();
	const gate = new StartupGate(clock);
	const wait = gate.waitUntilOpen(80);
	assert.equal(gate.waitingCount, 1);
	await wait;
	clock.advance(3000);
	const lateWait = gate.waitUntilOpen(14_000);
	assert.equal(gate.waitingCount, 0);
	await lateWait;
});
