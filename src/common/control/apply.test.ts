import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {applyCommand} from './apply.js';
import type {Command, CommandOf, Outcome} from './messages.js';
import {
	controlLimits, createReplicatedState, restoreState, snapshotState,
} from './state.js';
import type {ControlLimits} from './state.js';

const hourMs = 3_600_000;

function configApply(changeId: string, expectedVersion: number, text = 'a'): Command {
	const source = new TextEncoder().encode(text);
	return {
		type: 'config.apply', changeId, expectedVersion, sourceDigest: text.padEnd(64, '0'), source, configuration: source,
	};
}

function keyIssue(changeId: string, keyId: string, digest = '0'): CommandOf<'key.issue'> {
	return {
		type: 'key.issue', changeId, keyId, digest: digest.padEnd(64, '0'), tenant: 'acme',
	};
}

function claimOpen(claimId: string, idempotencyKey = 'i-1', requestDigest = 'a', customer = 'acme'): Command {
	return {
		type: 'claim.open', claimId, tenant: customer, service: 'desk', idempotencyKey, requestDigest,
	};
}

function claimSettle(claimId: string, outcome: CommandOf<'claim.settle'>['outcome'], idempotencyKey = 'i-1', customer = 'acme'): Command {
	return {
		type: 'claim.settle', claimId, tenant: customer, service: 'desk', idempotencyKey, outcome,
	};
}

function leaseAcquire(holder: string, incarnation = 1, name = 'orders'): Command {
	return {
		type: 'lease.acquire', name, holder, incarnation, ttlMs: 1000,
	};
}

function evacuate(changeId: string, draining: boolean, unchangedSince?: number, name = 'z1'): Command {
	return {
		type: 'drain.set', changeId, target: 'zone', name, draining, ...(unchangedSince !== undefined && {unchangedSince}),
	};
}

/** Applies commands to an empty state. Returns the state, the outcomes and their kinds. */
function applyAll(commands: readonly Command[], limits: ControlLimits = controlLimits) {
	const state = createReplicatedState();
	const outcomes: Outcome[] = commands.map(command => applyCommand(state, command, limits));
	return {state, outcomes, kinds: outcomes.map(({kind}) => kind)};
}

test('only one of two configuration changes with the same expected version is applied, and a resent change is applied only once', () => {
	const {state, outcomes} = applyAll([configApply('a', 0, 'a'), configApply('b', 0, 'b'), configApply('c', 1, 'c'), configApply('a', 0, 'a'), configApply('a', 2, 'd')]);
	assert.deepEqual(outcomes, [
		{kind: 'applied', version: 1, revision: 1},
		{kind: 'version-conflict', version: 1},
		{kind: 'applied', version: 2, revision: 2},
		{kind: 'applied', version: 1, revision: 1},
		{kind: 'refused', code: 'change-id-reused'},
	]);
	assert.equal(state.history.length, 2);
});

test('a resent key.issue command does not replace the key of the first attempt', () => {
	const {state, outcomes} = applyAll([keyIssue('a', 'k', '1'), keyIssue('a', 'k', '2'), keyIssue('b', 'k', '3')]);
	assert.deepEqual(outcomes[1], outcomes[0]);
	assert.deepEqual(outcomes[2], {kind: 'refused', code: 'exists'});
	assert.equal(state.keys.get('k')?.digest, '1'.padEnd(64, '0'));
});

test('a claimed request runs only once, and its idempotency key is refused for a different body', () => {
	const answered = {kind: 'answered' as const, outcome: {status: 200, headers: {}}};
	const {kinds} = applyAll([
		claimOpen('a'),
		claimOpen('a'),
		claimOpen('b'),
		claimOpen('b', 'i-1', 'other'),
		claimSettle('b', {kind: 'not-run'}),
		claimOpen('b'),
		claimSettle('a', answered),
		claimSettle('a', {kind: 'not-run'}),
		claimOpen('a'),
		claimOpen('b'),
	]);
	assert.deepEqual(kinds, [
		'claim-granted',
		'claim-granted',
		'claim-pending',
		'claim-conflict',
		'refused',
		'claim-pending',
		'done',
		'done',
		'claim-recorded',
		'claim-recorded',
	]);
});

test('a claim is not granted again after an unknown outcome, but is granted again after its request did not run', () => {
	const {kinds} = applyAll([
		claimOpen('a'),
		claimSettle('a', {kind: 'unknown'}),
		claimSettle('a', {kind: 'not-run'}),
		claimOpen('b'),
		claimOpen('c', 'i-2'),
		claimSettle('c', {kind: 'not-run'}, 'i-2'),
		claimOpen('d', 'i-2'),
	]);
	assert.deepEqual(kinds, ['claim-granted', 'done', 'done', 'claim-unknown', 'claim-granted', 'done', 'claim-granted']);
});

test('the number of claims and the bytes recorded for them stay within limits, and claims expire', () => {
	const limits = {
		...controlLimits, claimsPerTenant: 2, claims: 3, recordedBytes: 5,
	};
	const body = new Uint8Array(4);
	const {state, outcomes, kinds} = applyAll([
		claimOpen('a', '1'),
		{type: 'clock.advance', elapsedMs: hourMs},
		claimOpen('b', '2'),
		claimOpen('c', '3'),
		claimOpen('d', '1', 'a', 'zeta'),
		claimOpen('e', '2', 'a', 'zeta'),
		claimSettle('a', {kind: 'answered', outcome: {status: 200, headers: {}, body}}, '1'),
		claimSettle('b', {kind: 'answered', outcome: {status: 200, headers: {}, body}}, '2'),
		{type: 'clock.advance', elapsedMs: 23 * hourMs},
		claimOpen('f', '3'),
		claimOpen('g', '2'),
	], limits);
	assert.deepEqual(outcomes[3], {kind: 'claim-too-many', retryAfterMs: 23 * hourMs});
	assert.deepEqual(kinds.slice(4), ['claim-granted', 'claim-too-many', 'done', 'done', 'done', 'claim-granted', 'claim-recorded']);
	assert.deepEqual([state.claims.size, state.recordedBytes], [3, 0]);
});

test('a lease has only one holder per epoch, and a former holder cannot renew it', () => {
	const renew: Command = {
		type: 'lease.renew', name: 'orders', holder: 'vm-1', incarnation: 1, epoch: 1, ttlMs: 1000,
	};
	const {outcomes} = applyAll([
		leaseAcquire('vm-1'),
		leaseAcquire('vm-2'),
		{type: 'clock.advance', elapsedMs: 999},
		renew,
		{type: 'clock.advance', elapsedMs: 999},
		leaseAcquire('vm-2'),
		{type: 'clock.advance', elapsedMs: 1},
		leaseAcquire('vm-2'),
		renew,
		leaseAcquire('vm-2', 2),
		leaseAcquire('vm-2', 1),
	]);
	const leaseTaken = (vm: string, incarnation: number, epoch: number) => ({kind: 'lease-taken', current: {holder: {vm, incarnation}, epoch}});
	assert.deepEqual(outcomes.filter(({kind}) => kind !== 'done'), [
		{kind: 'lease-held', epoch: 1},
		leaseTaken('vm-1', 1, 1),
		{kind: 'lease-held', epoch: 1},
		leaseTaken('vm-1', 1, 1),
		{kind: 'lease-held', epoch: 2},
		leaseTaken('vm-2', 1, 2),
		{kind: 'lease-held', epoch: 3},
		leaseTaken('vm-2', 2, 3),
	]);
});

test('a former holder of the lease cannot settle an order', () => {
	const submit: Command = {
		type: 'order.submit', changeId: 'a', orderId: 'o', upstream: 'engine-1', order: {load: 'm'},
	};
	const settle = (epoch: number): Command => ({
		type: 'order.settle', orderId: 'o', epoch, status: 'done',
	});
	const {state, outcomes} = applyAll([submit, submit, leaseAcquire('vm-1'), leaseAcquire('vm-1', 2), settle(1), settle(2)]);
	assert.deepEqual(outcomes[4], {kind: 'refused', code: 'stale'});
	assert.equal(state.orders.get('o')?.status, 'done');
});

test('the numbers of kept configuration versions, outcomes, changes and keys stay within their limits', () => {
	const limits = {
		...controlLimits, outcomes: 3, historyVersions: 2, changes: 4, keys: 5,
	};
	const {state, outcomes} = applyAll([
		...Array.from({length: 5}, (_, i) => configApply(`c${i}`, i)),
		...Array.from({length: 6}, (_, i) => keyIssue(`k${i}`, `k${i}`)),
	], limits);
	assert.deepEqual([state.history.length, state.outcomes.size, state.changes.length, state.keys.size], [2, 3, 4, 5]);
	assert.deepEqual(outcomes.at(-1), {kind: 'refused', code: 'too-many'});
});

const ids = fc.constantFrom('a', 'b', 'c');
const commands: fc.Arbitrary<Command> = fc.oneof(
	fc.tuple(ids, fc.nat({max: 3}), ids).map(([changeId, version, text]) => configApply(changeId + text, version, text)),
	fc.tuple(ids, ids).map(([changeId, keyId]) => keyIssue(`k${changeId}`, keyId)),
	fc.tuple(ids, ids).map(([changeId, keyId]): Command => ({type: 'key.withdraw', changeId: `w${changeId}`, keyId})),
	fc.tuple(ids, ids, ids).map(([claimId, key, digest]) => claimOpen(claimId, key, digest)),
	fc.tuple(ids, ids, fc.constantFrom<CommandOf<'claim.settle'>['outcome']>({kind: 'not-run'}, {kind: 'unknown'}, {kind: 'answered', outcome: {status: 200, headers: {}, body: new Uint8Array(3)}}))
		.map(([claimId, key, outcome]) => claimSettle(claimId, outcome, key)),
	fc.tuple(ids, fc.nat({max: 2})).map(([holder, incarnation]) => leaseAcquire(holder, incarnation)),
	fc.tuple(ids, ids, fc.boolean()).map(([changeId, name, draining]): Command => ({
		type: 'drain.set', changeId: `d${changeId}${name}${draining}`, target: 'vm', name, draining,
	})),
	fc.tuple(ids, ids, fc.boolean(), fc.option(fc.nat({max: 20}), {nil: undefined})).map(([changeId, name, draining, revision]): Command => (
		evacuate(`z${changeId}${name}${draining}`, draining, revision, name))),
	fc.nat({max: 2 * hourMs}).map((elapsedMs): Command => ({type: 'clock.advance', elapsedMs})),
);

test('a member that is restored from a snapshot reaches the same state and outcomes as the others', () => {
	fc.assert(fc.property(fc.array(commands, {minLength: 40, maxLength: 80}), fc.nat({max: 40}), (commandList, splitIndex) => {
		const {state, outcomes} = applyAll(commandList.slice(0, splitIndex));
		const snapshot = snapshotState(state);
		const before = structuredClone(snapshot);
		const restored = restoreState(structuredClone(snapshot));
		for (const command of commandList.slice(splitIndex)) {
			outcomes.push(applyCommand(state, command));
			assert.deepEqual(applyCommand(restored, command), outcomes.at(-1));
		}

		assert.deepEqual(snapshotState(restored), snapshotState(state));
		assert.deepEqual(snapshot, before);
		assert.deepEqual(applyAll(commandList).outcomes, outcomes);
	}), {seed: 5, numRuns: 300});
});

function configPublish(version: number, text = `v${version}`): Command {
	const source = new TextEncoder().encode(text);
	return {
		type: 'config.publish', version, source, configuration: source,
	};
}

test('the highest published version is in force, and publishing it again does not replace its content', () => {
	const {state, outcomes} = applyAll([configPublish(3), configPublish(7, 'first'), configPublish(7, 'second'), configPublish(5), configPublish(9)]);
	assert.deepEqual(outcomes, [
		{
			kind: 'published', version: 3, revision: 1, isChanged: true,
		},
		{
			kind: 'published', version: 7, revision: 2, isChanged: true,
		},
		{
			kind: 'published', version: 7, revision: 2, isChanged: false,
		},
		{
			kind: 'published', version: 7, revision: 2, isChanged: false,
		},
		{
			kind: 'published', version: 9, revision: 3, isChanged: true,
		},
	]);
	assert.deepEqual(state.history.map(({version, source}) => [version, new TextDecoder().decode(source)]), [[3, 'v3'], [7, 'first'], [9, 'v9']]);
});

test('an evacuation that is repeated changes nothing, and an order that was read before a later one for its zone is refused', () => {
	const {state, outcomes} = applyAll([
		evacuate('a', true, 0),
		evacuate('b', true, 0),
		evacuate('other zone', true, 0, 'z2'),
		evacuate('c', false, 1),
		evacuate('late', true, 1),
		evacuate('d', false, 1),
		evacuate('next', true, 3),
	]);
	const done = (revision: number) => ({kind: 'done', revision});
	assert.deepEqual(outcomes, [done(1), done(1), done(2), done(3), {kind: 'refused', code: 'stale'}, done(3), done(4)]);
	assert.deepEqual([...restoreState(structuredClone(snapshotState(state))).drains.keys()], ['zone/z2', 'zone/z1']);
});

test('an order is refused if changes after the revision that it was read at are no longer kept', () => {
	const limits = {...controlLimits, changes: 2};
	const {outcomes} = applyAll([...['a', 'b', 'c', 'd'].map(name => evacuate(name, true, undefined, name)), evacuate('old', true, 1), evacuate('recent', true, 2)], limits);
	assert.deepEqual(outcomes.slice(4), [{kind: 'refused', code: 'stale'}, {kind: 'done', revision: 5}]);
});

test('a snapshot from before there were evacuations is restored, and its drains stay in force', () => {
	const {state} = applyAll([{
		type: 'drain.set', changeId: 'a', target: 'upstream', name: 'engine-1', draining: true,
	}]);
	const restored = restoreState(structuredClone(snapshotState(state)));
	assert.deepEqual(applyCommand(restored, evacuate('b', true, 1)), {kind: 'done', revision: 2});
	assert.deepEqual([...restored.drains.values()], [{target: 'upstream', name: 'engine-1'}, {target: 'zone', name: 'z1'}]);
});
