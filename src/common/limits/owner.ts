/**
Token buckets of the leader.
Level plus outstanding grants never exceeds the burst, so what all entry processes together consume
in any window of length t is at most burst + rate * t.
*/
import type {
	AllowanceReport, Grant, Shortage, Want,
} from '../control/messages.js';
import type {VmId, VmIdentity} from '../core/types.js';
import {HeadroomHistory} from './headroom.js';
import {ownerValidityMs, waitingValidityMs} from './types.js';
import type {OwnedGrant, TenantLimit} from './types.js';

/** Grant ids of one term; ids of later terms are higher, so a report never meets another leader's grant. */
const grantsPerTerm = 2 ** 32;
/** Smallest portion worth a grant, in tokens. */
const smallestGrant = 1;

type Claimant = {readonly tokens: number; readonly untilMs: number};
/** `tag` is the virtual time at which the claim is due: tokens that its holder had before, compared with the others. */
type Waiting = Claimant & {readonly tag: number};

type Bucket = {
	limit: TenantLimit;
	/** Negative after a charge that the bucket could not cover. */
	level: number;
	outstanding: number;
	updatedMs: number;
	readonly headroom: HeadroomHistory;
	/** Holders whose waiting request was not covered. */
	readonly waiting: Map<VmId, Waiting>;
	/** Tag of the last claim that was covered. */
	virtualTokens: number;
	/** Virtual time at which each holder's last portion ends; a holder that is not there has had less than the others. */
	readonly finish: Map<VmId, number>;
	/** What each holder asked for recently. */
	readonly demand: Map<VmId, Claimant>;
};

type LimitRecord = {readonly limit: TenantLimit; readonly sinceMs: number};

/** What a sync gets; the grants count from now on, and expire after `confirm`. */
export type Allotment = {
	readonly grants: readonly Grant[];
	readonly shortages: readonly Shortage[];
};

/** The bucket owner of one term of leadership. */
export class AllowanceOwner {
	private _limits = new Map<string, LimitRecord>();
	private readonly _buckets = new Map<string, Bucket>();
	private readonly _grants = new Map<number, OwnedGrant>();
	/** Confirmed grants in the order of their expiry. */
	private _expiring: OwnedGrant[] = [];
	private _nextGrant = 1;

	/** @param startMs - when this term's leadership began */
	constructor(readonly term: number, private readonly _startMs: number) {}

	get bucketCount(): number {
		return this._buckets.size;
	}

	/** Sets every tenant's limit; a tenant that was not there before starts with an empty bucket. */
	setLimits(limits: Iterable<readonly [string, TenantLimit]>, nowMs: number): void {
		const isFirst = this._limits.size === 0;
		const next = new Map<string, LimitRecord>();
		for (const [tenant, {rate, burst}] of limits) {
			const known = this._limits.get(tenant);
			const isSame = known?.limit.rate === rate && known.limit.burst === burst;
			next.set(tenant, isSame ? known : {limit: {rate, burst}, sinceMs: known?.sinceMs ?? (isFirst ? this._startMs : nowMs)});
			if (known && !isSame) {
				this._changeLimit(tenant, {rate, burst}, nowMs);
			}
		}

		this._limits = next;
		for (const tenant of this._buckets.keys()) {
			if (!next.has(tenant)) {
				this._buckets.delete(tenant);
			}
		}

		for (const {id, tenant} of this._grants.values()) {
			if (!next.has(tenant)) {
				this._grants.delete(id);
			}
		}
	}

	/** Takes a holder's report and reserves what it gets. Nothing may be sent before a read-index that begins after this call. */
	allot(holder: VmIdentity, report: AllowanceReport, nowMs: number): Allotment {
		this._expire(nowMs);
		this._takeReport(holder, report, nowMs);
		const grants: Grant[] = [];
		const shortages: Shortage[] = [];
		const startsInMs = this._startMs + ownerValidityMs - nowMs;
		for (const want of report.wanted) {
			const bucket = this._bucket(want.tenant, nowMs);
			if (!bucket) {
				continue;
			}

			// Grants of an earlier leader may still be spent.
			const tokens = startsInMs > 0 ? 0 : this._portion(bucket, holder.vm, want, nowMs);
			if (tokens >= smallestGrant) {
				grants.push(this._grant(bucket, holder, want.tenant, tokens));
			}

			if (want.atLeast > 0 && tokens < want.atLeast) {
				shortages.push({tenant: want.tenant, waitMs: Math.max(startsInMs, this._timeToCover(bucket, holder.vm, want.atLeast))});
			}
		}

		return {grants, shortages};
	}

	/** The answer with these grants is being sent; they expire from now. */
	confirm(grants: readonly Grant[], nowMs: number): void {
		for (const {id} of grants) {
			const grant = this._grants.get(id);
			if (grant) {
				grant.expiresMs = nowMs + ownerValidityMs;
				this._expiring.push(grant);
			}
		}
	}

	/** The answer with these grants was never sent. */
	revoke(grants: readonly Grant[], nowMs: number): void {
		for (const {id} of grants) {
			const grant = this._grants.get(id);
			if (grant) {
				this._close(grant, grant.left, nowMs);
			}
		}
	}

	/** Frees what can be computed again; call it every few seconds. */
	trim(nowMs: number): void {
		this._expire(nowMs);
		for (const tenant of this._buckets.keys()) {
			const bucket = this._bucket(tenant, nowMs)!;
			const {sinceMs, limit} = this._limits.get(tenant)!;
			dropExpired(bucket.waiting, nowMs);
			dropExpired(bucket.demand, nowMs);
			for (const [vm, finish] of bucket.finish) {
				if (finish <= bucket.virtualTokens) {
					bucket.finish.delete(vm);
				}
			}

			const isFull = bucket.outstanding === 0 && bucket.level >= limit.burst && levelSince(limit, nowMs - sinceMs) >= limit.burst;
			if (isFull && bucket.waiting.size === 0 && bucket.demand.size === 0) {
				this._buckets.delete(tenant);
			}
		}
	}

	/** The bucket with its level at `nowMs`; undefined for an unknown tenant. */
	private _bucket(tenant: string, nowMs: number): Bucket | undefined {
		const bucket = this._buckets.get(tenant);
		if (bucket) {
			refill(bucket, nowMs);
			return bucket;
		}

		const record = this._limits.get(tenant);
		if (!record) {
			return undefined;
		}

		const {limit, sinceMs} = record;
		const created: Bucket = {
			limit,
			level: levelSince(limit, nowMs - sinceMs),
			outstanding: 0,
			updatedMs: nowMs,
			headroom: new HeadroomHistory(),
			waiting: new Map(),
			virtualTokens: 0,
			finish: new Map(),
			demand: new Map(),
		};
		noteHeadroom(created, nowMs);
		this._buckets.set(tenant, created);
		return created;
	}

	private _changeLimit(tenant: string, limit: TenantLimit, nowMs: number): void {
		// The bucket is made at the old limit, so that its level does not jump to the new burst.
		const bucket = this._bucket(tenant, nowMs)!;
		bucket.limit = limit;
		bucket.level = Math.min(bucket.level, limit.burst - bucket.outstanding);
		noteHeadroom(bucket, nowMs);
	}

	private _takeReport(holder: VmIdentity, {spent, returned, refunds, charges}: AllowanceReport, nowMs: number): void {
		for (const {grant: id, tokens} of spent) {
			const grant = this._ownGrant(id, holder);
			if (grant) {
				this._spend(grant, tokens, nowMs);
			}
		}

		for (const {grant: id, tokens} of returned) {
			const grant = this._ownGrant(id, holder);
			if (grant) {
				this._close(grant, Math.min(tokens, grant.left), nowMs);
			}
		}

		for (const {tenant, tokens} of charges) {
			const bucket = this._bucket(tenant, nowMs);
			if (bucket) {
				bucket.level -= tokens;
			}
		}

		for (const {tenant, stamp, tokens} of refunds) {
			const bucket = stamp.term === this.term ? this._bucket(tenant, nowMs) : undefined;
			if (bucket) {
				bucket.level += Math.max(0, Math.min(tokens, bucket.headroom.lowestSince(stamp.atMs)));
				noteHeadroom(bucket, nowMs);
			}
		}
	}

	private _ownGrant(id: number, {vm, incarnation}: VmIdentity): OwnedGrant | undefined {
		const grant = this._grants.get(id);
		return grant?.vm === vm && grant.incarnation === incarnation ? grant : undefined;
	}

	/** @param total - tokens spent of the grant since it was given */
	private _spend(grant: OwnedGrant, total: number, nowMs: number): void {
		const newlySpent = Math.min(grant.left, Math.max(0, total - (grant.tokens - grant.left)));
		const bucket = this._bucket(grant.tenant, nowMs);
		grant.left -= newlySpent;
		if (bucket) {
			bucket.outstanding -= newlySpent;
		}

		if (grant.left <= 0) {
			this._grants.delete(grant.id);
		}
	}

	/** Ends a grant; `returned` of its tokens go back, the rest counts as spent. */
	private _close(grant: OwnedGrant, returned: number, nowMs: number): void {
		this._grants.delete(grant.id);
		const bucket = this._bucket(grant.tenant, nowMs);
		if (bucket) {
			bucket.outstanding = Math.max(0, bucket.outstanding - grant.left);
			bucket.level += returned;
		}
	}

	private _expire(nowMs: number): void {
		let count = 0;
		while (count < this._expiring.length && this._expiring[count]!.expiresMs! <= nowMs) {
			const grant = this._expiring[count++]!;
			if (this._grants.has(grant.id)) {
				this._close(grant, 0, nowMs);
			}
		}

		if (count > 0) {
			this._expiring = this._expiring.slice(count);
		}
	}

	private _grant(bucket: Bucket, {vm, incarnation}: VmIdentity, tenant: string, tokens: number): Grant {
		const id = (this.term * grantsPerTerm) + this._nextGrant++;
		bucket.level -= tokens;
		bucket.outstanding += tokens;
		this._grants.set(id, {
			id, tenant, vm, incarnation, left: tokens, tokens, expiresMs: undefined,
		});
		return {id, tenant, tokens};
	}

	/** Tokens for a want: the whole of what a waiting request needs, then a fair part of what nobody waits for. */
	private _portion(bucket: Bucket, vm: VmId, {tokens, atLeast}: Want, nowMs: number): number {
		dropExpired(bucket.waiting, nowMs);
		dropExpired(bucket.demand, nowMs);
		const tag = bucket.waiting.get(vm)?.tag ?? Math.max(bucket.virtualTokens, bucket.finish.get(vm) ?? 0);
		const free = bucket.level - keptAside(bucket, vm, tag);
		bucket.demand.set(vm, {tokens, untilMs: nowMs + waitingValidityMs});
		if (free < atLeast) {
			// Tokens are kept aside for it, or small requests elsewhere would always overtake a large one.
			bucket.waiting.set(vm, {tokens: atLeast, untilMs: nowMs + waitingValidityMs, tag});
			return 0;
		}

		bucket.waiting.delete(vm);
		const spare = Math.max(0, bucket.level - atLeast - sum(bucket.waiting));
		const portion = Math.floor(Math.max(atLeast, Math.min(tokens, atLeast + fairPart(bucket.demand, spare))));
		bucket.virtualTokens = Math.max(bucket.virtualTokens, tag);
		bucket.finish.set(vm, tag + portion);
		return portion;
	}

	private _timeToCover(bucket: Bucket, vm: VmId, tokens: number): number {
		const tag = bucket.waiting.get(vm)?.tag ?? bucket.virtualTokens;
		const missing = keptAside(bucket, vm, tag) + tokens - bucket.level;
		return Math.max(0, missing / bucket.limit.rate * 1000);
	}
}

function levelSince({rate, burst}: TenantLimit, elapsedMs: number): number {
	return Math.min(burst, rate * Math.max(0, elapsedMs) / 1000);
}

function refill(bucket: Bucket, nowMs: number): void {
	const elapsedMs = Math.max(0, nowMs - bucket.updatedMs);
	if (elapsedMs === 0) {
		return;
	}

	const room = Math.max(bucket.level, bucket.limit.burst - bucket.outstanding);
	bucket.level = Math.min(bucket.level + (bucket.limit.rate * elapsedMs / 1000), room);
	bucket.updatedMs = nowMs;
	noteHeadroom(bucket, nowMs);
}

function noteHeadroom(bucket: Bucket, nowMs: number): void {
	bucket.headroom.note(nowMs, bucket.limit.burst - bucket.level - bucket.outstanding);
}

function dropExpired(claimants: Map<VmId, Claimant> | Map<VmId, Waiting>, nowMs: number): void {
	for (const [vm, {untilMs}] of claimants) {
		if (untilMs <= nowMs) {
			claimants.delete(vm);
		}
	}
}

function sum(claimants: ReadonlyMap<VmId, Claimant>): number {
	let total = 0;
	for (const {tokens} of claimants.values()) {
		total += tokens;
	}

	return total;
}

/** What holders wait for that have had less than this one. */
function keptAside(bucket: Bucket, vm: VmId, tag: number): number {
	let total = 0;
	for (const [other, waiting] of bucket.waiting) {
		if (other !== vm && waiting.tag < tag) {
			total += waiting.tokens;
		}
	}

	return total;
}

/** Largest amount that each may have of `spare` tokens, where those that ask for less leave the rest to the others. */
function fairPart(demand: ReadonlyMap<VmId, Claimant>, spare: number): number {
	const wanted = [...demand.values()].map(({tokens}) => tokens).sort((a, b) => a - b);
	let left = spare;
	for (const [i, tokens] of wanted.entries()) {
		const part = left / (wanted.length - i);
		if (tokens >= part) {
			return part;
		}

		left -= tokens;
	}

	return left;
}
