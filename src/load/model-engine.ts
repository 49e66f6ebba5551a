import type {EngineSpec} from '../common/scheduler/types.js';
import type {LoadReply} from '../common/upstreams/engine-api.js';
import type {Timeline} from './timeline.js';

/** Time to compute one prompt token that is not cached, in milliseconds. */
const prefillTokenMs = 0.15;
/** Time for one output token of a request that is alone, in milliseconds; a full engine takes twice as long. */
const outputTokenMs = 20;
const kvBytesPerToken = 131_072;
const blockTokens = 64;

export type PrefillResult = {readonly cachedTokens: number; readonly serviceMs: number};

/** Engine of the placement model: prefills one after the other, slots for decoding, one transfer at a time. */
export class ModelEngine {
	private _prefillFreeMs = 0;
	private _linkFreeMs = 0;
	private _queuedTokens = 0;
	private _active = 0;
	/** Cached blocks, least recently used first. */
	private readonly _cache = new Set<string>();

	constructor(private readonly _spec: EngineSpec, private readonly _timeline: Timeline) {}

	prefill(promptTokens: number, prefix: readonly string[], done: (result: PrefillResult) => void): void {
		const startMs = Math.max(this._timeline.nowMs, this._prefillFreeMs);
		const cachedTokens = this._cachedBlocks(prefix) * blockTokens;
		const serviceMs = (promptTokens - cachedTokens) * prefillTokenMs;
		this._prefillFreeMs = startMs + serviceMs;
		this._queuedTokens += promptTokens - cachedTokens;
		this._timeline.at(this._prefillFreeMs, () => {
			this._queuedTokens -= promptTokens - cachedTokens;
			this._store(prefix);
			done({cachedTokens, serviceMs});
		});
	}

	/** Whether a decode slot was free. */
	takeSlot(): boolean {
		const hasSlot = this._active < this._spec.slots;
		this._active += hasSlot ? 1 : 0;
		return hasSlot;
	}

	freeSlot(): void {
		this._active--;
	}

	transfer(promptTokens: number, done: () => void): void {
		const startMs = Math.max(this._timeline.nowMs, this._linkFreeMs);
		this._linkFreeMs = startMs + (promptTokens * kvBytesPerToken * 1000 / this._spec.linkRate);
		this._timeline.at(this._linkFreeMs, done);
	}

	/** Time between output tokens at the current number of requests, in milliseconds. */
	tokenMs(): number {
		return outputTokenMs * (1 + (this._active / this._spec.slots));
	}

	load(ageMs: number): LoadReply {
		return {
			ageMs,
			queuedPrefillTokens: this._queuedTokens,
			activeDecodes: this._active,
			slots: this._spec.slots,
			freeBlocks: this._spec.cacheBlocks,
			totalBlocks: this._spec.cacheBlocks,
			leaving: false,
		};
	}

	private _cachedBlocks(prefix: readonly string[]): number {
		const firstMissing = prefix.findIndex(hash => !this._cache.has(hash));
		return firstMissing === -1 ? prefix.length : firstMissing;
	}

	private _store(prefix: readonly string[]): void {
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
