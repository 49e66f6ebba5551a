import assert from 'node:assert/strict';
import {test} from 'node:test';
import {findForwardingInconsistency} from '../configuration/forwarding.js';
import {buildForwarding, buildRoute} from './fixtures.js';
import {chooseTarget, RouteTable} from './route-table.js';

test('a request gets the route of its host with the longest matching path prefix, and hosts are compared without case and port', () => {
	const table = new RouteTable(buildForwarding({
		routes: [
			buildRoute({name: 'all', pathPrefix: '/'}),
			buildRoute({name: 'items', pathPrefix: '/items/'}),
			buildRoute({name: 'elsewhere', host: 'other.example', pathPrefix: '/items/'}),
		],
	}));
	assert.equal(table.match('desk.example', '/items/7?x=/a/')?.name, 'items');
	assert.equal(table.match('DESK.example:80', '/items')?.name, 'all');
	assert.equal(table.match('other.example', '/items/7')?.name, 'elsewhere');
	assert.equal(table.match('other.example', '/'), undefined);
	assert.equal(table.match('unknown.example', '/items/7'), undefined);
});

test('requests are divided among targets in proportion to their weights, and a target of weight 0 gets no requests', () => {
	const route = buildRoute({targets: [{service: 'a', weight: 0}, {service: 'b', weight: 90}, {service: 'c', weight: 10}]});
	const shares = {a: 0, b: 0, c: 0};
	for (let i = 0; i < 1000; i++) {
		shares[chooseTarget(route, i / 1000) as keyof typeof shares]++;
	}

	assert.deepEqual(shares, {a: 0, b: 900, c: 100});
});

test('a forwarding section that contradicts itself is reported as faulty', () => {
	const faultySections = [
		buildForwarding({routes: [buildRoute({targets: [{service: 'ghost', weight: 1}]})]}),
		buildForwarding({routes: [buildRoute(), buildRoute({name: 'twin', host: 'DESK.example'})]}),
		buildForwarding({routes: [buildRoute({targets: [{service: 'desk', weight: 0}]})]}),
		buildForwarding({
			tenants: ['a', 'b'].map(name => ({
				name, keys: ['shared'], unit: 'tokens' as const, defaultCost: 1,
			})),
		}),
	];
	assert.ok(faultySections.every(section => findForwardingInconsistency(section) !== undefined));
	assert.equal(findForwardingInconsistency(buildForwarding()), undefined);
});
