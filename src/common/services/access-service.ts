import type Emittery from 'emittery';
import type {SharedConfiguration} from '../configuration/types.js';
import type {VmId, VmIdentity} from '../core/types.js';
import type {ReceivedList} from '../forwarding/server-list-feed.js';

/** Current holder and epoch of a lease, as known to an entry process. */
export type LeaseView = {
	readonly holder: VmIdentity;
	/** Increases with each new holder; used as the fencing token. */
	readonly epoch: number;
};

/** Snapshot of the shared state in an entry process. A later view never has a lower revision. */
export type SharedStateView = {
	readonly revision: number;
	/** Version of the shared configuration. */
	readonly version: number;
	readonly configuration: SharedConfiguration;
	readonly drainedUpstreams: ReadonlySet<string>;
	readonly drainedVms: ReadonlySet<VmId>;
	readonly leases: ReadonlyMap<string, LeaseView>;
};

/** Tenant and id of the API key that a request was sent with. */
export type KeyIdentity = {
	readonly tenant: string;
	readonly keyId: string;
};

export type AllowanceResult =
	| {readonly ok: true}
	| {readonly ok: false; readonly code: 'rate-exceeded' | 'exceeds-burst' | 'control-unreachable'; readonly retryAfterMs?: number};

/** Tokens taken from an allowance, to be settled when the request ends. */
export type Acquisition = {
	/** Unique within the process. */
	readonly id: number;
	readonly tenant: string;
	readonly tokens: number;
};

export type AcquireResult =
	| {readonly ok: true; readonly acquisition: Acquisition}
	| Extract<AllowanceResult, {ok: false}>;

export type AccessEvents = {
	onViewChanged: SharedStateView;
	/** Id of a withdrawn key. Running requests with this key must be terminated. */
	onKeyWithdrawn: string;
	/** The server list and its age, emitted with each sync reply that reports them; only in a process that follows the leader's list. */
	onServerListReceived: ReceivedList;
};

/** Gives the request path of an entry process its view of the shared state, API key authentication and token allowances. */
export abstract class AccessService {
	abstract readonly events: Emittery<AccessEvents>;

	/** The latest view; undefined until the first sync that contains a configuration. */
	abstract get view(): SharedStateView | undefined;
	/** Returns whether a quorum confirmed the view recently enough to serve routes that need a key. */
	abstract isFresh(): boolean;
	/** Returns the identity that an API key belongs to, or undefined if the key is not valid. */
	abstract authenticate(key: string): KeyIdentity | undefined;
	/** Takes tokens from the tenant's allowance; waits for them at most `maxWaitMs`. */
	abstract acquire(tenant: string, tokens: number, maxWaitMs: number): Promise<AcquireResult>;
	/** Settles an acquisition: refunds unused tokens, or charges the tokens used beyond the acquired ones. */
	abstract settle(acquisition: Acquisition, used: number): void;
}
