/** Simulates control and entry processes on a virtual clock, with delayed and lost messages, restarts and leader changes; used by tests. */
import {createAccessState, reduceAccess} from '../access/access.js';
import type {AccessEffect, AccessEvent, AccessState} from '../access/access.js';
import type {SharedConfiguration} from '../configuration/types.js';
import type {ConsensusEffect} from '../consensus/types.js';
import {createControl, reduceControl} from '../control/control.js';
import type {ControlEffect, ControlEvent, ControlSlice} from '../control/control.js';
import type {Handover, SyncRequest} from '../control/messages.js';
import {SeededRandom} from '../core/random.js';
import type {ReplyToken, UntimedEvent} from '../core/types.js';
import type {AllowanceResult} from '../services/access-service.js';
import type {CustomerLimit} from './types.js';

/** Faults to inject; a value of 0 disables the fault. */
export type SimulationFaults = {
	/** Share of messages that are lost. */
	readonly lostShare: number;
	/** Share of messages that are delayed by up to `maxDelayMs`. */
	readonly delayedShare: number;
	readonly maxDelayMs: number;
	/** Mean time between failures of the leader, in milliseconds. */
	readonly failureIntervalMs: number;
	/** Mean time between two restarts of a randomly chosen entry process, in milliseconds. */
	readonly restartIntervalMs: number;
	/** Mean time between planned stops of the leader, in milliseconds. */
	readonly handoverIntervalMs: number;
};

export type SimulationOptions = {
	readonly seed: number;
	readonly limit: CustomerLimit;
	readonly entryCount: number;
	readonly faults: SimulationFaults;
	/** Largest deviation of an entry process's clock rate from true time, as a share. */
	readonly clockDrift: number;
	/** Whether settlements carry the reply token of their acquisition; true by default. */
	readonly hasAcquisitionTokens?: boolean;
};

/** Tokens used by an admitted request, counted as consumed at the time of admission (`atMs`). */
export type Consumption = {readonly entry: number; readonly atMs: number; readonly tokens: number};

/** A request: the tokens that it acquires, the tokens that it has used when it ends, how long it runs once admitted, and how long it may wait for admission. */
export type SimulatedRequest = {readonly tokens: number; readonly used: number; readonly durationMs: number; readonly maxWaitMs: number};

type EntryProcess = {state: AccessState; incarnation: number; readonly clockRate: number};
type PendingRequest = {readonly entry: number; readonly incarnation: number; readonly req: SimulatedRequest};

const controlCount = 3;
const tickMs = 20;
/** Shortest time between the loss of a leader and the election of its successor, in milliseconds. */
const minElectionMs = 200;

export const noFaults: SimulationFaults = {
	lostShare: 0, delayedShare: 0, maxDelayMs: 0, failureIntervalMs: 0, restartIntervalMs: 0, handoverIntervalMs: 0,
};

/** A simulated cluster with one customer, `acme`. */
export class Simulation {
	nowMs = 0;
	readonly consumed: Consumption[] = [];
	readonly refusals: Array<Extract<AllowanceResult, {ok: false}>> = [];
	syncCount = 0;
	private readonly _random: SeededRandom;
	private readonly _queue: Array<{readonly atMs: number; readonly run: () => void}> = [];
	private readonly _controls: ControlSlice[] = [];
	private readonly _entries: EntryProcess[] = [];
	private readonly _pendingRequests = new Map<ReplyToken, PendingRequest>();
	private readonly _pendingSyncs = new Map<ReplyToken, (body: unknown) => void>();
	private _leader = 0;
	private _term = 0;
	private _nextToken = 1;

	constructor(private readonly _options: SimulationOptions) {
		this._random = new SeededRandom(_options.seed);
		const configuration = {tenants: {acme: {..._options.limit, weight: 1}}} as unknown as SharedConfiguration;
		for (let i = 0; i < controlCount; i++) {
			this._controls.push(createControl({decodeConfiguration: () => configuration, minElectionTimeoutMs: minElectionMs}));
			this._deliverConsensusEffect(i, {
				type: 'consensus/committed', index: 1, token: undefined, command: {
					type: 'config.apply', changeId: 'c', expectedVersion: 0, sourceDigest: '', source: new Uint8Array(), configuration: new Uint8Array(),
				},
			});
		}

		for (let i = 0; i < _options.entryCount; i++) {
			const clockRate = 1 + (_options.clockDrift * ((2 * this._random.next()) - 1));
			this._entries.push({state: this._createEntryState(configuration), incarnation: 1, clockRate});
			this._tickEntry(i);
		}

		this._electLeader(0);
		this._repeat(_options.faults.failureIntervalMs, () => {
			this._failLeader();
		});
		this._repeat(_options.faults.handoverIntervalMs, () => {
			this._handOverLeadership();
		});
		this._repeat(_options.faults.restartIntervalMs, () => {
			this._restartEntry(this._random.integer(0, _options.entryCount), configuration);
		});
	}

	get random(): SeededRandom {
		return this._random;
	}

	/** Schedules `run` to be called after `delayMs` of virtual time. */
	schedule(delayMs: number, run: () => void): void {
		const atMs = this.nowMs + delayMs;
		let i = this._queue.length;
		while (i > 0 && this._queue[i - 1]!.atMs < atMs) {
			i--;
		}

		this._queue.splice(i, 0, {atMs, run});
	}

	/** Advances the virtual clock to `endMs` and runs everything that is due until then. */
	runUntil(endMs: number): void {
		while (this._queue.length > 0 && this._queue.at(-1)!.atMs <= endMs) {
			const {atMs, run} = this._queue.pop()!;
			this.nowMs = atMs;
			run();
		}

		this.nowMs = endMs;
	}

	/** Sends requests to an entry process at exponentially distributed intervals; if `makeRequest` returns undefined, no request is sent at that time. */
	offerLoad(entry: number, requestsPerSecond: number, makeRequest: () => SimulatedRequest | undefined): void {
		this._repeat(1000 / requestsPerSecond, () => {
			const req = makeRequest();
			if (req) {
				this.request(entry, req);
			}
		});
	}

	request(entry: number, req: SimulatedRequest): void {
		const token = this._nextToken++;
		this._pendingRequests.set(token, {entry, incarnation: this._entries[entry]!.incarnation, req});
		this._dispatchEntry(entry, {
			type: 'access/acquire', token, tenant: 'acme', tokens: req.tokens, maxWaitMs: req.maxWaitMs,
		});
	}

	/**
	Returns by how many tokens the consumption exceeds burst + rate * t in its worst window; 0 if it never does. The excess is how far the level
	of a token bucket falls below zero if the bucket starts full and every consumption is taken from it.
	*/
	excessTokens(): number {
		const {rate, burst} = this._options.limit;
		let level = burst;
		let lastMs = 0;
		let worstTokens = 0;
		for (const {atMs, tokens} of this.consumed) {
			level = Math.min(burst, level + (rate * (atMs - lastMs) / 1000)) - tokens;
			lastMs = atMs;
			worstTokens = Math.max(worstTokens, -level);
		}

		return worstTokens;
	}

	private _createEntryState(configuration: SharedConfiguration): AccessState {
		return createAccessState({controlVms: ['0', '1', '2'], decodeConfiguration: () => configuration});
	}

	private _repeat(meanMs: number, run: () => void): void {
		if (meanMs > 0) {
			this.schedule(-Math.log(1 - this._random.next()) * meanMs, () => {
				run();
				this._repeat(meanMs, run);
			});
		}
	}

	private _restartEntry(entry: number, configuration: SharedConfiguration): void {
		const target = this._entries[entry]!;
		target.state = this._createEntryState(configuration);
		target.incarnation++;
	}

	private _tickEntry(entry: number): void {
		this._dispatchEntry(entry, {type: 'access/tick'});
		this.schedule(tickMs, () => {
			this._tickEntry(entry);
		});
	}

	/** Makes the leader fail, so that its reads are no longer confirmed. A successor is elected after a timeout, and the former leader learns of the election some time after it. */
	private _failLeader(): void {
		const former = this._leader;
		if (former < 0) {
			return;
		}

		this._leader = -1;
		this.schedule(minElectionMs + (this._random.next() * 1500), () => {
			this._electLeader((former + 1 + this._random.integer(0, 2)) % controlCount);
		});
	}

	/** Makes the leader hand over its buckets and step down. Another control process is elected after a timeout. */
	private _handOverLeadership(): void {
		const former = this._leader;
		if (former < 0) {
			return;
		}

		this._dispatchControl(former, {type: 'control/step-down', to: ['0', '1', '2'].filter(vm => vm !== String(former))});
		this._leader = -1;
		this._deliverConsensusEffect(former, {
			type: 'consensus/role', role: 'follower', term: this._term, leader: undefined,
		});
		this.schedule(minElectionMs + (this._random.next() * 400), () => {
			this._electLeader((former + 1 + this._random.integer(0, 2)) % controlCount);
		});
	}

	private _electLeader(leader: number): void {
		this._leader = leader;
		this._term++;
		const term = this._term;
		this._deliverConsensusEffect(leader, {
			type: 'consensus/role', role: 'leader', term, leader: String(leader),
		});
		for (let i = 0; i < controlCount; i++) {
			if (i !== leader) {
				this.schedule(this._random.next() * 1000, () => {
					if (term === this._term) {
						this._deliverConsensusEffect(i, {
							type: 'consensus/role', role: 'follower', term, leader: String(leader),
						});
					}
				});
			}
		}
	}

	private _deliverConsensusEffect(control: number, effect: ConsensusEffect): void {
		this._dispatchControl(control, {type: 'control/consensus', effect});
	}

	private _dispatchControl(control: number, event: UntimedEvent<ControlEvent>): void {
		// Offsets the clock of each control process, since clocks of different processes show unrelated times even if they run at the same rate.
		const nowMs = this.nowMs + (control * 1e6);
		for (const effect of reduceControl(this._controls[control]!, {...event, nowMs})) {
			this._executeControl(control, effect);
		}
	}

	private _executeControl(control: number, effect: ControlEffect): void {
		if (effect.type === 'reply') {
			this._pendingSyncs.get(effect.token)?.(effect.body);
			this._pendingSyncs.delete(effect.token);
		} else if (effect.type === 'control/to-consensus' && effect.event.type === 'consensus/read') {
			this._confirmRead(control, effect.event.token);
		} else if (effect.type === 'send' && effect.message.type === 'control/handover') {
			this._transmit(() => {
				this._dispatchControl(Number(effect.to), {type: 'control/handover', handover: effect.message as Handover});
			});
		}
	}

	/** Confirms a read after the time in which a quorum answers, if the control process still leads in the same term by then. */
	private _confirmRead(control: number, token: ReplyToken): void {
		const term = this._term;
		if (this._leader === control) {
			this.schedule(1 + this._random.next(), () => {
				if (this._leader === control && this._term === term) {
					this._deliverConsensusEffect(control, {type: 'consensus/read-ready', token});
				}
			});
		}
	}

	private _dispatchEntry(entry: number, event: UntimedEvent<AccessEvent>): void {
		const target = this._entries[entry]!;
		const nowMs = (this.nowMs * target.clockRate) + (entry * 1e5);
		for (const effect of reduceAccess(target.state, {...event, nowMs})) {
			this._executeEntry(entry, effect);
		}
	}

	private _executeEntry(entry: number, effect: AccessEffect): void {
		if (effect.type === 'reply') {
			this._receiveAnswer(effect.token, effect.body as AllowanceResult);
		} else if (effect.type === 'access/request') {
			this._sendSync(entry, effect);
		}
	}

	private _receiveAnswer(token: ReplyToken, result: AllowanceResult): void {
		const {entry, incarnation, req} = this._pendingRequests.get(token)!;
		this._pendingRequests.delete(token);
		if (!result.ok) {
			this.refusals.push(result);
			return;
		}

		this.consumed.push({entry, atMs: this.nowMs, tokens: req.used});
		this.schedule(req.durationMs, () => {
			if (this._entries[entry]!.incarnation === incarnation) {
				this._dispatchEntry(entry, {
					type: 'access/settle', tenant: 'acme', acquired: req.tokens, used: req.used, ...(this._options.hasAcquisitionTokens !== false && {acquisition: token}),
				});
			}
		});
	}

	private _sendSync(entry: number, {to, seq, message, timeoutMs}: Extract<AccessEffect, {type: 'access/request'}>): void {
		const {incarnation} = this._entries[entry]!;
		this.syncCount++;
		const isCurrent = () => this._entries[entry]!.incarnation === incarnation;
		this._transmit(() => {
			this._serveSync(Number(to), {vm: `entry-${entry}`, incarnation}, message, body => {
				if (isCurrent()) {
					this._dispatchEntry(entry, {type: 'access/reply', seq, body});
				}
			});
		});
		this.schedule(timeoutMs, () => {
			if (isCurrent()) {
				this._dispatchEntry(entry, {type: 'access/failed', seq});
			}
		});
	}

	private _serveSync(control: number, from: {readonly vm: string; readonly incarnation: number}, request: SyncRequest, respond: (body: unknown) => void): void {
		const token = this._nextToken++;
		this._pendingSyncs.set(token, body => {
			this._transmit(() => {
				respond(body);
			});
		});
		this._dispatchControl(control, {
			type: 'control/sync', token, from, request,
		});
	}

	private _transmit(deliver: () => void): void {
		const {lostShare, delayedShare, maxDelayMs} = this._options.faults;
		if (this._random.next() < lostShare) {
			return;
		}

		const isDelayed = this._random.next() < delayedShare;
		this.schedule(isDelayed ? this._random.next() * maxDelayMs : 0.5 + this._random.next(), deliver);
	}
}
