import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {EventIds} from './event-ids.js';
import {maxPartBytes, WholeEvents} from './whole-events.js';

const bytesOf = (text: string) => new TextEncoder().encode(text);
const textOf = (bytes: Uint8Array) => new TextDecoder().decode(bytes);

test('whole events come out unchanged and in order, however their bytes are cut', () => {
	const stream = Array.from({length: 20}, (_, i) => `id: ${i}\ndata: ${'x'.repeat(i * 3)}\n\n`).join('');
	fc.assert(fc.property(fc.array(fc.integer({min: 1, max: 40}), {minLength: 1}), cuts => {
		const events = new WholeEvents(new EventIds());
		let out = '';
		let at = 0;
		for (let i = 0; at < stream.length; i++) {
			const size = cuts[i % cuts.length]!;
			out += textOf(events.push(bytesOf(stream.slice(at, at + size))));
			at += size;
			assert.ok(out === '' || out.endsWith('\n\n'));
		}

		assert.equal(out, stream);
		assert.equal(events.hasPart, false);
	}), {seed: 1});
});

test('guards against memory that grows while a server sends bytes without end that are no event', () => {
	const events = new WholeEvents(new EventIds());
	events.push(bytesOf('id: 1\ndata: a\n\n'));
	const chunk = bytesOf('x'.repeat(65_536));
	let taken = 0;
	assert.throws(() => {
		for (; taken <= 2 * maxPartBytes; taken += chunk.length) {
			events.push(chunk);
		}
	}, {name: 'CallError'});
	assert.ok(taken <= maxPartBytes);
});
