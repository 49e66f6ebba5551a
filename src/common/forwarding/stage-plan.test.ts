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

const noPendingStages = new Map<string, EngineStage>();

test('surplus prefill engines become decode engines, so that the pool absorbs longer bursts', () => {
	assert.equal(chooseStageChange({servers: buildPool(['a', 'b', 'b'], 3), pendingStages: noPendingStages})?.record.zone, 'b');
	assert.equal(chooseStageChange({servers: buildPool(['a', 'b'], 4), pendingStages: noPendingStages}), undefined);
	assert.ok(chooseStageChange({servers: buildPool(Array.from({length: 22}, () => 'a'), 41), pendingStages: noPendingStages}));
	assert.equal(chooseStageChange({servers: buildPool(Array.from({length: 16}, () => 'a'), 47), pendingStages: noPendingStages}), undefined);
});

test('an engine with a pending stage change counts in its new stage, and two prefill engines in a small pool are not surplus', () => {
	const servers = buildPool(['a', 'b', 'b'], 3);
	const pendingStages = new Map([[serverKey(servers[0]!), 'decode' as const]]);
	assert.equal(chooseStageChange({servers, pendingStages}), undefined);
	assert.equal(chooseStageChange({servers: buildPool(['a', 'b'], 0), pendingStages: noPendingStages}), undefined);
});

test('a pool that lost prefill engines gets new ones, so that prompts do not all queue at one remaining prefill engine', () => {
	const servers = [...buildPool(['b'], 4), buildServer({id: 'd9', zone: 'a', stage: 'decode'})];
	assert.deepEqual(chooseStageChange({servers, pendingStages: noPendingStages}), {record: servers[1], stage: 'prefill'});
	const pendingStages = new Map([[serverKey(servers[1]!), 'prefill' as const]]);
	assert.equal(chooseStageChange({servers, pendingStages}), undefined);
	assert.equal(chooseStageChange({servers: buildPool(['a'], 4), pendingStages: noPendingStages}), undefined);
	assert.equal(chooseStageChange({servers: buildPool([], 2), pendingStages: noPendingStages})?.stage, 'prefill');
	assert.equal(chooseStageChange({servers: buildPool([], 1), pendingStages: noPendingStages}), undefined);
});

test('stage changes converge for any number of engines and do not oscillate', () => {
	for (let prefill = 0; prefill <= 12; prefill++) {
		for (let decode = 0; decode <= 12; decode++) {
			let servers = buildPool(Array.from({length: prefill}, () => 'a'), decode);
			let changes = 0;
			for (let change = chooseStageChange({servers, pendingStages: noPendingStages}); change; change = chooseStageChange({servers, pendingStages: noPendingStages})) {
				const {record, stage} = change;
				servers = servers.map(server => server === record ? {...server, stage} : server);
				changes++;
				assert.ok(changes <= prefill + decode, `${prefill} prefill and ${decode} decode engines`);
			}
		}
	}
});

test('leaving servers and plain servers do not count as engines of the pool', () => {
	const servers = [...buildPool(['a', 'b'], 3), buildServer({id: 'leaving', stage: 'prefill', state: 'leaving'}), buildServer({id: 'plain'})];
	assert.equal(chooseStageChange({servers, pendingStages: noPendingStages}), undefined);
});
