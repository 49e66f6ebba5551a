import assert from 'node:assert/strict';
import {test} from 'node:test';
import {buildServer} from './fixtures.js';
import {chooseSurplusPrefill} from './stage-plan.js';
import {serverKey} from './types.js';
import type {ServerRecord} from './types.js';

function pool(prefillZones: readonly string[], decode: number): ServerRecord[] {
	return [
		...prefillZones.map((zone, i) => buildServer({id: `p${i}`, zone, stage: 'prefill'})),
		...Array.from({length: decode}, (_, i) => buildServer({id: `d${i}`, stage: 'decode'})),
	];
}

const nothing = new Set<string>();

test('burst on a full pool: prefill engines that the load does not need become decode engines', () => {
	assert.equal(chooseSurplusPrefill({servers: pool(['a', 'b', 'b'], 3), ordered: nothing})?.zone, 'b');
	assert.equal(chooseSurplusPrefill({servers: pool(['a', 'b'], 4), ordered: nothing}), undefined);
	assert.ok(chooseSurplusPrefill({servers: pool(Array.from({length: 22}, () => 'a'), 41), ordered: nothing}));
	assert.equal(chooseSurplusPrefill({servers: pool(Array.from({length: 16}, () => 'a'), 47), ordered: nothing}), undefined);
});

test('an engine that was ordered to change is not counted, and a small pool keeps two prefill engines', () => {
	const servers = pool(['a', 'b', 'b'], 3);
	const ordered = new Set([serverKey(servers[0]!)]);
	assert.equal(chooseSurplusPrefill({servers, ordered}), undefined);
	assert.equal(chooseSurplusPrefill({servers: pool(['a', 'b'], 0), ordered: nothing}), undefined);
});

test('servers that leave and servers that are no engines do not count', () => {
	const servers = [...pool(['a', 'b'], 3), buildServer({id: 'leaving', stage: 'prefill', state: 'leaving'}), buildServer({id: 'plain'})];
	assert.equal(chooseSurplusPrefill({servers, ordered: nothing}), undefined);
});
