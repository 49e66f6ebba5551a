import assert from 'node:assert/strict';
import {test} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {LineWriter} from './line-writer.js';
import type {WriteBytes} from './line-writer.js';

function createWriter() {
	const pendingWrites: Array<{readonly bytes: Uint8Array; readonly done: Parameters<WriteBytes>[1]}> = [];
	const clock = {nowMs: 0};
	const writer = new LineWriter((bytes, done) => {
		pendingWrites.push({bytes, done});
	}, () => clock.nowMs, 0);
	const completeWrite = (written?: number) => {
		const {bytes, done} = pendingWrites.shift()!;
		done(undefined, written ?? bytes.length);
		return new TextDecoder().decode(bytes);
	};

	return {
		writer, pendingWrites, completeWrite, clock,
	};
}

test('a reader that stops reading does not block the process: lines are queued up to a limit, and further lines are dropped and counted', () => {
	const {writer, pendingWrites, completeWrite} = createWriter();
	const line = 'x'.repeat(100_000);
	for (let i = 0; i < 30; i++) {
		writer.writeLine(line);
	}

	assert.equal(pendingWrites.length, 1);
	completeWrite();
	completeWrite();
	writer.writeLine('after');
	assert.match(completeWrite(), /"log lines dropped","dropped":20/);
	assert.equal(completeWrite(), 'after\n');
});

test('after a partial write the remaining bytes are written next, in order', () => {
	const {writer, completeWrite} = createWriter();
	writer.writeLine('abc');
	writer.writeLine('def');
	completeWrite(2);
	assert.equal(completeWrite(), 'c\n');
	assert.equal(completeWrite(), 'def\n');
});

test('lines are still written after a failed write', () => {
	const {writer, pendingWrites, completeWrite} = createWriter();
	writer.writeLine('lost');
	pendingWrites.shift()!.done(new Error('no reader'), 0);
	writer.writeLine('kept');
	assert.equal(completeWrite(), 'kept\n');
});

test('the number of lines per second is limited, and the lines beyond the limit are dropped and counted', () => {
	const {writer, completeWrite, clock} = createWriter();
	for (let i = 0; i < 700; i++) {
		writer.writeLine('x');
	}

	assert.equal(completeWrite(), 'x\n');
	assert.equal(completeWrite().length, 2 * 499);
	clock.nowMs = 1000;
	writer.writeLine('after');
	assert.match(completeWrite(), /"dropped":200/);
});

test('lines logged close together share one write, and lines still queued at exit are not lost', async () => {
	const writes: string[] = [];
	const writer = new LineWriter((bytes, done) => {
		writes.push(new TextDecoder().decode(bytes));
		done(undefined, bytes.length);
	}, () => 0, 5);
	writer.writeLine('a');
	writer.writeLine('b');
	assert.deepEqual(writes, []);
	while (writes.length === 0) {
		await sleep(5);
	}

	assert.deepEqual(writes, ['a\nb\n']);
	writer.writeLine('c');
	assert.equal(new TextDecoder().decode(writer.takeQueuedBytes()), 'c\n');
});
