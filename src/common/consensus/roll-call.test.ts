import assert from 'node:assert/strict';
import {test} from 'node:test';
import {RollCall, discoveryQuietMs} from './roll-call.js';

test('every VM gets the same founders, and a VM that reports late does not become one', () => {
	const roll = new RollCall(0);
	assert.equal(roll.report('b', 100), undefined);
	assert.equal(roll.report('a', 600), undefined);
	assert.equal(roll.report('b', 600 + discoveryQuietMs - 1), undefined);
	assert.deepEqual(roll.report('b', 600 + discoveryQuietMs), ['a', 'b']);
	assert.deepEqual(roll.report('c', 600 + discoveryQuietMs + 1), ['a', 'b']);
	assert.deepEqual(roll.report('a', 9000), ['a', 'b']);
});
