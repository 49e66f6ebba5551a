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

test('a rejected arrival uses up the budget of later retries', () => {
	const window = new RetryWindow({...limits, slack: 2});
	window.countArrival(0);
	window.countArrival(0);
	assert.equal(window.takeRetry(0, 1), false);
	assert.equal(window.takeRetry(0, 1, 0), true);
	window.countArrival(0);
	assert.equal(window.takeRetry(0, 1, 0), false);
});

test('guards against processes that count different windows for the same retries', () => {
	const small = {...limits, slack: 2};
	const [early, late] = [new RetryWindow(small), new RetryWindow(small)];
	const sendAt = (window: RetryWindow, nowMs: number) => {
		for (let i = 0; i < 100; i++) {
			window.countSend(nowMs);
		}
	};

	const takenAt = (window: RetryWindow, nowMs: number) => Array.from({length: 50}, () => window.takeRetry(nowMs, 2)).filter(Boolean).length;
	sendAt(early, 1000);
	sendAt(late, 19_000);
	// Both sets of retries lie within one window, the sends of only one of them count for it.
	assert.ok(takenAt(early, 10_500) + takenAt(late, 19_500) <= (100 * small.ratio) + small.slack);
});

test('guards against retries beyond the bound of a window, of the one before it and of the one half a window before it', () => {
	const processes = 4;
	const {windowMs, ratio, slack} = limits;
	const step = fc.record({
		process: fc.integer({min: 0, max: processes - 1}), afterMs: fc.integer({min: 0, max: 900}), sends: fc.integer({min: 0, max: 40}), asks: fc.integer({min: 0, max: 12}),
	});
	fc.assert(fc.property(fc.array(step, {maxLength: 150}), steps => {
		const windows = Array.from({length: processes}, () => new RetryWindow(limits));
		const sends: number[] = [];
		const retries: number[] = [];
		let nowMs = 0;
		for (const {process, afterMs, sends: count, asks} of steps) {
			nowMs += afterMs;
			for (let i = 0; i < count; i++) {
				windows[process]!.countSend(nowMs);
				sends.push(nowMs);
			}

			for (let i = 0; i < asks; i++) {
				if (windows[process]!.takeRetry(nowMs, processes)) {
					retries.push(nowMs);
				}
			}
		}

		const countIn = (times: readonly number[], fromMs: number) => times.filter(atMs => atMs >= fromMs && atMs < fromMs + windowMs).length;
		for (const startMs of new Set(retries)) {
			// Sends count in that window, in the one before it or in the one half a window before it.
			const most = Math.max(...[0, 0.5, 1].map(share => countIn(sends, startMs - (share * windowMs))));
			assert.ok(countIn(retries, startMs) <= (most * ratio) + slack);
		}
	}), {seed: 1, numRuns: 500});
});
