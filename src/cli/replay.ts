import {Option} from 'commander';
import type {Command} from 'commander';
import type {WorkloadName} from '../load/workload.js';

type ReplayFlags = {
	readonly workload: WorkloadName;
	readonly seed: number;
	readonly json?: boolean;
	readonly faults?: boolean;
	readonly plot?: string;
	readonly durationMs?: number;
	readonly load?: number;
};

/** Adds the `replay` subcommand. It needs a checkout of the repository, since it starts the test doubles in `fakes/`. */
export function registerReplay(program: Command): void {
	program.command('replay')
		.description('replay a seeded trace against real processes and test doubles, next to a plain baseline')
		.addOption(new Option('--workload <name>', 'workload of the trace').choices(['bereket', 'vanua']).makeOptionMandatory())
		.option('--seed <n>', 'seed of the trace and of the faults', Number, 1)
		.option('--faults', 'add process deaths, stalls and cuts on a seeded schedule')
		.option('--duration-ms <ms>', 'length of the trace', Number)
		.option('--load <factor>', 'factor on the request rate', Number)
		.option('--plot <file>', 'write a report as HTML')
		.option('--json', 'print one JSON line')
		.addHelpText('after', '\nExample:\n  $ npm run replay -- --workload bereket --seed 1 --json')
		.action(async (flags: ReplayFlags) => {
			const {replay} = await import('../load/replay.js');
			const report = await replay(flags);
			console.log(flags.json ? JSON.stringify(report) : JSON.stringify(report, undefined, 2));
		});
}
