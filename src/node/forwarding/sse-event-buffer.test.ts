import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {SseEventTracker} from './sse-event-tracker.js';
import {maxPartialEventBytes, SseEventBuffer} from './sse-event-buffer.js';

const bytesOf = (text: string) => new TextEncoder().encode(text);
const textOf = (bytes: Uint8Array) => new TextDecoder().decode(bytes);

test('complete events come out unchanged and in order, wherever the stream is split into chunks', () => {
	const stream = Array.from({length: 20}, (_, i) => `id: ${i}\ndata: ${'x'.repeat(i * 3)}\n\n`).join('');
	fc.assert(fc.property(fc.array(fc.integer({min: 1, max: 40}), {minLength: 1}), cuts => {
		const buffer = new SseEventBuffer(new SseEventTracker());
		let out = '';
		let at = 0;
		for (let i = 0; at < stream.length; i++) {
			const size = cuts[i % cuts.length]!;
			out += textOf(buffer.push(bytesOf(stream.slice(at, at + size))));
			at += size;
			assert.ok(out === '' || out.endsWith('\n\n'));
		}

		assert.equal(out, stream);
		assert.equal(buffer.hasPartialEvent, false);
	}), {seed: 1});
});

test('memory stays bounded while a server sends bytes without ever ending an event', () => {
	const buffer = new SseEventBuffer(new SseEventTracker());
	buffer.push(bytesOf('id: 1\ndata: a\n\n'));
	const chunk = bytesOf('x'.repeat(65_536));
	let pushedBytes = 0;
	assert.throws(() => {
		for (; pushedBytes <= 2 * maxPartialEventBytes; pushedBytes += chunk.length) {
			buffer.push(chunk);
		}
	}, {name: 'CallError'});
	assert.ok(pushedBytes <= maxPartialEventBytes);
});
