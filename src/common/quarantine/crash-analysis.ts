import {isLatePart} from './parts.js';
import type {CrashReport, PartId, ServerId} from './types.js';

/** Number of crashes that a part without known output must have in common before it is held responsible. */
const minCrashes = 2;
/** Number of crashes for a part on which a server has produced output before, and for one that is not the only explanation. */
const minCrashesWhenDoubtful = 4;
/** Time between two crashes from which on they count as two moments, in milliseconds. */
const minMomentGapMs = 1000;
/** Number of candidates, the strongest first, that are compared; it bounds the time of an evaluation. */
const maxCandidates = 64;
/** Time after the first report of a crash within which others about the server are about the same crash, in milliseconds; shorter than any restart of a server. */
const minCrashIntervalMs = 2000;

/** Parts that are held responsible for crashes: every report in `reports` names all of them. */
export type Culprit = {readonly parts: readonly PartId[]; readonly reports: readonly CrashReport[]};

/** Returns the time at which a server was last known to produce output on a prompt with the part, in milliseconds; undefined if it is not known. */
type SoundTime = (part: PartId) => number | undefined;

/** Names one crash of one server. */
type CrashKey = string;

type Candidate = {
	readonly part: PartId;
	readonly reports: readonly CrashReport[];
	readonly crashes: ReadonlySet<CrashKey>;
	/** Number of crashes of servers that had not produced output for the request. */
	readonly crashesWithoutOutput: number;
	/** Whether there is enough evidence to hold the part responsible if nothing else explains the crashes as well. */
	readonly isSuspect: boolean;
};

/**
Finds the parts that explain the reported crashes. The part with the most crashes since its last output is held responsible first, and
crashes that it explains do not count against other parts, so that a request that merely ran on the same servers is not suspected.

Parts that occur in exactly the same reports cannot be told apart and are returned together: only requests that contain all of them are at fault.
So are a part and one that occurs in some of its reports but explains as many crashes. Where different requests explain the same crashes equally well, none is held responsible before
further crashes show which one is.

@param isSettled - whether a report is already explained, so that its crash does not count against other parts
*/
export function findCulprits(reports: readonly CrashReport[], soundMs: SoundTime, isSettled: (report: CrashReport) => boolean = () => false): Culprit[] {
	const culprits: Culprit[] = [];
	const crashOf = assignCrashes(reports);
	// Every process must come to the same result, whatever the order in which the reports reached it.
	const settled = new Set(reports.filter(report => isSettled(report)).map(report => crashOf.get(report)));
	let unexplained = reports.filter(report => !settled.has(crashOf.get(report))).sort((a, b) => compareText(a.id, b.id));
	for (let best = findCandidate(unexplained, crashOf, soundMs); best; best = findCandidate(unexplained, crashOf, soundMs)) {
		const {reports: evidence} = best;
		const firstMs = Math.min(...evidence.map(({atMs}) => atMs));
		const parts = evidence[0]!.parts.filter(part => (soundMs(part) ?? -Infinity) < firstMs && evidence.every(report => report.parts.includes(part)));
		culprits.push({parts: [...new Set(parts)].sort(), reports: evidence});
		const explained = new Set(evidence.map(report => crashOf.get(report)));
		unexplained = unexplained.filter(report => !explained.has(crashOf.get(report)));
	}

	return culprits;
}

function compareText(a: string, b: string): number {
	return a < b ? -1 : Number(a > b);
}

/** Tells the crashes of a server apart by their time, since a server may restart under the same key. */
function assignCrashes(reports: readonly CrashReport[]): Map<CrashReport, CrashKey> {
	const crashOf = new Map<CrashReport, CrashKey>();
	const lastByServer = new Map<ServerId, {readonly atMs: number; readonly crash: CrashKey}>();
	for (const report of [...reports].sort((a, b) => a.atMs - b.atMs)) {
		const {server, atMs} = report;
		const last = lastByServer.get(server);
		if (last && atMs - last.atMs < minCrashIntervalMs) {
			crashOf.set(report, last.crash);
		} else {
			const crash = `${server} ${atMs}`;
			crashOf.set(report, crash);
			lastByServer.set(server, {atMs, crash});
		}
	}

	return crashOf;
}

function findCandidate(reports: readonly CrashReport[], crashOf: ReadonlyMap<CrashReport, CrashKey>, soundMs: SoundTime): Candidate | undefined {
	const byPart = new Map<PartId, CrashReport[]>();
	for (const report of reports) {
		for (const part of new Set(report.parts)) {
			if (report.atMs > (soundMs(part) ?? -Infinity)) {
				byPart.set(part, [...byPart.get(part) ?? [], report]);
			}
		}
	}

	const candidates: Candidate[] = [];
	for (const [part, evidence] of byPart) {
		const crashes = new Set(evidence.map(report => crashOf.get(report)!));
		if (crashes.size >= minCrashes) {
			const crashesWithoutOutput = new Set(evidence.filter(({hasOutput}) => !hasOutput).map(report => crashOf.get(report))).size;
			candidates.push({
				part, reports: evidence, crashes, crashesWithoutOutput, isSuspect: (soundMs(part) === undefined && !isLatePart(part)) || isBeyondDoubt(evidence, crashes),
			});
		}
	}

	const strongest = candidates.sort((a, b) => compareStrength(b, a) || a.reports.length - b.reports.length || compareText(a.part, b.part)).slice(0, maxCandidates);
	return strongest.find(candidate => candidate.isSuspect && (isExemptFromRivals(candidate) || !strongest.some(other => isRival(other, candidate))));
}

/** Returns a positive number if `a` explains the crashes better than `b`. */
function compareStrength(a: Candidate, b: Candidate): number {
	return a.crashes.size - b.crashes.size || a.crashesWithoutOutput - b.crashesWithoutOutput;
}

/** Whether there is so much evidence that a part is held responsible in spite of doubts. Servers that fail all at once do so for another reason, whatever runs on all of them. */
function isBeyondDoubt(reports: readonly CrashReport[], crashes: ReadonlySet<CrashKey>): boolean {
	const times = reports.map(({atMs}) => atMs);
	return crashes.size >= minCrashesWhenDoubtful && Math.max(...times) - Math.min(...times) >= minMomentGapMs;
}

/** Whether a part is held responsible although other requests explain the crashes as well. Most streams that break late only ran beside the crashing one, so this never holds for them. */
function isExemptFromRivals({part, reports, crashes}: Candidate): boolean {
	return !isLatePart(part) && isBeyondDoubt(reports, crashes);
}

/** Whether `other` explains some of the crashes of `candidate` at least as well, by other requests. */
function isRival(other: Candidate, candidate: Candidate): boolean {
	return compareStrength(other, candidate) >= 0
		&& [...other.crashes].some(crash => candidate.crashes.has(crash))
		&& !isSubset(other.reports, candidate.reports) && !isSubset(candidate.reports, other.reports);
}

function isSubset(part: readonly CrashReport[], whole: readonly CrashReport[]): boolean {
	return part.every(report => whole.includes(report));
}
