import type {PlacementRequest} from '../services/scheduler-client.js';
import {blockBytes, bytesPerToken} from '../upstreams/prompt-prefix.js';
import {Engine} from './engine.js';
import type {PoolEstimates} from './engine.js';
import {LearnedRatio} from './learned-ratio.js';
import {PrefixIndex} from './prefix-index.js';
import type {EngineSpec} from './types.js';

/** Prompt tokens per KV cache block. */
const blockTokens = blockBytes / bytesPerToken;
/** Initial estimate of the prefill time per uncached prompt token, in milliseconds, used until some requests have been measured. */
const initialPrefillMsPerToken = 0.1;
/** Initial estimate of the time from the start of decoding to the first output token, in milliseconds. */
const initialFirstTokenLatencyMs = 30;
/** Initial estimate of the time per output token, in milliseconds. */
const initialOutputMsPerToken = 30;
/** Initial estimate of the KV cache size per prompt token, in bytes. */
const initialKvBytesPerToken = 131_072;
/** Initial estimate of the time for which a request holds its decode slot, in milliseconds. */
const initialSlotHoldMs = 1000;
/** Weight of the initial estimates per token, in tokens. */
const priorTokens = 500;
/** Weight of the initial estimates per request, in requests. */
const priorRequests = 4;
/** Cost of each zone crossing of a placement, in milliseconds: for two messages across zones and the use of a link with less capacity. */
const crossZonePenaltyMs = 2;

/** Lower bound of the prefill lookahead, in milliseconds. With a shorter lookahead, engines run idle even on lightly loaded machines. */
const minLookaheadMs = 40;
/** Upper bound of the prefill lookahead, in milliseconds. With a longer lookahead, requests leave the fair queue so early that its order has no effect. */
const maxLookaheadMs = 200;
/** Initial estimate of the turnaround of a prefill, in milliseconds. */
const initialTurnaroundMs = 10;
/** Prefill lookahead as a multiple of the mean turnaround; more than 1 because turnarounds vary. */
const lookaheadTurnarounds = 2;

/** Breakdown of the estimated time to the first output token of a placement. Times are in milliseconds. */
export type PlacementEstimate = {
	/** Time until the prefill engine can start on the prompt. */
	readonly backlogMs: number;
	/** Time to compute the prompt tokens that are not cached. */
	readonly prefillMs: number;
	/** Number of prompt tokens that the prefill engine probably has cached. */
	readonly cachedTokens: number;
	/** Time from the end of the prefill until the links of both engines are free. */
	readonly linkWaitMs: number;
	/** Time to transfer the KV cache to the decode engine. */
	readonly transferMs: number;
	/** Time from the start of decoding to the first output token. */
	readonly firstTokenMs: number;
	/** Cost of zone crossings and of slowing down other requests on the decode engine. Not part of the time to the first output token. */
	readonly penaltyMs: number;
	/** Time to the first output token: the sum of all times above except `penaltyMs`. */
	readonly totalMs: number;
};

/** A prefill engine, a decode engine, and the number of prompt tokens that the prefill engine probably has cached. */
export type EnginePair = {readonly prefill: Engine; readonly decode: Engine; readonly cachedTokens: number};

/** Returns the maximum number of KV cache blocks that a request can fill. */
export function requiredBlocks({promptTokens, maxTokens}: Pick<PlacementRequest, 'promptTokens' | 'maxTokens'>): number {
	return Math.ceil((promptTokens + maxTokens) / blockTokens);
}

/** The engines of a pool shard, with speed estimates learned from their requests. */
export class Pool implements PoolEstimates {
	readonly engines = new Map<string, Engine>();
	readonly prefixIndex: PrefixIndex;
	readonly prefillMsPerToken = new LearnedRatio({value: initialPrefillMsPerToken}, priorTokens);
	readonly firstTokenLatencyMs = new LearnedRatio({value: initialFirstTokenLatencyMs}, priorRequests);
	readonly outputMsPerToken = new LearnedRatio({value: initialOutputMsPerToken}, priorTokens);
	/** Time for which a request holds its decode slot, in milliseconds. */
	readonly slotHoldMs = new LearnedRatio({value: initialSlotHoldMs}, priorRequests);
	/** Share of prompt tokens that engines had to compute because they were not cached. */
	readonly uncachedTokenShare = new LearnedRatio({value: 1}, priorTokens);
	/**
	Turnaround: the overhead around a prefill, in milliseconds. It is the time from the placement to the start of the prefill, plus
	the time from the end of the prefill to the arrival of the progress message.
	*/
	readonly turnaroundMs = new LearnedRatio({value: initialTurnaroundMs}, priorRequests);
	/** While true, the reservations of the shard are incomplete, and only slots that the engines report as free may be used. */
	isRebuilding = false;

	private readonly _sameZoneKvBytesPerToken = new LearnedRatio({value: initialKvBytesPerToken}, priorTokens);
	private readonly _crossZoneKvBytesPerToken = new LearnedRatio({value: initialKvBytesPerToken}, priorTokens);
	private _prefillEngines: readonly Engine[] = [];
	private _decodeEngines: readonly Engine[] = [];

	constructor(maxPrefixEntries: number) {
		this.prefixIndex = new PrefixIndex(maxPrefixEntries);
	}

	get prefillEngines(): readonly Engine[] {
		return this._prefillEngines;
	}

	get decodeEngines(): readonly Engine[] {
		return this._decodeEngines;
	}

	/** Prefill backlog up to which an engine gets another prefill, in milliseconds. Covers the turnaround, so that the engine does not run idle between prefills. */
	get prefillLookaheadMs(): number {
		return Math.min(maxLookaheadMs, Math.max(minLookaheadMs, lookaheadTurnarounds * this.turnaroundMs.value));
	}

	/** Replaces the set of engines; engines that remain keep their state. Returns the names of the removed engines. */
	configure(specs: readonly EngineSpec[]): string[] {
		const names = new Set(specs.map(({name}) => name));
		const removed = [...this.engines.keys()].filter(name => !names.has(name));
		for (const name of removed) {
			this.engines.delete(name);
		}

		for (const spec of specs) {
			const engine = this.engines.get(spec.name);
			if (engine) {
				engine.spec = spec;
			} else {
				this.engines.set(spec.name, new Engine(spec, this));
			}
		}

		this._prefillEngines = [...this.engines.values()].filter(({spec}) => spec.role !== 'decode');
		this._decodeEngines = [...this.engines.values()].filter(({spec}) => spec.role !== 'prefill');
		this.prefixIndex.setEngines(new Map(this._prefillEngines.map(({spec}) => [spec.name, spec.cacheBlocks])));
		return removed;
	}

	/** Returns the number of prompt tokens that the engine probably has cached, scaled by the accuracy of earlier predictions. */
	cachedTokens(engine: Engine, {promptTokens, prefix}: Pick<PlacementRequest, 'promptTokens' | 'prefix'>): number {
		const predicted = this.prefixIndex.leadingBlocks(engine.spec.name, prefix) * blockTokens;
		return Math.min(promptTokens - 1, predicted * Math.min(1, engine.cachePredictionAccuracy.value));
	}

	/** Estimates the time to compute the prompt tokens that are not cached, in milliseconds. */
	prefillMs({promptTokens}: Pick<PlacementRequest, 'promptTokens'>, prefill: Engine, cachedTokens: number): number {
		return (promptTokens - cachedTokens) * prefill.prefillMsPerToken.value;
	}

	/** Estimates the cost of a decode engine without the transfer, in milliseconds. */
	decodeCostMs({zone}: Pick<PlacementRequest, 'zone'>, decode: Engine): number {
		return decode.firstTokenLatencyMs.value + this._decodeSlowdownMs(decode) + (zone === decode.spec.zone ? 0 : crossZonePenaltyMs);
	}

	/** Estimates the time to transfer the KV cache of a prompt, in milliseconds; 0 if one engine does both prefill and decode. */
	transferMs(prefill: Engine, decode: Engine, promptTokens: number): number {
		if (prefill === decode) {
			return 0;
		}

		const linkRate = Math.min(prefill.spec.linkRate, decode.spec.linkRate);
		return promptTokens * this._kvBytesPerToken(prefill, decode).value * 1000 / linkRate;
	}

	/** Updates the estimated KV cache size per token from a completed transfer. */
	observeTransfer(prefill: Engine, decode: Engine, promptTokens: number, durationMs: number): void {
		const linkRate = Math.min(prefill.spec.linkRate, decode.spec.linkRate);
		this._kvBytesPerToken(prefill, decode).observe(durationMs * linkRate / 1000, promptTokens);
	}

	/** Estimates the cost of a request on a pair of engines. */
	estimate(req: PlacementRequest, {prefill, decode, cachedTokens}: EnginePair, nowMs: number): PlacementEstimate {
		const backlogMs = prefill.prefillBacklogMs(nowMs);
		const prefillMs = this.prefillMs(req, prefill, cachedTokens);
		const transferMs = this.transferMs(prefill, decode, req.promptTokens);
		// Transfers that were reserved earlier proceed while this prefill is queued and running, so only the rest of them delays this transfer.
		const linkBacklogMs = prefill === decode ? 0 : Math.max(prefill.linkBacklogMs, decode.linkBacklogMs);
		const linkWaitMs = Math.max(0, linkBacklogMs - backlogMs - prefillMs);
		const firstTokenMs = decode.firstTokenLatencyMs.value;
		const zoneCrossings = Number(req.zone !== prefill.spec.zone) + Number(prefill.spec.zone !== decode.spec.zone);
		return {
			backlogMs,
			prefillMs,
			cachedTokens,
			linkWaitMs,
			transferMs,
			firstTokenMs,
			penaltyMs: (zoneCrossings * crossZonePenaltyMs) + this._decodeSlowdownMs(decode),
			totalMs: backlogMs + prefillMs + linkWaitMs + transferMs + firstTokenMs,
		};
	}

	/** Estimates by how much the request slows down the decode engine's other requests, in milliseconds. */
	private _decodeSlowdownMs(decode: Engine): number {
		return decode.outputMsPerToken.value * decode.usedSlots / decode.spec.slots;
	}

	private _kvBytesPerToken(prefill: Engine, decode: Engine): LearnedRatio {
		return prefill.spec.zone === decode.spec.zone ? this._sameZoneKvBytesPerToken : this._crossZoneKvBytesPerToken;
	}
}
