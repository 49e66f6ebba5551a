import assert from 'node:assert/strict';
import {once} from 'node:events';
import {connect} from 'node:net';
import {test} from 'node:test';
import type {TestContext} from 'node:test';
import {setImmediate} from 'node:timers/promises';
import {Agent, request} from 'undici';
import {Forwarder} from './forwarder.js';
import {FakePlainService} from './plain-service.js';
import {FakePlatformList} from './platform-list.js';
import {FakeWeightStore} from './weight-store.js';

async function started<T extends {start(): Promise<void>; dispose(): Promise<void>}>(t: TestContext, double: T): Promise<T> {
	await double.start();
	t.after(async () => double.dispose());
	return double;
}

async function plainService(t: TestContext): Promise<FakePlainService> {
	return started(t, new FakePlainService({name: 'desk', serviceMs: 1}));
}

async function post(address: string, ref: string, dispatcher?: Agent) {
	const res = await request(`http://${address}/entries`, {
		method: 'POST', headers: {'idempotency-key': `key-${ref}`}, body: JSON.stringify({ref}), ...(dispatcher && {dispatcher}),
	});
	return {status: res.statusCode, body: await res.body.json() as {ref: string}};
}

async function statusOf(answer: ReturnType<typeof post>): Promise<number> {
	const {status} = await answer;
	return status;
}

test('a plain service records each call, also a repeated one, with its key and body digest', async t => {
	const service = await plainService(t);
	for (const ref of ['a', 'a', 'b']) {
		const answer = await post(service.address, ref);
		assert.equal(answer.status, 201);
		assert.equal(answer.body.ref, ref);
	}

	const {calls} = service.record();
	assert.deepEqual(calls.map(({ref, idempotencyKey}) => [ref, idempotencyKey]), [['a', 'key-a'], ['a', 'key-a'], ['b', 'key-b']]);
	assert.equal(calls[0]?.bodyDigest, calls[1]?.bodyDigest);
	assert.notEqual(calls[0]?.bodyDigest, calls[2]?.bodyDigest);
});

test('control switches a fault on and off: refused, reset after the call ran, and answered again', async t => {
	const service = await plainService(t);
	const control = async (body: unknown) => {
		const res = await request(`http://${service.controlAddress}/control`, {method: 'POST', body: JSON.stringify(body)});
		await res.body.dump();
		return res.statusCode;
	};

	assert.equal(await control({fault: 'refuse'}), 204);
	await assert.rejects(post(service.address, 'a'));
	assert.equal(await control({fault: 'none'}), 204);
	await control({fault: 'reset-answers'});
	await assert.rejects(post(service.address, 'b'));
	await control({fault: 'none'});
	assert.equal(await statusOf(post(service.address, 'c')), 201);
	assert.deepEqual(service.record().calls.map(({ref}) => ref), ['b', 'c']);
	assert.equal(await control({fault: 'unheard-of'}), 400);
});

test('after silence an open connection gives no answer while a new one works', async t => {
	const service = await plainService(t);
	const old = new Agent({connections: 1, headersTimeout: 50});
	t.after(async () => old.destroy());
	await post(service.address, 'a', old);
	await service.setFault({fault: 'silence'});
	await assert.rejects(post(service.address, 'b', old));
	const fresh = new Agent({connections: 1});
	t.after(async () => fresh.destroy());
	assert.equal(await statusOf(post(service.address, 'c', fresh)), 201);
});

test('the platform list shows a change only after its lag', async t => {
	const read = async (list: FakePlatformList) => {
		const res = await request(`http://${list.address}/v1/vms`);
		return res.body.json();
	};

	const [slow, fast] = [
		await started(t, new FakePlatformList({name: 'list', vms: ['entry-1'], lagMs: 60_000})),
		await started(t, new FakePlatformList({name: 'list', vms: ['entry-1'], lagMs: 0})),
	];
	for (const list of [slow, fast]) {
		await list.setFault({fault: 'set-vm', vm: 'entry-1', state: 'leaving'});
	}

	assert.deepEqual(await read(slow), {vms: [{vm: 'entry-1', state: 'live'}]});
	assert.deepEqual(await read(fast), {vms: [{vm: 'entry-1', state: 'leaving'}]});
});

test('the weight store answers a load once its bytes have passed', async t => {
	const store = await started(t, new FakeWeightStore({name: 'weights', rate: 1e9}));
	const res = await request(`http://${store.address}/v1/weights?bytes=1000000`);
	assert.deepEqual(await res.body.json(), {bytes: 1_000_000});
});

test('a forwarder drops bytes while its connections stay open, and closes them when it forwards again', async t => {
	const service = await plainService(t);
	const forwarder = await started(t, new Forwarder(service.address));
	assert.equal(await statusOf(post(forwarder.address, 'a')), 201);
	for (const mode of ['to-target', 'to-client', 'both'] as const) {
		forwarder.setMode(mode);
		const agent = new Agent({connections: 1, headersTimeout: 50});
		await assert.rejects(post(forwarder.address, mode, agent));
		await agent.destroy();
	}

	assert.deepEqual(service.record().calls.map(({ref}) => ref), ['a', 'to-client'], 'only bytes towards the client were dropped in the second mode');
	forwarder.setMode('none');
	const socket = connect(Number(forwarder.address.split(':')[1]), '127.0.0.1');
	socket.write('GET /a HTTP/1.1\r\nHost: desk\r\n\r\n');
	await once(socket, 'data');
	forwarder.setMode('both');
	const lostBefore = forwarder.lostBytes;
	socket.write('GET /b HTTP/1.1\r\nHost: desk\r\n\r\n');
	while (forwarder.lostBytes === lostBefore) {
		await setImmediate();
	}

	forwarder.setMode('none');
	await once(socket, 'close');
	assert.equal(await statusOf(post(forwarder.address, 'c')), 201);
});
