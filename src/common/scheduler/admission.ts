import type {PlaceReply, PlaceRequest} from '../services/scheduler-client.js';
import type {Engine} from './engine.js';
import type {QueuedRequest} from './fair-queue.js';
import type {SchedulerState} from './state.js';

/** Shortest time after which a refused caller may try again, in milliseconds. */
const minRetryMs = 100;
/** Retry time when no engine can be used, which lasts until one is probed or configured, in milliseconds. */
const noUpstreamRetryMs = 1000;

export type Refusal = Extract<PlaceReply, {kind: 'refused'}>;

/** When a request that arrives now would start, in milliseconds. */
export type StartEstimate = {
	/** In the queue. */
	readonly waitMs: number;
	/** From the end of the wait to the first token, on the quickest engines. */
	readonly serviceMs: number;
};

export function refusal(code: Refusal['code'], retryAfterMs: number): Refusal {
	return {kind: 'refused', code, retryAfterMs: Math.ceil(Math.max(minRetryMs, retryAfterMs))};
}

/** Undefined when no prefill engine or no decode engine is usable. Leaves out queued requests with a higher shed order than `maxShedOrder`. */
export function estimateStart(state: SchedulerState, req: PlaceRequest, nowMs: number, maxShedOrder?: number): StartEstimate | undefined {
	const serviceMs = quickestServiceMs(state, req, nowMs);
	return serviceMs === undefined ? undefined : {serviceMs, waitMs: queueWaitMs(state, req, nowMs, maxShedOrder)};
}

/** Refuses at once what would miss its bound on waiting or its target, before any prefill is spent. */
export function admissionRefusal(req: PlaceRequest, estimate: StartEstimate | undefined): Refusal | undefined {
	if (!estimate) {
		return refusal('no-upstream', noUpstreamRetryMs);
	}

	const {waitMs, serviceMs} = estimate;
	if (waitMs > req.maxWaitMs) {
		return refusal('overloaded', waitMs - req.maxWaitMs);
	}

	const lateMs = waitMs + serviceMs - req.budgetMs;
	return lateMs > 0 ? refusal('deadline', lateMs) : undefined;
}

/** Whether the request has waited longer than its bound; at the bound it may still start. */
export function isPastBound({req, arrivedMs}: QueuedRequest, nowMs: number): boolean {
	return nowMs - arrivedMs > req.maxWaitMs;
}

/** Refuses a queued request whose bound on waiting is over or which can no longer meet its target. */
export function overdueRefusal(state: SchedulerState, {req, arrivedMs, serviceMs}: QueuedRequest, nowMs: number): Refusal | undefined {
	const waitedMs = nowMs - arrivedMs;
	if (waitedMs < req.maxWaitMs && waitedMs + serviceMs <= req.budgetMs) {
		return undefined;
	}

	const retryAfterMs = queueWaitMs(state, req, nowMs);
	return refusal(waitedMs >= req.maxWaitMs ? 'overloaded' : 'deadline', retryAfterMs);
}

/** Wait for the work ahead, by whichever runs out first: decode slots or prefill time. */
function queueWaitMs({pool, queue, options}: SchedulerState, req: PlaceRequest, nowMs: number, maxShedOrder?: number): number {
	const ahead = queue.ahead(req, maxShedOrder);
	let slots = 0;
	let freeSlots = 0;
	for (const engine of pool.decodeEngines) {
		if (engine.isUsable(nowMs)) {
			const share = options.policy.shareOf(pool, engine);
			slots += share;
			freeSlots += Math.max(0, engine.freeSlots(share, pool.isRebuilding));
		}
	}

	const slotWaitMs = Math.max(0, ahead.requests + 1 - freeSlots) * pool.hold.value / slots;
	const prefills = pool.prefillEngines.filter(engine => engine.isUsable(nowMs));
	if (slots === 0 || prefills.length === 0) {
		return noUpstreamRetryMs;
	}

	const backlogsMs = prefills.map(engine => engine.prefillBacklogMs(nowMs));
	// Prompts of one service share prefixes; counting all their tokens refused requests that would have met their target.
	const aheadMs = ahead.promptTokens * pool.computedShare.value * pool.prefill.value;
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

/** Prefill, transfer and first token on idle engines: the quickest prefill engine with the quickest decode engine for it. */
function quickestServiceMs({pool}: SchedulerState, req: PlaceRequest, nowMs: number): number | undefined {
	let prefillMs = Infinity;
	let quickest: Engine | undefined;
	for (const prefill of pool.prefillEngines) {
		const ms = prefill.isUsable(nowMs) ? pool.prefillMs(req, prefill, pool.cachedTokens(prefill, req)) : Infinity;
		if (ms < prefillMs) {
			prefillMs = ms;
			quickest = prefill;
		}
	}

	let decodeMs = Infinity;
	for (const decode of quickest ? pool.decodeEngines : []) {
		if (decode.isUsable(nowMs)) {
			decodeMs = Math.min(decodeMs, pool.transferMs(quickest!, decode, req.promptTokens) + decode.firstTokenSpeed.value);
		}
	}

	return Number.isFinite(decodeMs) ? prefillMs + decodeMs : undefined;
}
