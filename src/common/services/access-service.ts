import type Emittery from 'emittery';
import type {SharedConfiguration} from '../configuration/types.js';
import type {VmId, VmIdentity} from '../core/types.js';
import type {ReceivedList} from '../forwarding/server-list-feed.js';

/** Holder and epoch of a lease at the revision of the view that contains it. */
export type LeaseView = {
	readonly holder: VmIdentity;
	/** Epoch of the lease, which increases with each new holder; used as the fencing token. */
	readonly epoch: number;
};

/** Immutable snapshot of the shared state in an entry process. It is only ever replaced by a snapshot of the same or a higher revision. */
export type SharedStateView = {
	/** Revision of the shared state that the snapshot reflects. */
	readonly revision: number;
	/** Version of the shared configuration. */
	readonly version: number;
	readonly configuration: SharedConfiguration;
	/** Names of the upstreams that operators have drained. */
	readonly drainedUpstreams: ReadonlySet<string>;
	/** Entry VMs that operators have drained. */
	readonly drainedVms: ReadonlySet<VmId>;
	/** Availability zones that operators have evacuated: nothing is sent to the upstreams there. */
	readonly evacuatedZones: ReadonlySet<string>;
	/** Current leases by name. */
	readonly leases: ReadonlyMap<string, LeaseView>;
};

/** Customer and id of the API key that a request was sent with. */
export type KeyIdentity = {
	readonly tenant: string;
	readonly keyId: string;
};

/** Result of taking rate tokens. A refusal states why, and after how many milliseconds a retry may succeed if that is known. */
export type AllowanceResult =
	| {readonly ok: true}
	| {readonly ok: false; readonly code: 'rate-exceeded' | 'exceeds-burst' | 'control-unreachable'; readonly retryAfterMs?: number};

/** Rate tokens that were taken for a request, to be settled when the request ends. */
export type Acquisition = {
	/** Id of the acquisition, unique within the process. */
	readonly id: number;
	readonly tenant: string;
	readonly tokens: number;
};

export type AcquireResult =
	| {readonly ok: true; readonly acquisition: Acquisition}
	| Extract<AllowanceResult, {ok: false}>;

export type AccessEvents = {
	/** The new view, emitted whenever the view has changed. */
	onViewChanged: SharedStateView;
	/** Id of a key that was withdrawn; listeners must terminate the running requests that use the key. */
	onKeyWithdrawn: string;
	/** The leader's copy of the platform's server list and when it was requested, emitted for each sync reply that reports on the list; only in a process that follows the list. */
	onServerListReceived: ReceivedList;
};

/** Provides request handling in an entry process with API key authentication, rate tokens and the view of the shared state. */
export abstract class AccessService {
	abstract readonly events: Emittery<AccessEvents>;

	/** The latest view; undefined until the first sync that contains a configuration. */
	abstract get view(): SharedStateView | undefined;
	/** Returns whether a quorum confirmed the view recently enough to serve routes that need a key. */
	abstract isFresh(): boolean;
	/** Returns the identity that an API key belongs to, or undefined if the key is not valid. */
	abstract authenticate(key: string): KeyIdentity | undefined;
	/** Takes `tokens` rate tokens of the customer; waits for them at most `maxWaitMs` milliseconds. */
	abstract acquire(customer: string, tokens: number, maxWaitMs: number): Promise<AcquireResult>;
	/** Settles an acquisition of which the request used `used` rate tokens: refunds those that it did not use, or charges those that it used in excess. */
	abstract settle(acquisition: Acquisition, used: number): void;
}
