import type {SeededRandom} from '../core/random.js';
import type {PlaceRequest} from '../services/scheduler-client.js';
import type {Engine} from './engine.js';
import {blocksOf} from './pool.js';
import type {PlacementEstimate, Pool} from './pool.js';

/** How much room a request takes. */
export type RequestSize = Pick<PlaceRequest, 'promptTokens' | 'maxTokens'>;

/** The engines chosen for a request. */
export type PlacementChoice = {
	readonly prefill: Engine;
	readonly decode: Engine;
	readonly estimate: PlacementEstimate;
};

/** Engines of each role whose pairs are compared; the pairs of all engines of a full shard would cost ten times as much. */
const comparedEngines = 8;

function cheapestOf<T extends {readonly costMs: number}>(items: T[]): T[] {
	return items.length <= comparedEngines ? items : items.sort((a, b) => a.costMs - b.costMs).slice(0, comparedEngines);
}

/** Chooses the engines of a request, or none when it has to wait. */
export abstract class PlacementPolicy {
	/** Slots of the engine that this policy may fill. */
	shareOf(_pool: Pool, engine: Engine): number {
		return engine.spec.slots;
	}

	/** Whether the decode engine has a slot and blocks for the request. */
	hasRoom(pool: Pool, engine: Engine, req: RequestSize, nowMs: number): boolean {
		return engine.isUsable(nowMs) && engine.freeSlots(this.shareOf(pool, engine), pool.isRebuilding) > 0 && engine.hasBlocks(blocksOf(req));
	}

	abstract choose(pool: Pool, req: PlaceRequest, nowMs: number): PlacementChoice | undefined;

	protected prefillEngines(pool: Pool, nowMs: number): Engine[] {
		return pool.prefillEngines.filter(engine => engine.isUsable(nowMs) && (!engine.hasPrefills || engine.prefillBacklogMs(nowMs) <= pool.prefillLookaheadMs));
	}

	protected decodeEngines(pool: Pool, req: PlaceRequest, nowMs: number): Engine[] {
		return pool.decodeEngines.filter(engine => this.hasRoom(pool, engine, req, nowMs));
	}

	/** The pair with the lowest cost. */
	protected cheapest(pool: Pool, req: PlaceRequest, nowMs: number): PlacementChoice | undefined {
		const prefills = this.prefillEngines(pool, nowMs).map(prefill => {
			const cachedTokens = pool.cachedTokens(prefill, req);
			return {prefill, cachedTokens, costMs: prefill.prefillBacklogMs(nowMs) + pool.prefillMs(req, prefill, cachedTokens)};
		});
		const decodes = this.decodeEngines(pool, req, nowMs).map(decode => ({decode, costMs: decode.linkBacklogMs + pool.decodeMs(req, decode)}));
		let best: PlacementChoice | undefined;
		let bestMs = Infinity;
		for (const {prefill, cachedTokens} of cheapestOf(prefills)) {
			for (const {decode} of cheapestOf(decodes)) {
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

/** The scheduler of a pool shard: the cheapest pair, with every reservation of the shard known. */
export class ShardSchedulerPolicy extends PlacementPolicy {
	override choose(pool: Pool, req: PlaceRequest, nowMs: number): PlacementChoice | undefined {
		return this.cheapest(pool, req, nowMs);
	}
}

/** Slots divided among the entry processes; each places into its own share without asking anyone. */
export class LeasedSlotsPolicy extends PlacementPolicy {
	/** `index` is this process's position among the `count` live entry processes, the same order everywhere. */
	constructor(private _index: number, private _count: number) {
		super();
	}

	setShare(index: number, count: number): void {
		this._index = index;
		this._count = count;
	}

	/** The remainder of each engine's slots goes to different processes, so that none gets all of them. */
	override shareOf(pool: Pool, engine: Engine): number {
		const {slots} = engine.spec;
		const turn = (this._index + pool.decodeEngines.indexOf(engine)) % this._count;
		return Math.floor(slots / this._count) + (turn < slots % this._count ? 1 : 0);
	}

	override choose(pool: Pool, req: PlaceRequest, nowMs: number): PlacementChoice | undefined {
		return this.cheapest(pool, req, nowMs);
	}
}

/** Independent choice: of two engines drawn at random, the one with the lower reported load. */
export class SampledLoadPolicy extends PlacementPolicy {
	constructor(private readonly _random: SeededRandom) {
		super();
	}

	override choose(pool: Pool, req: PlaceRequest, nowMs: number): PlacementChoice | undefined {
		const prefills = this._draw(pool.prefillEngines.filter(engine => engine.isUsable(nowMs)));
		const decodes = this._draw(this.decodeEngines(pool, req, nowMs));
		const prefill = this._lowest(prefills, engine => engine.prefillBacklogMs(nowMs));
		const decode = this._lowest(decodes, engine => engine.usedSlots / engine.spec.slots);
		if (!prefill || !decode) {
			return undefined;
		}

		const cachedTokens = pool.cachedTokens(prefill, req);
		return {prefill, decode, estimate: pool.estimate(req, {prefill, decode, cachedTokens}, nowMs)};
	}

	private _draw(engines: readonly Engine[]): Engine[] {
		return engines.length <= 2 ? [...engines] : [this._random.pick(engines), this._random.pick(engines)];
	}

	private _lowest(engines: readonly Engine[], load: (engine: Engine) => number): Engine | undefined {
		let best: Engine | undefined;
		for (const engine of engines) {
			best = best && load(best) <= load(engine) ? best : engine;
		}

		return best;
	}
}
