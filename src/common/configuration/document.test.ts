import assert from 'node:assert/strict';
import {test} from 'node:test';
import {checkDocument} from './document.js';
import {settingsSchema} from './settings.js';
import {sharedConfigurationSchema} from './shared.js';

const document = `profiles:
  batch: {maxWait: 5s, latency: {firstToken: 2s}}
tenants:
  kennel-club: {rate: 2000 tokens/s, burst: 8000}
services:
  dossiers: {kind: model, profile: batch, model: dossier-7b}
upstreams:
  engine-1: {service: dossiers, address: 127.0.0.1:9001, zone: et-central-1a, role: prefill}
`;

test('quantities with units are converted to numbers, and absent settings get their defaults', () => {
	const result = checkDocument(document, sharedConfigurationSchema);
	assert.ok(result.ok);
	assert.equal(result.value.profiles.batch?.maxWait, 5000);
	assert.equal(result.value.profiles.batch?.latency.betweenTokens, 69);
	assert.equal(result.value.tenants['kennel-club']?.rate, 2000);
	assert.equal(result.value.upstreams['engine-1']?.linkRate, 1e10);
});

test('an unknown key, a missing unit and a reference to a profile that does not exist are each reported with line and path', () => {
	const faulty = document.replace('maxWait: 5s', 'maxWait: 5').replace('profile: batch,', 'profile: other, colour: red,');
	const result = checkDocument(faulty, sharedConfigurationSchema);
	assert.ok(!result.ok);
	assert.deepEqual(result.issues.map(({line, path}) => [line, path]), [[2, 'profiles.batch.maxWait'], [6, 'services.dossiers.colour']]);
	const dangling = checkDocument(document.replace('profile: batch,', 'profile: other,'), sharedConfigurationSchema);
	assert.ok(!dangling.ok);
	assert.deepEqual(dangling.issues, [{line: 6, path: 'services.dossiers.profile', message: 'profile "other" does not exist'}]);
});

test('a duplicate key is reported with its line', () => {
	const result = checkDocument(document + 'tenants: {}\n', sharedConfigurationSchema);
	assert.ok(!result.ok);
	assert.equal(result.issues[0]?.line, 9);
});

test('settings with the control role but without a data folder are rejected', () => {
	const result = checkDocument(`cluster: demo
clusterKey: 0123456789abcdef
vm: control-1
zone: z1
region: r1
roles: [control]
listen: {peers: 127.0.0.1:7000, operators: 127.0.0.1:7001}
operatorToken: 0123456789abcdef
control: [{vm: control-1, address: 127.0.0.1:7000}]
`, settingsSchema);
	assert.ok(!result.ok);
	assert.equal(result.issues[0]?.path, 'dataFolder');
});
