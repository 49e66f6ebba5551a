/** What this process knows, and states to others, about parts on which servers have produced output. */
import {isRequestPart} from './parts.js';
import {setSoundTime, soundTimeOf} from './state.js';
import type {Attempt, QuarantineState} from './state.js';
import type {PartId} from './types.js';

/** Time after the first output within which a crash is still attributed to the request, in milliseconds. */
const startupWindowMs = 300;
/** Time for which output on a prompt with a part shows that the part is sound, in milliseconds. */
export const soundValidityMs = 3_600_000;
/** Maximum delay of such a statement, in milliseconds. The delay is random, so that one process states what many know. */
const maxStatementDelayMs = 200;
/** Shortest interval between two statements about the same part, in milliseconds. */
export const minStatementIntervalMs = 300;

export function isPastStartup({producedMs}: Attempt, nowMs: number): boolean {
	return producedMs !== undefined && nowMs - producedMs >= startupWindowMs;
}

export function recordSound(state: QuarantineState, parts: readonly PartId[], nowMs: number): void {
	for (const part of parts) {
		setSoundTime(state, part, nowMs);
		if (isSuspected(state, part) && nowMs - (state.statedSoundMs.get(part) ?? -Infinity) >= minStatementIntervalMs) {
			state.statementsDueMs.set(part, nowMs);
		}
	}
}

/** Whether a block, or one that has ended and would be renewed, names the part. */
function isSuspected({blocks, probations}: QuarantineState, part: PartId): boolean {
	return [...blocks.values(), ...probations.values()].some(({parts}) => parts.includes(part));
}

/** Schedules statements about the parts that this process knows to be sound, those of its running requests included; a request as a whole is sound only once it is answered. */
export function scheduleStatements(state: QuarantineState, parts: readonly PartId[], nowMs: number): void {
	for (const attempt of state.attempts.values()) {
		if (isPastStartup(attempt, nowMs) && attempt.parts.some(part => parts.includes(part))) {
			recordSound(state, attempt.parts.filter(part => !isRequestPart(part)), nowMs);
		}
	}

	for (const part of parts) {
		const knownMs = soundTimeOf(state, part);
		if (knownMs !== undefined && nowMs - knownMs < soundValidityMs && knownMs - (state.statedSoundMs.get(part) ?? -Infinity) >= minStatementIntervalMs) {
			state.statementsDueMs.set(part, nowMs + state.random.integer(0, maxStatementDelayMs));
		}
	}
}

export function knownSoundMs(state: QuarantineState, part: PartId, nowMs: number): number | undefined {
	const timeMs = soundTimeOf(state, part);
	return timeMs !== undefined && nowMs - timeMs < soundValidityMs ? timeMs : undefined;
}
