import assert from 'node:assert/strict';
import {test} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {LineWriter} from './line-writer.js';
import type {WriteBytes} from './line-writer.js';

function build() {
	const pending: Array<{readonly bytes: Uint8Array; readonly done: Parameters<WriteBytes>[1]}> = [];
	const clock = {nowMs: 0};
	const writer = new LineWriter((bytes, done) => {
		pending.push({bytes, done});
	}, () => clock.nowMs, 0);
	const take = (written?: number) => {
		const {bytes, done} = pending.shift()!;
		done(undefined, written ?? bytes.length);
		return new TextDecoder().decode(bytes);
	};

	return {
		writer, pending, take, clock,
	};
}

test('a reader that stops does not stop the process: lines wait up to a bound, later ones are dropped and counted', () => {
	const {writer, pending, take} = build();
	const line = 'x'.repeat(100_000);
	for (let i = 0; i < 30; i++) {
		writer.writeLine(line);
	}

	assert.equal(pending.length, 1);
	take();
	take();
	writer.writeLine('after');
	assert.match(take(), /"log lines dropped","dropped":20/);
	assert.equal(take(), 'after\n');
});

test('a part that was not written is written next, in order', () => {
	const {writer, take} = build();
	writer.writeLine('abc');
	writer.writeLine('def');
	take(2);
	assert.equal(take(), 'c\n');
	assert.equal(take(), 'def\n');
});

test('a failed write does not stop the log', () => {
	const {writer, pending, take} = build();
	writer.writeLine('lost');
	pending.shift()!.done(new Error('no reader'), 0);
	writer.writeLine('kept');
	assert.equal(take(), 'kept\n');
});

test('guards against a flood of lines: the rate is bounded, and the lines beyond it are counted', () => {
	const {writer, take, clock} = build();
	for (let i = 0; i < 700; i++) {
		writer.writeLine('x');
	}

	assert.equal(take(), 'x\n');
	assert.equal(take().length, 2 * 499);
	clock.nowMs = 1000;
	writer.writeLine('after');
	assert.match(take(), /"dropped":200/);
});

test('guards against a write for each line: lines that come together are written together, and what waits at the end is not lost', async () => {
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
	assert.equal(new TextDecoder().decode(writer.takeWaiting()), 'c\n');
});
