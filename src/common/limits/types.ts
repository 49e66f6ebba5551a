import type {VmId} from '../core/types.js';

/** Fleet-wide rate limit of a customer. */
export type CustomerLimit = {
	/** Refill rate of the token bucket, in tokens per second. */
	readonly rate: number;
	/** Capacity of the token bucket, in tokens. */
	readonly burst: number;
};

/** Time for which an entry process may spend an advance grant (a grant that no request waits for), in milliseconds; counted from when the process sent the sync that got the grant. */
export const advanceGrantValidityMs = 1000;
/** Time for which the bucket owner counts an advance grant as outstanding after its answer, in milliseconds; longer than `advanceGrantValidityMs`, since clocks differ in rate. */
export const ownerAdvanceGrantValidityMs = 1100;
/**
Time for which an entry process may spend an on-demand grant (a grant that a request waits for), in milliseconds; counted from when the process
sent the sync that got the grant. Short, since such a grant is spent on arrival, and since a new leader grants nothing until the on-demand grants
of its predecessor have expired. A sync also times out after this time.
*/
export const onDemandGrantValidityMs = 400;
/** Time for which the bucket owner counts an on-demand grant as outstanding after its answer, in milliseconds; longer than `onDemandGrantValidityMs`, since clocks differ in rate. */
export const ownerOnDemandGrantValidityMs = 440;
/** Largest share of a burst that may be outstanding in advance grants. A new leader does not know how much its predecessor granted, so it assumes that the whole share is outstanding. */
export const maxAdvanceShare = 0.5;
/** Time after a sync for which the demand of an entry process counts, and the longest time for which tokens stay reserved for its waiting request, in milliseconds. */
export const demandTtlMs = 1000;

/** Ratio of sizes from which a small request overtakes a large one that is waiting, so that a lookup of 200 tokens does not wait behind a prompt of thousands. */
export const overtakeFactor = 10;

/** A grant as the bucket owner records it. */
export type OwnedGrant = {
	readonly id: number;
	readonly tenant: string;
	readonly vm: VmId;
	readonly incarnation: number;
	/** Tokens of the grant that its holder has not yet reported as spent. */
	left: number;
	/** Whether this is an advance grant, which no request waited for. */
	readonly isAdvance: boolean;
	readonly tokens: number;
	/** Time at which the owner counts the tokens that are left as spent; undefined until the answer with the grant is sent. */
	expiresMs: number | undefined;
};

export type * from './headroom.js';
export type * from './bucket-owner.js';
export type * from './grant-holder.js';
