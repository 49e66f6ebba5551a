import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {EventIds} from './event-ids.js';

const stream = 'id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n: note\n\nid: 3\ndata: c\n\nid: 4\nda';

test('the end and the id of the last whole event are found however the bytes are divided', () => {
	const bytes = new TextEncoder().encode(stream);
	fc.assert(fc.property(fc.array(fc.integer({min: 1, max: bytes.length - 1}), {maxLength: 6}), cuts => {
		const ids = new EventIds();
		const bounds = [0, ...cuts.sort((a, b) => a - b), bytes.length];
		let whole = 0;
		for (let i = 1; i < bounds.length; i++) {
			const count = ids.push(bytes.subarray(bounds[i - 1], bounds[i]));
			whole = count > 0 ? bounds[i - 1]! + count : whole;
		}

		assert.equal(whole, stream.lastIndexOf('id: 4'));
		assert.equal(ids.lastId, '3');
		assert.equal(ids.events, 4);
	}), {seed: 1});
});

test('a part of an event is forgotten when the stream goes on from another server', () => {
	const ids = new EventIds();
	ids.push(new TextEncoder().encode('id: 1\n\nid: 2\nda'));
	ids.restart();
	ids.push(new TextEncoder().encode('id: 2\ndata: b\n\n'));
	assert.equal(ids.lastId, '2');
	assert.equal(ids.events, 2);
});
