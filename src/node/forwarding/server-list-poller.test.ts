import assert from 'node:assert/strict';
import {once} from 'node:events';
import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import {test} from 'node:test';
import type {TestContext} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {NullLogger} from '../../common/core/log.js';
import {NullMetrics} from '../../common/services/metrics.js';
import {PlatformProtocol} from '../../../platform/protocol.js';
import {MonotonicClock} from '../clock.js';
import {ServerListPoller} from './server-list-poller.js';

/** A poller of a process whose part as reader and whose list's age the test sets; `calls` counts the platform's list. */
async function startPoller(t: TestContext, state: {isReader: boolean; listAgeMs: number | undefined}) {
	let calls = 0;
	const server = createServer((_req, res) => {
		calls++;
		res.end('{"instances":[],"next":null}');
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const poller = new ServerListPoller({
		address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
		callsPerSecond: 1000,
		processes: () => 200,
		protocol: new PlatformProtocol(),
		metrics: new NullMetrics(),
		logger: new NullLogger(),
		clock: new MonotonicClock(),
		isReader: () => state.isReader,
		mayBeReader: true,
		listAgeMs: () => state.listAgeMs,
		onList() {
			state.listAgeMs = 0;
		},
	});
	t.after(async () => {
		await poller.dispose();
		server.close();
	});
	poller.start();
	return {calls: () => calls};
}

test('guards against calls to the platform by processes whose leader passes the list on', async t => {
	const {calls} = await startPoller(t, {isReader: false, listAgeMs: 800});
	await sleep(1500);
	assert.equal(calls(), 0);
});

test('a process whose list has become too old reads it itself', async t => {
	const state = {isReader: false, listAgeMs: 800};
	const {calls} = await startPoller(t, state);
	state.listAgeMs = 5000;
	while (state.listAgeMs !== 0) {
		await sleep(20);
	}

	assert.equal(calls(), 1);
});

test('a process that becomes the reader reads the list at once', async t => {
	const state = {isReader: false, listAgeMs: 100};
	const {calls} = await startPoller(t, state);
	await sleep(50);
	state.isReader = true;
	while (calls() === 0) {
		await sleep(20);
	}

	assert.ok(calls() >= 1);
});
