import assert from 'node:assert/strict';
import {test} from 'node:test';
import {PlatformProtocol} from '../../../platform/protocol.js';
import {NullLogger} from '../../common/core/log.js';
import {buildServer} from '../../common/forwarding/fixtures.js';
import {SystemClock} from '../clock.js';
import {waitUntil} from '../entry/testing/harness.js';
import {TestServer} from '../entry/testing/upstreams.js';
import {ServerFleet} from './server-fleet.js';

test('an ejected server of an evacuated zone is not probed, neither by its schedule nor at another process\'s report, until its zone is back', async t => {
	const probed: string[] = [];
	const clock = new SystemClock();
	const fleet = new ServerFleet({
		clock,
		logger: new NullLogger(),
		protocol: new PlatformProtocol(),
		seed: 1,
		retries: {ratio: 0.2, windowMs: 10_000, slack: 10},
		processCount: () => 1,
		announceUnreachable: () => undefined,
		announceSuspended: () => undefined,
		announceLeaving: () => undefined,
		onServerLost: () => undefined,
	});
	t.after(() => {
		fleet.dispose();
	});
	const zones = ['z1', 'z1', 'z2'];
	const records = await Promise.all(zones.map(async (zone, i) => {
		const server = await TestServer.start((_req, res) => {
			probed.push(`${zone}-${i}`);
			res.end();
		});
		t.after(() => {
			server.close();
		});
		return buildServer({id: `${zone}-${i}`, zone, address: server.address});
	}));
	fleet.update(records, clock.nowMs());
	const [ejected, reported, other] = [...fleet.directory.servers];
	fleet.setEvacuatedZones(new Set(['z1']), 1);
	fleet.recordFailure(ejected!, {isUnreachable: true, detail: 'test'});
	await fleet.probeReported(reported!.key, 'vm-2');
	// Ejected last, so its probe is due after that of the other server.
	fleet.recordFailure(other!, {isUnreachable: true, detail: 'test'});
	await waitUntil(() => !other!.ejection.isEjected);
	assert.deepEqual(probed, ['z2-2']);
	assert.ok(ejected!.ejection.isEjected);
	fleet.setEvacuatedZones(new Set(), 2);
	await waitUntil(() => !ejected!.ejection.isEjected);
	assert.deepEqual(probed, ['z2-2', 'z1-0']);
});
