import assert from 'node:assert/strict';
import {test} from 'node:test';
import Emittery from 'emittery';
import type {z} from 'zod';
import type {PeerMessage, VmId} from '../../common/core/types.js';
import {PeerNetwork} from '../../common/services/peer-network.js';
import type {MessageHandler, PeerNetworkEvents} from '../../common/services/peer-network.js';
import {ServerStatusBroadcaster} from './server-status-broadcaster.js';

const vms = ['a', 'b', 'c', 'd'];

/** Handlers by process and message type, and the sender and receiver of every message. */
type Hub = {readonly handlers: Map<string, MessageHandler<unknown>>; readonly sends: string[]};

/** Delivers messages synchronously to the handlers of the hub. */
class HubNetwork extends PeerNetwork {
	override readonly events = new Emittery<PeerNetworkEvents>();

	constructor(private readonly _hub: Hub, private readonly _self: VmId) {
		super();
	}

	override setAddress(): void {
		// Processes are addressed by name.
	}

	override registerHandler<S extends z.ZodType>(type: string, schema: S, handler: MessageHandler<z.output<S>>): void {
		this._hub.handlers.set(`${this._self} ${type}`, (from, message) => handler(from, schema.parse(message)));
	}

	override send(to: VmId, message: PeerMessage): void {
		this._hub.sends.push(`${this._self}-${to}`);
		void this._hub.handlers.get(`${to} ${message.type}`)?.({vm: this._self, incarnation: 1}, message);
	}

	override async request(): Promise<unknown> {
		throw new Error('the broadcaster sends no requests');
	}

	override async dispose(): Promise<void> {
		// Nothing to close.
	}
}

function buildBroadcasters(leader: VmId | undefined) {
	const hub: Hub = {handlers: new Map(), sends: []};
	const received: string[] = [];
	const broadcasters = vms.map(self => new ServerStatusBroadcaster({
		self,
		network: new HubNetwork(hub, self),
		processes: () => vms.map(vm => ({vm, incarnation: 1})),
		leader: () => leader,
		onUnreachable(key, announcedBy) {
			received.push(`${self} ${key} ${announcedBy}`);
		},
		onSuspended(key, forMs, announcedBy) {
			received.push(`${self} ${key} ${forMs} ${announcedBy}`);
		},
		onLeaving(key, announcedBy) {
			received.push(`${self} ${key} leaving ${announcedBy}`);
		},
	}));
	return {hub, received, broadcasters};
}

test('an announcement reaches every other process once through the leader, without a connection between each pair of processes', () => {
	const {hub, received, broadcasters} = buildBroadcasters('b');
	broadcasters[0]!.announceSuspended('desk', 3000);
	assert.deepEqual(received.sort(), ['b desk 3000 a', 'c desk 3000 a', 'd desk 3000 a']);
	assert.deepEqual(hub.sends, ['a-b', 'b-c', 'b-d']);
});

test('every other process learns that a server is shutting down', () => {
	const {received, broadcasters} = buildBroadcasters('b');
	broadcasters[0]!.announceLeaving('desk');
	assert.deepEqual(received.sort(), ['b desk leaving a', 'c desk leaving a', 'd desk leaving a']);
});

test('an announcement goes directly to every process if no leader is known or the sender is the leader', () => {
	for (const leader of [undefined, 'a']) {
		const {hub, received, broadcasters} = buildBroadcasters(leader);
		broadcasters[0]!.announceUnreachable('desk');
		assert.deepEqual(received.sort(), ['b desk a', 'c desk a', 'd desk a']);
		assert.deepEqual(hub.sends, ['a-b', 'a-c', 'a-d']);
	}
});
