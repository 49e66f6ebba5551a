import assert from 'node:assert/strict';
import {test} from 'node:test';
import {buildServer} from './fixtures.js';
import {chooseStageChange} from './stage-plan.js';
import {serverKey} from './types.js';
import type {EngineStage, ServerRecord} from './types.js';

function pool(prefillZones: readonly string[], decode: number): ServerRecord[] {
	return [
		...prefillZones.map((zone, i) => buildServer({id: `p${i}`, zone, stage: 'prefill'})),
		...Array.from({length: decode}, (_, i) => buildServer({id: `d${i}`, stage: 'decode'})),
	];
}

const nothing = new Map<string, EngineStage>();

test('burst on a full pool: prefill engines that the load does not need become decode engines', () => {
	assert.equal(chooseStageChange({servers: pool(['a', 'b', 'b'], 3), ordered: nothing})?.record.zone, 'b');
	assert.equal(chooseStageChange({servers: pool(['a', 'b'], 4), ordered: nothing}), undefined);
	assert.ok(chooseStageChange({servers: pool(Array.from({length: 22}, () => 'a'), 41), ordered: nothing}));
	assert.equal(chooseStageChange({servers: pool(Array.from({length: 16}, () => 'a'), 47), ordered: nothing}), undefined);
});

test('an engine that was ordered to change is not counted, and a small pool keeps two prefill engines', () => {
	const servers = pool(['a', 'b', 'b'], 3);
	const ordered = new Map([[serverKey(servers[0]!), 'decode' as const]]);
	assert.equal(chooseStageChange({servers, ordered}), undefined);
	assert.equal(chooseStageChange({servers: pool(['a', 'b'], 0), ordered: nothing}), undefined);
});

test('guards against a pool that lost prefill engines and queues every prompt on the one that is left', () => {
	const servers = [...pool(['b'], 4), buildServer({id: 'd9', zone: 'a', stage: 'decode'})];
	assert.deepEqual(chooseStageChange({servers, ordered: nothing}), {record: servers[1], stage: 'prefill'});
	const ordered = new Map([[serverKey(servers[1]!), 'prefill' as const]]);
	assert.equal(chooseStageChange({servers, ordered}), undefined);
	assert.equal(chooseStageChange({servers: pool(['a'], 4), ordered: nothing}), undefined);
	assert.equal(chooseStageChange({servers: pool([], 2), ordered: nothing})?.stage, 'prefill');
	assert.equal(chooseStageChange({servers: pool([], 1), ordered: nothing}), undefined);
});

test('no number of engines asks for changes to and fro', () => {
	for (let prefill = 0; prefill <= 12; prefill++) {
		for (let decode = 0; decode <= 12; decode++) {
			let servers = pool(Array.from({length: prefill}, () => 'a'), decode);
			let changes = 0;
			for (let change = chooseStageChange({servers, ordered: nothing}); change; change = chooseStageChange({servers, ordered: nothing})) {
				const {record, stage} = change;
				servers = servers.map(server => server === record ? {...server, stage} : server);
				changes++;
				assert.ok(changes <= prefill + decode, `${prefill} prefill and ${decode} decode engines`);
			}
		}
	}
});

test('servers that leave and servers that are no engines do not count', () => {
	const servers = [...pool(['a', 'b'], 3), buildServer({id: 'leaving', stage: 'prefill', state: 'leaving'}), buildServer({id: 'plain'})];
	assert.equal(chooseStageChange({servers, ordered: nothing}), undefined);
});
