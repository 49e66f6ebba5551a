/**
Runs every `*.test.ts` file below the source folders with Node's test runner; arguments select files by part of their path.
A failure of a test that KNOWN-RED.txt names in a line `test: <title>` is printed and does not fail the run.
*/
import {existsSync, readdirSync, readFileSync} from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import {spec as Spec} from 'node:test/reporters';
import {pipeline} from 'node:stream';
import {run} from 'node:test';

const roots = ['src', 'platform', 'fakes', 'scripts'];
/** Test files that run at once; process tests start several Node.js processes each. */
const concurrency = 5;
/** Bound on one test file, in milliseconds; a process that does not end must fail the run instead of blocking it. */
const fileTimeoutMs = 180_000;
const knownRedFile = 'KNOWN-RED.txt';
const selected = process.argv.slice(2);

const files = roots
	.flatMap(root => readdirSync(root, {recursive: true, encoding: 'utf8'}).map(file => path.join(root, file)))
	.filter(file => file.endsWith('.test.ts'))
	.filter(file => selected.length === 0 || selected.some(part => file.includes(part)))
	.sort()
	.map(file => path.resolve(file));

const knownRed = new Set((existsSync(knownRedFile) ? readFileSync(knownRedFile, 'utf8') : '')
	.split('\n')
	.filter(line => line.startsWith('test: '))
	.map(line => line.slice('test: '.length).trim()));
const knownFailures: string[] = [];

const stream = run({files, concurrency, timeout: fileTimeoutMs});
stream.on('test:fail', event => {
	if (knownRed.has(event.name)) {
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
