/** Prints one JSON line per benchmark scenario; arguments select scenarios by the start of their group. */
import process from 'node:process';
import {benchCapacity} from '../src/load/bench-capacity.js';

const groups: Readonly<Record<string, () => Promise<ReadonlyArray<Readonly<Record<string, unknown>>>>>> = {
	capacity: benchCapacity,
};
const selected = process.argv.slice(2);

for (const [name, run] of Object.entries(groups)) {
	if (selected.length === 0 || selected.includes(name)) {
		for (const result of await run()) {
			console.log(JSON.stringify(result));
		}
	}
}
