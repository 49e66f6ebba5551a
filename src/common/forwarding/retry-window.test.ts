import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {RetryWindow} from './retry-window.js';

const limits = {ratio: 0.2, windowMs: 10_000, slack: 22};

test('the slack is divided among processes and comes back with the window', () => {
	const window = new RetryWindow(limits);
	const taken = (nowMs: number) => Array.from({length: 5}, () => window.takeRetry(nowMs, 11)).filter(Boolean).length;
	assert.equal(taken(0), 2);
	assert.equal(taken(9000), 0);
	assert.equal(taken(11_900), 0);
	assert.equal(taken(12_000), 2);
});

test('a retry that arrives twice takes two, or none', () => {
	const window = new RetryWindow({...limits, slack: 3});
	assert.equal(window.takeRetry(0, 1, 2), true);
	assert.equal(window.takeRetry(0, 1, 2), false);
	assert.equal(window.takeRetry(0, 1), true);
});

test('guards against retries of several processes beyond the common bound in any window', () => {
	const processes = 4;
	const step = fc.record({process: fc.integer({min: 0, max: processes - 1}), afterMs: fc.integer({min: 0, max: 900}), sends: fc.integer({min: 0, max: 6})});
	fc.assert(fc.property(fc.array(step, {maxLength: 150}), steps => {
		const windows = Array.from({length: processes}, () => new RetryWindow(limits));
		const sends: number[] = [];
		const retries: number[] = [];
		let nowMs = 0;
		for (const {process, afterMs, sends: count} of steps) {
			nowMs += afterMs;
			for (let i = 0; i < count; i++) {
				windows[process]!.countSend(nowMs);
				sends.push(nowMs);
			}

			if (windows[process]!.takeRetry(nowMs, processes)) {
				retries.push(nowMs);
			}

			const windowStartMs = nowMs - limits.windowMs;
			const recentRetries = retries.filter(atMs => atMs > windowStartMs).length;
			const recentSends = sends.filter(atMs => atMs > windowStartMs).length;
			assert.ok(recentRetries <= (recentSends * limits.ratio) + limits.slack);
		}
	}), {seed: 3, numRuns: 200});
});
