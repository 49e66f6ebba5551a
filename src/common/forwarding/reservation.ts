import type {ModelRequestSize} from './types.js';

/**
Share of the expected output that is reserved on a decode engine. It is below 1 because a stream reaches its full size only at its end, when
other streams have finished, and because estimates of the output are often far off.
*/
const reservedOutputShare = 0.6;
/** Share of an engine's KV cache memory that should stay free, so that streams can grow beyond their reservations. */
const spareMemoryRatio = 0.2;
/** Maximum share of an engine's KV cache memory for a reservation and the room that is kept beside it for other requests. */
const maxKeptShare = 0.5;
/** Block size of the engines' memory allocation, in tokens. */
const tokensPerBlock = 16;

/** Returns the memory to reserve on a decode engine for a request, in tokens; 0 if the size of the request is unknown. */
export function reservedTokens(prompt: ModelRequestSize | undefined): number {
	if (!prompt) {
		return 0;
	}

	const {promptTokens, maxOutputTokens, expectedOutputTokens = Infinity} = prompt;
	const output = Math.min(maxOutputTokens, expectedOutputTokens);
	return Math.ceil((promptTokens + (output * reservedOutputShare)) / tokensPerBlock) * tokensPerBlock;
}

/**
Returns the memory that an engine with room for `cacheTokens` tokens should keep free, in tokens. A stream that outgrows the free
memory is preempted and prefilled again, which stalls every other stream of that engine even if other engines have free memory.
*/
export function minFreeTokens(cacheTokens: number): number {
	return Math.floor(cacheTokens * spareMemoryRatio / tokensPerBlock) * tokensPerBlock;
}

/**
Returns the memory that an engine with room for `cacheTokens` tokens must keep free for other requests beside a reservation of `reserved` tokens, in
tokens. A large request keeps less than `keptRatio` times its size, since it would find no engine otherwise, not even among idle ones.
*/
export function keptTokens(reserved: number, keptRatio: number, cacheTokens: number): number {
	return Math.ceil(Math.max(0, Math.min(reserved * keptRatio, (cacheTokens * maxKeptShare) - reserved)));
}
