import assert from 'node:assert/strict';
import {test} from 'node:test';
import {patienceOf, returnAfterMs} from './patience.js';

const route = {timeoutMs: 14_000, targetMs: 900};

test('burst on a full pool: a fresh request waits while its objective is in reach and asks more often than a returning one', () => {
	const fresh = patienceOf({...route, waitMs: 14_000});
	const returning = patienceOf({...route, waitMs: 11_000});
	assert.ok(fresh.maxWaitMs < route.targetMs);
	assert.ok(fresh.gapMs < returning.gapMs);
});

test('burst on a full pool: a caller that was turned away once waits for several requests to end instead of being turned away again', () => {
	assert.equal(patienceOf({...route, waitMs: 11_000}).maxWaitMs, 4000);
	// It leaves most of a short time for the answer itself.
	assert.equal(patienceOf({...route, waitMs: 5000}).maxWaitMs, 2000);
});

test('callers turned away together do not return together', () => {
	const returns = [0, 0.25, 0.5, 0.75].map(random => returnAfterMs(random));
	assert.equal(new Set(returns).size, returns.length);
	assert.ok(returns.every(afterMs => afterMs >= 2000 && afterMs <= 3500));
});
