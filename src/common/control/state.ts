import type {VmIdentity} from '../core/types.js';
import type {RecordedOutcome} from '../services/claim-service.js';
import type {
	Change, DrainTarget, OrderRecord, Outcome,
} from './messages.js';

/** Limits of the replicated state. All members must use the same values, since command outcomes depend on them. */
export const controlLimits = {
	/** Outcomes kept to answer resent commands; enough for over two weeks at 520 changes a day. */
	outcomes: 10_000,
	/** Configuration versions kept for operators, including the current one. */
	historyVersions: 50,
	/** Total size of the source texts and configurations that are kept, in bytes; the current version is kept even if it is larger. */
	historyBytes: 4 * 1024 * 1024,
	/** Changes kept for entry processes whose view is out of date; a process that lacks more changes reads the whole view again. */
	changes: 1000,
	keys: 100_000,
	drains: 10_000,
	leases: 2000,
	orders: 1000,
	/** Claims of all customers together. */
	claims: 50_000,
	claimsPerTenant: 10_000,
	/** Total size of the response bodies recorded for all claims, in bytes; a response that would exceed it is recorded without its body. */
	recordedBytes: 8 * 1024 * 1024,
	/** Time from the opening of a claim to its expiry, in milliseconds of log time. */
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
	/** SHA-256 digest of the key, in hexadecimal. */
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
	/** Fencing token of the current or last holder. Kept while the lease is free, so that the next holder gets a higher token. */
	epoch: number;
	/** Log time at which the lease expires unless it is renewed. */
	expiresMs: number;
};

/** A change without the bytes of a configuration, which are filled in when the change is sent. */
type StoredChange = Exclude<Change, {kind: 'configuration'}> | {readonly kind: 'configuration'; readonly revision: number; readonly version: number};

type StoredOutcome = {
	/** Text that identifies the operation; distinguishes a resent command from the reuse of its change id for another operation. */
	readonly fingerprint: string;
	readonly outcome: Outcome;
};

/** The replicated state. Only `applyCommand` modifies it. */
export type ReplicatedState = {
	/** Log time, which only `clock.advance` commands move forward, so that all members agree on it. */
	logTimeMs: number;
	/** Number of changes so far that are sent to entry processes. */
	revision: number;
	/** Versions of the configuration, oldest first; the last one is in force. */
	history: ConfigurationVersion[];
	/** Outcomes of commands, keyed by change id. */
	readonly outcomes: Map<string, StoredOutcome>;
	/** Valid API keys, keyed by key id. */
	readonly keys: Map<string, KeyRecord>;
	/** VMs and upstreams that are draining and zones that are evacuated, keyed by `target/name`. */
	readonly drains: Map<string, {readonly target: DrainTarget; readonly name: string}>;
	readonly leases: Map<string, Lease>;
	readonly orders: Map<string, OrderRecord>;
	/** Claims, keyed by the result of `claimKey` and in order of expiry. */
	readonly claims: Map<string, Claim>;
	/** Number of claims of each customer that has any. */
	readonly claimsPerTenant: Map<string, number>;
	/** Total size of the response bodies recorded for claims, in bytes. */
	recordedBytes: number;
	/** The last changes that are sent to entry processes, oldest first. */
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

/** Returns the version of the configuration in force, or 0 before the first configuration. */
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
	readonly drains: Array<{readonly target: DrainTarget; readonly name: string}>;
	readonly leases: Array<[string, Lease]>;
	readonly orders: OrderRecord[];
	readonly claims: Array<[string, Claim]>;
	readonly changes: StoredChange[];
};

/** Returns a copy of the state in plain objects, arrays and bytes that later commands do not modify. */
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

	const claimsPerCustomer = new Map<string, number>();
	let recordedBytes = 0;
	for (const [, claim] of data.claims) {
		claimsPerCustomer.set(claim.tenant, (claimsPerCustomer.get(claim.tenant) ?? 0) + 1);
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
		claimsPerTenant: claimsPerCustomer,
		recordedBytes,
		changes: [...data.changes],
	};
}
