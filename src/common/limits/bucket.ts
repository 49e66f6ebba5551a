/** Token bucket of one tenant, with start-time fair queueing between the holders of its grants. */
import type {VmId} from '../core/types.js';
import {HeadroomHistory} from './headroom.js';
import {demandTtlMs, maxAdvanceShare, overtakeFactor} from './types.js';
import type {TenantLimit} from './types.js';

/** Time for which the size of the largest request is remembered; a tenant with large prompts sends one every few seconds. */
const largestRequestTtlMs = 10_000;

/** Demand of one holder on a bucket, and its state in the fair queue. Kept while it may affect other holders. */
export type HolderDemand = {
	/** Tokens that the holder asked for in its last sync, for waiting requests and in advance. */
	wantedTokens: number;
	/** Tokens reserved for the holder's waiting request, which the bucket could not cover yet. */
	reservedTokens: number;
	/** When the whole demand expires. */
	expiresMs: number;
	/** When the reservation expires. */
	reservedUntilMs: number;
	/** Whether the last request got nothing. The holder then keeps its start tag even if that request is refused, since others may wait behind it. */
	isBacklogged: boolean;
	/** Position of the last request among the waiting ones, in the order in which they began to wait. */
	arrivalOrder: number;
	/** Virtual time at which the last request starts: tokens granted to the holder before it, relative to the other holders. */
	startTag: number;
	/** Virtual time at which the tokens last granted to the holder end. */
	finishTag: number;
};

export type Bucket = {
	limit: TenantLimit;
	/** Tokens available; negative after a charge that the bucket could not cover. */
	level: number;
	/** Granted tokens that may still be spent. */
	outstanding: number;
	/** Part of `outstanding` that was granted in advance. */
	outstandingAdvance: number;
	/** Until when advance grants of an earlier leader may be spent. */
	readonly predecessorExpiryMs: number;
	updatedMs: number;
	readonly headroom: HeadroomHistory;
	readonly demands: Map<VmId, HolderDemand>;
	/** Virtual time of the fair queue, in tokens: the highest start tag of a request that was covered. */
	virtualTime: number;
	/** Arrival order of the next request that has to wait. */
	nextArrivalOrder: number;
	/** Size of the largest recent request, and when it is forgotten. */
	largestRequest: {tokens: number; expiresMs: number};
};

/** Creates an empty bucket that fills from `sinceMs` on. */
export function createBucket(limit: TenantLimit, sinceMs: number, predecessorExpiryMs: number): Bucket {
	const bucket: Bucket = {
		limit,
		level: 0,
		outstanding: 0,
		outstandingAdvance: 0,
		predecessorExpiryMs,
		updatedMs: sinceMs,
		headroom: new HeadroomHistory(),
		demands: new Map(),
		virtualTime: 0,
		nextArrivalOrder: 0,
		largestRequest: {tokens: 0, expiresMs: 0},
	};
	recordHeadroom(bucket, sinceMs);
	return bucket;
}

/** Returns the level of a bucket that was empty `elapsedMs` ago and has granted nothing since. */
export function levelAfterRefill({rate, burst}: TenantLimit, elapsedMs: number): number {
	return Math.min(burst, rate * Math.max(0, elapsedMs) / 1000);
}

/** Adds the refill due until `nowMs`. */
export function refill(bucket: Bucket, nowMs: number): void {
	const elapsedMs = Math.max(0, nowMs - bucket.updatedMs);
	if (elapsedMs === 0) {
		return;
	}

	if (bucket.updatedMs < bucket.predecessorExpiryMs && bucket.predecessorExpiryMs < nowMs) {
		refill(bucket, bucket.predecessorExpiryMs);
		refill(bucket, nowMs);
		return;
	}

	const cap = Math.max(bucket.level, levelCap(bucket));
	bucket.level = Math.min(bucket.level + (bucket.limit.rate * elapsedMs / 1000), cap);
	bucket.updatedMs = nowMs;
	recordHeadroom(bucket, nowMs);
}

/** Returns the most tokens that may still be spent from advance grants of an earlier leader, at the time of the last refill. */
export function predecessorAdvance({limit, updatedMs, predecessorExpiryMs}: Bucket): number {
	return updatedMs < predecessorExpiryMs ? limit.burst * maxAdvanceShare : 0;
}

/** Returns the highest level at which the bucket and all grants that may still be spent do not exceed the burst together. */
export function levelCap(bucket: Bucket): number {
	return bucket.limit.burst - bucket.outstanding - predecessorAdvance(bucket);
}

/** Records the headroom. Must be called after every change that may have lowered it. */
export function recordHeadroom(bucket: Bucket, nowMs: number): void {
	bucket.headroom.record(nowMs, levelCap(bucket) - bucket.level);
}

/** Remembers the size of a request if it is the largest, or if the remembered one has expired. */
export function recordRequestSize(bucket: Bucket, tokens: number, nowMs: number): void {
	if (tokens >= bucket.largestRequest.tokens || nowMs >= bucket.largestRequest.expiresMs) {
		bucket.largestRequest = {tokens, expiresMs: nowMs + largestRequestTtlMs};
	}
}

export function getOrCreateDemand(bucket: Bucket, vm: VmId): HolderDemand {
	let demand = bucket.demands.get(vm);
	if (!demand) {
		demand = {
			wantedTokens: 0, reservedTokens: 0, expiresMs: 0, reservedUntilMs: 0, isBacklogged: false, arrivalOrder: Infinity, startTag: 0, finishTag: 0,
		};
		bucket.demands.set(vm, demand);
	}

	return demand;
}

/** Removes expired reservations, expired demands, and holders whose queue state no longer matters. */
export function expireDemands(bucket: Bucket, nowMs: number): void {
	let isIdle = true;
	for (const [vm, demand] of bucket.demands) {
		demand.reservedTokens = demand.reservedUntilMs > nowMs ? demand.reservedTokens : 0;
		if (demand.expiresMs > nowMs) {
			isIdle = false;
			continue;
		}

		demand.wantedTokens = 0;
		demand.reservedTokens = 0;
		demand.isBacklogged = false;
		// A holder that was not ahead of the others would get the same start tag without this entry.
		if (demand.finishTag <= bucket.virtualTime) {
			bucket.demands.delete(vm);
		} else {
			isIdle &&= demand.expiresMs + demandTtlMs <= nowMs;
		}
	}

	if (isIdle) {
		bucket.demands.clear();
	}
}

/** A holder's request and its place in the fair queue; `atLeast` is the size of the request in tokens. */
type QueuedRequest = {readonly vm: VmId; readonly startTag: number; readonly arrivalOrder: number; readonly atLeast: number};

/**
Returns the tokens reserved for other holders' requests that come before this one: those with a lower start tag, or with the same one
and an earlier arrival. Requests so large that this one overtakes them are left out.
*/
export function tokensReservedAhead(bucket: Bucket, {vm, startTag, arrivalOrder, atLeast}: QueuedRequest): number {
	const overtakenTokens = atLeast > 0 ? atLeast * overtakeFactor : Number.POSITIVE_INFINITY;
	let total = 0;
	for (const [otherVm, demand] of bucket.demands) {
		const isBefore = demand.startTag < startTag || (demand.startTag === startTag && demand.arrivalOrder < arrivalOrder);
		if (otherVm !== vm && isBefore && demand.reservedTokens < overtakenTokens) {
			total += demand.reservedTokens;
		}
	}

	return total;
}

/** Returns the max-min fair share of `spare` tokens: the most that each holder may get, if holders that want less leave the rest to the others. Infinite if all get what they want. */
export function fairShare(demands: ReadonlyMap<VmId, HolderDemand>, spare: number): number {
	const wantedAmounts = [...demands.values()].map(({wantedTokens}) => wantedTokens).filter(wanted => wanted > 0).sort((a, b) => a - b);
	let left = spare;
	for (const [i, wanted] of wantedAmounts.entries()) {
		const share = left / (wantedAmounts.length - i);
		if (wanted >= share) {
			return share;
		}

		left -= wanted;
	}

	return Number.POSITIVE_INFINITY;
}
