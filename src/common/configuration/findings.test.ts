import assert from 'node:assert/strict';
import {test} from 'node:test';
import {buildForwarding, buildRoute} from '../forwarding/fixtures.js';
import {findConfigurationFindings} from './findings.js';
import type {FindingContext} from './findings.js';
import type {ForwardCustomer, Forwarding, ForwardService} from './forwarding.js';
import type {SharedConfiguration} from './shared.js';

/** Returns the severity, code and path of each finding about the section. */
function findings(changes: Partial<Forwarding>, tenants: SharedConfiguration['tenants'] = {}, context: FindingContext = {}): string[] {
	return findConfigurationFindings({forwarding: buildForwarding(changes), tenants}, context).map(({severity, code, path}) => `${severity} ${code} ${path}`);
}

const buildCustomer = (changes: Partial<ForwardCustomer> = {}): ForwardCustomer => ({
	name: 'acme', keys: ['key-1'], unit: 'requests', defaultCost: 1, ...changes,
});

function buildEngineService(engine: Partial<NonNullable<ForwardService['engine']>> = {}): ForwardService {
	return {
		name: 'desk', healthPath: '/healthz', maxConnections: 10, engine: {
			slots: 8, cacheTokens: 1000, handleTtlMs: 500, holdTtlMs: 2000, ...engine,
		},
	};
}

test('a sound configuration, and one without a forwarding section, have no findings', () => {
	assert.deepEqual(findings({}), []);
	assert.deepEqual(findConfigurationFindings({tenants: {}}), []);
});

test('entries that no request reaches are found', () => {
	assert.deepEqual(findings({routes: [buildRoute(), buildRoute({name: 'a', host: 'desk example'}), buildRoute({name: 'b', pathPrefix: '/x?y/'})]}), [
		'warning never-matches routes.a', 'warning never-matches routes.b',
	]);
	const ported = [buildRoute({name: 'ported', host: 'Desk.example:80'}), buildRoute({name: 'other', host: 'else.example:80'})];
	assert.deepEqual(findings({routes: [buildRoute(), ...ported]}), ['warning host-with-port routes.ported']);
	const unused = {...buildForwarding().services[0]!, name: 'unused'};
	const idle = {...unused, name: 'idle'};
	assert.deepEqual(findings({
		services: [...buildForwarding().services, unused, idle],
		routes: [buildRoute({targets: [{service: 'desk', weight: 1}, {service: 'idle', weight: 0}, {service: 'desk', weight: 2}]})],
	}), [
		'warning unused-target routes.route', 'warning repeated-target routes.route', 'warning unused-service services.unused', 'warning unused-service services.idle',
	]);
});

test('entries that replace each other, and keys that are never asked for, are found', () => {
	const [service] = buildForwarding().services;
	assert.deepEqual(findings({services: [service!, service!], routes: [buildRoute(), buildRoute({pathPrefix: '/b/'})], tenants: [buildCustomer(), buildCustomer({keys: ['key-2']})]}), [
		'warning duplicate-name routes.route', 'error duplicate-name services.desk', 'error duplicate-name tenants.acme',
	]);
	assert.deepEqual(findings({routes: [buildRoute({isOpen: true})]}), ['warning unneeded-keys tenants.acme']);
	assert.deepEqual(findings({tenants: [buildCustomer({keys: []}), buildCustomer({name: 'b', keys: [' spaced']})]}), [
		'warning customer-without-keys tenants.acme', 'warning unusable-key tenants.b',
	]);
	assert.deepEqual(findings({tenants: []}), ['warning keys-not-required tenants']);
});

test('regions that no zone has, and routes and customers without a common region, are found', () => {
	const customers = [buildCustomer({allowedRegions: ['south']}), buildCustomer({name: 'b', keys: ['key-2'], allowedRegions: ['north', 'south']})];
	const routes = [buildRoute({allowedRegions: ['north']}), buildRoute({name: 'same', pathPrefix: '/same/', allowedRegions: ['north']})];
	assert.deepEqual(findings({routes, tenants: customers}), ['error no-common-region routes.route']);
	assert.deepEqual(findings({routes: routes.map(route => ({...route, isOpen: true})), tenants: customers}).filter(text => text.includes('region')), [], 'an open route has no customers');
	const context = {knownRegions: new Set(['north'])};
	assert.deepEqual(findings({routes, tenants: customers}, {}, context), [
		'error no-known-region tenants.acme', 'warning unknown-region tenants.b', 'error no-common-region routes.route',
	]);
	assert.deepEqual(findings({routes: [buildRoute({allowedRegions: []})]}), ['error no-region routes.route']);
});

test('limits that contradict each other are found', () => {
	const route = buildRoute({
		targetMs: 2000, targetGapMs: 5, isResumable: true, repeat: 'unsafe', maxAttempts: 2,
	});
	assert.deepEqual(findings({routes: [route]}), [
		'warning target-beyond-timeout routes.route', 'warning gap-without-stream routes.route', 'warning resumable-without-stream routes.route', 'warning attempts-of-unsafe routes.route',
	]);
	assert.deepEqual(findings({routes: [buildRoute({repeat: 'stream', isResumable: true})]}), ['warning resumable-without-attempts routes.route']);
	const limit = {rate: 1, burst: 150, weight: 1};
	assert.deepEqual(findings({}, {acme: limit}), ['warning burst-below-request tenants.acme']);
	assert.deepEqual(findings({tenants: [buildCustomer()]}, {acme: limit}), []);
	assert.deepEqual(findings({services: [buildEngineService({holdTtlMs: 90, handleTtlMs: 99})]}), ['warning hold-below-target services.desk', 'note handle-below-target services.desk']);
	assert.deepEqual(findings({services: [buildEngineService()]}), []);
	assert.deepEqual(findings({
		limits: {
			headerBytes: 1, bodyBytes: 1, headersTimeoutMs: 3000, idleTimeoutMs: 2999,
		},
	}), ['warning headers-beyond-idle limits']);
});

test('no message quotes a key', () => {
	const result = findConfigurationFindings({forwarding: buildForwarding({tenants: [buildCustomer({keys: ['secret ']}), buildCustomer({keys: ['secret-2']})]}), tenants: {}});
	assert.ok(result.length > 0);
	assert.doesNotMatch(JSON.stringify(result), /secret/);
});
