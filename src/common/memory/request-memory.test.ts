import assert from 'node:assert/strict';
import {test} from 'node:test';
import {requestMemory} from './request-memory.js';

test('a request with a usual head counts as a fixed sum, and one with many or long lines as more', () => {
	const usual = Array.from({length: 20}, (_, i) => [`name-${i}`, 'value'.repeat(5)]).flat();
	assert.equal(requestMemory(usual), requestMemory([]));
	const manyLines = Array.from({length: 150}, (_, i) => [`x-${i}`, 'v'.repeat(55)]).flat();
	// 150 lines of 9.4 KB were measured to take 32 KB on the heap of a bare server.
	assert.ok(requestMemory(manyLines) >= 32_000);
	assert.ok(requestMemory(['a', 'x'.repeat(16_000)]) > requestMemory([]));
});
