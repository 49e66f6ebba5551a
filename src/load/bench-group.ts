import {loadavg} from 'node:os';
import process from 'node:process';
import {withTimeout} from './child-process.js';
import type {System} from './system.js';

export type BenchResult = Readonly<Record<string, unknown>> & {readonly scenario: string};

export type BenchScenario = {readonly name: string; readonly run: () => Promise<Readonly<Record<string, unknown>>>};

export type BenchGroup = {
	readonly name: string;
	readonly start: () => Promise<System>;
	readonly prepareScenarios: (system: System) => Promise<readonly BenchScenario[]>;
	/** Names of all scenarios; those that did not complete are listed in the last result. */
	readonly scenarioNames: readonly string[];
	/** Time limit for the start and all scenarios together, in milliseconds. */
	readonly limitMs?: number;
};

/** Default time limit of a group, in milliseconds. It leaves time to end the processes of the group, so that a group takes less than 60 s in total. */
const defaultGroupLimitMs = 54_000;

function describeError(err: unknown): string {
	return err instanceof Error ? err.message.split('\n').slice(0, 4).join(' | ') : String(err);
}

function oneMinuteLoad(): number {
	return loadavg()[0]!;
}

/** Returns the minimum, median and maximum of repeated measurements, rounded to three decimals, and the number of measurements. */
export function summarize(values: readonly number[]): {min: number; median: number; max: number; repeats: number} {
	const sorted = [...values].sort((a, b) => a - b);
	const pick = (index: number): number => roundToThousandths(sorted[index] ?? Number.NaN);
	return {
		min: pick(0), median: pick(Math.floor((sorted.length - 1) / 2)), max: pick(sorted.length - 1), repeats: sorted.length,
	};
}

export function roundToThousandths(value: number): number {
	return Math.round(value * 1000) / 1000;
}

/** Runs the scenarios of a group in sequence and disposes the system. The last result lists the scenarios that did not complete. */
export async function * runBenchGroup({
	name, start, prepareScenarios, scenarioNames, limitMs = defaultGroupLimitMs,
}: BenchGroup): AsyncGenerator<BenchResult> {
	const startMs = performance.now();
	const remainingMs = (): number => Math.max(0, limitMs - (performance.now() - startMs));
	const completed = new Set<string>();
	let system: System | undefined;
	let failure: string | undefined;
	try {
		const starting = start();
		void disposeLate(starting, () => system === undefined && remainingMs() === 0);
		system = await withTimeout(starting, remainingMs(), `bench.${name}.start`);
		const prepared = await withTimeout(prepareScenarios(system), remainingMs(), `bench.${name}.prepare`);
		for (const scenario of prepared) {
			const load = oneMinuteLoad();
			try {
				const figures = await withTimeout(scenario.run(), remainingMs(), `bench.${name}.${scenario.name}`);
				completed.add(scenario.name);
				yield {scenario: `${name}/${scenario.name}`, ...figures, loadAverage: [load, oneMinuteLoad()]};
			} catch (err) {
				yield {scenario: `${name}/${scenario.name}`, error: describeError(err), loadAverage: [load, oneMinuteLoad()]};
			}

			if (remainingMs() === 0) {
				break;
			}
		}
	} catch (err) {
		failure = describeError(err);
	} finally {
		await system?.dispose();
	}

	const pids = system?.cluster.pids ?? [];
	yield {
		scenario: `${name}/end`,
		notReached: scenarioNames.filter(other => !completed.has(other)),
		...(failure !== undefined && {error: failure}),
		processesLeft: pids.filter(pid => isAlive(pid)).length,
		seconds: roundToThousandths((performance.now() - startMs) / 1000),
		loadAverage: oneMinuteLoad(),
	};
}

/** Disposes a system that finished starting after the group's time limit, so that it does not run alongside the next group. */
async function disposeLate(starting: Promise<System>, isLate: () => boolean): Promise<void> {
	try {
		const system = await starting;
		if (isLate()) {
			await system.dispose();
		}
	} catch {
		// `runBenchGroup` reports the failed start, and `System.start` disposes its processes itself.
	}
}

function isAlive(pid: number): boolean {
	try {
		process.kill(pid, 0);
		return true;
	} catch {
		return false;
	}
}
