import type {PlacementRequest} from '../services/scheduler-client.js';
import {blockBytes, bytesPerToken} from '../upstreams/prompt-prefix.js';
import {Engine} from './engine.js';
import type {PoolEstimates} from './engine.js';
import {LearnedRatio} from './learned-ratio.js';
import {PrefixIndex} from './prefix-index.js';
import type {EngineSpec} from './types.js';

/** Prompt tokens per KV cache block. */
const blockTokens = blockBytes / bytesPerToken;
/** Initial estimates, used until a few requests have been measured. */
const initialPrefillMsPerToken = 0.1;
const initialFirstTokenLatencyMs = 30;
const initialOutputMsPerToken = 30;
const initialKvBytesPerToken = 131_072;
const initialSlotHoldMs = 1000;
/** Weights of the initial estimates, in tokens and in requests. */
const priorTokens = 500;
const priorRequests = 4;
/** Cost of each zone crossing of a placement, in milliseconds: two messages across zones and the use of a link with less capacity. */
const crossZonePenaltyMs = 2;

/** Bounds of the prefill lookahead, in milliseconds. With less, engines run idle even on lightly loaded machines; with more, requests leave the fair queue so early that its order has no effect. */
const minLookaheadMs = 40;
const maxLookaheadMs = 200;
const initialTurnaroundMs = 10;
/** Prefill lookahead as a multiple of the mean turnaround; more than 1 because turnarounds vary. */
const lookaheadTurnarounds = 2;

/** Breakdown of the estimated time to the first token of a placement, in milliseconds. */
export type PlacementEstimate = {
	readonly backlogMs: number;
	readonly prefillMs: number;
	/** Prompt tokens that the prefill engine probably has cached. */
	readonly cachedTokens: number;
	readonly linkWaitMs: number;
	readonly transferMs: number;
	readonly firstTokenMs: number;
	/** Cost of zone crossings and of slowing down other requests on the decode engine. Not part of the time to the first token. */
	readonly penaltyMs: number;
	readonly totalMs: number;
};

/** A prefill engine, a decode engine, and the prompt tokens that the prefill engine probably has cached. */
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
	/** Overhead around a prefill, in milliseconds: from the placement to its start, plus from its end to the arrival of the progress message. */
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

	/** How long before it runs out of work a prefill engine gets its next prefill, in milliseconds. Covers the turnaround, so that the engine does not run idle. */
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

	/** Returns the prompt tokens that the engine probably has cached, scaled by the accuracy of earlier predictions. */
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
		// Transfers that were reserved earlier proceed while this prefill is queued and running.
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
