import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {TestContext} from 'node:test';
import {request} from 'undici';
import type {z} from 'zod';
import {
	cacheEventsReplySchema, decodeEventSchema, importReplySchema, loadReplySchema, orderStateSchema, prefillReplySchema, requestListSchema,
} from '../src/common/upstreams/engine-api.js';
import type {DecodeEvent} from '../src/common/upstreams/engine-api.js';
import {prefixHashes} from '../src/common/upstreams/prefix.js';
import {expectedAnswer, marker} from './answer.js';
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

async function prefill(engine: FakeEngine, requestId: string, prompt: string) {
	return call(engine, 'POST', '/v1/prefill', {
		requestId, owner, model: 'm', prompt, priority: 5,
	});
}

async function importFrom(source: FakeEngine, target: FakeEngine, requestId: string, handle: string) {
	return call(target, 'POST', '/v1/kv/import', {
		requestId, owner, source: source.address, handle,
	});
}

async function parsed<S extends z.ZodType>(schema: S, reply: Promise<Reply>): Promise<z.output<S>> {
	const {body} = await reply;
	return schema.parse(body);
}

async function status(reply: Promise<Reply>): Promise<number> {
	const {status} = await reply;
	return status;
}

async function readEvents(reply: ReturnType<typeof decode>, limit = Infinity): Promise<DecodeEvent[]> {
	const {body} = await reply;
	const events: DecodeEvent[] = [];
	const decoder = new TextDecoder();
	let rest = '';
	for await (const chunk of body as AsyncIterable<Uint8Array>) {
		const parts = (rest + decoder.decode(chunk, {stream: true})).split('\n\n');
		rest = parts.pop()!;
		events.push(...parts.map(part => decodeEventSchema.parse(JSON.parse(part.slice('data: '.length)))));
		if (events.length >= limit) {
			return events.slice(0, limit);
		}
	}

	return events;
}

async function decode(engine: FakeEngine, requestId: string, maxTokens: number, after = 0) {
	return request(`http://${engine.address}/v1/decode`, {
		method: 'POST', body: JSON.stringify({
			requestId, owner, maxTokens, after,
		}),
	});
}

function textOf(events: readonly DecodeEvent[]): string {
	return events.map(event => 'text' in event ? event.text : '').join('');
}

test('a request runs through prefill, transfer and decode, and the caller recognises the answer', async t => {
	const [first, second] = [await startEngine(t, {role: 'prefill'}), await startEngine(t, {role: 'decode'})];
	const prompt = 'rules '.repeat(200) + marker('call-1');
	const result = await parsed(prefillReplySchema, prefill(first, 'r1', prompt));
	assert.equal(result.cachedTokens, 0);
	await parsed(importReplySchema, importFrom(first, second, 'r1', result.handle));
	const events = await readEvents(decode(second, 'r1', 10));
	assert.equal(textOf(events), expectedAnswer('call-1', 10));
	assert.ok('end' in events.at(-1)!);
	assert.deepEqual(await parsed(requestListSchema, call(second, 'GET', '/v1/requests')), {requests: []});
	assert.equal(first.record().prefills[0]?.outcome, 'transferred');
	const again = await parsed(prefillReplySchema, prefill(first, 'r2', prompt));
	assert.equal(again.cachedTokens, prefixHashes(prompt).length * 64, 'a repeated prefix comes from the cache');
});

test('a broken stream is resumed behind a number without a gap or a repeated event', async t => {
	const engine = await startEngine(t);
	const {handle} = await parsed(prefillReplySchema, prefill(engine, 'r1', 'prompt'));
	await importFrom(engine, engine, 'r1', handle);
	const start = await readEvents(decode(engine, 'r1', 20), 3);
	const rest = await readEvents(decode(engine, 'r1', 20, 3));
	assert.equal(textOf([...start, ...rest]), expectedAnswer('r1', 20));
	const unknown = await decode(engine, 'unknown', 20);
	assert.equal(unknown.statusCode, 404);
});

test('slots, roles, expired handles and cancellation keep to the API', async t => {
	const engine = await startEngine(t, {slots: 1, decodeStepMs: 1000});
	const {handle} = await parsed(prefillReplySchema, prefill(engine, 'r1', 'prompt'));
	assert.equal(await status(importFrom(engine, engine, 'r1', handle)), 200);
	const other = await parsed(prefillReplySchema, prefill(engine, 'r2', 'prompt'));
	assert.deepEqual(await importFrom(engine, engine, 'r2', other.handle), {status: 429, body: {code: 'full'}});
	assert.equal(await status(call(engine, 'DELETE', '/v1/requests/r1')), 204);
	assert.equal(await status(call(engine, 'DELETE', '/v1/requests/r1')), 204, 'a repeated cancellation is harmless');
	assert.equal(await status(call(engine, 'DELETE', '/v1/requests/r2')), 204);
	assert.deepEqual(await importFrom(engine, engine, 'r2', other.handle), {status: 410, body: {code: 'expired'}});
	assert.deepEqual(await parsed(requestListSchema, call(engine, 'GET', '/v1/requests')), {requests: []});
	assert.equal(engine.record().cancels, 2);
	const load = await parsed(loadReplySchema, call(engine, 'GET', '/v1/load'));
	assert.equal(load.totalBlocks, 2000);
});

test('a prompt that does not fit the KV cache is refused, and the cache evicts to make room', async t => {
	const engine = await startEngine(t, {cacheBlocks: 8});
	assert.equal(await status(prefill(engine, 'r1', 'a'.repeat(256 * 9))), 429);
	for (const [id, letter] of [['r2', 'b'], ['r3', 'c']] as const) {
		assert.equal(await status(prefill(engine, id, letter.repeat(256 * 6))), 200);
		await call(engine, 'DELETE', `/v1/requests/${id}`);
	}

	const repeated = await parsed(prefillReplySchema, prefill(engine, 'r4', 'b'.repeat(256 * 6)));
	assert.ok(repeated.cachedTokens <= 2 * 64, 'the second prompt evicted most of the first');
	await parsed(cacheEventsReplySchema, call(engine, 'GET', '/v1/cache-events?after=0'));
});

test('a stale fencing number is refused only by an engine that checks it', async t => {
	const [strict, lax] = [await startEngine(t), await startEngine(t, {checksFencing: false})];
	const order = (orderId: string, fencing: number) => ({orderId, fencing, order: {kind: 'set-role', role: 'prefill'}});
	for (const engine of [strict, lax]) {
		assert.equal(await status(call(engine, 'POST', '/v1/orders', order('o2', 2))), 202);
	}

	assert.deepEqual(await call(strict, 'POST', '/v1/orders', order('o1', 1)), {status: 409, body: {code: 'stale-fencing', highest: 2}});
	assert.equal(await status(call(lax, 'POST', '/v1/orders', order('o1', 1))), 202);
	const state = await parsed(orderStateSchema, call(lax, 'GET', '/v1/orders'));
	assert.equal(state.lastOrderId, 'o1');
});

test('a stalled transfer holds the import until the fault ends', async t => {
	const [source, target] = [await startEngine(t), await startEngine(t)];
	await source.setFault({fault: 'stall-transfers'});
	const {handle} = await parsed(prefillReplySchema, prefill(source, 'r1', 'prompt'));
	let isDone = false;
	const transfer = (async () => {
		const result = await importFrom(source, target, 'r1', handle);
		isDone = true;
		return result;
	})();
	await call(target, 'GET', '/v1/load');
	assert.ok(!isDone);
	await source.setFault({fault: 'none'});
	assert.equal(await status(transfer), 200);
});
