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

async function startDouble<T extends {start(): Promise<void>; dispose(): Promise<void>}>(t: TestContext, double: T): Promise<T> {
	await double.start();
	t.after(async () => double.dispose());
	return double;
}

async function startPlainService(t: TestContext): Promise<FakePlainService> {
	return startDouble(t, new FakePlainService({name: 'desk', serviceMs: 1}));
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

test('a plain service records every call, including repeated ones, with its idempotency key and body digest', async t => {
	const service = await startPlainService(t);
	for (const ref of ['a', 'a', 'b']) {
		const answer = await post(service.address, ref);
		assert.equal(answer.status, 201);
		assert.equal(answer.body.ref, ref);
	}

	const {calls} = service.getRecord();
	assert.deepEqual(calls.map(({ref, idempotencyKey}) => [ref, idempotencyKey]), [['a', 'key-a'], ['a', 'key-a'], ['b', 'key-b']]);
	assert.equal(calls[0]?.bodyDigest, calls[1]?.bodyDigest);
	assert.notEqual(calls[0]?.bodyDigest, calls[2]?.bodyDigest);
});

test('a control request switches a fault of a plain service on or off, and a request with an unknown fault gets status 400', async t => {
	const service = await startPlainService(t);
	const sendControl = async (body: unknown) => {
		const res = await request(`http://${service.controlAddress}/control`, {method: 'POST', body: JSON.stringify(body)});
		await res.body.dump();
		return res.statusCode;
	};

	assert.equal(await sendControl({fault: 'refuse'}), 204);
	await assert.rejects(post(service.address, 'a'));
	assert.equal(await sendControl({fault: 'none'}), 204);
	await sendControl({fault: 'reset-answers'});
	await assert.rejects(post(service.address, 'b'));
	await sendControl({fault: 'none'});
	assert.equal(await statusOf(post(service.address, 'c')), 201);
	assert.deepEqual(service.getRecord().calls.map(({ref}) => ref), ['b', 'c']);
	assert.equal(await sendControl({fault: 'unheard-of'}), 400);
});

test('under the silence fault, connections opened before it get no answers, and new connections work', async t => {
	const service = await startPlainService(t);
	const oldAgent = new Agent({connections: 1, headersTimeout: 50});
	t.after(async () => oldAgent.destroy());
	await post(service.address, 'a', oldAgent);
	await service.setFault({fault: 'silence'});
	await assert.rejects(post(service.address, 'b', oldAgent));
	const newAgent = new Agent({connections: 1});
	t.after(async () => newAgent.destroy());
	assert.equal(await statusOf(post(service.address, 'c', newAgent)), 201);
});

test('the platform list shows a change only after the configured lag', async t => {
	const readList = async (list: FakePlatformList) => {
		const res = await request(`http://${list.address}/v1/vms`);
		return res.body.json();
	};

	const [laggingList, promptList] = [
		await startDouble(t, new FakePlatformList({name: 'list', vms: ['entry-1'], lagMs: 60_000})),
		await startDouble(t, new FakePlatformList({name: 'list', vms: ['entry-1'], lagMs: 0})),
	];
	for (const list of [laggingList, promptList]) {
		await list.setFault({fault: 'set-vm', vm: 'entry-1', state: 'leaving'});
	}

	assert.deepEqual(await readList(laggingList), {vms: [{vm: 'entry-1', state: 'live'}]});
	assert.deepEqual(await readList(promptList), {vms: [{vm: 'entry-1', state: 'leaving'}]});
});

test('the weight store answers a request for weights with the number of bytes transferred', async t => {
	const store = await startDouble(t, new FakeWeightStore({name: 'weights', rate: 1e9}));
	const res = await request(`http://${store.address}/v1/weights?bytes=1000000`);
	assert.deepEqual(await res.body.json(), {bytes: 1_000_000});
});

test('a forwarder keeps connections open while it drops their bytes, and closes the connections that lost bytes when it resumes forwarding', async t => {
	const service = await startPlainService(t);
	const forwarder = await startDouble(t, new Forwarder(service.address));
	assert.equal(await statusOf(post(forwarder.address, 'a')), 201);
	for (const mode of ['to-target', 'to-client', 'both'] as const) {
		forwarder.setMode(mode);
		const agent = new Agent({connections: 1, headersTimeout: 50});
		await assert.rejects(post(forwarder.address, mode, agent));
		await agent.destroy();
	}

	assert.deepEqual(service.getRecord().calls.map(({ref}) => ref), ['a', 'to-client'], 'in mode to-client only answers are dropped, so the service receives the call');
	forwarder.setMode('none');
	const socket = connect(Number(forwarder.address.split(':')[1]), '127.0.0.1');
	socket.write('GET /a HTTP/1.1\r\nHost: desk\r\n\r\n');
	await once(socket, 'data');
	forwarder.setMode('both');
	const droppedBytesBefore = forwarder.droppedBytes;
	socket.write('GET /b HTTP/1.1\r\nHost: desk\r\n\r\n');
	while (forwarder.droppedBytes === droppedBytesBefore) {
		await setImmediate();
	}

	forwarder.setMode('none');
	await once(socket, 'close');
	assert.equal(await statusOf(post(forwarder.address, 'c')), 201);
});

// Guards against a fault that shows nothing: without copies, the plays with it would pass on any code.
test('with the fault repeat-answers, a connection gets each answer again ahead of the next one', async t => {
	const service = await startPlainService(t);
	await service.setFault({fault: 'repeat-answers'});
	const dispatcher = new Agent({connections: 1});
	t.after(async () => dispatcher.destroy());
	const answers: string[] = [];
	for (const ref of ['a', 'b']) {
		const {body} = await post(service.address, ref, dispatcher);
		answers.push(body.ref);
	}

	assert.deepEqual(answers, ['a', 'a']);
	assert.deepEqual(service.getRecord().calls.map(({ref}) => ref).slice(0, 1), ['a']);
});
