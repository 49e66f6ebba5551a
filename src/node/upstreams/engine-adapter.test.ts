import assert from 'node:assert/strict';
import {test} from 'node:test';
import {ManualClock} from '../../common/core/clock.js';
import {Logger} from '../../common/core/log.js';
import {callIdHeader} from '../../common/upstreams/engine-api.js';
import {waitUntil} from '../entry/testing/harness.js';
import {sendJson, TestServer} from '../entry/testing/upstreams.js';
import type {RequestHandler} from '../entry/testing/upstreams.js';
import {CallError} from './call-error.js';
import {EngineAdapter} from './engine-adapter.js';

const prefillRequest = {
	requestId: 'r', owner: {vm: 'v', incarnation: 1}, model: 'm', prompt: 'p', priority: 5,
};
/** Timeout for calls that are answered; long enough that it does not expire on a busy machine. */
const options = {timeoutMs: 10_000};
/** Timeout for a call that is never fully answered. */
const shortTimeoutOptions = {timeoutMs: 100};

async function prefillOutcome(t: {after: (fn: () => void) => void}, handler: RequestHandler, callOptions = options) {
	const server = await TestServer.start(handler);
	const engine = new EngineAdapter({name: 'e', address: server.address, zone: 'z'}, new ManualClock());
	t.after(() => {
		engine.destroy();
		server.close();
	});
	try {
		await engine.prefill(prefillRequest, callOptions);
	} catch (err) {
		return err instanceof CallError ? err.failure : err;
	}

	return 'answered';
}

test('the kind of a failed call tells whether the engine refused it, lost the result, failed, replied invalidly or did not reply in time', async t => {
	assert.deepEqual(await prefillOutcome(t, (_req, res) => {
		sendJson(res, 429, {code: 'full'});
	}), {kind: 'full', mayHaveBeenSent: true});
	assert.deepEqual(await prefillOutcome(t, (_req, res) => {
		sendJson(res, 410, {code: 'expired'});
	}), {kind: 'gone', mayHaveBeenSent: true});
	assert.deepEqual(await prefillOutcome(t, (_req, res) => {
		sendJson(res, 503, {});
	}), {kind: 'error', mayHaveBeenSent: true});
	assert.deepEqual(await prefillOutcome(t, (_req, res) => {
		sendJson(res, 200, {handle: 7});
	}), {kind: 'broken', mayHaveBeenSent: true});
	assert.deepEqual(await prefillOutcome(t, (_req, res) => {
		res.writeHead(200).write('{');
	}, shortTimeoutOptions), {kind: 'timeout', mayHaveBeenSent: true});
	assert.deepEqual(await prefillOutcome(t, (_req, res) => {
		res.end('x'.repeat(5_000_000));
	}), {kind: 'broken', mayHaveBeenSent: true}, 'the size of a reply is limited');
});

test('load, cache events and orders are requested as the engine API defines them', async t => {
	const load = {
		ageMs: 1, queuedPrefillTokens: 2, activeDecodes: 3, slots: 4, freeBlocks: 5, totalBlocks: 6, leaving: false,
	};
	const orderState = {
		highestFencing: 3, lastOrderId: 'o', models: [], adapters: [], role: 'decode', loading: true,
	};
	const cacheEvents = {events: [{n: 8, kind: 'stored', hash: 'h'}], last: 9};
	const server = await TestServer.start((req, res) => {
		sendJson(res, 200, req.url === '/v1/load' ? load : (req.method === 'POST' ? orderState : cacheEvents));
	});
	const engine = new EngineAdapter({name: 'e', address: server.address, zone: 'z'}, new ManualClock());
	t.after(() => {
		engine.destroy();
		server.close();
	});
	assert.deepEqual(await engine.fetchLoad(options), load);
	assert.equal(await engine.probe(100), true);
	const {events, last} = await engine.fetchCacheEvents(7, options);
	assert.deepEqual([events.length, last], [1, 9]);
	await engine.submitOrder({orderId: 'o', fencing: 3, order: {kind: 'set-role', role: 'decode'}}, options);
	assert.deepEqual(server.requests.slice(-2).map(({method, url}) => `${method} ${url}`), ['GET /v1/cache-events?after=7', 'POST /v1/orders']);
});

// Guards against "not run" for a call that ran: an engine that got it twice may refuse the second one because it runs the first.
test('a call that got the answer to another one counts as one that may have run, whatever becomes of its repetition', async t => {
	const logged: unknown[] = [];
	const logger = new class extends Logger {
		override log(...line: unknown[]): void {
			logged.push(line);
		}
	}();
	let callId: string | undefined;
	const server = await TestServer.start((req, res) => {
		const isWrong = callId !== undefined && req.url === '/v1/prefill' && logged.length === 0;
		res.setHeader(callIdHeader, isWrong ? callId! : req.headers[callIdHeader]!);
		callId ??= req.headers[callIdHeader] as string;
		sendJson(res, req.url === '/v1/prefill' ? 429 : 404, {code: 'full'});
	});
	const engine = new EngineAdapter({name: 'e', address: server.address, zone: 'z'}, new ManualClock(), logger);
	t.after(() => {
		engine.destroy();
		server.close();
	});
	await assert.rejects(engine.fetchLoad(options));
	await waitUntil(() => engine.busy === 0);
	await assert.rejects(engine.prefill(prefillRequest, options), (err: unknown) => err instanceof CallError && err.kind === 'broken' && err.mayHaveBeenSent);
	assert.deepEqual(logged, [['warn', 'answer of an upstream belongs to another call', {
		path: '/v1/prefill', requestId: 'r', upstream: 'e', method: 'POST', callId: server.requests[1]!.headers[callIdHeader], answerId: callId, isRepeated: true,
	}]]);
	assert.equal(server.connectionCount, 2);
});

// Guards against an answer without a length that counts as whole although it ends early.
test('an order whose answer ends early is not taken for accepted', async t => {
	const server = await TestServer.start(req => {
		req.socket.end('HTTP/1.1 202 Accepted\r\nConnection: close\r\n\r\n{"highestFencing":3,"mod');
	});
	const engine = new EngineAdapter({name: 'e', address: server.address, zone: 'z'}, new ManualClock());
	t.after(() => {
		engine.destroy();
		server.close();
	});
	await assert.rejects(engine.submitOrder({orderId: 'o', fencing: 3, order: {kind: 'set-role', role: 'decode'}}, options), CallError);
});
