import assert from 'node:assert/strict';
import {setTimeout as sleep} from 'node:timers/promises';
import type {TestContext} from 'node:test';
import type {EntryLimits} from '../types.js';
import {EntryServer} from '../entry-server.js';
import {createFakeServices, testConfiguration} from './services.js';
import type {RequestHandler} from './upstreams.js';
import {startFakeEngine, TestServer} from './upstreams.js';

export type HarnessOptions = {
	readonly profile?: Readonly<Record<string, unknown>>;
	readonly limits?: Partial<EntryLimits>;
	/** Services to share with another harness; new fakes by default. */
	readonly services?: ReturnType<typeof createFakeServices>;
	/** Request handlers of the plain service `desk`; one server is started for each. */
	readonly deskHandlers?: readonly RequestHandler[];
};

/** Starts an entry server, a prefill engine, two decode engines and the servers of the plain service `desk`; all stop with the test. */
export async function startHarness(t: TestContext, options: HarnessOptions = {}) {
	const services = options.services ?? createFakeServices();
	const [prefill, decode1, decode2] = [await startFakeEngine(), await startFakeEngine(), await startFakeEngine()];
	const deskServers: TestServer[] = [];
	for (const handler of options.deskHandlers ?? []) {
		deskServers.push(await TestServer.start(handler));
	}

	const configuration = testConfiguration({
		'prefill-1': {address: prefill.address, role: 'prefill'},
		'decode-1': {address: decode1.address, role: 'decode'},
		'decode-2': {address: decode2.address, role: 'decode'},
		...Object.fromEntries(deskServers.map((desk, i) => [`desk-${i + 1}`, {address: desk.address, role: 'plain' as const}])),
	}, options.profile);
	await services.access.setConfiguration(configuration);
	const entry = new EntryServer(services, {
		host: '127.0.0.1', port: 0, identity: {vm: 'entry-1', incarnation: 7}, zone: 'z1', seed: 1, ...(options.limits && {limits: options.limits}),
	});
	const address = await entry.start();
	t.after(async () => {
		await entry.dispose();
		for (const server of [prefill.server, decode1.server, decode2.server, ...deskServers]) {
			server.close();
		}
	});
	return {
		services, entry, address, url: `http://${address}`, configuration, prefill, decode1, decode2, deskServers,
	};
}

export const bearerHeaders = {authorization: 'Bearer key-a'};

/** Creates the options of a fetch call for a chat completion. */
export function chatRequestInit(fields: Readonly<Record<string, unknown>> = {}, headers: Readonly<Record<string, string>> = bearerHeaders): RequestInit {
	return {
		method: 'POST',
		headers: {'content-type': 'application/json', ...headers},
		body: JSON.stringify({model: 'briefs', messages: [{role: 'user', content: 'Say hello'}], ...fields}),
	};
}

/** Returns the data of the server-sent events in a response body. */
export function parseEvents(body: string): string[] {
	return body.split('\n').filter(line => line.startsWith('data: ')).map(line => line.slice(6));
}

/** Returns the text of a streamed chat completion. */
export function parseStreamText(body: string): string {
	return parseEvents(body).filter(data => data !== '[DONE]').map(data => {
		const {choices} = JSON.parse(data) as {choices?: Array<{delta: {content?: string}}>};
		return choices?.[0]?.delta.content ?? '';
	}).join('');
}

/** Number of polls after which a test fails instead of hanging. */
const maxPolls = 2000;

/** Polls until the condition holds; fails the test if it never does. */
export async function waitUntil(condition: () => boolean): Promise<void> {
	for (let polls = 0; !condition(); polls++) {
		assert.ok(polls < maxPolls, `condition was never met: ${condition.toString()}`);
		await sleep(5);
	}
}
