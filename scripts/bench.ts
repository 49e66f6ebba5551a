/** Prints one JSON line per benchmark scenario; arguments select groups of scenarios by name, by default all. */
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
const selected = process.argv.slice(2);
const unknown = selected.filter(name => !(name in groups));
if (unknown.length > 0) {
	console.error(`no benchmark group ${unknown.join(', ')}; there are ${Object.keys(groups).join(', ')}`);
	process.exit(2); // eslint-disable-line unicorn/no-process-exit -- pooled connections would delay the exit
}

for (const [name, run] of Object.entries(groups)) {
	if (selected.length === 0 || selected.includes(name)) {
		for await (const result of await run()) {
			console.log(JSON.stringify({loadAverage: loadavg()[0], ...result}));
		}
	}
}

// A scenario that ran out of time may still hold connections; the exit handler ends any process that is left.
process.exit(); // eslint-disable-line unicorn/no-process-exit -- pooled connections would delay the exit
