/** Judges refusals against the tokens that a tenant really had when it was refused. */
import type {Attempt, Outcome, ReplayResult} from './outcome.js';
import {requestCost} from './request-cost.js';
import type {TraceRequest} from './trace.js';

/** Tokens taken from a tenant's bucket (negative: returned to it) at a time of the replay, in milliseconds. */
type Movement = {readonly atMs: number; readonly tokens: number};

/** Starts of upstream runs in milliseconds of the replay, by request. */
type Runs = ReadonlyMap<string, readonly number[]>;

/** The name that upstreams record for the runs of a request. */
function runName(request: TraceRequest): string {
	return request.kind === 'model' ? request.id : request.ref;
}

function runsOf({engines, plain, startedMs: replayStartMs}: ReplayResult): Runs {
	const runs = new Map<string, number[]>();
	const add = (name: string, startedMs: number): void => {
		runs.set(name, [...(runs.get(name) ?? []), startedMs - replayStartMs]);
	};

	for (const {answerId, startedMs} of engines.flatMap(({prefills}) => prefills)) {
		add(answerId, startedMs);
	}

	for (const {ref, startedMs} of plain.flatMap(({calls}) => calls)) {
		if (ref !== undefined) {
			add(ref, startedMs);
		}
	}

	return runs;
}

/** What an attempt used of its cost. One that broke off keeps it all: its process was gone, or could not tell what had run. */
function usedTokens({request, outputTokens}: Outcome, {isBroken}: Attempt): number {
	const cost = requestCost(request);
	return isBroken || request.kind === 'plain' ? cost : cost - request.maxTokens + outputTokens;
}

/** An attempt that an upstream ran takes its whole cost when it is sent, and returns what it did not use when it ends. */
function movementsOf(outcome: Outcome, runs: Runs): Movement[] {
	const starts = runs.get(runName(outcome.request)) ?? [];
	const cost = requestCost(outcome.request);
	return outcome.attempts.flatMap((attempt, index) => {
		const nextMs = outcome.attempts[index + 1]?.sentMs ?? Infinity;
		if (!starts.some(startMs => startMs >= attempt.sentMs && startMs < nextMs)) {
			return [];
		}

		return [{atMs: attempt.sentMs, tokens: cost}, {atMs: attempt.endMs, tokens: usedTokens(outcome, attempt) - cost}];
	});
}

/** A token bucket that is full at time 0; movements must come in the order of their times. */
class Bucket {
	private _level: number;
	private _lastMs = 0;

	constructor(private readonly _rate: number, private readonly _burst: number) {
		this._level = _burst;
	}

	levelAt(atMs: number): number {
		this._level = Math.min(this._burst, this._level + (this._rate * Math.max(0, atMs - this._lastMs) / 1000));
		this._lastMs = Math.max(this._lastMs, atMs);
		return this._level;
	}

	move({atMs, tokens}: Movement): void {
		this._level = Math.min(this._burst, this.levelAt(atMs) - tokens);
	}
}

/**
The refused requests for which the tenant's bucket had room when they were refused. The bucket is computed from what upstreams ran,
attempt by attempt, in the order of time.
*/
export function wrongfulRefusals(result: ReplayResult): Outcome[] {
	const runs = runsOf(result);
	const wrongful: Outcome[] = [];
	for (const [tenant, {rate, burst}] of Object.entries(result.trace.header.tenants)) {
		const own = result.outcomes.filter(({request}) => request.tenant === tenant);
		const movements = own.flatMap(outcome => movementsOf(outcome, runs)).sort((a, b) => a.atMs - b.atMs);
		const refused = own.filter(({kind}) => kind === 'refused').sort((a, b) => a.endMs - b.endMs);
		const bucket = new Bucket(rate, burst);
		let moved = 0;
		for (const outcome of refused) {
			for (; moved < movements.length && movements[moved]!.atMs <= outcome.endMs; moved++) {
				bucket.move(movements[moved]!);
			}

			if (bucket.levelAt(outcome.endMs) >= requestCost(outcome.request)) {
				wrongful.push(outcome);
			}
		}
	}

	return wrongful;
}
