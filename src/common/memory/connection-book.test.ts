import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
	chooseUnendedHeads, ConnectionBook, harmlessConnections, headerLineLimit,
} from './connection-book.js';

test('a new connection over the limit takes the place of the one that waits longest, and is refused while none has waited for a second', () => {
	const book = new ConnectionBook<string>(2);
	assert.equal(book.add('a', 0).outcome, 'accepted');
	book.add('b', 10);
	assert.deepEqual(book.add('c', 999), {outcome: 'refused'});
	assert.deepEqual(book.add('c', 1000), {outcome: 'accepted', victim: 'a'});
	assert.equal(book.size, 2);
});

test('a connection with a running request is not closed in favour of a new one; it waits anew when its last request has ended', () => {
	const book = new ConnectionBook<string>(1);
	book.add('a', 0);
	book.beginRequest('a');
	book.beginRequest('a');
	book.endRequest('a', 100);
	assert.equal(book.add('b', 5000).outcome, 'refused');
	book.endRequest('a', 5000);
	assert.equal(book.add('b', 5999).outcome, 'refused');
	assert.deepEqual(book.add('b', 6000), {outcome: 'accepted', victim: 'a'});
	book.endRequest('a', 6001);
	assert.equal(book.size, 1);
});

test('a request whose body has stalled for a second makes room for a new connection, the one that has stalled longest first, after those that wait', () => {
	const book = new ConnectionBook<string>(3);
	for (const connection of ['a', 'b', 'c']) {
		book.add(connection, 0);
		book.beginRequest(connection);
		book.beginBody(connection, 0);
	}

	book.recordBody('a', 1, 500);
	book.endBody('c');
	assert.equal(book.add('d', 999).outcome, 'refused');
	assert.deepEqual(book.add('d', 1000), {outcome: 'accepted', victim: 'b', isStalled: true});
	assert.deepEqual(book.add('e', 2000), {outcome: 'accepted', victim: 'd'});
	book.beginRequest('e');
	assert.deepEqual(book.add('f', 2000), {outcome: 'accepted', victim: 'a', isStalled: true});
	book.beginRequest('f');
	assert.equal(book.add('g', 9000).outcome, 'refused');
	book.endRequest('c', 9000);
	assert.equal(book.size, 3);
});

test('a body that arrives slowly makes room if no other connection can, but only after two seconds and after bodies that have stalled', () => {
	const book = new ConnectionBook<string>(3);
	for (const connection of ['stalled', 'slow', 'fast']) {
		book.add(connection, 0);
		book.beginRequest(connection);
		book.beginBody(connection, 0);
	}

	for (let nowMs = 400; nowMs <= 2400; nowMs += 400) {
		book.recordBody('slow', 6, nowMs);
		book.recordBody('fast', 300, nowMs);
		book.recordBody('stalled', 6, Math.min(nowMs, 1200));
	}

	assert.deepEqual(book.add('a', 2400), {outcome: 'accepted', victim: 'stalled', isStalled: true});
	book.beginRequest('a');
	assert.deepEqual(book.add('b', 2400), {outcome: 'accepted', victim: 'slow', isStalled: true});
	book.beginRequest('b');
	assert.equal(book.add('c', 2400).outcome, 'refused');
});

test('the largest unended heads are closed until the rest fits', () => {
	const heads = [['none', 0], ['small', 1000], ['large', 9000], ['middle', 2000]] as const;
	assert.deepEqual(chooseUnendedHeads(heads, 32_768 + 24_000), []);
	assert.deepEqual(chooseUnendedHeads(heads, 32_768 + 23_999), ['large']);
	assert.deepEqual(chooseUnendedHeads(heads, 8000), ['large', 'middle']);
	assert.deepEqual(chooseUnendedHeads(heads, 0), ['large', 'middle', 'small']);
});

test('heads of as many connections as are harmless are never closed', () => {
	const count = harmlessConnections(1_000_000);
	assert.ok(count > 0);
	assert.deepEqual(chooseUnendedHeads(Array.from({length: count}, (_, i) => [i, 16_384] as const), 1_000_000), []);
});

test('the largest head keeps all its lines unless many connections are open', () => {
	const smallestLineBytes = 'a:\r\n'.length;
	assert.ok(headerLineLimit(0) * smallestLineBytes >= 16_384);
	assert.equal(headerLineLimit(31), headerLineLimit(0));
	assert.ok(headerLineLimit(32) < headerLineLimit(31));
});
