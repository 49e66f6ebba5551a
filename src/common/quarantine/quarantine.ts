/**
Quarantine of requests and prompt parts that crash servers. Each process reports the crashes of servers that had not produced output for one of
its requests. Processes exchange the reports, hold the parts that they have in common responsible, and refuse requests with these parts. A request
as a whole counts as one of its parts.
*/
import type {VmId} from '../core/types.js';
import {
	clearSoundBlocks, endOfLastBlock, extendBlock, receiveBlock, release, releaseExpired, renewBlocks, startBlock,
} from './blocks.js';
import {findCulprits} from './crash-analysis.js';
import type {Culprit} from './crash-analysis.js';
import {maxRequestIdLength} from './messages.js';
import {
	fullNews, pushNews, queueNews, takeNews,
} from './news.js';
import {isRequestPart, lateParts} from './parts.js';
import {
	isPastStartup, knownSoundMs, minStatementIntervalMs, recordSound, scheduleStatements, soundValidityMs,
} from './soundness.js';
import {
	isCovered, keyOf, maxBlockMs, maxSoundParts, reportEndMs, setNewest, setSoundTime, soundTimeOf,
} from './state.js';
import type {QuarantineState} from './state.js';
import {restoreProbations} from './stored-blocks.js';
import type {
	AttemptId, AttemptOutcome, CrashReport, QuarantineEffect, QuarantineEvent, QuarantineNews, ServerId,
} from './types.js';

/** Reason given to callers whose request contains blocked parts. */
export const blockedReason = 'servers crash on this request or a part of its prompt';
/** Time for which a broken request waits for the confirmation that its server has crashed, in milliseconds; the platform's list shows a crash within some seconds. */
const confirmationTimeoutMs = 6000;
/** Time for which a request that was given up waits for that confirmation, in milliseconds. */
const stoppedConfirmationMs = 1000;
/** Time between a report and its evaluation, in milliseconds, in which other processes can state that its parts are sound. */
const evaluationDelayMs = 300;
/** Limits of the state, in entries; beyond them the oldest entry goes. */
const maxReports = 256;
const maxPending = 256;
const maxLostServers = 256;

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

function addDerivedBlock(state: QuarantineState, {parts, reports}: Culprit, nowMs: number): QuarantineEffect[] {
	const key = keyOf(parts);
	if (state.blocks.has(key)) {
		return [];
	}

	return startBlock(state, {parts, strikes: 1, evidence: reports}, nowMs);
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

