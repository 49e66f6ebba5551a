import assert from 'node:assert/strict';
import {test} from 'node:test';
import {bearer, startHarness, until} from './testing/harness.js';
import {RawClient, untilRefused} from './testing/raw-client.js';
import type {FakeAccess} from './testing/services.js';
import type {Handler} from './testing/upstreams.js';

const ok: Handler = (_req, res, body) => {
	res.writeHead(200, {'x-desk': 'ok'}).end(`ran ${body}`);
};

const breaking: Handler = (_req, res) => {
	res.destroy();
};

const stalling: Handler = () => undefined;

function entryInit(idempotencyKey?: string, body = 'dog'): RequestInit {
	return {method: 'POST', headers: {...bearer, ...(idempotencyKey !== undefined && {'idempotency-key': idempotencyKey})}, body};
}

async function answer(res: Response) {
	const body = await res.text();
	const {code, run} = res.headers.get('content-type') === 'application/problem+json' ? JSON.parse(body) as {code: string; run: string} : {code: undefined, run: undefined};
	return {
		status: res.status, body, code, run, retryAfter: res.headers.get('retry-after'),
	};
}

function count(items: readonly string[]): Record<string, number> {
	const counts: Record<string, number> = {};
	for (const item of items) {
		counts[item] = (counts[item] ?? 0) + 1;
	}

	return counts;
}

function runs(desks: ReadonlyArray<{requests: ReadonlyArray<{url: string}>}>): number {
	return desks.flatMap(desk => desk.requests).filter(({url}) => url !== '/healthz').length;
}

test('end-to-end headers pass, hop-by-hop headers and the key do not', async t => {
	const {address, desks} = await startHarness(t, {
		desks: [(_req, res) => {
			res.writeHead(200, {
				'x-end': 'kept', 'x-hop': 'dropped', connection: 'x-hop', 'set-cookie': ['a=1', 'b=2'],
			});
			res.end();
		}],
	});
	const client = await RawClient.connect(address);
	const traceparent = `00-${'a'.repeat(32)}-${'b'.repeat(16)}-01`;
	const hostOnly = ['Connection: x-private', 'X-Private: 1', 'TE: trailers', 'Proxy-Authorization: Basic x', 'X-Copy: key-a', 'X-Tenant: tenant-b'];
	const endToEnd = ['Accept: text/x', 'X-Request-Id: req-1', `traceparent: ${traceparent}`];
	client.send('GET /s/desk/lookup/a?b=c HTTP/1.1', 'Host: entry', 'Authorization: Bearer key-a', ...hostOnly, ...endToEnd, '', '');
	await until(() => client.statuses.length === 1);
	const {headers, url} = desks[0]!.requests[0]!;
	assert.equal(url, '/lookup/a?b=c');
	const {host, connection, ...kept} = headers;
	assert.deepEqual(kept, {
		accept: 'text/x', 'x-request-id': 'req-1', traceparent, 'x-tenant': 'tenant-a',
	});
	assert.equal(JSON.stringify(headers).includes('key-a'), false);
	assert.match(client.received, /x-end: kept[^]*set-cookie: a=1\r\nset-cookie: b=2\r\n/);
	assert.equal(client.received.includes('x-hop'), false);
});

test('a request with an idempotency key runs once; resends get the recorded answer or a conflict', async t => {
	const {url, desks} = await startHarness(t, {desks: [ok]});
	const first = await answer(await fetch(`${url}/s/desk/entries`, entryInit('k1')));
	const res = await fetch(`${url}/s/desk/entries`, entryInit('k1'));
	assert.equal(res.headers.get('x-desk'), 'ok');
	assert.equal(res.headers.get('idempotency-replayed'), 'true');
	const resent = await answer(res);
	assert.deepEqual([first.body, resent.body], ['ran dog', 'ran dog']);
	const conflict = await answer(await fetch(`${url}/s/desk/entries`, entryInit('k1', 'cat')));
	assert.deepEqual([conflict.status, conflict.code], [422, 'idempotency-conflict']);
	const otherTenant = await fetch(`${url}/s/desk/entries`, {...entryInit('k1'), headers: {authorization: 'Bearer key-b', 'idempotency-key': 'k1'}});
	assert.equal(otherTenant.status, 200, 'another tenant\'s key with the same name is another claim');
	assert.equal(runs(desks), 2);
});

test('a claimed request whose caller left runs to its end before a drain is over, and its answer waits for the resend', async t => {
	let release!: () => void;
	const held = new Promise<void>(resolve => {
		release = resolve;
	});
	const {url, address, desks, services, entry} = await startHarness(t, {
		limits: {keepAliveMs: 10, drainSpreadMs: 1}, desks: [async (req, res, body) => {
			await held;
			await ok(req, res, body);
		}],
	});
	const abort = new AbortController();
	const lost = fetch(`${url}/s/desk/entries`, {...entryInit('k1'), signal: abort.signal});
	await until(() => runs(desks) === 1);
	abort.abort();
	await assert.rejects(lost);
	let isDrained = false;
	const drained = (async () => {
		await entry.drained();
		isDrained = true;
	})();
	await untilRefused(address);
	assert.equal(isDrained, false);
	release();
	await drained;
	assert.equal(services.claims.settled.length, 1);
	const {url: otherUrl} = await startHarness(t, {services});
	const resent = await answer(await fetch(`${otherUrl}/s/desk/entries`, entryInit('k1')));
	assert.deepEqual([resent.status, resent.body, runs(desks)], [200, 'ran dog', 1]);
});

test('an answer over 16 KiB is passed on but not recorded, and a resend is told so', async t => {
	const {url, desks} = await startHarness(t, {
		desks: [(_req, res) => {
			res.end('x'.repeat(16_385));
		}],
	});
	const first = await answer(await fetch(`${url}/s/desk/entries`, entryInit('k1')));
	assert.equal(first.body.length, 16_385);
	const resent = await answer(await fetch(`${url}/s/desk/entries`, entryInit('k1')));
	assert.deepEqual([resent.code, resent.run, runs(desks)], ['outcome-not-recorded', 'unknown', 1]);
});

test('a request that is not idempotent is never sent twice, with or without a key', async t => {
	const {url, desks} = await startHarness(t, {desks: [breaking, breaking]});
	const unkeyed = await answer(await fetch(`${url}/s/desk/entries`, entryInit()));
	assert.deepEqual([unkeyed.code, unkeyed.run, unkeyed.retryAfter, runs(desks)], ['upstream-failed', 'unknown', null, 1]);
	await fetch(`${url}/s/desk/entries`, entryInit('k1'));
	const resent = await answer(await fetch(`${url}/s/desk/entries`, entryInit('k1')));
	assert.deepEqual([resent.status, resent.code, runs(desks)], [409, 'outcome-unknown', 2]);
});

test('a server that cannot be reached leaves the request "not run", its claim open for a resend and its tokens returned', async t => {
	const {url, desks, services} = await startHarness(t, {desks: [ok]});
	desks[0]!.close();
	const refused = await answer(await fetch(`${url}/s/desk/entries`, entryInit('k1')));
	assert.deepEqual([refused.code, refused.run, refused.retryAfter], ['upstream-failed', 'not-run', '1']);
	assert.deepEqual(services.claims.settled, [{kind: 'not-run'}]);
	assert.deepEqual(services.access.settlements, [{tenant: 'tenant-a', acquired: 1, used: 0}]);
});

test('an idempotent request is retried on another server; a server that fails in a row gets no more until a probe succeeds', async t => {
	const {url, desks} = await startHarness(t, {profile: {retryBudget: 1}, desks: [breaking, ok]});
	for (let i = 0; i < 20; i++) {
		const res = await fetch(`${url}/s/desk/lookup`, {headers: bearer});
		assert.equal(res.status, 200);
	}

	assert.equal(runs([desks[0]!]), 3, 'ejected behind the third failure');
	desks[0]!.handler = ok;
	await until(() => desks[0]!.requests.some(({url}) => url === '/healthz'));
	while (runs([desks[0]!]) === 3) {
		await fetch(`${url}/s/desk/lookup`, {headers: bearer});
	}
});

test('a server that stalls is ejected even if no request to it may be retried', async t => {
	const {url, desks} = await startHarness(t, {profile: {timeout: '40ms'}, desks: [stalling, ok]});
	for (let i = 0; i < 30; i++) {
		await fetch(`${url}/s/desk/entries`, entryInit());
	}

	assert.equal(runs([desks[0]!]), 3);
});

test('retries stay within the budget of the service', async t => {
	const {url, desks} = await startHarness(t, {profile: {retryBudget: 0}, desks: [breaking, breaking]});
	const res = await answer(await fetch(`${url}/s/desk/lookup`, {headers: bearer}));
	assert.deepEqual([res.code, runs(desks)], ['upstream-failed', 1]);
});

test('a slow lookup is hedged and answered once; a request that is not idempotent is not', async t => {
	const {url, desks} = await startHarness(t, {profile: {hedgeAfter: '20ms', timeout: '300ms'}, desks: [stalling, stalling]});
	const [lookup, order] = await Promise.all([fetch(`${url}/s/desk/lookup`, {headers: bearer}), fetch(`${url}/s/desk/entries`, entryInit())]);
	assert.deepEqual([lookup.status, order.status], [504, 504]);
	const urls = desks.flatMap(desk => desk.requests.map(({url}) => url)).filter(url => url !== '/healthz');
	assert.deepEqual(count(urls.map(url => url.slice(1))), {entries: 1, lookup: 2});
	for (const desk of desks) {
		desk.handler = desk === desks[0] ? stalling : ok;
	}

	for (let i = 0; i < 4; i++) {
		const res = await answer(await fetch(`${url}/s/desk/lookup`, {headers: bearer}));
		assert.equal(res.body === 'ran ' || res.code === 'timeout', true);
	}
});

test('an answer that breaks off reaches the caller as broken, not as complete', async t => {
	const {url} = await startHarness(t, {
		desks: [(_req, res) => {
			res.write('half', () => res.destroy());
		}],
	});
	const res = await fetch(`${url}/s/desk/lookup`, {headers: bearer});
	await assert.rejects(async () => res.text());
});

test('a stalled service fills only its own places; another service and its callers notice nothing', async t => {
	const {url, services, configuration, desks} = await startHarness(t, {profile: {concurrency: 2, maxWait: '50ms', timeout: '400ms'}, desks: [stalling, ok]});
	const upstreams = {...configuration.upstreams, 'desk-2': {...configuration.upstreams['desk-2']!, service: 'other'}};
	await services.access.setConfiguration({...configuration, upstreams});
	const stuck = Array.from({length: 5}, async () => answer(await fetch(`${url}/s/desk/lookup`, {headers: bearer})));
	await until(() => runs([desks[0]!]) === 2);
	const other = await fetch(`${url}/s/other/lookup`, {headers: bearer});
	assert.equal(other.status, 200);
	const results = await Promise.all(stuck);
	assert.deepEqual(count(results.map(({code}) => code!)), {overloaded: 3, timeout: 2});
	assert.equal(results.every(({code, run}) => run === (code === 'overloaded' ? 'not-run' : 'unknown')), true);
});

test('drained and leaving servers get no new requests', async t => {
	const {url, services, configuration, desks, entry} = await startHarness(t, {desks: [ok, ok, ok]});
	await services.access.setConfiguration(configuration, ['desk-1']);
	entry.setLeavingUpstreams(new Set(['desk-2']));
	await Promise.all(Array.from({length: 20}, async () => fetch(`${url}/s/desk/lookup`, {headers: bearer})));
	assert.deepEqual(desks.map(desk => runs([desk])), [0, 0, 20]);
});

test('without a fresh view keyed routes are refused with other entry points, and open routes are served', async t => {
	const {url, services, desks} = await startHarness(t, {desks: [ok]});
	services.access.isConfirmed = false;
	const res = await answer(await fetch(`${url}/s/desk/entries`, entryInit()));
	assert.deepEqual([res.status, res.code, res.run, res.retryAfter], [503, 'control-unreachable', 'not-run', '1']);
	assert.match(res.body, /"entryPoints":\[{"address"/);
	const open = await fetch(`${url}/s/desk/public`, {headers: bearer});
	assert.equal(open.status, 200);
	assert.equal(desks[0]!.requests[0]!.headers.authorization, undefined);
	assert.equal(runs(desks), 1);
});

test('refusals name their code, and only those worth retrying say when', async t => {
	const {url, services, desks} = await startHarness(t, {desks: [ok]});
	const send = async (init: RequestInit = entryInit(), path = '/s/desk/entries') => {
		const {status, code, run, retryAfter} = await answer(await fetch(url + path, init));
		assert.equal(run, 'not-run');
		return [status, code, retryAfter];
	};

	assert.deepEqual(await send({method: 'POST'}), [401, 'missing-key', null]);
	assert.deepEqual(await send({method: 'POST', headers: {authorization: 'Bearer nobody'}}), [401, 'unknown-key', null]);
	assert.deepEqual(await send(entryInit(), '/s/nowhere/x'), [404, 'unknown-service', null]);
	assert.deepEqual(await send(entryInit(), '/s/desk/nowhere'), [404, 'not-found', null]);
	assert.deepEqual(await send({method: 'DELETE', headers: bearer}), [405, 'method-not-allowed', null]);
	assert.deepEqual(await send(entryInit(), '/s/desk/a/../entries%2f'), [400, 'ambiguous-path', null]);
	services.access.nextAllowance = Promise.resolve({ok: false, code: 'rate-exceeded', retryAfterMs: 2100});
	assert.deepEqual(await send(), [429, 'rate-exceeded', '3']);
	services.access.nextAllowance = Promise.resolve({ok: false, code: 'exceeds-burst'});
	assert.deepEqual(await send(), [429, 'exceeds-burst', null]);
	services.access.nextAllowance = Promise.resolve({ok: true});
	services.claims.isAvailable = false;
	assert.deepEqual(await send(entryInit('k1')), [503, 'control-unreachable', '1']);
	assert.equal(runs(desks), 0);
});

const waitEnders: Readonly<Record<string, (access: FakeAccess) => Promise<void> | void>> = {
	async 'key-withdrawn'(access) {
		await access.withdraw('key-a');
	},
	'control-unreachable'(access) {
		access.isConfirmed = false;
	},
};

for (const [code, end] of Object.entries(waitEnders)) {
	test(`a request that becomes ${code} while it waits for allowance never reaches an upstream`, async t => {
		const {url, services, desks} = await startHarness(t, {desks: [ok]});
		let grant!: (result: {ok: true}) => void;
		services.access.nextAllowance = new Promise(resolve => {
			grant = resolve;
		});
		const waiting = fetch(`${url}/s/desk/entries`, entryInit());
		await until(() => services.access.acquisitions === 1);
		await end(services.access);
		grant({ok: true});
		const res = await answer(await waiting);
		assert.deepEqual([res.code, res.run, runs(desks)], [code, 'not-run', 0]);
	});
}
