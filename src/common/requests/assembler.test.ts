import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import type {DecodeEvent} from '../upstreams/engine-api.js';
import {assemble, createAssembler} from './assembler.js';

const words = ['a', 'b', 'c', 'd', 'e', 'f'];

function eventsBehind(after: number): DecodeEvent[] {
	const texts: DecodeEvent[] = words.map((text, i) => ({requestId: 'r', n: i + 1, text}));
	const end: DecodeEvent = {
		requestId: 'r', n: words.length + 1, end: true, usage: {promptTokens: 1, outputTokens: words.length},
	};
	return [...texts, end].slice(after);
}

/** A stream with lost, repeated and foreign events; it stops being read at the first gap, as the request path does. */
const faultyStream = fc.array(fc.record({skip: fc.integer({min: 0, max: 2}), isRepeated: fc.boolean(), isForeign: fc.boolean()}), {minLength: 1, maxLength: 12});

test('lost, repeated and foreign events never change the text that is passed on', () => {
	fc.assert(fc.property(fc.array(faultyStream, {maxLength: 30}), streams => {
		const state = createAssembler('r');
		let text = '';
		const read = (event: DecodeEvent) => {
			const result = assemble(state, event);
			text += result.kind === 'text' ? result.text : '';
			return result.kind;
		};

		for (const faults of streams) {
			let events = eventsBehind(Math.max(0, state.lastN - 1));
			for (const {skip, isRepeated, isForeign} of faults) {
				events = events.slice(skip);
				const event = events.shift();
				if (!event) {
					break;
				}

				const foreign: DecodeEvent = {requestId: 'other', n: event.n, text: 'X'};
				const kinds = [...(isForeign ? [foreign] : []), event, ...(isRepeated ? [event] : [])].map(item => read(item));
				if (kinds.includes('gap')) {
					break;
				}
			}
		}

		assert.equal(words.join('').startsWith(text), true);
		assert.equal(state.isComplete, state.lastN === words.length + 1);
	}), {seed: 1, numRuns: 300});
});

test('an answer is complete only behind its end marker, and nothing follows it', () => {
	const state = createAssembler('r');
	const kinds = eventsBehind(0).map(event => assemble(state, event).kind);
	assert.deepEqual(kinds, ['text', 'text', 'text', 'text', 'text', 'text', 'end']);
	assert.equal(assemble(state, {requestId: 'r', n: 8, text: 'late'}).kind, 'late');
});
