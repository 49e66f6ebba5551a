import {SeededRandom} from '../core/random.js';
import type {VmId, UntimedEvent} from '../core/types.js';
import {createMembership, reduceMembership} from './membership.js';
import type {MembershipState} from './membership.js';
import type {
	MembershipEvent, MembershipMessage, MemberRecord, LocalMember,
} from './types.js';

/* Test fixtures: simulated members that exchange messages on a virtual clock. */

export function makeLocalMember(vm: VmId, overrides: Partial<LocalMember> = {}): LocalMember {
	return {
		vm, incarnation: 1, zone: 'z1', roles: ['entry'], peerAddress: '127.0.0.1:7000', callerAddress: '127.0.0.1:8000', isDraining: false, ...overrides,
	};
}

type InFlightMessage = {readonly atMs: number; readonly from: VmId; readonly to: VmId; readonly message: MembershipMessage};

type LossRule = (from: VmId, to: VmId) => boolean;
type MessageObserver = (message: MembershipMessage, from: VmId, to: VmId) => void;

const dropNothing: LossRule = () => false;
const ignoreMessage: MessageObserver = () => undefined;

const tickIntervalMs = 50;
const latencyMs = 2;

/** Simulates the membership protocol of a set of VMs. Members in `down` neither tick nor receive messages. */
export class SimulatedFleet {
	nowMs = 0;
	readonly members = new Map<VmId, MembershipState>();
	readonly down = new Set<VmId>();
	/** Every record of status `dead` that a member accepted into its list. */
	readonly deathDeclarations: Array<{readonly declaredBy: VmId; readonly vm: VmId; readonly atMs: number}> = [];
	private _inFlight: InFlightMessage[] = [];
	private readonly _random: SeededRandom;
	private _isDropped: LossRule = dropNothing;
	private _onSent: MessageObserver = ignoreMessage;

	constructor(size: number, private readonly _seed: number) {
		this._random = new SeededRandom(_seed);
		for (let i = 0; i < size; i++) {
			this.addMember(`vm-${i}`);
		}
	}

	/** Sets the rule that decides which messages are lost; it replaces the previous rule. */
	dropMessages(isDropped: LossRule): void {
		this._isDropped = isDropped;
	}

	/** Sets a callback for every message sent, including messages that are lost. */
	observeMessages(onSent: MessageObserver): void {
		this._onSent = onSent;
	}

	addMember(vm: VmId, overrides: Partial<LocalMember> = {}): void {
		this.members.set(vm, createMembership({self: makeLocalMember(vm, overrides), seed: this._seed + this._random.integer(0, 1e6)}));
		this.dispatch(vm, {type: 'membership/seeds', vms: ['vm-0', 'vm-1']});
	}

	dispatch(vm: VmId, event: UntimedEvent<MembershipEvent>): void {
		for (const effect of reduceMembership(this.members.get(vm)!, {...event, nowMs: this.nowMs})) {
			if (effect.type === 'send') {
				this._transmit(vm, effect.to, effect.message as unknown as MembershipMessage);
			} else if (effect.type === 'membership/changed' && effect.member.status === 'dead') {
				this.deathDeclarations.push({declaredBy: vm, vm: effect.member.vm, atMs: this.nowMs});
			}
		}
	}

	/** Advances the virtual clock. Members tick in the order in which they were added, and messages arrive after a fixed latency. */
	advance(elapsedMs: number): void {
		for (let remainingMs = elapsedMs; remainingMs > 0; remainingMs -= tickIntervalMs) {
			for (const vm of this.members.keys()) {
				if (!this.down.has(vm)) {
					this.dispatch(vm, {type: 'membership/tick'});
				}
			}

			for (let passedMs = 0; passedMs < tickIntervalMs; passedMs += latencyMs) {
				this.nowMs += latencyMs;
				this._deliverDue();
			}
		}
	}

	/** Advances until the condition holds and returns the time taken, in milliseconds. Throws if that takes longer than `limitMs`. */
	advanceUntil(condition: () => boolean, limitMs: number): number {
		const startedMs = this.nowMs;
		while (!condition()) {
			if (this.nowMs - startedMs > limitMs) {
				throw new Error(`condition not met within ${limitMs} ms`);
			}

			this.advance(tickIntervalMs);
		}

		return this.nowMs - startedMs;
	}

	recordOf(observer: VmId, vm: VmId): MemberRecord | undefined {
		return this.members.get(observer)?.members.get(vm)?.record;
	}

	/** Whether the predicate holds for the record of `vm` at every other running member. */
	hasAgreementOn(vm: VmId, predicate: (record: MemberRecord | undefined) => boolean): boolean {
		return [...this.members.keys()].every(observer => observer === vm || this.down.has(observer) || predicate(this.recordOf(observer, vm)));
	}

	/** Whether every running member lists every other running member as alive. */
	hasConverged(): boolean {
		return [...this.members.keys()].every(vm => this.down.has(vm) || this.hasAgreementOn(vm, record => record?.status === 'alive'));
	}

	private _transmit(from: VmId, to: VmId, message: MembershipMessage): void {
		this._onSent(message, from, to);
		if (!this._isDropped(from, to)) {
			this._inFlight.push({
				atMs: this.nowMs + latencyMs, from, to, message,
			});
		}
	}

	private _deliverDue(): void {
		const due = this._inFlight.filter(({atMs}) => atMs <= this.nowMs);
		this._inFlight = this._inFlight.filter(({atMs}) => atMs > this.nowMs);
		for (const {from, to, message} of due) {
			if (this.members.has(to) && !this.down.has(to)) {
				this.dispatch(to, {type: 'membership/message', from: {vm: from, incarnation: 1}, message});
			}
		}
	}
}
