import type {VmIdentity} from '../core/types.js';
import type {RecordedOutcome} from '../services/claim-service.js';
import type {Change, OrderRecord, Outcome} from './messages.js';

/** Bounds of the replicated state. Every member must use the same ones, since outcomes depend on them. */
export const controlLimits = {
	/** Outcomes kept for resends: several weeks of changes at 520 a day. */
	outcomes: 10_000,
	/** Earlier configurations kept for operators. */
	historyVersions: 50,
	historyBytes: 4 * 1024 * 1024,
	/** Changes kept for entry processes that are behind; older views are read again in full. */
	changes: 1000,
	keys: 100_000,
	drains: 10_000,
	leases: 2000,
	orders: 1000,
	claims: 50_000,
	claimsPerTenant: 10_000,
	/** Bytes of recorded bodies of all claims; later answers are recorded without their body. */
	recordedBytes: 8 * 1024 * 1024,
	/** Log time until a claim expires. */
	claimTtlMs: 86_400_000,
} as const;

export type ControlLimits = {readonly [K in keyof typeof controlLimits]: number};

export type ConfigurationVersion = {
	readonly version: number;
	readonly changeId: string;
	/** Log time. */
	readonly appliedMs: number;
	readonly source: Uint8Array;
	readonly configuration: Uint8Array;
};

export type KeyRecord = {
	readonly keyId: string;
	/** SHA-256 in hexadecimal. */
	readonly digest: string;
	readonly tenant: string;
	/** Revision of the issue; keys are kept in this order. */
	readonly revision: number;
};

export type Claim = {
	readonly claimId: string;
	readonly tenant: string;
	readonly requestDigest: string;
	/** Log time. */
	readonly expiresMs: number;
	status: 'open' | 'recorded' | 'unknown';
	outcome?: RecordedOutcome;
};

export type Lease = {
	holder: VmIdentity | undefined;
	/** Kept when the lease is free, so that the next holder's is higher. */
	epoch: number;
	/** Log time. */
	expiresMs: number;
};

/** The configuration's bytes are filled in when the change is sent. */
type StoredChange = Exclude<Change, {kind: 'configuration'}> | {readonly kind: 'configuration'; readonly revision: number; readonly version: number};

type StoredOutcome = {
	/** Tells a resend from a change id that is used for something else. */
	readonly fingerprint: string;
	readonly outcome: Outcome;
};

/** The replicated state. Only `applyCommand` changes it. */
export type ReplicatedState = {
	logTimeMs: number;
	revision: number;
	/** Oldest first; the last one is in force. */
	history: ConfigurationVersion[];
	readonly outcomes: Map<string, StoredOutcome>;
	readonly keys: Map<string, KeyRecord>;
	/** Values are the target and name; keys join both. */
	readonly drains: Map<string, {readonly target: 'vm' | 'upstream'; readonly name: string}>;
	readonly leases: Map<string, Lease>;
	readonly orders: Map<string, OrderRecord>;
	/** In the order of their expiry. */
	readonly claims: Map<string, Claim>;
	readonly claimsPerTenant: Map<string, number>;
	recordedBytes: number;
	changes: StoredChange[];
};

/** A revision counts from 0, the empty state. */
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

/** Version in force; 0 before the first configuration. */
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

/** A copy that later commands do not change, of plain objects, arrays and bytes. */
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

/** The state of a snapshot; throws if the snapshot's format is unknown. */
export function restoreState(snapshot: unknown): ReplicatedState {
	const data = snapshot as SnapshotData;
	if (data.format !== 1) {
		throw new TypeError(`unknown format ${String(data.format)} of a control snapshot`);
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
