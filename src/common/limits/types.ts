import type {VmId} from '../core/types.js';

/** A tenant's fleet-wide limit. */
export type TenantLimit = {
	/** Tokens per second. */
	readonly rate: number;
	/** Tokens. */
	readonly burst: number;
};

/** Time for which a grant in advance may be spent, counted by its holder from when it asked. */
export const grantValidityMs = 1000;
/** Time for which the owner counts it as outstanding, counted from its answer; longer, since clocks differ in rate. */
export const ownerValidityMs = 1100;
/** The same of a grant that a request waits for: it is spent as it arrives, and a new leader must wait as long before it grants anything. A sync is given up after as long. */
export const askedValidityMs = 400;
export const ownerAskedValidityMs = 440;
/** Share of a burst that may be out in advance. A new leader does not know how much its predecessor gave, and takes it for all of that. */
export const advanceShare = 0.5;
/** Longest time for which tokens are kept aside for a holder that did not come back for them. */
export const waitingValidityMs = 1000;

/** A request passes waiting ones that need this many times its tokens: a lookup of 200 tokens must not wait behind a prompt of thousands. */
export const passingFactor = 10;

/** A grant as its owner knows it. */
export type OwnedGrant = {
	readonly id: number;
	readonly tenant: string;
	readonly vm: VmId;
	readonly incarnation: number;
	/** Tokens not known to be spent. */
	left: number;
	/** Whether nobody waited for it when it was granted. */
	readonly isAdvance: boolean;
	readonly tokens: number;
	/** Undefined until the answer that carries the grant is sent. */
	expiresMs: number | undefined;
};

export type * from './headroom.js';
export type * from './owner.js';
export type * from './holder.js';
