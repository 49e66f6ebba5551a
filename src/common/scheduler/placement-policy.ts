import type {SeededRandom} from '../core/random.js';
import type {PlacementRequest} from '../services/scheduler-client.js';
import type {Engine} from './engine.js';
import {requiredBlocks} from './pool.js';
import type {PlacementEstimate, Pool} from './pool.js';

/** Token counts that determine the KV cache blocks that a request needs. */
export type RequestSize = Pick<PlacementRequest, 'promptTokens' | 'maxTokens'>;

/** The engines chosen for a request, with the estimated time to the first output token. */
export type PlacementChoice = {
	readonly prefill: Engine;
	readonly decode: Engine;
	readonly estimate: PlacementEstimate;
};

/** Maximum number of engines of each role whose pairs are compared. To compare all pairs of a full shard would take ten times as long. */
const maxComparedEngines = 8;

function lowestCostItems<T extends {readonly costMs: number}>(items: T[]): T[] {
	return items.length <= maxComparedEngines ? items : items.sort((a, b) => a.costMs - b.costMs).slice(0, maxComparedEngines);
}

/** Strategy that chooses the prefill engine and the decode engine of a request. */
export abstract class PlacementPolicy {
	/** Returns the number of the engine's decode slots that this policy may use. */
	slotShare(_pool: Pool, engine: Engine): number {
		return engine.spec.slots;
	}

	/** Returns whether the decode engine is usable and has a free slot and enough free KV cache blocks for the request. */
	hasDecodeRoom(pool: Pool, engine: Engine, req: RequestSize, nowMs: number): boolean {
		return engine.isUsable(nowMs) && engine.freeSlots(this.slotShare(pool, engine), pool.isRebuilding) > 0 && engine.hasFreeBlocks(requiredBlocks(req));
	}

	/** Chooses the engines for a request. Returns undefined if the request has to wait because no suitable engines are free. */
	abstract choose(pool: Pool, req: PlacementRequest, nowMs: number): PlacementChoice | undefined;

	/** Returns the usable prefill engines whose prefill backlog allows another prefill. */
	protected availablePrefillEngines(pool: Pool, nowMs: number): Engine[] {
		return pool.prefillEngines.filter(engine => engine.isUsable(nowMs) && (!engine.hasPrefills || engine.prefillBacklogMs(nowMs) <= pool.prefillLookaheadMs));
	}

	/** Returns the usable decode engines that have room for the request. */
	protected availableDecodeEngines(pool: Pool, req: PlacementRequest, nowMs: number): Engine[] {
		return pool.decodeEngines.filter(engine => this.hasDecodeRoom(pool, engine, req, nowMs));
	}

	/** Returns the pair of available engines with the lowest estimated cost, or undefined if there is none. */
	protected chooseCheapestPair(pool: Pool, req: PlacementRequest, nowMs: number): PlacementChoice | undefined {
		const prefills = this.availablePrefillEngines(pool, nowMs).map(prefill => {
			const cachedTokens = pool.cachedTokens(prefill, req);
			return {prefill, cachedTokens, costMs: prefill.prefillBacklogMs(nowMs) + pool.prefillMs(req, prefill, cachedTokens)};
		});
		const decodes = this.availableDecodeEngines(pool, req, nowMs).map(decode => ({decode, costMs: decode.linkBacklogMs + pool.decodeCostMs(req, decode)}));
		let best: PlacementChoice | undefined;
		let bestMs = Infinity;
		for (const {prefill, cachedTokens} of lowestCostItems(prefills)) {
			for (const {decode} of lowestCostItems(decodes)) {
				const estimate = pool.estimate(req, {prefill, decode, cachedTokens}, nowMs);
				const costMs = estimate.totalMs + estimate.penaltyMs;
				if (costMs < bestMs) {
					bestMs = costMs;
					best = {prefill, decode, estimate};
				}
			}
		}

		return best;
	}
}

/** Chooses the cheapest pair of engines. Used by the scheduler of a pool shard, which knows every reservation of the shard. */
export class ShardSchedulerPolicy extends PlacementPolicy {
	override choose(pool: Pool, req: PlacementRequest, nowMs: number): PlacementChoice | undefined {
		return this.chooseCheapestPair(pool, req, nowMs);
	}
}

/** Divides the decode slots of each engine among the live entry processes. Each process places requests into its own share without coordination. */
export class SlotSharePolicy extends PlacementPolicy {
	/** `_index` is the position of this process among the `_count` live entry processes; all processes must use the same order. */
	constructor(private _index: number, private _count: number) {
		super();
	}

	setPosition(index: number, count: number): void {
		this._index = index;
		this._count = count;
	}

	/** Returns this process's share of the engine's slots. Which processes get the slots left over by the division varies from engine to engine, so that no process gets them on every engine. */
	override slotShare(pool: Pool, engine: Engine): number {
		const {slots} = engine.spec;
		const rotatedIndex = (this._index + pool.decodeEngines.indexOf(engine)) % this._count;
		return Math.floor(slots / this._count) + (rotatedIndex < slots % this._count ? 1 : 0);
	}

	override choose(pool: Pool, req: PlacementRequest, nowMs: number): PlacementChoice | undefined {
		return this.chooseCheapestPair(pool, req, nowMs);
	}
}

/** For each role, samples two engines at random and chooses the engine with the lower load ("power of two choices"). Needs no coordination between schedulers. */
export class TwoChoicesPolicy extends PlacementPolicy {
	constructor(private readonly _random: SeededRandom) {
		super();
	}

	override choose(pool: Pool, req: PlacementRequest, nowMs: number): PlacementChoice | undefined {
		const prefills = this._sampleTwo(pool.prefillEngines.filter(engine => engine.isUsable(nowMs)));
		const decodes = this._sampleTwo(this.availableDecodeEngines(pool, req, nowMs));
		const prefill = this._leastLoaded(prefills, engine => engine.prefillBacklogMs(nowMs));
		const decode = this._leastLoaded(decodes, engine => engine.usedSlots / engine.spec.slots);
		if (!prefill || !decode) {
			return undefined;
		}

		const cachedTokens = pool.cachedTokens(prefill, req);
		return {prefill, decode, estimate: pool.estimate(req, {prefill, decode, cachedTokens}, nowMs)};
	}

	private _sampleTwo(engines: readonly Engine[]): Engine[] {
		return engines.length <= 2 ? [...engines] : [this._random.pick(engines), this._random.pick(engines)];
	}

	private _leastLoaded(engines: readonly Engine[], load: (engine: Engine) => number): Engine | undefined {
		let best: Engine | undefined;
		for (const engine of engines) {
			best = best && load(best) <= load(engine) ? best : engine;
		}

		return best;
	}
}
