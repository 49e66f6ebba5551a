import assert from 'node:assert/strict';
import {test} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {LoadReporter} from './load-reporter.js';

test('a busy event loop is reported with a higher load than an idle one, so that callers are directed to the less loaded entry VMs', async t => {
	const reported: number[] = [];
	const reporter = new LoadReporter(percent => {
		reported.push(percent);
	});
	t.after(() => {
		reporter.dispose();
	});
	await sleep(50);
	reporter.reportNow();
	for (let turns = 0; turns < 20; turns++) {
		const untilMs = performance.now() + 5;
		while (performance.now() < untilMs) {
			// Keeps the event loop busy.
		}

		await sleep(0);
	}

	reporter.reportNow();
	assert.ok(reported[1]! > reported[0]!, `idle ${reported[0]}%, busy ${reported[1]}%`);
});
