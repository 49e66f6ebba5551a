/** Proofs with real processes: each kills, freezes or races some of them and waits for conditions, not for times. */
import assert from 'node:assert/strict';
import {rmSync} from 'node:fs';
import path from 'node:path';
import {test} from 'node:test';
import type {TestContext} from 'node:test';
import {request} from 'undici';
import {System} from '../load/system.js';

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

async function feesRun(system: System, idempotencyKey: string): Promise<number> {
	const {calls} = await system.record('desk-1') as {calls: Array<{idempotencyKey?: string}>};
	return calls.filter(call => call.idempotencyKey === idempotencyKey).length;
}

async function heldRequests(system: System, engine: string): Promise<number> {
	const {body} = await request(`http://${system.cluster.doubles.get(engine)!.address}/v1/requests`);
	const {requests} = await body.json() as {requests: unknown[]};
	return requests.length;
}

/** A member of the replicated log as another one sees it. */
async function memberOf(system: System, vm: string, member: string) {
	const {replica} = await system.state(vm) as {replica: {members: Array<{vm: string; role: string; diskId: string}>}};
	return replica.members.find(candidate => candidate.vm === member);
}

async function versions(system: System, vms: readonly string[]): Promise<number[]> {
	const states = await Promise.all(vms.map(async vm => system.state(vm)));
	return states.map(state => (state.access as {version: number}).version);
}

async function untilInForce(system: System, vms: readonly string[], expected: number): Promise<void> {
	await system.until(async () => {
		const seen = await versions(system, vms);
		return seen.every(version => version === expected);
	});
}

test('accepted changes survive the death of the leader, reach every entry process and are never undone by a thawed one', async t => {
	const system = await startSystem(t, 'failover', 2);
	const entries = ['entry-1', 'entry-2'];
	const frozen = await system.leader();
	system.cluster.signal(frozen, 'SIGSTOP');
	const other = ['control-1', 'control-2', 'control-3'].find(vm => vm !== frozen);
	const second = await system.applyConfiguration(system.configuration.replace('rate: 100000', 'rate: 100001'), 1, {vm: other});
	assert.equal(second.version, 2);
	await untilInForce(system, entries, 2);
	system.cluster.signal(frozen, 'SIGCONT');
	await system.until(async () => {
		const {replica} = await system.state(frozen) as {replica: {role: string}};
		return replica.role === 'follower';
	});
	assert.deepEqual(await versions(system, entries), [2, 2]);
	const next = await system.leader();
	system.cluster.signal(next, 'SIGKILL');
	await system.cluster.exited(next);
	const survivor = ['control-1', 'control-2', 'control-3'].find(vm => vm !== next)!;
	const accepted = await system.applyConfiguration(system.configuration.replace('rate: 100000', 'rate: 100002'), 2, {vm: survivor});
	assert.equal(accepted.version, 3);
	await untilInForce(system, entries, 3);
});

test('of two operators with the same version one wins, and a resend of the winner gets its first outcome', async t => {
	const system = await startSystem(t, 'race', 1);
	const texts = [1, 2].map(n => system.configuration.replace('rate: 100000', `rate: ${200_000 + n}`));
	const attempts = await Promise.allSettled(texts.map(async (text, i) => system.applyConfiguration(text, 1, {changeId: `change-${i}`, vm: `control-${i + 1}`})));
	const winner = attempts.findIndex(({status}) => status === 'fulfilled');
	assert.equal(attempts.filter(({status}) => status === 'fulfilled').length, 1);
	const loser = attempts.find(({status}) => status === 'rejected') as PromiseRejectedResult;
	assert.match((loser.reason as {stdout: string}).stdout, /version-conflict/);
	await system.applyConfiguration(system.configuration, 2);
	const resent = await system.applyConfiguration(texts[winner]!, 1, {changeId: `change-${winner}`});
	assert.equal(resent.version, 2);
	const current = await system.operate(['config', 'get']) as {version: number};
	assert.equal(current.version, 3);
});

test('a withdrawn key ends a running stream and is refused by every entry process, while another key goes on', async t => {
	const system = await startSystem(t, 'withdraw', 2);
	const withdrawn = await system.issueKey('acme');
	const kept = await system.issueKey('other');
	const stream = await openStream(system, 'entry-1', withdrawn.key);
	assert.equal(stream.statusCode, 200);
	await system.operate(['keys', 'withdraw', withdrawn.keyId]);
	const text = await stream.body.text();
	assert.match(text, /key-withdrawn/);
	assert.doesNotMatch(text, /\[DONE]/);
	for (const vm of ['entry-1', 'entry-2']) {
		await system.until(async () => await system.probe(vm, withdrawn.key) === 401);
		assert.equal(await system.probe(vm, kept.key), 404);
	}

	await system.until(async () => await heldRequests(system, 'engine-2') === 0);
});

test('engine memory of a killed entry process is freed by another one', async t => {
	const system = await startSystem(t, 'reclaim', 3);
	const {key} = await system.issueKey('acme');
	const stream = await openStream(system, 'entry-2', key);
	stream.body.on('error', () => undefined);
	await system.until(async () => await heldRequests(system, 'engine-2') === 1);
	system.cluster.signal('entry-2', 'SIGKILL');
	await system.until(async () => await heldRequests(system, 'engine-2') === 0);
});

test('a fee whose entry process dies while it runs is not run again when it is resent elsewhere', async t => {
	const system = await startSystem(t, 'claim', 2);
	const {key} = await system.issueKey('acme');
	const fee = {
		key, method: 'POST', path: '/s/desk/fees', headers: {'idempotency-key': 'fee-1'}, body: '{"fee":1}',
	} as const;
	await system.fault('desk-1', {fault: 'hold-answers'});
	const first = system.call({...fee, vm: 'entry-1'});
	const broken = assert.rejects(first);
	await system.until(async () => await feesRun(system, 'fee-1') === 1);
	system.cluster.signal('entry-1', 'SIGKILL');
	await broken;
	await system.fault('desk-1', {fault: 'none'});
	const resent = await system.call({...fee, vm: 'entry-2'});
	assert.match(resent.text, /"run":"unknown"/);
	assert.equal(await feesRun(system, 'fee-1'), 1);
	const second = await system.call({...fee, vm: 'entry-2', headers: {'idempotency-key': 'fee-2'}});
	assert.equal(second.status, 201);
});

test('a control VM whose disk was emptied rejoins, and the loss of a second one right after loses nothing', async t => {
	const system = await startSystem(t, 'repair', 1);
	const leader = await system.leader();
	const [emptied, second] = ['control-1', 'control-2', 'control-3'].filter(vm => vm !== leader) as [string, string];
	for (let version = 1; version <= 5; version++) {
		await system.applyConfiguration(system.configuration.replace('rate: 100000', `rate: ${100_000 + version}`), version);
	}

	const before = await memberOf(system, leader, emptied);
	system.cluster.signal(emptied, 'SIGKILL');
	await system.cluster.exited(emptied);
	rmSync(path.join(system.cluster.plan(emptied).folder, 'data'), {recursive: true});
	system.cluster.startVm(emptied);
	await system.until(async () => {
		const member = await memberOf(system, leader, emptied);
		return member?.role === 'voter' && member.diskId !== before?.diskId;
	});
	system.cluster.signal(second, 'SIGKILL');
	await system.cluster.exited(second);
	const {version} = await system.applyConfiguration(system.configuration, 6, {vm: emptied});
	assert.equal(version, 7);
	const history = await system.operate(['config', 'history'], emptied) as {version: number};
	assert.equal(history.version, 7);
});

test('without a quorum keyed routes are refused as not run and open routes go on; both work again afterwards', async t => {
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

test('a graceful shutdown lets a running stream end whole', async t => {
	const system = await startSystem(t, 'drain', 2);
	const {key} = await system.issueKey('acme');
	const stream = await openStream(system, 'entry-1', key, 200);
	system.cluster.signal('entry-1', 'SIGTERM');
	assert.match(await stream.body.text(), /data: \[DONE]/);
	assert.equal(await system.cluster.exited('entry-1'), 0);
});
