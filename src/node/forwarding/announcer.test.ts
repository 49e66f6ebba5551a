import assert from 'node:assert/strict';
import {test} from 'node:test';
import Emittery from 'emittery';
import type {z} from 'zod';
import type {PeerMessage, VmId} from '../../common/core/types.js';
import {PeerNetwork} from '../../common/services/peer-network.js';
import type {MessageHandler, PeerNetworkEvents} from '../../common/services/peer-network.js';
import {Announcer} from './announcer.js';

const vms = ['a', 'b', 'c', 'd'];

/** Who handles what, and the pairs of processes between which messages went. */
type Hub = {readonly handlers: Map<string, MessageHandler<unknown>>; readonly pairs: string[]};

/** Delivers at once. */
class HubNetwork extends PeerNetwork {
	override readonly events = new Emittery<PeerNetworkEvents>();

	constructor(private readonly _hub: Hub, private readonly _self: VmId) {
		super();
	}

	override setAddress(): void {
		// Processes are known by name.
	}

	override handle<S extends z.ZodType>(type: string, schema: S, handler: MessageHandler<z.output<S>>): void {
		this._hub.handlers.set(`${this._self} ${type}`, (from, message) => handler(from, schema.parse(message)));
	}

	override send(to: VmId, message: PeerMessage): void {
		this._hub.pairs.push(`${this._self}-${to}`);
		void this._hub.handlers.get(`${to} ${message.type}`)?.({vm: this._self, incarnation: 1}, message);
	}

	override async request(): Promise<unknown> {
		throw new Error('announcements ask nothing');
	}

	override async dispose(): Promise<void> {
		// Holds nothing.
	}
}

function build(leader: VmId | undefined) {
	const hub: Hub = {handlers: new Map(), pairs: []};
	const taken: string[] = [];
	const announcers = vms.map(self => new Announcer({
		self,
		network: new HubNetwork(hub, self),
		processes: () => vms.map(vm => ({vm, incarnation: 1})),
		leader: () => leader,
		onUnreachable(key, announcedBy) {
			taken.push(`${self} ${key} ${announcedBy}`);
		},
		onSuspended(key, forMs, announcedBy) {
			taken.push(`${self} ${key} ${forMs} ${announcedBy}`);
		},
		onLeaving(key, announcedBy) {
			taken.push(`${self} ${key} leaving ${announcedBy}`);
		},
	}));
	return {hub, taken, announcers};
}

test('guards against connections from every process to every other one: the leader passes announcements on, each process takes one once', () => {
	const {hub, taken, announcers} = build('b');
	announcers[0]!.announceSuspended('desk', 3000);
	assert.deepEqual(taken.sort(), ['b desk 3000 a', 'c desk 3000 a', 'd desk 3000 a']);
	assert.deepEqual(hub.pairs, ['a-b', 'b-c', 'b-d']);
});

test('a server that says it leaves is told to every process', () => {
	const {taken, announcers} = build('b');
	announcers[0]!.announceLeaving('desk');
	assert.deepEqual(taken.sort(), ['b desk leaving a', 'c desk leaving a', 'd desk leaving a']);
});

test('without a leader, and at the leader, announcements go to every process directly', () => {
	for (const leader of [undefined, 'a']) {
		const {hub, taken, announcers} = build(leader);
		announcers[0]!.announceUnreachable('desk');
		assert.deepEqual(taken.sort(), ['b desk a', 'c desk a', 'd desk a']);
		assert.deepEqual(hub.pairs, ['a-b', 'a-c', 'a-d']);
	}
});
