/** Runs the benchmarks and prints one line of JSON for each scenario. Arguments select groups of scenarios by name; the default is all groups. */
import {loadavg} from 'node:os';
import process from 'node:process';
import {benchCapacity} from '../src/load/bench-capacity.js';
import {benchConsensus} from '../src/load/bench-consensus.js';
import {benchControl} from '../src/load/bench-control.js';
import {benchEntry} from '../src/load/bench-entry.js';

type Results = Iterable<Readonly<Record<string, unknown>>> | AsyncIterable<Readonly<Record<string, unknown>>>;

const groups: Readonly<Record<string, () => Promise<Results> | Results>> = {
	capacity: benchCapacity,
	consensus: async () => benchConsensus(),
	entry: benchEntry,
	control: benchControl,
};
const selectedGroups = process.argv.slice(2);
const unknownGroups = selectedGroups.filter(name => !(name in groups));
if (unknownGroups.length > 0) {
	console.error(`no benchmark group ${unknownGroups.join(', ')}; there are ${Object.keys(groups).join(', ')}`);
	process.exit(2); // eslint-disable-line unicorn/no-process-exit -- pooled connections would delay the exit
}

for (const [name, run] of Object.entries(groups)) {
	if (selectedGroups.length === 0 || selectedGroups.includes(name)) {
		for await (const result of await run()) {
			console.log(JSON.stringify({loadAverage: loadavg()[0], ...result}));
		}
	}
}

// A scenario that timed out may still hold connections. The exit handler ends child processes that are still running.
process.exit(); // eslint-disable-line unicorn/no-process-exit -- pooled connections would delay the exit
