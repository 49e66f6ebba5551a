import Emittery from 'emittery';
import type {Clock} from '../../common/core/clock.js';
import type {Disposable} from '../../common/core/disposable.js';
import type {Logger} from '../../common/core/log.js';
import type {CountEffect, VmId} from '../../common/core/types.js';
import {
	createMembership, entryProcesses, nextTickMs, reduceMembership,
} from '../../common/membership/membership.js';
import type {MembershipState} from '../../common/membership/membership.js';
import {isDatagram, membershipMessageSchema} from '../../common/membership/messages.js';
import type {
	MemberRecord, MembershipEffect, MembershipEvent, MembershipMessage, PlatformVmState, LocalMember,
} from '../../common/membership/types.js';
import {EntryProcessDirectory} from '../../common/scheduler/entry-process-directory.js';
import type {EntryProcesses} from '../../common/scheduler/types.js';
import type {PeerNetwork} from '../../common/services/peer-network.js';
import {DeadlineTimer} from '../deadline-timer.js';
import {ReducerRuntime} from '../runtime.js';

/** Minimum interval between ticks, in milliseconds. `nextTickMs` does not take into account that isolation extends the suspicion timeout, so without this minimum an extended suspicion would cause ticks in a tight loop. */
const minTickIntervalMs = 50;

/** Time for which members that become alive are collected into one log line, in milliseconds. */
const aliveLogDelayMs = 500;
/** Maximum number of members named in the log line for members that became alive; the line always gives the count of all of them. */
const maxLoggedMembers = 20;

export type MembershipHostOptions = {
	readonly self: LocalMember;
	/** VMs to contact first; the network must already know their addresses. */
	readonly seeds: readonly VmId[];
	readonly network: PeerNetwork;
	readonly clock: Clock;
	readonly logger: Logger;
	readonly count: (effect: CountEffect) => void;
	/** Seed of the random number generator. */
	readonly randomSeed: number;
	/** Interval between attempts to reach dead members and seeds that are not in the member list, in milliseconds; undefined for the default. */
	readonly rejoinIntervalMs?: number;
};

export type MembershipEvents = {
	/** Fires for a new or changed member record, of any status. */
	onMemberChanged: MemberRecord;
};

/** Runs gossip membership over the peer network and keeps the network's list of member addresses up to date. */
export class MembershipHost extends EntryProcessDirectory implements Disposable {
	readonly events = new Emittery<MembershipEvents>();
	private readonly _state: MembershipState;
	private readonly _runtime: ReducerRuntime<MembershipEvent, MembershipEffect>;
	private readonly _timer: DeadlineTimer;
	private _lastTickMs = Number.NEGATIVE_INFINITY;
	private _isStarted = false;
	/** Incarnation of each member that became alive since the last log line. */
	private readonly _newlyAlive = new Map<VmId, number>();
	/** Incarnation of each member that is alive. */
	private readonly _aliveIncarnations = new Map<VmId, number>();
	private _aliveLogTimer: NodeJS.Timeout | undefined;
	private _entries: EntryProcesses;
	private _onGossipSent: ((to: VmId, isPage: boolean) => void) | undefined;

	constructor(private readonly _options: MembershipHostOptions) {
		super();
		this._state = createMembership({
			self: _options.self,
			seed: _options.randomSeed,
			...(_options.rejoinIntervalMs !== undefined && {rejoinIntervalMs: _options.rejoinIntervalMs}),
		});
		this._entries = entryProcesses(this._state);
		this._runtime = new ReducerRuntime(event => reduceMembership(this._state, event), _options.clock);
		const {clock} = _options;
		this._timer = new DeadlineTimer(clock, () => this._isStarted ? Math.max(nextTickMs(this._state), this._lastTickMs + minTickIntervalMs) : Infinity, () => {
			this._lastTickMs = clock.nowMs();
			this._runtime.dispatch({type: 'membership/tick'});
		});
		this._registerEffects();
		for (const {shape: {type: {value}}} of membershipMessageSchema.options) {
			_options.network.registerHandler(value, membershipMessageSchema, (from, message) => {
				this._runtime.dispatch({type: 'membership/message', from, message});
				this._timer.rearmIfEarlier();
			});
		}
	}

	/** Sets the seeds and starts probing. */
	start(): void {
		this._runtime.dispatch({type: 'membership/seeds', vms: this._options.seeds});
		this._isStarted = true;
		this._timer.rearmIfEarlier();
	}

	override get entries(): EntryProcesses {
		return this._entries;
	}

	/** Records of this process and all known members, including dead ones. */
	get members(): MemberRecord[] {
		return [this._state.self, ...[...this._state.members.values()].map(({record}) => record)];
	}

	/** VMs that the platform is about to remove. */
	get leavingVms(): ReadonlySet<VmId> {
		return this._state.leaving;
	}

	/** Members that are alive or suspect, without this process. */
	get liveMembers(): VmId[] {
		return [...this._state.members.values()].filter(({record}) => record.status !== 'dead').map(({record}) => record.vm);
	}

	/** Sets the function that is called after each gossip message, so that other news can go the same way. `isPage` if the message is a page of the member list, as a new member requests it. */
	setGossipCompanion(onGossipSent: (to: VmId, isPage: boolean) => void): void {
		this._onGossipSent = onGossipSent;
	}

	updatePlatformList(vms: ReadonlyMap<VmId, PlatformVmState>): void {
		this._runtime.dispatch({type: 'membership/platform', vms});
	}

	/** Sets this process's load, in percent of its capacity; values are clamped to 0 to 100. */
	setLoad(load: number): void {
		this._runtime.dispatch({type: 'membership/self', load: Math.round(Math.min(100, Math.max(0, load)))});
	}

	setDraining(isDraining: boolean): void {
		this._runtime.dispatch({type: 'membership/self', isDraining});
	}

	/** Announces that this process is about to end, and stops probing. The network must still be open. */
	leave(): void {
		this._runtime.dispatch({type: 'membership/leave'});
		this._timer.dispose();
	}

	dispose(): void {
		this._timer.dispose();
		clearTimeout(this._aliveLogTimer);
		this.events.clearListeners();
	}

	private _registerEffects(): void {
		const {network, count, logger} = this._options;
		this._runtime.on('send', ({to, message}) => {
			if (isDatagram(message as MembershipMessage)) {
				network.sendDatagram(to, message);
			} else {
				network.send(to, message);
			}

			this._onGossipSent?.(to, message.type === 'membership.members');
		});
		this._runtime.on('count', count);
		this._runtime.on('log', ({level, message, fields}) => {
			logger.log(level, message, fields);
		});
		this._runtime.on('membership/changed', ({member}) => {
			network.setAddress(member.vm, member.peerAddress);
			this._entries = entryProcesses(this._state);
			this._trackAlive(member);
			void this.events.emit('onMemberChanged', member);
		});
	}

	private _trackAlive({vm, incarnation, status}: MemberRecord): void {
		if (status !== 'alive') {
			this._aliveIncarnations.delete(vm);
		} else if (this._aliveIncarnations.get(vm) !== incarnation) {
			this._aliveIncarnations.set(vm, incarnation);
			this._newlyAlive.set(vm, incarnation);
			this._aliveLogTimer ??= setTimeout(() => {
				this._logNewlyAlive();
			}, aliveLogDelayMs).unref();
		}
	}

	private _logNewlyAlive(): void {
		this._aliveLogTimer = undefined;
		const named = [...this._newlyAlive].slice(0, maxLoggedMembers).map(([member, incarnation]) => ({member, incarnation}));
		this._options.logger.log('info', 'members alive', {count: this._newlyAlive.size, named, known: this._aliveIncarnations.size});
		this._newlyAlive.clear();
	}
}
