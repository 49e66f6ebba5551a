import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {AllowanceReport, Grant} from '../control/messages.js';
import {GrantHolder} from './grant-holder.js';
import {BucketOwner} from './bucket-owner.js';
import {
	advanceGrantValidityMs, onDemandGrantValidityMs, maxAdvanceShare, ownerAdvanceGrantValidityMs, ownerOnDemandGrantValidityMs,
} from './types.js';

const emptyReport: AllowanceReport = {
	spent: [], returned: [], refunds: [], charges: [], wanted: [],
};

function makeOwner(rate: number, burst: number, term = 1): BucketOwner {
	const owner = new BucketOwner(term, 0);
	owner.setLimits([['acme', {rate, burst}]], 0);
	return owner;
}

/** Lets the owner process a report and confirm its grants at once, and returns the grants. */
function sync(owner: BucketOwner, vm: string, nowMs: number, report: Partial<AllowanceReport>): readonly Grant[] {
	const {grants} = owner.processReport({vm, incarnation: 1}, {...emptyReport, ...report}, nowMs);
	owner.confirm(grants, nowMs);
	return grants;
}

const makeTokenRequests = (tokens: number, atLeast: number, waitMs = 500) => [{
	tenant: 'acme', tokens, atLeast, waitMs,
}];
/** Token requests that ask for tokens in advance. */
const advanceTokenRequests = (tokens: number) => makeTokenRequests(tokens, 0);
/** Token requests for the tokens of a waiting request. */
const waitingTokenRequests = (tokens: number) => makeTokenRequests(tokens, tokens, 5000);
const totalTokens = (grants: readonly Grant[]) => grants.reduce((total, {tokens}) => total + tokens, 0);
const acquireFrom = (holder: GrantHolder, token: number, tokens: number, nowMs: number) => holder.acquire({
	tenant: 'acme', tokens, maxWaitMs: 500, token, limit: {rate: 100, burst: 1000}, nowMs,
});
/** Asserts that the bucket covers `tokens` tokens and no more, and takes them. */
function assertTakesExactly(owner: BucketOwner, nowMs: number, tokens: number, report: Partial<AllowanceReport> = {}): void {
	assert.equal(totalTokens(sync(owner, 'a', nowMs, {...report, wanted: waitingTokenRequests(tokens + 1)})), 0);
	assert.equal(totalTokens(sync(owner, 'a', nowMs, {wanted: waitingTokenRequests(tokens)})), tokens);
}

const makeStamp = (atMs: number) => ({term: 1, atMs});
const makeGrant = (id: number, tokens: number): Grant => ({
	id, tenant: 'acme', tokens, isAdvance: true,
});

test('a bucket does not refill for granted tokens that their holder may still spend', () => {
	const owner = makeOwner(1000, 1000);
	const answeredMs = 5000;
	assertTakesExactly(owner, answeredMs, 1000);
	// The holder's clock may run slower than the owner's, so a grant may still be spent slightly after its validity on the owner's clock.
	assert.equal(totalTokens(sync(owner, 'b', answeredMs + (1.05 * onDemandGrantValidityMs), {wanted: waitingTokenRequests(1)})), 0);
	assert.equal(totalTokens(sync(owner, 'b', answeredMs + ownerOnDemandGrantValidityMs - 1, {wanted: waitingTokenRequests(1)})), 0);
	sync(owner, 'b', answeredMs + ownerOnDemandGrantValidityMs, {});
	assertTakesExactly(owner, answeredMs + ownerOnDemandGrantValidityMs + 100, 100);
});

test('advance grants stay within the share of the burst that a new leader assumes to be granted, and count as outstanding for as long as they may be spent', () => {
	const owner = makeOwner(1000, 1000);
	const answeredMs = 5000;
	const advance = 1000 * maxAdvanceShare;
	assert.equal(totalTokens(sync(owner, 'a', answeredMs, {wanted: advanceTokenRequests(1000)})), advance);
	assert.equal(totalTokens(sync(owner, 'b', answeredMs, {wanted: advanceTokenRequests(1000)})), 0);
	assert.equal(totalTokens(sync(owner, 'b', answeredMs + (1.05 * advanceGrantValidityMs), {wanted: waitingTokenRequests(1001 - advance)})), 0);
	assert.equal(totalTokens(sync(owner, 'b', answeredMs + ownerAdvanceGrantValidityMs - 1, {wanted: waitingTokenRequests(1001 - advance)})), 0);
	sync(owner, 'b', answeredMs + ownerAdvanceGrantValidityMs, {});
	assertTakesExactly(owner, answeredMs + ownerAdvanceGrantValidityMs + 100, 1000 - advance + 100);
});

test('a holder does not spend a grant after its validity, counted from when the sync was sent', () => {
	const holder = new GrantHolder();
	assert.equal(acquireFrom(holder, 1, 10, 0), undefined);
	const answers = holder.processAnswer({
		sentMs: 0, grants: [makeGrant(1, 30)], shortages: [], stamp: makeStamp(0), takenMs: 0,
	}, () => undefined, 300);
	assert.deepEqual(answers, [{token: 1, result: {ok: true}}]);
	assert.deepEqual(acquireFrom(holder, 2, 10, advanceGrantValidityMs - 1), {ok: true});
	assert.equal(acquireFrom(holder, 3, 10, advanceGrantValidityMs), undefined);
});

test('unspent tokens are returned at the last sync before they expire, and are not spent once returned', () => {
	const holder = new GrantHolder();
	holder.processAnswer({
		sentMs: 0, grants: [makeGrant(1, 30)], shortages: [], stamp: makeStamp(0), takenMs: 0,
	}, () => undefined, 5);
	assert.deepEqual(acquireFrom(holder, 1, 10, 5), {ok: true});
	assert.deepEqual(holder.buildReport(200).spent, [{grant: 1, tokens: 10}]);
	assert.deepEqual(holder.buildReport(500).returned, [{grant: 1, tokens: 20}]);
	assert.equal(acquireFrom(holder, 2, 10, 510), undefined);
});

test('a refund of tokens that an earlier leader granted does not add to the bucket of the new leader', () => {
	const owner = makeOwner(100, 1000, 2);
	const refunds = [{tenant: 'acme', stamp: makeStamp(0), tokens: 500}];
	assertTakesExactly(owner, 2000, (2000 - ownerOnDemandGrantValidityMs) / 10, {refunds});
});

test('a refund adds no tokens if the bucket has been full since the tokens were spent', () => {
	const owner = makeOwner(100, 1000);
	for (const nowMs of [20_000, 40_000]) {
		const [taken] = sync(owner, 'a', nowMs, {wanted: waitingTokenRequests(1000)});
		assert.equal(taken?.tokens, 1000);
		sync(owner, 'a', nowMs + 10, {spent: [{grant: taken.id, tokens: 1000}]});
	}

	// The bucket was full between the two grants, so a refund of tokens spent from the first grant adds nothing. It has not been full since 40,050 ms, so a refund of tokens spent after that adds all of them.
	const refund = (atMs: number) => [{tenant: 'acme', stamp: makeStamp(atMs), tokens: 500}];
	assertTakesExactly(owner, 40_110, 10, {refunds: refund(20_000)});
	assertTakesExactly(owner, 40_210, 510, {refunds: refund(40_050)});
});

test('two refunds do not use the same headroom of the bucket', () => {
	const owner = makeOwner(100, 1000);
	const spend = (nowMs: number, tokens: number) => {
		const [taken] = sync(owner, 'a', nowMs, {wanted: waitingTokenRequests(tokens)});
		assert.equal(taken?.tokens, tokens);
		sync(owner, 'a', nowMs, {spent: [{grant: taken.id, tokens}]});
	};

	spend(20_000, 800);
	spend(27_500, 900);
	// Before the second grant the bucket had headroom for 50 tokens, so both refunds of the first grant's tokens together add 50.
	const refund = {tenant: 'acme', stamp: makeStamp(20_000), tokens: 100};
	sync(owner, 'a', 27_500, {refunds: [refund]});
	assertTakesExactly(owner, 27_500, 100, {refunds: [refund]});
});

test('a refund without a reply token is not stamped later than its acquisition, even among acquisitions of equal size', () => {
	const holder = new GrantHolder();
	for (const atMs of [100, 200]) {
		holder.processAnswer({
			sentMs: atMs, grants: [makeGrant(atMs, 10)], shortages: [], stamp: makeStamp(atMs), takenMs: atMs,
		}, () => undefined, atMs);
		acquireFrom(holder, atMs, 10, atMs);
	}

	for (const used of [0, 4]) {
		holder.settle({
			tenant: 'acme', acquired: 10, used, nowMs: 300,
		});
	}

	const refunds = holder.buildReport(300).refunds.map(refund => [refund.stamp.atMs, refund.tokens]);
	assert.deepEqual(refunds, [[100, 10], [100, 6]]);
});

test('a waiting request is refused as soon as the owner\'s answer shows that it cannot be served before its deadline', () => {
	const holder = new GrantHolder();
	acquireFrom(holder, 1, 10, 0);
	acquireFrom(holder, 2, 30, 0);
	const limit = {rate: 100, burst: 1000};
	const answers = holder.processAnswer({
		sentMs: 0, grants: [], shortages: [{tenant: 'acme', waitMs: 400, isPause: false}], stamp: makeStamp(0), takenMs: 0,
	}, () => limit, 10);
	assert.deepEqual(answers, [{token: 2, result: {ok: false, code: 'rate-exceeded', retryAfterMs: 700}}]);
	assert.deepEqual(acquireFrom(holder, 3, 2000, 20), {ok: false, code: 'exceeds-burst'});
	assert.deepEqual(holder.expireWaiters(500), [{token: 1, result: {ok: false, code: 'rate-exceeded', retryAfterMs: 1}}]);
});

test('a request for one token does not wait behind a request for a thousand tokens', () => {
	const holder = new GrantHolder();
	assert.equal(acquireFrom(holder, 1, 1000, 0), undefined);
	acquireFrom(holder, 2, 1, 0);
	acquireFrom(holder, 3, 1, 0);
	const answers = holder.processAnswer({
		sentMs: 0, takenMs: 0, grants: [makeGrant(1, 100)], shortages: [], stamp: makeStamp(0),
	}, () => ({rate: 100, burst: 1000}), 10);
	assert.deepEqual(answers.map(({token}) => token), [2, 3]);
	assert.deepEqual(acquireFrom(holder, 4, 1, 20), {ok: true});
	assert.equal(acquireFrom(holder, 5, 150, 20), undefined);
});

test('a small request asks the owner for tokens at once, even if a large request already waits for a later sync', () => {
	const holder = new GrantHolder();
	assert.equal(acquireFrom(holder, 1, 100, 0), undefined);
	holder.processAnswer({
		sentMs: 0, grants: [], shortages: [{tenant: 'acme', waitMs: 400, isPause: false}], stamp: makeStamp(0), takenMs: 0,
	}, () => ({rate: 100, burst: 1000}), 10);
	assert.equal(holder.waitersReadyMs(), 410);
	assert.equal(acquireFrom(holder, 2, 1, 20), undefined);
	assert.equal(holder.waitersReadyMs(), 20);
	assert.equal(holder.buildReport(20).wanted[0]?.atLeast, 1);
});

test('a customer is not told that it exceeds its rate while a new leader grants nothing', () => {
	const owner = makeOwner(100, 1000);
	const holder = new GrantHolder();
	acquireFrom(holder, 1, 10, 0);
	const {grants, shortages} = owner.processReport({vm: 'a', incarnation: 1}, holder.buildReport(0), 0);
	assert.deepEqual([grants, shortages], [[], [{tenant: 'acme', waitMs: ownerOnDemandGrantValidityMs, isPause: true}]]);
	const answers = holder.processAnswer({
		sentMs: 0, grants, shortages, stamp: makeStamp(0), takenMs: 0,
	}, () => ({rate: 100, burst: 1000}), 10);
	// The request may wait for 500 ms, which is longer than the leader's pause, so it is not refused yet.
	assert.deepEqual(answers, []);
	assert.deepEqual(holder.expireWaiters(500), [{token: 1, result: {ok: false, code: 'control-unreachable', retryAfterMs: 1}}]);
});

test('a new leader grants nothing while on-demand grants of its predecessor may be spent, and starts to grant right after that', () => {
	const silenceMs = 300;
	const owner = new BucketOwner(2, 0, silenceMs);
	owner.setLimits([['acme', {rate: 1000, burst: 1000}]], 0);
	const pauseMs = ownerOnDemandGrantValidityMs - silenceMs;
	assert.equal(totalTokens(sync(owner, 'a', pauseMs, {wanted: waitingTokenRequests(1)})), 0);
	assertTakesExactly(owner, pauseMs + 100, 100);
	const secondOwner = new BucketOwner(2, 0, silenceMs);
	secondOwner.setLimits([['acme', {rate: 10_000, burst: 1000}]], 0);
	// Until this time, advance grants of the predecessor may be spent, so the bucket has filled only up to the rest of the burst.
	assertTakesExactly(secondOwner, ownerAdvanceGrantValidityMs - silenceMs, 1000 * (1 - maxAdvanceShare));
});

test('a successor continues from its predecessor\'s state, without grants whose answer was not sent', () => {
	const owner = makeOwner(100, 1000);
	const holder = {vm: 'a', incarnation: 1};
	const [first] = sync(owner, 'a', 11_000, {wanted: waitingTokenRequests(600)});
	owner.processReport(holder, {...emptyReport, wanted: waitingTokenRequests(300)}, 11_000);
	const successor = new BucketOwner(2, 0);
	successor.setLimits([['acme', {rate: 100, burst: 1000}]], 0);
	successor.applyHandover(owner.createHandover(11_000), 0);
	assertTakesExactly(successor, 0, 400);
	// Tokens that the holder returns go back to the bucket, as they would with the predecessor.
	assertTakesExactly(successor, 100, 500, {returned: [{grant: first!.id, tokens: 500}]});
});

test('a customer that is removed and added again just before a handover does not get a second full bucket from the successor', () => {
	const owner = makeOwner(100, 1000);
	assertTakesExactly(owner, 20_000, 1000);
	owner.setLimits([], 20_100);
	owner.setLimits([['acme', {rate: 100, burst: 1000}]], 20_200);
	const successor = new BucketOwner(2, 0);
	successor.setLimits([['acme', {rate: 100, burst: 1000}]], 0);
	successor.applyHandover(owner.createHandover(20_200), 0);
	assertTakesExactly(successor, 0, 0);
	assertTakesExactly(successor, 100, 10);
});

test('a successor makes no grants while grants of its predecessor\'s own predecessor may be spent, even after a handover', () => {
	const owner = makeOwner(1000, 1000, 2);
	const successor = new BucketOwner(3, 0);
	successor.setLimits([['acme', {rate: 1000, burst: 1000}]], 0);
	successor.applyHandover(owner.createHandover(300), 0);
	assert.equal(totalTokens(sync(successor, 'a', ownerOnDemandGrantValidityMs - 300, {wanted: waitingTokenRequests(1)})), 0);
	assertTakesExactly(successor, ownerOnDemandGrantValidityMs - 290, 10);
	// The successor makes advance grants only once the advance grants of its predecessor's predecessor have expired.
	assert.equal(totalTokens(sync(successor, 'a', ownerAdvanceGrantValidityMs - 301, {wanted: advanceTokenRequests(10)})), 0);
	assert.equal(totalTokens(sync(successor, 'a', ownerAdvanceGrantValidityMs - 300, {wanted: advanceTokenRequests(10)})), 10);
});

test('a small request does not wait for tokens that are reserved for a request at least ten times as large at another holder', () => {
	const owner = makeOwner(1000, 6000);
	const waitingReport = (tokens: number) => ({wanted: makeTokenRequests(tokens, tokens, 5000)});
	assert.equal(totalTokens(sync(owner, 'a', ownerAdvanceGrantValidityMs, waitingReport(5000))), 0);
	assert.equal(totalTokens(sync(owner, 'b', ownerAdvanceGrantValidityMs, waitingReport(400))), 400);
	// A request of more than a tenth of the waiting request's size does not overtake the waiting request.
	assert.equal(totalTokens(sync(owner, 'b', ownerAdvanceGrantValidityMs, waitingReport(600))), 0);
});

test('advance grants leave a fair share to other holders that want tokens', () => {
	const owner = makeOwner(1, 1000);
	owner.processReport({vm: 'a', incarnation: 1}, emptyReport, 0);
	const lateMs = 2_000_000;
	const [first] = sync(owner, 'a', lateMs, {wanted: advanceTokenRequests(1000)});
	sync(owner, 'a', lateMs + 10, {returned: [{grant: first!.id, tokens: first!.tokens}]});
	assert.equal(totalTokens(sync(owner, 'b', lateMs + 20, {wanted: advanceTokenRequests(1000)})), 1000 * maxAdvanceShare / 2);
	assert.equal(totalTokens(sync(owner, 'c', lateMs + 5000, {wanted: advanceTokenRequests(10)})), 10);
});

test('tokens used beyond the acquired ones are charged to the bucket', () => {
	const owner = makeOwner(1000, 1000);
	assert.equal(totalTokens(sync(owner, 'a', 5000, {charges: [{tenant: 'acme', tokens: 1500}], wanted: waitingTokenRequests(1)})), 0);
	assertTakesExactly(owner, 6000, 500);
});

test('a change of its limit does not give a customer a full bucket', () => {
	const owner = makeOwner(100, 1000);
	const before = sync(owner, 'a', 20_000, {wanted: waitingTokenRequests(1000)});
	assert.equal(totalTokens(before), 1000);
	owner.setLimits([], 20_100);
	owner.setLimits([['acme', {rate: 100, burst: 2000}]], 20_200);
	const returned = [{grant: before[0]!.id, tokens: 1000}];
	assertTakesExactly(owner, 20_700, 50, {returned});
	owner.setLimits([['acme', {rate: 100, burst: 5000}]], 20_700);
	assertTakesExactly(owner, 21_700, 100);
});

test('the buckets of idle customers are removed', () => {
	const owner = makeOwner(1000, 1000);
	sync(owner, 'a', 5000, {wanted: advanceTokenRequests(1000)});
	owner.trim(6000);
	assert.equal(owner.bucketCount, 1);
	owner.trim(9000);
	assert.equal(owner.bucketCount, 0);
});

test('a small request does not wait until the bucket would cover a large request that was already refused', () => {
	const holder = new GrantHolder();
	const limit = {rate: 100, burst: 1000};
	const acquire = (token: number, tokens: number, nowMs: number) => holder.acquire({
		tenant: 'acme', tokens, maxWaitMs: 500, token, limit, nowMs,
	});
	assert.equal(acquire(1, 900, 0), undefined);
	const refused = holder.processAnswer({
		sentMs: 0, grants: [], shortages: [{tenant: 'acme', waitMs: 800, isPause: false}], stamp: makeStamp(0), takenMs: 0,
	}, () => limit, 10);
	assert.equal(refused[0]?.result.ok, false);
	assert.equal(acquire(2, 20, 20), undefined, 'the lookup waits for the owner\'s answer');
	assert.equal(holder.waitersReadyMs(), 20, 'the owner is asked at once');
});

test('advance grants to one holder leave enough tokens for a large request at another holder', () => {
	const owner = makeOwner(1000, 1000);
	for (const {id, tokens} of sync(owner, 'a', 5000, {wanted: makeTokenRequests(800, 800)})) {
		sync(owner, 'a', 5001, {spent: [{grant: id, tokens}]});
	}

	// The bucket is full again at 6,500 ms; holder b asks for 20 tokens for a request and 580 in advance.
	sync(owner, 'b', 6500, {wanted: makeTokenRequests(600, 20)});
	assert.equal(totalTokens(sync(owner, 'a', 6510, {wanted: makeTokenRequests(800, 800)})), 800);
});
