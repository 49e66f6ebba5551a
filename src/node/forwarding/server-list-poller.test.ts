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
import {SystemClock} from '../clock.js';
import {ServerListPoller} from './server-list-poller.js';

/**
Starts a poller. The test sets in `state` whether its process is the reader and how old its list is; `callCount` returns the
number of calls to the platform.
*/
async function startPoller(t: TestContext, state: {isReader: boolean; listAgeMs: number | undefined}) {
	let callCount = 0;
	const server = createServer((_req, res) => {
		callCount++;
		res.end('{"instances":[],"next":null}');
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const poller = new ServerListPoller({
		address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
		callsPerSecond: 1000,
		processCount: () => 200,
		protocol: new PlatformProtocol(),
		metrics: new NullMetrics(),
		logger: new NullLogger(),
		clock: new SystemClock(),
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
	return {callCount: () => callCount};
}

test('a process that receives the list from its leader does not call the platform', async t => {
	const {callCount} = await startPoller(t, {isReader: false, listAgeMs: 800});
	await sleep(1500);
	assert.equal(callCount(), 0);
});

test('a process whose list is too old reads it from the platform itself', async t => {
	const state = {isReader: false, listAgeMs: 800};
	const {callCount} = await startPoller(t, state);
	state.listAgeMs = 5000;
	while (state.listAgeMs !== 0) {
		await sleep(20);
	}

	assert.equal(callCount(), 1);
});

test('a process that becomes the reader reads the list at once', async t => {
	const state = {isReader: false, listAgeMs: 100};
	const {callCount} = await startPoller(t, state);
	await sleep(50);
	state.isReader = true;
	while (callCount() === 0) {
		await sleep(20);
	}

	assert.ok(callCount() >= 1);
});
