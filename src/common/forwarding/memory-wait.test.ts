import assert from 'node:assert/strict';
import {test} from 'node:test';
import {unconfirmedStateRetryAfterMs, memoryWaitPolicy, fullPoolRetryAfterMs} from './memory-wait.js';

const route = {timeoutMs: 14_000, targetMs: 900};

test('on a full pool, a first attempt waits no longer than its latency objective and asks for memory more often than a caller\'s retry', () => {
	const firstAttempt = memoryWaitPolicy({...route, waitMs: 14_000});
	const callerRetry = memoryWaitPolicy({...route, waitMs: 11_000});
	assert.ok(firstAttempt.maxWaitMs < route.targetMs);
	assert.ok(firstAttempt.roundIntervalMs < callerRetry.roundIntervalMs);
});

test('on a full pool, a caller\'s retry takes memory only if enough is left for a first attempt, since a first attempt can still meet its latency objective', () => {
	assert.equal(memoryWaitPolicy({...route, waitMs: 14_000}).spareMemoryRatio, 0);
	assert.ok(memoryWaitPolicy({...route, waitMs: 11_000}).spareMemoryRatio > 0);
});

test('callers that are rejected at the same time are told different times for their retries', () => {
	const retryAfterMs = [0, 0.25, 0.5, 0.75].map(random => fullPoolRetryAfterMs(random));
	assert.equal(new Set(retryAfterMs).size, retryAfterMs.length);
	assert.ok(retryAfterMs.every(afterMs => afterMs >= 3000 && afterMs <= 4500));
});

test('callers refused because the customers\' rates are unconfirmed are told to retry only after an election and the new leader\'s pause, at different times', () => {
	const electionAndPauseMs = 1200;
	assert.ok(unconfirmedStateRetryAfterMs(0) >= electionAndPauseMs);
	assert.ok(unconfirmedStateRetryAfterMs(0.99) - unconfirmedStateRetryAfterMs(0) >= 1000);
	assert.equal(unconfirmedStateRetryAfterMs(0, 400), 400);
});
