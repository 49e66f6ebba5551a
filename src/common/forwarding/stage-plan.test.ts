import assert from 'node:assert/strict';
import {test} from 'node:test';
import {buildServer} from './fixtures.js';
import {chooseStageChange} from './stage-plan.js';
import {serverKey} from './types.js';
import type {EngineStage, ServerRecord} from './types.js';

function buildPool(prefillZones: readonly string[], decode: number): ServerRecord[] {
	return [
		...prefillZones.map((zone, i) => buildServer({id: `p${i}`, zone, stage: 'prefill'})),
		...Array.from({length: decode}, (_, i) => buildServer({id: `d${i}`, stage: 'decode'})),
	];
}

const noPendingChanges = new Map<string, EngineStage>();

test('surplus prefill engines become decode engines, so that the pool absorbs longer bursts', () => {
	assert.equal(chooseStageChange({servers: buildPool(['a', 'b', 'b'], 3), ordered: noPendingChanges})?.record.zone, 'b');
	assert.equal(chooseStageChange({servers: buildPool(['a', 'b'], 4), ordered: noPendingChanges}), undefined);
	assert.ok(chooseStageChange({servers: buildPool(Array.from({length: 22}, () => 'a'), 41), ordered: noPendingChanges}));
	assert.equal(chooseStageChange({servers: buildPool(Array.from({length: 16}, () => 'a'), 47), ordered: noPendingChanges}), undefined);
});

test('an engine with a pending stage change counts in its new stage, and a small pool keeps two prefill engines', () => {
	const servers = buildPool(['a', 'b', 'b'], 3);
	const ordered = new Map([[serverKey(servers[0]!), 'decode' as const]]);
	assert.equal(chooseStageChange({servers, ordered}), undefined);
	assert.equal(chooseStageChange({servers: buildPool(['a', 'b'], 0), ordered: noPendingChanges}), undefined);
});

test('a pool that lost prefill engines gets new ones, so that prompts do not all queue at the remaining one', () => {
	const servers = [...buildPool(['b'], 4), buildServer({id: 'd9', zone: 'a', stage: 'decode'})];
	assert.deepEqual(chooseStageChange({servers, ordered: noPendingChanges}), {record: servers[1], stage: 'prefill'});
	const ordered = new Map([[serverKey(servers[1]!), 'prefill' as const]]);
	assert.equal(chooseStageChange({servers, ordered}), undefined);
	assert.equal(chooseStageChange({servers: buildPool(['a'], 4), ordered: noPendingChanges}), undefined);
	assert.equal(chooseStageChange({servers: buildPool([], 2), ordered: noPendingChanges})?.stage, 'prefill');
	assert.equal(chooseStageChange({servers: buildPool([], 1), ordered: noPendingChanges}), undefined);
});

test('stage changes converge for any number of engines and do not oscillate', () => {
	for (let prefill = 0; prefill <= 12; prefill++) {
		for (let decode = 0; decode <= 12; decode++) {
			let servers = buildPool(Array.from({length: prefill}, () => 'a'), decode);
			let changes = 0;
			for (let change = chooseStageChange({servers, ordered: noPendingChanges}); change; change = chooseStageChange({servers, ordered: noPendingChanges})) {
				const {record, stage} = change;
				servers = servers.map(server => server === record ? {...server, stage} : server);
				changes++;
				assert.ok(changes <= prefill + decode, `${prefill} prefill and ${decode} decode engines`);
			}
		}
	}
});

test('leaving servers and plain servers are not counted', () => {
	const servers = [...buildPool(['a', 'b'], 3), buildServer({id: 'leaving', stage: 'prefill', state: 'leaving'}), buildServer({id: 'plain'})];
	assert.equal(chooseStageChange({servers, ordered: noPendingChanges}), undefined);
});
