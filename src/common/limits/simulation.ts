/** Control and entry slices on a virtual clock, with late and lost messages, restarts and leader changes; used by tests. */
import {createAccess, reduceAccess} from '../access/access.js';
import type {AccessEffect, AccessEvent, AccessState} from '../access/access.js';
import type {SharedConfiguration} from '../configuration/types.js';
import type {ConsensusEffect} from '../consensus/types.js';
import {createControl, reduceControl} from '../control/control.js';
import type {ControlEffect, ControlEvent, ControlSlice} from '../control/control.js';
import type {Handover, SyncRequest} from '../control/messages.js';
import {SeededRandom} from '../core/random.js';
import type {ReplyToken, WithoutTime} from '../core/types.js';
import type {AllowanceResult} from '../services/access-service.js';
import type {TenantLimit} from './types.js';

/** Faults per message or per second; 0 means none. */
export type SimulationFaults = {
	/** Share of messages that never arrive. */
	readonly lostShare: number;
	/** Share of messages that take up to `lateMs`. */
	readonly lateShare: number;
	readonly lateMs: number;
	/** Mean time between leader changes, or between restarts of some entry process; in milliseconds. */
	readonly electionEveryMs: number;
	readonly restartEveryMs: number;
	/** Mean time between planned stops of the leader, in milliseconds. */
	readonly handoverEveryMs: number;
};

export type SimulationOptions = {
	readonly seed: number;
	readonly limit: TenantLimit;
	readonly entries: number;
	readonly faults: SimulationFaults;
	/** Largest deviation of an entry process's clock from true time, as a share. */
	readonly clockDrift: number;
	/** Whether settlements name their acquisition; true by default. */
	readonly namesAcquisitions?: boolean;
};

/** A request that was let through; it counts at the time at which it took its tokens. */
export type Consumption = {readonly entry: number; readonly atMs: number; readonly tokens: number};

/** What one request takes, what it uses in the end, and when it ends. */
export type SimulatedRequest = {readonly tokens: number; readonly used: number; readonly durationMs: number; readonly maxWaitMs: number};

type EntryProcess = {state: AccessState; incarnation: number; readonly clockRate: number};
type Waiting = {readonly entry: number; readonly incarnation: number; readonly req: SimulatedRequest};

const controlCount = 3;
const tickMs = 20;
/** Least time between the loss of a leader and the election of the next one, in milliseconds. */
const shortestElectionMs = 200;

/** No faults. */
export const noFaults: SimulationFaults = {
	lostShare: 0, lateShare: 0, lateMs: 0, electionEveryMs: 0, restartEveryMs: 0, handoverEveryMs: 0,
};

/** A cluster with one tenant, `acme`. */
export class Simulation {
	nowMs = 0;
	readonly consumed: Consumption[] = [];
	readonly refusals: Array<Extract<AllowanceResult, {ok: false}>> = [];
	syncs = 0;
	private readonly _random: SeededRandom;
	private readonly _queue: Array<{readonly atMs: number; readonly run: () => void}> = [];
	private readonly _controls: ControlSlice[] = [];
	private readonly _entries: EntryProcess[] = [];
	private readonly _waiting = new Map<ReplyToken, Waiting>();
	private readonly _syncs = new Map<ReplyToken, (body: unknown) => void>();
	private _leader = 0;
	private _term = 0;
	private _nextToken = 1;

	constructor(private readonly _options: SimulationOptions) {
		this._random = new SeededRandom(_options.seed);
		const configuration = {tenants: {acme: {..._options.limit, weight: 1}}} as unknown as SharedConfiguration;
		for (let i = 0; i < controlCount; i++) {
			this._controls.push(createControl({decode: () => configuration, electionSilenceMs: shortestElectionMs}));
			this._deliver(i, {
				type: 'consensus/committed', index: 1, token: undefined, command: {
					type: 'config.apply', changeId: 'c', expectedVersion: 0, sourceDigest: '', source: new Uint8Array(), configuration: new Uint8Array(),
				},
			});
		}

		for (let i = 0; i < _options.entries; i++) {
			const clockRate = 1 + (_options.clockDrift * ((2 * this._random.next()) - 1));
			this._entries.push({state: this._newEntry(configuration), incarnation: 1, clockRate});
			this._tickEntry(i);
		}

		this._elect(0);
		this._every(_options.faults.electionEveryMs, () => {
			this._loseLeader();
		});
		this._every(_options.faults.handoverEveryMs, () => {
			this._stopLeader();
		});
		this._every(_options.faults.restartEveryMs, () => {
			this._restartEntry(this._random.integer(0, _options.entries), configuration);
		});
	}

	get random(): SeededRandom {
		return this._random;
	}

	/** Runs `action` after a delay. */
	after(delayMs: number, run: () => void): void {
		const atMs = this.nowMs + delayMs;
		let i = this._queue.length;
		while (i > 0 && this._queue[i - 1]!.atMs < atMs) {
			i--;
		}

		this._queue.splice(i, 0, {atMs, run});
	}

	/** Runs everything due until a time. */
	runUntil(endMs: number): void {
		while (this._queue.length > 0 && this._queue.at(-1)!.atMs <= endMs) {
			const {atMs, run} = this._queue.pop()!;
			this.nowMs = atMs;
			run();
		}

		this.nowMs = endMs;
	}

	/** Sends requests to an entry process, with exponential gaps; those that are undefined are left out. */
	offer(entry: number, requestsPerSecond: number, makeRequest: () => SimulatedRequest | undefined): void {
		this._every(1000 / requestsPerSecond, () => {
			const req = makeRequest();
			if (req) {
				this.request(entry, req);
			}
		});
	}

	request(entry: number, req: SimulatedRequest): void {
		const token = this._nextToken++;
		this._waiting.set(token, {entry, incarnation: this._entries[entry]!.incarnation, req});
		this._dispatchEntry(entry, {
			type: 'access/acquire', token, tenant: 'acme', tokens: req.tokens, maxWaitMs: req.maxWaitMs,
		});
	}

	/**
	How far the consumption exceeds burst + rate * t in its worst window, in tokens.
	A bucket that starts full and never refuses falls below zero exactly by that much.
	*/
	excess(): number {
		const {rate, burst} = this._options.limit;
		let level = burst;
		let lastMs = 0;
		let worst = 0;
		for (const {atMs, tokens} of this.consumed) {
			level = Math.min(burst, level + (rate * (atMs - lastMs) / 1000)) - tokens;
			lastMs = atMs;
			worst = Math.max(worst, -level);
		}

		return worst;
	}

	private _newEntry(configuration: SharedConfiguration): AccessState {
		return createAccess({controlVms: ['0', '1', '2'], decode: () => configuration});
	}

	private _every(meanMs: number, run: () => void): void {
		if (meanMs > 0) {
			this.after(-Math.log(1 - this._random.next()) * meanMs, () => {
				run();
				this._every(meanMs, run);
			});
		}
	}

	private _restartEntry(entry: number, configuration: SharedConfiguration): void {
		const target = this._entries[entry]!;
		target.state = this._newEntry(configuration);
		target.incarnation++;
	}

	private _tickEntry(entry: number): void {
		this._dispatchEntry(entry, {type: 'access/tick'});
		this.after(tickMs, () => {
			this._tickEntry(entry);
		});
	}

	/** The leader is cut off; its successor is elected later, and it learns that later still. */
	private _loseLeader(): void {
		const former = this._leader;
		if (former < 0) {
			return;
		}

		this._leader = -1;
		this.after(shortestElectionMs + (this._random.next() * 1500), () => {
			this._elect((former + 1 + this._random.integer(0, 2)) % controlCount);
		});
	}

	/** The leader hands over; one of the others is elected after an election timeout. */
	private _stopLeader(): void {
		const former = this._leader;
		if (former < 0) {
			return;
		}

		this._dispatchControl(former, {type: 'control/hand-over', to: ['0', '1', '2'].filter(vm => vm !== String(former))});
		this._leader = -1;
		this._deliver(former, {
			type: 'consensus/role', role: 'follower', term: this._term, leader: undefined,
		});
		this.after(shortestElectionMs + (this._random.next() * 400), () => {
			this._elect((former + 1 + this._random.integer(0, 2)) % controlCount);
		});
	}

	private _elect(leader: number): void {
		this._leader = leader;
		this._term++;
		const term = this._term;
		this._deliver(leader, {
			type: 'consensus/role', role: 'leader', term, leader: String(leader),
		});
		for (let i = 0; i < controlCount; i++) {
			if (i !== leader) {
				this.after(this._random.next() * 1000, () => {
					if (term === this._term) {
						this._deliver(i, {
							type: 'consensus/role', role: 'follower', term, leader: String(leader),
						});
					}
				});
			}
		}
	}

	private _deliver(control: number, effect: ConsensusEffect): void {
		this._dispatchControl(control, {type: 'control/consensus', effect});
	}

	private _dispatchControl(control: number, event: WithoutTime<ControlEvent>): void {
		// Clocks of different processes have nothing in common but their rate.
		const nowMs = this.nowMs + (control * 1e6);
		for (const effect of reduceControl(this._controls[control]!, {...event, nowMs})) {
			this._executeControl(control, effect);
		}
	}

	private _executeControl(control: number, effect: ControlEffect): void {
		if (effect.type === 'reply') {
			this._syncs.get(effect.token)?.(effect.body);
			this._syncs.delete(effect.token);
		} else if (effect.type === 'control/to-consensus' && effect.event.type === 'consensus/read') {
			this._confirmRead(control, effect.event.token);
		} else if (effect.type === 'send' && effect.message.type === 'control/handover') {
			this._transmit(() => {
				this._dispatchControl(Number(effect.to), {type: 'control/handover', handover: effect.message as Handover});
			});
		}
	}

	/** A read is confirmed only if this member still leads once the quorum has answered. */
	private _confirmRead(control: number, token: ReplyToken): void {
		const term = this._term;
		if (this._leader === control) {
			this.after(1 + this._random.next(), () => {
				if (this._leader === control && this._term === term) {
					this._deliver(control, {type: 'consensus/read-ready', token});
				}
			});
		}
	}

	private _dispatchEntry(entry: number, event: WithoutTime<AccessEvent>): void {
		const target = this._entries[entry]!;
		const nowMs = (this.nowMs * target.clockRate) + (entry * 1e5);
		for (const effect of reduceAccess(target.state, {...event, nowMs})) {
			this._executeEntry(entry, effect);
		}
	}

	private _executeEntry(entry: number, effect: AccessEffect): void {
		if (effect.type === 'reply') {
			this._takeAnswer(effect.token, effect.body as AllowanceResult);
		} else if (effect.type === 'access/request') {
			this._sendSync(entry, effect);
		}
	}

	private _takeAnswer(token: ReplyToken, result: AllowanceResult): void {
		const {entry, incarnation, req} = this._waiting.get(token)!;
		this._waiting.delete(token);
		if (!result.ok) {
			this.refusals.push(result);
			return;
		}

		this.consumed.push({entry, atMs: this.nowMs, tokens: req.used});
		this.after(req.durationMs, () => {
			if (this._entries[entry]!.incarnation === incarnation) {
				this._dispatchEntry(entry, {
					type: 'access/settle', tenant: 'acme', acquired: req.tokens, used: req.used, ...(this._options.namesAcquisitions !== false && {acquisition: token}),
				});
			}
		});
	}

	private _sendSync(entry: number, {to, seq, message, timeoutMs}: Extract<AccessEffect, {type: 'access/request'}>): void {
		const {incarnation} = this._entries[entry]!;
		this.syncs++;
		const isCurrent = () => this._entries[entry]!.incarnation === incarnation;
		this._transmit(() => {
			this._serveSync(Number(to), {vm: `entry-${entry}`, incarnation}, message, body => {
				if (isCurrent()) {
					this._dispatchEntry(entry, {type: 'access/reply', seq, body});
				}
			});
		});
		this.after(timeoutMs, () => {
			if (isCurrent()) {
				this._dispatchEntry(entry, {type: 'access/failed', seq});
			}
		});
	}

	private _serveSync(control: number, from: {readonly vm: string; readonly incarnation: number}, request: SyncRequest, answer: (body: unknown) => void): void {
		const token = this._nextToken++;
		this._syncs.set(token, body => {
			this._transmit(() => {
				answer(body);
			});
		});
		this._dispatchControl(control, {
			type: 'control/sync', token, from, request,
		});
	}

	private _transmit(arrive: () => void): void {
		const {lostShare, lateShare, lateMs} = this._options.faults;
		if (this._random.next() < lostShare) {
			return;
		}

		const isLate = this._random.next() < lateShare;
		this.after(isLate ? this._random.next() * lateMs : 0.5 + this._random.next(), arrive);
	}
}
