/**
Runs the `*.test.ts` files of the source folders with the test runner of Node.js. Arguments select the files whose path contains one of them.
A failure of a test that KNOWN-RED.txt names in a line `test: <title>` is printed but does not fail the run.
*/
import {existsSync, readdirSync, readFileSync} from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import {spec as Spec} from 'node:test/reporters';
import {run} from 'node:test';

const sourceFolders = ['src', 'platform', 'fakes', 'scripts'];
/** Maximum number of test files that run at the same time. It is low because some of them start several Node.js processes each. */
const concurrency = 5;
/** Timeout of one test file, in milliseconds, so that a process that does not end fails the run instead of blocking it. */
const fileTimeoutMs = 180_000;
/** End of the names of test files that run after the others, one at a time, since they measure the memory of a process under load. */
const serialSuffix = '.serial.test.ts';
const knownRedFile = 'KNOWN-RED.txt';
const pathFilters = process.argv.slice(2);

const files = sourceFolders
	.flatMap(root => readdirSync(root, {recursive: true, encoding: 'utf8'}).map(file => path.join(root, file)))
	.filter(file => file.endsWith('.test.ts'))
	.filter(file => pathFilters.length === 0 || pathFilters.some(part => file.includes(part)))
	.sort()
	.map(file => path.resolve(file));

const knownRedTitles = new Set((existsSync(knownRedFile) ? readFileSync(knownRedFile, 'utf8') : '')
	.split('\n')
	.filter(line => line.startsWith('test: '))
	.map(line => line.slice('test: '.length).trim()));
const knownFailures: string[] = [];

/** Runs the files and prints their results; resolves when all of them have ended. */
async function runFiles(selected: string[], maxAtATime: number): Promise<void> {
	if (selected.length === 0) {
		return;
	}

	const stream = run({files: selected, concurrency: maxAtATime, timeout: fileTimeoutMs});
	stream.on('test:fail', event => {
		if (knownRedTitles.has(event.name)) {
			knownFailures.push(event.name);
		} else {
			process.exitCode = 1;
		}
	});
	// The output stays open for the next files.
	for await (const text of stream.compose(new Spec())) {
		process.stdout.write(text as string);
	}
}

await runFiles(files.filter(file => !file.endsWith(serialSuffix)), concurrency);
await runFiles(files.filter(file => file.endsWith(serialSuffix)), 1);
for (const name of knownFailures) {
	console.log(`known failure, see ${knownRedFile}: ${name}`);
}
