/**
Starts three control and four entry processes with test doubles of the engines and services of `examples/bereket`, and sends a generated trace of requests.
One entry process is stopped gracefully and one is killed meanwhile; afterwards the guarantees of the system are checked.
*/
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	loadExample, readRecords, sendTrace, startSystem,
} from '../src/load/replay.js';
import type {Target} from '../src/load/replay.js';
import {score} from '../src/load/scoring.js';
import type {Measures} from '../src/load/scoring.js';
import {withTimeout} from '../src/load/child-process.js';
import {generateTrace} from '../src/load/workload.js';

const workload = 'bereket';
const seed = 7;
const durationMs = 15_000;
/** Fraction of the peak load, low enough for a laptop that runs 20 processes. */
const load = 0.4;
const stoppedVm = 'entry-2';
const killedVm = 'entry-3';
const stopAtMs = 4000;
const killAtMs = 7000;
/** Timeout of the whole run, in milliseconds. */
const runTimeoutMs = 45_000;
/** Minimum fraction of the requests within the limits that must be answered in time, although two of the four entry processes end. */
const minGoodput = 0.9;

type Check = {readonly name: string; readonly hasPassed: boolean; readonly detail: string};

async function stopEntryProcesses({cluster}: Target): Promise<number | string> {
	await sleep(stopAtMs);
	cluster.signal(stoppedVm, 'SIGTERM');
	await sleep(killAtMs - stopAtMs);
	cluster.signal(killedVm, 'SIGKILL');
	return cluster.exited(stoppedVm);
}

function evaluateChecks(measures: Measures, stopStatus: number | string): Check[] {
	const expectZero = (name: string, value: number): Check => ({name, hasPassed: value === 0, detail: String(value)});
	return [
		{name: 'goodput', hasPassed: measures.goodput >= minGoodput, detail: `${measures.goodput.toFixed(3)}, at least ${minGoodput} wanted`},
		{name: 'graceful stop exits with 0', hasPassed: stopStatus === 0, detail: String(stopStatus)},
		expectZero('wrongful refusals', measures.wrongfulRefusals),
		expectZero('non-idempotent calls run twice', measures.duplicateRuns),
		expectZero('answers to the wrong caller', measures.crossedAnswers),
		expectZero('incomplete answers', measures.incompleteAnswers),
		expectZero('tokens admitted beyond the limits', measures.overAdmitted),
		expectZero('requests left in engines', measures.leakedEngineRequests),
		expectZero('keys seen by upstreams', measures.keysSeenByUpstreams),
	];
}

function printTable(rows: ReadonlyArray<readonly [string, string | number]>): void {
	for (const [name, value] of rows) {
		console.log(`${name.padEnd(34)} ${value}`);
	}
}

async function runDemo(): Promise<boolean> {
	const trace = generateTrace({
		workload, seed, configuration: loadExample(workload).value, durationMs, load,
	});
	const target = await startSystem(workload);
	try {
		const [sent, stopStatus] = await Promise.all([sendTrace(target, trace), stopEntryProcesses(target)]);
		const measures = score({trace, ...sent, ...await readRecords(target.cluster)});
		const checks = evaluateChecks(measures, stopStatus);
		printTable([
			['requests', measures.requests],
			['answered whole', measures.complete],
			['refused, not run', measures.refused],
			['unknown', measures.unknown],
			['cancelled by the caller', measures.cancelled],
			['run twice', measures.duplicateRuns],
			['goodput', measures.goodput.toFixed(3)],
			['wasted prefill', measures.wastedPrefillRatio.toFixed(3)],
			['worst tenant, share of the mean', measures.worstTenantGoodput.toFixed(3)],
			['wrongful refusals', measures.wrongfulRefusals],
			['codes', JSON.stringify(measures.refusalCodes)],
			['first token, ms', JSON.stringify(measures.firstTokenMs)],
		]);
		const failed = checks.filter(({hasPassed}) => !hasPassed);
		for (const {name, detail} of failed) {
			console.log(`failed: ${name}: ${detail}`);
		}

		console.log(failed.length === 0 ? 'all checks held' : `${failed.length} of ${checks.length} checks failed`);
		return failed.length === 0;
	} finally {
		await target.cluster.dispose();
	}
}

try {
	process.exitCode = await withTimeout(runDemo(), runTimeoutMs, 'demo.run') ? 0 : 1; // eslint-disable-line unicorn/prefer-top-level-await -- the timeout needs the promise
} catch (err) {
	console.error(err instanceof Error ? err.message : err);
	process.exitCode = 1;
}

// The exit handler kills child processes that are still running after a timeout.
process.exit(); // eslint-disable-line unicorn/no-process-exit -- pooled connections would delay the exit
