/**
Applies commands to the replicated state machine.
All members apply the same commands in the same order and must reach the same state,
so nothing here depends on a clock, on randomness or on process-local data.
*/
import type {VmIdentity} from '../core/types.js';
import type {
	Change, Command, CommandOf, Outcome,
} from './messages.js';
import {controlLimits, currentVersion} from './state.js';
import type {
	Claim, ControlLimits, Lease, ReplicatedState,
} from './state.js';

type DistributiveOmit<T, K extends PropertyKey> = T extends unknown ? Omit<T, K> : never;
type NewChange = DistributiveOmit<Exclude<Change, {kind: 'configuration'}>, 'revision'> | {readonly kind: 'configuration'; readonly version: number};

/** Name of the lease whose epoch is the fencing token of orders to engines. */
export const ordersLeaseName = 'orders';

function refuse(code: Extract<Outcome, {kind: 'refused'}>['code']): Outcome {
	return {kind: 'refused', code};
}

/** Increments the revision and records the change for entry processes. Returns the new revision. */
function appendChange(state: ReplicatedState, change: NewChange, limits: ControlLimits): number {
	state.revision++;
	state.changes.push({...change, revision: state.revision});
	if (state.changes.length > limits.changes) {
		state.changes.shift();
	}

	return state.revision;
}

function applyConfiguration(state: ReplicatedState, command: CommandOf<'config.apply'>, limits: ControlLimits): Outcome {
	const current = currentVersion(state);
	if (command.expectedVersion !== current) {
		return {kind: 'version-conflict', version: current};
	}

	const {changeId, source, configuration} = command;
	const version = current + 1;
	state.history.push({
		version, changeId, appliedMs: state.logTimeMs, source, configuration,
	});
	trimHistory(state, limits);
	return {kind: 'applied', version, revision: appendChange(state, {kind: 'configuration', version}, limits)};
}

function publishConfiguration(state: ReplicatedState, {version, source, configuration}: CommandOf<'config.publish'>, limits: ControlLimits): Outcome {
	const current = currentVersion(state);
	if (version <= current) {
		return {
			kind: 'published', version: current, revision: state.revision, isChanged: false,
		};
	}

	state.history.push({
		version, changeId: `version-${version}`, appliedMs: state.logTimeMs, source, configuration,
	});
	trimHistory(state, limits);
	return {
		kind: 'published', version, revision: appendChange(state, {kind: 'configuration', version}, limits), isChanged: true,
	};
}

function trimHistory(state: ReplicatedState, limits: ControlLimits): void {
	let bytes = 0;
	for (const {source, configuration} of state.history) {
		bytes += source.length + configuration.length;
	}

	while (state.history.length > 1 && (state.history.length > limits.historyVersions || bytes > limits.historyBytes)) {
		const oldest = state.history.shift()!;
		bytes -= oldest.source.length + oldest.configuration.length;
	}
}

function issueKey(state: ReplicatedState, {keyId, digest, tenant: customer}: CommandOf<'key.issue'>, limits: ControlLimits): Outcome {
	if (state.keys.has(keyId)) {
		return refuse('exists');
	}

	if (state.keys.size >= limits.keys) {
		return refuse('too-many');
	}

	const revision = appendChange(state, {
		kind: 'key', keyId, digest, tenant: customer,
	}, limits);
	state.keys.set(keyId, {
		keyId, digest, tenant: customer, revision,
	});
	return {
		kind: 'issued', revision, keyId, digest,
	};
}

function withdrawKey(state: ReplicatedState, {keyId}: CommandOf<'key.withdraw'>, limits: ControlLimits): Outcome {
	if (!state.keys.delete(keyId)) {
		return refuse('not-found');
	}

	return {kind: 'done', revision: appendChange(state, {kind: 'key-withdrawn', keyId}, limits)};
}

/** Returns whether the drain may have changed after `revision`; true if that is no longer known. */
function mayHaveChanged({changes, revision: current}: ReplicatedState, {target, name}: CommandOf<'drain.set'>, revision: number): boolean {
	const oldestRetained = changes[0]?.revision ?? current + 1;
	return revision + 1 < oldestRetained || changes.some(change =>
		change.kind === 'drain' && change.target === target && change.name === name && change.revision > revision);
}

function setDrain(state: ReplicatedState, command: CommandOf<'drain.set'>, limits: ControlLimits): Outcome {
	const {
		target, name, draining, unchangedSince,
	} = command;
	const key = `${target}/${name}`;
	if (state.drains.has(key) === draining) {
		return {kind: 'done', revision: state.revision};
	}

	if (unchangedSince !== undefined && mayHaveChanged(state, command, unchangedSince)) {
		return refuse('stale');
	}

	if (draining && state.drains.size >= limits.drains) {
		return refuse('too-many');
	}

	if (draining) {
		state.drains.set(key, {target, name});
	} else {
		state.drains.delete(key);
	}

	return {
		kind: 'done', revision: appendChange(state, {
			kind: 'drain', target, name, draining,
		}, limits),
	};
}

function submitOrder(state: ReplicatedState, {orderId, upstream, order}: CommandOf<'order.submit'>, limits: ControlLimits): Outcome {
	if (state.orders.has(orderId)) {
		return refuse('exists');
	}

	if (state.orders.size >= limits.orders) {
		const settled = [...state.orders.values()].find(({status}) => status !== 'submitted');
		if (!settled) {
			return refuse('too-many');
		}

		state.orders.delete(settled.orderId);
	}

	state.orders.set(orderId, {
		orderId, upstream, order, status: 'submitted', submittedMs: state.logTimeMs,
	});
	return {kind: 'done', revision: state.revision};
}

function settleOrder(state: ReplicatedState, {orderId, epoch, status, detail}: CommandOf<'order.settle'>): Outcome {
	const order = state.orders.get(orderId);
	if (!order) {
		return refuse('not-found');
	}

	if (epoch !== state.leases.get(ordersLeaseName)?.epoch) {
		return refuse('stale');
	}

	state.orders.set(orderId, {...order, status, ...(detail !== undefined && {detail})});
	return {kind: 'done', revision: state.revision};
}

/** Returns the key of a claim in the replicated state. JSON quotes the parts, so that different claims have different keys. */
export function claimKey({tenant: customer, service, idempotencyKey}: {readonly tenant: string; readonly service: string; readonly idempotencyKey: string}): string {
	return JSON.stringify([customer, service, idempotencyKey]);
}

/** Returns the outcome that tells a claimant the status of a claim. `requestDigest` is the digest of the claimant's request, and `claim` is undefined if there is no claim for its idempotency key. */
export function claimStatus(claim: Claim | undefined, requestDigest: string): Outcome {
	if (!claim) {
		return {kind: 'claim-absent'};
	}

	if (claim.requestDigest !== requestDigest) {
		return {kind: 'claim-conflict'};
	}

	if (claim.outcome) {
		return {kind: 'claim-recorded', outcome: claim.outcome};
	}

	return {kind: claim.status === 'unknown' ? 'claim-unknown' : 'claim-pending'};
}

function openClaim(state: ReplicatedState, command: CommandOf<'claim.open'>, limits: ControlLimits): Outcome {
	const {claimId, tenant: customer, requestDigest} = command;
	const key = claimKey(command);
	const existing = state.claims.get(key);
	if (existing) {
		return existing.claimId === claimId && existing.status === 'open' ? {kind: 'claim-granted'} : claimStatus(existing, requestDigest);
	}

	const count = state.claimsPerTenant.get(customer) ?? 0;
	if (count >= limits.claimsPerTenant || state.claims.size >= limits.claims) {
		return {kind: 'claim-too-many', retryAfterMs: timeToFirstExpiryMs(state, count >= limits.claimsPerTenant ? customer : undefined)};
	}

	state.claimsPerTenant.set(customer, count + 1);
	state.claims.set(key, {
		claimId, tenant: customer, requestDigest, expiresMs: state.logTimeMs + limits.claimTtlMs, status: 'open',
	});
	return {kind: 'claim-granted'};
}

/** Returns the log time until the next claim expires, in milliseconds, or 0 if there is no claim. Considers only claims of `tenant` if it is given. */
function timeToFirstExpiryMs(state: ReplicatedState, customer: string | undefined): number {
	for (const claim of state.claims.values()) {
		if (customer === undefined || claim.tenant === customer) {
			return Math.max(0, claim.expiresMs - state.logTimeMs);
		}
	}

	return 0;
}

function deleteClaim(state: ReplicatedState, key: string, claim: Claim): void {
	state.claims.delete(key);
	state.recordedBytes -= claim.outcome?.body?.length ?? 0;
	const count = (state.claimsPerTenant.get(claim.tenant) ?? 0) - 1;
	if (count > 0) {
		state.claimsPerTenant.set(claim.tenant, count);
	} else {
		state.claimsPerTenant.delete(claim.tenant);
	}
}

function settleClaim(state: ReplicatedState, command: CommandOf<'claim.settle'>, limits: ControlLimits): Outcome {
	const key = claimKey(command);
	const claim = state.claims.get(key);
	const doneOutcome: Outcome = {kind: 'done', revision: state.revision};
	if (claim?.claimId !== command.claimId) {
		return refuse('not-found');
	}

	const settlement = command.outcome;
	if (claim.status === 'recorded') {
		return doneOutcome;
	}

	if (settlement.kind === 'not-run') {
		// A request whose outcome was reported as unknown may have run, so its claim is kept.
		if (claim.status === 'open') {
			deleteClaim(state, key, claim);
		}

		return doneOutcome;
	}

	if (settlement.kind === 'unknown') {
		claim.status = 'unknown';
		return doneOutcome;
	}

	const {body, ...outcomeWithoutBody} = settlement.outcome;
	const canKeepBody = body !== undefined && state.recordedBytes + body.length <= limits.recordedBytes;
	claim.status = 'recorded';
	// Copied because the bytes of a decoded command may be a view of a much larger buffer, which would stay in memory.
	claim.outcome = canKeepBody ? {...outcomeWithoutBody, body: new Uint8Array(body)} : outcomeWithoutBody;
	state.recordedBytes += canKeepBody ? body.length : 0;
	return doneOutcome;
}

function appendLeaseChange(state: ReplicatedState, name: string, {holder, epoch}: Lease, limits: ControlLimits): void {
	appendChange(state, {
		kind: 'lease', name, epoch, ...(holder && {holder}),
	}, limits);
}

function isHeldBy({holder}: Lease, {holder: vm, incarnation}: {readonly holder: string; readonly incarnation: number}): boolean {
	return holder?.vm === vm && holder.incarnation === incarnation;
}

function leaseTakenOutcome(lease: Lease | undefined): Outcome {
	return {kind: 'lease-taken', ...(lease?.holder && {current: {holder: lease.holder, epoch: lease.epoch}})};
}

function acquireLease(state: ReplicatedState, command: CommandOf<'lease.acquire'>, limits: ControlLimits): Outcome {
	const {name, ttlMs} = command;
	const lease: Lease = state.leases.get(name) ?? {holder: undefined, epoch: 0, expiresMs: 0};
	const isHolder = isHeldBy(lease, command);
	// A higher incarnation of the same VM proves that the previous process has ended.
	const isSuccessor = lease.holder?.vm === command.holder && lease.holder.incarnation < command.incarnation;
	if (lease.holder && !isHolder && !isSuccessor) {
		return leaseTakenOutcome(lease);
	}

	if (!state.leases.has(name) && state.leases.size >= limits.leases) {
		return refuse('too-many');
	}

	lease.expiresMs = state.logTimeMs + ttlMs;
	state.leases.set(name, lease);
	if (!isHolder) {
		const holder: VmIdentity = {vm: command.holder, incarnation: command.incarnation};
		lease.holder = holder;
		lease.epoch++;
		appendLeaseChange(state, name, lease, limits);
	}

	return {kind: 'lease-held', epoch: lease.epoch};
}

function renewLease(state: ReplicatedState, command: CommandOf<'lease.renew'>): Outcome {
	const lease = state.leases.get(command.name);
	if (!lease || !isHeldBy(lease, command) || lease.epoch !== command.epoch) {
		return leaseTakenOutcome(lease);
	}

	lease.expiresMs = state.logTimeMs + command.ttlMs;
	return {kind: 'lease-held', epoch: lease.epoch};
}

function releaseLease(state: ReplicatedState, command: CommandOf<'lease.release'>, limits: ControlLimits): Outcome {
	const lease = state.leases.get(command.name);
	if (!lease || !isHeldBy(lease, command) || lease.epoch !== command.epoch) {
		return leaseTakenOutcome(lease);
	}

	lease.holder = undefined;
	appendLeaseChange(state, command.name, lease, limits);
	return {kind: 'done', revision: state.revision};
}

function advanceClock(state: ReplicatedState, {elapsedMs}: CommandOf<'clock.advance'>, limits: ControlLimits): Outcome {
	state.logTimeMs += elapsedMs;
	for (const [key, claim] of state.claims) {
		if (claim.expiresMs > state.logTimeMs) {
			break;
		}

		deleteClaim(state, key, claim);
	}

	for (const [name, lease] of state.leases) {
		if (lease.holder && lease.expiresMs <= state.logTimeMs) {
			lease.holder = undefined;
			appendLeaseChange(state, name, lease, limits);
		}
	}

	return {kind: 'done', revision: state.revision};
}

function executeCommand(state: ReplicatedState, command: Command, limits: ControlLimits): Outcome {
	switch (command.type) {
		case 'config.apply': {
			return applyConfiguration(state, command, limits);
		}

		case 'config.publish': {
			return publishConfiguration(state, command, limits);
		}

		case 'key.issue': {
			return issueKey(state, command, limits);
		}

		case 'key.withdraw': {
			return withdrawKey(state, command, limits);
		}

		case 'claim.open': {
			return openClaim(state, command, limits);
		}

		case 'claim.settle': {
			return settleClaim(state, command, limits);
		}

		case 'lease.acquire': {
			return acquireLease(state, command, limits);
		}

		case 'lease.renew': {
			return renewLease(state, command);
		}

		case 'lease.release': {
			return releaseLease(state, command, limits);
		}

		case 'drain.set': {
			return setDrain(state, command, limits);
		}

		case 'order.submit': {
			return submitOrder(state, command, limits);
		}

		case 'order.settle': {
			return settleOrder(state, command);
		}

		case 'clock.advance': {
			return advanceClock(state, command, limits);
		}
	}
}

/** Returns a text that identifies the operation of a command. It leaves out the digest of a key, because an operator who repeats `key.issue` after a lost answer sends a newly generated key. */
function fingerprint(command: Extract<Command, {changeId: string}>): string {
	switch (command.type) {
		case 'config.apply': {
			return `${command.type} ${command.expectedVersion} ${command.sourceDigest}`;
		}

		case 'key.issue':
		case 'key.withdraw': {
			return `${command.type} ${command.keyId}`;
		}

		case 'drain.set': {
			return `${command.type} ${command.target} ${command.name} ${command.draining}`;
		}

		case 'order.submit': {
			return `${command.type} ${command.orderId}`;
		}
	}
}

/** Applies one command to `state` in place and returns its outcome. */
export function applyCommand(state: ReplicatedState, command: Command, limits: ControlLimits = controlLimits): Outcome {
	if (!('changeId' in command)) {
		return executeCommand(state, command, limits);
	}

	const commandFingerprint = fingerprint(command);
	const recorded = state.outcomes.get(command.changeId);
	if (recorded) {
		return recorded.fingerprint === commandFingerprint ? recorded.outcome : refuse('change-id-reused');
	}

	const outcome = executeCommand(state, command, limits);
	state.outcomes.set(command.changeId, {fingerprint: commandFingerprint, outcome});
	if (state.outcomes.size > limits.outcomes) {
		state.outcomes.delete(state.outcomes.keys().next().value!);
	}

	return outcome;
}
