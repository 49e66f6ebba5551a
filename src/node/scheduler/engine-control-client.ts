import type {Socket} from 'node:net';
import {Agent, buildConnector, request} from 'undici';
import type {z} from 'zod';
import type {Disposable} from '../../common/core/disposable.js';
import {errorContext, UpstreamError} from '../../common/core/errors.js';
import type {OrderSendResult} from '../../common/orders/types.js';
import {
	cacheEventsReplySchema, loadReplySchema, orderRefusalSchema, orderStateSchema, requestListSchema,
} from '../../common/upstreams/engine-api.js';
import type {
	CacheEventsReply, LoadReply, OrderRequest, OrderState, RequestList,
} from '../../common/upstreams/engine-api.js';

/** Maximum time to wait for an engine's response, in milliseconds. A load report that took longer would be too old to be of use. */
const responseTimeoutMs = 1000;

/** Client of the engine API for schedulers and for the holder of the `orders` lease. */
export class EngineControlClient implements Disposable {
	/** Connections for control requests, separate from those that carry model requests, so that neither kind of request waits for the other. */
	private readonly _agent = new Agent({connections: 2, connect: {timeout: responseTimeoutMs}, keepAliveTimeout: 4000});

	/** Fetches the engine's load. Rejects with `UpstreamError` if the call fails, as all methods except `sendOrder` do. */
	async fetchLoad(address: string): Promise<LoadReply> {
		return this._get(address, '/v1/load', loadReplySchema);
	}

	async fetchCacheEvents(address: string, after: number): Promise<CacheEventsReply> {
		return this._get(address, `/v1/cache-events?after=${after}`, cacheEventsReplySchema);
	}

	async listRequests(address: string): Promise<RequestList> {
		return this._get(address, '/v1/requests', requestListSchema);
	}

	/** Cancels a request on the engine, whatever its phase. Idempotent. */
	async cancelRequest(address: string, requestId: string): Promise<void> {
		await this._call('DELETE', address, `/v1/requests/${encodeURIComponent(requestId)}`);
	}

	async fetchOrderState(address: string): Promise<OrderState> {
		return this._get(address, '/v1/orders', orderStateSchema);
	}

	/**
	Sends an order on a connection of its own. If no response arrives in time, the connection is reset: an orderly close would
	leave bytes in the kernel's send buffer, and these bytes could still reach the engine much later.
	*/
	async sendOrder(address: string, order: OrderRequest): Promise<OrderSendResult> {
		const connect = buildConnector({timeout: responseTimeoutMs});
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
			// Reset the connection first, because the abort would close it in an orderly way.
			socket?.resetAndDestroy();
			abort.abort();
		}, responseTimeoutMs);
		try {
			const {statusCode, body} = await request(`http://${address}/v1/orders`, {
				method: 'POST', body: JSON.stringify(order), dispatcher: agent, signal: abort.signal,
			});
			return parseSendResult(statusCode, await body.text());
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
			throw new UpstreamError(`the response to ${path} does not match its schema`, errorContext({step: 'scheduler.poll', peer: address, cause: result.error}));
		}

		return result.data;
	}

	private async _call(method: 'GET' | 'DELETE', address: string, path: string): Promise<string> {
		try {
			const {statusCode, body} = await request(`http://${address}${path}`, {method, dispatcher: this._agent, signal: AbortSignal.timeout(responseTimeoutMs)});
			const text = await body.text();
			if (statusCode >= 400) {
				throw new Error(`status ${statusCode}`);
			}

			return text;
		} catch (err) {
			throw new UpstreamError(`${method} ${path} failed`, errorContext({step: 'scheduler.poll', peer: address, cause: err}));
		}
	}
}

/** Converts a response to an `OrderSendResult`. Throws if the response does not follow the protocol, since the outcome is then unknown. */
function parseSendResult(status: number, text: string): OrderSendResult {
	if (status < 300) {
		return {kind: 'accepted', state: orderStateSchema.parse(JSON.parse(text))};
	}

	if (status >= 500) {
		return {kind: 'unknown'};
	}

	const {code, highest} = orderRefusalSchema.parse(JSON.parse(text));
	return code === 'stale-fencing' && highest !== undefined ? {kind: 'stale', highest} : {kind: 'refused', detail: `status ${status}, ${code}`};
}
