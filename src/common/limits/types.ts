import type {VmId} from '../core/types.js';

/** Fleet-wide rate limit of a tenant. */
export type TenantLimit = {
	/** Refill rate of the token bucket, in tokens per second. */
	readonly rate: number;
	/** Capacity of the token bucket, in tokens. */
	readonly burst: number;
};

/** Time for which a holder may spend an advance grant, which no request waits for; counted by the holder from when it sent the sync. */
export const advanceGrantValidityMs = 1000;
/** Time for which the owner counts an advance grant as outstanding after its answer; longer than the holder's time, since clocks differ in rate. */
export const ownerAdvanceGrantValidityMs = 1100;
/**
Time for which a holder may spend an on-demand grant, which a request waits for; counted by the holder from when it sent the sync.
Short, since such a grant is spent on arrival and a new leader grants nothing until those of its predecessor have expired. Also the timeout of a sync.
*/
export const onDemandGrantValidityMs = 400;
/** Time for which the owner counts an on-demand grant as outstanding after its answer; longer than the holder's time, since clocks differ in rate. */
export const ownerOnDemandGrantValidityMs = 440;
/** Largest share of a burst that may be outstanding in advance grants. A new leader does not know how much its predecessor granted, so it assumes all of this share. */
export const maxAdvanceShare = 0.5;
/** Time after a sync for which the holder's demand counts, and the longest time for which tokens stay reserved for it. */
export const demandTtlMs = 1000;

/** A request overtakes waiting requests that need at least this many times its tokens, so that a lookup of 200 tokens does not wait behind a prompt of thousands. */
export const overtakeFactor = 10;

/** A grant as the bucket owner records it. */
export type OwnedGrant = {
	readonly id: number;
	readonly tenant: string;
	readonly vm: VmId;
	readonly incarnation: number;
	/** Tokens not reported as spent. */
	left: number;
	/** Whether this is an advance grant, which no request waited for. */
	readonly isAdvance: boolean;
	readonly tokens: number;
	/** Undefined until the answer with the grant is sent. */
	expiresMs: number | undefined;
};

export type * from './headroom.js';
export type * from './bucket-owner.js';
export type * from './grant-holder.js';
