/* eslint-disable @typescript-eslint/naming-convention -- the published form of chat completions has snake case */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
	bearer, chatInit, eventsOf, startHarness, textOf,
} from './testing/harness.js';

test('a plain request reaches its upstream and the answer comes back', async t => {
	const {url, desks} = await startHarness(t, {
		desks: [(_req, res, body) => {
			res.writeHead(201, {'x-desk': 'yes'}).end(`got ${body}`);
		}],
	});
	const res = await fetch(`${url}/s/desk/entries/4?class=a`, {method: 'POST', headers: bearer, body: 'dog'});
	assert.equal(res.status, 201);
	assert.equal(res.headers.get('x-desk'), 'yes');
	assert.equal(await res.text(), 'got dog');
	assert.equal(desks[0]!.requests[0]!.url, '/entries/4?class=a');
});

test('a streamed answer ends with its end marker and usage', async t => {
	const {url} = await startHarness(t);
	const res = await fetch(`${url}/v1/chat/completions`, chatInit({stream: true, stream_options: {include_usage: true}}));
	assert.equal(res.headers.get('content-type'), 'text/event-stream; charset=utf-8');
	const body = await res.text();
	assert.equal(textOf(body), 'Hello world');
	assert.equal(eventsOf(body).at(-1), '[DONE]');
	assert.match(eventsOf(body).at(-2)!, /"completion_tokens":3/);
});

test('an answer that is not streamed is one document', async t => {
	const {url, services} = await startHarness(t);
	const res = await fetch(`${url}/v1/chat/completions`, chatInit());
	const body = await res.json() as {choices: Array<{message: {content: string}}>; usage: {total_tokens: number}};
	assert.equal(body.choices[0]!.message.content, 'Hello world');
	assert.equal(body.usage.total_tokens, 8);
	assert.deepEqual(services.access.settlements.map(({used}) => used), [8]);
});
