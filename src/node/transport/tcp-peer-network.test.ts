import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {connect, createServer} from 'node:net';
import type {AddressInfo, Socket} from 'node:net';
import {test} from 'node:test';
import type {TestContext} from 'node:test';
import {setTimeout} from 'node:timers/promises';
import Emittery from 'emittery';
import {z} from 'zod';
import {NullLogger} from '../../common/core/log.js';
import type {PeerMessage} from '../../common/core/types.js';
import {waitUntil} from '../entry/testing/harness.js';
import {FrameCodec, maxPayloadBytes} from './frame.js';
import {TcpPeerNetwork} from './tcp-peer-network.js';

type Overrides = {cluster?: string; clusterKey?: string};
const echoSchema = z.strictObject({type: z.literal('echo'), text: z.string()});

async function startNetwork(t: TestContext, vm: string, overrides: Overrides = {}) {
	const counts = new Map<string, number>();
	const network = await TcpPeerNetwork.listen({
		cluster: 'test',
		clusterKey: '0123456789abcdef',
		...overrides,
		self: {vm, incarnation: 1},
		listen: '127.0.0.1:0',
		count(metric) {
			counts.set(metric, (counts.get(metric) ?? 0) + 1);
		},
		logger: new NullLogger(),
	});
	t.after(async () => network.dispose());
	network.registerHandler('echo', echoSchema, (from, message) => ({from: from.vm, text: message.text}));
	return {network, counts};
}

async function startPair(t: TestContext, overrides: Overrides = {}) {
	const a = await startNetwork(t, 'a');
	const b = await startNetwork(t, 'b', overrides);
	b.network.setAddress('a', a.network.address);
	return {a, b};
}

async function requestUntilAnswered(network: TcpPeerNetwork): Promise<unknown> {
	for (;;) {
		try {
			return await network.request('a', {type: 'echo', text: 'after'}, 5000);
		} catch {
			await setTimeout(50);
		}
	}
}

test('a request is answered, and the accepting side can send requests over the same connection', async t => {
	const {a, b} = await startPair(t);
	assert.deepEqual(await b.network.request('a', {type: 'echo', text: 'one'}, 5000), {from: 'b', text: 'one'});
	assert.deepEqual(await a.network.request('b', {type: 'echo', text: 'two'}, 5000), {from: 'a', text: 'two'});
});

test('a peer of another cluster or with another key is refused; an invalid message is refused without closing the connection', async t => {
	const other = await startPair(t, {cluster: 'other'});
	await assert.rejects(other.b.network.request('a', {type: 'echo', text: ''}, 5000), {name: 'ProtocolError'});
	const wrongKey = await startPair(t, {clusterKey: 'fedcba9876543210'});
	await assert.rejects(wrongKey.b.network.request('a', {type: 'echo', text: ''}, 5000), {name: 'ProtocolError'});
	assert.equal(wrongKey.a.counts.get('transport_closed_total'), 1);
	const {a, b} = await startPair(t);
	await assert.rejects(b.network.request('a', {type: 'echo', text: 7}, 5000), /not valid/);
	assert.equal(a.counts.get('transport_refused_total'), 1);
	assert.deepEqual(await b.network.request('a', {type: 'echo', text: 'still open'}, 5000), {from: 'b', text: 'still open'});
});

test('an oversized frame closes the connection before its payload is buffered', async t => {
	const {network, counts} = await startNetwork(t, 'a');
	const socket = connect(Number(network.address.split(':')[1]), '127.0.0.1');
	socket.write(Buffer.from([0x7F, 0xFF, 0xFF, 0xFF, ...Buffer.alloc(16)]));
	await once(socket, 'close');
	assert.equal(counts.get('transport_closed_total'), 1);
});

// Guards against a process that ends because a message exceeds a frame: the error was thrown in a timer or in a handler without a caller.
test('a message or reply that exceeds a frame is dropped and counted, its request is rejected, and the connection stays open', async t => {
	const {a, b} = await startPair(t);
	a.network.registerHandler('large', z.strictObject({type: z.literal('large')}), () => 'x'.repeat(maxPayloadBytes));
	assert.deepEqual(await b.network.request('a', {type: 'echo', text: 'before'}, 5000), {from: 'b', text: 'before'});
	await assert.rejects(b.network.request('a', {type: 'large'}, 5000), /cannot be sent/);
	await assert.rejects(b.network.request('a', {type: 'echo', text: 'x'.repeat(maxPayloadBytes)}, 5000), {name: 'ProtocolError'});
	b.network.send('a', {type: 'echo', text: 'x'.repeat(maxPayloadBytes)});
	assert.deepEqual(await b.network.request('a', {type: 'echo', text: 'after'}, 5000), {from: 'b', text: 'after'});
	assert.deepEqual([a.counts.get('transport_dropped_total'), (b.counts.get('transport_dropped_total') ?? 0) >= 2], [1, true]);
	assert.equal(b.counts.get('transport_closed_total'), undefined);
});

test('a replayed hello does not make its sender a peer', async t => {
	const {network} = await startNetwork(t, 'a');
	let peerUpCount = 0;
	network.events.on('onPeerConnected', () => {
		peerUpCount++;
	});
	const hello = {
		protocol: 1, cluster: 'test', vm: 'b', incarnation: 1, nonce: '0'.repeat(32),
	};
	const frame = new FrameCodec(Buffer.from('0123456789abcdef'), 'to-acceptor').seal(hello);
	const socket = connect(Number(network.address.split(':')[1]), '127.0.0.1');
	socket.write(frame);
	await once(socket, 'data');
	socket.write(frame);
	await once(socket, 'close');
	assert.equal(peerUpCount, 0);
});

/** Starts a listener that `onInbound` can use as a proxy between two networks. The returned sockets are destroyed when the test ends. */
async function startProxy(t: TestContext, onInbound: (inbound: Socket, sockets: Socket[]) => void) {
	const sockets: Socket[] = [];
	const server = createServer(inbound => {
		sockets.push(inbound);
		onInbound(inbound, sockets);
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	t.after(() => {
		server.close();
		for (const socket of sockets) {
			socket.destroy();
		}
	});
	return {address: `127.0.0.1:${(server.address() as AddressInfo).port}`, sockets};
}

function pipeTo(target: TcpPeerNetwork, inbound: Socket, sockets: Socket[]): void {
	const outbound = connect(Number(target.address.split(':')[1]), '127.0.0.1');
	inbound.pipe(outbound).pipe(inbound);
	inbound.on('error', () => outbound.destroy());
	outbound.on('error', () => inbound.destroy());
	inbound.on('close', () => outbound.destroy());
	sockets.push(outbound);
}

test('after a connection attempt that gets no answer, the next attempt starts within 700 ms instead of waiting for TCP to retransmit', async t => {
	const {network: target} = await startNetwork(t, 'a');
	const {network: source} = await startNetwork(t, 'b');
	const connectionTimesMs: number[] = [];
	// The first connection stays open without an answer, which has the same effect as a SYN lost by a machine that is starting.
	const {address} = await startProxy(t, (inbound, sockets) => {
		connectionTimesMs.push(performance.now());
		if (connectionTimesMs.length > 1) {
			pipeTo(target, inbound, sockets);
		}
	});
	source.setAddress('a', address);
	assert.deepEqual(await requestUntilAnswered(source), {from: 'b', text: 'after'});
	assert.ok(connectionTimesMs[1]! - connectionTimesMs[0]! < 700, `the second attempt came ${connectionTimesMs[1]! - connectionTimesMs[0]!} ms after the first`);
});

test('when a peer goes silent, the pending request is rejected and a new connection is opened', async t => {
	const {network: target} = await startNetwork(t, 'a');
	const {network: source} = await startNetwork(t, 'b');
	const {address, sockets} = await startProxy(t, (inbound, all) => {
		pipeTo(target, inbound, all);
	});
	source.setAddress('a', address);
	await source.request('a', {type: 'echo', text: 'before'}, 5000);
	// From here on the connection stays open but all data is discarded.
	for (const socket of sockets) {
		socket.unpipe();
		socket.resume();
	}

	const peerDown = source.events.once('onPeerDisconnected');
	await assert.rejects(source.request('a', {type: 'echo', text: 'lost'}, 30_000), {name: 'ProtocolError', peer: 'a'});
	await peerDown;
	assert.deepEqual(await requestUntilAnswered(source), {from: 'b', text: 'after'});
});

test('an idle connection is closed: otherwise the number of pings would grow with the square of the number of members', async t => {
	const {a, b} = await startPair(t);
	const peerDown = b.network.events.once('onPeerDisconnected');
	await b.network.request('a', {type: 'echo', text: 'one'}, 5000);
	await peerDown;

	assert.equal(b.counts.get('transport_closed_total'), undefined, 'closing an idle connection does not count as a failure');
	assert.deepEqual(await b.network.request('a', {type: 'echo', text: 'two'}, 5000), {from: 'b', text: 'two'});
});

test('the idle timeout does not close a connection on which a reply is pending', async t => {
	const {a, b} = await startPair(t);
	const slowSchema = z.strictObject({type: z.literal('slow')});
	const slowMs = 3000;
	a.network.registerHandler('slow', slowSchema, async () => {
		await setTimeout(slowMs);
		return 'done';
	});
	assert.equal(await b.network.request('a', {type: 'slow'}, 10_000), 'done');
});

test('a datagram is delivered without a connection; one that is not authentic, not addressed to the process or of another cluster is refused and counted', async t => {
	const {a, b} = await startPair(t);
	const texts = new Emittery<{onText: string}>();
	a.network.registerHandler('echo', echoSchema, (_from, {text}) => {
		void texts.emit('onText', text);
	});
	const received = texts.once('onText');
	b.network.sendDatagram('a', {type: 'echo', text: 'small'});
	assert.equal(await received, 'small');

	for (const overrides of [{cluster: 'other'}, {clusterKey: 'fedcba9876543210'}]) {
		const stranger = await startNetwork(t, 'c', overrides);
		stranger.network.setAddress('a', a.network.address);
		const refusedBefore = a.counts.get('transport_refused_datagrams_total') ?? 0;
		stranger.network.sendDatagram('a', {type: 'echo', text: 'forged'});
		await waitUntil(() => (a.counts.get('transport_refused_datagrams_total') ?? 0) > refusedBefore);
	}

	b.network.setAddress('elsewhere', a.network.address);
	b.network.sendDatagram('elsewhere', {type: 'echo', text: 'misdirected'});
	await waitUntil(() => a.counts.get('transport_refused_datagrams_total') === 3);
});

test('a message that does not fit into a datagram is sent over a connection', async t => {
	const {a, b} = await startPair(t);
	const texts = new Emittery<{onText: string}>();
	a.network.registerHandler('echo', echoSchema, (_from, {text}) => {
		void texts.emit('onText', text);
	});
	const received = texts.once('onText');
	b.network.sendDatagram('a', {type: 'echo', text: 'x'.repeat(5000)});
	const text = await received;
	assert.equal(text.length, 5000);
});
