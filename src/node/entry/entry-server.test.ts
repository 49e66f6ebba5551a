/* eslint-disable @typescript-eslint/naming-convention -- the published chat completions API uses snake case */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
	bearerHeaders, chatRequestInit, parseEvents, startHarness, parseStreamText,
} from './testing/harness.js';

test('a plain request reaches its upstream, and the response reaches the caller', async t => {
	const {url, deskServers} = await startHarness(t, {
		deskHandlers: [(_req, res, body) => {
			res.writeHead(201, {'x-desk': 'yes'}).end(`got ${body}`);
		}],
	});
	const res = await fetch(`${url}/s/desk/entries/4?class=a`, {method: 'POST', headers: bearerHeaders, body: 'dog'});
	assert.equal(res.status, 201);
	assert.equal(res.headers.get('x-desk'), 'yes');
	assert.equal(await res.text(), 'got dog');
	assert.equal(deskServers[0]!.requests[0]!.url, '/entries/4?class=a');
});

test('a streamed completion ends with its usage and the end marker', async t => {
	const {url} = await startHarness(t);
	const res = await fetch(`${url}/v1/chat/completions`, chatRequestInit({stream: true, stream_options: {include_usage: true}}));
	assert.equal(res.headers.get('content-type'), 'text/event-stream; charset=utf-8');
	const body = await res.text();
	assert.equal(parseStreamText(body), 'Hello world');
	assert.equal(parseEvents(body).at(-1), '[DONE]');
	assert.match(parseEvents(body).at(-2)!, /"completion_tokens":3/);
});

test('a completion that is not streamed is a single JSON document', async t => {
	const {url, services} = await startHarness(t);
	const res = await fetch(`${url}/v1/chat/completions`, chatRequestInit());
	const body = await res.json() as {choices: Array<{message: {content: string}}>; usage: {total_tokens: number}};
	assert.equal(body.choices[0]!.message.content, 'Hello world');
	assert.equal(body.usage.total_tokens, 8);
	assert.deepEqual(services.access.settlements.map(({used}) => used), [8]);
});
