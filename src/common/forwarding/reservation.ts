import type {PromptFacts} from './types.js';

/**
Share of the expected output that is reserved on a decode engine. A stream reaches its full size only at its end, when others have ended,
and estimates of the output are often far off.
*/
const reservedOutputShare = 0.6;
/** Share of its memory that an engine should have to spare, for the growth of streams beyond their reservations. */
const spareShare = 0.2;
/** Engines allocate memory in blocks of this many tokens. */
const blockTokens = 16;

/** Tokens of memory to reserve on a decode engine for a request; 0 if its size is not known. */
export function reservedTokens(prompt: PromptFacts | undefined): number {
	if (!prompt) {
		return 0;
	}

	const {promptTokens, maxOutputTokens, expectedOutputTokens = Infinity} = prompt;
	const output = Math.min(maxOutputTokens, expectedOutputTokens);
	return Math.ceil((promptTokens + (output * reservedOutputShare)) / blockTokens) * blockTokens;
}

/**
Tokens that an engine with this much memory should have to spare. A stream that grows beyond it is preempted and read again, which
holds up every other stream of its engine, while others have room.
*/
export function spareTokens(cacheTokens: number): number {
	return Math.floor(cacheTokens * spareShare / blockTokens) * blockTokens;
}
