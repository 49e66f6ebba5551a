import assert from 'node:assert/strict';
import {once} from 'node:events';
import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import {test} from 'node:test';
import type {TestContext} from 'node:test';
import {PlatformProtocol} from '../../../platform/protocol.js';
import {ManualClock} from '../../common/core/clock.js';
import {NullLogger} from '../../common/core/log.js';
import {buildForwarding, buildServer} from '../../common/forwarding/fixtures.js';
import type {ServerQuery} from '../../common/forwarding/server-directory.js';
import {EngineResources} from './engine-resources.js';
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

/** Starts a server that answers every request with `status` and that it remains cold for 3 s; returns its address. */
async function startColdServer(t: TestContext, status: number): Promise<string> {
	const http = createServer((_req, res) => {
		res.writeHead(status, {'cold-ms': '3000'}).end();
	});
	http.listen(0, '127.0.0.1');
	await once(http, 'listening');
	t.after(() => {
		http.close();
		http.closeAllConnections();
	});
	return `127.0.0.1:${(http.address() as AddressInfo).port}`;
}

test('a server that states in a health check that it is cold gets only the turns of this process, if the settings protect cold servers and its service states a rate', async t => {
	const address = await startColdServer(t, 200);
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

test('a cold engine that refuses a reservation gets the next turn of this process after the usual time, since no run follows', async t => {
	const clock = new ManualClock();
	const fleet = createFleet(clock, {allowance: {factor: 1.5, slack: 5}, self: 'a', processes: () => ({live: [], dead: []})});
	t.after(() => {
		fleet.dispose();
	});
	clock.advance(5000);
	fleet.update([], clock.nowMs());
	clock.advance(100);
	fleet.update([buildServer({address: await startColdServer(t, 503), stage: 'decode', coldLeftMs: 60_000})], clock.nowMs());
	const [server] = fleet.directory.servers;
	const rate = {requestsPerSecond: 6.7, requestsPerTurn: 2};
	assert.equal(fleet.directory.cold!.waitMs(server!.key, rate, clock.nowMs()), 0);
	const resources = new EngineResources({
		fleet, clock, protocol: new PlatformProtocol(), logger: new NullLogger(),
	}, 'r');
	assert.deepEqual(await resources.reserve(server!, {tokens: 100, ttlMs: 2000, minFreeTokens: 0}), {kind: 'refused'});
	assert.equal(fleet.directory.cold!.waitMs(server!.key, rate, clock.nowMs()), 1050);
});
