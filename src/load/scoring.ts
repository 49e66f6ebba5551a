import {build} from 'hdr-histogram-js';
import type {Outcome, ReplayResult} from './outcome.js';
import {wrongfulRefusals} from './rate-judge.js';
import {requestCost} from './request-cost.js';
import type {TraceRequest} from './trace.js';

export type Percentiles = {readonly p50: number; readonly p95: number; readonly p99: number};

export type Measures = {
	readonly requests: number;
	readonly complete: number;
	readonly refused: number;
	readonly unknown: number;
	readonly cancelled: number;
	/** Share of the requests answered completely within both latency targets; leaves out cancelled ones and those beyond the tenant's limit. */
	readonly goodput: number;
	/** Requests per second of the trace answered completely within both targets. */
	readonly goodputPerSecond: number;
	/** Share of the computed prompt tokens whose result reached no caller in a complete answer. */
	readonly wastedPrefillRatio: number;
	/** Share of the prompt tokens that engines took from their prefix cache. */
	readonly cachedPromptRatio: number;
	/** Goodput of the worst-served tenant as a share of the tenants' mean. */
	readonly worstTenantGoodput: number;
	/** Refusals of requests for which the tenant's bucket had room at that moment. */
	readonly wrongfulRefusals: number;
	/** Tokens admitted beyond `burst + rate * t` in the worst window of each tenant, summed. */
	readonly overAdmitted: number;
	/** Runs of a non-idempotent call after its first. */
	readonly duplicateRuns: number;
	readonly crossedAnswers: number;
	readonly incompleteAnswers: number;
	/** Requests that still hold engine memory after the replay. */
	readonly leakedEngineRequests: number;
	/** Requests in which an upstream saw a key. */
	readonly keysSeenByUpstreams: number;
	readonly tenantGoodput: Readonly<Record<string, number>>;
	readonly refusalCodes: Readonly<Record<string, number>>;
	/** Milliseconds. */
	readonly firstTokenMs: Percentiles;
	readonly betweenTokensMs: Percentiles;
	readonly plainMs: Percentiles;
};

class ReferenceBucket {
	private _level: number;
	private _lastMs = 0;

	constructor(private readonly _rate: number, private readonly _burst: number) {
		this._level = _burst;
	}

	covers(nowMs: number, cost: number): boolean {
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

function byTenant(outcomes: readonly Outcome[], tenant: string): Outcome[] {
	return outcomes.filter(({request}) => request.tenant === tenant).sort((a, b) => a.sentMs - b.sentMs);
}

/**
Ids of the requests within their tenant's limit: the trace alone, through a token bucket, must cover them.
A refused one counts only if the tokens that the tenant was really given would have covered it as well.
*/
export function withinLimit({trace, outcomes}: Pick<ReplayResult, 'trace' | 'outcomes'>): Set<string> {
	const within = new Set<string>();
	for (const [tenant, {rate, burst}] of Object.entries(trace.header.tenants)) {
		const reference = new ReferenceBucket(rate, burst);
		const given = new ReferenceBucket(rate, burst);
		for (const outcome of byTenant(outcomes, tenant)) {
			const cost = requestCost(outcome.request);
			const isCovered = reference.covers(outcome.sentMs, cost);
			const isCoveredByGiven = given.covers(outcome.sentMs, cost);
			if (isCovered) {
				reference.take(cost);
			}

			if (isAdmitted(outcome)) {
				given.take(actualCost(outcome));
			}

			if (isCovered && (outcome.kind !== 'refused' || isCoveredByGiven)) {
				within.add(outcome.request.id);
			}
		}
	}

	return within;
}

/** Tokens of the worst window that are certainly beyond the limit: each request spent its tokens between being sent and its first byte. */
function excessTokens(outcomes: readonly Outcome[], rate: number, burst: number): number {
	const spends = outcomes.filter(outcome => isAdmitted(outcome) && outcome.firstMs !== undefined)
		.map(outcome => ({fromMs: outcome.sentMs, toMs: outcome.firstMs!, cost: actualCost(outcome)}))
		.sort((a, b) => a.toMs - b.toMs);
	let worst = 0;
	for (const {fromMs: startMs} of spends) {
		let sum = 0;
		for (const {fromMs, toMs, cost} of spends) {
			if (fromMs >= startMs) {
				sum += cost;
				worst = Math.max(worst, sum - burst - (rate * (toMs - startMs) / 1000));
			}
		}
	}

	return worst;
}

/** The 95th percentile of a few values. */
function percentile95(values: readonly number[]): number {
	const sorted = values.toSorted((a, b) => a - b);
	return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * 0.95))] ?? 0;
}

/** Whether a request was answered completely within both latency targets. */
export function isGood({request, kind, sentMs, firstMs, gapsMs}: Outcome): boolean {
	if (kind !== 'complete' || firstMs === undefined || firstMs - sentMs > request.firstTokenTargetMs) {
		return false;
	}

	return request.kind === 'plain' || percentile95(gapsMs) <= request.betweenTokensTargetMs;
}

function percentiles(values: readonly number[]): Percentiles {
	// Microseconds keep the resolution of the histogram's whole numbers.
	const histogram = build({numberOfSignificantValueDigits: 3});
	for (const value of values) {
		histogram.recordValue(Math.max(0, Math.round(value * 1000)));
	}

	const at = (percentile: number): number => values.length === 0 ? 0 : Math.round(histogram.getValueAtPercentile(percentile) / 10) / 100;
	return {p50: at(50), p95: at(95), p99: at(99)};
}

function share(part: number, whole: number): number {
	return whole === 0 ? 1 : part / whole;
}

function tenantGoodput(eligible: readonly Outcome[], tenants: readonly string[]): Record<string, number> {
	const shares: Record<string, number> = {};
	for (const tenant of tenants) {
		const own = eligible.filter(({request}) => request.tenant === tenant);
		if (own.length > 0) {
			shares[tenant] = share(own.filter(outcome => isGood(outcome)).length, own.length);
		}
	}

	return shares;
}

function worstTenantShare(goodputs: readonly number[]): number {
	const mean = goodputs.reduce((sum, value) => sum + value, 0) / goodputs.length;
	return goodputs.length === 0 || mean === 0 ? 0 : Math.min(...goodputs) / mean;
}

function prefillMeasures({engines, outcomes}: ReplayResult): Pick<Measures, 'wastedPrefillRatio' | 'cachedPromptRatio'> {
	const answered = new Set(outcomes.filter(({kind}) => kind === 'complete').map(({request}) => request.id));
	let computed = 0;
	let useful = 0;
	let prompt = 0;
	for (const {answerId, promptTokens, cachedTokens, outcome} of engines.flatMap(({prefills}) => prefills)) {
		prompt += promptTokens;
		computed += promptTokens - cachedTokens;
		if (outcome === 'transferred' && answered.delete(answerId)) {
			useful += promptTokens - cachedTokens;
		}
	}

	return {wastedPrefillRatio: computed === 0 ? 0 : 1 - (useful / computed), cachedPromptRatio: prompt === 0 ? 0 : 1 - (computed / prompt)};
}

/** Runs of a non-idempotent call beyond its first; the reference names the call, whatever key it carried. */
function countDuplicateRuns({trace, plain}: ReplayResult): number {
	const once = new Set(trace.requests.flatMap(req => req.kind === 'plain' && !req.isIdempotent ? [req.ref] : []));
	const runs = plain.flatMap(({calls}) => calls).flatMap(({ref}) => ref !== undefined && once.has(ref) ? [ref] : []);
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

/** Computes the measures of a replay. */
export function score(result: ReplayResult): Measures {
	const {trace, outcomes, engines, plain} = result;
	const {durationMs, tenants} = trace.header;
	const count = (kind: Outcome['kind']): number => outcomes.filter(outcome => outcome.kind === kind).length;
	const within = withinLimit(result);
	const eligible = outcomes.filter(({request, kind}) => kind !== 'cancelled' && within.has(request.id));
	const good = outcomes.filter(outcome => isGood(outcome));
	const goodputs = tenantGoodput(eligible, Object.keys(tenants));
	const answered = outcomes.filter(({kind, firstMs}) => kind === 'complete' && firstMs !== undefined);
	const waits = (kind: TraceRequest['kind']): number[] => answered.filter(({request}) => request.kind === kind).map(({firstMs, sentMs}) => firstMs! - sentMs);
	return {
		requests: outcomes.length,
		complete: count('complete'),
		refused: count('refused'),
		unknown: count('unknown'),
		cancelled: count('cancelled'),
		goodput: share(eligible.filter(outcome => isGood(outcome)).length, eligible.length),
		goodputPerSecond: good.length * 1000 / durationMs,
		...prefillMeasures(result),
		worstTenantGoodput: worstTenantShare(Object.values(goodputs)),
		wrongfulRefusals: wrongfulRefusals(result).length,
		overAdmitted: Math.round(Object.entries(tenants).reduce((sum, [tenant, {rate, burst}]) => sum + excessTokens(byTenant(outcomes, tenant), rate, burst), 0)),
		duplicateRuns: countDuplicateRuns(result),
		crossedAnswers: count('crossed'),
		incompleteAnswers: count('incomplete'),
		leakedEngineRequests: engines.reduce((sum, {requests}) => sum + requests.length, 0),
		keysSeenByUpstreams: [...engines, ...plain].reduce((sum, {keysSeen}) => sum + keysSeen, 0),
		tenantGoodput: goodputs,
		refusalCodes: countCodes(outcomes),
		firstTokenMs: percentiles(waits('model')),
		betweenTokensMs: percentiles(answered.flatMap(({gapsMs}) => gapsMs)),
		plainMs: percentiles(waits('plain')),
	};
}
