/**
Token buckets of the leader.
Level, outstanding grants and what an earlier leader may have granted never exceed the burst together, so what all entry processes
consume in any window of length t is at most burst + rate * t.
*/
import type {
	AllowanceReport, Grant, Handover, Shortage, Want,
} from '../control/messages.js';
import type {VmId, VmIdentity} from '../core/types.js';
import {
	claimantOf, createBucket, expireClaims, fairPart, keptAside, levelSince, noteHeadroom, noteSize, refill, roomOf, unknownOf,
} from './bucket.js';
import type {Bucket} from './bucket.js';
import {
	advanceShare, ownerAskedValidityMs, ownerValidityMs, waitingValidityMs,
} from './types.js';
import type {OwnedGrant, TenantLimit} from './types.js';

/** Grant ids of one term; ids of later terms are higher, so a report never meets another leader's grant. */
const grantsPerTerm = 2 ** 32;
/** When to ask again for tokens that other holders may give back at their next sync. */
const returnPollMs = 100;
/** Smallest portion worth a grant, in tokens. */
const smallestGrant = 1;

/** Tokens for a request that waits, and tokens in advance. */
type Portion = {readonly asked: number; readonly advance: number};

const noPortion: Portion = {asked: 0, advance: 0};

type LimitRecord = {readonly limit: TenantLimit; readonly sinceMs: number};

/** What a sync gets; the grants count from now on, and expire after `confirm`. */
export type Allotment = {
	readonly grants: readonly Grant[];
	readonly shortages: readonly Shortage[];
};

/** The bucket owner of one term of leadership. */
export class AllowanceOwner {
	private _limits = new Map<string, LimitRecord>();
	private _hadLimits = false;
	private readonly _buckets = new Map<string, Bucket>();
	private readonly _grants = new Map<number, OwnedGrant>();
	/** Confirmed grants in the order of their expiry, those that requests wait for and those in advance. */
	private _expiringAsked: OwnedGrant[] = [];
	private _expiringAdvance: OwnedGrant[] = [];
	private _nextGrant = 1;
	/** Tenants for whose buckets each holder has a request waiting. */
	private readonly _waitingFor = new Map<VmId, Set<string>>();

	/**
	@param startMs - when this term's leadership began
	@param silenceMs - for how long before that the former leader cannot have granted anything
	*/
	constructor(readonly term: number, private readonly _startMs: number, private _silenceMs = 0) {}

	get bucketCount(): number {
		return this._buckets.size;
	}

	/** Sets every tenant's limit; a tenant that was not there before starts with an empty bucket. */
	setLimits(limits: Iterable<readonly [string, TenantLimit]>, nowMs: number): void {
		const isFirst = !this._hadLimits;
		const next = new Map<string, LimitRecord>();
		for (const [tenant, {rate, burst}] of limits) {
			const known = this._limits.get(tenant);
			const isSame = known?.limit.rate === rate && known.limit.burst === burst;
			next.set(tenant, isSame ? known : {limit: {rate, burst}, sinceMs: known?.sinceMs ?? (isFirst ? this._startsAtMs : nowMs)});
			if (known && !isSame) {
				this._changeLimit(tenant, {rate, burst}, nowMs);
			}
		}

		this._hadLimits ||= next.size > 0;
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
		const startsInMs = this._startsInMs(nowMs);
		this._endWaits(holder.vm, report.wanted);
		for (const want of report.wanted) {
			const bucket = this._bucket(want.tenant, nowMs);
			if (!bucket) {
				continue;
			}

			// Grants of an earlier leader may still be spent.
			const {asked, advance} = startsInMs > 0 ? noPortion : this._portion(bucket, holder.vm, want, nowMs);
			if (asked > 0) {
				grants.push(this._grant(bucket, holder, {tenant: want.tenant, tokens: asked, isAdvance: false}));
			}

			if (advance >= smallestGrant) {
				grants.push(this._grant(bucket, holder, {tenant: want.tenant, tokens: advance, isAdvance: true}));
			}

			if (asked < want.atLeast) {
				shortages.push({tenant: want.tenant, waitMs: Math.max(startsInMs, this._timeToCover(bucket, holder.vm, want.atLeast)), isPause: startsInMs > 0});
			}
		}

		return {grants, shortages};
	}

	/** The answer with these grants is being sent; they expire from now. */
	confirm(grants: readonly Grant[], nowMs: number): void {
		for (const {id} of grants) {
			const grant = this._grants.get(id);
			if (grant) {
				grant.expiresMs = nowMs + (grant.isAdvance ? ownerValidityMs : ownerAskedValidityMs);
				this._expiringOf(grant).push(grant);
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

	/** What a successor needs to go on without a pause. Nothing may be granted or confirmed after this call. */
	handOver(nowMs: number): Handover {
		this._expire(nowMs);
		const grants = [...this._grants.values()];
		this.revoke(grants.filter(({expiresMs}) => expiresMs === undefined), nowMs);
		return {
			type: 'control/handover',
			term: this.term,
			pauseMs: Math.max(0, this._unknownUntilMs - nowMs),
			buckets: [...this._buckets.keys()].map(tenant => {
				const {level} = this._bucket(tenant, nowMs)!;
				return {tenant, level};
			}),
			grants: [...this._grants.values()].map(({vm, incarnation, expiresMs, ...grant}) => ({...grant, holder: {vm, incarnation}, expiresInMs: expiresMs! - nowMs})),
		};
	}

	/** Goes on where the former leader stopped, instead of pausing until its grants have expired. Limits must be set before. */
	takeOver({pauseMs, buckets, grants}: Handover, nowMs: number): void {
		this._silenceMs = ownerValidityMs - pauseMs;
		for (const [tenant, {limit, sinceMs}] of this._limits) {
			// Not before this term: a tenant without a bucket may have been added just then.
			this._limits.set(tenant, {limit, sinceMs: Math.min(sinceMs, Math.max(this._startMs, this._startsAtMs))});
		}

		for (const {holder, expiresInMs, ...grant} of grants) {
			const bucket = this._bucket(grant.tenant, nowMs);
			if (bucket) {
				bucket.outstanding += grant.left;
				bucket.advance += grant.isAdvance ? grant.left : 0;
				const owned = {...grant, ...holder, expiresMs: nowMs + expiresInMs};
				this._grants.set(grant.id, owned);
				this._expiringOf(owned).push(owned);
			}
		}

		for (const expiring of [this._expiringAsked, this._expiringAdvance]) {
			expiring.sort((a, b) => a.expiresMs! - b.expiresMs!);
		}

		for (const {tenant, level} of buckets) {
			const bucket = this._bucket(tenant, nowMs);
			if (bucket) {
				bucket.level = Math.min(level, roomOf(bucket));
				noteHeadroom(bucket, nowMs);
			}
		}
	}

	/** Frees what can be computed again; call it every few seconds. */
	trim(nowMs: number): void {
		this._expire(nowMs);
		for (const tenant of this._buckets.keys()) {
			const bucket = this._bucket(tenant, nowMs)!;
			const {sinceMs, limit} = this._limits.get(tenant)!;
			expireClaims(bucket, nowMs);
			const isFull = bucket.outstanding === 0 && bucket.level >= limit.burst && levelSince(limit, nowMs - sinceMs) >= limit.burst;
			if (isFull && bucket.claimants.size === 0) {
				this._buckets.delete(tenant);
			}
		}
	}

	/** When every grant of an earlier leader has expired. */
	private get _unknownUntilMs(): number {
		return this._startMs + ownerValidityMs - this._silenceMs;
	}

	/** When those of its grants that requests waited for have expired, and this one begins. */
	private get _startsAtMs(): number {
		return this._unknownUntilMs - ownerValidityMs + ownerAskedValidityMs;
	}

	private _startsInMs(nowMs: number): number {
		return this._startsAtMs - nowMs;
	}

	private _expiringOf({isAdvance}: OwnedGrant): OwnedGrant[] {
		return isAdvance ? this._expiringAdvance : this._expiringAsked;
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
		const created = createBucket(limit, Math.min(nowMs, sinceMs), this._unknownUntilMs);
		refill(created, nowMs);
		this._buckets.set(tenant, created);
		return created;
	}

	private _changeLimit(tenant: string, limit: TenantLimit, nowMs: number): void {
		// The bucket is made at the old limit, so that its level does not jump to the new burst.
		const bucket = this._bucket(tenant, nowMs)!;
		bucket.limit = limit;
		bucket.level = Math.min(bucket.level, roomOf(bucket));
		noteHeadroom(bucket, nowMs);
	}

	/** Nothing is kept aside for what the holder asked for before: it was answered or given up, unless the holder asks again. */
	private _endWaits(vm: VmId, wanted: readonly Want[]): void {
		const tenants = this._waitingFor.get(vm) ?? new Set();
		const next = new Set(wanted.filter(({atLeast}) => atLeast > 0).map(({tenant}) => tenant));
		for (const tenant of tenants) {
			const claimant = next.has(tenant) ? undefined : this._buckets.get(tenant)?.claimants.get(vm);
			if (claimant) {
				claimant.waiting = 0;
			}
		}

		if (next.size > 0) {
			this._waitingFor.set(vm, next);
		} else {
			this._waitingFor.delete(vm);
		}
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
				bucket.level += bucket.headroom.take(stamp.atMs, tokens);
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
			bucket.advance -= grant.isAdvance ? newlySpent : 0;
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
			bucket.advance = Math.max(0, bucket.advance - (grant.isAdvance ? grant.left : 0));
			bucket.level += returned;
		}
	}

	private _expire(nowMs: number): void {
		this._expiringAsked = this._expireFirst(this._expiringAsked, nowMs);
		this._expiringAdvance = this._expireFirst(this._expiringAdvance, nowMs);
	}

	/** Ends the grants whose time is over and returns the others. */
	private _expireFirst(expiring: OwnedGrant[], nowMs: number): OwnedGrant[] {
		let count = 0;
		while (count < expiring.length && expiring[count]!.expiresMs! <= nowMs) {
			const grant = expiring[count++]!;
			const bucket = this._buckets.get(grant.tenant);
			if (this._grants.has(grant.id) && bucket) {
				refill(bucket, grant.expiresMs!);
				this._close(grant, 0, grant.expiresMs!);
			}
		}

		return count > 0 ? expiring.slice(count) : expiring;
	}

	private _grant(bucket: Bucket, {vm, incarnation}: VmIdentity, {tenant, tokens, isAdvance}: Omit<Grant, 'id'>): Grant {
		const id = (this.term * grantsPerTerm) + this._nextGrant++;
		bucket.level -= tokens;
		bucket.outstanding += tokens;
		bucket.advance += isAdvance ? tokens : 0;
		this._grants.set(id, {
			id, tenant, vm, incarnation, left: tokens, isAdvance, tokens, expiresMs: undefined,
		});
		return {
			id, tenant, tokens, isAdvance,
		};
	}

	/** Tokens for a want: the whole of what a waiting request needs, then a fair part of what nobody waits for. */
	private _portion(bucket: Bucket, vm: VmId, {tokens, atLeast, waitMs}: Want, nowMs: number): Portion {
		expireClaims(bucket, nowMs);
		const claimant = claimantOf(bucket, vm);
		claimant.tag = claimant.isShort ? claimant.tag : Math.max(bucket.virtualTokens, claimant.finish);
		claimant.wanted = tokens;
		claimant.untilMs = nowMs + waitingValidityMs;
		noteSize(bucket, atLeast, nowMs);
		if (bucket.level - keptAside(bucket, {...claimant, vm, atLeast}) < atLeast) {
			// Tokens are kept aside for it, or small requests elsewhere would always overtake a large one. One that cannot be covered in time is refused by its holder.
			const isWaiting = this._timeToCover(bucket, vm, atLeast) <= waitMs;
			claimant.order = isWaiting && claimant.waiting === 0 ? bucket.waitCount++ : claimant.order;
			claimant.waiting = isWaiting ? atLeast : 0;
			claimant.isShort = true;
			claimant.waitsUntilMs = nowMs + Math.min(waitMs, waitingValidityMs);
			return noPortion;
		}

		claimant.waiting = 0;
		claimant.order = Infinity;
		claimant.isShort = false;
		// Tokens held in advance at other processes would be lacking to the next large request.
		const reserved = Math.max(bucket.largest.tokens, keptAside(bucket, {
			vm, tag: Infinity, order: Infinity, atLeast: Infinity,
		}));
		const advanceLeft = (bucket.limit.burst * advanceShare) - bucket.advance - unknownOf(bucket);
		const spare = Math.max(0, Math.min(bucket.level - atLeast - reserved, advanceLeft));
		const advance = Math.floor(Math.max(0, Math.min(tokens - atLeast, fairPart(bucket.claimants, spare), spare)));
		bucket.virtualTokens = Math.max(bucket.virtualTokens, claimant.tag);
		claimant.finish = claimant.tag + atLeast + advance;
		return {asked: atLeast, advance};
	}

	private _timeToCover(bucket: Bucket, vm: VmId, tokens: number): number {
		const {tag, order} = bucket.claimants.get(vm) ?? {tag: bucket.virtualTokens, order: Infinity};
		const kept = keptAside(bucket, {
			vm, tag, order, atLeast: tokens,
		});
		const missing = kept + tokens - bucket.level;
		const refillMs = Math.max(0, missing / bucket.limit.rate * 1000);
		// Other holders may give back what they hold in advance, so the request need not be refused yet.
		return missing <= bucket.advance ? Math.min(refillMs, returnPollMs) : refillMs;
	}
}
