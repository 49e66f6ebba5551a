/** Share of the latency objective for which a caller's first attempt may wait for memory; the rest is left for prefill and the first token. */
const firstAttemptWaitShare = 0.67;
/** Interval between reservation rounds for a first attempt, in milliseconds. On a full pool, several requests finish within it. */
const firstAttemptIntervalMs = 50;
/**
Interval between reservation rounds for a caller's retry, in milliseconds. A retry has already missed its latency objective, so it yields
to first attempts.
*/
const callerRetryIntervalMs = 150;
/** Longest wait for memory of a caller's retry, in milliseconds. Longer waits took memory from first attempts on pools that stayed full. */
const callerRetryMaxWaitMs = 1000;
/** Spare memory that an engine must have beyond a caller's retry, as a multiple of its reservation, so that a first attempt of the same size still fits. */
const callerRetrySpareMemoryRatio = 1;
/** A caller's remaining time that is shorter than the route's timeout by more than this many milliseconds shows that an earlier attempt was rejected. */
const callerRetryMarginMs = 400;
/** Minimum `Retry-After` on a full pool, in milliseconds: about the time for which a request occupies its engine. */
const fullPoolRetryMs = 3000;
/** Maximum jitter added to `Retry-After`, in milliseconds, so that callers rejected at the same time do not retry at the same time. */
const retryJitterMs = 1500;

/** Time after which shared state is expected to be confirmed again, in milliseconds: an election plus the pause of a new leader. */
const unconfirmedStateRetryMs = 1300;

/** How long and how often a model request asks for memory while the pool is full. */
export type MemoryWaitPolicy = {
	/** Longest wait for memory, in milliseconds. */
	readonly maxWaitMs: number;
	/** Interval between two rounds of reservation calls, in milliseconds. */
	readonly roundIntervalMs: number;
	/** Spare memory that an engine must have beyond the reservation, as a multiple of it. */
	readonly spareMemoryRatio: number;
};

/**
Returns how a model request waits on a full pool. `waitMs` is the caller's remaining time, `timeoutMs` the route's timeout and `targetMs`
its latency objective; all in milliseconds.
*/
export function memoryWaitPolicy({waitMs, timeoutMs, targetMs}: {readonly waitMs: number; readonly timeoutMs: number; readonly targetMs: number}): MemoryWaitPolicy {
	const isCallerRetry = waitMs < timeoutMs - callerRetryMarginMs;
	return isCallerRetry
		? {maxWaitMs: callerRetryMaxWaitMs, roundIntervalMs: callerRetryIntervalMs, spareMemoryRatio: callerRetrySpareMemoryRatio}
		: {maxWaitMs: targetMs * firstAttemptWaitShare, roundIntervalMs: firstAttemptIntervalMs, spareMemoryRatio: 0};
}

/** Returns the `Retry-After` for a caller rejected by a full pool, in milliseconds; `random` is in [0, 1). */
export function fullPoolRetryAfterMs(random: number): number {
	return fullPoolRetryMs + Math.round(random * retryJitterMs);
}

/**
Returns the `Retry-After` for a caller refused because shared state is unknown or unconfirmed, in milliseconds; it covers the `expectedMs`
until the state is confirmed, since callers have few attempts. `random` is in [0, 1).
*/
export function unconfirmedStateRetryAfterMs(random: number, expectedMs = unconfirmedStateRetryMs): number {
	return expectedMs + Math.round(random * retryJitterMs);
}
