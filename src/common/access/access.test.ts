import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {SharedConfiguration} from '../configuration/types.js';
import {applyCommand} from '../control/apply.js';
import type {Command, SyncReply, SyncRequest} from '../control/messages.js';
import {changesSince, readViewPage} from '../control/queries.js';
import {createReplicatedState} from '../control/state.js';
import {
	createAccess, freshnessLimitMs, isFresh, lookupKey, reduceAccess,
} from './access.js';
import type {AccessEffect, AccessEvent} from './access.js';

const decode = () => ({tenants: {acme: {rate: 1000, burst: 1000, weight: 1}}}) as unknown as SharedConfiguration;
const digestOf = (i: number) => String(i).padStart(64, '0');

function issue(i: number): Command {
	return {
		type: 'key.issue', changeId: `i${i}`, keyId: `key-${i}`, digest: digestOf(i), tenant: 'acme',
	};
}

function withdraw(i: number): Command {
	return {type: 'key.withdraw', changeId: `w${i}`, keyId: `key-${i}`};
}

/** An access slice, and a replicated state whose answers reach it only as the test sends them. */
function makeFixture() {
	const server = createReplicatedState();
	const access = createAccess({controlVms: ['a', 'b', 'c'], decode});
	const apply = (...commands: Command[]) => {
		for (const command of commands) {
			applyCommand(server, command);
		}
	};

	const reduce = (event: AccessEvent) => reduceAccess(access, event);
	const requestOf = (effects: AccessEffect[]) => effects.find(effect => effect.type === 'access/request');
	const tick = (nowMs: number) => requestOf(reduce({type: 'access/tick', nowMs}));
	const answer = ({revision, page}: SyncRequest): SyncReply => {
		const changes = page ? undefined : changesSince(server, revision);
		return {
			kind: 'synced', revision: server.revision, ...(changes ? {changes} : {snapshot: readViewPage(server, page)}), grants: [], shortages: [], stamp: {term: 1, atMs: 0}, takenMs: 0,
		};
	};

	/** Syncs until no further sync is due at once, and returns all effects. */
	const syncAt = (nowMs: number) => {
		const effects: AccessEffect[] = [];
		for (let req = tick(nowMs); req; req = requestOf(effects.slice(-1))) {
			effects.push(...reduce({
				type: 'access/reply', nowMs, seq: req.seq, body: answer(req.message),
			}));
		}

		return effects;
	};

	apply({
		type: 'config.apply', changeId: 'c', expectedVersion: 0, sourceDigest: '', source: new Uint8Array(), configuration: new Uint8Array(),
	}, issue(1));
	return {
		access, server, apply, reduce, requestOf, tick, answer, syncAt,
	};
}

function withdrawnIn(effects: readonly AccessEffect[]): unknown[] {
	return effects.flatMap(effect => effect.type === 'notify' && effect.topic === 'access/key-withdrawn' ? [effect.value] : []);
}

test('guards against a proof whose age counts from the answer instead of the question', () => {
	const {access, tick, reduce, answer} = makeFixture();
	const req = tick(0)!;
	assert.equal(isFresh(access, 0), false);
	reduce({
		type: 'access/reply', nowMs: 300, seq: req.seq, body: answer(req.message),
	});
	assert.equal(isFresh(access, freshnessLimitMs), true);
	assert.equal(isFresh(access, freshnessLimitMs + 1), false);
});

test('guards against a late answer that counts although its sync was given up', () => {
	const {access, tick, reduce, answer} = makeFixture();
	const req = tick(0)!;
	reduce({type: 'access/failed', nowMs: 400, seq: req.seq});
	assert.ok(tick(460));
	reduce({
		type: 'access/reply', nowMs: 470, seq: req.seq, body: answer(req.message),
	});
	assert.equal(isFresh(access, 470), false);
});

test('guards against a view that goes back to an earlier configuration or brings back a withdrawn key', () => {
	const {access, apply, syncAt, tick, reduce, answer} = makeFixture();
	syncAt(0);
	const old = answer(tick(500)!.message);
	reduce({type: 'access/failed', nowMs: 501, seq: access.nextSeq - 1});
	apply(withdraw(1));
	assert.deepEqual(withdrawnIn(syncAt(600)), ['key-1']);
	const {confirmedMs} = access;
	const req = tick(1200)!;
	reduce({
		type: 'access/reply', nowMs: 1201, seq: req.seq, body: old,
	});
	assert.equal(lookupKey(access, digestOf(1)), undefined);
	assert.deepEqual([access.view.revision, access.published?.revision, access.confirmedMs], [3, 3, confirmedMs]);
});

test('guards against an incomplete view in service, and keys withdrawn while its pages were read', () => {
	const {access, apply, reduce, requestOf, tick, answer, syncAt} = makeFixture();
	for (let i = 2; i <= 7000; i++) {
		apply(issue(i));
	}

	const first = tick(0)!;
	const next = requestOf(reduce({
		type: 'access/reply', nowMs: 1, seq: first.seq, body: answer(first.message),
	}))!;
	assert.deepEqual([isFresh(access, 1), lookupKey(access, digestOf(1))], [false, undefined]);
	apply(withdraw(1), withdraw(6999), issue(8000));
	reduce({
		type: 'access/reply', nowMs: 2, seq: next.seq, body: answer(next.message),
	});
	assert.equal(isFresh(access, 2), false);
	reduce({type: 'access/failed', nowMs: 3, seq: next.seq + 1});
	for (let nowMs = 60; nowMs < 200; nowMs += 20) {
		syncAt(nowMs);
	}

	assert.equal(isFresh(access, 200), true);
	const known = [1, 2, 6998, 6999, 7000, 8000].filter(i => lookupKey(access, digestOf(i)));
	assert.deepEqual(known, [2, 6998, 7000, 8000]);
	assert.equal(access.view.keysByDigest.size, 6999);
});

test('guards against a withdrawal that is missed by a process that was away for more changes than are kept', () => {
	const {access, apply, syncAt, server} = makeFixture();
	syncAt(0);
	apply(withdraw(1), ...Array.from({length: 1500}, (_, i) => issue(i + 2)));
	assert.equal(changesSince(server, 2), undefined);
	const effects: AccessEffect[] = [];
	for (let nowMs = 600; nowMs < 700; nowMs += 20) {
		effects.push(...syncAt(nowMs));
	}

	assert.deepEqual(withdrawnIn(effects), ['key-1']);
	assert.equal(access.view.keysByDigest.size, 1500);
});

test('guards against a process that stays with a silent or deposed control VM', () => {
	const {access, reduce, requestOf, tick} = makeFixture();
	const first = tick(0)!;
	assert.equal(first.to, 'a');
	reduce({type: 'access/failed', nowMs: 400, seq: first.seq});
	const second = tick(450)!;
	assert.equal(second.to, 'b');
	const hinted = requestOf(reduce({
		type: 'access/reply', nowMs: 451, seq: second.seq, body: {kind: 'not-leader', leader: 'c'},
	}))!;
	assert.equal(hinted.to, 'c');
	// Two members that name each other are asked only a few times without a pause.
	const again = requestOf(reduce({
		type: 'access/reply', nowMs: 452, seq: hinted.seq, body: {kind: 'not-leader', leader: 'b'},
	}))!;
	assert.ok(!requestOf(reduce({
		type: 'access/reply', nowMs: 453, seq: again.seq, body: {kind: 'not-leader', leader: 'c'},
	})));
	assert.equal(access.target, 'c');
});

test('guards against a push or a waiting request that does not cause a sync before the next regular one', () => {
	const {syncAt, reduce, requestOf, access} = makeFixture();
	syncAt(0);
	assert.ok(!requestOf(reduce({type: 'access/changed', nowMs: 20, revision: 2})));
	assert.ok(requestOf(reduce({type: 'access/changed', nowMs: 30, revision: 3})));
	reduce({type: 'access/failed', nowMs: 31, seq: access.nextSeq - 1});
	syncAt(100);
	const {message} = requestOf(reduce({
		type: 'access/acquire', nowMs: 120, token: 1, tenant: 'acme', tokens: 10, maxWaitMs: 100,
	}))!;
	assert.deepEqual(message.allowances.wanted, [{
		tenant: 'acme', tokens: 10, atLeast: 10, waitMs: 100,
	}]);
	const answers = [reduce({type: 'access/tick', nowMs: 219}), reduce({type: 'access/tick', nowMs: 220})];
	assert.deepEqual(answers, [[], [{type: 'reply', token: 1, body: {ok: false, code: 'control-unreachable', retryAfterMs: 1000}}]]);
});
