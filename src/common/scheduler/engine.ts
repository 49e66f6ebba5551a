import type {LoadReply} from '../upstreams/engine-api.js';
import {EngineHealth} from './engine-health.js';
import {LearnedRatio} from './learned-ratio.js';
import type {EngineSpec} from './types.js';

/** Consecutive failed polls after which an engine counts as unreachable. */
const unreachableAfterFailedPolls = 3;
/** Weight of the prior in an engine's estimates per prompt token, in prompt tokens. */
const priorPromptTokens = 500;
/** Weight of the pool-wide first-token latency in an engine's estimate, in requests. */
const priorFirstTokens = 2;
/** Weight of the pool-wide time per output token in an engine's estimate, in output tokens. */
const priorOutputTokens = 50;

/** Speed estimates over the whole pool, used as the prior for engines with few samples of their own. */
export type PoolEstimates = {
	/** Milliseconds per uncached prompt token. */
	readonly prefillMsPerToken: LearnedRatio;
	/** Milliseconds from the start of decoding to the first output token. */
	readonly firstTokenLatencyMs: LearnedRatio;
	/** Milliseconds per output token. */
	readonly outputMsPerToken: LearnedRatio;
};

/** Uncached prompt tokens of a prefill, and its estimated duration in milliseconds. */
type PrefillWork = {readonly tokens: number; readonly estimateMs: number};

/** Maximum of a value during the current and the previous poll interval. A load report may lag behind, so it is compared with this maximum. */
class RecentPeak {
	private _previous = 0;
	private _current = 0;

	get value(): number {
		return Math.max(this._previous, this._current);
	}

	raise(value: number): void {
		this._current = Math.max(this._current, value);
	}

	startInterval(value: number): void {
		this._previous = this._current;
		this._current = value;
	}
}

/** Scheduler-side state of one engine: reservations, reported load, estimated speed and health. */
export class Engine {
	readonly health = new EngineHealth();
	readonly prefillMsPerToken: LearnedRatio;
	readonly firstTokenLatencyMs: LearnedRatio;
	readonly outputMsPerToken: LearnedRatio;
	/** Ratio of the cached tokens that prefills found to those that the prefix index predicted. */
	readonly cachePredictionAccuracy = new LearnedRatio({value: 1}, priorPromptTokens);
	/** Reservations that hold a decode slot, each with the number of KV cache blocks reserved for it. */
	readonly decodes = new Map<string, number>();
	/** Id of the reservation that probes the engine after an ejection; undefined if there is none. */
	probeReservation: string | undefined;
	/** Total estimated duration of the reserved transfers on the engine's link that have not ended, in milliseconds. */
	linkBacklogMs = 0;
	/** Last load that the engine reported; undefined until its first report after the lease was acquired. */
	load: LoadReply | undefined;

	private readonly _prefills = new Map<string, PrefillWork>();
	private readonly _peakDecodes = new RecentPeak();
	private readonly _peakPrefillTokens = new RecentPeak();
	/** KV cache blocks reserved for all decodes of this scheduler. */
	private _reservedBlocks = 0;
	/** Uncached prompt tokens of this scheduler's prefills that have not ended. */
	private _ownPrefillTokens = 0;
	/** Estimated duration of this scheduler's prefills that have not ended, in milliseconds. */
	private _ownPrefillMs = 0;
	/** Time at which the engine could start on the first of this scheduler's prefills, in milliseconds. */
	private _firstPrefillStartMs = 0;
	/** Number of consecutive failed load polls. */
	private _failedPolls = 0;
	/** Decode slots that other schedulers use, according to the last load report. */
	private _externalDecodes = 0;
	/** Queued prefill tokens that other schedulers placed, according to the last load report. */
	private _externalPrefillTokens = 0;

	constructor(public spec: EngineSpec, poolEstimates: PoolEstimates) {
		this.prefillMsPerToken = new LearnedRatio(poolEstimates.prefillMsPerToken, priorPromptTokens);
		this.firstTokenLatencyMs = new LearnedRatio(poolEstimates.firstTokenLatencyMs, priorFirstTokens);
		this.outputMsPerToken = new LearnedRatio(poolEstimates.outputMsPerToken, priorOutputTokens);
	}

	get hasPrefills(): boolean {
		return this._prefills.size > 0;
	}

	/** Number of decode slots taken by this scheduler's reservations and by requests that other schedulers placed. */
	get usedSlots(): number {
		return this.decodes.size + this._externalDecodes;
	}

	/** Returns whether the engine may get new requests: it is neither drained, leaving, unreachable nor ejected, and runs no probe. */
	isUsable(nowMs: number): boolean {
		if (this.spec.isDrained || (this.load?.leaving ?? false) || this._failedPolls >= unreachableAfterFailedPolls) {
			return false;
		}

		const health = this.health.state(nowMs);
		return health === 'healthy' || (health === 'probing' && !this._isProbeRunning());
	}

	/**
	Returns how many of the `share` decode slots that this scheduler may use on the engine are free; not positive if none is.
	During a rebuild, active decodes may belong to reservations of the previous lease holder that are not known yet, so only
	slots that the engine reports as free count.
	*/
	freeSlots(share: number, isRebuilding: boolean): number {
		if (isRebuilding) {
			return this.load ? Math.min(share, this.load.slots - this.load.activeDecodes) - this.decodes.size : 0;
		}

		return Math.min(share - this.decodes.size, this.spec.slots - this.usedSlots);
	}

	/** Returns whether the KV cache has room for the blocks. A request that needs more blocks than the whole cache has can only use an engine without reserved blocks. */
	hasFreeBlocks(blocks: number): boolean {
		return this._reservedBlocks + Math.min(blocks, this.spec.cacheBlocks) <= this.spec.cacheBlocks;
	}

	/** Estimates the time until a new prefill would start, in milliseconds. */
	prefillBacklogMs(nowMs: number): number {
		const [first] = this._prefills.values();
		const firstElapsedMs = first ? Math.min(first.estimateMs, Math.max(0, nowMs - this._firstPrefillStartMs)) : 0;
		return this._ownPrefillMs - firstElapsedMs + (this._externalPrefillTokens * this.prefillMsPerToken.value);
	}

	addDecode(reservation: string, blocks: number): void {
		const reservedBlocks = Math.min(blocks, this.spec.cacheBlocks);
		this.decodes.set(reservation, reservedBlocks);
		this._reservedBlocks += reservedBlocks;
		this._peakDecodes.raise(this.decodes.size);
	}

	removeDecode(reservation: string): void {
		this._reservedBlocks -= this.decodes.get(reservation) ?? 0;
		this.decodes.delete(reservation);
	}

	addPrefill(reservation: string, work: PrefillWork, nowMs: number): void {
		if (this._prefills.size === 0) {
			this._firstPrefillStartMs = nowMs;
		}

		this._prefills.set(reservation, work);
		this._ownPrefillTokens += work.tokens;
		this._ownPrefillMs += work.estimateMs;
		this._peakPrefillTokens.raise(this._ownPrefillTokens);
	}

	/** Removes the prefill of a reservation. Returns the time at which the engine could start on the prefill, in milliseconds, or undefined if the reservation has no prefill on this engine. */
	removePrefill(reservation: string, nowMs: number): number | undefined {
		const work = this._prefills.get(reservation);
		if (!work) {
			return undefined;
		}

		const startedMs = this._firstPrefillStartMs;
		const [first] = this._prefills.keys();
		this._prefills.delete(reservation);
		this._ownPrefillTokens -= work.tokens;
		this._ownPrefillMs = this._prefills.size === 0 ? 0 : this._ownPrefillMs - work.estimateMs;
		if (first === reservation) {
			this._firstPrefillStartMs = nowMs;
		}

		return startedMs;
	}

	/** Records a load report. Load beyond the peak of this scheduler's reservations over the last two poll intervals counts as placed by other schedulers. */
	recordLoad(load: LoadReply): void {
		this.load = load;
		this._failedPolls = 0;
		this._externalDecodes = Math.max(0, load.activeDecodes - this._peakDecodes.value);
		this._externalPrefillTokens = Math.max(0, load.queuedPrefillTokens - this._peakPrefillTokens.value);
		this._peakDecodes.startInterval(this.decodes.size);
		this._peakPrefillTokens.startInterval(this._ownPrefillTokens);
	}

	/** Records a failed poll. Returns whether the engine counts as unreachable from this failure on. */
	recordFailedPoll(): boolean {
		this._failedPolls++;
		return this._failedPolls === unreachableAfterFailedPolls;
	}

	private _isProbeRunning(): boolean {
		return this.probeReservation !== undefined && (this.decodes.has(this.probeReservation) || this._prefills.has(this.probeReservation));
	}
}
