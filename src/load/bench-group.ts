import {loadavg} from 'node:os';
import process from 'node:process';
import {withTimeout} from './child-process.js';
import type {System} from './system.js';

export type BenchResult = Readonly<Record<string, unknown>> & {readonly scenario: string};

export type Scenario = {readonly name: string; readonly run: () => Promise<Readonly<Record<string, unknown>>>};

export type BenchGroup = {
	readonly name: string;
	readonly start: () => Promise<System>;
	readonly scenarios: (system: System) => Promise<readonly Scenario[]>;
	/** Names of all scenarios, for the report of those that were not reached. */
	readonly names: readonly string[];
	/** Bound on the start and all scenarios, in milliseconds. */
	readonly limitMs?: number;
};

/** Default bound on the start and all scenarios of a group; with the bounded end of its processes a group stays under 60 s. */
const groupLimitMs = 54_000;

function describe(err: unknown): string {
	return err instanceof Error ? err.message.split('\n').slice(0, 4).join(' | ') : String(err);
}

function oneMinuteLoad(): number {
	return loadavg()[0]!;
}

/** Smallest, middle and largest of repeated measurements, rounded to three decimals. */
export function spread(values: readonly number[]): {min: number; median: number; max: number; repeats: number} {
	const sorted = [...values].sort((a, b) => a - b);
	const pick = (index: number): number => round(sorted[index] ?? Number.NaN);
	return {
		min: pick(0), median: pick(Math.floor((sorted.length - 1) / 2)), max: pick(sorted.length - 1), repeats: sorted.length,
	};
}

export function round(value: number): number {
	return Math.round(value * 1000) / 1000;
}

/** Runs the scenarios of a group one after the other and ends its processes; the last result names what was not reached. */
export async function * runGroup({
	name, start, scenarios, names, limitMs = groupLimitMs,
}: BenchGroup): AsyncGenerator<BenchResult> {
	const startMs = performance.now();
	const remainingMs = (): number => Math.max(0, limitMs - (performance.now() - startMs));
	const reached = new Set<string>();
	let system: System | undefined;
	let failure: string | undefined;
	try {
		const starting = start();
		void disposeLate(starting, () => system === undefined && remainingMs() === 0);
		system = await withTimeout(starting, remainingMs(), `bench.${name}.start`);
		const prepared = await withTimeout(scenarios(system), remainingMs(), `bench.${name}.prepare`);
		for (const scenario of prepared) {
			const load = oneMinuteLoad();
			try {
				const figures = await withTimeout(scenario.run(), remainingMs(), `bench.${name}.${scenario.name}`);
				reached.add(scenario.name);
				yield {scenario: `${name}/${scenario.name}`, ...figures, loadAverage: [load, oneMinuteLoad()]};
			} catch (err) {
				yield {scenario: `${name}/${scenario.name}`, error: describe(err), loadAverage: [load, oneMinuteLoad()]};
			}

			if (remainingMs() === 0) {
				break;
			}
		}
	} catch (err) {
		failure = describe(err);
	} finally {
		await system?.dispose();
	}

	const pids = system?.cluster.pids ?? [];
	yield {
		scenario: `${name}/end`,
		notReached: names.filter(other => !reached.has(other)),
		...(failure !== undefined && {error: failure}),
		processesLeft: pids.filter(pid => isAlive(pid)).length,
		seconds: round((performance.now() - startMs) / 1000),
		loadAverage: oneMinuteLoad(),
	};
}

/** Ends a system whose start took longer than the group may, so that it does not run beside the next group. */
async function disposeLate(starting: Promise<System>, isLate: () => boolean): Promise<void> {
	try {
		const system = await starting;
		if (isLate()) {
			await system.dispose();
		}
	} catch {
		// The group reports a failed start, and the start itself ends what it began.
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
