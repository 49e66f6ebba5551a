/** Finds requests that were refused although the customer's token bucket had enough tokens at the time of the refusal. */
import type {Attempt, Outcome, ReplayResult} from './outcome.js';
import {requestCost} from './request-cost.js';
import type {TraceRequest} from './trace.js';

/** Rate-limit tokens taken from a customer's token bucket, or returned to it if `tokens` is negative. `atMs` is in milliseconds from the start of the replay. */
type TokenDebit = {readonly atMs: number; readonly tokens: number};

/** Start times of upstream runs by recorded id, in milliseconds from the start of the replay. */
type RunStartsById = ReadonlyMap<string, readonly number[]>;

/** Returns the id under which upstreams record the runs of a request. */
function recordedId(request: TraceRequest): string {
	return request.kind === 'model' ? request.id : request.ref;
}

function collectRunStarts({engines, plain, startedMs: replayStartMs}: ReplayResult): RunStartsById {
	const startsById = new Map<string, number[]>();
	const add = (id: string, startedMs: number): void => {
		startsById.set(id, [...(startsById.get(id) ?? []), startedMs - replayStartMs]);
	};

	for (const {answerId, startedMs} of engines.flatMap(({prefills}) => prefills)) {
		add(answerId, startedMs);
	}

	for (const {ref, startedMs} of plain.flatMap(({calls}) => calls)) {
		if (ref !== undefined) {
			add(ref, startedMs);
		}
	}

	return startsById;
}

/** Returns the tokens that an attempt consumed. A broken attempt is charged its full cost, because its entry process died or could not determine what had run. */
function usedTokens({request, outputTokens}: Outcome, {isBroken}: Attempt): number {
	const cost = requestCost(request);
	return isBroken || request.kind === 'plain' ? cost : cost - request.maxTokens + outputTokens;
}

/** Returns the debits of a request: each attempt that reached an upstream takes its full cost when sent and returns the unused part when it ends. */
function debitsOf(outcome: Outcome, startsById: RunStartsById): TokenDebit[] {
	const starts = startsById.get(recordedId(outcome.request)) ?? [];
	const cost = requestCost(outcome.request);
	return outcome.attempts.flatMap((attempt, index) => {
		const nextMs = outcome.attempts[index + 1]?.sentMs ?? Infinity;
		if (!starts.some(startMs => startMs >= attempt.sentMs && startMs < nextMs)) {
			return [];
		}

		return [{atMs: attempt.sentMs, tokens: cost}, {atMs: attempt.endMs, tokens: usedTokens(outcome, attempt) - cost}];
	});
}

/** Token bucket that is full at time 0. Calls must be made in order of time. */
class TokenBucket {
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

	debit({atMs, tokens}: TokenDebit): void {
		this._level = Math.min(this._burst, this.levelAt(atMs) - tokens);
	}
}

/**
Returns the refused requests that the customer's token bucket could have covered at the time of the refusal. The bucket level is
reconstructed from the attempts that upstreams actually ran, in order of time.
*/
export function findWrongfulRefusals(result: ReplayResult): Outcome[] {
	const startsById = collectRunStarts(result);
	const wrongful: Outcome[] = [];
	for (const [customer, {rate, burst}] of Object.entries(result.trace.header.tenants)) {
		const ownOutcomes = result.outcomes.filter(({request}) => request.tenant === customer);
		const debits = ownOutcomes.flatMap(outcome => debitsOf(outcome, startsById)).sort((a, b) => a.atMs - b.atMs);
		const refused = ownOutcomes.filter(({kind}) => kind === 'refused').sort((a, b) => a.endMs - b.endMs);
		const bucket = new TokenBucket(rate, burst);
		let appliedCount = 0;
		for (const outcome of refused) {
			for (; appliedCount < debits.length && debits[appliedCount]!.atMs <= outcome.endMs; appliedCount++) {
				bucket.debit(debits[appliedCount]!);
			}

			if (bucket.levelAt(outcome.endMs) >= requestCost(outcome.request)) {
				wrongful.push(outcome);
			}
		}
	}

	return wrongful;
}
