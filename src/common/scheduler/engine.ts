import type {LoadReply} from '../upstreams/engine-api.js';
import {EngineHealth} from './engine-health.js';
import {LearnedRatio} from './learned.js';
import type {EngineSpec} from './types.js';

/** Polls in a row that fail before an engine counts as unreachable. */
const failedPollsToAvoid = 3;
/** Weight of a pool-wide estimate in an engine's own, in prompt tokens, first tokens and output tokens. */
const priorPromptTokens = 500;
const priorFirstTokens = 2;
const priorOutputTokens = 50;

/** Speeds learned over the whole pool; what an engine without samples of its own is assumed to do. */
export type PoolSpeeds = {
	/** Milliseconds per prompt token that is not cached. */
	readonly prefill: LearnedRatio;
	/** Milliseconds from the start of decoding to the first token. */
	readonly firstToken: LearnedRatio;
	/** Milliseconds per output token. */
	readonly output: LearnedRatio;
};

type PrefillWork = {readonly tokens: number; readonly estimateMs: number};

/** Largest own figure since the last two load answers, to compare with an answer that lags. */
class RecentPeak {
	private _previous = 0;
	private _current = 0;

	get value(): number {
		return Math.max(this._previous, this._current);
	}

	raise(value: number): void {
		this._current = Math.max(this._current, value);
	}

	roll(value: number): void {
		this._previous = this._current;
		this._current = value;
	}
}

/** What the scheduler believes of one engine: reservations, reported load, speed and health. */
export class Engine {
	readonly health = new EngineHealth();
	readonly prefillSpeed: LearnedRatio;
	readonly firstTokenSpeed: LearnedRatio;
	readonly outputSpeed: LearnedRatio;
	/** Cached tokens found by prefills per cached token that the prefix index predicted. */
	readonly cacheTrust = new LearnedRatio({value: 1}, priorPromptTokens);
	/** Reservations that hold a decode slot, with the KV cache blocks they may fill. */
	readonly decodes = new Map<string, number>();
	/** The reservation that probes the engine after an ejection. */
	probe: string | undefined;
	/** Milliseconds of transfers that are reserved on the engine's link and have not ended. */
	linkBacklogMs = 0;
	/** Undefined before the first answer since the lease was acquired. */
	load: LoadReply | undefined;

	private readonly _prefills = new Map<string, PrefillWork>();
	private readonly _peakDecodes = new RecentPeak();
	private readonly _peakPrefillTokens = new RecentPeak();
	private _reservedBlocks = 0;
	private _queuedTokens = 0;
	private _queuedMs = 0;
	private _prefillSinceMs = 0;
	private _failedPolls = 0;
	private _foreignDecodes = 0;
	private _foreignTokens = 0;

	constructor(public spec: EngineSpec, speeds: PoolSpeeds) {
		this.prefillSpeed = new LearnedRatio(speeds.prefill, priorPromptTokens);
		this.firstTokenSpeed = new LearnedRatio(speeds.firstToken, priorFirstTokens);
		this.outputSpeed = new LearnedRatio(speeds.output, priorOutputTokens);
	}

	get hasPrefills(): boolean {
		return this._prefills.size > 0;
	}

	/** Slots taken by reservations and by work that others placed. */
	get usedSlots(): number {
		return this.decodes.size + this._foreignDecodes;
	}

	/** Whether the engine may get new work at all. */
	isUsable(nowMs: number): boolean {
		if (this.spec.isDrained || (this.load?.leaving ?? false) || this._failedPolls >= failedPollsToAvoid) {
			return false;
		}

		const health = this.health.state(nowMs);
		return health === 'healthy' || (health === 'probing' && !this._isProbed());
	}

	/** Free slots of a share of the engine; while rebuilding, reservations of a predecessor may be among the active decodes. */
	freeSlots(share: number, isRebuilding: boolean): number {
		if (isRebuilding) {
			return this.load ? Math.min(share, this.load.slots - this.load.activeDecodes) - this.decodes.size : 0;
		}

		return Math.min(share - this.decodes.size, this.spec.slots - this.usedSlots);
	}

	/** Whether the KV cache has room for the blocks; a request larger than the whole cache gets an empty engine. */
	hasBlocks(blocks: number): boolean {
		return this._reservedBlocks + Math.min(blocks, this.spec.cacheBlocks) <= this.spec.cacheBlocks;
	}

	/** Milliseconds until a new prefill would start. */
	prefillBacklogMs(nowMs: number): number {
		const [first] = this._prefills.values();
		const doneMs = first ? Math.min(first.estimateMs, Math.max(0, nowMs - this._prefillSinceMs)) : 0;
		return this._queuedMs - doneMs + (this._foreignTokens * this.prefillSpeed.value);
	}

	addDecode(reservation: string, blocks: number): void {
		const held = Math.min(blocks, this.spec.cacheBlocks);
		this.decodes.set(reservation, held);
		this._reservedBlocks += held;
		this._peakDecodes.raise(this.decodes.size);
	}

	removeDecode(reservation: string): void {
		this._reservedBlocks -= this.decodes.get(reservation) ?? 0;
		this.decodes.delete(reservation);
	}

	addPrefill(reservation: string, work: PrefillWork, nowMs: number): void {
		if (this._prefills.size === 0) {
			this._prefillSinceMs = nowMs;
		}

		this._prefills.set(reservation, work);
		this._queuedTokens += work.tokens;
		this._queuedMs += work.estimateMs;
		this._peakPrefillTokens.raise(this._queuedTokens);
	}

	/** Removes a prefill; returns when the engine started it, if it did run. */
	removePrefill(reservation: string, nowMs: number): number | undefined {
		const work = this._prefills.get(reservation);
		if (!work) {
			return undefined;
		}

		const startedMs = this._prefillSinceMs;
		const [first] = this._prefills.keys();
		this._prefills.delete(reservation);
		this._queuedTokens -= work.tokens;
		this._queuedMs = this._prefills.size === 0 ? 0 : this._queuedMs - work.estimateMs;
		if (first === reservation) {
			this._prefillSinceMs = nowMs;
		}

		return startedMs;
	}

	/** The engine's own figures; what exceeds the reservations of the last two answers was placed by others. */
	loadReported(load: LoadReply): void {
		this.load = load;
		this._failedPolls = 0;
		this._foreignDecodes = Math.max(0, load.activeDecodes - this._peakDecodes.value);
		this._foreignTokens = Math.max(0, load.queuedPrefillTokens - this._peakPrefillTokens.value);
		this._peakDecodes.roll(this.decodes.size);
		this._peakPrefillTokens.roll(this._queuedTokens);
	}

	/** Returns whether this failure makes the engine count as unreachable. */
	pollFailed(): boolean {
		this._failedPolls++;
		return this._failedPolls === failedPollsToAvoid;
	}

	private _isProbed(): boolean {
		return this.probe !== undefined && (this.decodes.has(this.probe) || this._prefills.has(this.probe));
	}
}
