import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {createServer} from 'node:net';
import type {AddressInfo, ServerOpts, Socket} from 'node:net';
import {once} from 'node:events';
import {text} from 'node:stream/consumers';
import type {TestContext} from 'node:test';
import {test} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {ManualClock} from '../../common/core/clock.js';
import {waitUntil} from '../entry/testing/harness.js';
import {TestServer} from '../entry/testing/upstreams.js';
import {CallError} from './call-error.js';
import type {UpstreamCall} from './connection-pool.js';
import {ConnectionPool, discardBody, maxIdleMs} from './connection-pool.js';

/** Timeout of calls that a server answers, in milliseconds. Long, since a busy machine may delay an answer, and only a failing test waits for it. */
const answerTimeoutMs = 10_000;
/** Size of an upload that is larger than the kernel's largest send buffer, so that it isn't sent while its server does not read, in bytes. */
const longUploadBytes = 8_000_000;

function testCall(fields: Partial<UpstreamCall> = {}): UpstreamCall {
	return {
		method: 'GET', path: '/', headers: [], headersTimeoutMs: answerTimeoutMs, ...fields,
	};
}

test('an idle connection is reused before the idle limit and replaced after it', async t => {
	const server = await TestServer.start((_req, res) => {
		res.end('ok');
	});
	const clock = new ManualClock();
	const pool = new ConnectionPool(server.address, clock);
	t.after(() => {
		pool.destroy();
		server.close();
	});
	const connectionCounts: number[] = [];
	for (const idleMs of [0, maxIdleMs - 1, maxIdleMs]) {
		clock.advance(idleMs);
		const response = await pool.call(testCall());
		await text(response.body);
		await waitUntil(() => pool.busyCount === 0);
		connectionCounts.push(server.connectionCount);
	}

	assert.deepEqual(connectionCounts, [1, 1, 2]);
});

test('a failed call reports whether anything may have been sent', async t => {
	const server = await TestServer.start((req, res) => {
		if (req.url === '/broken') {
			res.destroy();
		}
	});
	const closedServer = createServer();
	closedServer.listen(0, '127.0.0.1');
	await once(closedServer, 'listening');
	const {port} = closedServer.address() as AddressInfo;
	closedServer.close();
	const pools = [new ConnectionPool(server.address, new ManualClock()), new ConnectionPool(`127.0.0.1:${port}`, new ManualClock())];
	t.after(() => {
		for (const pool of pools) {
			pool.destroy();
		}

		server.close();
	});
	const outcomeOf = async (pool: ConnectionPool, fields: Partial<UpstreamCall>) => {
		try {
			await pool.call(testCall(fields));
		} catch (err) {
			return err instanceof CallError ? [err.kind, err.mayHaveBeenSent] : err;
		}

		return 'answered';
	};

	assert.deepEqual(await outcomeOf(pools[1]!, {}), ['unreachable', false]);
	assert.deepEqual(await outcomeOf(pools[0]!, {path: '/broken'}), ['broken', true]);
	assert.deepEqual(await outcomeOf(pools[0]!, {path: '/silent', headersTimeoutMs: 1000}), ['timeout', true]);
	assert.deepEqual(await outcomeOf(pools[0]!, {signal: AbortSignal.abort()}), ['broken', false]);
	assert.deepEqual(await outcomeOf(pools[0]!, {headers: ['bad name', 'x']}), ['error', false]);
	assert.equal(pools[0]!.busyCount, 0);
});

/** Starts a server that answers each request with `respond`, and a pool of connections to it. */
async function startRawServer(t: TestContext, respond: (socket: Socket, request: string) => void, options: ServerOpts = {}): Promise<ConnectionPool> {
	const server = createServer(options, socket => {
		socket.on('data', chunk => {
			respond(socket, String(chunk));
		});
		socket.on('error', () => undefined);
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const {port} = server.address() as AddressInfo;
	const pool = new ConnectionPool(`127.0.0.1:${port}`, new ManualClock());
	t.after(() => {
		pool.destroy();
		server.close();
	});
	return pool;
}

test('an answer without a length that is truncated by a connection reset does not look complete', async t => {
	const pool = await startRawServer(t, (socket, request) => {
		socket.write('HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf', () => {
			if (request.startsWith('GET /reset')) {
				setTimeout(() => {
					socket.resetAndDestroy();
				}, 20);
			} else {
				socket.end(' and all');
			}
		});
	});
	const complete = await pool.call(testCall({path: '/whole'}));
	assert.equal(await text(complete.body), 'half and all');
	assert.equal(complete.wasBrokenOff(), false);
	const truncated = await pool.call(testCall({path: '/reset'}));
	assert.equal(await text(truncated.body), 'half');
	assert.equal(truncated.wasBrokenOff(), true);
});

// Guards against a part of an answer that passes as the whole one: if a reset follows the last bytes at once, Node.js reports the end of the connection.
test('an answer without a length whose connection is reset right after its last bytes does not look complete', async t => {
	const pool = await startRawServer(t, socket => {
		socket.write('HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf');
		socket.resetAndDestroy();
	});
	for (let i = 0; i < 20; i++) {
		const {body, wasBrokenOff} = await pool.call(testCall());
		assert.equal(await text(body), 'half');
		assert.equal(wasBrokenOff(), true);
	}
});

// Guards against a body that ends with its connection and passes for one whose end the server states.
test('an answer tells where its body ends by its length, by chunks as the last coding, or by having no body', async t => {
	const heads: ReadonlyArray<readonly [head: string, isFramed: boolean, method?: 'HEAD']> = [
		['200 OK\r\nContent-Length: 0\r\nConnection: close', true],
		['200 OK\r\nTransfer-Encoding: chunked\r\nConnection: close', true],
		['200 OK\r\nTransfer-Encoding: gzip, Chunked\r\nConnection: close', true],
		['200 OK\r\nTransfer-Encoding: gzip\r\nConnection: close', false],
		['200 OK\r\nConnection: close', false],
		['404 Not Found\r\nConnection: close', false],
		['204 No Content\r\nConnection: close', true],
		['200 OK\r\nConnection: close', true, 'HEAD'],
	];
	const pool = await startRawServer(t, (socket, request) => {
		const [head] = heads[Number(/\/(\d+) /.exec(request)![1])]!;
		socket.end(`HTTP/1.1 ${head}\r\n\r\n${/chunked/i.test(head) ? '0\r\n\r\n' : ''}`);
	});
	for (const [i, [head, isFramed, method = 'GET']] of heads.entries()) {
		const response = await pool.call(testCall({path: `/${i}`, method}));
		assert.equal(await text(response.body), '', head);
		assert.equal(response.isFramed, isFramed, head);
	}
});

test('an upstream is reachable while it accepts connections, even if it does not answer', async t => {
	const open = await startRawServer(t, () => undefined);
	assert.equal(await open.isReachable(answerTimeoutMs), true);
	const closedServer = createServer();
	closedServer.listen(0, '127.0.0.1');
	await once(closedServer, 'listening');
	const {port} = closedServer.address() as AddressInfo;
	closedServer.close();
	await once(closedServer, 'close');
	assert.equal(await new ConnectionPool(`127.0.0.1:${port}`, new ManualClock()).isReachable(answerTimeoutMs), false);
});

// Guards against a whole answer that is given up because the server resets its connection afterwards.
test('a reset right after an answer that tells its own end does not make it incomplete', async t => {
	const answers = ['Content-Length: 5\r\n\r\nwhole', 'Connection: close\r\nContent-Length: 5\r\n\r\nwhole', 'Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n'];
	const pool = await startRawServer(t, (socket, request) => {
		socket.write(`HTTP/1.1 200 OK\r\n${answers[Number(request.split('/', 2)[1]!.split(' ', 1)[0])]!}`);
		socket.resetAndDestroy();
	});
	for (let i = 0; i < 30; i++) {
		const {body, wasBrokenOff} = await pool.call(testCall({path: `/${i % answers.length}`}));
		assert.equal(await text(body), 'whole');
		await sleep(i % 3);
		assert.equal(wasBrokenOff(), false, answers[i % answers.length]);
	}
});

// Guards against a whole answer that is given up because of an earlier connection.
test('a reset of an idle connection does not count as one of the next connection', async t => {
	let idle: Socket | undefined;
	const pool = await startRawServer(t, (socket, request) => {
		if (request.startsWith('GET /kept')) {
			idle = socket;
			socket.write('HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole');
		} else {
			socket.end('HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nwhole');
		}
	});
	for (const path of ['/kept', '/kept', '/unframed', '/kept', '/unframed']) {
		const {body, wasBrokenOff} = await pool.call(testCall({path}));
		assert.equal(await text(body), 'whole');
		assert.equal(wasBrokenOff(), false, path);
		await waitUntil(() => pool.busyCount === 0);
		if (path === '/kept') {
			const closed = once(idle!, 'close');
			idle!.resetAndDestroy();
			await closed;
			await sleep(20);
		}
	}
});

// Guards against an answer that is lost, and a process that is busy for seconds, because of a head before the final one.
test('interim heads before the answer are passed over', async t => {
	const server = createServer(socket => {
		socket.on('data', () => {
			const interim = 'HTTP/1.1 102 Processing\r\nX-A: 1\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\n';
			socket.write(`${interim.repeat(3)}HTTP/1.1 200 OK\r\nX-B: 2\r\nContent-Length: 5\r\n\r\nwhole`);
		});
		socket.on('error', () => undefined);
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const {port} = server.address() as AddressInfo;
	const pool = new ConnectionPool(`127.0.0.1:${port}`, new ManualClock());
	t.after(() => {
		pool.destroy();
		server.close();
	});
	for (let i = 0; i < 3; i++) {
		const {status, headers, body} = await pool.call(testCall());
		assert.deepEqual([status, headers.includes('x-a'), headers.includes('x-b'), await text(body)], [200, false, true, 'whole']);
		await waitUntil(() => pool.busyCount === 0);
	}
});

// Guards against a connection that is read for good because a rejection has an endless body.
test('an unwanted body is read to its end if that is near, and its connection closed otherwise', async t => {
	const written = {bytes: 0};
	const server = await TestServer.start((req, res) => {
		res.writeHead(503);
		if (req.url === '/short') {
			res.end('full');
			return;
		}

		const timer = setInterval(() => {
			const part = 'x'.repeat(req.url === '/endless' ? 20_000 : 1);
			written.bytes += part.length;
			res.write(part);
		}, 5);
		res.once('close', () => {
			clearInterval(timer);
		});
	});
	const pool = new ConnectionPool(server.address, new ManualClock());
	t.after(() => {
		pool.destroy();
		server.close();
	});
	for (const path of ['/short', '/short', '/endless', '/slow']) {
		const {body} = await pool.call(testCall({path}));
		discardBody(body);
		await waitUntil(() => pool.busyCount === 0);
	}

	assert.equal(server.connectionCount, 2);
	assert.ok(written.bytes < 2_000_000, `${written.bytes} bytes`);
});

// Guards against an answer that callers can't read: HTTP has the statuses 100 to 599.
test('an answer whose status is none of HTTP is no answer', async t => {
	const pool = await startRawServer(t, (socket, request) => {
		socket.end(`HTTP/1.1 ${request.split('/', 2)[1]!.split(' ', 1)[0]!} Status\r\nContent-Length: 5\r\n\r\nwhole`);
	});
	for (const status of ['000', '099', '600', '999']) {
		await assert.rejects(pool.call(testCall({path: `/${status}`})), (err: unknown) => err instanceof CallError && err.kind === 'broken' && err.mayHaveBeenSent, status);
	}

	const {status} = await pool.call(testCall({path: '/599'}));
	assert.equal(status, 599);
});

// Guards against a part of an answer that passes as the whole one: if the process of a server dies, its kernel closes the connection, and resets it only when more of the request arrives.
test('an answer without framing that ends before its request was sent does not look complete, and one with framing does', async t => {
	const pool = await startRawServer(t, (socket, request) => {
		socket.pause();
		socket.end(`HTTP/1.1 200 OK\r\n${heads[Number(/^POST \/(\d+)/.exec(request)![1])]!}`);
	}, {allowHalfOpen: true});
	const heads = ['Connection: close\r\n\r\nhalf', 'Content-Length: 4\r\n\r\nhalf', 'Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n0\r\n\r\n'];
	for (const [i, head] of heads.entries()) {
		for (const bytes of [1, longUploadBytes]) {
			const {body, wasBrokenOff} = await pool.call(testCall({
				path: `/${i}`, method: 'POST', body: Buffer.alloc(bytes), isNewConnection: true,
			}));
			assert.equal(await text(body), 'half');
			assert.equal(wasBrokenOff(), i === 0 && bytes === longUploadBytes, `${head}, ${bytes} bytes`);
		}
	}
});
