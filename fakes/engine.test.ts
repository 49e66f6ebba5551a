import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {TestContext} from 'node:test';
import {request} from 'undici';
import type {z} from 'zod';
import {
	cacheEventsReplySchema, callIdHeader, decodeEventSchema, importReplySchema, loadReplySchema, orderStateSchema, prefillReplySchema, requestListSchema,
} from '../src/common/upstreams/engine-api.js';
import type {DecodeEvent} from '../src/common/upstreams/engine-api.js';
import {prefixHashes} from '../src/common/upstreams/prompt-prefix.js';
import {expectedAnswer, requestMarker} from './answer.js';
import {FakeEngine} from './engine.js';
import type {FakeEngineOptions} from './engine.js';

type Reply = {status: number; body: unknown};

const owner = {vm: 'entry-1', incarnation: 1};

async function startEngine(t: TestContext, options: Partial<FakeEngineOptions> = {}): Promise<FakeEngine> {
	const engine = new FakeEngine({
		name: 'engine', decodeStepMs: 1, prefillTokenMs: 0.01, ...options,
	});
	await engine.start();
	t.after(async () => engine.dispose());
	return engine;
}

async function call(engine: FakeEngine, method: 'GET' | 'POST' | 'DELETE', path: string, body?: unknown): Promise<Reply> {
	const res = await request(`http://${engine.address}${path}`, {method, ...(body !== undefined && {body: JSON.stringify(body)})});
	const text = await res.body.text();
	return {status: res.statusCode, body: text === '' ? undefined : JSON.parse(text)};
}

async function sendPrefill(engine: FakeEngine, requestId: string, prompt: string) {
	return call(engine, 'POST', '/v1/prefill', {
		requestId, owner, model: 'm', prompt, priority: 5,
	});
}

async function sendImport(source: FakeEngine, target: FakeEngine, requestId: string, handle: string) {
	return call(target, 'POST', '/v1/kv/import', {
		requestId, owner, source: source.address, handle,
	});
}

async function parseReply<S extends z.ZodType>(schema: S, reply: Promise<Reply>): Promise<z.output<S>> {
	const {body} = await reply;
	return schema.parse(body);
}

async function statusOf(reply: Promise<Reply>): Promise<number> {
	const {status} = await reply;
	return status;
}

async function readEvents(reply: ReturnType<typeof openDecodeStream>, limit = Infinity): Promise<DecodeEvent[]> {
	const {body} = await reply;
	const events: DecodeEvent[] = [];
	const decoder = new TextDecoder();
	let remainder = '';
	for await (const chunk of body as AsyncIterable<Uint8Array>) {
		const parts = (remainder + decoder.decode(chunk, {stream: true})).split('\n\n');
		remainder = parts.pop()!;
		events.push(...parts.map(part => decodeEventSchema.parse(JSON.parse(part.slice('data: '.length)))));
		if (events.length >= limit) {
			return events.slice(0, limit);
		}
	}

	return events;
}

async function openDecodeStream(engine: FakeEngine, requestId: string, maxTokens: number, after = 0) {
	return request(`http://${engine.address}/v1/decode`, {
		method: 'POST', body: JSON.stringify({
			requestId, owner, maxTokens, after,
		}),
	});
}

function textOf(events: readonly DecodeEvent[]): string {
	return events.map(event => 'text' in event ? event.text : '').join('');
}

test('a request passes through prefill, KV transfer and decode, and the caller receives the expected answer', async t => {
	const [prefillEngine, decodeEngine] = [await startEngine(t, {role: 'prefill'}), await startEngine(t, {role: 'decode'})];
	const prompt = 'rules '.repeat(200) + requestMarker('call-1');
	const result = await parseReply(prefillReplySchema, sendPrefill(prefillEngine, 'r1', prompt));
	assert.equal(result.cachedTokens, 0);
	await parseReply(importReplySchema, sendImport(prefillEngine, decodeEngine, 'r1', result.handle));
	const events = await readEvents(openDecodeStream(decodeEngine, 'r1', 10));
	assert.equal(textOf(events), expectedAnswer('call-1', 10));
	assert.ok('end' in events.at(-1)!);
	assert.deepEqual(await parseReply(requestListSchema, call(decodeEngine, 'GET', '/v1/requests')), {requests: []});
	assert.equal(prefillEngine.getRecord().prefills[0]?.outcome, 'transferred');
	const repeatedResult = await parseReply(prefillReplySchema, sendPrefill(prefillEngine, 'r2', prompt));
	assert.equal(repeatedResult.cachedTokens, prefixHashes(prompt).length * 64, 'a repeated prefix comes from the cache');
});

test('a broken stream resumes after a given event number without a gap or a repeated event', async t => {
	const engine = await startEngine(t);
	const {handle} = await parseReply(prefillReplySchema, sendPrefill(engine, 'r1', 'prompt'));
	await sendImport(engine, engine, 'r1', handle);
	const firstEvents = await readEvents(openDecodeStream(engine, 'r1', 20), 3);
	const resumedEvents = await readEvents(openDecodeStream(engine, 'r1', 20, 3));
	assert.equal(textOf([...firstEvents, ...resumedEvents]), expectedAnswer('r1', 20));
	const unknownReply = await openDecodeStream(engine, 'unknown', 20);
	assert.equal(unknownReply.statusCode, 404);
});

test('an import gets status 429 if no slot is free and 410 after its request was cancelled, and a repeated cancellation gets 204', async t => {
	const engine = await startEngine(t, {slots: 1, decodeStepMs: 1000});
	const {handle} = await parseReply(prefillReplySchema, sendPrefill(engine, 'r1', 'prompt'));
	assert.equal(await statusOf(sendImport(engine, engine, 'r1', handle)), 200);
	const secondResult = await parseReply(prefillReplySchema, sendPrefill(engine, 'r2', 'prompt'));
	assert.deepEqual(await sendImport(engine, engine, 'r2', secondResult.handle), {status: 429, body: {code: 'full'}});
	assert.equal(await statusOf(call(engine, 'DELETE', '/v1/requests/r1')), 204);
	assert.equal(await statusOf(call(engine, 'DELETE', '/v1/requests/r1')), 204, 'a repeated cancellation is harmless');
	assert.equal(await statusOf(call(engine, 'DELETE', '/v1/requests/r2')), 204);
	assert.deepEqual(await sendImport(engine, engine, 'r2', secondResult.handle), {status: 410, body: {code: 'expired'}});
	assert.deepEqual(await parseReply(requestListSchema, call(engine, 'GET', '/v1/requests')), {requests: []});
	assert.equal(engine.getRecord().cancels, 2);
	const load = await parseReply(loadReplySchema, call(engine, 'GET', '/v1/load'));
	assert.equal(load.totalBlocks, 2000);
});

test('a prompt larger than the KV cache is refused, and cached blocks of an ended request are evicted to make room for another prompt', async t => {
	const engine = await startEngine(t, {cacheBlocks: 8});
	assert.equal(await statusOf(sendPrefill(engine, 'r1', 'a'.repeat(256 * 9))), 429);
	for (const [id, letter] of [['r2', 'b'], ['r3', 'c']] as const) {
		assert.equal(await statusOf(sendPrefill(engine, id, letter.repeat(256 * 6))), 200);
		await call(engine, 'DELETE', `/v1/requests/${id}`);
	}

	const repeatedResult = await parseReply(prefillReplySchema, sendPrefill(engine, 'r4', 'b'.repeat(256 * 6)));
	assert.ok(repeatedResult.cachedTokens <= 2 * 64, 'the prompt of r3 evicted most blocks of the prompt of r2');
	await parseReply(cacheEventsReplySchema, call(engine, 'GET', '/v1/cache-events?after=0'));
});

test('an order with a stale fencing token is refused only by an engine that checks fencing', async t => {
	const [strictEngine, lenientEngine] = [await startEngine(t), await startEngine(t, {checksFencing: false})];
	const order = (orderId: string, fencing: number) => ({orderId, fencing, order: {kind: 'set-role', role: 'prefill'}});
	for (const engine of [strictEngine, lenientEngine]) {
		assert.equal(await statusOf(call(engine, 'POST', '/v1/orders', order('o2', 2))), 202);
	}

	assert.deepEqual(await call(strictEngine, 'POST', '/v1/orders', order('o1', 1)), {status: 409, body: {code: 'stale-fencing', highest: 2}});
	assert.equal(await statusOf(call(lenientEngine, 'POST', '/v1/orders', order('o1', 1))), 202);
	const state = await parseReply(orderStateSchema, call(lenientEngine, 'GET', '/v1/orders'));
	assert.equal(state.lastOrderId, 'o1');
});

test('an import waits for a stalled transfer until the fault ends', async t => {
	const [source, target] = [await startEngine(t), await startEngine(t)];
	await source.setFault({fault: 'stall-transfers'});
	const {handle} = await parseReply(prefillReplySchema, sendPrefill(source, 'r1', 'prompt'));
	let isImportDone = false;
	const transfer = (async () => {
		const result = await sendImport(source, target, 'r1', handle);
		isImportDone = true;
		return result;
	})();
	await call(target, 'GET', '/v1/load');
	assert.ok(!isImportDone);
	await source.setFault({fault: 'none'});
	assert.equal(await statusOf(transfer), 200);
});

// Guards against answers that the router can't tell from those to other calls.
test('each answer repeats the id of its call, whatever its status, unless the engine is told not to', async t => {
	const engines = [await startEngine(t), await startEngine(t, {repeatsCallIds: false})];
	const paths = ['/v1/load', '/v1/requests', '/v1/nowhere', '/v1/prefill', '/v1/decode', '/v1/requests/r1'];
	const methods = ['GET', 'GET', 'GET', 'POST', 'POST', 'DELETE'] as const;
	for (const [i, engine] of engines.entries()) {
		const ids = await Promise.all(paths.map(async (path, at) => {
			const {headers, body} = await request(`http://${engine.address}${path}`, {
				method: methods[at]!, headers: {[callIdHeader]: `id-${at}`}, ...(methods[at] === 'POST' && {body: '{}'}),
			});
			await body.dump();
			return headers[callIdHeader];
		}));
		assert.deepEqual(ids, paths.map((_, at) => i === 0 ? `id-${at}` : undefined));
	}
});
