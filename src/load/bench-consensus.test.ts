import assert from 'node:assert/strict';
import {test} from 'node:test';
import {benchConsensus} from './bench-consensus.js';

test('the consensus benchmark returns a commit scenario and recovery scenarios without and with a snapshot', async () => {
	const results = await benchConsensus({memberCounts: [3], outstanding: [4], changes: 20});
	assert.deepEqual(results.map(({scenario}) => scenario), ['commit', 'recovery', 'recovery']);
});
