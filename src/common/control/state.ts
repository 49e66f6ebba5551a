import type {VmIdentity} from '../core/types.js';
import type {RecordedOutcome} from '../services/claim-service.js';
import type {Change, OrderRecord, Outcome} from './messages.js';

/** Limits of the replicated state. All members must use the same values, since command outcomes depend on them. */
export const controlLimits = {
	/** Outcomes kept to answer resends: several weeks of changes at 520 a day. */
	outcomes: 10_000,
	/** Configuration versions kept for operators, including the current one. */
	historyVersions: 50,
	historyBytes: 4 * 1024 * 1024,
	/** Changes kept for entry processes that are behind; a process that is further behind reads the whole view again. */
	changes: 1000,
	keys: 100_000,
	drains: 10_000,
	leases: 2000,
	orders: 1000,
	claims: 50_000,
	claimsPerTenant: 10_000,
	/** Total size of the response bodies recorded for all claims; further responses are recorded without their body. */
	recordedBytes: 8 * 1024 * 1024,
	/** Log time after which a claim expires. */
	claimTtlMs: 86_400_000,
} as const;

export type ControlLimits = {readonly [K in keyof typeof controlLimits]: number};

export type ConfigurationVersion = {
	readonly version: number;
	readonly changeId: string;
	/** Log time at which the version was applied. */
	readonly appliedMs: number;
	readonly source: Uint8Array;
	readonly configuration: Uint8Array;
};

export type KeyRecord = {
	readonly keyId: string;
	/** SHA-256 in hexadecimal. */
	readonly digest: string;
	readonly tenant: string;
	/** Revision at which the key was issued; keys are stored in this order. */
	readonly revision: number;
};

export type Claim = {
	readonly claimId: string;
	readonly tenant: string;
	readonly requestDigest: string;
	/** Log time at which the claim expires. */
	readonly expiresMs: number;
	status: 'open' | 'recorded' | 'unknown';
	outcome?: RecordedOutcome;
};

export type Lease = {
	holder: VmIdentity | undefined;
	/** Fencing token. Kept while the lease is free, so that the next holder gets a higher one. */
	epoch: number;
	/** Log time at which the lease expires unless it is renewed. */
	expiresMs: number;
};

/** A change without the bytes of a configuration, which are filled in when the change is sent. */
type StoredChange = Exclude<Change, {kind: 'configuration'}> | {readonly kind: 'configuration'; readonly revision: number; readonly version: number};

type StoredOutcome = {
	/** Distinguishes a resend from the reuse of a change id for another operation. */
	readonly fingerprint: string;
	readonly outcome: Outcome;
};

/** The replicated state. Only `applyCommand` modifies it. */
export type ReplicatedState = {
	/** Log time, which only `clock.advance` commands move forward, so that all members agree on it. */
	logTimeMs: number;
	revision: number;
	/** Oldest first; the last one is in force. */
	history: ConfigurationVersion[];
	readonly outcomes: Map<string, StoredOutcome>;
	readonly keys: Map<string, KeyRecord>;
	/** Keyed by `target/name`. */
	readonly drains: Map<string, {readonly target: 'vm' | 'upstream'; readonly name: string}>;
	readonly leases: Map<string, Lease>;
	readonly orders: Map<string, OrderRecord>;
	/** Keyed by `claimKey`, in order of expiry. */
	readonly claims: Map<string, Claim>;
	readonly claimsPerTenant: Map<string, number>;
	recordedBytes: number;
	changes: StoredChange[];
};

/** Creates an empty state with revision 0. */
export function createReplicatedState(): ReplicatedState {
	return {
		logTimeMs: 0,
		revision: 0,
		history: [],
		outcomes: new Map(),
		keys: new Map(),
		drains: new Map(),
		leases: new Map(),
		orders: new Map(),
		claims: new Map(),
		claimsPerTenant: new Map(),
		recordedBytes: 0,
		changes: [],
	};
}

/** Configuration version in force; 0 before the first one. */
export function currentVersion(state: ReplicatedState): number {
	return state.history.at(-1)?.version ?? 0;
}

type SnapshotData = {
	readonly format: 1;
	readonly logTimeMs: number;
	readonly revision: number;
	readonly history: ConfigurationVersion[];
	readonly outcomes: Array<[string, StoredOutcome]>;
	readonly keys: KeyRecord[];
	readonly drains: Array<{readonly target: 'vm' | 'upstream'; readonly name: string}>;
	readonly leases: Array<[string, Lease]>;
	readonly orders: OrderRecord[];
	readonly claims: Array<[string, Claim]>;
	readonly changes: StoredChange[];
};

/** Copies the state into plain objects, arrays and bytes that later commands do not modify. */
export function snapshotState(state: ReplicatedState): unknown {
	const data: SnapshotData = {
		format: 1,
		logTimeMs: state.logTimeMs,
		revision: state.revision,
		history: [...state.history],
		outcomes: [...state.outcomes],
		keys: [...state.keys.values()],
		drains: [...state.drains.values()],
		leases: [...state.leases].map(([name, lease]) => [name, {...lease}]),
		orders: [...state.orders.values()],
		claims: [...state.claims].map(([key, claim]) => [key, {...claim}]),
		changes: [...state.changes],
	};
	return data;
}

/** Restores the state from a snapshot. Throws a `TypeError` if the snapshot's format is unknown. */
export function restoreState(snapshot: unknown): ReplicatedState {
	const data = snapshot as SnapshotData;
	if (data.format !== 1) {
		throw new TypeError(`unknown control snapshot format ${String(data.format)}`);
	}

	const claimsPerTenant = new Map<string, number>();
	let recordedBytes = 0;
	for (const [, claim] of data.claims) {
		claimsPerTenant.set(claim.tenant, (claimsPerTenant.get(claim.tenant) ?? 0) + 1);
		recordedBytes += claim.outcome?.body?.length ?? 0;
	}

	return {
		logTimeMs: data.logTimeMs,
		revision: data.revision,
		history: [...data.history],
		outcomes: new Map(data.outcomes),
		keys: new Map(data.keys.map(key => [key.keyId, key])),
		drains: new Map(data.drains.map(drain => [`${drain.target}/${drain.name}`, drain])),
		leases: new Map(data.leases.map(([name, lease]) => [name, {holder: lease.holder, epoch: lease.epoch, expiresMs: lease.expiresMs}])),
		orders: new Map(data.orders.map(order => [order.orderId, order])),
		claims: new Map(data.claims.map(([key, claim]) => [key, {...claim}])),
		claimsPerTenant,
		recordedBytes,
		changes: [...data.changes],
	};
}
