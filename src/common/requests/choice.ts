import type {SeededRandom} from '../core/random.js';

/** What the choice of a plain upstream looks at. */
export type Candidate = {
	readonly name: string;
	readonly zone: string;
	readonly inFlight: number;
	/** Requests that may run on it at once. */
	readonly limit: number;
	/** Ejected, draining or leaving upstreams get no new requests. */
	readonly isUsable: boolean;
};

export type Choice =
	| {readonly kind: 'chosen'; readonly name: string}
	| {readonly kind: 'refused'; readonly code: 'no-upstream' | 'overloaded'};

/**
Picks the less busy of two random upstreams, from the own zone while one there has room.
Upstreams already tried for this request are taken only when there is no other.
*/
export function chooseUpstream(candidates: readonly Candidate[], zone: string, tried: ReadonlySet<string>, random: SeededRandom): Choice {
	const usable = candidates.filter(candidate => candidate.isUsable);
	if (usable.length === 0) {
		return {kind: 'refused', code: 'no-upstream'};
	}

	const free = usable.filter(candidate => candidate.inFlight < candidate.limit);
	if (free.length === 0) {
		return {kind: 'refused', code: 'overloaded'};
	}

	const fresh = free.filter(candidate => !tried.has(candidate.name));
	const pool = fresh.length > 0 ? fresh : free;
	const local = pool.filter(candidate => candidate.zone === zone);
	return {kind: 'chosen', name: lessBusyOfTwo(local.length > 0 ? local : pool, random).name};
}

function lessBusyOfTwo(pool: readonly Candidate[], random: SeededRandom): Candidate {
	const first = random.integer(0, pool.length);
	if (pool.length === 1) {
		return pool[first]!;
	}

	// Drawing from the others makes the two distinct.
	const second = (first + random.integer(1, pool.length)) % pool.length;
	return pool[first]!.inFlight <= pool[second]!.inFlight ? pool[first]! : pool[second]!;
}
