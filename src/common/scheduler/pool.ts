import type {PlaceRequest} from '../services/scheduler-client.js';
import {blockBytes, bytesPerToken} from '../upstreams/prefix.js';
import {Engine} from './engine.js';
import type {PoolSpeeds} from './engine.js';
import {LearnedRatio} from './learned.js';
import {PrefixIndex} from './prefix-index.js';
import type {EngineSpec} from './types.js';

/** Prompt tokens in one KV cache block. */
const blockTokens = blockBytes / bytesPerToken;
/** Estimates used until the pool has reported a few requests. */
const initialPrefillMs = 0.1;
const initialFirstTokenMs = 30;
const initialOutputMs = 30;
const initialKvBytes = 131_072;
const initialHoldMs = 1000;
/** Samples, in tokens or requests, that outweigh the initial estimates. */
const priorTokens = 500;
const priorRequests = 4;
/** Cost of leaving a zone: two messages across zones and the use of a scarcer link, in milliseconds. */
const crossZoneMs = 2;

/** Bounds of the prefill lookahead, in milliseconds: below, engines idle even on quiet machines; above, the fair queue's order would be undone. */
const minLookaheadMs = 40;
const maxLookaheadMs = 200;
const initialTurnaroundMs = 10;
/** The lookahead covers this many mean turnarounds, since they vary. */
const lookaheadTurnarounds = 2;

/** Where the time to the first token of a placement goes, in milliseconds. */
export type PlacementEstimate = {
	readonly backlogMs: number;
	readonly prefillMs: number;
	/** Tokens that need no computing. */
	readonly cachedTokens: number;
	readonly linkWaitMs: number;
	readonly transferMs: number;
	readonly firstTokenMs: number;
	/** Cost of crossing zones and of slowing the decode engine's other requests; not part of the time to the first token. */
	readonly penaltyMs: number;
	readonly totalMs: number;
};

/** A prefill engine with the prompt tokens it holds, and a decode engine. */
export type EnginePair = {readonly prefill: Engine; readonly decode: Engine; readonly cachedTokens: number};

/** KV cache blocks that a request may fill. */
export function blocksOf({promptTokens, maxTokens}: Pick<PlaceRequest, 'promptTokens' | 'maxTokens'>): number {
	return Math.ceil((promptTokens + maxTokens) / blockTokens);
}

/** The engines of a pool shard and what was learned of their speed. */
export class Pool implements PoolSpeeds {
	readonly engines = new Map<string, Engine>();
	readonly index: PrefixIndex;
	readonly prefill = new LearnedRatio({value: initialPrefillMs}, priorTokens);
	readonly firstToken = new LearnedRatio({value: initialFirstTokenMs}, priorRequests);
	readonly output = new LearnedRatio({value: initialOutputMs}, priorTokens);
	/** Milliseconds that a request holds its decode slot. */
	readonly hold = new LearnedRatio({value: initialHoldMs}, priorRequests);
	/** Share of prompt tokens that engines had to compute, since the rest was cached. */
	readonly computedShare = new LearnedRatio({value: 1}, priorTokens);
	/** Milliseconds between the scheduler and the start of a prefill, and from its end back to the scheduler. */
	readonly turnaround = new LearnedRatio({value: initialTurnaroundMs}, priorRequests);
	/** While true, slots are free only when the engine says so. */
	isRebuilding = false;

	private readonly _sameZoneBytes = new LearnedRatio({value: initialKvBytes}, priorTokens);
	private readonly _crossZoneBytes = new LearnedRatio({value: initialKvBytes}, priorTokens);
	private _prefillEngines: readonly Engine[] = [];
	private _decodeEngines: readonly Engine[] = [];

	constructor(maxPrefixEntries: number) {
		this.index = new PrefixIndex(maxPrefixEntries);
	}

	get prefillEngines(): readonly Engine[] {
		return this._prefillEngines;
	}

	get decodeEngines(): readonly Engine[] {
		return this._decodeEngines;
	}

	/** A prefill engine gets its next prefill this long before it runs out of work, in milliseconds, so that it does not wait for messages. */
	get prefillLookaheadMs(): number {
		return Math.min(maxLookaheadMs, Math.max(minLookaheadMs, lookaheadTurnarounds * this.turnaround.value));
	}

	/** Returns the names of engines that were removed. */
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
		this.index.setEngines(new Map(this._prefillEngines.map(({spec}) => [spec.name, spec.cacheBlocks])));
		return removed;
	}

	/** Tokens of the prompt that the engine is believed to hold, scaled by how far earlier predictions came true. */
	cachedTokens(engine: Engine, {promptTokens, prefix}: Pick<PlaceRequest, 'promptTokens' | 'prefix'>): number {
		const predicted = this.index.leadingBlocks(engine.spec.name, prefix) * blockTokens;
		return Math.min(promptTokens - 1, predicted * Math.min(1, engine.cacheTrust.value));
	}

	/** Milliseconds to compute the tokens that are not cached. */
	prefillMs({promptTokens}: Pick<PlaceRequest, 'promptTokens'>, prefill: Engine, cachedTokens: number): number {
		return (promptTokens - cachedTokens) * prefill.prefillSpeed.value;
	}

	/** Cost of a decode engine apart from the transfer, in milliseconds. */
	decodeMs({zone}: Pick<PlaceRequest, 'zone'>, decode: Engine): number {
		return decode.firstTokenSpeed.value + this._crowdingMs(decode) + (zone === decode.spec.zone ? 0 : crossZoneMs);
	}

	/** Milliseconds to move the KV cache of a prompt between two engines; nothing within one engine. */
	transferMs(prefill: Engine, decode: Engine, promptTokens: number): number {
		if (prefill === decode) {
			return 0;
		}

		const linkRate = Math.min(prefill.spec.linkRate, decode.spec.linkRate);
		return promptTokens * this._kvBytes(prefill, decode).value * 1000 / linkRate;
	}

	transferObserved(prefill: Engine, decode: Engine, promptTokens: number, durationMs: number): void {
		const linkRate = Math.min(prefill.spec.linkRate, decode.spec.linkRate);
		this._kvBytes(prefill, decode).observe(durationMs * linkRate / 1000, promptTokens);
	}

	/** Cost of a pair of engines for a request; `cachedTokens` is that of the prefill engine. */
	estimate(req: PlaceRequest, {prefill, decode, cachedTokens}: EnginePair, nowMs: number): PlacementEstimate {
		const backlogMs = prefill.prefillBacklogMs(nowMs);
		const prefillMs = this.prefillMs(req, prefill, cachedTokens);
		const transferMs = this.transferMs(prefill, decode, req.promptTokens);
		// Transfers reserved earlier proceed while this prefill waits and runs.
		const linkBacklogMs = prefill === decode ? 0 : Math.max(prefill.linkBacklogMs, decode.linkBacklogMs);
		const linkWaitMs = Math.max(0, linkBacklogMs - backlogMs - prefillMs);
		const firstTokenMs = decode.firstTokenSpeed.value;
		const crossings = Number(req.zone !== prefill.spec.zone) + Number(prefill.spec.zone !== decode.spec.zone);
		return {
			backlogMs,
			prefillMs,
			cachedTokens,
			linkWaitMs,
			transferMs,
			firstTokenMs,
			penaltyMs: (crossings * crossZoneMs) + this._crowdingMs(decode),
			totalMs: backlogMs + prefillMs + linkWaitMs + transferMs + firstTokenMs,
		};
	}

	/** What the decode engine's other requests lose in speed. */
	private _crowdingMs(decode: Engine): number {
		return decode.outputSpeed.value * decode.usedSlots / decode.spec.slots;
	}

	private _kvBytes(prefill: Engine, decode: Engine): LearnedRatio {
		return prefill.spec.zone === decode.spec.zone ? this._sameZoneBytes : this._crossZoneBytes;
	}
}
