import {FnvHash} from '../core/fnv.js';

/** Bytes of prompt text per KV cache block: 64 tokens of 4 bytes. */
export const blockBytes = 256;
/** Largest number of leading blocks of a prompt that are hashed to find cached prefixes. */
export const maxPrefixBlocks = 64;
/** Estimated number of bytes of text per token. */
export const bytesPerToken = 4;

/** Estimates the number of tokens of a text from its size in UTF-8; at least 1. */
export function estimateTokens(text: string): number {
	return Math.max(1, Math.ceil(new TextEncoder().encode(text).length / bytesPerToken));
}

/**
Returns the hashes of the prompt's leading full blocks, by which engines identify the blocks in cache events; empty if the
prompt is shorter than one block. A hash consists of two 32-bit FNV-1a lanes and covers its block and all blocks before it,
so that equal hashes stand for equal prefixes.
*/
export function prefixHashes(prompt: string, maxBlocks = maxPrefixBlocks): string[] {
	const bytes = new TextEncoder().encode(prompt.slice(0, blockBytes * maxBlocks));
	const blocks = Math.min(maxBlocks, Math.floor(bytes.length / blockBytes));
	const hashes: string[] = [];
	const hash = new FnvHash();
	for (let block = 0; block < blocks; block++) {
		for (let i = block * blockBytes; i < (block + 1) * blockBytes; i++) {
			hash.update(bytes[i]!);
		}

		hashes.push(hash.digest());
	}

	return hashes;
}
