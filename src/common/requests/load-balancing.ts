import type {SeededRandom} from '../core/random.js';

/** Properties of a plain upstream that decide whether it is chosen. */
export type UpstreamCandidate = {
	readonly name: string;
	readonly zone: string;
	/** Number of requests that run on the upstream. */
	readonly inFlight: number;
	/** Largest number of requests that may run on the upstream at the same time. */
	readonly maxInFlight: number;
	/** False for ejected, draining and leaving upstreams, which get no new requests. */
	readonly isUsable: boolean;
};

/** Chosen upstream, or the code with which the request is refused. */
export type UpstreamChoice =
	| {readonly kind: 'chosen'; readonly name: string}
	| {readonly kind: 'refused'; readonly code: 'no-upstream' | 'overloaded'};

/**
Chooses an upstream for one attempt of a request: of two random candidates, the one with fewer running requests. Only
usable upstreams below their limit are considered. Upstreams in `tried` are chosen only if there are no others; among the
remaining upstreams, those in `zone` are preferred.
*/
export function chooseUpstream(candidates: readonly UpstreamCandidate[], zone: string, tried: ReadonlySet<string>, random: SeededRandom): UpstreamChoice {
	const usable = candidates.filter(candidate => candidate.isUsable);
	if (usable.length === 0) {
		return {kind: 'refused', code: 'no-upstream'};
	}

	const withCapacity = usable.filter(candidate => candidate.inFlight < candidate.maxInFlight);
	if (withCapacity.length === 0) {
		return {kind: 'refused', code: 'overloaded'};
	}

	const untried = withCapacity.filter(candidate => !tried.has(candidate.name));
	const preferred = untried.length > 0 ? untried : withCapacity;
	const inZone = preferred.filter(candidate => candidate.zone === zone);
	return {kind: 'chosen', name: lessLoadedOfTwo(inZone.length > 0 ? inZone : preferred, random).name};
}

function lessLoadedOfTwo(candidates: readonly UpstreamCandidate[], random: SeededRandom): UpstreamCandidate {
	const first = random.integer(0, candidates.length);
	if (candidates.length === 1) {
		return candidates[first]!;
	}

	// An offset from 1 to length - 1 never selects the first candidate again.
	const second = (first + random.integer(1, candidates.length)) % candidates.length;
	return candidates[first]!.inFlight <= candidates[second]!.inFlight ? candidates[first]! : candidates[second]!;
}
