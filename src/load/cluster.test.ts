import assert from 'node:assert/strict';
import {existsSync, readFileSync} from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import {test} from 'node:test';
import type {TestContext} from 'node:test';
import {stringify} from 'yaml';
import {expectedAnswer} from '../../fakes/answer.js';
import {FakeEngine} from '../../fakes/engine.js';
import {FakePlainService} from '../../fakes/plain-service.js';
import {parseDocumentOrThrow} from '../common/configuration/document.js';
import {sharedConfigurationSchema} from '../common/configuration/shared.js';
import {BaselineRouter} from './baseline.js';
import {Caller, checkModelAnswer} from './caller.js';
import {Cluster, typeScriptCommand} from './cluster.js';
import {allocatePort} from './ports.js';
import type {ModelTraceRequest, PlainTraceRequest} from './trace.js';

function isAlive(pid: number): boolean {
	try {
		process.kill(pid, 0);
		return true;
	} catch {
		return false;
	}
}

function baselineCluster(entries: number): Cluster {
	const cluster: Cluster = new Cluster({
		controls: 0,
		entries,
		zones: ['z1', 'z2'],
		command: typeScriptCommand('src/load/baseline-main.ts'),
		buildSettings: ({vm, listen}) => stringify({
			vm, callers: listen.callers, operators: listen.operators, entryPoints: [{address: listen.callers, zone: 'z1'}], configuration: path.resolve('examples/vanua/configuration.yaml'), keys: {},
		}),
	});
	return cluster;
}

test('disposing a cluster ends every process, including one that is suspended by SIGSTOP', async t => {
	const cluster = baselineCluster(3);
	t.after(async () => cluster.dispose());
	await cluster.start();
	await cluster.waitReady();
	const double = await cluster.startDouble('desk-1', 'plain');
	cluster.signal('entry-1', 'SIGTERM');
	assert.equal(await cluster.exited('entry-1'), 0);
	cluster.signal('entry-2', 'SIGKILL');
	assert.equal(await cluster.exited('entry-2'), 'SIGKILL');
	cluster.startVm('entry-2');
	await cluster.waitReady(['entry-2', 'entry-3']);
	cluster.signal('entry-3', 'SIGSTOP');
	assert.ok(cluster.isRunning('entry-3'));
	const pids = [...cluster.pids, double.process.pid!];
	await cluster.dispose();
	assert.deepEqual(pids.filter(pid => isAlive(pid)), []);
	assert.ok(!existsSync(cluster.folder));
});

test('if a process exits before it is ready, waiting for the cluster fails with the log of this process and ends the other processes', async t => {
	const cluster = new Cluster({
		controls: 0, entries: 2, zones: ['z1'], command: typeScriptCommand('src/load/baseline-main.ts'), buildSettings: () => 'vm: entry-1\n',
	});
	t.after(async () => cluster.dispose());
	await cluster.start();
	await assert.rejects(cluster.waitReady(), /ended before it was ready[\s\S]*callers/);
	assert.deepEqual(cluster.pids.filter(pid => isAlive(pid)), []);
});

async function startBaselineWithDoubles(t: TestContext): Promise<{caller: Caller; engines: FakeEngine[]; desk: FakePlainService}> {
	const text = readFileSync('examples/bereket/configuration.yaml', 'utf8');
	const cfg = parseDocumentOrThrow(text, sharedConfigurationSchema, 'configuration.yaml');
	const engines = (['prefill', 'decode'] as const).map(role => new FakeEngine({name: role, role, decodeStepMs: 1}));
	const desk = new FakePlainService({name: 'desk', serviceMs: 1});
	await Promise.all([...engines, desk].map(async double => double.start()));
	const upstreams = Object.fromEntries([...engines, desk].map(({name, address}) => [name, {
		...cfg.upstreams[name === 'desk' ? 'desk-1' : 'engine-1']!, address, role: name as 'prefill' | 'decode', ...(name === 'desk' && {role: 'plain' as const}),
	}]));
	const [callers, operators] = [`127.0.0.1:${await allocatePort()}`, `127.0.0.1:${await allocatePort()}`];
	const router = new BaselineRouter({
		vm: 'entry-1', callers, operators, entryPoints: [{address: callers, zone: 'z1'}], configuration: '', keys: {secret: 'trials-board'},
	}, {...cfg, upstreams});
	await router.start();
	const caller = new Caller({
		tenant: 'trials-board', key: 'secret', bootstrapAddresses: [callers], seed: 1, nowMs: () => performance.now(),
	});
	for (const item of [desk, ...engines, router, caller]) {
		t.after(async () => item.dispose());
	}

	return {caller, engines, desk};
}

const commonFields = {atMs: 0, tenant: 'trials-board', firstTokenTargetMs: 1000};

function modelRequest(id: string, fields: Partial<ModelTraceRequest> = {}): ModelTraceRequest {
	return {
		kind: 'model', id, ...commonFields, service: 'dossiers', betweenTokensTargetMs: 69, maxTokens: 12, shared: [], ownTokens: 50, ...fields,
	};
}

function postRequest(id: string, idempotencyKey?: string): PlainTraceRequest {
	return {
		kind: 'plain', id, ...commonFields, service: 'entry-desk', method: 'POST', path: '/entries',
		isIdempotent: false, isOpen: false, ref: id, cost: 10, ...(idempotencyKey !== undefined && {idempotencyKey}),
	};
}

test('a caller finds an entry point, checks answers and does not retry a non-idempotent call without an idempotency key', async t => {
	const {caller, engines, desk} = await startBaselineWithDoubles(t);
	const answer = await caller.send(modelRequest('m1'));
	assert.equal(answer.kind, 'complete');
	assert.equal(answer.gapsMs.length, answer.outputTokens - 1);
	const oversized = await caller.send(modelRequest('m2', {ownTokens: 90_000}));
	assert.deepEqual([oversized.kind, oversized.code], ['refused', 'rate-exceeded']);
	const plain = await caller.send(postRequest('p1', 'k1'));
	assert.equal(plain.kind, 'complete');
	await engines[0]!.setFault({fault: 'stall'});
	const cancelled = await caller.send(modelRequest('m3', {cancelAfterMs: 30}));
	assert.equal(cancelled.kind, 'cancelled');
	await desk.setFault({fault: 'reset-answers'});
	const unknown = await caller.send(postRequest('p2'));
	assert.equal(unknown.kind, 'unknown');
	assert.equal(desk.getRecord().calls.filter(({ref}) => ref === 'p2').length, 1);
});

test('an answer with tokens of another request counts as crossed, and an answer with missing tokens counts as incomplete', () => {
	const whole = expectedAnswer('1', 20);
	assert.equal(checkModelAnswer({id: '1', maxTokens: 20}, whole), 'complete');
	assert.equal(checkModelAnswer({id: '1', maxTokens: 20}, whole.slice(0, -9)), 'incomplete');
	assert.equal(checkModelAnswer({id: '1', maxTokens: 20}, expectedAnswer('2', 20)), 'crossed');
});
