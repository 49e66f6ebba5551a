import assert from 'node:assert/strict';
import process from 'node:process';
import {test} from 'node:test';
import {setImmediate} from 'node:timers/promises';
import {excessTokens} from './bench-control.js';
import {runGroup, spread} from './bench-group.js';
import {readUsage, sendClosed} from './bench-load.js';
import type {System} from './system.js';

const limit = {rate: 100, burst: 50};

test('over-admission is found in the worst window, and waiting requests do not count as an excess', () => {
	const request = (sentMs: number, endMs: number) => ({sentMs, endMs, cost: 50});
	assert.equal(excessTokens([request(0, 0), request(500, 500)], limit), 0);
	assert.equal(excessTokens([request(0, 500), request(0, 0)], limit), 0, 'the second may have been admitted at 500 ms');
	assert.equal(excessTokens([request(0, 0), request(5000, 5000), request(5100, 5100)], limit), 40, 'an idle time before does not hide a later excess');
});

test('refused requests count by code and leave no latency, which would make a refusing system look fast', async () => {
	const {answered, failures, latency} = await sendClosed(async () => {
		await setImmediate();
		return 'overloaded';
	}, 3, 10);
	assert.equal(answered, 0);
	assert.equal(latency.totalCount, 0);
	assert.ok(failures.overloaded! > 0);
	assert.deepEqual(spread([3, 1, 2]), {
		min: 1, median: 2, max: 3, repeats: 3,
	});
});

test('the usage of a process is read from the right fields although its name may contain spaces', () => {
	const {title} = process;
	process.title = 'a ) b';
	const {residentBytes, cpuMs} = readUsage(process.pid);
	process.title = title;
	const ratio = residentBytes / process.memoryUsage.rss();
	assert.ok(ratio > 0.5 && ratio < 2, `${residentBytes} bytes`);
	assert.ok(cpuMs > 0);
});

test('a scenario that fails or never ends is named as not reached, and the system is disposed all the same', async () => {
	let isDisposed = false;
	const system = {
		cluster: {pids: []},
		async dispose() {
			isDisposed = true;
		},
	} as unknown as System;
	const results = [];
	for await (const result of runGroup({
		name: 'group',
		names: ['works', 'fails', 'hangs', 'after'],
		limitMs: 200,
		start: async () => system,
		scenarios: async () => [
			{name: 'works', run: async () => ({figure: 1})},
			{
				name: 'fails', async run() {
					throw new Error('no answer');
				},
			},
			{name: 'hangs', run: async () => new Promise(() => {})}, // eslint-disable-line @typescript-eslint/no-empty-function -- a scenario without an end
			{name: 'after', run: async () => ({})},
		],
	})) {
		results.push(result);
	}

	assert.ok(isDisposed);
	assert.deepEqual(results.map(({scenario}) => scenario), ['group/works', 'group/fails', 'group/hangs', 'group/end']);
	assert.equal(results[1]!.error, 'no answer');
	assert.deepEqual(results.at(-1)!.notReached, ['fails', 'hangs', 'after']);
});
