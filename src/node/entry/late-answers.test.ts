/** End-to-end tests with upstreams that write an answer once more, late, on a connection that is in use again. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {RepeatingWriter} from '../../../fakes/repeating-writer.js';
import {callIdHeader} from '../../common/upstreams/engine-api.js';
import {
	bearerHeaders, chatRequestInit, parseStreamText, startHarness, waitUntil,
} from './testing/harness.js';

/** Number of requests that follow each other, so that the later ones meet copies. */
const requestCount = 6;

for (const repeatsIds of [true, false]) {
	// Guards against a request that goes on from the prompt of the one before it.
	test(`late copies of prefill answers mix no requests, ids ${repeatsIds ? 'repeated' : 'not repeated'}`, async t => {
		const {url, prefill, decode1, decode2, services} = await startHarness(t);
		const writer = new RepeatingWriter();
		prefill.script.overrides.prefill = (res, {requestId}) => {
			const body = JSON.stringify({
				handle: `kv-${requestId}`, promptTokens: 5, cachedTokens: 1, kvBytes: 100, expiresInMs: 800,
			});
			const callId = res.getHeader(callIdHeader) as string;
			res.removeHeader(callIdHeader);
			writer.write(res.req, res, {status: 200, headers: repeatsIds ? {[callIdHeader]: callId} : {}, body});
			return true;
		};

		for (let i = 0; i < requestCount; i++) {
			const res = await fetch(`${url}/v1/chat/completions`, chatRequestInit({stream: true}));
			assert.equal(parseStreamText(await res.text()), 'Hello world');
		}

		const imports = [decode1, decode2].flatMap(({server}) => server.requests).filter(({url}) => url === '/v1/kv/import').map(({body}) => JSON.parse(body) as {requestId: string; handle: string});
		assert.deepEqual(imports.map(({handle}) => handle), imports.map(({requestId}) => `kv-${requestId}`));
		assert.equal(imports.length, requestCount);
		assert.equal(services.metrics.counts.get('prefill_recomputations_total') ?? 0, 0);
		assert.equal(writer.copies > 0, repeatsIds, 'a connection is kept only if ids are repeated');
		await waitUntil(() => [prefill, decode1, decode2].every(({heldRequestIds}) => heldRequestIds.size === 0));
	});

	// Guards against the answer to one tenant that reaches another, and against "not run" for a request that ran.
	test(`late copies of a plain server's answers reach no other caller, ids ${repeatsIds ? 'repeated' : 'not repeated'}`, async t => {
		const writer = new RepeatingWriter();
		const {url} = await startHarness(t, {
			deskHandlers: [(req, res) => {
				writer.write(req, res, {status: 200, headers: repeatsIds ? {'x-request-id': req.headers['x-request-id'] as string} : {}, body: `${req.method} ${req.url}`});
			}],
		});
		for (let i = 0; i < requestCount; i++) {
			for (const [method, path] of [['GET', `/lookup/${i}`], ['POST', `/entries/${i}`]] as const) {
				const res = await fetch(`${url}/s/desk${path}`, {method, headers: {...bearerHeaders, authorization: `Bearer key-${i % 2 ? 'a' : 'b'}`}});
				assert.deepEqual([res.status, await res.text()], [200, `${method} ${path}`]);
				// Lets the connection return to the pool.
				await sleep(2);
			}
		}

		assert.equal(writer.copies > 0, repeatsIds, 'a connection is kept only if ids are repeated');
	});
}
