/**
Token buckets of all customers, owned by the leader of the control VMs.
The sum of a bucket's level, its outstanding grants and the tokens that an earlier leader may have granted never exceeds the burst,
so all entry processes together consume at most burst + rate * t tokens in any window of length t.
*/
import type {
	AllowanceReport, Grant, Handover, TokenShortage, TokenRequest,
} from '../control/messages.js';
import type {VmId, VmIdentity} from '../core/types.js';
import {
	createBucket, expireDemands, fairShare, getOrCreateDemand, levelAfterRefill, levelCap, predecessorAdvance, recordHeadroom, recordRequestSize, refill, tokensReservedAhead,
} from './bucket.js';
import type {Bucket} from './bucket.js';
import {
	demandTtlMs, maxAdvanceShare, ownerAdvanceGrantValidityMs, ownerOnDemandGrantValidityMs,
} from './types.js';
import type {OwnedGrant, CustomerLimit} from './types.js';

/** Number of grant ids per term. Each term has its own range of ids, so a holder's report never matches a grant of another leader. */
const grantIdsPerTerm = 2 ** 32;
/** Longest wait announced for a request that advance grants of other holders could cover, in milliseconds, since these holders may return unspent tokens at their next sync. */
const returnPollMs = 100;
/** Smallest advance grant, in tokens. */
const minAdvanceGrantTokens = 1;

/** Tokens granted for a waiting request, and tokens granted in advance. */
type GrantAmounts = {readonly onDemand: number; readonly advance: number};

const noGrants: GrantAmounts = {onDemand: 0, advance: 0};

/** A customer's limit, and the time from which its bucket fills, starting empty. */
type LimitRecord = {readonly limit: CustomerLimit; readonly sinceMs: number};

/** Grants and shortages for the answer to a sync. The grants count as outstanding at once, and their validity starts at `confirm`. */
export type SyncGrants = {
	readonly grants: readonly Grant[];
	readonly shortages: readonly TokenShortage[];
};

/** Owns the token buckets during one term of leadership. */
export class BucketOwner {
	private _limits = new Map<string, LimitRecord>();
	private _hasHadLimits = false;
	private readonly _buckets = new Map<string, Bucket>();
	private readonly _grants = new Map<number, OwnedGrant>();
	/** Confirmed on-demand grants in the order of their expiry. */
	private _onDemandExpiryQueue: OwnedGrant[] = [];
	/** Confirmed advance grants in the order of their expiry. */
	private _advanceExpiryQueue: OwnedGrant[] = [];
	private _nextGrantIndex = 1;
	/** Customers with a waiting request, by the holder that reported the request. */
	private readonly _waitingCustomers = new Map<VmId, Set<string>>();

	/**
	@param startMs - when this term's leadership began
	@param predecessorSilenceMs - time before `startMs` during which the former leader cannot have granted anything, in milliseconds
	*/
	constructor(readonly term: number, private readonly _startMs: number, private _predecessorSilenceMs = 0) {}

	get bucketCount(): number {
		return this._buckets.size;
	}

	/** Sets the limits of all customers. A customer that had no limit before starts with an empty bucket. */
	setLimits(limits: Iterable<readonly [string, CustomerLimit]>, nowMs: number): void {
		const isFirst = !this._hasHadLimits;
		const next = new Map<string, LimitRecord>();
		for (const [customer, {rate, burst}] of limits) {
			const known = this._limits.get(customer);
			const isSame = known?.limit.rate === rate && known.limit.burst === burst;
			next.set(customer, isSame ? known : {limit: {rate, burst}, sinceMs: known?.sinceMs ?? (isFirst ? this._grantingStartMs : nowMs)});
			if (known && !isSame) {
				this._changeLimit(customer, {rate, burst}, nowMs);
			}
		}

		this._hasHadLimits ||= next.size > 0;
		this._limits = next;
		for (const customer of this._buckets.keys()) {
			if (!next.has(customer)) {
				this._buckets.delete(customer);
			}
		}

		for (const {id, tenant: customer} of this._grants.values()) {
			if (!next.has(customer)) {
				this._grants.delete(id);
			}
		}
	}

	/** Processes a holder's report and grants tokens. The answer may be sent only once a read-index that begins after this call has confirmed that this process still leads. */
	processReport(holder: VmIdentity, report: AllowanceReport, nowMs: number): SyncGrants {
		this._expireGrants(nowMs);
		this._applyReport(holder, report, nowMs);
		const grants: Grant[] = [];
		const shortages: TokenShortage[] = [];
		const msUntilGranting = this._msUntilGranting(nowMs);
		this._releaseReservations(holder.vm, report.wanted);
		for (const tokenRequest of report.wanted) {
			const bucket = this._refilledBucket(tokenRequest.tenant, nowMs);
			if (!bucket) {
				continue;
			}

			// On-demand grants of an earlier leader may still be spent before this leader starts to grant, so nothing is granted until then.
			const {onDemand, advance} = msUntilGranting > 0 ? noGrants : this._decideGrantAmounts(bucket, holder.vm, tokenRequest, nowMs);
			if (onDemand > 0) {
				grants.push(this._createGrant(bucket, holder, {tenant: tokenRequest.tenant, tokens: onDemand, isAdvance: false}));
			}

			if (advance >= minAdvanceGrantTokens) {
				grants.push(this._createGrant(bucket, holder, {tenant: tokenRequest.tenant, tokens: advance, isAdvance: true}));
			}

			if (onDemand < tokenRequest.atLeast) {
				shortages.push({tenant: tokenRequest.tenant, waitMs: Math.max(msUntilGranting, this._msUntilCovered(bucket, holder.vm, tokenRequest.atLeast)), isPause: msUntilGranting > 0});
			}
		}

		return {grants, shortages};
	}

	/** Starts the validity of grants when the answer that contains them is sent. */
	confirm(grants: readonly Grant[], nowMs: number): void {
		for (const {id} of grants) {
			const grant = this._grants.get(id);
			if (grant) {
				grant.expiresMs = nowMs + (grant.isAdvance ? ownerAdvanceGrantValidityMs : ownerOnDemandGrantValidityMs);
				this._expiryQueueOf(grant).push(grant);
			}
		}
	}

	/** Closes grants if the answer that contains them was never sent, and returns their tokens to the buckets. */
	revoke(grants: readonly Grant[], nowMs: number): void {
		for (const {id} of grants) {
			const grant = this._grants.get(id);
			if (grant) {
				this._closeGrant(grant, grant.left, nowMs);
			}
		}
	}

	/** Returns the state from which a successor continues without waiting until this leader's grants expire; revokes grants that were not confirmed. Nothing may be granted or confirmed after this call. */
	createHandover(nowMs: number): Handover {
		this._expireGrants(nowMs);
		const grants = [...this._grants.values()];
		this.revoke(grants.filter(({expiresMs}) => expiresMs === undefined), nowMs);
		return {
			type: 'control/handover',
			term: this.term,
			pauseMs: Math.max(0, this._predecessorExpiryMs - nowMs),
			buckets: [...this._buckets.keys()].map(customer => {
				const {level} = this._refilledBucket(customer, nowMs)!;
				return {tenant: customer, level};
			}),
			grants: [...this._grants.values()].map(({vm, incarnation, expiresMs, ...grant}) => ({...grant, holder: {vm, incarnation}, expiresInMs: expiresMs! - nowMs})),
		};
	}

	/** Continues from the state of the former leader, instead of waiting until the former leader's grants have expired. Limits must be set before this call. */
	applyHandover({pauseMs, buckets, grants}: Handover, nowMs: number): void {
		this._predecessorSilenceMs = ownerAdvanceGrantValidityMs - pauseMs;
		for (const [customer, {limit, sinceMs}] of this._limits) {
			// A customer that the handover does not name may have been added just before the handover, so its bucket fills from the start of this term at the earliest.
			this._limits.set(customer, {limit, sinceMs: Math.min(sinceMs, Math.max(this._startMs, this._grantingStartMs))});
		}

		for (const {holder, expiresInMs, ...grant} of grants) {
			const bucket = this._refilledBucket(grant.tenant, nowMs);
			if (bucket) {
				bucket.outstanding += grant.left;
				bucket.outstandingAdvance += grant.isAdvance ? grant.left : 0;
				const owned = {...grant, ...holder, expiresMs: nowMs + expiresInMs};
				this._grants.set(grant.id, owned);
				this._expiryQueueOf(owned).push(owned);
			}
		}

		for (const queue of [this._onDemandExpiryQueue, this._advanceExpiryQueue]) {
			queue.sort((a, b) => a.expiresMs! - b.expiresMs!);
		}

		for (const {tenant: customer, level} of buckets) {
			const bucket = this._refilledBucket(customer, nowMs);
			if (bucket) {
				bucket.level = Math.min(level, levelCap(bucket));
				recordHeadroom(bucket, nowMs);
			}
		}
	}

	/** Closes expired grants and removes buckets that are full and unused. A removed bucket is created again from its limit when it is needed. */
	trim(nowMs: number): void {
		this._expireGrants(nowMs);
		for (const customer of this._buckets.keys()) {
			const bucket = this._refilledBucket(customer, nowMs)!;
			const {sinceMs, limit} = this._limits.get(customer)!;
			expireDemands(bucket, nowMs);
			const isFull = bucket.outstanding === 0 && bucket.level >= limit.burst && levelAfterRefill(limit, nowMs - sinceMs) >= limit.burst;
			if (isFull && bucket.demands.size === 0) {
				this._buckets.delete(customer);
			}
		}
	}

	/** Time at which all grants of an earlier leader have expired. */
	private get _predecessorExpiryMs(): number {
		return this._startMs + ownerAdvanceGrantValidityMs - this._predecessorSilenceMs;
	}

	/** Time at which the on-demand grants of an earlier leader have expired and this leader starts to grant. */
	private get _grantingStartMs(): number {
		return this._predecessorExpiryMs - ownerAdvanceGrantValidityMs + ownerOnDemandGrantValidityMs;
	}

	private _msUntilGranting(nowMs: number): number {
		return this._grantingStartMs - nowMs;
	}

	private _expiryQueueOf({isAdvance}: OwnedGrant): OwnedGrant[] {
		return isAdvance ? this._advanceExpiryQueue : this._onDemandExpiryQueue;
	}

	/** Returns the bucket, refilled until `nowMs`; undefined for an unknown customer. */
	private _refilledBucket(customer: string, nowMs: number): Bucket | undefined {
		const bucket = this._buckets.get(customer);
		if (bucket) {
			refill(bucket, nowMs);
			return bucket;
		}

		const record = this._limits.get(customer);
		if (!record) {
			return undefined;
		}

		const {limit, sinceMs} = record;
		const created = createBucket(limit, Math.min(nowMs, sinceMs), this._predecessorExpiryMs);
		refill(created, nowMs);
		this._buckets.set(customer, created);
		return created;
	}

	private _changeLimit(customer: string, limit: CustomerLimit, nowMs: number): void {
		// `_limits` still has the old limit here, with which a missing bucket is created, so that its level does not jump to the new burst.
		const bucket = this._refilledBucket(customer, nowMs)!;
		bucket.limit = limit;
		bucket.level = Math.min(bucket.level, levelCap(bucket));
		recordHeadroom(bucket, nowMs);
	}

	/** Releases the reservations for requests that the holder no longer reports as waiting, since those requests were served or refused. */
	private _releaseReservations(vm: VmId, wanted: readonly TokenRequest[]): void {
		const customers = this._waitingCustomers.get(vm) ?? new Set();
		const waitingCustomers = new Set(wanted.filter(({atLeast}) => atLeast > 0).map(({tenant: customer}) => customer));
		for (const customer of customers) {
			const demand = waitingCustomers.has(customer) ? undefined : this._buckets.get(customer)?.demands.get(vm);
			if (demand) {
				demand.reservedTokens = 0;
			}
		}

		if (waitingCustomers.size > 0) {
			this._waitingCustomers.set(vm, waitingCustomers);
		} else {
			this._waitingCustomers.delete(vm);
		}
	}

	private _applyReport(holder: VmIdentity, {spent, returned, refunds, charges}: AllowanceReport, nowMs: number): void {
		for (const {grant: id, tokens} of spent) {
			const grant = this._findGrant(id, holder);
			if (grant) {
				this._recordSpent(grant, tokens, nowMs);
			}
		}

		for (const {grant: id, tokens} of returned) {
			const grant = this._findGrant(id, holder);
			if (grant) {
				this._closeGrant(grant, Math.min(tokens, grant.left), nowMs);
			}
		}

		for (const {tenant: customer, tokens} of charges) {
			const bucket = this._refilledBucket(customer, nowMs);
			if (bucket) {
				bucket.level -= tokens;
			}
		}

		for (const {tenant: customer, stamp, tokens} of refunds) {
			const bucket = stamp.term === this.term ? this._refilledBucket(customer, nowMs) : undefined;
			if (bucket) {
				bucket.level += bucket.headroom.consume(stamp.atMs, tokens);
				recordHeadroom(bucket, nowMs);
			}
		}
	}

	private _findGrant(id: number, {vm, incarnation}: VmIdentity): OwnedGrant | undefined {
		const grant = this._grants.get(id);
		return grant?.vm === vm && grant.incarnation === incarnation ? grant : undefined;
	}

	/** @param total - tokens spent from the grant since it was made */
	private _recordSpent(grant: OwnedGrant, total: number, nowMs: number): void {
		const newlySpent = Math.min(grant.left, Math.max(0, total - (grant.tokens - grant.left)));
		const bucket = this._refilledBucket(grant.tenant, nowMs);
		grant.left -= newlySpent;
		if (bucket) {
			bucket.outstanding -= newlySpent;
			bucket.outstandingAdvance -= grant.isAdvance ? newlySpent : 0;
		}

		if (grant.left <= 0) {
			this._grants.delete(grant.id);
		}
	}

	/** Closes a grant: `returned` of its tokens go back to the bucket, and the rest of the tokens counts as spent. */
	private _closeGrant(grant: OwnedGrant, returned: number, nowMs: number): void {
		this._grants.delete(grant.id);
		const bucket = this._refilledBucket(grant.tenant, nowMs);
		if (bucket) {
			bucket.outstanding = Math.max(0, bucket.outstanding - grant.left);
			bucket.outstandingAdvance = Math.max(0, bucket.outstandingAdvance - (grant.isAdvance ? grant.left : 0));
			bucket.level += returned;
		}
	}

	private _expireGrants(nowMs: number): void {
		this._onDemandExpiryQueue = this._closeExpiredGrants(this._onDemandExpiryQueue, nowMs);
		this._advanceExpiryQueue = this._closeExpiredGrants(this._advanceExpiryQueue, nowMs);
	}

	/** Closes the expired grants of a queue and returns the queue without them. */
	private _closeExpiredGrants(queue: OwnedGrant[], nowMs: number): OwnedGrant[] {
		let count = 0;
		while (count < queue.length && queue[count]!.expiresMs! <= nowMs) {
			const grant = queue[count++]!;
			const bucket = this._buckets.get(grant.tenant);
			if (this._grants.has(grant.id) && bucket) {
				refill(bucket, grant.expiresMs!);
				this._closeGrant(grant, 0, grant.expiresMs!);
			}
		}

		return count > 0 ? queue.slice(count) : queue;
	}

	private _createGrant(bucket: Bucket, {vm, incarnation}: VmIdentity, {tenant: customer, tokens, isAdvance}: Omit<Grant, 'id'>): Grant {
		const id = (this.term * grantIdsPerTerm) + this._nextGrantIndex++;
		bucket.level -= tokens;
		bucket.outstanding += tokens;
		bucket.outstandingAdvance += isAdvance ? tokens : 0;
		this._grants.set(id, {
			id, tenant: customer, vm, incarnation, left: tokens, isAdvance, tokens, expiresMs: undefined,
		});
		return {
			id, tenant: customer, tokens, isAdvance,
		};
	}

	/** Decides how much to grant for a token request: either all tokens that the waiting request lacks plus a fair share of the spare tokens in advance, or nothing. */
	private _decideGrantAmounts(bucket: Bucket, vm: VmId, {tokens, atLeast, waitMs}: TokenRequest, nowMs: number): GrantAmounts {
		expireDemands(bucket, nowMs);
		const demand = getOrCreateDemand(bucket, vm);
		demand.startTag = demand.isBacklogged ? demand.startTag : Math.max(bucket.virtualTime, demand.finishTag);
		demand.wantedTokens = tokens;
		demand.expiresMs = nowMs + demandTtlMs;
		recordRequestSize(bucket, atLeast, nowMs);
		if (bucket.level - tokensReservedAhead(bucket, {...demand, vm, atLeast}) < atLeast) {
			// Reserves tokens for the request, since otherwise small requests of other holders would always overtake a large one.
			// For a request that cannot be covered in time, none are reserved, since its holder refuses it.
			const canCoverInTime = this._msUntilCovered(bucket, vm, atLeast) <= waitMs;
			demand.arrivalOrder = canCoverInTime && demand.reservedTokens === 0 ? bucket.nextArrivalOrder++ : demand.arrivalOrder;
			demand.reservedTokens = canCoverInTime ? atLeast : 0;
			demand.isBacklogged = true;
			demand.reservedUntilMs = nowMs + Math.min(waitMs, demandTtlMs);
			return noGrants;
		}

		demand.reservedTokens = 0;
		demand.arrivalOrder = Infinity;
		demand.isBacklogged = false;
		// Withholds tokens from advance grants for the next large request, which could not use tokens granted to other holders.
		const withheldTokens = Math.max(bucket.largestRequest.tokens, tokensReservedAhead(bucket, {
			vm, startTag: Infinity, arrivalOrder: Infinity, atLeast: Infinity,
		}));
		const advanceLeft = (bucket.limit.burst * maxAdvanceShare) - bucket.outstandingAdvance - predecessorAdvance(bucket);
		const spare = Math.max(0, Math.min(bucket.level - atLeast - withheldTokens, advanceLeft));
		const advance = Math.floor(Math.max(0, Math.min(tokens - atLeast, fairShare(bucket.demands, spare), spare)));
		bucket.virtualTime = Math.max(bucket.virtualTime, demand.startTag);
		demand.finishTag = demand.startTag + atLeast + advance;
		return {onDemand: atLeast, advance};
	}

	private _msUntilCovered(bucket: Bucket, vm: VmId, tokens: number): number {
		const {startTag, arrivalOrder} = bucket.demands.get(vm) ?? {startTag: bucket.virtualTime, arrivalOrder: Infinity};
		const tokensAhead = tokensReservedAhead(bucket, {
			vm, startTag, arrivalOrder, atLeast: tokens,
		});
		const missingTokens = tokensAhead + tokens - bucket.level;
		const refillMs = Math.max(0, missingTokens / bucket.limit.rate * 1000);
		// If unspent advance grants would cover the request, a short wait is returned, so that the request is not refused before other holders can return these grants.
		return missingTokens <= bucket.outstandingAdvance ? Math.min(refillMs, returnPollMs) : refillMs;
	}
}
