import {SeededRandom} from '../core/random.js';
import type {VmId} from '../core/types.js';
import {isRequestPart, withoutLatePrefix} from './parts.js';
import type {
	AttemptId, Block, CrashReport, PartId, ServerId,
} from './types.js';

/** Time for which a crash report that names no request as a whole counts, in milliseconds. */
const partReportValidityMs = 60_000;
/** Time for which a crash report that names a request counts, in milliseconds; requests that come rarely crash servers, too. */
const requestReportValidityMs = 3_600_000;
/** Maximum number of requests, and of other parts, whose last output is remembered; beyond it the oldest goes. */
export const maxSoundParts = 4096;
/** Longest duration of a block, in milliseconds. */
export const maxBlockMs = 3_600_000;
/** Time after the end of a block in which one crash renews it, in milliseconds. */
export const probationMs = 3_600_000;

export type Attempt = {
	readonly server: ServerId;
	readonly requestId: string;
	readonly parts: readonly PartId[];
	/** Time of the first output, in milliseconds. */
	producedMs: number | undefined;
	/** Whether the server has stalled since it last produced output. */
	isStalled: boolean;
};

/** A request that broke before its server produced output. It becomes a report if the server proves to have crashed. */
export type PendingReport = Omit<CrashReport, 'id' | 'vm'> & {
	/** Time after the break within which the loss of the server confirms the crash, in milliseconds. */
	readonly confirmWithinMs: number;
};

/** An ended block: until `untilMs`, one crash renews it. */
export type Probation = Pick<Block, 'parts' | 'strikes'> & {readonly untilMs: number};

/** Item to gossip: the key of a report, sound part or block. */
export type NewsItem = {readonly kind: 'crash' | 'sound' | 'block'; readonly key: string; sends: number};

export type QuarantineState = {
	readonly self: VmId;
	/** Prefix of the ids of this process's reports; differs between the runs of a process. */
	readonly idPrefix: string;
	readonly random: SeededRandom;
	nextReport: number;
	readonly attempts: Map<AttemptId, Attempt>;
	pending: PendingReport[];
	/** Times at which servers were last found to be lost. */
	readonly lostMs: Map<ServerId, number>;
	readonly reports: Map<string, CrashReport>;
	/** Time at which the next report ceases to count, in milliseconds; Infinity if there is none. */
	nextReportEndMs: number;
	/** Time at which a server was last known to produce output on a prompt with a part, least recent first. */
	readonly soundMs: Map<PartId, number>;
	/** Time at which a server was last known to have answered a request completely, least recent first. */
	readonly soundRequestsMs: Map<PartId, number>;
	/** Newest of these times that was sent to or received from other processes, for parts of reports and blocks. */
	readonly statedSoundMs: Map<PartId, number>;
	/** Times at which this process states that a part is sound unless another process does. */
	readonly statementsDueMs: Map<PartId, number>;
	/** Time at which the reports are evaluated next; Infinity if they are evaluated. */
	evaluationDueMs: number;
	readonly blocks: Map<string, Block>;
	/** Start times of released blocks, so that a process that still has such a block does not bring it back. */
	readonly releasedMs: Map<string, number>;
	readonly probations: Map<string, Probation>;
	/** Number of changes of the blocks and probations, apart from the expiry of probations. */
	revision: number;
	readonly newsItems: Map<string, NewsItem>;
	/** Position among the blocks of the next one to send with gossip. */
	nextBlock: number;
};

export function createQuarantine({self, idPrefix, seed}: {readonly self: VmId; readonly idPrefix: string; readonly seed: number}): QuarantineState {
	return {
		self,
		idPrefix,
		random: new SeededRandom(seed),
		nextReport: 1,
		attempts: new Map(),
		pending: [],
		lostMs: new Map(),
		reports: new Map(),
		nextReportEndMs: Infinity,
		soundMs: new Map(),
		soundRequestsMs: new Map(),
		statedSoundMs: new Map(),
		statementsDueMs: new Map(),
		evaluationDueMs: Infinity,
		blocks: new Map(),
		releasedMs: new Map(),
		probations: new Map(),
		revision: 0,
		newsItems: new Map(),
		nextBlock: 0,
	};
}

/** Sets the time of a key and makes the key the newest of the map; evicts the oldest keys beyond `maxSize`. */
export function setNewest(map: Map<string, number>, key: string, timeMs: number, maxSize: number): void {
	map.delete(key);
	map.set(key, timeMs);
	if (map.size > maxSize) {
		map.delete(map.keys().next().value!);
	}
}

/** Time at which a report ceases to count, in milliseconds. */
export function reportEndMs({parts, atMs}: Pick<CrashReport, 'parts' | 'atMs'>): number {
	return atMs + (parts.some(part => isRequestPart(part)) ? requestReportValidityMs : partReportValidityMs);
}

/** Returns the time at which a part was last known to be sound, in milliseconds; undefined if it is not known. */
export function soundTimeOf({soundMs, soundRequestsMs}: QuarantineState, part: PartId): number | undefined {
	return isRequestPart(part) ? soundRequestsMs.get(withoutLatePrefix(part)) : soundMs.get(part);
}

export function setSoundTime({soundMs, soundRequestsMs}: QuarantineState, part: PartId, timeMs: number): void {
	if (isRequestPart(part)) {
		setNewest(soundRequestsMs, withoutLatePrefix(part), timeMs, maxSoundParts);
	} else {
		setNewest(soundMs, part, timeMs, maxSoundParts);
	}
}

/** Whether a prompt with the parts `by` contains all of `parts`. */
export function isCovered(parts: readonly PartId[], by: readonly PartId[]): boolean {
	return parts.every(part => by.includes(part));
}

/** Returns the key of a set of parts. Part ids contain no commas: the platform separates them by commas, and hashes have none. */
export function keyOf(parts: readonly PartId[]): string {
	return parts.join(',');
}
