import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import type {DecodeEvent} from '../upstreams/engine-api.js';
import {acceptEvent, createAssembler} from './answer-assembler.js';

const tokenTexts = ['a', 'b', 'c', 'd', 'e', 'f'];

function eventsAfter(lastEventNumber: number): DecodeEvent[] {
	const texts: DecodeEvent[] = tokenTexts.map((text, i) => ({requestId: 'r', n: i + 1, text}));
	const end: DecodeEvent = {
		requestId: 'r', n: tokenTexts.length + 1, end: true, usage: {promptTokens: 1, outputTokens: tokenTexts.length},
	};
	return [...texts, end].slice(lastEventNumber);
}

/** Faults of one stream, one record per event. The test stops reading a stream at its first gap, as the entry process does. */
const streamFaults = fc.array(fc.record({lostEvents: fc.integer({min: 0, max: 2}), isRepeated: fc.boolean(), isForeign: fc.boolean()}), {minLength: 1, maxLength: 12});

test('lost, repeated and foreign events do not corrupt the delivered text', () => {
	fc.assert(fc.property(fc.array(streamFaults, {maxLength: 30}), streams => {
		const state = createAssembler('r');
		let text = '';
		const deliver = (event: DecodeEvent) => {
			const result = acceptEvent(state, event);
			text += result.kind === 'text' ? result.text : '';
			return result.kind;
		};

		for (const faults of streams) {
			let events = eventsAfter(Math.max(0, state.lastEventNumber - 1));
			for (const {lostEvents, isRepeated, isForeign} of faults) {
				events = events.slice(lostEvents);
				const event = events.shift();
				if (!event) {
					break;
				}

				const foreignEvent: DecodeEvent = {requestId: 'other', n: event.n, text: 'X'};
				const kinds = [...(isForeign ? [foreignEvent] : []), event, ...(isRepeated ? [event] : [])].map(item => deliver(item));
				if (kinds.includes('gap')) {
					break;
				}
			}
		}

		assert.equal(tokenTexts.join('').startsWith(text), true);
		assert.equal(state.isComplete, state.lastEventNumber === tokenTexts.length + 1);
	}), {seed: 1, numRuns: 300});
});

test('an answer is complete only after its end marker, and later events are dropped', () => {
	const state = createAssembler('r');
	const kinds = eventsAfter(0).map(event => acceptEvent(state, event).kind);
	assert.deepEqual(kinds, ['text', 'text', 'text', 'text', 'text', 'text', 'end']);
	assert.equal(acceptEvent(state, {requestId: 'r', n: 8, text: 'late'}).kind, 'late');
});
