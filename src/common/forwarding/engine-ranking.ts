import type {SeededRandom} from '../core/random.js';
import {
	WorkReference, slowness, speedSpread,
} from './engine-speed.js';
import type {Server, ServerQuery} from './server-directory.js';
import type {EngineStage} from './types.js';
import {ZoneChoice} from './zone-choice.js';
import type {ZoneRoom} from './zone-choice.js';

/** Multiple of an engine's tokens that a failure share of 1 adds to its cost. */
const failurePenaltyFactor = 10;
/** Cost added to an engine outside the preferred zone, in tokens at typical speed: KV cache transfers between zones are slower and more expensive. */
const otherZonePenaltyTokens = 2000;
/** Cost added to an engine that refused work for lack of room, in tokens; more than any engine holds. */
const fullPenaltyTokens = 1e9;

/**
Random part of an engine's cost, in tokens, and the power of its speed to which the probability of its choice is proportional. Prompts queue at
prefill engines, and queues of equal duration need shares in proportion to the speed. Decode engines that are faster also free their memory earlier,
and refuse at once when they are full.
*/
const spreads: Readonly<Record<EngineStage, {readonly tokens: number; readonly exponent: number}>> = {
	prefill: {tokens: otherZonePenaltyTokens / 10, exponent: 1},
	decode: {tokens: otherZonePenaltyTokens, exponent: 2},
};

/** Why a request is served by another zone. */
export type DepartureReason =
	/** Its own zone has no usable engine. */
	| 'no-engine-at-home'
	/** Waiting at home would take longer than the transfer. */
	| 'leaving-pays'
	/** The engines at home that were asked refused it, or have more work. */
	| 'home-refused';

/** What a choice rested on: the engine's slowness, the number of samples behind it, the zone's pressure, and the fraction of requests that leaves. */
export type RankingFacts = {readonly slowness: number; readonly speedSamples: number; readonly pressure: number; readonly leavingFraction: number};

/** Ranks the engines of one service and stage by the expected end of the work ahead and by the cost of leaving the zone. */
export class EngineRanking {
	readonly zones = new ZoneChoice();
	private readonly _reference = new WorkReference();

	constructor(private readonly _stage: EngineStage) {}

	/** Records how long an engine took per unit of its work; `size` is the size of the work, of which only similar ones are compared. */
	recordWork({key, speed}: Server, size: number, msPerUnit: number, nowMs: number): void {
		const ratioLog = msPerUnit > 0 ? this._reference.compare(size, msPerUnit, {source: key, knownLog: speed.steadyAt(nowMs).log}) : undefined;
		if (ratioLog !== undefined) {
			speed.record(ratioLog, nowMs);
		}
	}

	/** Returns how long the engine takes for its work, as a multiple of what is typical of the pool. */
	slownessOf({speed}: Server, nowMs: number): number {
		return slowness(speed, nowMs);
	}

	/** Returns the candidate with the lowest cost; undefined if none should be asked. `usable` returns the usable engines of the pool, also those that the request has tried. */
	choose(candidates: readonly Server[], usable: () => readonly Server[], query: ServerQuery, random: SeededRandom): Server | undefined {
		const {zone: home, nowMs, tokens = 0, isLastChance = false} = query;
		const {zone: preferred, mayAskOthers} = candidates.every(({record}) => record.zone === home)
			? {zone: home, mayAskOthers: true}
			: this.zones.choose({
				home, tokens, nowMs, rooms: () => this._rooms(usable(), nowMs),
			}, random);
		const {tokens: spreadTokens, exponent} = spreads[this._stage];
		const toll = (zone: string) => zone === preferred ? 0 : (zone === home || preferred === home ? 1 : 2);
		const askable = mayAskOthers || isLastChance ? candidates : candidates.filter(({record: {zone}}) => zone === home || zone === preferred);
		return lowestCostServer(askable, server => {
			const serverSlowness = this.slownessOf(server, nowMs);
			return (server.fullUntilMs > nowMs ? fullPenaltyTokens : 0) + (server.tokens * serverSlowness * (1 + (server.failureShare * failurePenaltyFactor)))
				+ (toll(server.record.zone) * otherZonePenaltyTokens) + Math.floor(speedSpread(serverSlowness, exponent, random.next()) * spreadTokens);
		});
	}

	/** Returns why the chosen engine is not one of the request's own zone; undefined if it is. */
	departureReason(server: Server, usable: () => readonly Server[], {zone: home, nowMs}: ServerQuery): DepartureReason | undefined {
		if (server.record.zone === home) {
			return undefined;
		}

		if (!usable().some(({record}) => record.zone === home)) {
			return 'no-engine-at-home';
		}

		return this.zones.leavingFractionAt(home, nowMs) > 0 ? 'leaving-pays' : 'home-refused';
	}

	/** Returns what the ranking assumes of an engine and of the zone that is home to the request, for the log. */
	describe(server: Server, home: string, nowMs: number): RankingFacts {
		return {
			slowness: rounded(this.slownessOf(server, nowMs)),
			speedSamples: rounded(server.speed.weightAt(nowMs)),
			pressure: rounded(this.zones.pressureAt(server.record.zone, nowMs)),
			leavingFraction: rounded(this.zones.leavingFractionAt(home, nowMs)),
		};
	}

	private _rooms(usable: readonly Server[], nowMs: number): ZoneRoom[] {
		const rooms = new Map<string, {zone: string; capacity: number; full: number; engines: number}>();
		for (const server of usable) {
			const {zone} = server.record;
			const room = rooms.get(zone) ?? {
				zone, capacity: 0, full: 0, engines: 0,
			};
			room.capacity += 1 / this.slownessOf(server, nowMs);
			room.full += server.fullUntilMs > nowMs ? 1 : 0;
			room.engines++;
			rooms.set(zone, room);
		}

		return [...rooms.values()].map(({zone, capacity, full, engines}) => ({
			zone, engines, capacity, fullShare: full / engines,
		}));
	}
}

function rounded(value: number): number {
	return Math.round(value * 100) / 100;
}

export function lowestCostServer(servers: readonly Server[], cost: (server: Server) => number): Server | undefined {
	let chosen: Server | undefined;
	let least = Infinity;
	for (const server of servers) {
		const value = cost(server);
		if (value < least) {
			least = value;
			chosen = server;
		}
	}

	return chosen;
}
