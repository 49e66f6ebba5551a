/** Format in which a process keeps its blocks and probations across restarts: a line of JSON for the file, and one for each of them. */
import {z} from 'zod';
import {blockRecordSchema} from './messages.js';
import type {BlockRecord} from './messages.js';
import {keyOf, maxBlockMs, probationMs} from './state.js';
import type {QuarantineState} from './state.js';

const formatVersion = 1;
/** Maximum number of blocks, and of probations, in a file. */
const maxStored = 64;

const headerSchema = z.object({
	version: z.literal(formatVersion),
	/** Time at which the file was written, in Unix milliseconds; ages and remaining times refer to it. */
	writtenMs: z.number(),
});

/** States that one crash within `remainingMs` renews an ended block. */
const probationRecordSchema = blockRecordSchema.pick({parts: true, strikes: true, remainingMs: true});

const lineSchema = z.discriminatedUnion('kind', [
	blockRecordSchema.extend({kind: z.literal('block')}),
	probationRecordSchema.extend({kind: z.literal('probation')}),
]);

export type ProbationRecord = z.infer<typeof probationRecordSchema>;
export type StoredBlocks = {readonly blocks: readonly BlockRecord[]; readonly probations: readonly ProbationRecord[]};
export type DecodedBlocks = StoredBlocks & {
	/** Time since the file was written, in milliseconds; 0 if the wall clock was set back since. */
	readonly ageMs: number;
	/** Why lines of the file are not used. */
	readonly faults: readonly string[];
};

/** Returns the newest blocks and probations of the state, with times relative to `nowMs`. */
export function captureBlocks(state: QuarantineState, nowMs: number): StoredBlocks {
	const blocks = [...state.blocks.values()].filter(({untilMs}) => untilMs > nowMs).slice(-maxStored).map(({
		parts, strikes, startedMs, untilMs, decidedBy, evidence,
	}) => ({
		parts: [...parts], strikes, ageMs: Math.max(0, nowMs - startedMs), remainingMs: untilMs - nowMs, decidedBy, evidence: [...evidence],
	}));
	const probations = [...state.probations.values()].filter(({untilMs}) => untilMs > nowMs).slice(-maxStored).map(({parts, strikes, untilMs}) => ({
		parts: [...parts], strikes, remainingMs: untilMs - nowMs,
	}));
	return {blocks, probations};
}

/** Adds probations that the state does not have, as far as there is room. */
export function restoreProbations(state: QuarantineState, probations: readonly ProbationRecord[], nowMs: number): void {
	for (const {parts, strikes, remainingMs} of probations) {
		const key = keyOf(parts);
		if (!state.probations.has(key) && state.probations.size < maxStored) {
			state.probations.set(key, {parts, strikes, untilMs: nowMs + clamp(remainingMs, probationMs)});
		}
	}
}

/** @param wallTimeMs - the current time, in Unix milliseconds */
export function encodeBlocks({blocks, probations}: StoredBlocks, wallTimeMs: number): string {
	const lines = [
		{version: formatVersion, writtenMs: wallTimeMs},
		...blocks.map(block => ({kind: 'block', ...block})),
		...probations.map(probation => ({kind: 'probation', ...probation})),
	];
	return lines.map(line => `${JSON.stringify(line)}\n`).join('');
}

/**
Decodes what `encodeBlocks` returned, or what is left of it. Blocks that have ended since become probations.

@param wallTimeMs - the current time, in Unix milliseconds
*/
export function decodeBlocks(text: string, wallTimeMs: number): DecodedBlocks {
	const [headerLine, ...lines] = text.split('\n');
	const header = headerSchema.safeParse(parseJson(headerLine!));
	if (!header.success) {
		return {
			blocks: [], probations: [], ageMs: 0, faults: [`line 1: ${describe(header.error)}`],
		};
	}

	const elapsedMs = Math.max(0, wallTimeMs - header.data.writtenMs);
	const blocks: BlockRecord[] = [];
	const probations: ProbationRecord[] = [];
	const faults: string[] = [];
	if (lines.at(-1) === '') {
		lines.pop();
	}

	for (const [i, line] of lines.entries()) {
		const {data, error} = lineSchema.safeParse(parseJson(line));
		if (!data) {
			faults.push(`line ${i + 2}: ${describe(error)}`);
			continue;
		}

		const {parts, strikes} = data;
		const remainingMs = clamp(data.remainingMs, data.kind === 'block' ? maxBlockMs : probationMs) - elapsedMs;
		if (data.kind === 'block' && remainingMs > 0) {
			const {decidedBy, evidence} = data;
			blocks.push({
				parts, strikes, ageMs: data.ageMs + elapsedMs, remainingMs, decidedBy, evidence,
			});
			continue;
		}

		const probationLeftMs = data.kind === 'block' ? remainingMs + probationMs : remainingMs;
		if (probationLeftMs > 0) {
			probations.push({parts, strikes, remainingMs: probationLeftMs});
		}
	}

	return {
		blocks: blocks.slice(-maxStored), probations: probations.slice(-maxStored), ageMs: elapsedMs, faults,
	};
}

function clamp(timeMs: number, maxMs: number): number {
	return Math.min(maxMs, Math.max(0, timeMs));
}

function parseJson(text: string): unknown {
	try {
		return JSON.parse(text);
	} catch {
		return undefined;
	}
}

function describe({issues: [issue]}: z.ZodError): string {
	return issue!.path.length > 0 ? `${issue!.path.join('.')}: ${issue!.message}` : issue!.message;
}
