import assert from 'node:assert/strict';
import type {TestContext} from 'node:test';
import {test} from 'node:test';
import {text} from 'node:stream/consumers';
import {RepeatingWriter} from '../../../fakes/repeating-writer.js';
import {ManualClock} from '../../common/core/clock.js';
import {waitUntil} from '../entry/testing/harness.js';
import {TestServer} from '../entry/testing/upstreams.js';
import {CallError} from '../upstreams/call-error.js';
import {ForwardAdapter, minIdleMsOfCalls} from './forward-adapter.js';
import type {CallOptions} from './forward-adapter.js';

/** Timeout of calls that are answered, in milliseconds. Long, since only a failing test waits for it. */
const timeoutMs = 10_000;

/** Starts a server that writes each answer once more ahead of the next one on its connection, and an adapter for it. */
async function startRepeatingServer(t: TestContext, answerTo: (url: string) => {status: number; body: string}) {
	const writer = new RepeatingWriter();
	const server = await TestServer.start((req, res) => {
		const requestId = req.headers['request-id'] as string | undefined;
		const {status, body} = answerTo(req.url!);
		writer.write(req, res, {status, headers: requestId === undefined ? {} : {'Request-Id': requestId}, body});
	});
	const clock = new ManualClock();
	const observed: number[] = [];
	let foreignCount = 0;
	const adapter = new ForwardAdapter({
		name: 's',
		address: server.address,
		zone: 'z',
		readRequestId: headers => headers.find((_, i) => i % 2 === 1 && headers[i - 1] === 'request-id'),
		onAnswer({status}) {
			observed.push(status);
		},
		onForeignAnswer() {
			foreignCount++;
		},
	}, clock);
	t.after(() => {
		adapter.destroy();
		server.close();
	});
	const send = async (requestId: string, path = '/') => {
		try {
			const {status, body} = await adapter.send({
				requestId, method: 'POST', path, headers: ['Request-Id', requestId], headersTimeoutMs: timeoutMs,
			});
			return `${status} ${await text(body)}`;
		} catch (err) {
			assert.ok(err instanceof CallError);
			return err.mayHaveBeenSent ? 'broken' : 'not sent';
		} finally {
			await waitUntil(() => adapter.busy === 0);
		}
	};

	const call = async (path: string, isOwnAnswer?: CallOptions['isOwnAnswer']) => {
		try {
			const {status, text: body} = await adapter.call({method: 'POST', path}, timeoutMs, {...(isOwnAnswer && {isOwnAnswer})});
			return `${status} ${body}`;
		} catch {
			return 'broken';
		} finally {
			await waitUntil(() => adapter.busy === 0);
		}
	};

	return {
		clock, server, writer, observed, send, call, foreignCount: () => foreignCount,
	};
}

test('an answer that bears another id is neither used nor observed, and its connection is closed', async t => {
	const {server, writer, observed, send} = await startRepeatingServer(t, url => ({status: 200, body: url}));
	assert.equal(await send('a', '/a'), '200 /a');
	assert.equal(await send('b', '/b'), 'broken');
	assert.equal(await send('c', '/c'), '200 /c');
	assert.equal(writer.copies, 1);
	assert.equal(server.connectionCount, 2);
	assert.deepEqual(observed, [200, 200]);
});

// Guards against the answer to an earlier attempt at the same request, whose id can't tell it from the right one.
test('a connection carries each id once, so that an answer to an earlier attempt at a request is not taken for the answer to a later one', async t => {
	let attempts = 0;
	const {writer, send} = await startRepeatingServer(t, () => ({status: 200, body: `attempt ${++attempts}`}));
	assert.equal(await send('a'), '200 attempt 1');
	assert.equal(await send('a'), '200 attempt 2');
	assert.equal(writer.copies, 0);
});

test('a call without an id does not use the answer to a request, nor a request that to such a call', async t => {
	const {
		writer, observed, server, send, call, foreignCount,
	} = await startRepeatingServer(t, url => ({status: 200, body: url}));
	assert.equal(await send('a', '/a'), '200 /a');
	assert.equal(await call('/reserve'), '200 /reserve', 'the call is repeated on a new connection');
	assert.equal(server.connectionCount, 2);
	assert.equal(await send('b', '/b'), 'broken');
	assert.equal(writer.copies, 2);
	assert.deepEqual(observed, [200, 200]);
	assert.equal(foreignCount(), 2);
});

// Guards against a chain of answers that are each one call late: without an id, only the right answer that follows shows the fault.
test('after a wrong answer to a call without an id, the next call gets its own answer', async t => {
	const {clock, server, writer, call} = await startRepeatingServer(t, url => ({status: 200, body: url}));
	writer.delayMs = 30;
	assert.equal(await call('/1'), '200 /1');
	clock.advance(minIdleMsOfCalls);
	assert.equal(await call('/2'), '200 /1');
	assert.equal(await call('/3'), '200 /3', 'a connection that was in use just now is not reused');
	// The right answer to the second call has arrived on its idle connection.
	await waitUntil(() => server.closedConnectionCount === 1);
	assert.equal(writer.copies, 1);
});

test('a call is repeated if its answer shows that it belongs to another one, and a confirmed answer leaves the connection in use', async t => {
	const {server, writer, call} = await startRepeatingServer(t, url => ({status: 200, body: url}));
	assert.equal(await call('/1', ({text: body}) => body === '/1'), '200 /1');
	assert.equal(await call('/2', ({text: body}) => body === '/2'), '200 /2');
	assert.equal(writer.copies, 1, 'the second call used the connection of the first one');
	assert.equal(server.connectionCount, 2);
});

// Guards against a copy that is cut within its head: with the answer that is due, it reads as one head with the status of the one and the id of the other.
for (const cut of ['HTTP/1.1 503 Full', 'HTTP/1.1 503 Full\r\nNot-Run: 1\r\nDate: Sat, 0', 'HTTP/1.1 200 OK\r\nServer-Stamp: an']) {
	test(`an answer is not used if a part of another head precedes it: ${JSON.stringify(cut)}`, async t => {
		const {server, observed, send} = await startRepeatingServer(t, url => ({status: 200, body: url}));
		const {handler} = server;
		server.handler = async (req, res, body) => {
			if (req.url === '/b') {
				req.socket.write(cut);
			}

			await handler(req, res, body);
		};

		assert.equal(await send('b', '/b'), 'broken');
		assert.equal(await send('c', '/c'), '200 /c');
		assert.equal(server.connectionCount, 2);
		assert.deepEqual(observed, [200]);
	});
}
