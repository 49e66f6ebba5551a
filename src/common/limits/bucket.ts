/** One tenant's token bucket, and what the holders of its grants wait for. */
import type {VmId} from '../core/types.js';
import {HeadroomHistory} from './headroom.js';
import {advanceShare, passingFactor, waitingValidityMs} from './types.js';
import type {TenantLimit} from './types.js';

/** Time for which the size of a request that was waited for is remembered, in milliseconds; a tenant that sends large prompts sends one every few seconds. */
const largestValidityMs = 10_000;

/** What one holder asked of a bucket. Kept while it may matter to the others. */
export type Claimant = {
	/** Tokens that it wanted last. */
	wanted: number;
	/** Tokens that its waiting request needs and did not get. */
	waiting: number;
	/** Until when both count. */
	untilMs: number;
	/** Until when its request waits. */
	waitsUntilMs: number;
	/** Whether its last request got nothing; it keeps its place even if that request is refused, since others may wait behind it. */
	isShort: boolean;
	/** Place of that request among those that wait, by when they began to. */
	order: number;
	/** Virtual time of its claim: tokens that it had before, compared with the others. */
	tag: number;
	/** Virtual time at which its last portion ends. */
	finish: number;
};

export type Bucket = {
	limit: TenantLimit;
	/** Negative after a charge that the bucket could not cover. */
	level: number;
	outstanding: number;
	/** Part of the outstanding tokens that was granted in advance. */
	advance: number;
	/** Until when grants in advance of an earlier leader may be spent. */
	readonly unknownUntilMs: number;
	updatedMs: number;
	readonly headroom: HeadroomHistory;
	readonly claimants: Map<VmId, Claimant>;
	/** Tag of the last claim that was covered. */
	virtualTokens: number;
	/** Requests that had to wait so far. */
	waitCount: number;
	/** Size of the largest request that was waited for in the last seconds, and until when it counts. */
	largest: {tokens: number; untilMs: number};
};

/** An empty bucket that fills from `sinceMs` on. */
export function createBucket(limit: TenantLimit, sinceMs: number, unknownUntilMs: number): Bucket {
	const bucket: Bucket = {
		limit,
		level: 0,
		outstanding: 0,
		advance: 0,
		unknownUntilMs,
		updatedMs: sinceMs,
		headroom: new HeadroomHistory(),
		claimants: new Map(),
		virtualTokens: 0,
		waitCount: 0,
		largest: {tokens: 0, untilMs: 0},
	};
	noteHeadroom(bucket, sinceMs);
	return bucket;
}

/** Level of a bucket that was empty this long ago and gave nothing since. */
export function levelSince({rate, burst}: TenantLimit, elapsedMs: number): number {
	return Math.min(burst, rate * Math.max(0, elapsedMs) / 1000);
}

/** Brings the level up to a time. */
export function refill(bucket: Bucket, nowMs: number): void {
	const elapsedMs = Math.max(0, nowMs - bucket.updatedMs);
	if (elapsedMs === 0) {
		return;
	}

	if (bucket.updatedMs < bucket.unknownUntilMs && bucket.unknownUntilMs < nowMs) {
		refill(bucket, bucket.unknownUntilMs);
		refill(bucket, nowMs);
		return;
	}

	const room = Math.max(bucket.level, roomOf(bucket));
	bucket.level = Math.min(bucket.level + (bucket.limit.rate * elapsedMs / 1000), room);
	bucket.updatedMs = nowMs;
	noteHeadroom(bucket, nowMs);
}

/** What an earlier leader may have given in advance, as of the bucket's last update. */
export function unknownOf({limit, updatedMs, unknownUntilMs}: Bucket): number {
	return updatedMs < unknownUntilMs ? limit.burst * advanceShare : 0;
}

/** Highest level at which the holders of grants cannot exceed the burst. */
export function roomOf(bucket: Bucket): number {
	return bucket.limit.burst - bucket.outstanding - unknownOf(bucket);
}

/** Must follow whatever may have lowered the headroom. */
export function noteHeadroom(bucket: Bucket, nowMs: number): void {
	bucket.headroom.note(nowMs, roomOf(bucket) - bucket.level);
}

/** Remembers the size of a request that is waited for; a smaller one takes the place of the largest when that is long ago. */
export function noteSize(bucket: Bucket, tokens: number, nowMs: number): void {
	if (tokens >= bucket.largest.tokens || nowMs >= bucket.largest.untilMs) {
		bucket.largest = {tokens, untilMs: nowMs + largestValidityMs};
	}
}

export function claimantOf(bucket: Bucket, vm: VmId): Claimant {
	let claimant = bucket.claimants.get(vm);
	if (!claimant) {
		claimant = {
			wanted: 0, waiting: 0, untilMs: 0, waitsUntilMs: 0, isShort: false, order: Infinity, tag: 0, finish: 0,
		};
		bucket.claimants.set(vm, claimant);
	}

	return claimant;
}

/** Forgets what holders waited for and no longer do. */
export function expireClaims(bucket: Bucket, nowMs: number): void {
	let isIdle = true;
	for (const [vm, claimant] of bucket.claimants) {
		claimant.waiting = claimant.waitsUntilMs > nowMs ? claimant.waiting : 0;
		if (claimant.untilMs > nowMs) {
			isIdle = false;
			continue;
		}

		claimant.wanted = 0;
		claimant.waiting = 0;
		claimant.isShort = false;
		// A holder that has had no more than the others needs no memory of it.
		if (claimant.finish <= bucket.virtualTokens) {
			bucket.claimants.delete(vm);
		} else {
			isIdle &&= claimant.untilMs + waitingValidityMs <= nowMs;
		}
	}

	if (isIdle) {
		bucket.claimants.clear();
	}
}

/** A holder that asks. */
type Claim = {readonly vm: VmId; readonly tag: number; readonly order: number; readonly atLeast: number};

/** What holders wait for that have had less than this one, or as much and waited before it, but for requests so large that this one's may pass them. */
export function keptAside(bucket: Bucket, {vm, tag, order, atLeast}: Claim): number {
	const passedTokens = atLeast > 0 ? atLeast * passingFactor : Number.POSITIVE_INFINITY;
	let total = 0;
	for (const [other, claimant] of bucket.claimants) {
		const isBefore = claimant.tag < tag || (claimant.tag === tag && claimant.order < order);
		if (other !== vm && isBefore && claimant.waiting < passedTokens) {
			total += claimant.waiting;
		}
	}

	return total;
}

/** Largest amount that each may have of `spare` tokens, where those that ask for less leave the rest to the others; infinite if all get what they ask for. */
export function fairPart(claimants: ReadonlyMap<VmId, Claimant>, spare: number): number {
	const amounts = [...claimants.values()].map(({wanted}) => wanted).filter(wanted => wanted > 0).sort((a, b) => a - b);
	let left = spare;
	for (const [i, wanted] of amounts.entries()) {
		const part = left / (amounts.length - i);
		if (wanted >= part) {
			return part;
		}

		left -= wanted;
	}

	return Number.POSITIVE_INFINITY;
}
