import assert from 'node:assert/strict';
import {execFileSync, spawnSync} from 'node:child_process';
import {test} from 'node:test';
import {version} from './version.js';

const binary = 'dist/jasminehead';

test('the built binary prints its version', () => {
	assert.equal(execFileSync(binary, ['--version'], {encoding: 'utf8'}).trim(), version);
});

test('check exits with code 2 and reports the paths of the issues in an invalid file', () => {
	const result = spawnSync(binary, ['check', '--json', 'package.json'], {encoding: 'utf8'});
	assert.equal(result.status, 2);
	assert.match(result.stdout, /"path":"scripts"/);
});

test('check exits with code 3 for a missing file', () => {
	assert.equal(spawnSync(binary, ['check', 'no-such-file.yaml']).status, 3);
});
