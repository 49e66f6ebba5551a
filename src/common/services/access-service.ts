import type Emittery from 'emittery';
import type {SharedConfiguration} from '../configuration/types.js';
import type {VmId, VmIdentity} from '../core/types.js';
import type {ReceivedList} from '../forwarding/server-list-feed.js';

/** A lease as entry processes see it. */
export type LeaseView = {
	readonly holder: VmIdentity;
	/** Grows with each new holder and serves as the fencing number. */
	readonly epoch: number;
};

/** What an entry process knows of the shared state. A later view never has a lower revision. */
export type View = {
	readonly revision: number;
	/** Version of the shared configuration. */
	readonly version: number;
	readonly configuration: SharedConfiguration;
	readonly drainedUpstreams: ReadonlySet<string>;
	readonly drainedVms: ReadonlySet<VmId>;
	readonly leases: ReadonlyMap<string, LeaseView>;
};

/** Whose key came with a request. */
export type Identity = {
	readonly tenant: string;
	readonly keyId: string;
};

export type AllowanceResult =
	| {readonly ok: true}
	| {readonly ok: false; readonly code: 'rate-exceeded' | 'exceeds-burst' | 'control-unreachable'; readonly retryAfterMs?: number};

/** Tokens taken from an allowance; names them when they are settled. */
export type Acquisition = {
	/** Unique in the process. */
	readonly id: number;
	readonly tenant: string;
	readonly tokens: number;
};

export type AcquireResult =
	| {readonly ok: true; readonly acquisition: Acquisition}
	| Extract<AllowanceResult, {ok: false}>;

export type AccessEvents = {
	onViewChanged: View;
	/** Id of the key; running requests of this key must end. */
	onKeyWithdrawn: string;
	/** With each sync where the process follows the leader's list of servers. */
	onServers: ReceivedList;
};

/** Keys, freshness and allowances as the request path of an entry process uses them. */
export abstract class AccessService {
	abstract readonly events: Emittery<AccessEvents>;

	/** Undefined until the first sync. */
	abstract get view(): View | undefined;
	/** Whether a quorum confirmed the view recently enough to serve keyed routes. */
	abstract isFresh(): boolean;
	abstract authenticate(key: string): Identity | undefined;
	/** Takes tokens from the tenant's allowance, waiting at most `maxWaitMs`. */
	abstract acquire(tenant: string, tokens: number, maxWaitMs: number): Promise<AcquireResult>;
	/** Returns the unused part of an acquired amount, or charges what was used beyond it. */
	abstract settle(acquisition: Acquisition, used: number): void;
}
