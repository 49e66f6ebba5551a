import assert from 'node:assert/strict';
import {test} from 'node:test';
import {buildForwarding, buildRoute} from '../forwarding/fixtures.js';
import {findChanges} from './changes.js';
import type {Forwarding} from './forwarding.js';
import type {SharedConfiguration} from './shared.js';

function build(changes: Partial<Forwarding> = {}, tenants: SharedConfiguration['tenants'] = {}): SharedConfiguration {
	return {
		profiles: {}, services: {}, upstreams: {}, tenants, forwarding: buildForwarding(changes),
	};
}

test('a configuration does not differ from itself, whatever the order of its entries and of their fields', () => {
	const [first, second] = [buildRoute(), buildRoute({name: 'b', pathPrefix: '/b/'})];
	const reversed = Object.fromEntries(Object.entries(first).reverse()) as typeof first;
	assert.deepEqual(findChanges(build({routes: [first, second]}), build({routes: [second, reversed]})), []);
});

test('changes are grouped by section, with the old and the new value of each changed field', () => {
	const before = build({routes: [buildRoute({name: 'gone'}), buildRoute({name: 'kept', pathPrefix: '/kept/'})]}, {acme: {rate: 10, burst: 20, weight: 1}});
	const after = build({
		routes: [buildRoute({name: 'new'}), buildRoute({
			name: 'kept', pathPrefix: '/kept/', timeoutMs: 2000, allowedRegions: ['north'],
		})],
		limits: {...buildForwarding().limits, bodyBytes: 1},
	}, {acme: {rate: 10, burst: 30, weight: 1}});
	assert.deepEqual(findChanges(before, after).map(({section, name, kind, fields}) => [section, name, kind, ...fields.map(field => [field.field, field.before, field.after])]), [
		['routes', 'gone', 'removed'],
		['routes', 'kept', 'changed', ['timeoutMs', 1000, 2000], ['allowedRegions', undefined, ['north']]],
		['routes', 'new', 'added'],
		['tenants', 'acme', 'changed', ['burst', 20, 30]],
		['limits', '', 'changed', ['bodyBytes', 65_536, 1]],
	]);
});

test('of keys only their number is told', () => {
	const customers = (keys: string[]) => build({
		tenants: [{
			name: 'acme', keys, unit: 'requests', defaultCost: 1,
		}],
	});
	const changes = findChanges(customers(['secret-1', 'secret-2']), customers(['secret-2', 'secret-3', 'secret-4']));
	assert.deepEqual(changes, [{
		section: 'tenants', name: 'acme', kind: 'changed', fields: [{field: 'keys', before: '2 keys', after: '3 keys (2 added, 1 withdrawn)'}],
	}]);
	assert.doesNotMatch(JSON.stringify([...findChanges(build(), customers(['secret-1'])), ...findChanges(customers(['secret-1']), build({tenants: []}))]), /secret/);
});

test('a forwarding section that is new or gone counts as its entries', () => {
	const empty: SharedConfiguration = {
		profiles: {}, services: {}, upstreams: {}, tenants: {},
	};
	assert.deepEqual(findChanges(empty, build()).map(({section, name, kind}) => `${kind} ${section}.${name}`), ['added routes.route', 'added services.desk', 'added tenants.acme', 'added limits.']);
	assert.ok(findChanges(build(), empty).every(({kind}) => kind === 'removed'));
});
