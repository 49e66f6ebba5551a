import assert from 'node:assert/strict';
import {test} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {EndlessServer, endlessParts} from '../../../fakes/endless-writer.js';
import {ManualClock} from '../../common/core/clock.js';
import {waitUntil} from '../entry/testing/harness.js';
import {TestServer} from '../entry/testing/upstreams.js';
import {bufferAnswer} from '../forwarding/forward-adapter.js';
import {CallError} from './call-error.js';
import {ConnectionPool} from './connection-pool.js';

const answerLimitBytes = 1_048_576;
/** Bytes that a server can write of one answer at most: several times the limits of the answer and what kernels buffer. */
const maxWrittenBytes = 16_777_216;

for (const part of endlessParts()) {
	// Guards against a server that keeps a process busy, or takes its memory, with bytes that are no answer or not the rest of one.
	test(`an answer without end is given up after a bounded number of bytes: ${part.name}`, async t => {
		const server = await EndlessServer.start(part);
		const pool = new ConnectionPool(server.address, new ManualClock());
		t.after(() => {
			pool.destroy();
			server.close();
		});
		// The time does not end the call before its bytes do.
		const deadline = new AbortController();
		const timer = setTimeout(() => {
			deadline.abort();
		}, 5000);
		await assert.rejects(async () => {
			const response = await pool.call({
				method: 'GET', path: '/', headers: [], headersTimeoutMs: 5000, signal: deadline.signal,
			});
			await bufferAnswer(response, answerLimitBytes);
		}, (err: unknown) => err instanceof CallError && err.mayHaveBeenSent);
		clearTimeout(timer);
		await waitUntil(() => server.writers.length === 1 && server.writers[0]!.isClosed);
		assert.equal(deadline.signal.aborted, false);
		assert.ok(server.writers[0]!.bytes < maxWrittenBytes, `${server.writers[0]!.bytes} bytes`);
	});
}

// Guards against a bound that sound answers meet: small chunks have more framing than body, and what is not yet parsed counts as read.
test('answers in small chunks and long ones that are read slowly are read whole, one after the other on a connection', async t => {
	const bodyBytes = 300_000;
	const longBytes = 8_000_000;
	const server = await TestServer.start((req, res) => {
		if (req.url === '/long') {
			res.end('x'.repeat(longBytes));
		} else {
			req.socket.write(`HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n${'1\r\nx\r\n'.repeat(bodyBytes)}0\r\n\r\n`);
			res.detachSocket(req.socket);
		}
	});
	const pool = new ConnectionPool(server.address, new ManualClock());
	t.after(() => {
		pool.destroy();
		server.close();
	});
	for (const path of ['/long', '/small']) {
		const {body} = await pool.call({
			method: 'GET', path, headers: [], headersTimeoutMs: 5000,
		});
		await sleep(200);
		let bytes = 0;
		for await (const chunk of body as AsyncIterable<Uint8Array>) {
			bytes += chunk.length;
		}

		assert.equal(bytes, path === '/long' ? longBytes : bodyBytes);
	}

	assert.equal(server.connectionCount, 1);
});
