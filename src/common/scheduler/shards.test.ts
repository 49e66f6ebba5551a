import assert from 'node:assert/strict';
import {test} from 'node:test';
import {sharedConfigurationSchema} from '../configuration/shared.js';
import {
	allShards, shardCount, shardEngines, shardForRequest, customerWeights,
} from './shards.js';

function makeConfiguration(engines: number) {
	const upstreams = Object.fromEntries(Array.from({length: engines}, (_, i) => [`engine-${i}`, {
		service: 'dossiers', address: `127.0.0.1:${9000 + i}`, zone: `z${Math.floor(i / 2) % 3}`, role: i % 2 === 0 ? 'prefill' : 'decode',
	}]));
	return sharedConfigurationSchema.parse({
		profiles: {batch: {}},
		tenants: {light: {rate: '1 tokens/s', burst: 1}, heavy: {rate: '1 tokens/s', burst: 1, weight: 4}},
		services: {dossiers: {kind: 'model', profile: 'batch', model: 'm'}, desk: {kind: 'plain', profile: 'batch', routes: [{methods: ['GET'], path: '/', idempotent: true}]}},
		upstreams,
	});
}

test('a small pool is one shard; a large pool is divided so that each engine is in exactly one shard and each shard has engines of every role and zone', () => {
	assert.deepEqual(allShards(makeConfiguration(6)), [{service: 'dossiers', shard: 0}]);
	const cfg = makeConfiguration(150);
	const shards = allShards(cfg).map(shard => shardEngines(cfg, shard, new Set(['engine-3'])));
	assert.equal(shards.length, shardCount(cfg, 'dossiers'));
	assert.equal(new Set(shards.flat().map(({name}) => name)).size, 150);
	assert.equal(shards.flat().length, 150);
	assert.deepEqual(shards.flat().filter(({isDrained}) => isDrained).map(({name}) => name), ['engine-3']);
	for (const engines of shards) {
		assert.equal(new Set(engines.map(({zone, role}) => `${zone}/${role}`)).size, 6);
	}

	const usedShards = new Set(Array.from({length: 200}, (_, i) => shardForRequest(cfg, 'dossiers', `request-${i}`).shard));
	assert.equal(usedShards.size, shards.length);
});

test('customer weights list only customers whose weight is not 1', () => {
	assert.deepEqual([...customerWeights(makeConfiguration(2))], [['heavy', 4]]);
});
