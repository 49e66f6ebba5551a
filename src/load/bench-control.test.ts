import assert from 'node:assert/strict';
import process from 'node:process';
import {test} from 'node:test';
import {setImmediate} from 'node:timers/promises';
import {excessTokens} from './bench-control.js';
import {runBenchGroup, summarize} from './bench-group.js';
import {readProcessUsage, runClosedLoop} from './load-generator.js';
import type {System} from './system.js';

const limit = {rate: 100, burst: 50};

test('over-admission is the excess of admitted tokens in the worst time window, given that a request may have been admitted as late as its answer', () => {
	const request = (sentMs: number, endMs: number) => ({sentMs, endMs, cost: 50});
	assert.equal(excessTokens([request(0, 0), request(500, 500)], limit), 0);
	assert.equal(excessTokens([request(0, 500), request(0, 0)], limit), 0, 'the first request may have been admitted as late as 500 ms');
	assert.equal(excessTokens([request(0, 0), request(5000, 5000), request(5100, 5100)], limit), 40, 'an idle period does not hide a later excess');
});

test('refused requests are counted by code and record no latency, because a refusing system would otherwise look fast', async () => {
	const {answered, failures, latency} = await runClosedLoop(async () => {
		await setImmediate();
		return 'overloaded';
	}, 3, 10);
	assert.equal(answered, 0);
	assert.equal(latency.totalCount, 0);
	assert.ok(failures.overloaded! > 0);
	assert.deepEqual(summarize([3, 1, 2]), {
		min: 1, median: 2, max: 3, repeats: 3,
	});
});

test('the resource usage is read from the right fields even if the process name contains spaces and parentheses', () => {
	const {title} = process;
	process.title = 'a ) b';
	const {residentBytes, cpuMs} = readProcessUsage(process.pid);
	process.title = title;
	const ratio = residentBytes / process.memoryUsage.rss();
	assert.ok(ratio > 0.5 && ratio < 2, `${residentBytes} bytes`);
	assert.ok(cpuMs > 0);
});

test('scenarios that fail, hang or come after a scenario that hangs are listed as not reached, and the system is disposed', async () => {
	let isDisposed = false;
	const system = {
		cluster: {pids: []},
		async dispose() {
			isDisposed = true;
		},
	} as unknown as System;
	const results = [];
	for await (const result of runBenchGroup({
		name: 'group',
		scenarioNames: ['works', 'fails', 'hangs', 'after'],
		limitMs: 200,
		start: async () => system,
		prepareScenarios: async () => [
			{name: 'works', run: async () => ({figure: 1})},
			{
				name: 'fails', async run() {
					throw new Error('no answer');
				},
			},
			{name: 'hangs', run: async () => new Promise(() => {})}, // eslint-disable-line @typescript-eslint/no-empty-function -- simulates a scenario that hangs
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
