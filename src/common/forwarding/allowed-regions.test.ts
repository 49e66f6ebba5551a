import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {ForwardCustomer} from '../configuration/forwarding.js';
import {SeededRandom} from '../core/random.js';
import {allowedRegions, chooseEntryRegions, zonesOf} from './allowed-regions.js';
import {buildForwarding, buildRoute, buildServer} from './fixtures.js';
import {RouteTable} from './route-table.js';
import {ServerDirectory} from './server-directory.js';
import type {ServerQuery} from './server-directory.js';

const regionByZone = new Map([['n1', 'north'], ['n2', 'north'], ['s1', 'south'], ['e1', 'east']]);
const customer: ForwardCustomer = {
	name: 'acme', keys: ['key-1'], unit: 'requests', defaultCost: 1,
};

test('a request may run in the regions of its route and its customer, and only in the common ones if both name regions', () => {
	const north = {allowedRegions: ['north', 'east']};
	assert.equal(allowedRegions({}, undefined), undefined);
	assert.equal(allowedRegions({}, customer), undefined);
	assert.deepEqual(allowedRegions(north, undefined), ['north', 'east']);
	assert.deepEqual(allowedRegions({}, {allowedRegions: ['south']}), ['south']);
	assert.deepEqual(allowedRegions(north, {allowedRegions: ['east', 'south']}), ['east']);
	assert.deepEqual(allowedRegions(north, {allowedRegions: ['south']}), []);
	assert.deepEqual([...zonesOf(['north'], regionByZone)!], ['n1', 'n2']);
	assert.equal(zonesOf(undefined, regionByZone), undefined);
	assert.deepEqual([...zonesOf(['north'], new Map())!], []);
});

test('no ranking chooses a server outside the allowed zones, whatever happens to the ones inside', () => {
	const zones = ['n1', 's1', 'unknown'];
	const query = (nowMs: number): ServerQuery => ({
		service: 'desk', zone: 's1', exclude: new Set(), maxInFlight: 10, nowMs, allowedZones: zonesOf(['north'], regionByZone),
	});
	const plain = new ServerDirectory(new SeededRandom(1));
	plain.update(zones.map(zone => buildServer({id: zone, zone})), 0);
	const [inside] = plain.readyServers('desk', undefined, query(0).allowedZones);
	assert.equal(plain.choose(query(0)), inside);
	plain.recordFailure(inside!, true, 0);
	assert.equal(plain.choose(query(0)), inside, 'an ejected server is the only one left');
	assert.equal(plain.choose({...query(0), exclude: new Set([inside!.key])}), undefined);
	plain.notices.recordPause(inside!.key, 500, 0);
	assert.equal(plain.choose(query(0)), undefined);
	assert.equal(plain.earliestResumeInMs('desk', 0, undefined, query(0).allowedZones), 500);

	for (const stage of ['prefill', 'decode'] as const) {
		const engines = new ServerDirectory(new SeededRandom(1));
		engines.update(zones.map(zone => buildServer({id: zone, zone, stage})), 0);
		const choose = () => stage === 'prefill' ? engines.choosePrefillEngine(query(0)) : engines.chooseDecodeEngine(query(0));
		assert.equal(choose()?.record.zone, 'n1');
		engines.recordRefusal(choose()!, 0);
		assert.equal(choose()?.record.zone, 'n1');
		engines.suspend(choose()!, 1000);
		assert.equal(choose(), undefined);
	}
});

test('a prefill engine outside the allowed zones is no reason to call one', () => {
	const directory = new ServerDirectory(new SeededRandom(1));
	directory.update([buildServer({id: 'p', stage: 'prefill', zone: 's1'})], 0);
	directory.recordAnswer([...directory.servers][0]!, true, 10, 0);
	assert.equal(directory.hasAcceptingPrefillEngine('desk', 100), true);
	assert.equal(directory.hasAcceptingPrefillEngine('desk', 100, zonesOf(['north'], regionByZone)), false);
});

test('an entry-point answer names VMs in the caller\'s region and in regions that every route of the host allows, as long as there are any', () => {
	const members = ['n1', 's1', 'e1', 'n2', 'unknown'].map(zone => ({zone}));
	const zones = (namedRegions: ReadonlyArray<readonly string[]>, callerRegion?: string) =>
		chooseEntryRegions(members, {namedRegions, callerRegion, regionByZone}).map(({zone}) => zone);
	assert.equal(zones([], 'south').length, 5);
	assert.deepEqual(zones([['north']], 'south'), ['n1', 's1', 'n2']);
	assert.deepEqual(zones([['north']]), ['n1', 'n2']);
	assert.deepEqual(zones([['north', 'east'], ['east']]), ['e1']);
	assert.deepEqual(zones([['north'], ['east']]), ['n1', 'e1', 'n2'], 'no region suits all routes');
	assert.equal(zones([['west']]).length, 5, 'no VM is in an allowed region');
});

test('the regions that the routes of a host name are found without regard to the case and the port of the host', () => {
	const table = new RouteTable(buildForwarding({
		routes: [buildRoute({allowedRegions: ['north']}), buildRoute({name: 'b', pathPrefix: '/b/'}), buildRoute({name: 'c', pathPrefix: '/c/', allowedRegions: ['east']})],
	}));
	assert.deepEqual(table.namedRegions('DESK.example:80'), [['north'], ['east']]);
	assert.deepEqual(table.namedRegions('other.example'), []);
});
