import type {PlacementReply, PlacementRequest} from '../services/scheduler-client.js';
import type {Engine} from './engine.js';
import type {QueuedRequest} from './fair-queue.js';
import type {SchedulerState} from './state.js';

/** Lower bound of the retry delay in a refusal, in milliseconds. */
const minRetryAfterMs = 100;
/** Retry delay in a refusal while no prefill engine or no decode engine is usable, in milliseconds. That lasts until, for example, an ejection ends or an engine is configured. */
const noUpstreamRetryAfterMs = 1000;

export type Refusal = Extract<PlacementReply, {kind: 'refused'}>;

/** Estimated times of a request that arrives now, in milliseconds. */
export type StartEstimate = {
	/** Time from the arrival until the request leaves the queue. */
	readonly waitMs: number;
	/** Time from leaving the queue to the first output token on the fastest engines. */
	readonly serviceMs: number;
};

export function createRefusal(code: Refusal['code'], retryAfterMs: number): Refusal {
	return {kind: 'refused', code, retryAfterMs: Math.ceil(Math.max(minRetryAfterMs, retryAfterMs))};
}

/**
Estimates the times of a request that arrives now. Returns undefined if no prefill engine or no decode engine is usable.
Does not count queued requests whose shed order is above `maxShedOrder`.
*/
export function estimateStart(state: SchedulerState, req: PlacementRequest, nowMs: number, maxShedOrder?: number): StartEstimate | undefined {
	const serviceMs = minServiceMs(state, req, nowMs);
	return serviceMs === undefined ? undefined : {serviceMs, waitMs: queueWaitMs(state, req, nowMs, maxShedOrder)};
}

/** Returns a refusal for a request that would exceed its maximum wait or miss its first-token target, so that no prefill is wasted on it. Returns undefined if the request can be admitted. */
export function admissionRefusal(req: PlacementRequest, estimate: StartEstimate | undefined): Refusal | undefined {
	if (!estimate) {
		return createRefusal('no-upstream', noUpstreamRetryAfterMs);
	}

	const {waitMs, serviceMs} = estimate;
	if (waitMs > req.maxWaitMs) {
		return createRefusal('overloaded', waitMs - req.maxWaitMs);
	}

	const latenessMs = waitMs + serviceMs - req.budgetMs;
	return latenessMs > 0 ? createRefusal('deadline', latenessMs) : undefined;
}

/** Returns whether the request has waited longer than its maximum wait. A request that has waited exactly the maximum may still start. */
export function isPastMaxWait({req, arrivedMs}: QueuedRequest, nowMs: number): boolean {
	return nowMs - arrivedMs > req.maxWaitMs;
}

/** Returns a refusal for a queued request whose maximum wait has elapsed or that can no longer meet its first-token target; undefined for any other request. */
export function overdueRefusal(state: SchedulerState, {req, arrivedMs, serviceMs}: QueuedRequest, nowMs: number): Refusal | undefined {
	const waitedMs = nowMs - arrivedMs;
	if (waitedMs < req.maxWaitMs && waitedMs + serviceMs <= req.budgetMs) {
		return undefined;
	}

	const retryAfterMs = queueWaitMs(state, req, nowMs);
	return createRefusal(waitedMs >= req.maxWaitMs ? 'overloaded' : 'deadline', retryAfterMs);
}

/** Estimates how long a request waits for the work ahead of it, in milliseconds: the wait for a decode slot or for a prefill engine, whichever is longer. */
function queueWaitMs({pool, queue, options}: SchedulerState, req: PlacementRequest, nowMs: number, maxShedOrder?: number): number {
	const ahead = queue.workAhead(req, maxShedOrder);
	let slots = 0;
	let freeSlots = 0;
	for (const engine of pool.decodeEngines) {
		if (engine.isUsable(nowMs)) {
			const share = options.policy.slotShare(pool, engine);
			slots += share;
			freeSlots += Math.max(0, engine.freeSlots(share, pool.isRebuilding));
		}
	}

	const slotWaitMs = Math.max(0, ahead.requests + 1 - freeSlots) * pool.slotHoldMs.value / slots;
	const prefills = pool.prefillEngines.filter(engine => engine.isUsable(nowMs));
	if (slots === 0 || prefills.length === 0) {
		return noUpstreamRetryAfterMs;
	}

	const backlogsMs = prefills.map(engine => engine.prefillBacklogMs(nowMs));
	// Prompts of one service share cached prefixes, so only the uncached share of the tokens counts. Counting all tokens would refuse requests that can meet their target.
	const aheadMs = ahead.promptTokens * pool.uncachedTokenShare.value * pool.prefillMsPerToken.value;
	const prefillWaitMs = (sumOf(backlogsMs) + aheadMs) / prefills.length;
	return Math.max(slotWaitMs, ahead.requests > 0 ? prefillWaitMs : Math.min(...backlogsMs));
}

function sumOf(values: readonly number[]): number {
	let sum = 0;
	for (const value of values) {
		sum += value;
	}

	return sum;
}

/**
Returns the time to the first output token, in milliseconds, on the fastest prefill engine and the decode engine that is fastest
in combination with it, as if both were idle. Returns undefined if no prefill engine or no decode engine is usable.
*/
function minServiceMs({pool}: SchedulerState, req: PlacementRequest, nowMs: number): number | undefined {
	let prefillMs = Infinity;
	let fastestPrefill: Engine | undefined;
	for (const prefill of pool.prefillEngines) {
		const ms = prefill.isUsable(nowMs) ? pool.prefillMs(req, prefill, pool.cachedTokens(prefill, req)) : Infinity;
		if (ms < prefillMs) {
			prefillMs = ms;
			fastestPrefill = prefill;
		}
	}

	let decodeMs = Infinity;
	for (const decode of fastestPrefill ? pool.decodeEngines : []) {
		if (decode.isUsable(nowMs)) {
			decodeMs = Math.min(decodeMs, pool.transferMs(fastestPrefill!, decode, req.promptTokens) + decode.firstTokenLatencyMs.value);
		}
	}

	return Number.isFinite(decodeMs) ? prefillMs + decodeMs : undefined;
}
