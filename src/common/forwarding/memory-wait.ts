/** Share of the latency objective for which a caller's first attempt may wait for memory; the rest is left for prefill and the first output token. */
const firstAttemptWaitShare = 0.67;
/** Interval between reservation rounds for a caller's first attempt, in milliseconds. Even on a full pool, several requests finish in this time and free memory. */
const firstAttemptIntervalMs = 50;
/**
Interval between reservation rounds for a caller's retry, in milliseconds. A retry has already missed its latency objective, so it yields
to first attempts.
*/
const callerRetryIntervalMs = 150;
/** Longest time for which a caller's retry waits for memory, in milliseconds. With longer waits, retries took memory from first attempts on pools that stayed full. */
const callerRetryMaxWaitMs = 1000;
/** Spare memory that an engine must have beyond the reservation of a caller's retry, as a multiple of that reservation, so that a first attempt of the same size still fits. */
const callerRetrySpareMemoryRatio = 1;
/** Difference between the route's timeout and the caller's remaining time, in milliseconds, above which a request counts as a caller's retry: an earlier attempt has used up that time. */
const callerRetryMarginMs = 400;
/** Minimum `Retry-After` on a full pool, in milliseconds: about the time for which a request occupies its engine. */
const fullPoolRetryMs = 3000;
/** Maximum jitter added to `Retry-After`, in milliseconds, so that callers rejected at the same time do not retry at the same time. */
const retryJitterMs = 1500;

/** Time after which unconfirmed shared state is expected to be confirmed, in milliseconds: an election plus the pause of a new leader. */
const unconfirmedStateRetryMs = 1300;

/** How long and how often a model request asks for memory while the pool is full. */
export type MemoryWaitPolicy = {
	/** Longest wait for memory, in milliseconds. */
	readonly maxWaitMs: number;
	/** Interval between two rounds of reservation calls, in milliseconds. */
	readonly roundIntervalMs: number;
	/** Spare memory that an engine must have beyond the request's reservation, as a multiple of that reservation; 0 requires none. */
	readonly spareMemoryRatio: number;
};

/** Returns whether an earlier attempt of the caller has used up a part of its time; `waitMs` is the caller's remaining time and `timeoutMs` the route's timeout, in milliseconds. */
export function isCallerRetry({waitMs, timeoutMs}: {readonly waitMs: number; readonly timeoutMs: number}): boolean {
	return waitMs < timeoutMs - callerRetryMarginMs;
}

/**
Returns how long and how often a model request asks for memory on a full pool. `waitMs` is the caller's remaining time, `timeoutMs` the
route's timeout and `targetMs` the route's latency objective; all in milliseconds.
*/
export function memoryWaitPolicy({waitMs, timeoutMs, targetMs}: {readonly waitMs: number; readonly timeoutMs: number; readonly targetMs: number}): MemoryWaitPolicy {
	return isCallerRetry({waitMs, timeoutMs})
		? {maxWaitMs: callerRetryMaxWaitMs, roundIntervalMs: callerRetryIntervalMs, spareMemoryRatio: callerRetrySpareMemoryRatio}
		: {maxWaitMs: targetMs * firstAttemptWaitShare, roundIntervalMs: firstAttemptIntervalMs, spareMemoryRatio: 0};
}

/** Returns the `Retry-After` for a caller whose request was rejected because the pool is full, in milliseconds; `random` is in [0, 1). */
export function fullPoolRetryAfterMs(random: number): number {
	return fullPoolRetryMs + Math.round(random * retryJitterMs);
}

/**
Returns the `Retry-After` for a caller refused because shared state is unknown or unconfirmed, in milliseconds; it is at least
`expectedMs`, the expected time until the state is confirmed, since callers have few attempts. `random` is in [0, 1).
*/
export function unconfirmedStateRetryAfterMs(random: number, expectedMs = unconfirmedStateRetryMs): number {
	return expectedMs + Math.round(random * retryJitterMs);
}
