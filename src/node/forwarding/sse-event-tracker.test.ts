import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {SseEventTracker} from './sse-event-tracker.js';

const stream = 'id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n: note\n\nid: 3\ndata: c\n\nid: 4\nda';

test('the end and the id of the last complete event are found wherever the stream is split into chunks', () => {
	const bytes = new TextEncoder().encode(stream);
	fc.assert(fc.property(fc.array(fc.integer({min: 1, max: bytes.length - 1}), {maxLength: 6}), cuts => {
		const tracker = new SseEventTracker();
		const bounds = [0, ...cuts.sort((a, b) => a - b), bytes.length];
		let completeBytes = 0;
		for (let i = 1; i < bounds.length; i++) {
			const count = tracker.push(bytes.subarray(bounds[i - 1], bounds[i]));
			completeBytes = count > 0 ? bounds[i - 1]! + count : completeBytes;
		}

		assert.equal(completeBytes, stream.lastIndexOf('id: 4'));
		assert.equal(tracker.lastEventId, '3');
		assert.equal(tracker.eventCount, 4);
	}), {seed: 1});
});

test('an incomplete event is discarded when the stream resumes from another server', () => {
	const tracker = new SseEventTracker();
	tracker.push(new TextEncoder().encode('id: 1\n\nid: 2\nda'));
	tracker.discardPartialEvent();
	tracker.push(new TextEncoder().encode('id: 2\ndata: b\n\n'));
	assert.equal(tracker.lastEventId, '2');
	assert.equal(tracker.eventCount, 2);
});
