import {createHash} from 'node:crypto';

/** Matches the request markers in a prompt; group 1 is the id. A fake engine derives the tokens of the answer from this id, so that tests detect foreign, duplicated and missing tokens. */
const markerPattern = /\[request ([\w.:-]+)]/g;

/** Returns the marker that a caller adds to its prompt so that it can verify the answer. */
export function requestMarker(id: string): string {
	return `[request ${id}]`;
}

/** Returns the id from which the answer to a prompt is derived: the id of the last marker in the prompt, or `requestId` if the prompt has no marker. */
export function answerId(prompt: string, requestId: string): string {
	return [...prompt.matchAll(markerPattern)].at(-1)?.[1] ?? requestId;
}

/** Returns the length of the answer for `id` in tokens: between half of `maxTokens` and `maxTokens`, but at least 1. */
export function answerLength(id: string, maxTokens: number): number {
	const fraction = createHash('sha256').update(id).digest().readUInt16BE(0) / 65_536;
	return Math.max(1, Math.ceil(maxTokens * (0.5 + (fraction / 2))));
}

/** Returns the text of token `n` of the answer for `id`; the first token has number 1. */
export function answerToken(id: string, n: number): string {
	return `${n}:${createHash('sha256').update(`${id}/${n}`).digest('hex').slice(0, 6)} `;
}

/** Returns the complete answer that a fake engine generates for `id` if the request allows `maxTokens` tokens. */
export function expectedAnswer(id: string, maxTokens: number): string {
	return Array.from({length: answerLength(id, maxTokens)}, (_, index) => answerToken(id, index + 1)).join('');
}
