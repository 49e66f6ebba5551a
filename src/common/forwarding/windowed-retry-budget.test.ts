import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {WindowedRetryBudget} from './windowed-retry-budget.js';

const limits = {ratio: 0.2, windowMs: 10_000, slack: 22};

test('the slack of the retry budget is divided among the processes, and is available again after the window and two more slices', () => {
	const budget = new WindowedRetryBudget(limits);
	const takeRetries = (nowMs: number) => Array.from({length: 5}, () => budget.takeRetry(nowMs, 11)).filter(Boolean).length;
	assert.equal(takeRetries(0), 2);
	assert.equal(takeRetries(9000), 0);
	assert.equal(takeRetries(11_900), 0);
	assert.equal(takeRetries(12_000), 2);
});

test('a retry that adds two requests takes two from the retry budget, or none if fewer than two are left', () => {
	const budget = new WindowedRetryBudget({...limits, slack: 3});
	assert.equal(budget.takeRetry(0, 1, 2), true);
	assert.equal(budget.takeRetry(0, 1, 2), false);
	assert.equal(budget.takeRetry(0, 1), true);
});

test('the retries of several processes stay within the common limit in any window', () => {
	const processes = 4;
	const step = fc.record({process: fc.integer({min: 0, max: processes - 1}), afterMs: fc.integer({min: 0, max: 900}), sends: fc.integer({min: 0, max: 6})});
	fc.assert(fc.property(fc.array(step, {maxLength: 150}), steps => {
		const budgets = Array.from({length: processes}, () => new WindowedRetryBudget(limits));
		const sends: number[] = [];
		const retries: number[] = [];
		let nowMs = 0;
		for (const {process, afterMs, sends: count} of steps) {
			nowMs += afterMs;
			for (let i = 0; i < count; i++) {
				budgets[process]!.countSend(nowMs);
				sends.push(nowMs);
			}

			if (budgets[process]!.takeRetry(nowMs, processes)) {
				retries.push(nowMs);
			}

			const windowStartMs = nowMs - limits.windowMs;
			const recentRetries = retries.filter(atMs => atMs > windowStartMs).length;
			const recentSends = sends.filter(atMs => atMs > windowStartMs).length;
			assert.ok(recentRetries <= (recentSends * limits.ratio) + limits.slack);
		}
	}), {seed: 3, numRuns: 200});
});

test('requests that are charged to the retry budget without a check leave less for later retries', () => {
	const budget = new WindowedRetryBudget({...limits, slack: 2});
	budget.recordRequest(0);
	budget.recordRequest(0);
	assert.equal(budget.takeRetry(0, 1), false);
	assert.equal(budget.takeRetry(0, 1, 0), true);
	budget.recordRequest(0);
	assert.equal(budget.takeRetry(0, 1, 0), false);
});

test('the retry limit holds for a window in which all processes take retries but only one of them has sent requests', () => {
	const smallLimits = {...limits, slack: 2};
	const [early, late] = [new WindowedRetryBudget(smallLimits), new WindowedRetryBudget(smallLimits)];
	const countSendsAt = (budget: WindowedRetryBudget, nowMs: number) => {
		for (let i = 0; i < 100; i++) {
			budget.countSend(nowMs);
		}
	};

	const takeRetriesAt = (budget: WindowedRetryBudget, nowMs: number) => Array.from({length: 50}, () => budget.takeRetry(nowMs, 2)).filter(Boolean).length;
	countSendsAt(early, 1000);
	countSendsAt(late, 19_000);
	// The retries of both processes lie within one window, but only the first sends of one process do, so the limit is that for 100 sends.
	assert.ok(takeRetriesAt(early, 10_500) + takeRetriesAt(late, 19_500) <= (100 * smallLimits.ratio) + smallLimits.slack);
});

test('the retries in any window stay within the limit for the sends of that window, or of the window that began half a window or a whole window earlier', () => {
	const processes = 4;
	const {windowMs, ratio, slack} = limits;
	const step = fc.record({
		process: fc.integer({min: 0, max: processes - 1}), afterMs: fc.integer({min: 0, max: 900}), sends: fc.integer({min: 0, max: 40}), attempts: fc.integer({min: 0, max: 12}),
	});
	fc.assert(fc.property(fc.array(step, {maxLength: 150}), steps => {
		const budgets = Array.from({length: processes}, () => new WindowedRetryBudget(limits));
		const sends: number[] = [];
		const retries: number[] = [];
		let nowMs = 0;
		for (const {process, afterMs, sends: count, attempts} of steps) {
			nowMs += afterMs;
			for (let i = 0; i < count; i++) {
				budgets[process]!.countSend(nowMs);
				sends.push(nowMs);
			}

			for (let i = 0; i < attempts; i++) {
				if (budgets[process]!.takeRetry(nowMs, processes)) {
					retries.push(nowMs);
				}
			}
		}

		const countIn = (times: readonly number[], fromMs: number) => times.filter(atMs => atMs >= fromMs && atMs < fromMs + windowMs).length;
		for (const startMs of new Set(retries)) {
			// The limit applies to the sends of whichever of three windows has the most: the window of the retries, and those that began half a window and a whole window earlier.
			const maxSends = Math.max(...[0, 0.5, 1].map(share => countIn(sends, startMs - (share * windowMs))));
			assert.ok(countIn(retries, startMs) <= (maxSends * ratio) + slack);
		}
	}), {seed: 1, numRuns: 500});
});
