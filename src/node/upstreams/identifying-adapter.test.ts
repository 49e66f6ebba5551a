import assert from 'node:assert/strict';
import {once} from 'node:events';
import {createServer} from 'node:http';
import type {RequestListener} from 'node:http';
import type {AddressInfo} from 'node:net';
import {text} from 'node:stream/consumers';
import {test} from 'node:test';
import type {TestContext} from 'node:test';
import {RepeatingWriter} from '../../../fakes/repeating-writer.js';
import {ManualClock} from '../../common/core/clock.js';
import {waitUntil} from '../entry/testing/harness.js';
import {CallError} from './call-error.js';
import {PlainAdapter} from './plain-adapter.js';

/** Timeout of calls that are answered, in milliseconds. Long, since only a failing test waits for it. */
const timeoutMs = 10_000;

async function startServer(t: TestContext, listener: RequestListener) {
	const server = createServer(listener);
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const adapter = new PlainAdapter({name: 's', address: `127.0.0.1:${(server.address() as AddressInfo).port}`, zone: 'z'}, new ManualClock());
	t.after(() => {
		adapter.destroy();
		server.closeAllConnections();
		server.close();
	});
	const send = async (path: string, requestId: string) => {
		const {body} = await adapter.send({
			method: 'GET', path, headers: ['x-request-id', requestId], headersTimeoutMs: timeoutMs, requestId, isIdempotent: true,
		});
		const answer = await text(body);
		await waitUntil(() => adapter.busy === 0);
		return answer;
	};

	return {server, send};
}

// Guards against the answer to another caller that chose the same id.
test('calls with the same id do not get each other\'s answers', async t => {
	const writer = new RepeatingWriter();
	const {send} = await startServer(t, (req, res) => {
		writer.write(req, res, {status: 200, headers: {'x-request-id': req.headers['x-request-id'] as string}, body: req.url!});
	});
	for (let i = 0; i < 4; i++) {
		assert.equal(await send(`/${i}`, 'same'), `/${i}`);
	}
});

// Guards against "not run" for a call that ran before its repetition found no server.
test('a call that got the answer to another one may have run, although its repetition was not sent', async t => {
	const {server, send} = await startServer(t, (req, res) => {
		if (req.url === '/second') {
			server.close();
		}

		res.setHeader('x-request-id', 'first').end();
	});
	await send('/first', 'first');
	await assert.rejects(send('/second', 'second'), (err: unknown) => err instanceof CallError && err.mayHaveBeenSent);
});

// Guards against a call that is sent again although its answer came on a connection of its own.
test('an answer without an id is used if the connection was opened again for its call', async t => {
	const urls: string[] = [];
	const {send} = await startServer(t, (req, res) => {
		urls.push(req.url!);
		if (req.url === '/first') {
			res.setHeader('x-request-id', 'first').once('finish', () => {
				setTimeout(() => {
					req.socket.resetAndDestroy();
				}, 10);
			});
			req.socket.once('close', () => {
				urls.push('closed');
			});
		}

		res.end();
	});
	await send('/first', 'first');
	await waitUntil(() => urls.includes('closed'));
	await send('/second', 'second');
	assert.deepEqual(urls, ['/first', 'closed', '/second']);
});
