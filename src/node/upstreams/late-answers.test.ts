/** Tests with upstreams that write an answer once more, late, at each kind of call of the project's own interface. */
import assert from 'node:assert/strict';
import {text} from 'node:stream/consumers';
import {setTimeout as sleep} from 'node:timers/promises';
import {test} from 'node:test';
import type {TestContext} from 'node:test';
import {RepeatingWriter} from '../../../fakes/repeating-writer.js';
import {ManualClock} from '../../common/core/clock.js';
import {callIdHeader} from '../../common/upstreams/engine-api.js';
import {sendJson, TestServer} from '../entry/testing/upstreams.js';
import {EngineControlClient} from '../scheduler/engine-control-client.js';
import {EngineAdapter} from './engine-adapter.js';
import {PlainAdapter} from './plain-adapter.js';

/** Timeout of calls that are answered, in milliseconds. Long, since only a failing test waits for it. */
const timeoutMs = 10_000;
const owner = {vm: 'v', incarnation: 1};
const callsPerConnection = 4;

type Stutter = Partial<Pick<RepeatingWriter, 'delayMs' | 'copiesInRow' | 'isBehind' | 'missingBytes' | 'isClosing'>> & {
	/** Time for which the connection rests between calls, in milliseconds. */
	readonly restMs?: number;
	/** Time that the server takes for an answer, in milliseconds. */
	readonly serviceMs?: number;
};

const stutters: Readonly<Record<string, Stutter>> = {
	'with the answer that is due': {},
	'before the answer that is due': {delayMs: 10},
	'after the connection has rested': {delayMs: 10, restMs: 200},
	'several in a row': {copiesInRow: 3},
	'right behind its answer': {isBehind: true},
	'behind its answer, while the next call waits': {isBehind: true, delayMs: 10, serviceMs: 20},
	'cut short, followed by the answer that is due': {missingBytes: 5},
	'cut short, followed by the end of the connection': {missingBytes: 5, isClosing: true, delayMs: 10},
};

/** Answers so that each answer shows to which call it belongs: calls with an even number are refused where the content does not tell. */
class StutteringServer {
	readonly writer = new RepeatingWriter();
	readonly held = new Set<string>();
	isHealthy = true;
	server!: TestServer;
	private _calls = 0;

	constructor(private readonly _stutter: Stutter, private readonly _repeatsIds: boolean) {
		const {restMs, serviceMs, ...fields} = _stutter;
		Object.assign(this.writer, fields);
	}

	get address(): string {
		return this.server.address;
	}

	/** Number of the last call that was received. */
	get calls(): number {
		return this._calls;
	}

	async start(): Promise<void> {
		this.server = await TestServer.start(async (req, res, body) => {
			this._calls++;
			const answer = this._answerTo(req.method!, req.url!, body);
			await sleep(this._stutter.serviceMs ?? 0);
			const ids = this._repeatsIds ? ['x-call-id', 'x-request-id'].filter(name => req.headers[name] !== undefined) : [];
			this.writer.write(req, res, {...answer, headers: Object.fromEntries(ids.map(name => [name, req.headers[name] as string]))});
		});
	}

	private _answerTo(method: string, url: string, body: string): {status: number; body: string} {
		const {requestId = '', after = 0, orderId = ''} = (body === '' ? {} : JSON.parse(body)) as {requestId?: string; after?: number; orderId?: string};
		const isEven = Number(/\d+$/.exec(requestId + orderId)?.[0] ?? 1) % 2 === 0;
		const n = this._calls;
		const ok = (content: unknown) => ({status: 200, body: JSON.stringify(content)});
		const state = {
			highestFencing: n, models: [], adapters: [], role: 'both', loading: false,
		};
		switch (`${method} ${url.split('?')[0]}`) {
			case 'POST /v1/prefill': {
				return ok({
					handle: `kv-${requestId}`, promptTokens: 5, cachedTokens: 1, kvBytes: 100, expiresInMs: 800,
				});
			}

			case 'POST /v1/kv/import': {
				return isEven ? {status: 502, body: '{"code":"transfer-failed"}'} : ok({importedBytes: 1});
			}

			case 'POST /v1/decode': {
				return {status: 200, body: `data: ${JSON.stringify({requestId, n: after + 1, text: requestId})}\n\n`};
			}

			case 'GET /v1/load': {
				const load = {
					ageMs: 1, queuedPrefillTokens: n, activeDecodes: 3, slots: 4, freeBlocks: 5, totalBlocks: 6, leaving: false,
				};
				return {...ok(load), status: this.isHealthy ? 200 : 500};
			}

			case 'GET /v1/requests': {
				return ok({
					requests: [{
						requestId: String(n), owner, phase: 'prefill', kvBlocks: 1, ageMs: 1,
					}],
				});
			}

			case 'GET /v1/cache-events': {
				return ok({events: [], last: n});
			}

			case 'POST /v1/orders': {
				return isEven ? {status: 409, body: '{"code":"stale-fencing","highest":9}'} : {status: 202, body: JSON.stringify(state)};
			}

			case 'GET /v1/orders': {
				return ok(state);
			}

			default: {
				return method === 'DELETE' ? this._cancel(url.split('/').at(-1)!) : {status: this.isHealthy ? 200 : 500, body: url};
			}
		}
	}

	/** Answers the first call to cancel an even request with an error. */
	private _cancel(requestId: string): {status: number; body: string} {
		const isFirst = this.held.has(`${requestId}?`);
		this.held.delete(`${requestId}?`);
		if (isFirst && Number(requestId) % 2 === 0) {
			return {status: 500, body: ''};
		}

		this.held.delete(requestId);
		return {status: 204, body: ''};
	}
}

type Clients = {readonly server: StutteringServer; readonly engine: EngineAdapter; readonly control: EngineControlClient; readonly plain: PlainAdapter};

async function didResolve(promise: Promise<unknown>): Promise<boolean> {
	try {
		await promise;
		return true;
	} catch {
		return false;
	}
}

async function sendPlain({plain}: Clients, method: 'GET' | 'POST', n: number): Promise<string> {
	const requestId = `r${n}`;
	const {body} = await plain.send({
		method, path: `/${n}`, headers: ['x-request-id', requestId], headersTimeoutMs: timeoutMs, requestId, isIdempotent: method === 'GET',
	});
	return text(body);
}

async function decodeTexts({engine}: Clients, requestId: string, after: number): Promise<string> {
	const texts: string[] = [];
	for await (const event of engine.decode({
		requestId, owner, maxTokens: 9, after,
	}, {signal: new AbortController().signal, isNewConnection: after > 0})) {
		texts.push(`${event.requestId} ${event.n}`);
	}

	return texts.join(',');
}

/** Calls that may be repeated, or whose connection carries no other call, so that they succeed in spite of copies. Each makes call `n` and returns what it got, and what it had to get. */
const calls: Readonly<Record<string, (clients: Clients, n: number) => Promise<readonly [got: unknown, wanted: unknown]>>> = {
	async prefill({engine}, n) {
		const {handle} = await engine.prefill({
			requestId: `${n}`, owner, model: 'm', prompt: 'p', priority: 5,
		}, {timeoutMs});
		return [handle, `kv-${n}`];
	},
	async 'KV import'({engine}, n) {
		const isImported = await didResolve(engine.importCache({
			requestId: `${n}`, owner, source: 's', handle: 'h',
		}, {timeoutMs}));
		return [isImported, n % 2 === 1];
	},
	async decode(clients, n) {
		return [await decodeTexts(clients, `${n}`, 0), `${n} 1`];
	},
	async 'resumed decode'(clients, n) {
		return [await decodeTexts(clients, '1', n), `1 ${n + 1}`];
	},
	async cancel({engine, server}, n) {
		server.held.add(`${n}`).add(`${n}?`);
		const isAcknowledged = await engine.cancel(`${n}`, false);
		return [isAcknowledged && server.held.has(`${n}`), false];
	},
	async load({engine, server}) {
		const {queuedPrefillTokens} = await engine.fetchLoad({timeoutMs});
		return [queuedPrefillTokens, server.calls];
	},
	async 'requests list'({engine, server}) {
		const {requests} = await engine.listRequests({timeoutMs});
		return [requests[0]!.requestId, String(server.calls)];
	},
	async 'cache events'({engine, server}) {
		const {last} = await engine.fetchCacheEvents(0, {timeoutMs});
		return [last, server.calls];
	},
	async 'order state'({engine, server}) {
		const {highestFencing} = await engine.fetchOrderState({timeoutMs});
		return [highestFencing, server.calls];
	},
	async order({engine}, n) {
		return [await didResolve(engine.submitOrder({orderId: `${n}`, fencing: 1, order: {kind: 'set-role', role: 'both'}}, {timeoutMs})), n % 2 === 1];
	},
	async 'engine probe'({engine, server}, n) {
		server.isHealthy = n % 2 === 1;
		return [await engine.probe(timeoutMs), server.isHealthy];
	},
	async 'scheduler\'s load'({control, server}) {
		const {queuedPrefillTokens} = await control.fetchLoad(server.address);
		return [queuedPrefillTokens, server.calls];
	},
	async 'scheduler\'s requests list'({control, server}) {
		const {requests} = await control.listRequests(server.address);
		return [requests[0]!.requestId, String(server.calls)];
	},
	async 'scheduler\'s cache events'({control, server}) {
		const {last} = await control.fetchCacheEvents(server.address, 0);
		return [last, server.calls];
	},
	async 'scheduler\'s order state'({control, server}) {
		const {highestFencing} = await control.fetchOrderState(server.address);
		return [highestFencing, server.calls];
	},
	async 'scheduler\'s cancel'({control, server}, n) {
		server.held.add(`${n}`).add(`${n}?`);
		const isAcknowledged = await didResolve(control.cancelRequest(server.address, `${n}`));
		return [isAcknowledged && server.held.has(`${n}`), false];
	},
	async 'scheduler\'s order'({control, server}, n) {
		const {kind} = await control.sendOrder(server.address, {orderId: `${n}`, fencing: 1, order: {kind: 'set-role', role: 'both'}});
		return [kind, n % 2 === 1 ? 'accepted' : 'stale'];
	},
	async 'idempotent plain call'(clients, n) {
		return [await sendPlain(clients, 'GET', n), `/${n}`];
	},
	async 'plain call that must not run twice'(clients, n) {
		return [await sendPlain(clients, 'POST', n), `/${n}`];
	},
	async 'plain probe'({plain, server}, n) {
		server.isHealthy = n % 2 === 1;
		return [await plain.probe(timeoutMs), server.isHealthy];
	},
};

/** Makes calls of one kind in turn and checks that none gets the answer to another. A call that fails counts as one that may have run; only behind a copy that is cut short may it fail. */
async function playStutter(t: TestContext, kind: string, stutter: Stutter, repeatsIds: boolean): Promise<void> {
	const server = new StutteringServer(stutter, repeatsIds);
	await server.start();
	const clock = new ManualClock();
	const options = {name: 'u', address: server.address, zone: 'z'};
	const clients = {
		server, engine: new EngineAdapter(options, clock), plain: new PlainAdapter(options, clock), control: new EngineControlClient(clock),
	};
	t.after(async () => {
		clients.engine.destroy();
		clients.plain.destroy();
		await clients.control.dispose();
		server.server.close();
	});
	for (let n = 1; n <= callsPerConnection; n++) {
		try {
			const [got, wanted] = await calls[kind]!(clients, n);
			assert.deepEqual(got, wanted, `call ${n}`);
		} catch (err) {
			const {mayHaveBeenSent = true} = err as {mayHaveBeenSent?: boolean};
			assert.ok(!(err instanceof assert.AssertionError) && stutter.missingBytes !== undefined && mayHaveBeenSent, `call ${n}: ${String(err)}`);
		}

		clock.advance(stutter.restMs ?? 0);
		// Lets the connection return to the pool.
		await sleep(2);
	}
}

for (const kind of Object.keys(calls)) {
	for (const repeatsIds of [true, false]) {
		// Guards against the answer to one call that is taken for the answer to the next one on its connection.
		test(`${kind}: a late copy of an answer is not taken for the answer to another call, ${repeatsIds ? 'ids repeated' : 'no ids'}`, async t => {
			const results = await Promise.allSettled(Object.values(stutters).map(async stutter => playStutter(t, kind, stutter, repeatsIds)));
			const failures = results.flatMap((result, i) => result.status === 'rejected' ? [`${Object.keys(stutters)[i]}: ${String(result.reason).slice(0, 200)}`] : []);
			assert.deepEqual(failures, []);
		});
	}
}

// Guards against an order that counts as carried out because of what was said to another one.
test('the outcome of an order whose answer bears another id is not known', async t => {
	const server = await TestServer.start((_req, res) => {
		res.setHeader(callIdHeader, 'other');
		sendJson(res, 202, {
			highestFencing: 1, models: [], adapters: [], role: 'both', loading: false,
		});
	});
	const control = new EngineControlClient(new ManualClock());
	t.after(async () => {
		await control.dispose();
		server.close();
	});
	assert.deepEqual(await control.sendOrder(server.address, {orderId: 'o', fencing: 1, order: {kind: 'set-role', role: 'both'}}), {kind: 'unknown'});
});
