import {requestMarker} from '../../fakes/answer.js';
import {bytesPerToken} from '../common/upstreams/prompt-prefix.js';
import {SeededRandom} from '../common/core/random.js';
import type {ModelTraceRequest} from './trace.js';

const words = ['article', 'judge', 'entry', 'course', 'stitch', 'pattern', 'fee', 'rule', 'measure', 'class', 'record', 'border', 'thread', 'order', 'trial', 'draft'];
const sharedTextCache = new Map<string, string>();

function hashToSeed(name: string): number {
	let seed = 7;
	for (const character of name) {
		seed = ((seed * 31) + character.codePointAt(0)!) % 2_147_483_647;
	}

	return seed;
}

/** Generates a pseudorandom text whose estimated length is exactly `tokens` tokens. Equal arguments give equal texts. */
export function generateText(name: string, tokens: number): string {
	const random = new SeededRandom(hashToSeed(name));
	const length = tokens * bytesPerToken;
	const parts: string[] = [];
	for (let total = 0; total < length;) {
		const word = `${random.pick(words)}-${random.integer(0, 1000)} `;
		parts.push(word);
		total += word.length;
	}

	return parts.join('').slice(0, length);
}

function sharedText(name: string, tokens: number): string {
	const key = `${name}/${tokens}`;
	const text = sharedTextCache.get(key) ?? generateText(name, tokens);
	sharedTextCache.set(key, text);
	return text;
}

/** Builds the prompt of a model request in a trace: the shared texts, the request's own text and the request marker. */
export function buildPrompt({id, shared, ownTokens}: ModelTraceRequest): string {
	return shared.map(({name, tokens}) => sharedText(name, tokens)).join('') + generateText(id, ownTokens) + requestMarker(id);
}
