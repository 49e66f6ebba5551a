import assert from 'node:assert/strict';
import {test} from 'node:test';
import fastCheck from 'fast-check';
import {RequestFramer} from './request-framer.js';
import type {BodyFraming} from './request-framer.js';

const chunkedHead = 'POST /a HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n';

function encode(text: string): Uint8Array {
	return new TextEncoder().encode(text);
}

/** Takes parts until the request has ended, or no bytes are left, and returns them as text. */
function takeParts(framer: RequestFramer, text: string, maxEvents: number, framing: BodyFraming): string[] {
	let bytes = encode(text);
	const parts: string[] = [];
	let isHead = framer.isInHead;
	while (bytes.length > 0 && !framer.isEnded) {
		const {length} = framer.take(bytes, maxEvents);
		assert.ok(length > 0);
		parts.push(new TextDecoder().decode(bytes.subarray(0, length)));
		bytes = bytes.subarray(length);
		if (isHead && parts.join('').endsWith('\r\n\r\n')) {
			framer.beginBody(framing);
			isHead = false;
		}
	}

	return parts;
}

test('a part ends with the head, with the body, and with the last chunk, so that the next request is not parsed with it', () => {
	const next = 'GET /b HTTP/1.1\r\nhost: a\r\n\r\n';
	const chunks = '3\r\nabc\r\n0\r\n\r\n';
	assert.deepEqual(takeParts(new RequestFramer(), `${chunkedHead}${chunks}${next}`, 100, {kind: 'chunked'}), [chunkedHead, chunks]);
	const countedHead = 'POST /a HTTP/1.1\r\ncontent-length: 3\r\n\r\n';
	assert.deepEqual(takeParts(new RequestFramer(), `${countedHead}abc${next}`, 100, {kind: 'length', length: 3}), [countedHead, 'abc']);
	assert.deepEqual(takeParts(new RequestFramer(), `${next}${next}`, 100, {kind: 'length', length: 0}), [next]);
});

test('a part has as many chunks as allowed, whatever their size, extensions and trailers', () => {
	const body = '1\r\na\r\n1;x=y\r\nb\r\n0a\r\n0123456789\r\n1\r\nc\r\n0\r\nend: a\r\n\r\n';
	assert.deepEqual(takeParts(new RequestFramer(), chunkedHead + body, 2, {kind: 'chunked'}), [
		chunkedHead, '1\r\na\r\n1;x=y\r\nb', '\r\n0a\r\n0123456789\r\n1\r\nc', '\r\n0\r\nend: a\r\n\r\n',
	]);
});

test('a request costs as much as many chunks', () => {
	assert.equal(new RequestFramer().take(encode(chunkedHead), 1).events, 64);
	assert.equal(new RequestFramer().take(encode('POST /a'), 1).events, 1);
});

test('parts are the same however the bytes are split on their way, and malformed bytes are passed on', () => {
	const body = 'b\r\nhello world\r\n1\r\n\n\r\n2\r\n\r\n\r\n0\r\n\r\n';
	fastCheck.assert(fastCheck.property(fastCheck.array(fastCheck.integer({min: 1, max: 30}), {maxLength: 20}), fastCheck.integer({min: 1, max: 5}), (cuts, maxEvents) => {
		const framer = new RequestFramer();
		let rest = encode(`${chunkedHead}${body}GET /next`);
		let taken = 0;
		for (const cut of [...cuts, rest.length]) {
			let piece = rest.subarray(0, cut);
			rest = rest.subarray(cut);
			while (piece.length > 0 && !framer.isEnded) {
				const {length} = framer.take(piece, maxEvents);
				piece = piece.subarray(length);
				taken += length;
				if (framer.isInHead && taken === chunkedHead.length) {
					framer.beginBody({kind: 'chunked'});
				}
			}
		}

		assert.equal(taken, chunkedHead.length + body.length);
		assert.ok(framer.isEnded);
	}), {seed: 57});
	fastCheck.assert(fastCheck.property(fastCheck.uint8Array({minLength: 1, maxLength: 200}), bytes => {
		const framer = new RequestFramer();
		framer.beginBody({kind: 'chunked'});
		const {length, events} = framer.take(bytes, 3);
		assert.ok(length > 0 && length <= bytes.length && events >= 1 && events <= 3);
	}), {seed: 57});
});
