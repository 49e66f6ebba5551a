import assert from 'node:assert/strict';
import {test} from 'node:test';
import {FounderDiscovery, discoveryQuietMs} from './founder-discovery.js';

test('every VM gets the same founders, and a VM that reports after they are fixed does not become a founder', () => {
	const discovery = new FounderDiscovery(0);
	assert.equal(discovery.reportPresence('b', 100), undefined);
	assert.equal(discovery.reportPresence('a', 600), undefined);
	assert.equal(discovery.reportPresence('b', 600 + discoveryQuietMs - 1), undefined);
	assert.deepEqual(discovery.reportPresence('b', 600 + discoveryQuietMs), ['a', 'b']);
	assert.deepEqual(discovery.reportPresence('c', 600 + discoveryQuietMs + 1), ['a', 'b']);
	assert.deepEqual(discovery.reportPresence('a', 9000), ['a', 'b']);
});
