import assert from 'node:assert/strict';
import {once} from 'node:events';
import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import {test} from 'node:test';
import type {TestContext} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {EndlessServer, endlessParts} from '../../../fakes/endless-writer.js';
import {PlatformProtocol} from '../../../platform/protocol.js';
import {NullLogger} from '../../common/core/log.js';
import {NullMetrics} from '../../common/services/metrics.js';
import {SystemClock} from '../clock.js';
import {waitUntil} from '../entry/testing/harness.js';
import {ServerListPoller} from './server-list-poller.js';

/** Bytes that a server can write of one list at most: its largest size in chunks of one byte, which take six, and what kernels buffer. */
const maxWrittenBytes = (6 * 4_194_304) + 8_388_608;

function pollerOptions(address: string) {
	return {
		address,
		callsPerSecond: 1000,
		processCount: () => 200,
		protocol: new PlatformProtocol(),
		metrics: new NullMetrics(),
		logger: new NullLogger(),
		clock: new SystemClock(),
		mayBeReader: true,
	};
}

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
		...pollerOptions(`127.0.0.1:${(server.address() as AddressInfo).port}`),
		isReader: () => state.isReader,
		listAgeMs: () => state.listAgeMs,
		onList() {
			state.listAgeMs = 0;
		},
	});
	t.after(() => {
		poller.dispose();
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

for (const part of endlessParts()) {
	// Guards against a process that runs out of memory, or spends its time, since it reads all of a list without end.
	test(`a list without end is given up after a bounded number of bytes: ${part.name}`, async t => {
		const server = await EndlessServer.start(part);
		const lists: unknown[] = [];
		const poller = new ServerListPoller({
			...pollerOptions(server.address), isReader: () => true, listAgeMs: () => undefined, onList(servers) {
				lists.push(servers);
			},
		});
		t.after(() => {
			poller.dispose();
			server.close();
		});
		poller.start();
		// The second read shows that the poller goes on.
		await waitUntil(() => server.writers.length > 1 && server.writers[0]!.isClosed);
		assert.deepEqual(lists, []);
		assert.ok(server.writers[0]!.bytes < maxWrittenBytes, `${server.writers[0]!.bytes} bytes`);
	});
}

// Guards against the same where each page is short, but each names a next one.
test('a list whose pages do not end is given up after a bounded number of bytes', async t => {
	const entry = JSON.stringify({
		service: 's', address: '127.0.0.1:1', zone: 'z', id: 'i', version: 'v'.repeat(10_000), slots: 1, state: 'ready', coldLeftMs: 0,
	});
	const page = `{"instances":[${Array.from({length: 50}, () => entry).join(',')}],"next":"p"}`;
	let bytes = 0;
	let calls = 0;
	const server = createServer((req, res) => {
		calls = req.url === '/instances' ? calls + 1 : calls;
		bytes += calls === 1 ? page.length : 0;
		res.end(page);
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const poller = new ServerListPoller({
		...pollerOptions(`127.0.0.1:${(server.address() as AddressInfo).port}`), isReader: () => true, listAgeMs: () => undefined, onList() {
			assert.fail('a list was read');
		},
	});
	t.after(() => {
		poller.dispose();
		server.close();
	});
	poller.start();
	await waitUntil(() => calls > 1);
	assert.ok(bytes < maxWrittenBytes, `${bytes} bytes`);
});
