import type {Socket} from 'node:net';
import {Agent, buildConnector, request} from 'undici';
import type {z} from 'zod';
import type {Disposable} from '../../common/core/disposable.js';
import {at, UpstreamError} from '../../common/core/errors.js';
import type {SendResult} from '../../common/orders/types.js';
import {
	cacheEventsReplySchema, loadReplySchema, orderRefusalSchema, orderStateSchema, requestListSchema,
} from '../../common/upstreams/engine-api.js';
import type {
	CacheEventsReply, LoadReply, OrderRequest, OrderState, RequestList,
} from '../../common/upstreams/engine-api.js';

/** Longest wait for an engine's answer, in milliseconds; a load figure older than this is of no use. */
const answerTimeoutMs = 1000;

/** The engine API as schedulers and the holder of the lease `orders` use it. */
export class EngineControlClient implements Disposable {
	/** Separate from the connections that carry requests, so that neither waits for the other. */
	private readonly _agent = new Agent({connections: 2, connect: {timeout: answerTimeoutMs}, keepAliveTimeout: 4000});

	/** Rejects with `UpstreamError`, as all methods. */
	async load(address: string): Promise<LoadReply> {
		return this._get(address, '/v1/load', loadReplySchema);
	}

	async cacheEvents(address: string, after: number): Promise<CacheEventsReply> {
		return this._get(address, `/v1/cache-events?after=${after}`, cacheEventsReplySchema);
	}

	async requests(address: string): Promise<RequestList> {
		return this._get(address, '/v1/requests', requestListSchema);
	}

	/** Frees a request at any phase; may be repeated. */
	async cancel(address: string, requestId: string): Promise<void> {
		await this._call('DELETE', address, `/v1/requests/${encodeURIComponent(requestId)}`);
	}

	async orderState(address: string): Promise<OrderState> {
		return this._get(address, '/v1/orders', orderStateSchema);
	}

	/**
	Sends an order on a connection of its own. When no answer comes in time, the connection is reset: a mere close would leave
	bytes in the kernel's send buffer, from where they could still reach the engine long after.
	*/
	async sendOrder(address: string, order: OrderRequest): Promise<SendResult> {
		const connect = buildConnector({timeout: answerTimeoutMs});
		const abort = new AbortController();
		let socket: Socket | undefined;
		const agent = new Agent({
			connect(options, callback) {
				connect(options, (...args) => {
					socket = args[1] ?? undefined;
					callback(...args);
				});
			},
		});
		const timer = setTimeout(() => {
			// Before the abort, which would close the connection in the ordinary way.
			socket?.resetAndDestroy();
			abort.abort();
		}, answerTimeoutMs);
		try {
			const {statusCode, body} = await request(`http://${address}/v1/orders`, {
				method: 'POST', body: JSON.stringify(order), dispatcher: agent, signal: abort.signal,
			});
			return sendResultOf(statusCode, await body.text());
		} catch {
			return {kind: 'unknown'};
		} finally {
			clearTimeout(timer);
			await agent.destroy();
		}
	}

	async dispose(): Promise<void> {
		await this._agent.destroy();
	}

	private async _get<S extends z.ZodType>(address: string, path: string, schema: S): Promise<z.output<S>> {
		const body = await this._call('GET', address, path);
		const result = schema.safeParse(JSON.parse(body));
		if (!result.success) {
			throw new UpstreamError(`the answer to ${path} does not fit its schema`, at({step: 'scheduler.poll', peer: address, cause: result.error}));
		}

		return result.data;
	}

	private async _call(method: 'GET' | 'DELETE', address: string, path: string): Promise<string> {
		try {
			const {statusCode, body} = await request(`http://${address}${path}`, {method, dispatcher: this._agent, signal: AbortSignal.timeout(answerTimeoutMs)});
			const text = await body.text();
			if (statusCode >= 400) {
				throw new Error(`status ${statusCode}`);
			}

			return text;
		} catch (err) {
			throw new UpstreamError(`${method} ${path} failed`, at({step: 'scheduler.poll', peer: address, cause: err}));
		}
	}
}

/** Throws if the answer does not fit the protocol, so that its meaning is not known. */
function sendResultOf(status: number, text: string): SendResult {
	if (status < 300) {
		return {kind: 'accepted', state: orderStateSchema.parse(JSON.parse(text))};
	}

	if (status >= 500) {
		return {kind: 'unknown'};
	}

	const {code, highest} = orderRefusalSchema.parse(JSON.parse(text));
	return code === 'stale-fencing' && highest !== undefined ? {kind: 'stale', highest} : {kind: 'refused', detail: `status ${status}, ${code}`};
}
