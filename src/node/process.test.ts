/** Tests of the whole system with real processes, some of which are killed, suspended or stopped. The tests wait for conditions instead of fixed times. */
import assert from 'node:assert/strict';
import {once} from 'node:events';
import {rmSync} from 'node:fs';
import {createServer} from 'node:net';
import type {AddressInfo} from 'node:net';
import path from 'node:path';
import {test} from 'node:test';
import type {TestContext} from 'node:test';
import {request} from 'undici';
import {System} from '../load/system.js';
import {waitUntil} from './entry/testing/harness.js';
import {RawClient} from './entry/testing/raw-client.js';

const configuration = `profiles:
  batch: {maxWait: 3s, latency: {firstToken: 10s}}
  desk: {priority: 0, maxWait: 3s}
tenants:
  acme: {rate: 100000 tokens/s, burst: 200000}
  other: {rate: 100000 tokens/s, burst: 200000}
services:
  dossiers: {kind: model, profile: batch, model: dossier-7b, maxTokens: 4000}
  desk:
    kind: plain
    profile: desk
    routes:
      - {methods: [GET], path: /lookups, idempotent: true}
      - {methods: [POST], path: /fees, idempotent: false, cost: 10}
      - {methods: [GET], path: /open, idempotent: true, open: true, cost: 0}
upstreams:
  engine-1: {service: dossiers, address: 127.0.0.1:1, zone: z1, role: prefill}
  engine-2: {service: dossiers, address: 127.0.0.1:1, zone: z1, role: decode}
  desk-1: {service: desk, address: 127.0.0.1:1, zone: z1, role: plain}
`;

async function startSystem(t: TestContext, name: string, entries: number): Promise<System> {
	const system = await System.start({
		name, controls: 3, entries, zones: ['z1', 'z2', 'z3'], configuration,
	});
	t.after(async () => system.dispose());
	return system;
}

async function openStream(system: System, vm: string, key: string, maxTokens = 4000) {
	return request(`http://${system.cluster.plan(vm).listen.callers}/v1/chat/completions`, {
		method: 'POST',
		headers: {authorization: `Bearer ${key}`, 'content-type': 'application/json'},
		body: JSON.stringify({
			model: 'dossiers', stream: true, max_tokens: maxTokens, messages: [{role: 'user', content: 'entry dossier'}], // eslint-disable-line @typescript-eslint/naming-convention -- field of the chat API
		}),
	});
}

async function countFeeRuns(system: System, idempotencyKey: string): Promise<number> {
	const {calls} = await system.record('desk-1') as {calls: Array<{idempotencyKey?: string}>};
	return calls.filter(call => call.idempotencyKey === idempotencyKey).length;
}

async function countEngineRequests(system: System, engine: string): Promise<number> {
	const {body} = await request(`http://${system.cluster.doubles.get(engine)!.address}/v1/requests`);
	const {requests} = await body.json() as {requests: unknown[]};
	return requests.length;
}

/** Returns the record of a member of the replicated log from the state dump of the control VM `vm`; undefined if there is none. */
async function findMember(system: System, vm: string, member: string) {
	const {replica} = await system.state(vm) as {replica: {members: Array<{vm: string; role: string; diskId: string}>}};
	return replica.members.find(candidate => candidate.vm === member);
}

async function configurationVersions(system: System, vms: readonly string[]): Promise<number[]> {
	const states = await Promise.all(vms.map(async vm => system.state(vm)));
	return states.map(state => (state.access as {version: number}).version);
}

async function waitForVersion(system: System, vms: readonly string[], expected: number): Promise<void> {
	await system.until(async () => {
		const seen = await configurationVersions(system, vms);
		return seen.every(version => version === expected);
	});
}

test('accepted changes survive the loss of the leader, reach every entry process and are not undone by a former leader that resumes', async t => {
	const system = await startSystem(t, 'failover', 2);
	const entries = ['entry-1', 'entry-2'];
	const suspendedLeader = await system.leader();
	system.cluster.signal(suspendedLeader, 'SIGSTOP');
	const other = ['control-1', 'control-2', 'control-3'].find(vm => vm !== suspendedLeader);
	const second = await system.applyConfiguration(system.configuration.replace('rate: 100000', 'rate: 100001'), 1, {vm: other});
	assert.equal(second.version, 2);
	await waitForVersion(system, entries, 2);
	system.cluster.signal(suspendedLeader, 'SIGCONT');
	await system.until(async () => {
		const {replica} = await system.state(suspendedLeader) as {replica: {role: string}};
		return replica.role === 'follower';
	});
	assert.deepEqual(await configurationVersions(system, entries), [2, 2]);
	const nextLeader = await system.leader();
	system.cluster.signal(nextLeader, 'SIGKILL');
	await system.cluster.exited(nextLeader);
	const survivor = ['control-1', 'control-2', 'control-3'].find(vm => vm !== nextLeader)!;
	const accepted = await system.applyConfiguration(system.configuration.replace('rate: 100000', 'rate: 100002'), 2, {vm: survivor});
	assert.equal(accepted.version, 3);
	await waitForVersion(system, entries, 3);
});

test('of two changes based on the same configuration version exactly one succeeds, and a resend of the successful change returns its first outcome', async t => {
	const system = await startSystem(t, 'race', 1);
	const texts = [1, 2].map(n => system.configuration.replace('rate: 100000', `rate: ${200_000 + n}`));
	const results = await Promise.allSettled(texts.map(async (text, i) => system.applyConfiguration(text, 1, {changeId: `change-${i}`, vm: `control-${i + 1}`})));
	const winner = results.findIndex(({status}) => status === 'fulfilled');
	assert.equal(results.filter(({status}) => status === 'fulfilled').length, 1);
	const loser = results.find(({status}) => status === 'rejected') as PromiseRejectedResult;
	assert.match((loser.reason as {stdout: string}).stdout, /version-conflict/);
	await system.applyConfiguration(system.configuration, 2);
	const resent = await system.applyConfiguration(texts[winner]!, 1, {changeId: `change-${winner}`});
	assert.equal(resent.version, 2);
	const current = await system.operate(['config', 'get']) as {version: number};
	assert.equal(current.version, 3);
});

test('withdrawing a key ends a running stream that uses the key and makes every entry process refuse the key, while another key still works', async t => {
	const system = await startSystem(t, 'withdraw', 2);
	const withdrawnKey = await system.issueKey('acme');
	const otherKey = await system.issueKey('other');
	const stream = await openStream(system, 'entry-1', withdrawnKey.key);
	assert.equal(stream.statusCode, 200);
	await system.operate(['keys', 'withdraw', withdrawnKey.keyId]);
	const text = await stream.body.text();
	assert.match(text, /key-withdrawn/);
	assert.doesNotMatch(text, /\[DONE]/);
	for (const vm of ['entry-1', 'entry-2']) {
		await system.until(async () => await system.probe(vm, withdrawnKey.key) === 401);
		assert.equal(await system.probe(vm, otherKey.key), 404);
	}

	await system.until(async () => await countEngineRequests(system, 'engine-2') === 0);
});

test('requests of a killed entry process are removed from the engines, so that the engine memory is released', async t => {
	const system = await startSystem(t, 'reclaim', 3);
	const {key} = await system.issueKey('acme');
	const stream = await openStream(system, 'entry-2', key);
	stream.body.on('error', () => undefined);
	await system.until(async () => await countEngineRequests(system, 'engine-2') === 1);
	system.cluster.signal('entry-2', 'SIGKILL');
	await system.until(async () => await countEngineRequests(system, 'engine-2') === 0);
});

test('a non-idempotent request whose entry process was killed while it ran does not run again when the caller resends it to another entry process', async t => {
	const system = await startSystem(t, 'claim', 2);
	const {key} = await system.issueKey('acme');
	const fee = {
		key, method: 'POST', path: '/s/desk/fees', headers: {'idempotency-key': 'fee-1'}, body: '{"fee":1}',
	} as const;
	await system.fault('desk-1', {fault: 'hold-answers'});
	const first = system.call({...fee, vm: 'entry-1'});
	const expectedRejection = assert.rejects(first);
	await system.until(async () => await countFeeRuns(system, 'fee-1') === 1);
	system.cluster.signal('entry-1', 'SIGKILL');
	await expectedRejection;
	await system.fault('desk-1', {fault: 'none'});
	const resent = await system.call({...fee, vm: 'entry-2'});
	assert.match(resent.text, /"run":"unknown"/);
	assert.equal(await countFeeRuns(system, 'fee-1'), 1);
	const second = await system.call({...fee, vm: 'entry-2', headers: {'idempotency-key': 'fee-2'}});
	assert.equal(second.status, 201);
});

// Guards against an answer that ends early since its entry process was killed, and that its caller takes for a whole one.
test('an answer without framing does not look complete to its caller when its entry process is killed', async t => {
	const system = await startSystem(t, 'unframed', 1);
	const {key} = await system.issueKey('acme');
	const server = createServer(socket => {
		socket.on('error', () => undefined);
		socket.once('data', () => {
			socket.write('HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart');
		});
	}).listen(0, '127.0.0.1');
	await once(server, 'listening');
	t.after(() => {
		server.close();
	});
	const {port} = server.address() as AddressInfo;
	await system.applyConfiguration(system.configuration.replace(/(?<=desk-1: .*address: )[^,]+/, `127.0.0.1:${port}`), 1);
	await waitForVersion(system, ['entry-1'], 2);
	const client = await RawClient.connect(system.cluster.plan('entry-1').listen.callers);
	client.send('GET /s/desk/lookups HTTP/1.1', 'Host: entry', `Authorization: Bearer ${key}`, '', '');
	await waitUntil(() => client.received.includes('part'));
	system.cluster.signal('entry-1', 'SIGKILL');
	await waitUntil(() => client.isClosed);
	assert.match(client.received, /^http\/1\.1 200[^]*\r\ntransfer-encoding: chunked\r\n/i);
	assert.doesNotMatch(client.received, /\r\n0\r\n\r\n$/);
});

test('a control VM whose disk was erased rejoins as a voter, and the loss of a second control VM right afterwards loses no change', async t => {
	const system = await startSystem(t, 'repair', 1);
	const leader = await system.leader();
	const [erasedVm, secondVm] = ['control-1', 'control-2', 'control-3'].filter(vm => vm !== leader) as [string, string];
	for (let version = 1; version <= 5; version++) {
		await system.applyConfiguration(system.configuration.replace('rate: 100000', `rate: ${100_000 + version}`), version);
	}

	const recordBefore = await findMember(system, leader, erasedVm);
	system.cluster.signal(erasedVm, 'SIGKILL');
	await system.cluster.exited(erasedVm);
	rmSync(path.join(system.cluster.plan(erasedVm).folder, 'data'), {recursive: true});
	system.cluster.startVm(erasedVm);
	await system.until(async () => {
		const member = await findMember(system, leader, erasedVm);
		return member?.role === 'voter' && member.diskId !== recordBefore?.diskId;
	});
	system.cluster.signal(secondVm, 'SIGKILL');
	await system.cluster.exited(secondVm);
	const {version} = await system.applyConfiguration(system.configuration, 6, {vm: erasedVm});
	assert.equal(version, 7);
	const history = await system.operate(['config', 'history'], erasedVm) as {version: number};
	assert.equal(history.version, 7);
});

test('without a quorum, routes that need a key refuse requests as not run and open routes still work; routes that need a key work again once the quorum is back', async t => {
	const system = await startSystem(t, 'quorum', 1);
	const {key} = await system.issueKey('acme');
	const controls = ['control-1', 'control-2', 'control-3'];
	for (const vm of controls.slice(1)) {
		system.cluster.signal(vm, 'SIGSTOP');
	}

	await system.until(async () => {
		const {status, text} = await system.call({vm: 'entry-1', key, path: '/s/desk/lookups/1'});
		return status === 503 && text.includes('"run":"not-run"');
	});
	const open = await system.call({vm: 'entry-1', path: '/s/desk/open/1'});
	assert.equal(open.status, 200);
	for (const vm of controls.slice(1)) {
		system.cluster.signal(vm, 'SIGCONT');
	}

	await system.until(async () => {
		const {status} = await system.call({vm: 'entry-1', key, path: '/s/desk/lookups/1'});
		return status === 200;
	});
});

test('a graceful shutdown lets a running stream finish', async t => {
	const system = await startSystem(t, 'drain', 2);
	const {key} = await system.issueKey('acme');
	const stream = await openStream(system, 'entry-1', key, 200);
	system.cluster.signal('entry-1', 'SIGTERM');
	assert.match(await stream.body.text(), /data: \[DONE]/);
	assert.equal(await system.cluster.exited('entry-1'), 0);
});
