/** Share of the latency objective for which a fresh request waits for memory; the rest is for prefill and the first token. */
const freshWaitShare = 0.67;
/** Pause of a fresh request between two rounds of asking engines, in milliseconds; several requests end in this time on a full pool. */
const freshGapMs = 50;
/** Pause of a returning request, which has missed its objective already and yields to fresh ones, in milliseconds. */
const returningGapMs = 150;
/** Longest wait of a returning request, in milliseconds. A longer one took room from fresh requests on pools that stayed full. */
const returningWaitMs = 1000;
/** Memory that an engine must have beside a returning request, as a multiple of its size, so that a fresh one still finds some. */
const returningSpareShare = 1;
/** A deadline shorter than the route's timeout by this much, in milliseconds, shows that the caller was turned away before. */
const returnMarginMs = 400;
/** Time after which a caller that was turned away finds room, in milliseconds: about the time that a request occupies its engine. */
const roomExpectedMs = 3000;
/** Spread of the returns, in milliseconds, so that callers turned away together do not return together. */
const returnSpreadMs = 1500;

/** Time after which shared state is confirmed again, in milliseconds: an election and the pause of a new leader. */
const confirmExpectedMs = 1300;

export type Patience = {
	/** How long the request may wait for memory. */
	readonly maxWaitMs: number;
	/** Pause between two rounds of asking engines. */
	readonly gapMs: number;
	/** Memory that an engine must have beside the request, as a multiple of its size. */
	readonly spareShare: number;
};

/** How long a model request waits on a full pool. Durations in milliseconds. */
export function patienceOf({waitMs, timeoutMs, targetMs}: {readonly waitMs: number; readonly timeoutMs: number; readonly targetMs: number}): Patience {
	const isReturning = waitMs < timeoutMs - returnMarginMs;
	return isReturning
		? {maxWaitMs: returningWaitMs, gapMs: returningGapMs, spareShare: returningSpareShare}
		: {maxWaitMs: targetMs * freshWaitShare, gapMs: freshGapMs, spareShare: 0};
}

/** When a caller that a full pool turned away should return; `random` is in [0, 1). */
export function returnAfterMs(random: number): number {
	return roomExpectedMs + Math.round(random * returnSpreadMs);
}

/** When a caller should return that was refused because shared state is not known or not confirmed; callers have few attempts. */
export function confirmedAfterMs(random: number, expectedMs = confirmExpectedMs): number {
	return expectedMs + Math.round(random * returnSpreadMs);
}
