/** Test doubles for control and entry processes: an in-memory network, and a replicated log whose leader is set by the test. */
import {setTimeout as delay} from 'node:timers/promises';
import {decode, encode} from 'cbor-x';
import Emittery from 'emittery';
import type {z} from 'zod';
import type {Clock} from '../../common/core/clock.js';
import {createAccessState, reduceAccess} from '../../common/access/access.js';
import type {AccessEffect, AccessEvent, AccessState} from '../../common/access/access.js';
import type {ConsensusEffect} from '../../common/consensus/types.js';
import {createControl, reduceControl} from '../../common/control/control.js';
import type {ControlEffect, ControlEvent, ControlSlice} from '../../common/control/control.js';
import {DisposableStore} from '../../common/core/disposable.js';
import {errorContext, ProtocolError, TimeoutError} from '../../common/core/errors.js';
import type {
	PeerMessage, ReplyToken, VmId, VmIdentity,
} from '../../common/core/types.js';
import {PeerNetwork} from '../../common/services/peer-network.js';
import type {MessageHandler, PeerNetworkEvents} from '../../common/services/peer-network.js';
import {SystemClock} from '../clock.js';
import {ReducerRuntime} from '../runtime.js';
import {decodeConfiguration} from './configuration-codec.js';
import {ControlClient} from './control-client.js';
import {ControlLeaderClient} from './control-leader-client.js';
import {ControlAdminClient} from './control-admin-client.js';
import {ControlServer} from './control-server.js';

type Handler = {readonly schema: z.ZodType; readonly handler: MessageHandler<unknown>};

/** Connects the `MemoryNetwork`s of a test. Messages to and from a disconnected VM are lost. */
export class MemoryHub {
	readonly networks = new Map<VmId, MemoryNetwork>();
	readonly disconnectedVms = new Set<VmId>();
	/** Number of replies to drop, by message type. */
	readonly repliesToDrop = new Map<string, number>();
	/** Number of delivered messages, by type. */
	readonly deliveredCounts = new Map<string, number>();
	/** Encoded size of the largest message or reply, in bytes. */
	largestMessageBytes = 0;

	join(identity: VmIdentity): MemoryNetwork {
		const network = new MemoryNetwork(this, identity);
		this.networks.set(identity.vm, network);
		return network;
	}

	/** Returns a message as its receiver decodes it, and records its size. */
	encodeAndDecode(value: unknown): unknown {
		const bytes = encode(value);
		this.largestMessageBytes = Math.max(this.largestMessageBytes, bytes.length);
		return decode(bytes);
	}

	isDisconnected(from: VmId, to: VmId): boolean {
		return from !== to && (this.disconnectedVms.has(from) || this.disconnectedVms.has(to));
	}
}

/** Peer network of one process, connected by a `MemoryHub`. */
export class MemoryNetwork extends PeerNetwork {
	override readonly events = new Emittery<PeerNetworkEvents>();
	private readonly _handlers = new Map<string, Handler>();

	constructor(private readonly _hub: MemoryHub, private readonly _identity: VmIdentity) {
		super();
	}

	override setAddress(): void {
		// The hub finds processes by VM name, so addresses are not needed.
	}

	override registerHandler<S extends z.ZodType>(type: string, schema: S, handler: MessageHandler<z.output<S>>): void {
		this._handlers.set(type, {schema, handler: handler as MessageHandler<unknown>});
	}

	override send(to: VmId, message: PeerMessage): void {
		if (!this._hub.isDisconnected(this._identity.vm, to)) {
			void this._hub.networks.get(to)?.receive(this._identity, message);
		}
	}

	override async request(to: VmId, message: PeerMessage, timeoutMs: number): Promise<unknown> {
		const peer = this._hub.networks.get(to);
		const answer = peer && !this._hub.isDisconnected(this._identity.vm, to) ? this._requestFrom(peer, to, message) : new Promise<never>(() => {}); // eslint-disable-line @typescript-eslint/no-empty-function -- a dropped reply never settles
		const timeout = delay(timeoutMs, undefined, {ref: false}).then(() => { // eslint-disable-line promise/prefer-await-to-then -- raced with the reply
			throw new TimeoutError(`no reply within ${timeoutMs} ms`, errorContext({step: message.type, peer: to}));
		});
		return Promise.race([answer, timeout]);
	}

	async receive(from: VmIdentity, message: PeerMessage): Promise<unknown> {
		const registration = this._handlers.get(message.type);
		if (!registration) {
			throw new ProtocolError(`no handler for ${message.type}`, errorContext({step: 'memory-network'}));
		}

		await delay(0);
		this._hub.deliveredCounts.set(message.type, (this._hub.deliveredCounts.get(message.type) ?? 0) + 1);
		return this._hub.encodeAndDecode(await registration.handler(from, registration.schema.parse(this._hub.encodeAndDecode(message))));
	}

	override async dispose(): Promise<void> {
		this._hub.networks.delete(this._identity.vm);
	}

	private async _requestFrom(peer: MemoryNetwork, to: VmId, message: PeerMessage): Promise<unknown> {
		const body = await peer.receive(this._identity, message);
		const dropCount = this._hub.repliesToDrop.get(message.type) ?? 0;
		this._hub.repliesToDrop.set(message.type, Math.max(0, dropCount - 1));
		if (dropCount > 0 || this._hub.isDisconnected(this._identity.vm, to)) {
			await new Promise(() => {}); // eslint-disable-line @typescript-eslint/no-empty-function -- a dropped reply never settles
		}

		return body;
	}
}

type Member = {readonly vm: VmId; readonly deliver: (effect: ConsensusEffect) => void; applied: number};

/** A replicated log without elections; the test sets the leader. */
export class FakeConsensus {
	/** Members that cannot reach any other member: they commit no commands, confirm no reads and are not notified of a new leader. */
	readonly isolatedVms = new Set<VmId>();
	readonly log: unknown[] = [];
	term = 0;
	leader: VmId | undefined;
	private readonly _members = new Map<VmId, Member>();

	constructor(private readonly _encodeAndDecode: (value: unknown) => unknown) {}

	/** Adds a member and replays the log to it, after installing the snapshot `from` if given. */
	join(vm: VmId, deliver: Member['deliver'], from?: {readonly index: number; readonly data: unknown}): void {
		const member: Member = {vm, deliver, applied: from?.index ?? 0};
		this._members.set(vm, member);
		if (from) {
			deliver({type: 'consensus/install', ...from});
		}

		this._catchUp(member, undefined);
	}

	/** Makes a member the leader of a new term. */
	elect(vm: VmId): void {
		this.term++;
		this.leader = vm;
		for (const member of this._members.values()) {
			if (!this.isolatedVms.has(member.vm)) {
				this._catchUp(member, undefined);
				member.deliver({
					type: 'consensus/role', role: member.vm === vm ? 'leader' : 'follower', term: this.term, leader: vm,
				});
			}
		}
	}

	handle(vm: VmId, {event}: Extract<ControlEffect, {type: 'control/to-consensus'}>): void {
		const member = this._members.get(vm)!;
		if (this.isolatedVms.has(vm) || this.leader !== vm) {
			return;
		}

		if (event.type === 'consensus/read') {
			member.deliver({type: 'consensus/read-ready', token: event.token});
		} else if (event.type === 'consensus/propose') {
			// Copied, as if read back from a disk, so that the log shares no objects with the process.
			this.log.push(this._encodeAndDecode(event.command));
			for (const other of this._members.values()) {
				this._catchUp(other, other === member ? event.token : undefined);
			}
		}
	}

	private _catchUp(member: Member, token: ReplyToken | undefined): void {
		while (!this.isolatedVms.has(member.vm) && member.applied < this.log.length) {
			member.applied++;
			member.deliver({
				type: 'consensus/committed', index: member.applied, command: this.log[member.applied - 1], token: member.applied === this.log.length ? token : undefined,
			});
		}
	}
}

export type ControlNode = {
	readonly slice: ControlSlice;
	readonly runtime: ReducerRuntime<ControlEvent, ControlEffect>;
};

export type EntryNode = {
	readonly state: AccessState;
	readonly client: ControlClient;
	readonly runtime: ReducerRuntime<AccessEvent, AccessEffect>;
};

/** Control and entry processes connected by a `MemoryHub`. The test disposes the cluster at its end. */
export class TestCluster extends DisposableStore {
	readonly hub = new MemoryHub();
	readonly consensus = new FakeConsensus(value => this.hub.encodeAndDecode(value));
	readonly clock = new SystemClock();

	constructor(readonly controlVms: readonly VmId[] = ['control-1']) {
		super();
	}

	/** Starts a control process. A restart on the same VM replays the log, after installing the snapshot `from` if given. */
	addControl(vm: VmId, from?: {readonly index: number; readonly data: unknown}): ControlNode {
		const network = this.add(this.hub.join({vm, incarnation: 1}));
		const slice = createControl({decodeConfiguration});
		const runtime = new ReducerRuntime<ControlEvent, ControlEffect>(event => reduceControl(slice, event), this.clock);
		runtime.on('control/to-consensus', effect => {
			this.consensus.handle(vm, effect);
		});
		runtime.on('send', ({to, message}) => {
			network.send(to, message);
		});
		runtime.on('count', () => undefined);
		this.consensus.join(vm, effect => {
			runtime.dispatch({type: 'control/consensus', effect});
		}, from);
		this.add(new ControlServer(network, runtime));
		return {slice, runtime};
	}

	addEntry(vm: VmId, incarnation = 1, clock: Clock = this.clock): EntryNode {
		const network = this.add(this.hub.join({vm, incarnation}));
		const state = createAccessState({controlVms: this.controlVms, decodeConfiguration});
		const runtime = new ReducerRuntime<AccessEvent, AccessEffect>(event => reduceAccess(state, event), clock);
		const leaderClient = new ControlLeaderClient({network, clock, controlVms: this.controlVms});
		const client = this.add(new ControlClient({
			host: runtime, state, network, clock, leaderClient,
		}));
		runtime.on('access/request', effect => {
			client.access.executeRequest(effect);
		});
		runtime.on('notify', effect => {
			client.access.notify(effect);
		});
		runtime.on('count', () => undefined);
		return {state, client, runtime};
	}

	addOperator(vm: VmId): ControlAdminClient {
		const network = this.add(this.hub.join({vm, incarnation: 1}));
		return new ControlAdminClient(new ControlLeaderClient({network, clock: this.clock, controlVms: this.controlVms}));
	}
}

/** Maximum number of polls of `waitUntil`, so that a test ends even if its condition is never met. */
const maxPolls = 6000;

/** Resolves once the condition is true. Throws an error after `maxPolls` polls. */
export async function waitUntil(condition: () => boolean): Promise<void> {
	for (let i = 0; !condition(); i++) {
		if (i >= maxPolls) {
			throw new Error('condition was not met in time');
		}

		await delay(5);
	}
}

/** Returns a configuration document with `tenants` customers, the first of which is `acme`. */
export function makeConfigurationDocument({tenants: customers = 1, rate = 1000, burst = 1000} = {}): string {
	const lines = Array.from({length: customers}, (_, i) => `  ${i === 0 ? 'acme' : `customer-${i}`}: {rate: ${rate} tokens/s, burst: ${burst}}`);
	return `profiles:
  batch: {}
tenants:
${lines.join('\n')}
services:
  dossiers: {kind: model, profile: batch, model: dossier-7b}
upstreams:
  engine-1: {service: dossiers, address: 127.0.0.1:9001, zone: z1, role: both}
`;
}
