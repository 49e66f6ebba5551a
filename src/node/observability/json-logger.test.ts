import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {test} from 'node:test';
import {JsonLogger} from './json-logger.js';
import {LineWriter} from './line-writer.js';

// Guards against log lines of failures that hold no reason.
test('an error in a log line is written as its message', () => {
	const lines: string[] = [];
	const writer = new LineWriter((bytes, done) => {
		lines.push(Buffer.from(bytes).toString('utf8'));
		done(undefined, bytes.length);
	}, undefined, 0);
	new JsonLogger({vm: 'a'}, writer).log('error', 'request failed', {err: new TypeError('no such field'), step: 1});
	const {time, ...line} = JSON.parse(lines.join('')) as Record<string, unknown>;
	assert.deepEqual(line, {
		level: 'error', message: 'request failed', err: 'no such field', step: 1, vm: 'a',
	});
});
