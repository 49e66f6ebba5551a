import assert from 'node:assert/strict';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {test} from 'node:test';
import {buildForwarding, buildRoute} from '../common/forwarding/fixtures.js';
import {checkFiles, exitCodeOf} from './check.js';
import {OwnCheckFormat} from './check-format.js';

test('the forwarding section of a configuration in the product\'s own format is checked, and the file is compared with another one', async t => {
	const folder = mkdtempSync(path.join(tmpdir(), 'check-'));
	t.after(() => {
		rmSync(folder, {recursive: true});
	});
	const write = (name: string, rate: string, timeoutMs: number) => {
		const file = path.join(folder, name);
		// JSON is YAML, too.
		writeFileSync(file, JSON.stringify({
			profiles: {}, services: {}, upstreams: {}, tenants: {acme: {rate, burst: 500}}, forwarding: buildForwarding({routes: [buildRoute({timeoutMs, allowedRegions: ['north']})]}),
		}));
		return file;
	};

	const [report] = await checkFiles([write('new.yaml', '20 tokens/s', 50)], {against: write('old.yaml', '10 tokens/s', 1000), regions: ['south']}, new OwnCheckFormat());
	assert.deepEqual(report!.issues, []);
	assert.deepEqual(report!.findings.map(({code}) => code), ['target-beyond-timeout', 'no-known-region']);
	assert.deepEqual(report!.changes!.map(({section, name, fields}) => [section, name, fields[0]!.field]), [['routes', 'route', 'timeoutMs'], ['tenants', 'acme', 'rate']]);
	assert.equal(exitCodeOf([report!], false), 2);
});
