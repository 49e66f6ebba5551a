import assert from 'node:assert/strict';
import {execFileSync, spawnSync} from 'node:child_process';
import {test} from 'node:test';
import {version} from './version.js';

const binary = 'dist/jasminehead';

test('the built binary prints its version', () => {
	assert.equal(execFileSync(binary, ['--version'], {encoding: 'utf8'}).trim(), version);
});

test('check exits with 2 and names line and path for a faulty file', () => {
	const result = spawnSync(binary, ['check', '--json', 'package.json'], {encoding: 'utf8'});
	assert.equal(result.status, 2);
	assert.match(result.stdout, /"path":"scripts"/);
});

test('check exits with 3 for a missing file', () => {
	assert.equal(spawnSync(binary, ['check', 'no-such-file.yaml']).status, 3);
});
