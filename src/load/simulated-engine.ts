import type {EngineSpec} from '../common/scheduler/types.js';
import type {LoadReply} from '../common/upstreams/engine-api.js';
import type {Timeline} from './timeline.js';

/** Time to compute one uncached prompt token, in milliseconds. */
const prefillMsPerToken = 0.15;
/** Approximate time per output token when an engine decodes a single request, in milliseconds. An engine with all slots taken needs twice as long per token. */
const soloTokenIntervalMs = 20;
/** Size of the KV cache of one prompt token, in bytes. */
const kvBytesPerToken = 131_072;
const tokensPerBlock = 64;

/** Number of prompt tokens that were cached, and time to compute the other prompt tokens in milliseconds. */
export type PrefillResult = {readonly cachedTokens: number; readonly serviceMs: number};

/** Engine of the placement simulation. Runs prefills sequentially, decodes in a fixed number of slots and performs one transfer at a time. */
export class SimulatedEngine {
	private _prefillFreeAtMs = 0;
	private _linkFreeAtMs = 0;
	private _queuedTokens = 0;
	private _activeDecodes = 0;
	/** Hashes of the cached blocks, least recently used first. */
	private readonly _cache = new Set<string>();

	constructor(private readonly _spec: EngineSpec, private readonly _timeline: Timeline) {}

	/** Queues a prefill and calls `onDone` when it has been computed. `prefix` holds the hashes of the prompt's leading blocks. */
	prefill(promptTokens: number, prefix: readonly string[], onDone: (result: PrefillResult) => void): void {
		const startMs = Math.max(this._timeline.nowMs, this._prefillFreeAtMs);
		const cachedTokens = this._countCachedBlocks(prefix) * tokensPerBlock;
		const serviceMs = (promptTokens - cachedTokens) * prefillMsPerToken;
		this._prefillFreeAtMs = startMs + serviceMs;
		this._queuedTokens += promptTokens - cachedTokens;
		this._timeline.scheduleAt(this._prefillFreeAtMs, () => {
			this._queuedTokens -= promptTokens - cachedTokens;
			this._cacheBlocks(prefix);
			onDone({cachedTokens, serviceMs});
		});
	}

	/** Takes a decode slot; returns false if none is free. */
	tryTakeSlot(): boolean {
		const hasSlot = this._activeDecodes < this._spec.slots;
		this._activeDecodes += hasSlot ? 1 : 0;
		return hasSlot;
	}

	releaseSlot(): void {
		this._activeDecodes--;
	}

	/** Queues the transfer of the KV cache of a prompt over the engine's link and calls `onDone` when it has ended. */
	transfer(promptTokens: number, onDone: () => void): void {
		const startMs = Math.max(this._timeline.nowMs, this._linkFreeAtMs);
		this._linkFreeAtMs = startMs + (promptTokens * kvBytesPerToken * 1000 / this._spec.linkRate);
		this._timeline.scheduleAt(this._linkFreeAtMs, onDone);
	}

	/** Returns the time between output tokens at the current number of active decodes, in milliseconds. */
	tokenIntervalMs(): number {
		return soloTokenIntervalMs * (1 + (this._activeDecodes / this._spec.slots));
	}

	reportLoad(ageMs: number): LoadReply {
		return {
			ageMs,
			queuedPrefillTokens: this._queuedTokens,
			activeDecodes: this._activeDecodes,
			slots: this._spec.slots,
			freeBlocks: this._spec.cacheBlocks,
			totalBlocks: this._spec.cacheBlocks,
			leaving: false,
		};
	}

	private _countCachedBlocks(prefix: readonly string[]): number {
		const firstMissing = prefix.findIndex(hash => !this._cache.has(hash));
		return firstMissing === -1 ? prefix.length : firstMissing;
	}

	private _cacheBlocks(prefix: readonly string[]): void {
		for (const hash of prefix) {
			this._cache.delete(hash);
			this._cache.add(hash);
		}

		for (const hash of this._cache) {
			if (this._cache.size <= this._spec.cacheBlocks) {
				break;
			}

			this._cache.delete(hash);
		}
	}
}
