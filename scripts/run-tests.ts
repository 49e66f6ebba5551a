/**
Runs the `*.test.ts` files of the source folders with the test runner of Node.js. Arguments select the files whose path contains one of them.
A failure of a test that KNOWN-RED.txt names in a line `test: <title>` is printed but does not fail the run.
*/
import {existsSync, readdirSync, readFileSync} from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import {spec as Spec} from 'node:test/reporters';
import {pipeline} from 'node:stream';
import {run} from 'node:test';

const sourceFolders = ['src', 'platform', 'fakes', 'scripts'];
/** Maximum number of test files that run at the same time. It is low because some of them start several Node.js processes each. */
const concurrency = 5;
/** Timeout of one test file, in milliseconds, so that a process that does not end fails the run instead of blocking it. */
const fileTimeoutMs = 180_000;
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

const stream = run({files, concurrency, timeout: fileTimeoutMs});
stream.on('test:fail', event => {
	if (knownRedTitles.has(event.name)) {
		knownFailures.push(event.name);
	} else {
		process.exitCode = 1;
	}
});
pipeline(stream, new Spec(), process.stdout, () => {
	for (const name of knownFailures) {
		console.log(`known failure, see ${knownRedFile}: ${name}`);
	}
});
