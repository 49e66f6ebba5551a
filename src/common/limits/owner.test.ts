import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {AllowanceReport, Grant} from '../control/messages.js';
import {AllowanceHolder} from './holder.js';
import {AllowanceOwner} from './owner.js';
import {
	advanceShare, askedValidityMs, grantValidityMs, ownerAskedValidityMs, ownerValidityMs,
} from './types.js';

const emptyReport: AllowanceReport = {
	spent: [], returned: [], refunds: [], charges: [], wanted: [],
};

function makeOwner(rate: number, burst: number, term = 1): AllowanceOwner {
	const owner = new AllowanceOwner(term, 0);
	owner.setLimits([['acme', {rate, burst}]], 0);
	return owner;
}

/** Reports and wants; the answer is sent at once. */
function ask(owner: AllowanceOwner, vm: string, nowMs: number, report: Partial<AllowanceReport>): readonly Grant[] {
	const {grants} = owner.allot({vm, incarnation: 1}, {...emptyReport, ...report}, nowMs);
	owner.confirm(grants, nowMs);
	return grants;
}

const wanted = (tokens: number, atLeast: number, waitMs = 500) => [{
	tenant: 'acme', tokens, atLeast, waitMs,
}];
/** In advance. */
const want = (tokens: number) => wanted(tokens, 0);
/** For a request that waits. */
const asked = (tokens: number) => wanted(tokens, tokens, 5000);
const totalOf = (grants: readonly Grant[]) => grants.reduce((total, {tokens}) => total + tokens, 0);
const acquireFrom = (holder: AllowanceHolder, token: number, tokens: number, nowMs: number) => holder.acquire({
	tenant: 'acme', tokens, maxWaitMs: 500, token, limit: {rate: 100, burst: 1000}, nowMs,
});
/** Takes all that a bucket holds, and checks that it is this much. */
function takesAll(owner: AllowanceOwner, nowMs: number, tokens: number, report: Partial<AllowanceReport> = {}): void {
	assert.equal(totalOf(ask(owner, 'a', nowMs, {...report, wanted: asked(tokens + 1)})), 0);
	assert.equal(totalOf(ask(owner, 'a', nowMs, {wanted: asked(tokens)})), tokens);
}

const stamp = (atMs: number) => ({term: 1, atMs});
const grant = (id: number, tokens: number): Grant => ({
	id, tenant: 'acme', tokens, isAdvance: true,
});

test('guards against a bucket that refills beyond tokens its holders may still spend', () => {
	const owner = makeOwner(1000, 1000);
	const answeredMs = 5000;
	takesAll(owner, answeredMs, 1000);
	// The clock of a holder may run slower than the owner's.
	assert.equal(totalOf(ask(owner, 'b', answeredMs + (1.05 * askedValidityMs), {wanted: asked(1)})), 0);
	assert.equal(totalOf(ask(owner, 'b', answeredMs + ownerAskedValidityMs - 1, {wanted: asked(1)})), 0);
	ask(owner, 'b', answeredMs + ownerAskedValidityMs, {});
	takesAll(owner, answeredMs + ownerAskedValidityMs + 100, 100);
});

test('guards against tokens in advance that no new leader can account for, or that count for less time than they may be spent', () => {
	const owner = makeOwner(1000, 1000);
	const answeredMs = 5000;
	const advance = 1000 * advanceShare;
	assert.equal(totalOf(ask(owner, 'a', answeredMs, {wanted: want(1000)})), advance);
	assert.equal(totalOf(ask(owner, 'b', answeredMs, {wanted: want(1000)})), 0);
	assert.equal(totalOf(ask(owner, 'b', answeredMs + (1.05 * grantValidityMs), {wanted: asked(1001 - advance)})), 0);
	assert.equal(totalOf(ask(owner, 'b', answeredMs + ownerValidityMs - 1, {wanted: asked(1001 - advance)})), 0);
	ask(owner, 'b', answeredMs + ownerValidityMs, {});
	takesAll(owner, answeredMs + ownerValidityMs + 100, 1000 - advance + 100);
});

test('guards against a grant that its holder spends longer than for its validity since the question', () => {
	const holder = new AllowanceHolder();
	assert.equal(acquireFrom(holder, 1, 10, 0), undefined);
	const answers = holder.receive({
		sentMs: 0, grants: [grant(1, 30)], shortages: [], stamp: stamp(0), takenMs: 0,
	}, () => undefined, 300);
	assert.deepEqual(answers, [{token: 1, result: {ok: true}}]);
	assert.deepEqual(acquireFrom(holder, 2, 10, grantValidityMs - 1), {ok: true});
	assert.equal(acquireFrom(holder, 3, 10, grantValidityMs), undefined);
});

test('guards against unspent tokens that expire although another sync could give them back, or are spent after that', () => {
	const holder = new AllowanceHolder();
	holder.receive({
		sentMs: 0, grants: [grant(1, 30)], shortages: [], stamp: stamp(0), takenMs: 0,
	}, () => undefined, 5);
	assert.deepEqual(acquireFrom(holder, 1, 10, 5), {ok: true});
	assert.deepEqual(holder.report(200).spent, [{grant: 1, tokens: 10}]);
	assert.deepEqual(holder.report(500).returned, [{grant: 1, tokens: 20}]);
	assert.equal(acquireFrom(holder, 2, 10, 510), undefined);
});

test('guards against refunds of tokens that an earlier leader granted', () => {
	const owner = makeOwner(100, 1000, 2);
	const refunds = [{tenant: 'acme', stamp: stamp(0), tokens: 500}];
	takesAll(owner, 2000, (2000 - ownerAskedValidityMs) / 10, {refunds});
});

test('guards against a refund on top of refill that the full bucket would have turned away', () => {
	const owner = makeOwner(100, 1000);
	for (const nowMs of [20_000, 40_000]) {
		const [taken] = ask(owner, 'a', nowMs, {wanted: asked(1000)});
		assert.equal(taken?.tokens, 1000);
		ask(owner, 'a', nowMs + 10, {spent: [{grant: taken.id, tokens: 1000}]});
	}

	// The bucket was full between the two: the first 1,000 tokens would have made no difference to the second.
	const refund = (atMs: number) => [{tenant: 'acme', stamp: stamp(atMs), tokens: 500}];
	takesAll(owner, 40_110, 10, {refunds: refund(20_000)});
	takesAll(owner, 40_210, 510, {refunds: refund(40_050)});
});

test('guards against two refunds that use the same room in the bucket', () => {
	const owner = makeOwner(100, 1000);
	const spend = (nowMs: number, tokens: number) => {
		const [taken] = ask(owner, 'a', nowMs, {wanted: asked(tokens)});
		assert.equal(taken?.tokens, tokens);
		ask(owner, 'a', nowMs, {spent: [{grant: taken.id, tokens}]});
	};

	spend(20_000, 800);
	spend(27_500, 900);
	// Room for 50 tokens was left at 27,500 ms; whatever was taken before may fill it once.
	const refund = {tenant: 'acme', stamp: stamp(20_000), tokens: 100};
	ask(owner, 'a', 27_500, {refunds: [refund]});
	takesAll(owner, 27_500, 100, {refunds: [refund]});
});

test('guards against a refund that counts as acquired later than it was when sizes are equal', () => {
	const holder = new AllowanceHolder();
	for (const atMs of [100, 200]) {
		holder.receive({
			sentMs: atMs, grants: [grant(atMs, 10)], shortages: [], stamp: stamp(atMs), takenMs: atMs,
		}, () => undefined, atMs);
		acquireFrom(holder, atMs, 10, atMs);
	}

	for (const used of [0, 4]) {
		holder.settle({
			tenant: 'acme', acquired: 10, used, nowMs: 300,
		});
	}

	const refunds = holder.report(300).refunds.map(refund => [refund.stamp.atMs, refund.tokens]);
	assert.deepEqual(refunds, [[100, 10], [100, 6]]);
});

test('guards against a request that waits although the owner\'s answer shows that it cannot be served in time', () => {
	const holder = new AllowanceHolder();
	acquireFrom(holder, 1, 10, 0);
	acquireFrom(holder, 2, 30, 0);
	const limit = {rate: 100, burst: 1000};
	const answers = holder.receive({
		sentMs: 0, grants: [], shortages: [{tenant: 'acme', waitMs: 400, isPause: false}], stamp: stamp(0), takenMs: 0,
	}, () => limit, 10);
	assert.deepEqual(answers, [{token: 2, result: {ok: false, code: 'rate-exceeded', retryAfterMs: 700}}]);
	assert.deepEqual(acquireFrom(holder, 3, 2000, 20), {ok: false, code: 'exceeds-burst'});
	assert.deepEqual(holder.expire(500), [{token: 1, result: {ok: false, code: 'rate-exceeded', retryAfterMs: 1}}]);
});

test('guards against a lookup of one token that waits behind a prompt of thousands', () => {
	const holder = new AllowanceHolder();
	assert.equal(acquireFrom(holder, 1, 1000, 0), undefined);
	acquireFrom(holder, 2, 1, 0);
	acquireFrom(holder, 3, 1, 0);
	const answers = holder.receive({
		sentMs: 0, takenMs: 0, grants: [grant(1, 100)], shortages: [], stamp: stamp(0),
	}, () => ({rate: 100, burst: 1000}), 10);
	assert.deepEqual(answers.map(({token}) => token), [2, 3]);
	assert.deepEqual(acquireFrom(holder, 4, 1, 20), {ok: true});
	assert.equal(acquireFrom(holder, 5, 150, 20), undefined);
});

test('guards against a lookup that is asked for only when a prompt of thousands behind it may be covered', () => {
	const holder = new AllowanceHolder();
	assert.equal(acquireFrom(holder, 1, 100, 0), undefined);
	holder.receive({
		sentMs: 0, grants: [], shortages: [{tenant: 'acme', waitMs: 400, isPause: false}], stamp: stamp(0), takenMs: 0,
	}, () => ({rate: 100, burst: 1000}), 10);
	assert.equal(holder.wakeMs(), 410);
	assert.equal(acquireFrom(holder, 2, 1, 20), undefined);
	assert.equal(holder.wakeMs(), 20);
	assert.equal(holder.report(20).wanted[0]?.atLeast, 1);
});

test('guards against a tenant that is told that it exceeds its rate while a new leader grants nothing', () => {
	const owner = makeOwner(100, 1000);
	const holder = new AllowanceHolder();
	acquireFrom(holder, 1, 10, 0);
	const {grants, shortages} = owner.allot({vm: 'a', incarnation: 1}, holder.report(0), 0);
	assert.deepEqual([grants, shortages], [[], [{tenant: 'acme', waitMs: ownerAskedValidityMs, isPause: true}]]);
	const answers = holder.receive({
		sentMs: 0, grants, shortages, stamp: stamp(0), takenMs: 0,
	}, () => ({rate: 100, burst: 1000}), 10);
	// It waits 500 ms, so it may have its turn.
	assert.deepEqual(answers, []);
	assert.deepEqual(holder.expire(500), [{token: 1, result: {ok: false, code: 'control-unreachable', retryAfterMs: 1}}]);
});

test('guards against a leader that grants while a grant of its predecessor may be spent, or pauses longer than that', () => {
	const silenceMs = 300;
	const owner = new AllowanceOwner(2, 0, silenceMs);
	owner.setLimits([['acme', {rate: 1000, burst: 1000}]], 0);
	const pauseMs = ownerAskedValidityMs - silenceMs;
	assert.equal(totalOf(ask(owner, 'a', pauseMs, {wanted: asked(1)})), 0);
	takesAll(owner, pauseMs + 100, 100);
	const next = new AllowanceOwner(2, 0, silenceMs);
	next.setLimits([['acme', {rate: 10_000, burst: 1000}]], 0);
	// What its predecessor gave in advance may still be spent.
	takesAll(next, ownerValidityMs - silenceMs, 1000 * (1 - advanceShare));
});

test('a successor goes on where its predecessor stopped, and an answer that was not sent counts for nothing', () => {
	const owner = makeOwner(100, 1000);
	const holder = {vm: 'a', incarnation: 1};
	const [first] = ask(owner, 'a', 11_000, {wanted: asked(600)});
	owner.allot(holder, {...emptyReport, wanted: asked(300)}, 11_000);
	const successor = new AllowanceOwner(2, 0);
	successor.setLimits([['acme', {rate: 100, burst: 1000}]], 0);
	successor.takeOver(owner.handOver(11_000), 0);
	takesAll(successor, 0, 400);
	// What the holder gives back, or lets expire, comes back as with the predecessor.
	takesAll(successor, 100, 500, {returned: [{grant: first!.id, tokens: 500}]});
});

test('guards against a tenant that gets tokens twice since it was removed and added again just before a handover', () => {
	const owner = makeOwner(100, 1000);
	takesAll(owner, 20_000, 1000);
	owner.setLimits([], 20_100);
	owner.setLimits([['acme', {rate: 100, burst: 1000}]], 20_200);
	const successor = new AllowanceOwner(2, 0);
	successor.setLimits([['acme', {rate: 100, burst: 1000}]], 0);
	successor.takeOver(owner.handOver(20_200), 0);
	takesAll(successor, 0, 0);
	takesAll(successor, 100, 10);
});

test('guards against a successor that grants while a grant of its predecessor\'s predecessor may be spent', () => {
	const owner = makeOwner(1000, 1000, 2);
	const successor = new AllowanceOwner(3, 0);
	successor.setLimits([['acme', {rate: 1000, burst: 1000}]], 0);
	successor.takeOver(owner.handOver(300), 0);
	assert.equal(totalOf(ask(successor, 'a', ownerAskedValidityMs - 300, {wanted: asked(1)})), 0);
	takesAll(successor, ownerAskedValidityMs - 290, 10);
	// Tokens in advance wait for those that its predecessor's predecessor gave.
	assert.equal(totalOf(ask(successor, 'a', ownerValidityMs - 301, {wanted: want(10)})), 0);
	assert.equal(totalOf(ask(successor, 'a', ownerValidityMs - 300, {wanted: want(10)})), 10);
});

test('guards against a lookup that waits for tokens kept aside for a prompt of thousands elsewhere', () => {
	const owner = makeOwner(1000, 6000);
	const waiting = (tokens: number) => ({wanted: wanted(tokens, tokens, 5000)});
	assert.equal(totalOf(ask(owner, 'a', ownerValidityMs, waiting(5000))), 0);
	assert.equal(totalOf(ask(owner, 'b', ownerValidityMs, waiting(400))), 400);
	// A request of more than a tenth has its turn after the one that waits.
	assert.equal(totalOf(ask(owner, 'b', ownerValidityMs, waiting(600))), 0);
});

test('guards against one holder that gets in advance what another wants as well', () => {
	const owner = makeOwner(1, 1000);
	owner.allot({vm: 'a', incarnation: 1}, emptyReport, 0);
	const late = 2_000_000;
	const [first] = ask(owner, 'a', late, {wanted: want(1000)});
	ask(owner, 'a', late + 10, {returned: [{grant: first!.id, tokens: first!.tokens}]});
	assert.equal(totalOf(ask(owner, 'b', late + 20, {wanted: want(1000)})), 1000 * advanceShare / 2);
	assert.equal(totalOf(ask(owner, 'c', late + 5000, {wanted: want(10)})), 10);
});

test('guards against charges beyond what was acquired that nobody pays', () => {
	const owner = makeOwner(1000, 1000);
	assert.equal(totalOf(ask(owner, 'a', 5000, {charges: [{tenant: 'acme', tokens: 1500}], wanted: asked(1)})), 0);
	takesAll(owner, 6000, 500);
});

test('guards against a tenant that gets a full bucket by a change of its limit', () => {
	const owner = makeOwner(100, 1000);
	const before = ask(owner, 'a', 20_000, {wanted: asked(1000)});
	assert.equal(totalOf(before), 1000);
	owner.setLimits([], 20_100);
	owner.setLimits([['acme', {rate: 100, burst: 2000}]], 20_200);
	const returned = [{grant: before[0]!.id, tokens: 1000}];
	takesAll(owner, 20_700, 50, {returned});
	owner.setLimits([['acme', {rate: 100, burst: 5000}]], 20_700);
	takesAll(owner, 21_700, 100);
});

test('guards against buckets that are kept for tenants at rest', () => {
	const owner = makeOwner(1000, 1000);
	ask(owner, 'a', 5000, {wanted: want(1000)});
	owner.trim(6000);
	assert.equal(owner.bucketCount, 1);
	owner.trim(9000);
	assert.equal(owner.bucketCount, 0);
});

test('guards against a lookup that waits until the bucket covers a prompt that was refused before it', () => {
	const holder = new AllowanceHolder();
	const limit = {rate: 100, burst: 1000};
	const acquire = (token: number, tokens: number, nowMs: number) => holder.acquire({
		tenant: 'acme', tokens, maxWaitMs: 500, token, limit, nowMs,
	});
	assert.equal(acquire(1, 900, 0), undefined);
	const refused = holder.receive({
		sentMs: 0, grants: [], shortages: [{tenant: 'acme', waitMs: 800, isPause: false}], stamp: stamp(0), takenMs: 0,
	}, () => limit, 10);
	assert.equal(refused[0]?.result.ok, false);
	assert.equal(acquire(2, 20, 20), undefined, 'the owner has to be asked');
	assert.equal(holder.wakeMs(), 20, 'at once');
});

test('guards against tokens held in advance elsewhere that a large prompt lacks', () => {
	const owner = makeOwner(1000, 1000);
	for (const {id, tokens} of ask(owner, 'a', 5000, {wanted: wanted(800, 800)})) {
		ask(owner, 'a', 5001, {spent: [{grant: id, tokens}]});
	}

	// The bucket is full again.
	ask(owner, 'b', 6500, {wanted: wanted(600, 20)});
	assert.equal(totalOf(ask(owner, 'a', 6510, {wanted: wanted(800, 800)})), 800);
});
