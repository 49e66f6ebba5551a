import assert from 'node:assert/strict';
import {test} from 'node:test';
import {confirmedAfterMs, patienceOf, returnAfterMs} from './patience.js';

const route = {timeoutMs: 14_000, targetMs: 900};

test('burst on a full pool: a fresh request waits while its objective is in reach and asks more often than a returning one', () => {
	const fresh = patienceOf({...route, waitMs: 14_000});
	const returning = patienceOf({...route, waitMs: 11_000});
	assert.ok(fresh.maxWaitMs < route.targetMs);
	assert.ok(fresh.gapMs < returning.gapMs);
});

test('burst on a full pool: a returning request leaves room for a fresh one, which can still meet its objective', () => {
	assert.equal(patienceOf({...route, waitMs: 14_000}).spareShare, 0);
	assert.ok(patienceOf({...route, waitMs: 11_000}).spareShare > 0);
});

test('callers turned away together do not return together', () => {
	const returns = [0, 0.25, 0.5, 0.75].map(random => returnAfterMs(random));
	assert.equal(new Set(returns).size, returns.length);
	assert.ok(returns.every(afterMs => afterMs >= 3000 && afterMs <= 4500));
});

test('guards against callers who spend their next attempt while no leader can confirm rates, or all return at once', () => {
	const electionAndPauseMs = 1200;
	assert.ok(confirmedAfterMs(0) >= electionAndPauseMs);
	assert.ok(confirmedAfterMs(0.99) - confirmedAfterMs(0) >= 1000);
	assert.equal(confirmedAfterMs(0, 400), 400);
});
