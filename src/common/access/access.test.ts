import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {SharedConfiguration} from '../configuration/types.js';
import {applyCommand} from '../control/apply.js';
import type {Command, SyncReply, SyncRequest} from '../control/messages.js';
import {changesSince, readViewPage} from '../control/queries.js';
import {createReplicatedState} from '../control/state.js';
import {
	createAccessState, freshnessLimitMs, isFresh, findIdentity, reduceAccess,
} from './access.js';
import type {AccessEffect, AccessEvent} from './access.js';

const decodeConfiguration = () => ({tenants: {acme: {rate: 1000, burst: 1000, weight: 1}}}) as unknown as SharedConfiguration;
const digestOf = (i: number) => String(i).padStart(64, '0');

function issueCommand(i: number): Command {
	return {
		type: 'key.issue', changeId: `i${i}`, keyId: `key-${i}`, digest: digestOf(i), tenant: 'acme',
	};
}

function withdrawCommand(i: number): Command {
	return {type: 'key.withdraw', changeId: `w${i}`, keyId: `key-${i}`};
}

/** Creates an access slice and a replicated state that it syncs with. Replies reach the slice only if the test dispatches them. */
function makeFixture() {
	const controlState = createReplicatedState();
	const access = createAccessState({controlVms: ['a', 'b', 'c'], decodeConfiguration});
	const apply = (...commands: Command[]) => {
		for (const command of commands) {
			applyCommand(controlState, command);
		}
	};

	const reduce = (event: AccessEvent) => reduceAccess(access, event);
	const findRequest = (effects: AccessEffect[]) => effects.find(effect => effect.type === 'access/request');
	const tick = (nowMs: number) => findRequest(reduce({type: 'access/tick', nowMs}));
	const replyTo = ({revision, page}: SyncRequest): SyncReply => {
		const changes = page ? undefined : changesSince(controlState, revision);
		return {
			kind: 'synced', revision: controlState.revision, ...(changes ? {changes} : {snapshot: readViewPage(controlState, page)}), grants: [], shortages: [], stamp: {term: 1, atMs: 0}, takenMs: 0,
		};
	};

	/** Runs syncs until no further sync is due at `nowMs`, and returns the effects of all replies. */
	const syncAt = (nowMs: number) => {
		const effects: AccessEffect[] = [];
		for (let request = tick(nowMs); request; request = findRequest(effects.slice(-1))) {
			effects.push(...reduce({
				type: 'access/reply', nowMs, seq: request.seq, body: replyTo(request.message),
			}));
		}

		return effects;
	};

	apply({
		type: 'config.apply', changeId: 'c', expectedVersion: 0, sourceDigest: '', source: new Uint8Array(), configuration: new Uint8Array(),
	}, issueCommand(1));
	return {
		access, controlState, apply, reduce, findRequest, tick, replyTo, syncAt,
	};
}

function withdrawnKeyIds(effects: readonly AccessEffect[]): unknown[] {
	return effects.flatMap(effect => effect.type === 'notify' && effect.topic === 'access/key-withdrawn' ? [effect.value] : []);
}

test('the age of the view is counted from when its sync was sent, not from when the reply arrived', () => {
	const {access, tick, reduce, replyTo} = makeFixture();
	const request = tick(0)!;
	assert.equal(isFresh(access, 0), false);
	reduce({
		type: 'access/reply', nowMs: 300, seq: request.seq, body: replyTo(request.message),
	});
	assert.equal(isFresh(access, freshnessLimitMs), true);
	assert.equal(isFresh(access, freshnessLimitMs + 1), false);
});

test('a reply that arrives after its sync has failed does not make the view fresh', () => {
	const {access, tick, reduce, replyTo} = makeFixture();
	const request = tick(0)!;
	reduce({type: 'access/failed', nowMs: 400, seq: request.seq});
	assert.ok(tick(460));
	reduce({
		type: 'access/reply', nowMs: 470, seq: request.seq, body: replyTo(request.message),
	});
	assert.equal(isFresh(access, 470), false);
});

test('a reply with an older revision than the view neither restores a withdrawn key nor replaces the view', () => {
	const {access, apply, syncAt, tick, reduce, replyTo} = makeFixture();
	syncAt(0);
	const outdatedReply = replyTo(tick(500)!.message);
	reduce({type: 'access/failed', nowMs: 501, seq: access.nextSeq - 1});
	apply(withdrawCommand(1));
	assert.deepEqual(withdrawnKeyIds(syncAt(600)), ['key-1']);
	const {confirmedMs} = access;
	const request = tick(1200)!;
	reduce({
		type: 'access/reply', nowMs: 1201, seq: request.seq, body: outdatedReply,
	});
	assert.equal(findIdentity(access, digestOf(1)), undefined);
	assert.deepEqual([access.view.revision, access.publishedView?.revision, access.confirmedMs], [3, 3, confirmedMs]);
});

test('a view is not used until all its pages have been received, and a key withdrawn in the meantime is not valid afterwards', () => {
	const {access, apply, reduce, findRequest, tick, replyTo, syncAt} = makeFixture();
	for (let i = 2; i <= 7000; i++) {
		apply(issueCommand(i));
	}

	const firstRequest = tick(0)!;
	const secondRequest = findRequest(reduce({
		type: 'access/reply', nowMs: 1, seq: firstRequest.seq, body: replyTo(firstRequest.message),
	}))!;
	assert.deepEqual([isFresh(access, 1), findIdentity(access, digestOf(1))], [false, undefined]);
	apply(withdrawCommand(1), withdrawCommand(6999), issueCommand(8000));
	reduce({
		type: 'access/reply', nowMs: 2, seq: secondRequest.seq, body: replyTo(secondRequest.message),
	});
	assert.equal(isFresh(access, 2), false);
	reduce({type: 'access/failed', nowMs: 3, seq: secondRequest.seq + 1});
	for (let nowMs = 60; nowMs < 200; nowMs += 20) {
		syncAt(nowMs);
	}

	assert.equal(isFresh(access, 200), true);
	const knownKeys = [1, 2, 6998, 6999, 7000, 8000].filter(i => findIdentity(access, digestOf(i)));
	assert.deepEqual(knownKeys, [2, 6998, 7000, 8000]);
	assert.equal(access.view.keysByDigest.size, 6999);
});

test('a process that missed more changes than the leader keeps still reports a key withdrawn among them', () => {
	const {access, apply, syncAt, controlState} = makeFixture();
	syncAt(0);
	apply(withdrawCommand(1), ...Array.from({length: 1500}, (_, i) => issueCommand(i + 2)));
	assert.equal(changesSince(controlState, 2), undefined);
	const effects: AccessEffect[] = [];
	for (let nowMs = 600; nowMs < 700; nowMs += 20) {
		effects.push(...syncAt(nowMs));
	}

	assert.deepEqual(withdrawnKeyIds(effects), ['key-1']);
	assert.equal(access.view.keysByDigest.size, 1500);
});

test('if a control VM does not answer or is not the leader, the process syncs with another control VM', () => {
	const {access, reduce, findRequest, tick} = makeFixture();
	const firstRequest = tick(0)!;
	assert.equal(firstRequest.to, 'a');
	reduce({type: 'access/failed', nowMs: 400, seq: firstRequest.seq});
	const secondRequest = tick(450)!;
	assert.equal(secondRequest.to, 'b');
	const hintedRequest = findRequest(reduce({
		type: 'access/reply', nowMs: 451, seq: secondRequest.seq, body: {kind: 'not-leader', leader: 'c'},
	}))!;
	assert.equal(hintedRequest.to, 'c');
	// Control VMs that name each other as leader: after two hints followed at once, the third causes no sync without a delay.
	const repeatedRequest = findRequest(reduce({
		type: 'access/reply', nowMs: 452, seq: hintedRequest.seq, body: {kind: 'not-leader', leader: 'b'},
	}))!;
	assert.ok(!findRequest(reduce({
		type: 'access/reply', nowMs: 453, seq: repeatedRequest.seq, body: {kind: 'not-leader', leader: 'c'},
	})));
	assert.equal(access.target, 'c');
});

test('a notification of a newer revision or a request that waits for rate tokens causes a sync before the next regular one is due', () => {
	const {syncAt, reduce, findRequest, access} = makeFixture();
	syncAt(0);
	assert.ok(!findRequest(reduce({type: 'access/changed', nowMs: 20, revision: 2})));
	assert.ok(findRequest(reduce({type: 'access/changed', nowMs: 30, revision: 3})));
	reduce({type: 'access/failed', nowMs: 31, seq: access.nextSeq - 1});
	syncAt(100);
	const {message} = findRequest(reduce({
		type: 'access/acquire', nowMs: 120, token: 1, tenant: 'acme', tokens: 10, maxWaitMs: 100,
	}))!;
	assert.deepEqual(message.allowances.wanted, [{
		tenant: 'acme', tokens: 10, atLeast: 10, waitMs: 100,
	}]);
	const effects = [reduce({type: 'access/tick', nowMs: 219}), reduce({type: 'access/tick', nowMs: 220})];
	assert.deepEqual(effects, [[], [{type: 'reply', token: 1, body: {ok: false, code: 'control-unreachable', retryAfterMs: 1000}}]]);
});
