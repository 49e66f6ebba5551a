import assert from 'node:assert/strict';
import {once} from 'node:events';
import process from 'node:process';
import {createServer} from 'node:http';
import type {IncomingMessage, RequestListener, ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';
import {test} from 'node:test';
import type {TestContext} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import fastCheck from 'fast-check';
import {ManualClock} from '../../common/core/clock.js';
import {NullLogger} from '../../common/core/log.js';
import {waitUntil} from '../entry/testing/harness.js';
import {RawClient} from '../entry/testing/raw-client.js';
import {PromMetrics} from '../observability/prom-metrics.js';
import {MemoryKeeper} from './memory-keeper.js';
import {RequestIntake} from './request-intake.js';

const firstSeed = Number(process.env.INTAKE_SEED ?? 57);
const runs = Number(process.env.INTAKE_RUNS ?? 60);

type Options = {readonly totalBytes?: number; readonly onBodyData?: () => void; readonly onBodyEnd?: () => void};

/** Starts a server whose connections an intake watches, and returns its address. */
async function startServer(t: TestContext, listener: RequestListener, {totalBytes = 10_000_000, onBodyData = () => undefined, onBodyEnd = () => undefined}: Options = {}): Promise<string> {
	const clock = new ManualClock();
	const logger = new NullLogger();
	const metrics = new PromMetrics({});
	const memory = new MemoryKeeper({
		totalBytes, maxOwnerShare: 1, clock, logger, metrics,
	});
	const intake = new RequestIntake({
		memory, clock, logger, metrics,
	});
	const server = createServer();
	intake.watch(server, {onBodyData, onBodyEnd});
	server.on('request', listener);
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	t.after(() => {
		server.closeAllConnections();
		server.close();
		intake.dispose();
	});
	return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

function readBody(req: IncomingMessage, onBody: (body: string) => void): void {
	let body = '';
	req.setEncoding('latin1').on('data', (part: string) => {
		body += part;
	});
	req.once('end', () => {
		onBody(body);
	});
}

function echo(req: IncomingMessage, res: ServerResponse): void {
	readBody(req, body => {
		res.end(`${req.url}=${body};`);
	});
}

/** A chunked request whose body consists of the parts. */
function chunkedRequest(path: string, parts: readonly string[]): string {
	const chunks = parts.filter(part => part !== '').map(part => `${part.length.toString(16)}\r\n${part}\r\n`);
	return `POST ${path} HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n${chunks.join('')}0\r\n\r\n`;
}

test('a request begins when the one before it on its connection has been answered', async t => {
	const running: ServerResponse[] = [];
	const address = await startServer(t, (_req, res) => {
		running.push(res);
	});
	const client = await RawClient.connect(address);
	client.socket.write('GET /a HTTP/1.1\r\nhost: a\r\n\r\n'.repeat(100));
	for (let i = 0; i < 100; i++) {
		await waitUntil(() => running.length === i + 1);
		running[i]!.end('x');
	}

	await waitUntil(() => client.statuses.length === 100);
	assert.equal(running.length, 100);
});

test('a request with an unknown expectation is refused, and the next one begins after it', async t => {
	let requests = 0;
	const address = await startServer(t, (req, res) => {
		requests++;
		echo(req, res);
	});
	const client = await RawClient.connect(address);
	const refused = 'POST /a HTTP/1.1\r\nhost: a\r\nexpect: x\r\ncontent-length: 30\r\n\r\nPOST /hidden HTTP/1.1\r\nhost: a';
	client.socket.write(`${refused}${refused}${chunkedRequest('/b', ['abc'])}`);
	await waitUntil(() => client.received.includes('/b=abc;'));
	assert.deepEqual([client.statuses, requests], [['417', '417', '200'], 1]);
});

test('bodies arrive whole, whatever their framing, their chunks and the pieces in which they are sent', async t => {
	const address = await startServer(t, echo);
	const requestBody = fastCheck.array(fastCheck.string({unit: fastCheck.constantFrom('a', '\r', '\n', '0', ';'), maxLength: 40}), {maxLength: 40});
	const example = fastCheck.record({
		bodies: fastCheck.array(fastCheck.tuple(requestBody, fastCheck.boolean()), {minLength: 1, maxLength: 6}),
		cuts: fastCheck.array(fastCheck.integer({min: 1, max: 400}), {maxLength: 12}),
	});
	await fastCheck.assert(fastCheck.asyncProperty(example, async ({bodies, cuts}) => {
		const client = await RawClient.connect(address);
		let rest = bodies.map(([parts, isChunked], i) => isChunked
			? chunkedRequest(`/${i}`, parts)
			: `POST /${i} HTTP/1.1\r\nhost: a\r\ncontent-length: ${parts.join('').length}\r\n\r\n${parts.join('')}`).join('');
		for (const cut of cuts) {
			client.socket.write(rest.slice(0, cut), 'latin1');
			rest = rest.slice(cut);
			await sleep(0);
		}

		client.socket.write(rest, 'latin1');
		await waitUntil(() => client.statuses.length === bodies.length && client.received.includes(`/${bodies.length - 1}=${bodies.at(-1)![0].join('')};`));
		for (const [i, [parts]] of bodies.entries()) {
			assert.ok(client.received.includes(`/${i}=${parts.join('')};`));
		}

		client.socket.destroy();
	}), {seed: firstSeed, numRuns: runs});
});

test('a body that nobody reads at first arrives whole later, in chunks of one byte too', async t => {
	const address = await startServer(t, (req, res) => {
		setTimeout(() => {
			echo(req, res);
		}, 50);
	});
	const client = await RawClient.connect(address);
	const body = 'x'.repeat(100_000);
	client.socket.write(chunkedRequest('/small', [...body]));
	client.socket.write(chunkedRequest('/large', [body, body]));
	await waitUntil(() => client.received.includes(`/small=${body};`) && client.received.includes(`/large=${body}${body};`));
});

test('other requests are served while a body in chunks of one byte arrives', async t => {
	let isReceived = false;
	const address = await startServer(t, (req, res) => {
		readBody(req, () => {
			isReceived ||= req.method === 'POST';
			res.end();
		});
	});
	const sender = await RawClient.connect(address);
	sender.socket.write(chunkedRequest('/a', [...'x'.repeat(1_000_000)]));
	const other = await RawClient.connect(address);
	other.socket.write('GET /b HTTP/1.1\r\nhost: a\r\n\r\n');
	await waitUntil(() => other.statuses.length === 1);
	assert.equal(isReceived, false);
	await waitUntil(() => sender.statuses.length === 1);
});

test('what follows of a body whose request has been answered is not parsed; its connection is closed, and the caller gets the answer', async t => {
	let ends = 0;
	const address = await startServer(t, (req, res) => {
		req.once('end', () => {
			ends++;
		});
		res.writeHead(401, {'content-length': '0'}).end();
	});
	const client = await RawClient.connect(address);
	client.socket.write('POST /a HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n1\r\na\r\n');
	await waitUntil(() => client.statuses.length === 1);
	client.socket.write(`0\r\n\r\n${chunkedRequest('/b', ['x'])}`);
	await waitUntil(() => client.isClosed);
	assert.deepEqual([client.statuses, ends], [['401'], 0]);
});

test('a connection goes on after an answer to a request that has arrived in full', async t => {
	const address = await startServer(t, (_req, res) => {
		res.writeHead(401, {'content-length': '0'}).end();
	});
	const client = await RawClient.connect(address);
	for (let i = 1; i <= 3; i++) {
		client.socket.write(chunkedRequest('/a', ['abc']));
		await waitUntil(() => client.statuses.length === i);
	}

	assert.equal(client.isClosed, false);
});

test('what follows of a malformed message is not parsed, and the message is refused once', async t => {
	const address = await startServer(t, echo);
	const client = await RawClient.connect(address);
	client.socket.write(`POST /a HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\nz\r\n${'1\r\na\r\n'.repeat(1000)}`);
	await waitUntil(() => client.isClosed);
	assert.deepEqual(client.statuses, ['400']);
});

test('a connection is closed if there is no memory for its waiting requests', async t => {
	let requests = 0;
	const address = await startServer(t, () => {
		requests++;
	}, {totalBytes: 1000});
	const client = await RawClient.connect(address);
	client.socket.write('GET /a HTTP/1.1\r\nhost: a\r\n\r\n'.repeat(100));
	await waitUntil(() => client.isClosed);
	assert.equal(requests, 1);
});

test('the arrival and the end of a body are told', async t => {
	const events: string[] = [];
	const address = await startServer(t, echo, {
		onBodyData() {
			events.push('data');
		},
		onBodyEnd() {
			events.push('end');
		},
	});
	const client = await RawClient.connect(address);
	client.socket.write('POST /a HTTP/1.1\r\nhost: a\r\ncontent-length: 2\r\n\r\n');
	await sleep(30);
	client.socket.write('a');
	await waitUntil(() => events.length === 1);
	client.socket.write('b');
	await waitUntil(() => client.statuses.length === 1);
	assert.deepEqual(events, ['data', 'data', 'end']);
});
