import assert from 'node:assert/strict';
import {test} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {NullLogger} from '../../common/core/log.js';
import {SystemClock} from '../clock.js';
import {waitUntil} from '../entry/testing/harness.js';
import {CountingMetrics} from '../entry/testing/services.js';
import {InMemoryNetwork, InMemoryNetworkHub} from '../scheduler/fixtures.js';
import {RequestQuarantine} from './request-quarantine.js';

/** Time after which the reports of a crash have been evaluated, in milliseconds. */
const evaluatedAfterMs = 500;

function createPair(): {readonly quarantines: RequestQuarantine[]; readonly metrics: CountingMetrics} {
	const hub = new InMemoryNetworkHub();
	const metrics = new CountingMetrics();
	const vms = ['vm-1', 'vm-2'];
	const quarantines = vms.map((vm, i) => {
		const self = {vm, incarnation: i + 1};
		return new RequestQuarantine({
			self, network: new InMemoryNetwork(hub, self), clock: new SystemClock(), logger: new NullLogger(), metrics, liveMembers: () => vms.filter(other => other !== vm),
		});
	});
	return {quarantines, metrics};
}

function crash(quarantine: RequestQuarantine, server: string): void {
	quarantine.track(server, 'r', ['part']).end('broken');
	quarantine.recordServerLost(server);
}

// Guards against an error answer that counts as output, so that more servers crash before the part is blocked.
test('an answer with an error status does not show that a part is sound', async () => {
	const {quarantines: [quarantine]} = createPair();
	quarantine!.track('s0', 'r', ['part']).endWithAnswer(false);
	crash(quarantine!, 's1');
	crash(quarantine!, 's2');
	await waitUntil(() => quarantine!.findBlock(['part', 'own']) !== undefined);
	quarantine!.dispose();
});

// Guards against a block after two crashes of a part that servers write output on.
test('an answer with output shows that a part is sound', async () => {
	const {quarantines: [quarantine]} = createPair();
	quarantine!.track('s0', 'r', ['part']).endWithAnswer(true);
	crash(quarantine!, 's1');
	crash(quarantine!, 's2');
	await sleep(evaluatedAfterMs);
	assert.equal(quarantine!.findBlock(['part', 'own']), undefined);
	quarantine!.dispose();
});

// Guards against processes that each need crashes of their own.
test('a part is blocked at every process although each saw one crash only, and refusals state the end of the block', async () => {
	const {quarantines, metrics} = createPair();
	for (const [i, quarantine] of quarantines.entries()) {
		crash(quarantine, `s${i}`);
	}

	await waitUntil(() => quarantines.every(quarantine => quarantine.findBlock(['part']) !== undefined));
	for (const quarantine of quarantines) {
		const block = quarantine.findBlock(['part']);
		assert.ok(block);
		const remainingMs = quarantine.recordRefusal(block, 'r');
		assert.ok(remainingMs > 0 && remainingMs <= 60_000, String(remainingMs));
		quarantine.dispose();
	}

	assert.equal(metrics.counts.get('quarantine_refusals_total'), 2);
});
