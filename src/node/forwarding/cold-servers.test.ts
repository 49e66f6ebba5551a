import assert from 'node:assert/strict';
import {once} from 'node:events';
import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import {test} from 'node:test';
import {PlatformProtocol} from '../../../platform/protocol.js';
import {ManualClock} from '../../common/core/clock.js';
import {NullLogger} from '../../common/core/log.js';
import {buildForwarding, buildServer} from '../../common/forwarding/fixtures.js';
import type {ServerQuery} from '../../common/forwarding/server-directory.js';
import {ServerFleet} from './server-fleet.js';
import type {ColdFleetOptions} from './server-fleet.js';

function createFleet(clock: ManualClock, cold?: ColdFleetOptions): ServerFleet {
	return new ServerFleet({
		clock,
		logger: new NullLogger(),
		protocol: new PlatformProtocol(),
		seed: 1,
		retries: {ratio: 0.2, windowMs: 10_000, slack: 10},
		processCount: () => 1,
		cold,
		announceUnreachable: () => undefined,
		announceSuspended: () => undefined,
		announceLeaving: () => undefined,
		onServerLost: () => undefined,
	});
}

test('a server that states in a health check that it is cold gets only the turns of this process, if the settings protect cold servers and its service states a rate', async t => {
	const http = createServer((_req, res) => {
		res.writeHead(200, {'cold-ms': '3000'}).end();
	});
	http.listen(0, '127.0.0.1');
	await once(http, 'listening');
	t.after(() => {
		http.close();
		http.closeAllConnections();
	});
	const address = `127.0.0.1:${(http.address() as AddressInfo).port}`;
	const service = {...buildForwarding().services[0]!, coldRequestsPerSecond: 6.7};
	const processes = {live: [{vm: 'a', incarnation: 1}], dead: []};
	for (const cold of [undefined, {allowance: {factor: 1.5, slack: 5}, self: 'a', processes: () => processes}]) {
		const clock = new ManualClock();
		const fleet = createFleet(clock, cold);
		t.after(() => {
			fleet.dispose();
		});
		fleet.update([buildServer({address})], clock.nowMs());
		const query = (): ServerQuery => ({
			service: 'desk', zone: 'z1', exclude: new Set(), maxInFlight: 10, nowMs: clock.nowMs(), coldRate: fleet.coldRate(service),
		});
		const server = fleet.directory.choose(query())!;
		assert.equal(await fleet.adapterFor(server).probe(5000), true);
		assert.equal(fleet.coldForMs(server), cold ? 3000 : 0);
		assert.equal(fleet.directory.choose(query()), cold ? undefined : server);
		assert.equal(fleet.coldRate({...service, coldRequestsPerSecond: undefined}), undefined);
		clock.advance(1100);
		assert.equal(fleet.directory.choose(query()), server, 'a turn has come');
		assert.equal(fleet.recordColdRequest(server), cold !== undefined);
		assert.equal(fleet.directory.choose(query()), cold ? undefined : server);
	}
});
