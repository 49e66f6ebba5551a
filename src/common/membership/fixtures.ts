import {SeededRandom} from '../core/random.js';
import type {VmId, WithoutTime} from '../core/types.js';
import {createMembership, reduceMembership} from './membership.js';
import type {MembershipState} from './membership.js';
import type {
	MembershipEvent, MembershipMessage, MemberRecord, SelfDescription,
} from './types.js';

/* Fixtures of membership tests: members that exchange messages under a virtual clock. */

export function makeSelf(vm: VmId, overrides: Partial<SelfDescription> = {}): SelfDescription {
	return {
		vm, incarnation: 1, zone: 'z1', roles: ['entry'], peerAddress: '127.0.0.1:7000', callerAddress: '127.0.0.1:8000', isDraining: false, ...overrides,
	};
}

type Envelope = {readonly atMs: number; readonly from: VmId; readonly to: VmId; readonly message: MembershipMessage};

type Decision = (from: VmId, to: VmId) => boolean;
type Observer = (message: MembershipMessage, from: VmId, to: VmId) => void;

const noLoss: Decision = () => false;
const ignore: Observer = () => undefined;

const tickMs = 50;
const latencyMs = 2;

/** A fleet of members; those in `down` neither tick nor receive. */
export class Fleet {
	nowMs = 0;
	readonly members = new Map<VmId, MembershipState>();
	readonly down = new Set<VmId>();
	/** Every change to `dead` that some member noted. */
	readonly deaths: Array<{readonly by: VmId; readonly vm: VmId; readonly atMs: number}> = [];
	private _envelopes: Envelope[] = [];
	private readonly _random: SeededRandom;
	private _isLost: Decision = noLoss;
	private _onSent: Observer = ignore;

	constructor(size: number, private readonly _seed: number) {
		this._random = new SeededRandom(_seed);
		for (let i = 0; i < size; i++) {
			this.add(`vm-${i}`);
		}
	}

	/** Decides which messages are lost. */
	lose(isLost: Decision): void {
		this._isLost = isLost;
	}

	/** Sets what is called for every message sent. */
	watch(onSent: Observer): void {
		this._onSent = onSent;
	}

	add(vm: VmId, overrides: Partial<SelfDescription> = {}): void {
		this.members.set(vm, createMembership({self: makeSelf(vm, overrides), seed: this._seed + this._random.integer(0, 1e6)}));
		this.send(vm, {type: 'membership/seeds', vms: ['vm-0', 'vm-1']});
	}

	send(vm: VmId, event: WithoutTime<MembershipEvent>): void {
		for (const effect of reduceMembership(this.members.get(vm)!, {...event, nowMs: this.nowMs})) {
			if (effect.type === 'send') {
				this._post(vm, effect.to, effect.message as unknown as MembershipMessage);
			} else if (effect.type === 'membership/changed' && effect.member.status === 'dead') {
				this.deaths.push({by: vm, vm: effect.member.vm, atMs: this.nowMs});
			}
		}
	}

	/** Moves the clock; members tick in a random order and messages arrive after a fixed latency. */
	advance(elapsedMs: number): void {
		for (let left = elapsedMs; left > 0; left -= tickMs) {
			for (const vm of this.members.keys()) {
				if (!this.down.has(vm)) {
					this.send(vm, {type: 'membership/tick'});
				}
			}

			for (let passed = 0; passed < tickMs; passed += latencyMs) {
				this.nowMs += latencyMs;
				this._deliver();
			}
		}
	}

	/** Advances until the condition holds; returns the time it took, or throws after the limit. */
	until(condition: () => boolean, limitMs: number): number {
		const startedMs = this.nowMs;
		while (!condition()) {
			if (this.nowMs - startedMs > limitMs) {
				throw new Error(`not within ${limitMs} ms`);
			}

			this.advance(tickMs);
		}

		return this.nowMs - startedMs;
	}

	recordOf(by: VmId, vm: VmId): MemberRecord | undefined {
		return this.members.get(by)?.members.get(vm)?.record;
	}

	/** Whether every running member believes this of the member. */
	agree(vm: VmId, test: (record: MemberRecord | undefined) => boolean): boolean {
		return [...this.members.keys()].every(by => by === vm || this.down.has(by) || test(this.recordOf(by, vm)));
	}

	/** Whether every running member knows every running member as alive. */
	hasConverged(): boolean {
		return [...this.members.keys()].every(vm => this.down.has(vm) || this.agree(vm, record => record?.status === 'alive'));
	}

	private _post(from: VmId, to: VmId, message: MembershipMessage): void {
		this._onSent(message, from, to);
		if (!this._isLost(from, to)) {
			this._envelopes.push({
				atMs: this.nowMs + latencyMs, from, to, message,
			});
		}
	}

	private _deliver(): void {
		const due = this._envelopes.filter(({atMs}) => atMs <= this.nowMs);
		this._envelopes = this._envelopes.filter(({atMs}) => atMs > this.nowMs);
		for (const {from, to, message} of due) {
			if (this.members.has(to) && !this.down.has(to)) {
				this.send(to, {type: 'membership/message', from: {vm: from, incarnation: 1}, message});
			}
		}
	}
}
