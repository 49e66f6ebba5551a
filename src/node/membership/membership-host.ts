import Emittery from 'emittery';
import type {Clock} from '../../common/core/clock.js';
import type {Disposable} from '../../common/core/disposable.js';
import type {Logger} from '../../common/core/log.js';
import type {CountEffect, VmId} from '../../common/core/types.js';
import {
	createMembership, entryProcesses, nextTickMs, reduceMembership,
} from '../../common/membership/membership.js';
import type {MembershipState} from '../../common/membership/membership.js';
import {membershipMessageSchema} from '../../common/membership/messages.js';
import type {
	MemberRecord, MembershipEffect, MembershipEvent, PlatformState, SelfDescription,
} from '../../common/membership/types.js';
import {EntryDirectory} from '../../common/scheduler/entry-directory.js';
import type {EntryProcesses} from '../../common/scheduler/types.js';
import type {PeerNetwork} from '../../common/services/peer-network.js';
import {DeadlineTimer} from '../deadline-timer.js';
import {Runtime} from '../runtime.js';

/** Least time between two ticks, in milliseconds; suspicions that last longer in isolation would ask for one again and again. */
const minTickMs = 50;

/** Time over which members that come alive are gathered for one line of the log, in milliseconds. */
const aliveLogMs = 500;
/** Members named in that line; of more only the number is logged. */
const maxNamed = 20;

export type MembershipHostOptions = {
	readonly self: SelfDescription;
	/** Processes to contact first; their addresses must be set in the network. */
	readonly seeds: readonly VmId[];
	readonly network: PeerNetwork;
	readonly clock: Clock;
	readonly logger: Logger;
	readonly count: (effect: CountEffect) => void;
	/** Seed of the random choices. */
	readonly randomSeed: number;
	/** Interval between attempts to reach lost members and seeds, in milliseconds. */
	readonly searchEveryMs?: number;
};

export type MembershipEvents = {
	/** A member came, changed or went. */
	onMemberChanged: MemberRecord;
};

/** Runs gossip membership over the peer network and tells the network the members' addresses. */
export class MembershipHost extends EntryDirectory implements Disposable {
	readonly events = new Emittery<MembershipEvents>();
	private readonly _state: MembershipState;
	private readonly _runtime: Runtime<MembershipEvent, MembershipEffect>;
	private readonly _timer: DeadlineTimer;
	private _lastTickMs = Number.NEGATIVE_INFINITY;
	private _isStarted = false;
	/** Incarnations that came alive since the last line of the log, by member. */
	private readonly _alive = new Map<VmId, number>();
	private readonly _known = new Map<VmId, number>();
	private _aliveTimer: NodeJS.Timeout | undefined;
	private _entries: EntryProcesses;

	constructor(private readonly _options: MembershipHostOptions) {
		super();
		this._state = createMembership({
			self: _options.self,
			seed: _options.randomSeed,
			...(_options.searchEveryMs !== undefined && {searchEveryMs: _options.searchEveryMs}),
		});
		this._entries = entryProcesses(this._state);
		this._runtime = new Runtime(event => reduceMembership(this._state, event), _options.clock);
		const {clock} = _options;
		this._timer = new DeadlineTimer(clock, () => this._isStarted ? Math.max(nextTickMs(this._state), this._lastTickMs + minTickMs) : Infinity, () => {
			this._lastTickMs = clock.nowMs();
			this._runtime.dispatch({type: 'membership/tick'});
		});
		this._registerEffects();
		for (const {shape: {type: {value}}} of membershipMessageSchema.options) {
			_options.network.handle(value, membershipMessageSchema, (from, message) => {
				this._runtime.dispatch({type: 'membership/message', from, message});
				this._timer.update();
			});
		}
	}

	/** Starts probing. */
	start(): void {
		this._runtime.dispatch({type: 'membership/seeds', vms: this._options.seeds});
		this._isStarted = true;
		this._timer.update();
	}

	override get entries(): EntryProcesses {
		return this._entries;
	}

	/** This process and every other member known, dead ones included. */
	get members(): MemberRecord[] {
		return [this._state.self, ...[...this._state.members.values()].map(({record}) => record)];
	}

	/** VMs that the platform is about to take away. */
	get leaving(): ReadonlySet<VmId> {
		return this._state.leaving;
	}

	setPlatformList(vms: ReadonlyMap<VmId, PlatformState>): void {
		this._runtime.dispatch({type: 'membership/platform', vms});
	}

	/** Tells the own load, in percent of capacity. */
	setLoad(load: number): void {
		this._runtime.dispatch({type: 'membership/self', load: Math.round(Math.min(100, Math.max(0, load)))});
	}

	setDraining(isDraining: boolean): void {
		this._runtime.dispatch({type: 'membership/self', isDraining});
	}

	/** Tells others that this process ends; call it last, before the network is disposed. */
	leave(): void {
		this._runtime.dispatch({type: 'membership/leave'});
		this._timer.dispose();
	}

	dispose(): void {
		this._timer.dispose();
		clearTimeout(this._aliveTimer);
		this.events.clearListeners();
	}

	private _registerEffects(): void {
		const {network, count, logger} = this._options;
		this._runtime.on('send', ({to, message}) => {
			network.send(to, message);
		});
		this._runtime.on('count', count);
		this._runtime.on('log', ({level, message, fields}) => {
			logger.log(level, message, fields);
		});
		this._runtime.on('membership/changed', ({member}) => {
			network.setAddress(member.vm, member.peerAddress);
			this._entries = entryProcesses(this._state);
			this._noteAlive(member);
			void this.events.emit('onMemberChanged', member);
		});
	}

	private _noteAlive({vm, incarnation, status}: MemberRecord): void {
		if (status !== 'alive') {
			this._known.delete(vm);
		} else if (this._known.get(vm) !== incarnation) {
			this._known.set(vm, incarnation);
			this._alive.set(vm, incarnation);
			this._aliveTimer ??= setTimeout(() => {
				this._logAlive();
			}, aliveLogMs).unref();
		}
	}

	private _logAlive(): void {
		this._aliveTimer = undefined;
		const named = [...this._alive].slice(0, maxNamed).map(([member, incarnation]) => ({member, incarnation}));
		this._options.logger.log('info', 'members alive', {count: this._alive.size, named, known: this._known.size});
		this._alive.clear();
	}
}
