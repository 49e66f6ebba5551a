import {createHash, randomUUID} from 'node:crypto';
import {checkDocument} from '../../common/configuration/document.js';
import type {DocumentIssue} from '../../common/configuration/document.js';
import type {SharedConfiguration} from '../../common/configuration/types.js';
import {sharedConfigurationSchema} from '../../common/configuration/shared.js';
import {maxCompressedBytes} from '../../common/control/messages.js';
import type {
	Command, OrderRecord, Outcome, ReadQuery, ReadResult,
} from '../../common/control/messages.js';
import type {VmIdentity} from '../../common/core/types.js';
import {compressText, decompressText, encodeConfiguration} from './configuration-codec.js';
import type {ControlLeaderClient} from './control-leader-client.js';
import {digestKey, generateKey} from './keys.js';

/** Default timeout of an operation, in milliseconds; long enough for a failover of the leader. */
const operationTimeoutMs = 10_000;
/** Timeout of a lease operation, in milliseconds; short, since an answer after the lease has expired is of no use and must not delay a shutdown. */
const leaseTimeoutMs = 2000;

type ResultOf<W extends ReadResult['what']> = Extract<ReadResult, {what: W}>;
type Refusal = Extract<Outcome, {kind: 'refused'}>;

export type ApplyResult =
	| {readonly kind: 'applied'; readonly version: number; readonly revision: number}
	/** The expected version is no longer in force, because another change was applied first; `version` is the version in force. */
	| {readonly kind: 'conflict'; readonly version: number}
	| {readonly kind: 'faulty'; readonly issues: readonly DocumentIssue[]}
	| Refusal;

/** A configuration with its source text and the version that the operator gave it. */
export type PublishedConfiguration = {
	readonly version: number;
	readonly source: string;
	readonly configuration: SharedConfiguration;
};

export type PublishResult =
	/** The configuration was published. `version` is the version in force, which may be higher than the published one. */
	| {readonly kind: 'published'; readonly version: number; readonly isChanged: boolean}
	| Refusal;

export type IssueResult =
	/** A key was issued. `key` is returned only once and not stored anywhere. */
	| {readonly kind: 'issued'; readonly keyId: string; readonly key: string; readonly revision: number}
	/** An earlier attempt with this change id issued the key; the key itself cannot be returned again. */
	| {readonly kind: 'already-issued'; readonly keyId: string; readonly revision: number}
	| Refusal;

export type ChangeResult = {readonly kind: 'done'; readonly revision: number} | Refusal;

export type LeaseResult =
	| {readonly kind: 'held'; readonly epoch: number}
	| {readonly kind: 'taken'; readonly current?: {readonly holder: VmIdentity; readonly epoch: number}}
	| Refusal;

export type KeyEntry = ResultOf<'keys'>['keys'][number];
export type DrainEntry = ResultOf<'drains'>['drains'][number];
export type LeaseEntry = ResultOf<'leases'>['leases'][number];

/**
Client for operations on the replicated state, used by the operator API and by lease holders.
Every method rejects with `TimeoutError` if no quorum answers. A change may take effect in spite of the error;
repeating the change with the same change id returns the outcome of the first attempt.
*/
export class ControlAdminClient {
	constructor(private readonly _leaderClient: ControlLeaderClient) {}

	/** Validates a YAML document and applies it if `expectedVersion` is the version in force, which is 0 before the first configuration. */
	async applyConfiguration(document: string, expectedVersion: number, changeId: string = randomUUID()): Promise<ApplyResult> {
		const validation = checkDocument(document, sharedConfigurationSchema);
		if (!validation.ok) {
			return {kind: 'faulty', issues: validation.issues};
		}

		const source = compressText(document);
		const configuration = encodeConfiguration(validation.value);
		if (Math.max(source.length, configuration.length) > maxCompressedBytes) {
			return {kind: 'faulty', issues: [{line: 1, path: '', message: `the compressed document is larger than ${maxCompressedBytes} bytes`}]};
		}

		const sourceDigest = createHash('sha256').update(document).digest('hex');
		const outcome = await this._propose({
			type: 'config.apply', changeId, expectedVersion, sourceDigest, source, configuration,
		});
		if (outcome.kind === 'version-conflict') {
			return {kind: 'conflict', version: outcome.version};
		}

		return outcome.kind === 'applied' ? outcome : toRefusal(outcome);
	}

	/**
	Publishes a configuration under a version that the operator chose; the highest version is in force. Resolves once a
	quorum has stored this version or a higher one. `configuration` is the validated form of `source`.
	*/
	async publishConfiguration({version, source, configuration}: PublishedConfiguration, timeoutMs = operationTimeoutMs): Promise<PublishResult> {
		const outcome = await this._propose({
			type: 'config.publish', version, source: compressText(source), configuration: encodeConfiguration(configuration),
		}, timeoutMs);
		return outcome.kind === 'published' ? outcome : toRefusal(outcome);
	}

	/** Returns the source text of a version of the configuration, by default the current version; `source` is absent if the version is not kept. */
	async getConfiguration(version?: number, timeoutMs = operationTimeoutMs): Promise<{readonly version: number; readonly source?: string}> {
		const result = await this._read({what: 'configuration', ...(version !== undefined && {version})}, timeoutMs) as ResultOf<'configuration'>;
		return {version: result.version, ...(result.source && {source: decompressText(result.source)})};
	}

	/** Returns the version in force and the versions of the configuration that are kept, oldest first. Ages are in milliseconds of log time. */
	async getHistory(): Promise<{readonly version: number; readonly versions: ReadonlyArray<{readonly version: number; readonly changeId: string; readonly ageMs: number}>}> {
		const {version, versions, logTimeMs} = await this._read({what: 'history'}) as ResultOf<'history'>;
		return {version, versions: versions.map(entry => ({version: entry.version, changeId: entry.changeId, ageMs: logTimeMs - entry.appliedMs}))};
	}

	async issueKey(customer: string, keyId: string, changeId: string = randomUUID()): Promise<IssueResult> {
		const key = generateKey();
		const digest = digestKey(key);
		const outcome = await this._propose({
			type: 'key.issue', changeId, keyId, digest, tenant: customer,
		});
		if (outcome.kind !== 'issued') {
			return toRefusal(outcome);
		}

		const {revision} = outcome;
		return outcome.digest === digest
			? {
				kind: 'issued', keyId, key, revision,
			}
			: {kind: 'already-issued', keyId, revision};
	}

	async withdrawKey(keyId: string, changeId: string = randomUUID()): Promise<ChangeResult> {
		return toChangeResult(await this._propose({type: 'key.withdraw', changeId, keyId}));
	}

	/** Lists the ids and customers of the valid keys, in the order in which they were issued. */
	async listKeys(): Promise<KeyEntry[]> {
		const keys: KeyEntry[] = [];
		for (let after: number | undefined = 0; after !== undefined;) {
			const page = await this._read({what: 'keys', after}) as ResultOf<'keys'>;
			keys.push(...page.keys);
			after = page.next;
		}

		return keys;
	}

	async setDrain(target: 'vm' | 'upstream', name: string, draining: boolean, changeId: string = randomUUID()): Promise<ChangeResult> {
		return toChangeResult(await this._propose({
			type: 'drain.set', changeId, target, name, draining,
		}));
	}

	async listDrains(): Promise<DrainEntry[]> {
		const {drains} = await this.readDrains();
		return drains;
	}

	/** Reads the drains and the revision that they were read at. If the first control VM has not answered after `firstPatienceMs` milliseconds, another one is asked in addition. */
	async readDrains(timeoutMs = operationTimeoutMs, firstPatienceMs?: number): Promise<Pick<ResultOf<'drains'>, 'drains' | 'revision'>> {
		return await this._leaderClient.read({what: 'drains'}, timeoutMs, firstPatienceMs) as ResultOf<'drains'>;
	}

	/** Evacuates a zone or withdraws its evacuation, unless that was changed after the revision `unchangedSince`; the change is then refused as `stale`. */
	async setEvacuation(zone: string, isEvacuated: boolean, unchangedSince: number, timeoutMs: number): Promise<ChangeResult> {
		return toChangeResult(await this._propose({
			type: 'drain.set', changeId: randomUUID(), target: 'zone', name: zone, draining: isEvacuated, unchangedSince,
		}, timeoutMs));
	}

	/** Records an order, which the holder of the lease `orders` carries out. */
	async submitOrder(upstream: string, order: unknown, orderId: string = randomUUID(), changeId: string = randomUUID()): Promise<ChangeResult> {
		return toChangeResult(await this._propose({
			type: 'order.submit', changeId, orderId, upstream, order,
		}));
	}

	/** Records how an order ended. Refused as `stale` unless `epoch` is the current epoch of the lease `orders`. */
	async settleOrder(orderId: string, epoch: number, status: 'done' | 'failed', detail?: string): Promise<ChangeResult> {
		return toChangeResult(await this._propose({
			type: 'order.settle', orderId, epoch, status, ...(detail !== undefined && {detail: detail.slice(0, 1000)}),
		}));
	}

	/** Lists orders, oldest first. If `open` is true, orders that are done or failed are left out. */
	async listOrders({open = false} = {}): Promise<OrderRecord[]> {
		const result = await this._read({what: 'orders', open}) as ResultOf<'orders'>;
		return result.orders;
	}

	/** Acquires a lease, or extends it for its holder. The holder may rely on the lease for `ttlMs` milliseconds of its own clock, counted from before this call. */
	async acquireLease(name: string, {vm, incarnation}: VmIdentity, ttlMs: number): Promise<LeaseResult> {
		return toLeaseResult(await this._propose({
			type: 'lease.acquire', name, holder: vm, incarnation, ttlMs,
		}, leaseTimeoutMs));
	}

	/** Extends the lease if this process still holds it with this epoch. Unlike `acquireLease`, this method never starts a new epoch. */
	async renewLease(name: string, {vm, incarnation}: VmIdentity, epoch: number, ttlMs: number): Promise<LeaseResult> {
		return toLeaseResult(await this._propose({
			type: 'lease.renew', name, holder: vm, incarnation, epoch, ttlMs,
		}, leaseTimeoutMs));
	}

	async releaseLease(name: string, {vm, incarnation}: VmIdentity, epoch: number): Promise<ChangeResult | LeaseResult> {
		const outcome = await this._propose({
			type: 'lease.release', name, holder: vm, incarnation, epoch,
		}, leaseTimeoutMs);
		return outcome.kind === 'done' ? outcome : toLeaseResult(outcome);
	}

	async listLeases(): Promise<LeaseEntry[]> {
		const result = await this._read({what: 'leases'}) as ResultOf<'leases'>;
		return result.leases;
	}

	private async _propose(command: Command, timeoutMs = operationTimeoutMs): Promise<Outcome> {
		return this._leaderClient.propose(command, timeoutMs);
	}

	private async _read(query: ReadQuery, timeoutMs = operationTimeoutMs): Promise<ReadResult> {
		return this._leaderClient.read(query, timeoutMs);
	}
}

function toRefusal(outcome: Outcome): Refusal {
	return outcome.kind === 'refused' ? outcome : {kind: 'refused', code: 'invalid'};
}

function toChangeResult(outcome: Outcome): ChangeResult {
	return outcome.kind === 'done' ? outcome : toRefusal(outcome);
}

function toLeaseResult(outcome: Outcome): LeaseResult {
	if (outcome.kind === 'lease-held') {
		return {kind: 'held', epoch: outcome.epoch};
	}

	return outcome.kind === 'lease-taken' ? {kind: 'taken', ...(outcome.current && {current: outcome.current})} : toRefusal(outcome);
}
