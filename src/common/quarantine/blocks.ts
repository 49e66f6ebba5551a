/** Blocks of requests and prompt parts: their start, extension, renewal and end, and what other processes tell about them. */
import {maxEvidence} from './messages.js';
import {queueNews} from './news.js';
import {isRequestPart, lateParts} from './parts.js';
import {scheduleStatements} from './soundness.js';
import {
	isCovered, keyOf, maxBlockMs, probationMs, setNewest, soundTimeOf,
} from './state.js';
import type {QuarantineState} from './state.js';
import type {
	Block, CrashReport, PartId, QuarantineEffect,
} from './types.js';

/** Duration of the first block of some parts, in milliseconds. It doubles with each further block of prompt parts, up to `maxBlockMs`, which is the duration of each further block of a request. */
const initialBlockMs = 60_000;
/** Time from the start of a block of a request up to which refusals extend it, in milliseconds. */
const maxExtendedMs = 300_000;
/** Difference in the end of a block, in milliseconds, up to which two processes agree on it. */
const blockToleranceMs = 1000;
/** Maximum number of blocks, and of ended ones that are remembered; beyond it the oldest goes. */
const maxBlocks = 64;

type Decision = {readonly parts: readonly PartId[]; readonly strikes: number; readonly evidence: readonly CrashReport[]};

/** Returns the block that applies to a request, or undefined. */
export function findBlock({blocks}: QuarantineState, parts: readonly PartId[], nowMs: number): Block | undefined {
	const allParts = [...parts, ...lateParts(parts)];
	return [...blocks.values()].find(block => block.untilMs > nowMs && isCovered(block.parts, allParts));
}

export function startBlock(state: QuarantineState, {parts, strikes, evidence}: Decision, nowMs: number): QuarantineEffect[] {
	// A request that crashes a server once more after its block is known well enough; a prompt part may have been beside another cause.
	const isKnownRequest = strikes > 1 && parts.some(part => isRequestPart(part));
	const durationMs = isKnownRequest ? maxBlockMs : Math.min(maxBlockMs, initialBlockMs * (2 ** (strikes - 1)));
	return addBlock(state, {
		parts, strikes, startedMs: nowMs, untilMs: nowMs + durationMs, decidedBy: state.self, evidence: evidence.slice(-maxEvidence).map(({id}) => id),
	}, nowMs);
}

function addBlock(state: QuarantineState, block: Block, nowMs: number): QuarantineEffect[] {
	const key = keyOf(block.parts);
	state.blocks.delete(key);
	state.blocks.set(key, block);
	state.revision++;
	queueNews(state, 'block', key);
	const effects: QuarantineEffect[] = [
		{
			type: 'log', level: 'warn', message: 'parts blocked', fields: {
				parts: block.parts, strikes: block.strikes, forMs: Math.round(block.untilMs - nowMs), decidedBy: block.decidedBy, evidence: block.evidence,
				crashes: block.evidence.flatMap(id => state.reports.get(id) ?? []).map(({server, requestId, vm}) => ({server, requestId, reportedBy: vm})),
			},
		},
		{type: 'count', metric: 'quarantine_blocks_total', labels: {source: block.decidedBy === state.self ? 'own' : 'peer'}},
	];
	if (state.blocks.size > maxBlocks) {
		effects.push(...evict(state, state.blocks.keys().next().value!, nowMs));
	}

	return effects;
}

/**
Extends the block of a request that comes again, so that it does not crash servers each time the block ends. Blocks of prompt parts are not
extended: these come with different requests, and the end of the block shows whether they still crash servers.
*/
export function extendBlock(state: QuarantineState, parts: readonly PartId[], nowMs: number): QuarantineEffect[] {
	const key = keyOf(parts);
	const block = state.blocks.get(key);
	if (!block || !parts.some(part => isRequestPart(part)) || block.untilMs - nowMs > initialBlockMs / 2) {
		return [];
	}

	const untilMs = Math.min(nowMs + initialBlockMs, block.startedMs + maxExtendedMs);
	return untilMs > block.untilMs ? addBlock(state, {...block, untilMs}, nowMs) : [];
}

/** Renews an ended block if a crash that is newer than the block's end is due to the same parts. */
export function renewBlocks(state: QuarantineState, report: CrashReport, nowMs: number): QuarantineEffect[] {
	return [...state.probations].flatMap(([key, {parts, strikes, untilMs}]) => {
		const isRenewed = untilMs > nowMs && report.atMs > untilMs - probationMs && !state.blocks.has(key) && isCovered(parts, report.parts);
		return isRenewed ? startBlock(state, {parts, strikes: strikes + 1, evidence: [report]}, nowMs) : [];
	});
}

export function receiveBlock(state: QuarantineState, block: Block, nowMs: number): QuarantineEffect[] {
	const key = keyOf(block.parts);
	const known = state.blocks.get(key);
	const isReleased = (state.releasedMs.get(key) ?? -Infinity) + blockToleranceMs >= block.startedMs;
	const isRefuted = block.parts.some(part => (soundTimeOf(state, part) ?? -Infinity) > block.startedMs);
	if (isReleased || isRefuted) {
		// The sender may have restored a block that was released while it was down.
		scheduleStatements(state, block.parts, nowMs);
	}

	const knownEndMs = known?.untilMs ?? endOfLastBlock(state, key);
	const isNewer = block.untilMs > knownEndMs + blockToleranceMs;
	return block.untilMs > nowMs && isNewer && !isReleased && !isRefuted ? addBlock(state, block, nowMs) : [];
}

/** Releases a block before its end. */
export function release(state: QuarantineState, key: string, reason: string, nowMs: number): QuarantineEffect[] {
	setNewest(state.releasedMs, key, state.blocks.get(key)!.startedMs, maxBlocks);
	return removeBlock(state, key, reason, nowMs);
}

/** Releases a block for lack of room; one crash renews it. */
function evict(state: QuarantineState, key: string, nowMs: number): QuarantineEffect[] {
	startProbation(state, key, nowMs);
	return release(state, key, 'too many blocks', nowMs);
}

function removeBlock(state: QuarantineState, key: string, reason: string, nowMs: number): QuarantineEffect[] {
	const {startedMs, parts, strikes} = state.blocks.get(key)!;
	state.blocks.delete(key);
	state.revision++;
	return [
		{
			type: 'log', level: 'info', message: 'parts released', fields: {
				parts, strikes, reason, blockedForMs: Math.round(nowMs - startedMs),
			},
		},
		{type: 'count', metric: 'quarantine_releases_total'},
	];
}

export function releaseExpired(state: QuarantineState, nowMs: number): QuarantineEffect[] {
	return [...state.blocks].filter(([, {untilMs}]) => untilMs <= nowMs).flatMap(([key, {untilMs}]) => {
		startProbation(state, key, untilMs);
		return removeBlock(state, key, 'the block has ended', nowMs);
	});
}

function startProbation({blocks, probations}: QuarantineState, key: string, endedMs: number): void {
	const {parts, strikes} = blocks.get(key)!;
	probations.delete(key);
	probations.set(key, {parts, strikes, untilMs: endedMs + probationMs});
	if (probations.size > maxBlocks) {
		probations.delete(probations.keys().next().value!);
	}
}

/** Time at which the last block of some parts ended, in milliseconds; `-Infinity` if it is not known. */
export function endOfLastBlock({probations}: QuarantineState, key: string): number {
	const probation = probations.get(key);
	return probation ? probation.untilMs - probationMs : -Infinity;
}

/** Releases blocks whose only part a server has produced output on since the block started, and removes such a part from the others; the same for ended blocks. */
export function clearSoundBlocks(state: QuarantineState, part: PartId, nowMs: number): QuarantineEffect[] {
	for (const [key, probation] of state.probations) {
		if (probation.parts.includes(part)) {
			const parts = probation.parts.filter(other => other !== part);
			state.probations.delete(key);
			state.revision++;
			if (parts.length > 0) {
				state.probations.set(keyOf(parts), {...probation, parts});
			}
		}
	}

	const affected = [...state.blocks].filter(([, block]) => block.parts.includes(part) && soundTimeOf(state, part)! > block.startedMs);
	return affected.flatMap(([key, block]) => {
		const parts = block.parts.filter(other => other !== part);
		const effects = release(state, key, `a server produced output on ${part}`, nowMs);
		const isNarrowed = parts.length > 0 && !state.blocks.has(keyOf(parts));
		return isNarrowed ? [...effects, ...addBlock(state, {...block, parts}, nowMs)] : effects;
	});
}
