import {build} from 'hdr-histogram-js';
import type {Outcome, ReplayResult} from './outcome.js';
import {findWrongfulRefusals} from './wrongful-refusals.js';
import {requestCost} from './request-cost.js';
import type {TraceRequest} from './trace.js';

export type Percentiles = {readonly p50: number; readonly p95: number; readonly p99: number};

export type Measures = {
	readonly requests: number;
	readonly complete: number;
	readonly refused: number;
	readonly unknown: number;
	readonly cancelled: number;
	/** Share of the requests answered completely within both latency targets. Cancelled requests and those beyond the customer's rate limit are excluded. */
	readonly goodput: number;
	/** Requests answered completely within both latency targets, per second of trace time. */
	readonly goodputPerSecond: number;
	/** Share of the computed prompt tokens that did not contribute to a complete answer. */
	readonly wastedPrefillRatio: number;
	/** Share of the prompt tokens that engines served from their prefix cache. */
	readonly cachedPromptRatio: number;
	/** Lowest goodput of any customer divided by the mean of the goodputs of all customers. */
	readonly worstTenantGoodput: number;
	/** Refused requests that the customer's token bucket could have covered at the time of the refusal. */
	readonly wrongfulRefusals: number;
	/** Number of rate-limit tokens admitted beyond `burst + rate * t` in the worst time window of each customer, summed over the customers; `t` is the length of the window in seconds. */
	readonly overAdmitted: number;
	/** Executions of non-idempotent calls beyond the first execution of each call. */
	readonly duplicateRuns: number;
	readonly crossedAnswers: number;
	readonly incompleteAnswers: number;
	/** Requests that still occupy engine memory after the replay. */
	readonly leakedEngineRequests: number;
	/** Requests in which a caller's API key reached an upstream. */
	readonly keysSeenByUpstreams: number;
	/** Goodput by customer, without customers that have no eligible request. */
	readonly tenantGoodput: Readonly<Record<string, number>>;
	/** Number of outcomes by their problem code or connection error code. */
	readonly refusalCodes: Readonly<Record<string, number>>;
	/** Time from sending to the first token of completely answered model requests, in milliseconds. */
	readonly firstTokenMs: Percentiles;
	/** Time between consecutive tokens of complete answers, in milliseconds. */
	readonly betweenTokensMs: Percentiles;
	/** Time from sending to the first byte of the answer of completely answered plain requests, in milliseconds. */
	readonly plainMs: Percentiles;
};

class ReferenceTokenBucket {
	private _level: number;
	private _lastMs = 0;

	constructor(private readonly _rate: number, private readonly _burst: number) {
		this._level = _burst;
	}

	canCover(nowMs: number, cost: number): boolean {
		this._level = Math.min(this._burst, this._level + (this._rate * Math.max(0, nowMs - this._lastMs) / 1000));
		this._lastMs = Math.max(this._lastMs, nowMs);
		return this._level >= cost;
	}

	take(cost: number): void {
		this._level -= cost;
	}
}

function isAdmitted({kind, firstMs}: Outcome): boolean {
	return kind === 'complete' || kind === 'crossed' || kind === 'incomplete' || firstMs !== undefined;
}

function actualCost({request, outputTokens}: Outcome): number {
	return request.kind === 'plain' ? request.cost : requestCost(request) - request.maxTokens + outputTokens;
}

function selectCustomerOutcomes(outcomes: readonly Outcome[], customer: string): Outcome[] {
	return outcomes.filter(({request}) => request.tenant === customer).sort((a, b) => a.sentMs - b.sentMs);
}

/**
Returns the ids of the requests that are within their customer's rate limit. A request is within the limit if it is covered by a
token bucket from which every covered request of the trace takes its cost. A refused request must also be covered by a second
bucket, which is charged only for the tokens that admitted requests actually used.
*/
export function idsWithinLimit({trace, outcomes}: Pick<ReplayResult, 'trace' | 'outcomes'>): Set<string> {
	const idsWithin = new Set<string>();
	for (const [customer, {rate, burst}] of Object.entries(trace.header.tenants)) {
		const reference = new ReferenceTokenBucket(rate, burst);
		const granted = new ReferenceTokenBucket(rate, burst);
		for (const outcome of selectCustomerOutcomes(outcomes, customer)) {
			const cost = requestCost(outcome.request);
			const isCovered = reference.canCover(outcome.sentMs, cost);
			const isCoveredByGranted = granted.canCover(outcome.sentMs, cost);
			if (isCovered) {
				reference.take(cost);
			}

			if (isAdmitted(outcome)) {
				granted.take(actualCost(outcome));
			}

			if (isCovered && (outcome.kind !== 'refused' || isCoveredByGranted)) {
				idsWithin.add(outcome.request.id);
			}
		}
	}

	return idsWithin;
}

/** Returns a lower bound on the rate-limit tokens admitted beyond the limit in the worst time window; 0 if there is no excess. It is a lower bound because the tokens of a request are charged at an unknown time between sending and its first byte. */
function excessTokens(outcomes: readonly Outcome[], rate: number, burst: number): number {
	const charges = outcomes.filter(outcome => isAdmitted(outcome) && outcome.firstMs !== undefined)
		.map(outcome => ({fromMs: outcome.sentMs, toMs: outcome.firstMs!, cost: actualCost(outcome)}))
		.sort((a, b) => a.toMs - b.toMs);
	let worst = 0;
	for (const {fromMs: startMs} of charges) {
		let sum = 0;
		for (const {fromMs, toMs, cost} of charges) {
			if (fromMs >= startMs) {
				sum += cost;
				worst = Math.max(worst, sum - burst - (rate * (toMs - startMs) / 1000));
			}
		}
	}

	return worst;
}

function percentile95(values: readonly number[]): number {
	const sorted = values.toSorted((a, b) => a - b);
	return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * 0.95))] ?? 0;
}

/** Returns whether the request was answered completely within both latency targets. */
export function meetsTargets({request, kind, sentMs, firstMs, gapsMs}: Outcome): boolean {
	if (kind !== 'complete' || firstMs === undefined || firstMs - sentMs > request.firstTokenTargetMs) {
		return false;
	}

	return request.kind === 'plain' || percentile95(gapsMs) <= request.betweenTokensTargetMs;
}

function percentiles(values: readonly number[]): Percentiles {
	// The histogram stores integers, so values are recorded in microseconds to keep sub-millisecond resolution.
	const histogram = build({numberOfSignificantValueDigits: 3});
	for (const value of values) {
		histogram.recordValue(Math.max(0, Math.round(value * 1000)));
	}

	const at = (percentile: number): number => values.length === 0 ? 0 : Math.round(histogram.getValueAtPercentile(percentile) / 10) / 100;
	return {p50: at(50), p95: at(95), p99: at(99)};
}

function ratio(numerator: number, denominator: number): number {
	return denominator === 0 ? 1 : numerator / denominator;
}

function goodputByCustomer(eligible: readonly Outcome[], customers: readonly string[]): Record<string, number> {
	const goodputs: Record<string, number> = {};
	for (const customer of customers) {
		const ownOutcomes = eligible.filter(({request}) => request.tenant === customer);
		if (ownOutcomes.length > 0) {
			goodputs[customer] = ratio(ownOutcomes.filter(outcome => meetsTargets(outcome)).length, ownOutcomes.length);
		}
	}

	return goodputs;
}

function worstToMeanRatio(goodputs: readonly number[]): number {
	const mean = goodputs.reduce((sum, value) => sum + value, 0) / goodputs.length;
	return goodputs.length === 0 || mean === 0 ? 0 : Math.min(...goodputs) / mean;
}

function measurePrefill({engines, outcomes}: ReplayResult): Pick<Measures, 'wastedPrefillRatio' | 'cachedPromptRatio'> {
	const answeredIds = new Set(outcomes.filter(({kind}) => kind === 'complete').map(({request}) => request.id));
	let computedTokens = 0;
	let usefulTokens = 0;
	let totalPromptTokens = 0;
	for (const {answerId, promptTokens, cachedTokens, outcome} of engines.flatMap(({prefills}) => prefills)) {
		totalPromptTokens += promptTokens;
		computedTokens += promptTokens - cachedTokens;
		if (outcome === 'transferred' && answeredIds.delete(answerId)) {
			usefulTokens += promptTokens - cachedTokens;
		}
	}

	return {wastedPrefillRatio: computedTokens === 0 ? 0 : 1 - (usefulTokens / computedTokens), cachedPromptRatio: totalPromptTokens === 0 ? 0 : 1 - (computedTokens / totalPromptTokens)};
}

/** Counts executions of non-idempotent calls beyond the first. Calls are identified by `ref`, because a resend may carry another idempotency key or none. */
function countDuplicateRuns({trace, plain}: ReplayResult): number {
	const nonIdempotentReferences = new Set(trace.requests.flatMap(req => req.kind === 'plain' && !req.isIdempotent ? [req.ref] : []));
	const runs = plain.flatMap(({calls}) => calls).flatMap(({ref}) => ref !== undefined && nonIdempotentReferences.has(ref) ? [ref] : []);
	return runs.length - new Set(runs).size;
}

function countCodes(outcomes: readonly Outcome[]): Record<string, number> {
	const counts: Record<string, number> = {};
	for (const {code} of outcomes) {
		if (code !== undefined) {
			counts[code] = (counts[code] ?? 0) + 1;
		}
	}

	return counts;
}

/** Computes goodput, latency, and fault counts from the outcomes and upstream records of a replay. */
export function score(result: ReplayResult): Measures {
	const {trace, outcomes, engines, plain} = result;
	const {durationMs, tenants: customers} = trace.header;
	const count = (kind: Outcome['kind']): number => outcomes.filter(outcome => outcome.kind === kind).length;
	const withinLimit = idsWithinLimit(result);
	const eligible = outcomes.filter(({request, kind}) => kind !== 'cancelled' && withinLimit.has(request.id));
	const good = outcomes.filter(outcome => meetsTargets(outcome));
	const goodputs = goodputByCustomer(eligible, Object.keys(customers));
	const answered = outcomes.filter(({kind, firstMs}) => kind === 'complete' && firstMs !== undefined);
	const firstByteLatenciesMs = (kind: TraceRequest['kind']): number[] => answered.filter(({request}) => request.kind === kind).map(({firstMs, sentMs}) => firstMs! - sentMs);
	return {
		requests: outcomes.length,
		complete: count('complete'),
		refused: count('refused'),
		unknown: count('unknown'),
		cancelled: count('cancelled'),
		goodput: ratio(eligible.filter(outcome => meetsTargets(outcome)).length, eligible.length),
		goodputPerSecond: good.length * 1000 / durationMs,
		...measurePrefill(result),
		worstTenantGoodput: worstToMeanRatio(Object.values(goodputs)),
		wrongfulRefusals: findWrongfulRefusals(result).length,
		overAdmitted: Math.round(Object.entries(customers).reduce((sum, [customer, {rate, burst}]) => sum + excessTokens(selectCustomerOutcomes(outcomes, customer), rate, burst), 0)),
		duplicateRuns: countDuplicateRuns(result),
		crossedAnswers: count('crossed'),
		incompleteAnswers: count('incomplete'),
		leakedEngineRequests: engines.reduce((sum, {requests}) => sum + requests.length, 0),
		keysSeenByUpstreams: [...engines, ...plain].reduce((sum, {keysSeen}) => sum + keysSeen, 0),
		tenantGoodput: goodputs,
		refusalCodes: countCodes(outcomes),
		firstTokenMs: percentiles(firstByteLatenciesMs('model')),
		betweenTokensMs: percentiles(answered.flatMap(({gapsMs}) => gapsMs)),
		plainMs: percentiles(firstByteLatenciesMs('plain')),
	};
}
