import {createHash} from 'node:crypto';

/** Tokens of an answer are derived from this id, so a foreign, duplicated or missing token is recognisable. */
const markerPattern = /\[request ([\w.:-]+)]/g;

/** Line that a caller puts into its prompt so that it can recognise the answer. */
export function marker(id: string): string {
	return `[request ${id}]`;
}

/** The id of the last marker in a prompt, or the engine's own request id. */
export function answerId(prompt: string, requestId: string): string {
	return [...prompt.matchAll(markerPattern)].at(-1)?.[1] ?? requestId;
}

/** Output length of the answer, from half the limit up to the limit, in tokens. */
export function answerLength(id: string, maxTokens: number): number {
	const share = createHash('sha256').update(id).digest().readUInt16BE(0) / 65_536;
	return Math.max(1, Math.ceil(maxTokens * (0.5 + (share / 2))));
}

/** Token number `n`, from 1. */
export function answerToken(id: string, n: number): string {
	return `${n}:${createHash('sha256').update(`${id}/${n}`).digest('hex').slice(0, 6)} `;
}

/** The complete text that an engine generates. */
export function expectedAnswer(id: string, maxTokens: number): string {
	return Array.from({length: answerLength(id, maxTokens)}, (_, index) => answerToken(id, index + 1)).join('');
}
