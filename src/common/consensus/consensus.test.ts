import assert from 'node:assert/strict';
import {test} from 'node:test';
import {TestCluster} from './test-cluster.js';

for (const size of [1, 3, 5]) {
	test(`${size} members form a cluster, elect a leader and commit`, () => {
		const cluster = new TestCluster({size, seed: 1});
		const leader = cluster.elect();
		const tokens = Array.from({length: 100}, () => cluster.propose(leader));
		cluster.run(500);
		assert.ok(tokens.every(token => cluster.acknowledged.has(token)));
		const digests = cluster.vms.map(vm => cluster.processes.get(vm)!.machine.digest);
		assert.equal(new Set(digests).size, 1);
	});
}
