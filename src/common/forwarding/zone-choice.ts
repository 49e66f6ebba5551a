/** Decides which share of the requests of a zone's processes is served by other zones, because waiting at home costs callers more than the transfer. */
import type {SeededRandom} from '../core/random.js';

/** Weight of the newest answer to a reservation call in a zone's pressure. */
const sampleWeight = 0.25;
/** Time constant of the decay of a pressure without samples, in milliseconds. */
const pressureDecayMs = 2000;
/** Time that a refused reservation call costs a request, in milliseconds: a round trip and its processing. */
const refusedCallMs = 5;
/** Pressure above which a zone counts as full; bounds the expected wait. */
const maxPressure = 0.98;
/** Pressure at home below which other zones are not considered. */
const minPressure = 0.3;
/** Time between two rounds of reservation calls, in milliseconds. If asking all other zones takes longer, a request rather waits for the next round. */
const roundIntervalMs = 50;
/** Pressure from which a zone is expected to refuse a request that another zone cannot serve. */
const fullPressure = 0.9;
/** Round trips that a request makes to an engine before its output begins: reservation, and request. */
const roundTrips = 2;
/** Round trip between two zones, in milliseconds. */
const zoneRoundTripMs = 2.5;
/** Additional time to transfer a token's KV cache between zones, in milliseconds. */
const transferMsPerToken = 0.001;
/** Saving below which a request stays at home, in milliseconds: transfers between zones cost money, and callers do not notice the difference. */
const minSavingMs = 15;
/** Share of the way to the target that the leaving fraction goes with each decision. */
const dampingShare = 0.25;
/** Time constant with which the leaving fraction decays, in milliseconds, so that requests try home again. */
const leavingDecayMs = 1000;
/** Fraction below which no request leaves. */
const minLeavingFraction = 0.01;
/** Bisection steps of the water level; enough for a hundredth of a millisecond. */
const waterLevelSteps = 16;

/** Room of one zone for the requests of a pool. */
export type ZoneRoom = {
	readonly zone: string;
	/** Number of usable engines. */
	readonly engines: number;
	/** Usable engines, each weighted by its speed. */
	readonly capacity: number;
	/** Share of the engines that are known to be full. */
	readonly fullShare: number;
};

export type ZoneQuery = {
	readonly home: string;
	/** Size of the request's prompt in tokens. */
	readonly tokens: number;
	/** Returns the zones with usable engines. Called only if the room at home is in doubt. */
	readonly rooms: () => readonly ZoneRoom[];
	readonly nowMs: number;
};

export type ZoneDecision = {
	/** Zone that should serve the request. */
	readonly zone: string;
	/** Whether engines of other zones may be asked if that zone refuses; false if every zone is full, since asking them all helps nobody. */
	readonly mayAskOthers: boolean;
};

/** Fractions of the requests that leave for each zone; the rest stays at home. */
export type ZoneFractions = ReadonlyMap<string, number>;

/** Fractions of a home zone's requests as of the last decision. */
type Leaving = {readonly fractions: ZoneFractions; readonly decidedMs: number};

type Load = {readonly zone: string; readonly capacity: number; readonly load: number};

/** Pressure of the zones on one pool of engines, and the fractions of this process's requests that leave its own zone. */
export class ZoneChoice {
	private readonly _pressures = new Map<string, {value: number; sampledMs: number}>();
	/** By home zone: prompts are at home in the zone of the decode engine, which differs by request. */
	private readonly _leaving = new Map<string, Leaving>();

	/** Records the answer to a reservation call or a prompt. */
	recordAnswer(zone: string, isRefused: boolean, nowMs: number): void {
		const value = this.pressureAt(zone, nowMs);
		this._pressures.set(zone, {value: value + (((isRefused ? 1 : 0) - value) * sampleWeight), sampledMs: nowMs});
	}

	/** Returns the share of refusals among a zone's recent answers. Without answers it decays to 0. */
	pressureAt(zone: string, nowMs: number): number {
		const pressure = this._pressures.get(zone);
		return pressure ? pressure.value * Math.exp(-Math.max(0, nowMs - pressure.sampledMs) / pressureDecayMs) : 0;
	}

	/** Returns the fraction of this process's requests that leaves the zone. */
	leavingFractionAt(home: string, nowMs: number): number {
		const leaving = this._leaving.get(home);
		return leaving ? sum([...leaving.fractions.values()]) * leavingDecay(leaving, nowMs) : 0;
	}

	/** Chooses the zone for a request. Draws a random number only if some requests leave. */
	choose(query: ZoneQuery, random: SeededRandom): ZoneDecision {
		const {home, nowMs} = query;
		if (this.pressureAt(home, nowMs) < minPressure && this.leavingFractionAt(home, nowMs) < minLeavingFraction) {
			this._leaving.delete(home);
			return {zone: home, mayAskOthers: true};
		}

		const rooms = query.rooms();
		const own = rooms.find(({zone}) => zone === home);
		if (own && own.engines * refusedCallMs <= transferMs(query.tokens)) {
			// All engines at home are asked sooner than a transfer is done.
			return {zone: home, mayAskOthers: true};
		}

		const othersCallsMs = sum(rooms.filter(room => room !== own).map(({engines}) => engines)) * refusedCallMs;
		const mayAskOthers = !own || othersCallsMs <= roundIntervalMs || rooms.some(room => this._refusalShare(room, nowMs) < fullPressure);
		const target = this._targetFractions(query, rooms);
		// Without engines at home, or for requests that may not use them, there is nothing to approach.
		const fractions = own ? this._approach(home, target, nowMs) : target;
		return {zone: sum([...fractions.values()]) < minLeavingFraction ? home : draw(fractions, home, random), mayAskOthers};
	}

	/** Returns the pressures with their ages, and the fractions of the last decision, for the state dump. */
	dump(nowMs: number): unknown {
		return {
			pressures: [...this._pressures].map(([zone, {value, sampledMs}]) => ({zone, pressure: value, ageMs: nowMs - sampledMs})),
			leaving: [...this._leaving].map(([home, {fractions, decidedMs}]) => ({home, fractions: Object.fromEntries(fractions), ageMs: nowMs - decidedMs})),
		};
	}

	/** Drops zones that have no servers any more. */
	retainZones(zones: ReadonlySet<string>): void {
		for (const zone of [...this._pressures.keys(), ...this._leaving.keys()]) {
			if (!zones.has(zone)) {
				this._pressures.delete(zone);
				this._leaving.delete(zone);
			}
		}
	}

	/** Returns the share of reservation calls that a zone is expected to refuse. */
	private _refusalShare({zone, fullShare}: ZoneRoom, nowMs: number): number {
		return Math.min(maxPressure, Math.max(this.pressureAt(zone, nowMs), fullShare));
	}

	private _targetFractions({home, tokens, nowMs}: ZoneQuery, rooms: readonly ZoneRoom[]): ZoneFractions {
		const loads = rooms.map(room => ({zone: room.zone, capacity: room.capacity, load: 1 / (1 - this._refusalShare(room, nowMs))}));
		const staying = 1 - Math.min(0.9, this.leavingFractionAt(home, nowMs));
		// Home's pressure shows only the requests that stay.
		return leavingFractions(loads.map(load => load.zone === home ? {...load, load: load.load / staying} : load), home, transferMs(tokens));
	}

	/** Moves the fractions of a home zone towards the target, and returns them. */
	private _approach(home: string, target: ZoneFractions, nowMs: number): ZoneFractions {
		const leaving = this._leaving.get(home) ?? {fractions: new Map<string, number>(), decidedMs: nowMs};
		const decay = leavingDecay(leaving, nowMs);
		const fractions = new Map<string, number>();
		for (const zone of new Set([...leaving.fractions.keys(), ...target.keys()])) {
			const current = (leaving.fractions.get(zone) ?? 0) * decay;
			fractions.set(zone, current + (((target.get(zone) ?? 0) - current) * dampingShare));
		}

		this._leaving.set(home, {fractions, decidedMs: nowMs});
		return fractions;
	}
}

function leavingDecay({decidedMs}: Leaving, nowMs: number): number {
	return Math.exp(-Math.max(0, nowMs - decidedMs) / leavingDecayMs);
}

function draw(fractions: ZoneFractions, home: string, random: SeededRandom): string {
	let rest = random.next();
	for (const [zone, fraction] of fractions) {
		rest -= fraction;
		if (rest < 0) {
			return zone;
		}
	}

	return home;
}

/** Returns the wait that a transfer to another zone must save to pay, in milliseconds. */
export function transferMs(tokens: number): number {
	return (roundTrips * zoneRoundTripMs) + (tokens * transferMsPerToken) + minSavingMs;
}

/**
Water-filling: returns the fractions of home's requests that other zones should serve so that no request could save time by another choice.
`load` is the number of reservation calls that a request of the zone makes until one is granted, so the expected wait is `(load - 1) * refusedCallMs`.
*/
export function leavingFractions(loads: readonly Load[], home: string, costMs: number): ZoneFractions {
	const own = loads.find(({zone}) => zone === home);
	const others = loads.filter(({zone}) => zone !== home);
	if (!own) {
		const spares = others.map(other => ({zone: other.zone, capacity: other.capacity / other.load}));
		const total = sum(spares.map(({capacity}) => capacity));
		return new Map(spares.map(({zone, capacity}) => [zone, capacity / total]));
	}

	const demand = own.capacity * own.load;
	const taken = ({capacity, load}: Load, levelMs: number) => Math.max(0, capacity * (1 + (levelMs / refusedCallMs) - load));
	const takenByOthers = (levelMs: number) => sum(others.map(other => taken(other, levelMs - costMs)));
	let lowMs = 0;
	let highMs = (own.load - 1) * refusedCallMs;
	for (let i = 0; i < waterLevelSteps; i++) {
		const levelMs = (lowMs + highMs) / 2;
		if ((own.capacity * (1 + (levelMs / refusedCallMs))) + takenByOthers(levelMs) < demand) {
			lowMs = levelMs;
		} else {
			highMs = levelMs;
		}
	}

	return new Map(others.map(other => [other.zone, taken(other, highMs - costMs) / demand]));
}

function sum(values: readonly number[]): number {
	let total = 0;
	for (const value of values) {
		total += value;
	}

	return total;
}
