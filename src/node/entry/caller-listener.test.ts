import assert from 'node:assert/strict';
import {test} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	bearerHeaders, chatRequestInit, startHarness, waitUntil,
} from './testing/harness.js';
import {RawClient, waitUntilRefused} from './testing/raw-client.js';

const post = 'POST /s/desk/entries HTTP/1.1';
const host = 'Host: entry';
const key = 'Authorization: Bearer key-a';

/** Messages whose end two parsers could place differently (request smuggling), and a message whose headers are too large. */
const rejectedMessages: Readonly<Record<string, {lines: string[]; status: string; code: string}>> = {
	'two different lengths': {lines: [post, host, key, 'Content-Length: 5', 'Content-Length: 6', '', 'hello!'], status: '400', code: 'malformed-request'},
	'the same length twice': {lines: [post, host, key, 'Content-Length: 5', 'Content-Length: 5', '', 'hello'], status: '400', code: 'malformed-request'},
	'a length and a transfer encoding': {lines: [post, host, key, 'Content-Length: 5', 'Transfer-Encoding: chunked', '', '0', '', ''], status: '400', code: 'malformed-request'},
	'an unknown transfer encoding': {lines: [post, host, key, 'Transfer-Encoding: chunked, x', '', '0', '', ''], status: '400', code: 'malformed-request'},
	'a length that is not decimal': {lines: [post, host, key, 'Content-Length: 0x5', '', 'hello'], status: '400', code: 'malformed-request'},
	'a folded header': {lines: [post, host, key, 'X-A: 1', ' Content-Length: 5', 'Content-Length : 5', '', 'hello'], status: '400', code: 'malformed-request'},
	'headers over the limit': {lines: [post, host, key, `X-A: ${'a'.repeat(17_000)}`, '', ''], status: '431', code: 'headers-too-large'},
};

for (const [name, {lines, status, code}] of Object.entries(rejectedMessages)) {
	test(`a message with ${name} is refused, reaches no upstream, and its connection is closed`, async t => {
		const {address, deskServers} = await startHarness(t, {
			deskHandlers: [(_req, res) => {
				res.end();
			}],
		});
		const client = await RawClient.connect(address);
		client.send(...lines);
		client.send('GET /healthz HTTP/1.1', host, '', '');
		await waitUntil(() => client.isClosed);
		assert.deepEqual(client.statuses, [status]);
		assert.match(client.received, new RegExp(`"code":"${code}","run":"not-run"`));
		assert.equal(deskServers[0]!.requests.length, 0);
	});
}

test('headers and bodies that arrive too slowly are refused, each with its own code', async t => {
	const {address, entry} = await startHarness(t, {
		limits: {headersTimeoutMs: 100, bodyTimeoutMs: 100}, deskHandlers: [(_req, res) => {
			res.end();
		}],
	});
	const slowHeaders = await RawClient.connect(address);
	slowHeaders.send(post, host, 'X-A: ');
	const silent = await RawClient.connect(address);
	const slowBody = await RawClient.connect(address);
	slowBody.send(post, host, key, 'Content-Length: 5', '', 'hel');
	await waitUntil(() => slowHeaders.isClosed && slowBody.isClosed && silent.isClosed);
	assert.match(slowHeaders.received, /408[^]*"code":"headers-timeout"/);
	assert.match(slowBody.received, /408[^]*"code":"body-timeout"/);
	assert.equal(entry.runningCount, 0);
});

test('a body over the limit is refused before it has fully arrived, whether its length is declared or it is chunked', async t => {
	const {address, deskServers, services} = await startHarness(t, {
		profile: {bodyLimit: '1KiB'}, deskHandlers: [(_req, res) => {
			res.end();
		}],
	});
	const declared = await RawClient.connect(address);
	declared.send(post, host, key, 'Content-Length: 1000000000', '', 'x');
	const chunked = await RawClient.connect(address);
	chunked.send(post, host, key, 'Transfer-Encoding: chunked', '', '800', 'y'.repeat(2048), '');
	for (const client of [declared, chunked]) {
		await waitUntil(() => client.isClosed);
		assert.match(client.received, /413[^]*"code":"body-too-large","run":"not-run"/);
	}

	assert.equal(deskServers[0]!.requests.length, 0);
	assert.equal(services.access.settlements.length, 0, 'no tokens were taken from the rate limit');
});

test('malformed JSON and invalid fields are refused, and the detail names the field', async t => {
	const {url} = await startHarness(t);
	const cases: Array<[string, string, RegExp]> = [
		['{"model": ', 'malformed-json', /JSON/],
		['{"model": "briefs", "messages": [], "model": "briefs"}', 'invalid-request', /messages/],
		['{"model": "briefs", "messages": [{"role": "user", "content": 7}]}', 'invalid-request', /messages\.0\.content/],
		['{"model": "briefs", "messages": [{"role": "user", "content": "x"}], "n": 2}', 'invalid-request', /only one choice/],
		['{"model": "__proto__", "messages": [{"role": "user", "content": "x"}]}', 'unknown-service', /__proto__/],
	];
	for (const [body, code, detail] of cases) {
		const res = await fetch(`${url}/v1/chat/completions`, {...chatRequestInit(), body});
		const document = await res.json() as {code: string; detail: string; run: string};
		assert.deepEqual([document.code, document.run], [code, 'not-run']);
		assert.match(document.detail, detail);
		assert.equal(res.headers.get('content-type'), 'application/problem+json');
	}
});

// Guards against requests that stay in the process for good once their callers have left, and memory that grows with them.
test('pipelined requests end when their caller closes the connection, those that wait behind another one too', async t => {
	const {address, entry} = await startHarness(t, {
		deskHandlers: [() => undefined],
	});
	for (let round = 0; round < 3; round++) {
		const client = await RawClient.connect(address);
		for (let i = 0; i < 4; i++) {
			client.send(post, host, key, 'Content-Length: 0', '', '');
		}

		await waitUntil(() => entry.runningCount === 4);
		client.socket.destroy();
		await waitUntil(() => entry.runningCount === 0);
	}
});

// Guards against a heap that is used up by requests that a caller sends without waiting for answers.
test('of the requests that a caller sends in advance four run at the same time', async t => {
	const handlers: Array<() => void> = [];
	const {address, entry} = await startHarness(t, {
		deskHandlers: [(_req, res) => {
			handlers.push(() => {
				res.end('x');
			});
		}],
	});
	const client = await RawClient.connect(address);
	client.socket.write([post, host, key, 'Content-Length: 0', '', ''].join('\r\n').repeat(40));
	for (let i = 1; i <= 40; i++) {
		await waitUntil(() => handlers.length > 0);
		assert.ok(entry.runningCount <= 4, `${entry.runningCount} requests run`);
		handlers.shift()!();
		await waitUntil(() => client.statuses.length === i);
	}

	assert.equal(client.statuses.every(status => status === '200'), true);
});

// Guards against an event loop that does nothing but parse the chunks of one caller.
test('the event loop has its turn again and again while a body in chunks of one byte arrives', async t => {
	const {address} = await startHarness(t, {
		profile: {bodyLimit: '1MiB'}, deskHandlers: [(_req, res) => {
			res.end();
		}],
	});
	const client = await RawClient.connect(address);
	client.socket.write(`${[post, host, key, 'Transfer-Encoding: chunked', '', ''].join('\r\n')}${'1\r\na\r\n'.repeat(200_000)}0\r\n\r\n`);
	let turns = 0;
	while (client.statuses.length === 0) {
		await new Promise(resolve => {
			setImmediate(resolve);
		});
		turns++;
	}

	assert.deepEqual(client.statuses, ['200']);
	assert.ok(turns > 200, `${turns} turns for 200,000 chunks`);
});

test('pipelined requests are each answered once, in the order of their arrival', async t => {
	const {address} = await startHarness(t, {
		deskHandlers: [(req, res) => {
			setTimeout(() => {
				res.end(`<${req.url}>`);
			}, req.url === '/lookup/1' ? 50 : 0);
		}],
	});
	const client = await RawClient.connect(address);
	client.send('GET /s/desk/lookup/1 HTTP/1.1', host, key, '', 'GET /s/desk/lookup/2 HTTP/1.1', host, key, '', '');
	await waitUntil(() => client.received.includes('</lookup/2>'));
	assert.equal(client.received.indexOf('</lookup/1>') < client.received.indexOf('</lookup/2>'), true);
	assert.deepEqual(client.statuses, ['200', '200']);
});

test('withdrawing a key closes the idle connections that used this key, but no connections of other keys', async t => {
	const {address, services} = await startHarness(t, {
		deskHandlers: [(_req, res) => {
			res.end();
		}],
	});
	const clients = await Promise.all(['key-a', 'key-b'].map(async name => {
		const client = await RawClient.connect(address);
		client.send('GET /s/desk/lookup HTTP/1.1', host, `Authorization: Bearer ${name}`, '', '');
		await waitUntil(() => client.statuses.length === 1);
		return client;
	}));
	await services.access.withdraw('key-a');
	await waitUntil(() => clients[0]!.isClosed);
	clients[1]!.send('GET /s/desk/lookup HTTP/1.1', host, 'Authorization: Bearer key-b', '', '');
	await waitUntil(() => clients[1]!.statuses.length === 2);
});

test('a drain interrupts no running request, and new requests are served until the last entry-point answer that lists this process has expired', async t => {
	let release!: () => void;
	const held = new Promise<void>(resolve => {
		release = resolve;
	});
	const {url, address, entry, services} = await startHarness(t, {
		limits: {keepAliveTimeoutMs: 10, drainPropagationMs: 50}, deskHandlers: [async (req, res) => {
			if (req.url === '/lookup/held') {
				await held;
			}

			res.end('done');
		}],
	});
	services.entryPoints.validForMs = 1500;
	const running = fetch(`${url}/s/desk/lookup/held`, {headers: bearerHeaders});
	await waitUntil(() => entry.runningCount === 1);
	const answeredAtMs = services.clock.nowMs();
	await fetch(`${url}/v1/entry-points`);
	services.entryPoints.validForMs = 10;
	entry.beginDrain();
	let isDrained = false;
	const drained = (async () => {
		await entry.drain();
		isDrained = true;
	})();
	const client = await RawClient.connect(address);
	client.send('GET /s/desk/lookup HTTP/1.1', host, key, '', '');
	await waitUntil(() => client.isClosed);
	assert.match(client.received, /200 ok[^]*connection: close[^]*done/i);
	await waitUntilRefused(address);
	assert.ok(services.clock.nowMs() >= answeredAtMs + 1500, 'the listener closed while a caller could still hold an entry-point answer with this address');

	assert.ok(!isDrained, 'the drain ended while a request was running');
	release();
	const res = await running;
	assert.equal(await res.text(), 'done');
	await drained;
});

test('a caller that never reads the rest of its response is disconnected, so that its buffered data is freed', async t => {
	const {address, entry} = await startHarness(t, {
		limits: {slowReaderTimeoutMs: 100}, profile: {bodyLimit: '1KiB'}, deskHandlers: [(_req, res) => {
			res.end('x'.repeat(50_000_000));
		}],
	});
	const client = await RawClient.connect(address);
	client.socket.pause();
	client.send('GET /s/desk/lookup HTTP/1.1', host, key, '', '');
	await waitUntil(() => entry.runningCount === 1);
	await waitUntil(() => entry.runningCount === 0);
	client.socket.destroy();
});

test('withdrawing a key refuses a request whose body is still being uploaded', async t => {
	const {address, services, entry} = await startHarness(t, {deskHandlers: []});
	const client = await RawClient.connect(address);
	client.send(post, host, key, 'Content-Length: 5', '', 'hel');
	await waitUntil(() => entry.runningCount === 1);
	await services.access.withdraw('key-a');
	await waitUntil(() => client.isClosed);
	assert.match(client.received, /"code":"key-withdrawn","run":"not-run"/);
});

test('a drain leaves idle connections open until their keep-alive timeout, so that a request that is already on its way is served', async t => {
	const {address, entry, services} = await startHarness(t, {
		limits: {drainPropagationMs: 1}, deskHandlers: [(_req, res) => {
			res.end();
		}],
	});
	services.entryPoints.validForMs = 1;
	const client = await RawClient.connect(address);
	client.send('GET /s/desk/lookup HTTP/1.1', host, key, '', '');
	await waitUntil(() => client.statuses.length === 1);
	entry.beginDrain();
	await sleep(50);
	client.send('GET /s/desk/lookup HTTP/1.1', host, key, '', '');
	await waitUntil(() => client.isClosed);
	assert.deepEqual(client.statuses, ['200', '200']);
});

test('the memory for the request bodies of a customer is limited across all its requests, and freed when a request ends', async t => {
	const {url, address} = await startHarness(t, {
		limits: {bodyMemoryBytes: 4000}, deskHandlers: [(_req, res) => {
			res.end();
		}],
	});
	const upload = {method: 'POST', headers: bearerHeaders, body: 'x'.repeat(900)};
	const client = await RawClient.connect(address);
	client.send(post, host, key, 'Content-Length: 900', '', 'x'.repeat(500));
	const untilAnswered = async (status: number) => {
		for (let tries = 0; tries < 500; tries++) {
			const res = await fetch(`${url}/s/desk/entries`, upload);
			if (res.status === status) {
				return;
			}
		}

		assert.fail(`no response had status ${status}`);
	};

	await untilAnswered(503);
	client.socket.destroy();
	await untilAnswered(200);
});
