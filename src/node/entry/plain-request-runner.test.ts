import assert from 'node:assert/strict';
import type {ServerResponse} from 'node:http';
import {test} from 'node:test';
import {bearerHeaders, startHarness, waitUntil} from './testing/harness.js';
import {RawClient, waitUntilRefused} from './testing/raw-client.js';
import type {FakeAccessService} from './testing/services.js';
import type {RequestHandler} from './testing/upstreams.js';

const answerOk: RequestHandler = (_req, res, body) => {
	res.writeHead(200, {'x-desk': 'ok'}).end(`ran ${body}`);
};

const resetConnection: RequestHandler = (_req, res) => {
	res.destroy();
};

const neverAnswer: RequestHandler = () => undefined;

function postInit(idempotencyKey?: string, body = 'dog'): RequestInit {
	return {method: 'POST', headers: {...bearerHeaders, ...(idempotencyKey !== undefined && {'idempotency-key': idempotencyKey})}, body};
}

async function readAnswer(res: Response) {
	const body = await res.text();
	const {code, run} = res.headers.get('content-type') === 'application/problem+json' ? JSON.parse(body) as {code: string; run: string} : {code: undefined, run: undefined};
	return {
		status: res.status, body, code, run, retryAfter: res.headers.get('retry-after'),
	};
}

function countByValue(items: readonly string[]): Record<string, number> {
	const counts: Record<string, number> = {};
	for (const item of items) {
		counts[item] = (counts[item] ?? 0) + 1;
	}

	return counts;
}

function countRequests(deskServers: ReadonlyArray<{requests: ReadonlyArray<{url: string}>}>): number {
	return deskServers.flatMap(desk => desk.requests).filter(({url}) => url !== '/healthz').length;
}

test('end-to-end headers are forwarded, while hop-by-hop headers and the API key are removed', async t => {
	const {address, deskServers} = await startHarness(t, {
		deskHandlers: [(_req, res) => {
			res.writeHead(200, {
				'x-end': 'kept', 'x-hop': 'dropped', connection: 'x-hop', 'set-cookie': ['a=1', 'b=2'],
			});
			res.end();
		}],
	});
	const client = await RawClient.connect(address);
	const traceparent = `00-${'a'.repeat(32)}-${'b'.repeat(16)}-01`;
	const droppedHeaders = ['Connection: x-private', 'X-Private: 1', 'TE: trailers', 'Proxy-Authorization: Basic x', 'X-Copy: key-a', 'X-Tenant: tenant-b'];
	const endToEnd = ['Accept: text/x', 'X-Request-Id: req-1', `traceparent: ${traceparent}`];
	client.send('GET /s/desk/lookup/a?b=c HTTP/1.1', 'Host: entry', 'Authorization: Bearer key-a', ...droppedHeaders, ...endToEnd, '', '');
	await waitUntil(() => client.statuses.length === 1);
	const {headers, url} = deskServers[0]!.requests[0]!;
	assert.equal(url, '/lookup/a?b=c');
	const {host, connection, ...kept} = headers;
	assert.deepEqual(kept, {
		accept: 'text/x', 'x-request-id': 'req-1', traceparent, 'x-tenant': 'tenant-a',
	});
	assert.equal(JSON.stringify(headers).includes('key-a'), false);
	assert.match(client.received, /x-end: kept[^]*set-cookie: a=1\r\nset-cookie: b=2\r\n/);
	assert.equal(client.received.includes('x-hop'), false);
});

test('a request with an idempotency key runs once: a retry gets the recorded response, and another request with the same key is refused as a conflict', async t => {
	const {url, deskServers} = await startHarness(t, {deskHandlers: [answerOk]});
	const first = await readAnswer(await fetch(`${url}/s/desk/entries`, postInit('k1')));
	const res = await fetch(`${url}/s/desk/entries`, postInit('k1'));
	assert.equal(res.headers.get('x-desk'), 'ok');
	assert.equal(res.headers.get('idempotency-replayed'), 'true');
	const resent = await readAnswer(res);
	assert.deepEqual([first.body, resent.body], ['ran dog', 'ran dog']);
	const conflict = await readAnswer(await fetch(`${url}/s/desk/entries`, postInit('k1', 'cat')));
	assert.deepEqual([conflict.status, conflict.code], [422, 'idempotency-conflict']);
	const otherCustomer = await fetch(`${url}/s/desk/entries`, {...postInit('k1'), headers: {authorization: 'Bearer key-b', 'idempotency-key': 'k1'}});
	assert.equal(otherCustomer.status, 200, 'the same idempotency key of another tenant is a separate claim');
	assert.equal(countRequests(deskServers), 2);
});

test('a drain waits for a claimed request whose caller has disconnected, and a retry of that request gets the recorded response', async t => {
	let release!: () => void;
	const held = new Promise<void>(resolve => {
		release = resolve;
	});
	const {url, address, deskServers, services, entry} = await startHarness(t, {
		limits: {keepAliveTimeoutMs: 10, drainPropagationMs: 1}, deskHandlers: [async (req, res, body) => {
			await held;
			await answerOk(req, res, body);
		}],
	});
	const abort = new AbortController();
	const lost = fetch(`${url}/s/desk/entries`, {...postInit('k1'), signal: abort.signal});
	await waitUntil(() => countRequests(deskServers) === 1);
	abort.abort();
	await assert.rejects(lost);
	let isDrained = false;
	const drained = (async () => {
		await entry.drain();
		isDrained = true;
	})();
	await waitUntilRefused(address);
	assert.equal(isDrained, false);
	release();
	await drained;
	assert.equal(services.claims.settledOutcomes.length, 1);
	const {url: otherUrl} = await startHarness(t, {services});
	const resent = await readAnswer(await fetch(`${otherUrl}/s/desk/entries`, postInit('k1')));
	assert.deepEqual([resent.status, resent.body, countRequests(deskServers)], [200, 'ran dog', 1]);
});

/** Writes a part of an answer that ends with its connection, and calls `onWritten` once the kernel has it. */
function writeUnframed(res: ServerResponse, text: string, onWritten: () => void): void {
	res.useChunkedEncodingByDefault = false;
	res.writeHead(200, {connection: 'close'});
	res.write(text, onWritten);
}

async function postRaw(address: string, key: string): Promise<RawClient> {
	const client = await RawClient.connect(address);
	client.send('POST /s/desk/entries HTTP/1.1', 'Host: entry', 'Authorization: Bearer key-a', `Idempotency-Key: ${key}`, 'Content-Length: 0', '', '');
	await waitUntil(() => client.isClosed || client.received.endsWith('\r\n0\r\n\r\n'));
	return client;
}

// Guards against a short answer that is framed as a whole one, at once or when it is replayed.
test('an answer without framing is relayed in chunks, and not recorded as a whole one', async t => {
	const {url, address, deskServers} = await startHarness(t, {
		deskHandlers: [(_req, res) => {
			writeUnframed(res, 'ran', () => {
				res.end();
			});
		}],
	});
	const client = await postRaw(address, 'k1');
	assert.match(client.received, /^http\/1\.1 200[^]*\r\ntransfer-encoding: chunked\r\n[^]*\r\n3\r\nran\r\n0\r\n\r\n$/i);
	assert.doesNotMatch(client.received, /content-length/i);
	const resent = await readAnswer(await fetch(`${url}/s/desk/entries`, {...postInit('k1'), body: ''}));
	assert.deepEqual([resent.code, resent.run, countRequests(deskServers)], ['outcome-not-recorded', 'unknown', 1]);
});

// Guards against an answer that ends early since its server is gone, and that its caller cannot tell from a whole one.
test('an answer without framing whose server is gone at its end does not end as complete, and its outcome is unknown', async t => {
	const {url, address, deskServers} = await startHarness(t, {
		deskHandlers: [(_req, res) => {
			writeUnframed(res, 'ran', () => {
				setTimeout(() => {
					deskServers[0]!.close();
				}, 20);
			});
		}],
	});
	const client = await postRaw(address, 'k1');
	assert.match(client.received, /^http\/1\.1 200[^]*\r\ntransfer-encoding: chunked\r\n/i);
	assert.doesNotMatch(client.received, /\r\n0\r\n\r\n$/);
	assert.equal(client.isClosed, true);
	const resent = await readAnswer(await fetch(`${url}/s/desk/entries`, {...postInit('k1'), body: ''}));
	assert.equal(resent.code, 'outcome-unknown');
});

test('a response over 16 KiB is relayed but not recorded, and a retry is refused with a code that says so', async t => {
	const {url, deskServers} = await startHarness(t, {
		deskHandlers: [(_req, res) => {
			res.end('x'.repeat(16_385));
		}],
	});
	const first = await readAnswer(await fetch(`${url}/s/desk/entries`, postInit('k1')));
	assert.equal(first.body.length, 16_385);
	const resent = await readAnswer(await fetch(`${url}/s/desk/entries`, postInit('k1')));
	assert.deepEqual([resent.code, resent.run, countRequests(deskServers)], ['outcome-not-recorded', 'unknown', 1]);
});

test('a request that is not idempotent is never sent twice, with or without an idempotency key', async t => {
	const {url, deskServers} = await startHarness(t, {deskHandlers: [resetConnection, resetConnection]});
	const unkeyed = await readAnswer(await fetch(`${url}/s/desk/entries`, postInit()));
	assert.deepEqual([unkeyed.code, unkeyed.run, unkeyed.retryAfter, countRequests(deskServers)], ['upstream-failed', 'unknown', null, 1]);
	await fetch(`${url}/s/desk/entries`, postInit('k1'));
	const resent = await readAnswer(await fetch(`${url}/s/desk/entries`, postInit('k1')));
	assert.deepEqual([resent.status, resent.code, countRequests(deskServers)], [409, 'outcome-unknown', 2]);
});

test('a request to an unreachable server is reported as not run, its claim permits a retry, and its rate tokens are refunded', async t => {
	const {url, deskServers, services} = await startHarness(t, {deskHandlers: [answerOk]});
	deskServers[0]!.close();
	const refused = await readAnswer(await fetch(`${url}/s/desk/entries`, postInit('k1')));
	assert.deepEqual([refused.code, refused.run, refused.retryAfter], ['upstream-failed', 'not-run', '1']);
	assert.deepEqual(services.claims.settledOutcomes, [{kind: 'not-run'}]);
	assert.deepEqual(services.access.settlements, [{tenant: 'tenant-a', acquired: 1, used: 0}]);
});

test('an idempotent request is retried on another server; a server that keeps failing is ejected until a health check succeeds', async t => {
	const {url, deskServers} = await startHarness(t, {profile: {retryBudget: 1}, deskHandlers: [resetConnection, answerOk]});
	for (let i = 0; i < 20; i++) {
		const res = await fetch(`${url}/s/desk/lookup`, {headers: bearerHeaders});
		assert.equal(res.status, 200);
	}

	assert.equal(countRequests([deskServers[0]!]), 3, 'the server is ejected after its third failure');
	deskServers[0]!.handler = answerOk;
	await waitUntil(() => deskServers[0]!.requests.some(({url}) => url === '/healthz'));
	while (countRequests([deskServers[0]!]) === 3) {
		await fetch(`${url}/s/desk/lookup`, {headers: bearerHeaders});
	}
});

test('a stalled server is ejected even if none of its requests may be retried', async t => {
	const {url, deskServers} = await startHarness(t, {profile: {timeout: '40ms'}, deskHandlers: [neverAnswer, answerOk]});
	for (let i = 0; i < 30; i++) {
		await fetch(`${url}/s/desk/entries`, postInit());
	}

	assert.equal(countRequests([deskServers[0]!]), 3);
});

test('a request is not retried if the retry budget of the service is 0', async t => {
	const {url, deskServers} = await startHarness(t, {profile: {retryBudget: 0}, deskHandlers: [resetConnection, resetConnection]});
	const res = await readAnswer(await fetch(`${url}/s/desk/lookup`, {headers: bearerHeaders}));
	assert.deepEqual([res.code, countRequests(deskServers)], ['upstream-failed', 1]);
});

test('a slow idempotent read is hedged and answered once, while a request that is not idempotent is sent only once', async t => {
	const {url, deskServers} = await startHarness(t, {profile: {hedgeAfter: '20ms', timeout: '300ms'}, deskHandlers: [neverAnswer, neverAnswer]});
	const [lookup, post] = await Promise.all([fetch(`${url}/s/desk/lookup`, {headers: bearerHeaders}), fetch(`${url}/s/desk/entries`, postInit())]);
	assert.deepEqual([lookup.status, post.status], [504, 504]);
	const urls = deskServers.flatMap(desk => desk.requests.map(({url}) => url)).filter(url => url !== '/healthz');
	assert.deepEqual(countByValue(urls.map(url => url.slice(1))), {entries: 1, lookup: 2});
	for (const desk of deskServers) {
		desk.handler = desk === deskServers[0] ? neverAnswer : answerOk;
	}

	for (let i = 0; i < 4; i++) {
		const res = await readAnswer(await fetch(`${url}/s/desk/lookup`, {headers: bearerHeaders}));
		assert.equal(res.body === 'ran ' || res.code === 'timeout', true);
	}
});

test('a response that is cut off does not look complete to the caller', async t => {
	const {url} = await startHarness(t, {
		deskHandlers: [(_req, res) => {
			res.write('half', () => res.destroy());
		}],
	});
	const res = await fetch(`${url}/s/desk/lookup`, {headers: bearerHeaders});
	await assert.rejects(async () => res.text());
});

test('a stalled service uses up only its own concurrency slots; requests to another service are not affected', async t => {
	const {url, services, configuration, deskServers} = await startHarness(t, {profile: {concurrency: 2, maxWait: '50ms', timeout: '400ms'}, deskHandlers: [neverAnswer, answerOk]});
	const upstreams = {...configuration.upstreams, 'desk-2': {...configuration.upstreams['desk-2']!, service: 'other'}};
	await services.access.setConfiguration({...configuration, upstreams});
	const pendingAnswers = Array.from({length: 5}, async () => readAnswer(await fetch(`${url}/s/desk/lookup`, {headers: bearerHeaders})));
	await waitUntil(() => countRequests([deskServers[0]!]) === 2);
	const other = await fetch(`${url}/s/other/lookup`, {headers: bearerHeaders});
	assert.equal(other.status, 200);
	const results = await Promise.all(pendingAnswers);
	assert.deepEqual(countByValue(results.map(({code}) => code!)), {overloaded: 3, timeout: 2});
	assert.equal(results.every(({code, run}) => run === (code === 'overloaded' ? 'not-run' : 'unknown')), true);
});

test('drained and leaving servers get no new requests', async t => {
	const {url, services, configuration, deskServers, entry} = await startHarness(t, {deskHandlers: [answerOk, answerOk, answerOk]});
	await services.access.setConfiguration(configuration, ['desk-1']);
	entry.setLeavingUpstreams(new Set(['desk-2']));
	await Promise.all(Array.from({length: 20}, async () => fetch(`${url}/s/desk/lookup`, {headers: bearerHeaders})));
	assert.deepEqual(deskServers.map(desk => countRequests([desk])), [0, 0, 20]);
});

test('while the view is stale, routes that need a key are refused with a list of entry points, and open routes are served', async t => {
	const {url, services, deskServers} = await startHarness(t, {deskHandlers: [answerOk]});
	services.access.isViewFresh = false;
	const res = await readAnswer(await fetch(`${url}/s/desk/entries`, postInit()));
	assert.deepEqual([res.status, res.code, res.run, res.retryAfter], [503, 'control-unreachable', 'not-run', '1']);
	assert.match(res.body, /"entryPoints":\[{"address"/);
	const open = await fetch(`${url}/s/desk/public`, {headers: bearerHeaders});
	assert.equal(open.status, 200);
	assert.equal(deskServers[0]!.requests[0]!.headers.authorization, undefined);
	assert.equal(countRequests(deskServers), 1);
});

test('refusals carry their code, and only retryable refusals carry a retry delay', async t => {
	const {url, services, deskServers} = await startHarness(t, {deskHandlers: [answerOk]});
	const send = async (init: RequestInit = postInit(), path = '/s/desk/entries') => {
		const {status, code, run, retryAfter} = await readAnswer(await fetch(url + path, init));
		assert.equal(run, 'not-run');
		return [status, code, retryAfter];
	};

	assert.deepEqual(await send({method: 'POST'}), [401, 'missing-key', null]);
	assert.deepEqual(await send({method: 'POST', headers: {authorization: 'Bearer nobody'}}), [401, 'unknown-key', null]);
	assert.deepEqual(await send(postInit(), '/s/nowhere/x'), [404, 'unknown-service', null]);
	assert.deepEqual(await send(postInit(), '/s/desk/nowhere'), [404, 'not-found', null]);
	assert.deepEqual(await send({method: 'DELETE', headers: bearerHeaders}), [405, 'method-not-allowed', null]);
	assert.deepEqual(await send(postInit(), '/s/desk/a/../entries%2f'), [400, 'ambiguous-path', null]);
	services.access.nextAcquireResult = Promise.resolve({ok: false, code: 'rate-exceeded', retryAfterMs: 2100});
	assert.deepEqual(await send(), [429, 'rate-exceeded', '3']);
	services.access.nextAcquireResult = Promise.resolve({ok: false, code: 'exceeds-burst'});
	assert.deepEqual(await send(), [429, 'exceeds-burst', null]);
	services.access.nextAcquireResult = Promise.resolve({ok: true});
	services.claims.isAvailable = false;
	assert.deepEqual(await send(postInit('k1')), [503, 'control-unreachable', '1']);
	assert.equal(countRequests(deskServers), 0);
});

const interruptions: Readonly<Record<string, (access: FakeAccessService) => Promise<void> | void>> = {
	async 'key-withdrawn'(access) {
		await access.withdraw('key-a');
	},
	'control-unreachable'(access) {
		access.isViewFresh = false;
	},
};

for (const [code, interrupt] of Object.entries(interruptions)) {
	test(`a request refused with ${code} after it waited for its rate limit never reaches an upstream`, async t => {
		const {url, services, deskServers} = await startHarness(t, {deskHandlers: [answerOk]});
		let grant!: (result: {ok: true}) => void;
		services.access.nextAcquireResult = new Promise(resolve => {
			grant = resolve;
		});
		const waiting = fetch(`${url}/s/desk/entries`, postInit());
		await waitUntil(() => services.access.acquisitionCount === 1);
		await interrupt(services.access);
		grant({ok: true});
		const res = await readAnswer(await waiting);
		assert.deepEqual([res.code, res.run, countRequests(deskServers)], [code, 'not-run', 0]);
	});
}

// Guards against a request that crashes one server after the other, because each caller that asks again is served anew.
test('a request on which two servers crashed is refused as not run, and requests that differ in one point are served', async t => {
	const crashOnDeadly = (i: number): RequestHandler => (req, res, body) => {
		if (body === 'deadly' && req.url === '/entries?id=1') {
			deskServers[i]!.close();
		} else {
			res.end(body);
		}
	};

	const {url, services, deskServers} = await startHarness(t, {deskHandlers: [0, 1, 2].map(i => crashOnDeadly(i))});
	const send = async (target: string, body: string) => readAnswer(await fetch(`${url}/s/desk${target}`, {method: 'POST', body, headers: bearerHeaders}));
	for (let i = 0; i < 2; i++) {
		const {status, run} = await send('/entries?id=1', 'deadly');
		assert.deepEqual([status, run], [502, 'unknown']);
	}

	await waitUntil(() => (services.metrics.counts.get('quarantine_blocks') ?? 0) > 0);
	const arrivals = countRequests(deskServers);
	const second = await send('/entries?id=1', 'deadly');
	assert.deepEqual([second.status, second.code, second.run], [503, 'request-blocked', 'not-run']);
	assert.ok(Number(second.retryAfter) > 0);
	assert.equal(countRequests(deskServers), arrivals);
	for (const [target, body] of [['/entries?id=1', 'sound'], ['/entries?id=2', 'deadly']] as const) {
		const {status} = await send(target, body);
		assert.equal(status, 200, `${target} ${body}`);
	}
});
