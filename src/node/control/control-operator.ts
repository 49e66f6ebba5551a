import {createHash, randomUUID} from 'node:crypto';
import {checkDocument} from '../../common/configuration/document.js';
import type {DocumentIssue} from '../../common/configuration/document.js';
import type {SharedConfiguration} from '../../common/configuration/types.js';
import {sharedConfigurationSchema} from '../../common/configuration/shared.js';
import {compressedLimitBytes} from '../../common/control/messages.js';
import type {
	Command, OrderRecord, Outcome, ReadQuery, ReadResult,
} from '../../common/control/messages.js';
import type {VmIdentity} from '../../common/core/types.js';
import {compressText, decompressText, encodeConfiguration} from './configuration-codec.js';
import type {ControlLink} from './control-link.js';
import {digestKey, generateKey} from './keys.js';

/** Bound on one operation; covers a failover. */
const operationTimeoutMs = 10_000;
/** Bound on lease operations: an answer that comes later than the lease lasts is of no use, and a shutdown must not wait for it. */
const leaseTimeoutMs = 2000;

type ResultOf<W extends ReadResult['what']> = Extract<ReadResult, {what: W}>;
type Refusal = Extract<Outcome, {kind: 'refused'}>;

export type ApplyResult =
	| {readonly kind: 'applied'; readonly version: number; readonly revision: number}
	/** Another operator's change came first. */
	| {readonly kind: 'conflict'; readonly version: number}
	| {readonly kind: 'faulty'; readonly issues: readonly DocumentIssue[]}
	| Refusal;

/** A configuration as an operator wrote it, with the version that the operator gave it. */
export type PublishedConfiguration = {
	readonly version: number;
	readonly source: string;
	readonly configuration: SharedConfiguration;
};

export type PublishResult =
	/** `version` is the one in force. */
	| {readonly kind: 'published'; readonly version: number; readonly isChanged: boolean}
	| Refusal;

export type IssueResult =
	/** `key` is shown once and kept nowhere. */
	| {readonly kind: 'issued'; readonly keyId: string; readonly key: string; readonly revision: number}
	/** An earlier attempt with this change id issued the key; its text cannot be shown again. */
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
Operations on the shared state for the operator API and for holders of leases.
Every method rejects with `TimeoutError` when no quorum answers; a change may have taken effect then,
and repeating it with the same change id returns the first outcome.
*/
export class ControlOperator {
	constructor(private readonly _link: ControlLink) {}

	/** Checks a YAML document and puts it in force if `expectedVersion` is still the current one; 0 before the first. */
	async applyConfiguration(document: string, expectedVersion: number, changeId: string = randomUUID()): Promise<ApplyResult> {
		const checked = checkDocument(document, sharedConfigurationSchema);
		if (!checked.ok) {
			return {kind: 'faulty', issues: checked.issues};
		}

		const source = compressText(document);
		const configuration = encodeConfiguration(checked.value);
		if (Math.max(source.length, configuration.length) > compressedLimitBytes) {
			return {kind: 'faulty', issues: [{line: 1, path: '', message: `the compressed document has more than ${compressedLimitBytes} bytes`}]};
		}

		const sourceDigest = createHash('sha256').update(document).digest('hex');
		const outcome = await this._propose({
			type: 'config.apply', changeId, expectedVersion, sourceDigest, source, configuration,
		});
		if (outcome.kind === 'version-conflict') {
			return {kind: 'conflict', version: outcome.version};
		}

		return outcome.kind === 'applied' ? outcome : refusalOf(outcome);
	}

	/**
	Publishes a configuration under the version that its operator chose; the highest version is in force. Resolves once a
	quorum has stored it, or a version at least as high. `configuration` is the checked form of `source`.
	*/
	async publishConfiguration({version, source, configuration}: PublishedConfiguration, timeoutMs = operationTimeoutMs): Promise<PublishResult> {
		const outcome = await this._propose({
			type: 'config.publish', version, source: compressText(source), configuration: encodeConfiguration(configuration),
		}, timeoutMs);
		return outcome.kind === 'published' ? outcome : refusalOf(outcome);
	}

	/** The source text of a version, by default the current one; `source` is absent for a version that is not kept. */
	async getConfiguration(version?: number, timeoutMs = operationTimeoutMs): Promise<{readonly version: number; readonly source?: string}> {
		const result = await this._read({what: 'configuration', ...(version !== undefined && {version})}, timeoutMs) as ResultOf<'configuration'>;
		return {version: result.version, ...(result.source && {source: decompressText(result.source)})};
	}

	/** Kept versions, oldest first; ages in milliseconds of log time. */
	async getHistory(): Promise<{readonly version: number; readonly versions: ReadonlyArray<{readonly version: number; readonly changeId: string; readonly ageMs: number}>}> {
		const {version, versions, logTimeMs} = await this._read({what: 'history'}) as ResultOf<'history'>;
		return {version, versions: versions.map(entry => ({version: entry.version, changeId: entry.changeId, ageMs: logTimeMs - entry.appliedMs}))};
	}

	async issueKey(tenant: string, keyId: string, changeId: string = randomUUID()): Promise<IssueResult> {
		const key = generateKey();
		const digest = digestKey(key);
		const outcome = await this._propose({
			type: 'key.issue', changeId, keyId, digest, tenant,
		});
		if (outcome.kind !== 'issued') {
			return refusalOf(outcome);
		}

		const {revision} = outcome;
		return outcome.digest === digest
			? {
				kind: 'issued', keyId, key, revision,
			}
			: {kind: 'already-issued', keyId, revision};
	}

	async withdrawKey(keyId: string, changeId: string = randomUUID()): Promise<ChangeResult> {
		return doneOf(await this._propose({type: 'key.withdraw', changeId, keyId}));
	}

	/** Ids and tenants of the keys that work, in the order of their issue. */
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
		return doneOf(await this._propose({
			type: 'drain.set', changeId, target, name, draining,
		}));
	}

	async listDrains(): Promise<DrainEntry[]> {
		const result = await this._read({what: 'drains'}) as ResultOf<'drains'>;
		return result.drains;
	}

	/** Records an order for the holder of the lease `orders`. */
	async submitOrder(upstream: string, order: unknown, orderId: string = randomUUID(), changeId: string = randomUUID()): Promise<ChangeResult> {
		return doneOf(await this._propose({
			type: 'order.submit', changeId, orderId, upstream, order,
		}));
	}

	/** Records how an order ended; refused as `stale` unless `epoch` is that of the lease `orders`. */
	async settleOrder(orderId: string, epoch: number, status: 'done' | 'failed', detail?: string): Promise<ChangeResult> {
		return doneOf(await this._propose({
			type: 'order.settle', orderId, epoch, status, ...(detail !== undefined && {detail: detail.slice(0, 1000)}),
		}));
	}

	/** Oldest first; `open` leaves out orders that are done or failed. */
	async listOrders({open = false} = {}): Promise<OrderRecord[]> {
		const result = await this._read({what: 'orders', open}) as ResultOf<'orders'>;
		return result.orders;
	}

	/** Takes or keeps a lease. The holder may rely on it for `ttlMs` from before this call, by its own clock. */
	async acquireLease(name: string, {vm, incarnation}: VmIdentity, ttlMs: number): Promise<LeaseResult> {
		return leaseOf(await this._propose({
			type: 'lease.acquire', name, holder: vm, incarnation, ttlMs,
		}, leaseTimeoutMs));
	}

	/** Keeps a lease of this epoch; unlike `acquireLease`, never begins a new one. */
	async renewLease(name: string, {vm, incarnation}: VmIdentity, epoch: number, ttlMs: number): Promise<LeaseResult> {
		return leaseOf(await this._propose({
			type: 'lease.renew', name, holder: vm, incarnation, epoch, ttlMs,
		}, leaseTimeoutMs));
	}

	async releaseLease(name: string, {vm, incarnation}: VmIdentity, epoch: number): Promise<ChangeResult | LeaseResult> {
		const outcome = await this._propose({
			type: 'lease.release', name, holder: vm, incarnation, epoch,
		}, leaseTimeoutMs);
		return outcome.kind === 'done' ? outcome : leaseOf(outcome);
	}

	async listLeases(): Promise<LeaseEntry[]> {
		const result = await this._read({what: 'leases'}) as ResultOf<'leases'>;
		return result.leases;
	}

	private async _propose(command: Command, timeoutMs = operationTimeoutMs): Promise<Outcome> {
		return this._link.propose(command, timeoutMs);
	}

	private async _read(query: ReadQuery, timeoutMs = operationTimeoutMs): Promise<ReadResult> {
		return this._link.read(query, timeoutMs);
	}
}

function refusalOf(outcome: Outcome): Refusal {
	return outcome.kind === 'refused' ? outcome : {kind: 'refused', code: 'invalid'};
}

function doneOf(outcome: Outcome): ChangeResult {
	return outcome.kind === 'done' ? outcome : refusalOf(outcome);
}

function leaseOf(outcome: Outcome): LeaseResult {
	if (outcome.kind === 'lease-held') {
		return {kind: 'held', epoch: outcome.epoch};
	}

	return outcome.kind === 'lease-taken' ? {kind: 'taken', ...(outcome.current && {current: outcome.current})} : refusalOf(outcome);
}
