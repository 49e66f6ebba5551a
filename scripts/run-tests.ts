/** Runs every `*.test.ts` file below the source folders with Node's test runner; arguments select files by part of their path. */
import {readdirSync} from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import {spec as Spec} from 'node:test/reporters';
import {pipeline} from 'node:stream';
import {run} from 'node:test';

const roots = ['src', 'fakes', 'scripts'];
/** Test files that run at once; process tests start several Node.js processes each. */
const concurrency = 5;
const selected = process.argv.slice(2);

const files = roots
	.flatMap(root => readdirSync(root, {recursive: true, encoding: 'utf8'}).map(file => path.join(root, file)))
	.filter(file => file.endsWith('.test.ts'))
	.filter(file => selected.length === 0 || selected.some(part => file.includes(part)))
	.sort()
	.map(file => path.resolve(file));

const stream = run({files, concurrency});
stream.on('test:fail', () => {
	process.exitCode = 1;
});
pipeline(stream, new Spec(), process.stdout, () => {
	// The exit code already tells the outcome.
});
