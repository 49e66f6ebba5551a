import assert from 'node:assert/strict';
import {test} from 'node:test';
import {RollCall, rollQuietMs} from './roll-call.js';

test('every VM gets the same founders, and one that comes late is not among them', () => {
	const roll = new RollCall(0);
	assert.equal(roll.report('b', 100), undefined);
	assert.equal(roll.report('a', 600), undefined);
	assert.equal(roll.report('b', 600 + rollQuietMs - 1), undefined);
	assert.deepEqual(roll.report('b', 600 + rollQuietMs), ['a', 'b']);
	assert.deepEqual(roll.report('c', 600 + rollQuietMs + 1), ['a', 'b']);
	assert.deepEqual(roll.report('a', 9000), ['a', 'b']);
});
