import {randomUUID} from 'node:crypto';
import type {Socket} from 'node:net';
import {Agent, buildConnector} from 'undici';
import type {Clock} from '../../common/core/clock.js';
import type {Disposable} from '../../common/core/disposable.js';
import {errorContext, UpstreamError} from '../../common/core/errors.js';
import type {Logger} from '../../common/core/log.js';
import {NullLogger} from '../../common/core/log.js';
import type {OrderSendResult} from '../../common/orders/types.js';
import {callIdHeader, orderRefusalSchema, orderStateSchema} from '../../common/upstreams/engine-api.js';
import type {
	CacheEventsReply, LoadReply, OrderRequest, OrderState, RequestList,
} from '../../common/upstreams/engine-api.js';
import {collectBody} from '../upstreams/collect-body.js';
import {EngineAdapter} from '../upstreams/engine-adapter.js';
import type {EngineCallOptions} from '../upstreams/engine-adapter.js';

/** Largest number of engines whose connections are kept. Those of the engine that was called least recently are closed first. */
const maxAdapters = 1024;
/** Maximum time to wait for an engine's response, in milliseconds. A load report that took longer would be too old to be of use. */
const responseTimeoutMs = 1000;

/** Maximum size of the answer to an order, in bytes, without and with all that is not its body: head, interim answers, framing. */
const maxOrderAnswerBytes = 65_536;
const maxOrderReadBytes = 1_048_576;

/** Client of the engine API for schedulers and for the holder of the `orders` lease. */
export class EngineControlClient implements Disposable {
	/** One adapter per address, the one that was used last at the end. Their connections are separate from those that carry model requests, so that neither kind of request waits for the other. */
	private readonly _adapters = new Map<string, EngineAdapter>();

	constructor(private readonly _clock: Clock, private readonly _logger: Logger = new NullLogger()) {}

	/** Fetches the engine's load. Rejects with `UpstreamError` if the call fails, as all methods except `sendOrder` do. */
	async fetchLoad(address: string): Promise<LoadReply> {
		return this._call(address, async (engine, options) => engine.fetchLoad(options));
	}

	async fetchCacheEvents(address: string, after: number): Promise<CacheEventsReply> {
		return this._call(address, async (engine, options) => engine.fetchCacheEvents(after, options));
	}

	async listRequests(address: string): Promise<RequestList> {
		return this._call(address, async (engine, options) => engine.listRequests(options));
	}

	/** Cancels a request on the engine, whatever its phase. Idempotent. */
	async cancelRequest(address: string, requestId: string): Promise<void> {
		await this._call(address, async (engine, options) => engine.cancelOnce(requestId, options));
	}

	async fetchOrderState(address: string): Promise<OrderState> {
		return this._call(address, async (engine, options) => engine.fetchOrderState(options));
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
					const connected = args[1] ?? undefined;
					socket = connected;
					connected?.on('readable', () => {
						if (connected.bytesRead > maxOrderReadBytes) {
							connected.resetAndDestroy();
						}
					});
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
			const callId = randomUUID();
			const {statusCode, headers, body} = await agent.request({
				origin: `http://${address}`, method: 'POST', path: '/v1/orders', body: JSON.stringify(order), headers: {[callIdHeader]: callId}, signal: abort.signal,
			});
			const answerId = headers[callIdHeader] ?? callId;
			if (answerId !== callId) {
				throw new Error(`the answer belongs to call ${String(answerId)}, not ${callId}`);
			}

			const blocks = await collectBody(body, maxOrderAnswerBytes);
			return parseSendResult(statusCode, new TextDecoder().decode(blocks.take()));
		} catch (err) {
			// The order may have reached the engine; the reducer reads its state before it sends another one.
			this._logger.log('warn', 'outcome of an order not known', {engine: address, orderId: order.orderId, err});
			return {kind: 'unknown'};
		} finally {
			clearTimeout(timer);
			await agent.destroy();
		}
	}

	async dispose(): Promise<void> {
		for (const adapter of this._adapters.values()) {
			adapter.destroy();
		}
	}

	private async _call<T>(address: string, perform: (engine: EngineAdapter, options: EngineCallOptions) => Promise<T>): Promise<T> {
		try {
			return await perform(this._adapterFor(address), {timeoutMs: responseTimeoutMs, signal: AbortSignal.timeout(responseTimeoutMs)});
		} catch (err) {
			throw new UpstreamError('call to an engine failed', errorContext({step: 'scheduler.poll', peer: address, cause: err}));
		}
	}

	private _adapterFor(address: string): EngineAdapter {
		const adapter = this._adapters.get(address) ?? new EngineAdapter({name: address, address, zone: ''}, this._clock, this._logger);
		this._adapters.delete(address);
		this._adapters.set(address, adapter);
		if (this._adapters.size > maxAdapters) {
			const [oldestAddress, oldest] = [...this._adapters][0]!;
			oldest.dispose();
			this._adapters.delete(oldestAddress);
		}

		return adapter;
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
