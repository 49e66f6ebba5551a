import assert from 'node:assert/strict';
import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import {test} from 'node:test';
import {NullLogger} from '../../common/core/log.js';
import {makeLocalMember} from '../../common/membership/fixtures.js';
import type {MemberRecord, PlatformVmState} from '../../common/membership/types.js';
import {SystemClock} from '../clock.js';
import {InMemoryNetwork, InMemoryNetworkHub, waitUntil} from '../scheduler/fixtures.js';
import {GossipEntryPointService} from './gossip-entry-point-service.js';
import {MembershipHost} from './membership-host.js';
import {PlatformListPoller} from './platform-list-poller.js';

function startMembers(names: readonly string[]) {
	const hub = new InMemoryNetworkHub();
	const hosts = names.map((vm, i) => {
		const self = makeLocalMember(vm, {zone: `z${i}`, callerAddress: `10.0.0.${i}:80`});
		const host = new MembershipHost({
			self, seeds: names.slice(0, 1), network: new InMemoryNetwork(hub, self), clock: new SystemClock(), logger: new NullLogger(), count() {
				// Counters are not checked.
			}, randomSeed: i,
		});
		host.start();
		return host;
	});
	return {hosts, hub};
}

test('processes discover each other, gossip draining, and list a process that leaves as dead', async context => {
	const {hosts, hub} = startMembers(['a', 'b', 'c']);
	context.after(() => {
		for (const host of hosts) {
			host.dispose();
		}
	});
	await waitUntil(() => hosts.every(({entries}) => entries.live.length === 3));
	const [first, second, third] = hosts as [MembershipHost, MembershipHost, MembershipHost];
	assert.equal(first.entries, first.entries, 'the same object is returned until membership changes');
	assert.deepEqual([...hub.addresses.keys()].sort(), ['a', 'b', 'c'], 'the network receives the address of every member');
	first.updatePlatformList(new Map([['a', 'live'], ['b', 'leaving']]));
	assert.deepEqual([...first.leavingVms], ['b']);
	first.updatePlatformList(new Map());
	second.setDraining(true);
	await waitUntil(() => first.members.some(({vm, isDraining}) => vm === 'b' && isDraining));
	third.leave();
	await waitUntil(() => first.entries.dead.some(({vm}) => vm === 'c'));
	const service = new GossipEntryPointService({members: () => first.members, leavingVms: () => first.leavingVms, drainedVms: () => new Set()});
	assert.deepEqual(service.chooseEntryPoints('t', undefined).entryPoints, [{address: '10.0.0.0:80', zone: 'z0'}]);
});

test('entry-point answers exclude dead, draining, drained, leaving and control VMs, and exclude suspect VMs while another entry VM is alive', () => {
	const member = (vm: string, overrides: Partial<MemberRecord> = {}): MemberRecord => ({
		...makeLocalMember(vm, {callerAddress: vm}), status: 'alive', revision: 0, load: 0, ...overrides,
	});
	const members = [
		member('ok'),
		member('dead', {status: 'dead'}),
		member('suspect', {status: 'suspect'}),
		member('draining', {isDraining: true}),
		member('drained'),
		member('leaving'),
		member('control', {roles: ['control']}),
	];
	const service = new GossipEntryPointService({members: () => members, leavingVms: () => new Set(['leaving']), drainedVms: () => new Set(['drained'])});
	assert.deepEqual(service.chooseEntryPoints('t', 'z1').entryPoints, [{address: 'ok', zone: 'z1'}]);
	members.shift();
	assert.deepEqual(service.chooseEntryPoints('t', 'z1').entryPoints, [{address: 'suspect', zone: 'z1'}], 'a suspect is returned if no VM is alive');
});

test('a failed poll of the platform\'s list is counted, and the last received list stays in use', async context => {
	let isUp = true;
	const server = createServer((_req, res) => {
		res.writeHead(isUp ? 200 : 503).end(JSON.stringify({vms: [{vm: 'a', state: 'leaving'}, {vm: 'b', state: 'live'}]}));
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const lists: Array<ReadonlyMap<string, PlatformVmState>> = [];
	let failures = 0;
	const poller = new PlatformListPoller({
		clock: new SystemClock(),
		onVmList(vms) {
			lists.push(vms);
		},
		count() {
			failures++;
		},
	});
	context.after(() => {
		poller.dispose();
		server.closeAllConnections();
		server.close();
	});
	poller.configure({address: `127.0.0.1:${(server.address() as AddressInfo).port}`, pollEvery: 60_000});
	await poller.poll();
	isUp = false;
	await poller.poll();
	assert.equal(failures, 1);
	assert.deepEqual(lists.map(vms => [...vms]), [[['a', 'leaving'], ['b', 'live']]]);
});
