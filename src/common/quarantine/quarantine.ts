/**
Quarantine of requests and prompt parts that crash servers. Each process reports the crashes of servers that had not produced output for one of
its requests. Processes exchange the reports, hold the parts that they have in common responsible, and refuse requests with these parts. A request
as a whole counts as one of its parts.
*/
import type {VmId} from '../core/types.js';
import {findCulprits} from './crash-analysis.js';
import type {Culprit} from './crash-analysis.js';
import {maxEvidence, maxRequestIdLength} from './messages.js';
import {
	fullNews, pushNews, queueNews, takeNews,
} from './news.js';
import {isRequestPart, lateParts} from './parts.js';
import {
	isCovered, keyOf, maxBlockMs, probationMs, reportEndMs, setNewest, setSoundTime, soundTimeOf,
} from './state.js';
import type {Attempt, QuarantineState} from './state.js';
import {restoreProbations} from './stored-blocks.js';
import type {
	AttemptId, AttemptOutcome, Block, CrashReport, PartId, QuarantineEffect, QuarantineEvent, QuarantineNews, ServerId,
} from './types.js';

/** Reason given to callers whose request contains blocked parts. */
export const blockedReason = 'servers crash on this request or a part of its prompt';
/** Time after the first output within which a crash is still attributed to the request, in milliseconds. */
const startupWindowMs = 300;
/** Time for which a broken request waits for the confirmation that its server has crashed, in milliseconds; the platform's list shows a crash within some seconds. */
const confirmationTimeoutMs = 6000;
/** The same for a request that was given up before it broke, in milliseconds. */
const stoppedConfirmationMs = 1000;
/** Time for which output on a prompt with a part shows that the part is sound, in milliseconds. */
const soundValidityMs = 3_600_000;
/** Time between a report and its evaluation, in milliseconds, in which other processes can state that its parts are sound. */
const evaluationDelayMs = 300;
/** Maximum delay of such a statement, in milliseconds. The delay is random, so that one process states what many know. */
const maxStatementDelayMs = 200;
/** Shortest interval between two statements about the same part, in milliseconds. */
const minStatementIntervalMs = 300;
/** Duration of the first block of some parts, in milliseconds. It doubles with each further block of prompt parts, up to `maxBlockMs`, which is the duration of each further block of a request. */
const initialBlockMs = 60_000;
/** Time from the start of a block of a request up to which refusals extend it, in milliseconds. */
const maxExtendedMs = 300_000;
/** Difference in the end of a block, in milliseconds, up to which two processes agree on it. */
const blockToleranceMs = 1000;
/** Limits of the state, in entries; beyond them the oldest entry goes. */
const maxReports = 256;
const maxPending = 256;
const maxLostServers = 256;
const maxSoundParts = 4096;
const maxBlocks = 64;

/** Returns the block that applies to a request, or undefined. */
export function findBlock({blocks}: QuarantineState, parts: readonly PartId[], nowMs: number): Block | undefined {
	const allParts = [...parts, ...lateParts(parts)];
	return [...blocks.values()].find(block => block.untilMs > nowMs && isCovered(block.parts, allParts));
}

/** Returns the time at which the next tick is due, in milliseconds; Infinity if there is nothing to do. */
export function nextTickMs(state: QuarantineState): number {
	return Math.min(
		state.evaluationDueMs,
		state.nextReportEndMs,
		...state.statementsDueMs.values(),
		...[...state.blocks.values()].map(({untilMs}) => untilMs),
	);
}

export function reduceQuarantine(state: QuarantineState, event: QuarantineEvent): QuarantineEffect[] {
	const {nowMs} = event;
	switch (event.type) {
		case 'quarantine/attempt-started': {
			const {attempt, server, requestId, parts} = event;
			state.attempts.set(attempt, {
				server, requestId: requestId.slice(0, maxRequestIdLength), parts, producedMs: undefined, isStalled: false,
			});
			return [];
		}

		case 'quarantine/attempt-produced': {
			const attempt = state.attempts.get(event.attempt);
			if (attempt) {
				attempt.producedMs ??= nowMs;
				attempt.isStalled = false;
			}

			return [];
		}

		case 'quarantine/attempt-stalled': {
			const attempt = state.attempts.get(event.attempt);
			if (attempt) {
				attempt.isStalled = true;
			}

			return [];
		}

		case 'quarantine/attempt-ended': {
			return endAttempt(state, event.attempt, event.outcome, nowMs);
		}

		case 'quarantine/server-lost': {
			setNewest(state.lostMs, event.server, nowMs, maxLostServers);
			return reportCrash(state, event.server, nowMs);
		}

		case 'quarantine/refused': {
			return extendBlock(state, event.parts, nowMs);
		}

		case 'quarantine/news': {
			return receiveNews(state, event.from, event.news, nowMs);
		}

		case 'quarantine/gossip': {
			const news = event.isFull ? fullNews(state, nowMs) : takeNews(state, event.memberCount, nowMs);
			return news ? [{type: 'send', to: event.to, message: news}] : [];
		}

		case 'quarantine/restored': {
			restoreProbations(state, event.probations, nowMs);
			return receiveNews(state, state.self, {
				type: 'quarantine.news', crashes: [], sound: [], blocks: [...event.blocks],
			}, nowMs);
		}

		case 'quarantine/tick': {
			return handleTick(state, nowMs);
		}
	}
}

function endAttempt(state: QuarantineState, id: AttemptId, outcome: AttemptOutcome, nowMs: number): QuarantineEffect[] {
	const attempt = state.attempts.get(id);
	state.attempts.delete(id);
	if (!attempt) {
		return [];
	}

	const isLate = isPastStartup(attempt, nowMs);
	if (outcome === 'completed') {
		recordSound(state, [...attempt.parts, ...lateParts(attempt.parts)], nowMs);
		return [];
	}

	if (isLate) {
		// The prompt was read and written on without harm, but the request may still have crashed its server.
		recordSound(state, attempt.parts.filter(part => !isRequestPart(part)), nowMs);
	}

	// A server may crash on a request that its caller or the router has just given up; most that are given up have nothing to do with a crash.
	const isBroken = outcome === 'broken' || attempt.isStalled;
	const parts = isLate || !isBroken ? lateParts(attempt.parts) : attempt.parts;
	const confirmWithinMs = isBroken ? confirmationTimeoutMs : stoppedConfirmationMs;
	if (parts.length > 0 && outcome !== 'inconclusive') {
		const {server, requestId} = attempt;
		state.pending = [...state.pending.filter(({atMs, confirmWithinMs}) => nowMs - atMs < confirmWithinMs), {
			server, requestId, parts, hasOutput: attempt.producedMs !== undefined, atMs: nowMs, confirmWithinMs,
		}].slice(-maxPending);
		// The connections to a server may break after the server was found to be lost.
		return isBroken && nowMs - (state.lostMs.get(server) ?? -Infinity) < confirmationTimeoutMs ? reportCrash(state, server, nowMs) : [];
	}

	return [];
}

function isPastStartup({producedMs}: Attempt, nowMs: number): boolean {
	return producedMs !== undefined && nowMs - producedMs >= startupWindowMs;
}

function recordSound(state: QuarantineState, parts: readonly PartId[], nowMs: number): void {
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

/** Turns the requests that broke on the server into reports, and shares these. */
function reportCrash(state: QuarantineState, server: ServerId, nowMs: number): QuarantineEffect[] {
	const confirmed = state.pending.filter(report => report.server === server && nowMs - report.atMs < report.confirmWithinMs);
	if (confirmed.length === 0) {
		return [];
	}

	state.pending = state.pending.filter(report => report.server !== server);
	const effects = confirmed.flatMap(({confirmWithinMs, ...report}) => addReport(state, {...report, id: `${state.idPrefix}.${state.nextReport++}`, vm: state.self}, state.self, nowMs));
	return [...effects, ...pushNews(state, nowMs)];
}

function addReport(state: QuarantineState, report: CrashReport, from: VmId, nowMs: number): QuarantineEffect[] {
	const {
		id, server, requestId, vm, parts, hasOutput,
	} = report;
	if (state.reports.has(id) || reportEndMs(report) <= nowMs) {
		return [];
	}

	state.reports.set(id, report);
	state.nextReportEndMs = Math.min(state.nextReportEndMs, reportEndMs(report));
	if (state.reports.size > maxReports) {
		state.reports.delete(state.reports.keys().next().value!);
	}

	queueNews(state, 'crash', id);
	state.evaluationDueMs = Math.min(state.evaluationDueMs, nowMs + evaluationDelayMs);
	scheduleStatements(state, parts, nowMs);
	return [
		{
			type: 'log', level: 'warn', message: 'server crashed during a request', fields: {
				report: id, server, requestId, parts, hasOutput, reportedBy: vm, from, ageMs: Math.round(nowMs - report.atMs),
			},
		},
		{type: 'count', metric: 'quarantine_crash_reports_total', labels: {source: vm === state.self ? 'own' : 'peer'}},
	];
}

/** Schedules statements about the parts that this process knows to be sound, those of its running requests included; a request as a whole is sound only once it is answered. */
function scheduleStatements(state: QuarantineState, parts: readonly PartId[], nowMs: number): void {
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

function handleTick(state: QuarantineState, nowMs: number): QuarantineEffect[] {
	const effects: QuarantineEffect[] = [];
	for (const [part, dueMs] of state.statementsDueMs) {
		const knownMs = soundTimeOf(state, part);
		if (dueMs > nowMs) {
			continue;
		}

		state.statementsDueMs.delete(part);
		if (knownMs !== undefined && knownMs > (state.statedSoundMs.get(part) ?? -Infinity)) {
			setNewest(state.statedSoundMs, part, knownMs, maxSoundParts);
			queueNews(state, 'sound', part);
			effects.push(...clearSoundBlocks(state, part, nowMs));
		}
	}

	effects.push(...releaseExpired(state, nowMs));
	removeExpired(state, nowMs);
	if (state.evaluationDueMs <= nowMs) {
		state.evaluationDueMs = Infinity;
		effects.push(...evaluate(state, nowMs));
	}

	return [...effects, ...pushNews(state, nowMs)];
}

function removeExpiredReports(state: QuarantineState, nowMs: number): void {
	state.nextReportEndMs = Infinity;
	for (const [id, report] of state.reports) {
		const endMs = reportEndMs(report);
		if (endMs <= nowMs) {
			state.reports.delete(id);
		} else {
			state.nextReportEndMs = Math.min(state.nextReportEndMs, endMs);
		}
	}
}

function removeExpired(state: QuarantineState, nowMs: number): void {
	if (state.nextReportEndMs <= nowMs) {
		removeExpiredReports(state, nowMs);
	}

	for (const [key, {untilMs}] of state.probations) {
		if (untilMs <= nowMs) {
			state.probations.delete(key);
		}
	}
}

/** Derives the blocks from the reports: adds those that the reports demand, and releases those that they no longer support. */
function evaluate(state: QuarantineState, nowMs: number): QuarantineEffect[] {
	const reports = [...state.reports.values()];
	const settledBlocks = [...state.blocks.values()].filter(({evidence}) => !evidence.every(id => state.reports.has(id)));
	const effects = reports.flatMap(report => renewBlocks(state, report, nowMs));
	const isSettled = ({parts, atMs}: CrashReport) => settledBlocks.some(block => isCovered(block.parts, parts))
		|| [...state.probations].some(([key, probation]) => atMs <= endOfLastBlock(state, key) && isCovered(probation.parts, parts));
	const culprits = findCulprits(reports, part => knownSoundMs(state, part, nowMs), isSettled);
	for (const [key, block] of state.blocks) {
		const isSupported = settledBlocks.includes(block) || block.strikes > 1 || culprits.some(culprit => keyOf(culprit.parts) === key);
		if (!isSupported) {
			effects.push(...release(state, key, 'other parts explain the crashes', nowMs));
		}
	}

	return [...effects, ...culprits.flatMap(culprit => addDerivedBlock(state, culprit, nowMs))];
}

function knownSoundMs(state: QuarantineState, part: PartId, nowMs: number): number | undefined {
	const timeMs = soundTimeOf(state, part);
	return timeMs !== undefined && nowMs - timeMs < soundValidityMs ? timeMs : undefined;
}

function addDerivedBlock(state: QuarantineState, {parts, reports}: Culprit, nowMs: number): QuarantineEffect[] {
	const key = keyOf(parts);
	if (state.blocks.has(key)) {
		return [];
	}

	return startBlock(state, {parts, strikes: 1, evidence: reports}, nowMs);
}

/** Renews an ended block if a crash that is newer than the block's end is due to the same parts. */
function renewBlocks(state: QuarantineState, report: CrashReport, nowMs: number): QuarantineEffect[] {
	return [...state.probations].flatMap(([key, {parts, strikes, untilMs}]) => {
		const isRenewed = untilMs > nowMs && report.atMs > untilMs - probationMs && !state.blocks.has(key) && isCovered(parts, report.parts);
		return isRenewed ? startBlock(state, {parts, strikes: strikes + 1, evidence: [report]}, nowMs) : [];
	});
}

/**
Extends the block of a request that comes again, so that it does not crash servers each time the block ends. Blocks of prompt parts are not
extended: these come with different requests, and the end of the block shows whether they still crash servers.
*/
function extendBlock(state: QuarantineState, parts: readonly PartId[], nowMs: number): QuarantineEffect[] {
	const key = keyOf(parts);
	const block = state.blocks.get(key);
	if (!block || !parts.some(part => isRequestPart(part)) || block.untilMs - nowMs > initialBlockMs / 2) {
		return [];
	}

	const untilMs = Math.min(nowMs + initialBlockMs, block.startedMs + maxExtendedMs);
	return untilMs > block.untilMs ? addBlock(state, {...block, untilMs}, nowMs) : [];
}

type Decision = {readonly parts: readonly PartId[]; readonly strikes: number; readonly evidence: readonly CrashReport[]};

function startBlock(state: QuarantineState, {parts, strikes, evidence}: Decision, nowMs: number): QuarantineEffect[] {
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

/** Releases a block for lack of room; one crash renews it. */
function evict(state: QuarantineState, key: string, nowMs: number): QuarantineEffect[] {
	startProbation(state, key, nowMs);
	return release(state, key, 'too many blocks', nowMs);
}

function startProbation({blocks, probations}: QuarantineState, key: string, endedMs: number): void {
	const {parts, strikes} = blocks.get(key)!;
	probations.delete(key);
	probations.set(key, {parts, strikes, untilMs: endedMs + probationMs});
	if (probations.size > maxBlocks) {
		probations.delete(probations.keys().next().value!);
	}
}

/** Releases a block before its end. */
function release(state: QuarantineState, key: string, reason: string, nowMs: number): QuarantineEffect[] {
	setNewest(state.releasedMs, key, state.blocks.get(key)!.startedMs, maxBlocks);
	return removeBlock(state, key, reason, nowMs);
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

function releaseExpired(state: QuarantineState, nowMs: number): QuarantineEffect[] {
	return [...state.blocks].filter(([, {untilMs}]) => untilMs <= nowMs).flatMap(([key, {untilMs}]) => {
		startProbation(state, key, untilMs);
		return removeBlock(state, key, 'the block has ended', nowMs);
	});
}

/** Releases blocks whose only part a server has produced output on since the block started, and removes such a part from the others; the same for ended blocks. */
function clearSoundBlocks(state: QuarantineState, part: PartId, nowMs: number): QuarantineEffect[] {
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

function receiveNews(state: QuarantineState, from: VmId, {sound, crashes, blocks}: QuarantineNews, nowMs: number): QuarantineEffect[] {
	const effects: QuarantineEffect[] = [];
	for (const {part, ageMs} of sound) {
		const timeMs = nowMs - ageMs;
		if (ageMs < soundValidityMs && timeMs - (state.statedSoundMs.get(part) ?? -Infinity) >= minStatementIntervalMs) {
			setNewest(state.statedSoundMs, part, timeMs, maxSoundParts);
			setSoundTime(state, part, Math.max(timeMs, soundTimeOf(state, part) ?? -Infinity));
			queueNews(state, 'sound', part);
			effects.push(...clearSoundBlocks(state, part, nowMs));
		}
	}

	for (const {ageMs, ...report} of crashes) {
		effects.push(...addReport(state, {...report, atMs: nowMs - ageMs}, from, nowMs));
		// Evidence of this process that came late could leave others to suspect the wrong request.
		if (ageMs < confirmationTimeoutMs) {
			effects.push(...reportCrash(state, report.server, nowMs));
		}
	}

	for (const {ageMs, remainingMs, ...block} of blocks) {
		effects.push(...receiveBlock(state, {...block, startedMs: nowMs - ageMs, untilMs: nowMs + Math.min(remainingMs, maxBlockMs)}, nowMs));
	}

	return [...effects, ...pushNews(state, nowMs)];
}

function receiveBlock(state: QuarantineState, block: Block, nowMs: number): QuarantineEffect[] {
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

/** Time at which the last block of some parts ended, in milliseconds; `-Infinity` if it is not known. */
function endOfLastBlock({probations}: QuarantineState, key: string): number {
	const probation = probations.get(key);
	return probation ? probation.untilMs - probationMs : -Infinity;
}
