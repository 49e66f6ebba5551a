import {mkdirSync, readFileSync, writeFileSync} from 'node:fs';
import path from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {request} from 'undici';
import {stringify} from 'yaml';
import type {EngineRecord} from '../../fakes/engine.js';
import type {Fault} from '../../fakes/faults.js';
import type {PlainServiceRecord} from '../../fakes/plain-service.js';
import {parseDocumentOrThrow} from '../common/configuration/document.js';
import {sharedConfigurationSchema} from '../common/configuration/shared.js';
import type {SharedConfiguration} from '../common/configuration/types.js';
import {Caller} from './caller.js';
import {Cluster, scriptCommand} from './cluster.js';
import type {Outcome, ReplayResult} from './outcome.js';
import {writePlot} from './plot.js';
import {score} from './scoring.js';
import type {Measures} from './scoring.js';
import {writeTrace} from './trace.js';
import {System} from './system.js';
import type {Trace} from './trace.js';
import {generateTrace} from './workload.js';
import type {WorkloadName} from './workload.js';

export type ReplayOptions = {
	readonly workload: WorkloadName;
	readonly seed: number;
	/** Length of the trace, in milliseconds. */
	readonly durationMs?: number;
	/** Factor on the request rate. */
	readonly load?: number;
	/** Whether engines, services and entry processes fail during the replay. */
	readonly faults?: boolean;
	/** Path of an HTML file with the plots. */
	readonly plot?: string;
	/** Path where the trace is written as JSON Lines. */
	readonly saveTrace?: string;
	/** Routers to measure; both by default. */
	readonly routers?: ReadonlyArray<'system' | 'baseline'>;
};

/** The measures of the system, with those of the baseline on the same trace. */
export type ReplayReport = Partial<Measures> & {
	readonly workload: WorkloadName;
	readonly seed: number;
	readonly faults: boolean;
	readonly baseline?: Measures;
};

/** A router under test, ready for callers. */
export type Target = {
	readonly cluster: Cluster;
	/** Keys by tenant. */
	readonly keys: Readonly<Record<string, string>>;
};

const defaultDurationMs = 20_000;
const controlCount = 3;
const entryCount = 4;
/** How long engines may need until they hold nothing of an ended request, in milliseconds. */
const settleTimeoutMs = 4000;
const settlePollMs = 100;
/** How long entry processes may need until they accept the new keys, in milliseconds. */
const applyTimeoutMs = 10_000;

/** Text and value of a deployment's example configuration. */
export function loadExample(workload: WorkloadName): {readonly text: string; readonly value: SharedConfiguration} {
	const file = `examples/${workload}/configuration.yaml`;
	const text = readFileSync(file, 'utf8');
	return {text, value: parseDocumentOrThrow(text, sharedConfigurationSchema, file)};
}

function zonesOf({upstreams}: SharedConfiguration): string[] {
	return [...new Set(Object.values(upstreams).map(({zone}) => zone))];
}

/** Starts the system with the doubles of a deployment, applies its configuration and issues a key to each tenant. */
export async function startSystem(workload: WorkloadName): Promise<Target> {
	const {text, value} = loadExample(workload);
	const system = await System.start({
		name: 'replay', controls: controlCount, entries: entryCount, zones: zonesOf(value), configuration: text,
	});
	try {
		const keys: Record<string, string> = {};
		for (const tenant of Object.keys(value.tenants)) {
			const {key} = await system.issueKey(tenant);
			keys[tenant] = key;
		}

		return {cluster: system.cluster, keys};
	} catch (err) {
		await system.dispose();
		throw err;
	}
}

/** Starts the baseline router with the doubles of a deployment. */
export async function startBaseline(workload: WorkloadName): Promise<Target> {
	const example = loadExample(workload);
	const keys = Object.fromEntries(Object.keys(example.value.tenants).map(tenant => [tenant, `key-of-${tenant}`]));
	const tenantsByKey = Object.fromEntries(Object.entries(keys).map(([tenant, key]) => [key, tenant]));
	const cluster: Cluster = new Cluster({
		controls: 0,
		entries: entryCount,
		zones: zonesOf(example.value),
		command: scriptCommand('src/load/baseline-main.ts'),
		buildSettings: plan => stringify({
			vm: plan.vm,
			callers: plan.listen.callers,
			operators: plan.listen.operators,
			entryPoints: cluster.plans.map(({listen, zone}) => ({address: listen.callers, zone})),
			configuration: path.join(cluster.folder, 'configuration.yaml'),
			keys: tenantsByKey,
		}),
	});
	try {
		await cluster.prepare();
		writeFileSync(path.join(cluster.folder, 'configuration.yaml'), await cluster.startDoubles(example.text));
		await cluster.start();
		await cluster.waitReady();
		return {cluster, keys};
	} catch (err) {
		await cluster.dispose();
		throw err;
	}
}

async function control(address: string, fault: Fault): Promise<void> {
	const {body} = await request(`http://${address}/control`, {method: 'POST', body: JSON.stringify(fault)});
	await body.dump();
}

async function readRecord(address: string): Promise<unknown> {
	const {body} = await request(`http://${address}/control/record`);
	return body.json();
}

/** What the doubles recorded, once the engines hold nothing more or the settling time is over. */
export async function readRecords(cluster: Cluster): Promise<Pick<ReplayResult, 'engines' | 'plain'>> {
	const deadlineMs = performance.now() + settleTimeoutMs;
	for (;;) {
		const records = await Promise.all([...cluster.doubles.values()].map(async double => readRecord(double.control) as Promise<EngineRecord | PlainServiceRecord | {kind?: undefined}>));
		const engines = records.filter(record => record.kind === 'engine');
		const plain = records.filter(record => record.kind === 'plain');
		if (engines.every(({requests}) => requests.length === 0) || performance.now() > deadlineMs) {
			return {engines, plain};
		}

		await sleep(settlePollMs);
	}
}

/** Faults of a replay: at a share of its length, a double fails or recovers, or an entry process ends. */
type FaultStep = {readonly at: number; readonly double?: string; readonly fault?: Fault; readonly vm?: string; readonly signal?: 'SIGKILL' | 'SIGTERM'};

const faultPlan: readonly FaultStep[] = [
	{at: 0.15, double: 'engine-3', fault: {fault: 'silence'}},
	{at: 0.25, double: 'engine-1', fault: {fault: 'drop-events'}},
	{at: 0.3, double: 'desk-1', fault: {fault: 'stall'}},
	{at: 0.4, double: 'desk-1', fault: {fault: 'none'}},
	{at: 0.45, vm: 'entry-2', signal: 'SIGKILL'},
	{at: 0.55, double: 'engine-4', fault: {fault: 'reset'}},
	{at: 0.6, double: 'engine-2', fault: {fault: 'stall-transfers'}},
	{at: 0.65, double: 'engine-4', fault: {fault: 'none'}},
	{at: 0.7, double: 'engine-2', fault: {fault: 'none'}},
	{at: 0.8, vm: 'entry-3', signal: 'SIGTERM'},
];

async function injectFaults(cluster: Cluster, durationMs: number, nowMs: () => number): Promise<void> {
	for (const {at, double, fault, vm, signal} of faultPlan) {
		await sleep(Math.max(0, (at * durationMs) - nowMs()));
		if (double !== undefined && fault !== undefined) {
			await control(cluster.doubles.get(double)!.control, fault);
		}

		if (vm !== undefined && signal !== undefined) {
			cluster.signal(vm, signal);
		}
	}
}

/** Sends the requests of a trace at their times and returns what became of each, with the time of the start. */
export async function sendTrace(target: Target, trace: Trace, options: {readonly faults?: boolean} = {}): Promise<Pick<ReplayResult, 'outcomes' | 'startedMs'>> {
	const startMs = performance.now();
	const startedMs = Date.now();
	const nowMs = (): number => performance.now() - startMs;
	const bootstrap = target.cluster.addresses('entry', 'callers');
	const callers = new Map(Object.entries(target.keys).map(([tenant, key], index) => [tenant, new Caller({
		tenant, key, bootstrap, seed: trace.header.seed + index, nowMs,
	})]));
	const faults = options.faults ? injectFaults(target.cluster, trace.header.durationMs, nowMs) : Promise.resolve();
	const pending: Array<Promise<Outcome>> = [];
	for (const req of trace.requests) {
		const delayMs = req.atMs - nowMs();
		if (delayMs > 1) {
			await sleep(delayMs);
		}

		pending.push(callers.get(req.tenant)!.send(req));
	}

	const [outcomes] = await Promise.all([Promise.all(pending), faults]);
	await Promise.all([...callers.values()].map(async caller => caller.dispose()));
	return {outcomes, startedMs};
}

async function measure(start: (workload: WorkloadName) => Promise<Target>, trace: Trace, faults: boolean): Promise<ReplayResult> {
	const target = await start(trace.header.workload);
	try {
		const sent = await sendTrace(target, trace, {faults});
		return {trace, ...sent, ...await readRecords(target.cluster)};
	} finally {
		await target.cluster.dispose();
	}
}

/** Replays a generated trace against the system and the baseline, and returns the measures of both. */
export async function replay(options: ReplayOptions): Promise<ReplayReport> {
	const {workload, seed, faults = false, durationMs = defaultDurationMs, load = 1, routers = ['system', 'baseline']} = options;
	const trace = generateTrace({
		workload, seed, configuration: loadExample(workload).value, durationMs, load,
	});
	if (options.saveTrace !== undefined) {
		writeFileSync(options.saveTrace, writeTrace(trace));
	}

	const results: Partial<Record<'system' | 'baseline', ReplayResult>> = {};
	for (const router of routers) {
		results[router] = await measure(router === 'system' ? startSystem : startBaseline, trace, faults);
	}

	if (options.plot !== undefined) {
		mkdirSync(path.dirname(options.plot), {recursive: true});
		writeFileSync(options.plot, writePlot(results));
	}

	return {
		workload, seed, faults, ...(results.system && score(results.system)), ...(results.baseline && {baseline: score(results.baseline)}),
	};
}
