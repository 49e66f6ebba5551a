/** Token bucket of one customer, with start-time fair queueing between the entry processes that hold its grants. */
import type {VmId} from '../core/types.js';
import {HeadroomHistory} from './headroom.js';
import {demandTtlMs, maxAdvanceShare, overtakeFactor} from './types.js';
import type {CustomerLimit} from './types.js';

/** Time for which the size of a customer's largest request is remembered, in milliseconds. Customers with large prompts send one every few seconds, so the size stays known between two of these prompts. */
const largestRequestTtlMs = 10_000;

/** Demand of one holder (an entry process) on a bucket, and the holder's state in the fair queue. Kept for as long as it may affect other holders. */
export type HolderDemand = {
	/** Tokens that the holder asked for in its last sync, in total for its waiting requests and in advance. */
	wantedTokens: number;
	/** Tokens reserved for the holder's waiting request, which the bucket could not cover yet; 0 if no request waits. */
	reservedTokens: number;
	/** Time at which the whole demand expires, including the reservation. */
	expiresMs: number;
	/** Time at which the reservation expires. */
	reservedUntilMs: number;
	/**
	Whether the holder's last token request got no tokens. The start tag then stays for the holder's next request, even if the last one was refused,
	so that requests of other holders that queued behind it do not overtake it.
	*/
	isBacklogged: boolean;
	/** Position of the holder's last request in the order in which the requests of all holders began to wait; `Infinity` if the holder has not waited since its last covered request. */
	arrivalOrder: number;
	/** Virtual time, in tokens, at which the holder's last request starts. The more tokens the holder has been granted compared with other holders, the later the start; requests that start earlier come first. */
	startTag: number;
	/** Virtual time, in tokens, at which the holder's last covered request ends: its start tag plus the tokens granted; 0 before any request was covered. */
	finishTag: number;
};

export type Bucket = {
	limit: CustomerLimit;
	/** Tokens available; negative after a charge that the bucket could not cover. */
	level: number;
	/** Granted tokens that holders may still spend. */
	outstanding: number;
	/** Part of `outstanding` that was granted in advance. */
	outstandingAdvance: number;
	/** Time until which advance grants of an earlier leader may be spent. */
	readonly predecessorExpiryMs: number;
	updatedMs: number;
	readonly headroom: HeadroomHistory;
	readonly demands: Map<VmId, HolderDemand>;
	/** Virtual time of the fair queue, in tokens: the highest start tag among the requests that were covered. */
	virtualTime: number;
	/** Arrival order of the next request that has to wait. */
	nextArrivalOrder: number;
	/** Size of the largest recent request in tokens, and the time at which that size is forgotten. */
	largestRequest: {tokens: number; expiresMs: number};
};

/** Creates an empty bucket that fills from `sinceMs` on; advance grants of an earlier leader may be spent until `predecessorExpiryMs`. */
export function createBucket(limit: CustomerLimit, sinceMs: number, predecessorExpiryMs: number): Bucket {
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
export function levelAfterRefill({rate, burst}: CustomerLimit, elapsedMs: number): number {
	return Math.min(burst, rate * Math.max(0, elapsedMs) / 1000);
}

/** Refills the bucket up to `nowMs`, but not beyond its level cap. */
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

/** Returns the most tokens that may still be spent from advance grants of an earlier leader, as of the last refill; 0 once these grants have expired. */
export function predecessorAdvance({limit, updatedMs, predecessorExpiryMs}: Bucket): number {
	return updatedMs < predecessorExpiryMs ? limit.burst * maxAdvanceShare : 0;
}

/** Returns the highest level of the bucket, in tokens, at which the level plus all grants that may still be spent do not exceed the burst. */
export function levelCap(bucket: Bucket): number {
	return bucket.limit.burst - bucket.outstanding - predecessorAdvance(bucket);
}

/** Records the headroom of the bucket. Must be called after every change that may have lowered the headroom. */
export function recordHeadroom(bucket: Bucket, nowMs: number): void {
	bucket.headroom.record(nowMs, levelCap(bucket) - bucket.level);
}

/** Remembers the size of a request if it is at least the remembered size, or if the remembered size has expired. */
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

/** Removes expired reservations, expired demands, and the entries of holders whose state in the queue no longer affects the order. */
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
		// With this finish tag, the holder's next start tag is the virtual time with or without the entry, so the entry is not needed.
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
Returns the tokens reserved for other holders' requests that come before the given request: requests with a lower start tag, or with the same
start tag and an earlier arrival. Requests so large that the given request overtakes them are left out; a request of 0 tokens overtakes none.
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

/** Returns the max-min fair share of `spare` tokens: the most that one holder may get, where holders that want less leave the rest to the others. `Infinity` if every holder gets what it wants. */
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
