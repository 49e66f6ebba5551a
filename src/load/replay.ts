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
import {Cluster, typeScriptCommand} from './cluster.js';
import type {Outcome, ReplayResult} from './outcome.js';
import {renderPlotPage} from './plot.js';
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
	/** Duration of the trace, in milliseconds. */
	readonly durationMs?: number;
	/** Factor applied to the request rate; 1 by default. */
	readonly load?: number;
	/** Whether to inject faults into engines, plain services and entry processes during the replay. */
	readonly faults?: boolean;
	/** Path to which the charts are written as an HTML page. */
	readonly plot?: string;
	/** Path to which the trace is written as JSON Lines. */
	readonly saveTrace?: string;
	/** Routers to replay the trace against; both by default. */
	readonly routers?: ReadonlyArray<'system' | 'baseline'>;
};

/** Result of a replay: measures of the system, and measures of the baseline router on the same trace. */
export type ReplayReport = Partial<Measures> & {
	readonly workload: WorkloadName;
	readonly seed: number;
	readonly faults: boolean;
	readonly baseline?: Measures;
};

/** A router under test that is ready to accept requests. */
export type Target = {
	readonly cluster: Cluster;
	/** API keys by customer. */
	readonly keys: Readonly<Record<string, string>>;
};

const defaultDurationMs = 20_000;
const controlCount = 3;
const entryCount = 4;
/** Time allowed for engines to release the memory of ended requests after the replay, in milliseconds. */
const engineReleaseTimeoutMs = 4000;
const recordPollIntervalMs = 100;
/** Time allowed for entry processes to accept newly issued keys, in milliseconds. */
const keyPropagationTimeoutMs = 10_000;

/** Loads the example configuration of a deployment as text and as a parsed value. */
export function loadExample(workload: WorkloadName): {readonly text: string; readonly value: SharedConfiguration} {
	const file = `examples/${workload}/configuration.yaml`;
	const text = readFileSync(file, 'utf8');
	return {text, value: parseDocumentOrThrow(text, sharedConfigurationSchema, file)};
}

function zonesOf({upstreams}: SharedConfiguration): string[] {
	return [...new Set(Object.values(upstreams).map(({zone}) => zone))];
}

/** Starts the system with test doubles as upstreams, applies the example configuration and issues a key to each customer. */
export async function startSystem(workload: WorkloadName): Promise<Target> {
	const {text, value} = loadExample(workload);
	const system = await System.start({
		name: 'replay', controls: controlCount, entries: entryCount, zones: zonesOf(value), configuration: text,
	});
	try {
		const keys: Record<string, string> = {};
		for (const customer of Object.keys(value.tenants)) {
			const {key} = await system.issueKey(customer);
			keys[customer] = key;
		}

		return {cluster: system.cluster, keys};
	} catch (err) {
		await system.dispose();
		throw err;
	}
}

/** Starts the baseline router with test doubles as upstreams and the example configuration. */
export async function startBaseline(workload: WorkloadName): Promise<Target> {
	const example = loadExample(workload);
	const keys = Object.fromEntries(Object.keys(example.value.tenants).map(customer => [customer, `key-of-${customer}`]));
	const customersByKey = Object.fromEntries(Object.entries(keys).map(([customer, key]) => [key, customer]));
	const cluster: Cluster = new Cluster({
		controls: 0,
		entries: entryCount,
		zones: zonesOf(example.value),
		command: typeScriptCommand('src/load/baseline-main.ts'),
		buildSettings: plan => stringify({
			vm: plan.vm,
			callers: plan.listen.callers,
			operators: plan.listen.operators,
			entryPoints: cluster.plans.map(({listen, zone}) => ({address: listen.callers, zone})),
			configuration: path.join(cluster.folder, 'configuration.yaml'),
			keys: customersByKey,
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

async function setFault(address: string, fault: Fault): Promise<void> {
	const {body} = await request(`http://${address}/control`, {method: 'POST', body: JSON.stringify(fault)});
	await body.dump();
}

async function readDoubleRecord(address: string): Promise<unknown> {
	const {body} = await request(`http://${address}/control/record`);
	return body.json();
}

/** Reads the records of the test doubles, after waiting up to `engineReleaseTimeoutMs` for the engines to release all requests. */
export async function readRecords(cluster: Cluster): Promise<Pick<ReplayResult, 'engines' | 'plain'>> {
	const deadlineMs = performance.now() + engineReleaseTimeoutMs;
	for (;;) {
		const records = await Promise.all([...cluster.doubles.values()].map(async double => readDoubleRecord(double.control) as Promise<EngineRecord | PlainServiceRecord | {kind?: undefined}>));
		const engines = records.filter(record => record.kind === 'engine');
		const plain = records.filter(record => record.kind === 'plain');
		if (engines.every(({requests}) => requests.length === 0) || performance.now() > deadlineMs) {
			return {engines, plain};
		}

		await sleep(recordPollIntervalMs);
	}
}

/** One step of the fault schedule. At the fraction `atFraction` of the trace duration, a test double fails or recovers, or an entry process receives a signal. */
type FaultStep = {readonly atFraction: number; readonly double?: string; readonly fault?: Fault; readonly vm?: string; readonly signal?: 'SIGKILL' | 'SIGTERM'};

const faultSchedule: readonly FaultStep[] = [
	{atFraction: 0.15, double: 'engine-3', fault: {fault: 'silence'}},
	{atFraction: 0.25, double: 'engine-1', fault: {fault: 'drop-events'}},
	{atFraction: 0.3, double: 'desk-1', fault: {fault: 'stall'}},
	{atFraction: 0.4, double: 'desk-1', fault: {fault: 'none'}},
	{atFraction: 0.45, vm: 'entry-2', signal: 'SIGKILL'},
	{atFraction: 0.55, double: 'engine-4', fault: {fault: 'reset'}},
	{atFraction: 0.6, double: 'engine-2', fault: {fault: 'stall-transfers'}},
	{atFraction: 0.65, double: 'engine-4', fault: {fault: 'none'}},
	{atFraction: 0.7, double: 'engine-2', fault: {fault: 'none'}},
	{atFraction: 0.8, vm: 'entry-3', signal: 'SIGTERM'},
];

async function injectFaults(cluster: Cluster, durationMs: number, nowMs: () => number): Promise<void> {
	for (const {atFraction, double, fault, vm, signal} of faultSchedule) {
		await sleep(Math.max(0, (atFraction * durationMs) - nowMs()));
		if (double !== undefined && fault !== undefined) {
			await setFault(cluster.doubles.get(double)!.control, fault);
		}

		if (vm !== undefined && signal !== undefined) {
			cluster.signal(vm, signal);
		}
	}
}

/** Sends every request of a trace at its scheduled time. Resolves with the outcomes of the requests and the start time of the replay. */
export async function sendTrace(target: Target, trace: Trace, options: {readonly faults?: boolean} = {}): Promise<Pick<ReplayResult, 'outcomes' | 'startedMs'>> {
	const startMs = performance.now();
	const startedMs = Date.now();
	const nowMs = (): number => performance.now() - startMs;
	const bootstrapAddresses = target.cluster.addresses('entry', 'callers');
	const callers = new Map(Object.entries(target.keys).map(([customer, key], index) => [customer, new Caller({
		tenant: customer, key, bootstrapAddresses, seed: trace.header.seed + index, nowMs,
	})]));
	const faults = options.faults ? injectFaults(target.cluster, trace.header.durationMs, nowMs) : Promise.resolve();
	const pendingOutcomes: Array<Promise<Outcome>> = [];
	for (const req of trace.requests) {
		const delayMs = req.atMs - nowMs();
		if (delayMs > 1) {
			await sleep(delayMs);
		}

		pendingOutcomes.push(callers.get(req.tenant)!.send(req));
	}

	const [outcomes] = await Promise.all([Promise.all(pendingOutcomes), faults]);
	await Promise.all([...callers.values()].map(async caller => caller.dispose()));
	return {outcomes, startedMs};
}

async function replayAgainst(start: (workload: WorkloadName) => Promise<Target>, trace: Trace, faults: boolean): Promise<ReplayResult> {
	const target = await start(trace.header.workload);
	try {
		const sent = await sendTrace(target, trace, {faults});
		return {trace, ...sent, ...await readRecords(target.cluster)};
	} finally {
		await target.cluster.dispose();
	}
}

/** Generates a trace, replays it against the selected routers and resolves with their measures. */
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
		results[router] = await replayAgainst(router === 'system' ? startSystem : startBaseline, trace, faults);
	}

	if (options.plot !== undefined) {
		mkdirSync(path.dirname(options.plot), {recursive: true});
		writeFileSync(options.plot, renderPlotPage(results));
	}

	return {
		workload, seed, faults, ...(results.system && score(results.system)), ...(results.baseline && {baseline: score(results.baseline)}),
	};
}
