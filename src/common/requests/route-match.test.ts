import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {PlainService} from '../configuration/types.js';
import {matchRoute, parseTarget} from './route-match.js';

const service: PlainService = {
	kind: 'plain',
	profile: 'p',
	routes: [
		{
			methods: ['GET'], path: '/', idempotent: true, open: true, cost: 1,
		},
		{
			methods: ['POST'], path: '/entries', idempotent: false, open: false, cost: 2,
		},
		{
			methods: ['GET'], path: '/entries', idempotent: true, open: false, cost: 1,
		},
	],
};

function costOf(method: string, url: string): number | string {
	const target = parseTarget(url);
	if (target.kind === 'ambiguous') {
		return target.kind;
	}

	const result = matchRoute(service, method, target.path);
	return result.kind === 'route' ? result.route.cost + (result.route.open ? 0.5 : 0) : result.kind;
}

test('the route with the longest path prefix that ends at a segment boundary is chosen, and among routes with the same path the one that allows the method', () => {
	assert.equal(costOf('POST', '/s/desk/entries/7?x=1'), 2);
	assert.equal(costOf('GET', '/s/desk/entries'), 1);
	assert.equal(costOf('DELETE', '/s/desk/entries'), 'method-not-allowed');
	assert.equal(costOf('GET', '/s/desk/entriesX'), 1.5);
	assert.equal(costOf('GET', '/s/desk'), 1.5);
});

test('a differently encoded path cannot bypass the checks of a protected route', () => {
	assert.equal(costOf('GET', '/s/desk/%65ntries'), 1);
	assert.equal(costOf('GET', '/s/desk/entries;v=1/7'), 1);
	const ambiguous = ['/s/desk/a/../entries', '/s/desk/a/%2e%2E/entries', '/s/desk//entries', '/s/desk/a%2f..%2fentries', String.raw`/s/desk/a\entries`, '/s/desk/%00', '/s/desk/%zz', '/s/desk/é', '/s/desk/a#b', 'http://h/s/desk/'];
	assert.deepEqual(ambiguous.filter(url => costOf('GET', url) !== 'ambiguous'), []);
});

test('path and query are forwarded to the upstream unchanged', () => {
	const target = parseTarget('/s/desk/%65ntries/?a=%20&b=/../');
	assert.deepEqual(target, {
		kind: 'target', service: 'desk', pathAndQuery: '/%65ntries/?a=%20&b=/../', path: '/entries/',
	});
});
