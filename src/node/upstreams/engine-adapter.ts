import {Buffer} from 'node:buffer';
import {randomUUID} from 'node:crypto';
import {setTimeout as sleep} from 'node:timers/promises';
import type {z} from 'zod';
import type {
	CacheEventsReply, DecodeEvent, DecodeRequest, ImportRequest, LoadReply, OrderRequest, OrderState, PrefillReply, PrefillRequest, RequestList,
} from '../../common/upstreams/engine-api.js';
import {
	cacheEventsReplySchema, callIdHeader, decodeEventSchema, engineErrorSchema, importReplySchema, loadReplySchema, orderStateSchema, prefillReplySchema, requestListSchema,
} from '../../common/upstreams/engine-api.js';
import {CallError} from './call-error.js';
import {collectBody} from './collect-body.js';
import {discardBody} from './connection-pool.js';
import {readEventStream} from './event-stream.js';
import {IdentifyingAdapter} from './identifying-adapter.js';
import type {IdentifiedResponse} from './identifying-adapter.js';
import type {UpstreamCall, UpstreamResponse} from './connection-pool.js';

/** Time without data after which a decode stream counts as broken, in milliseconds. A silent connection must be detected within 2 s. */
export const streamIdleTimeoutMs = 1000;
/** Timeout for the headers of a decode stream, in milliseconds. */
const streamHeadersTimeoutMs = 1000;
/** Timeout for one attempt to cancel a request, and for reading the body of an error reply, in milliseconds. */
const cancelAttemptTimeoutMs = 500;
/** Time after which a cancel is no longer retried, in milliseconds; the scheduler then frees the request when it reclaims requests by owner. */
const cancelTotalTimeoutMs = 10_000;
/** Delay before the first retry of a cancel, in milliseconds. It doubles with each retry, up to `maxCancelRetryDelayMs`. */
const minCancelRetryDelayMs = 50;
/** Longest delay between two attempts of a cancel, in milliseconds. */
const maxCancelRetryDelayMs = 1000;
/** Delay before an acknowledged cancel is repeated, in milliseconds. A call that was aborted on one connection can reach the engine after a cancel on another connection. */
const repeatCancelDelayMs = 300;
/** Interval at which an engine is asked whether it still holds a running prefill, in milliseconds. The sum of this interval and `prefillCheckTimeoutMs` is less than 2 s, within which the loss of a prefill must be detected. */
const prefillCheckIntervalMs = 1000;
/** Timeout for asking an engine whether it still holds a running prefill, in milliseconds. */
const prefillCheckTimeoutMs = 800;
const jsonContentType = ['content-type', 'application/json'];
/** Largest reply of an engine, in bytes. */
const maxReplyBytes = 4_194_304;

export type EngineCallOptions = {
	/** Timeout for the headers and, separately, for the body of the reply, in milliseconds. */
	readonly timeoutMs: number;
	readonly signal?: AbortSignal;
	/** Trace headers as alternating names and values. */
	readonly headers?: readonly string[];
	/** Whether to open a new connection instead of reusing an idle one. */
	readonly isNewConnection?: boolean;
};

export type DecodeStreamOptions = {
	readonly signal: AbortSignal;
	readonly isNewConnection: boolean;
	readonly headers?: readonly string[];
};

/** Client for one engine. `src/common/upstreams/engine-api.ts` defines the API of engines. Failed calls reject with `CallError`. */
export class EngineAdapter extends IdentifyingAdapter {
	protected override readonly _idHeader = callIdHeader;
	protected override readonly _hasOtherIds = false;
	private readonly _destroyController = new AbortController();

	/**
	Runs a prefill. As a prefill may run for seconds without sending data, the engine is asked periodically, on a new
	connection, whether it still holds the request. The call is aborted if the engine no longer holds the request or does not answer.
	*/
	async prefill(req: PrefillRequest, options: EngineCallOptions): Promise<PrefillReply> {
		const lossController = new AbortController();
		const checkTimer = setInterval(async () => {
			if (!await this._hasRequest(req.requestId)) {
				lossController.abort();
			}
		}, prefillCheckIntervalMs);
		const signal = options.signal ? AbortSignal.any([options.signal, lossController.signal]) : lossController.signal;
		try {
			return await this._requestJson('/v1/prefill', prefillReplySchema, {...options, signal}, req);
		} finally {
			clearInterval(checkTimer);
		}
	}

	/** Makes this engine pull a KV cache from the engine that computed it. */
	async importCache(req: ImportRequest, options: EngineCallOptions): Promise<void> {
		await this._requestJson('/v1/kv/import', importReplySchema, options, req);
	}

	/** Yields the numbered events of a decode stream. The stream may end without an end marker; the consumer must check for it. */
	async * decode(req: DecodeRequest, options: DecodeStreamOptions): AsyncGenerator<DecodeEvent, void, void> {
		const response = await this._send({
			method: 'POST',
			path: '/v1/decode',
			headers: [...jsonContentType, ...options.headers ?? []],
			body: JSON.stringify(req),
			headersTimeoutMs: streamHeadersTimeoutMs,
			signal: options.signal,
			isNewConnection: options.isNewConnection,
		}, req.requestId);
		await throwUnlessOk(response);
		for await (const data of readEventStream(response.body, streamIdleTimeoutMs)) {
			yield parseDecodeEvent(data);
		}
	}

	/**
	Frees everything the engine holds for the request. Retries on new connections until the engine acknowledges the cancel;
	returns false if it has not done so within `cancelTotalTimeoutMs`. If calls for the request `mayBeInFlight`, an acknowledged cancel is repeated once after a delay.
	*/
	async cancel(requestId: string, mayBeInFlight: boolean): Promise<boolean> {
		const isAcknowledged = await this._cancelUntilAcknowledged(requestId);
		if (!isAcknowledged || !mayBeInFlight) {
			return isAcknowledged;
		}

		await this._sleep(repeatCancelDelayMs);
		return this._cancelUntilAcknowledged(requestId);
	}

	/** Makes one attempt at a cancel; rejects with `CallError` unless the engine acknowledges it. */
	async cancelOnce(requestId: string, {timeoutMs, signal, isNewConnection = false}: EngineCallOptions): Promise<void> {
		const {status, body} = await this._send({
			method: 'DELETE', path: `/v1/requests/${encodeURIComponent(requestId)}`, headers: [], headersTimeoutMs: timeoutMs, isNewConnection, ...(signal && {signal}),
		}, requestId);
		discardBody(body);
		if (status >= 300 && status !== 404) {
			throw new CallError('error', true, `engine answered with status ${status}`);
		}
	}

	async fetchLoad(options: EngineCallOptions): Promise<LoadReply> {
		return this._requestJson('/v1/load', loadReplySchema, options);
	}

	async listRequests(options: EngineCallOptions): Promise<RequestList> {
		return this._requestJson('/v1/requests', requestListSchema, options);
	}

	async fetchCacheEvents(after: number, options: EngineCallOptions): Promise<CacheEventsReply> {
		return this._requestJson(`/v1/cache-events?after=${after}`, cacheEventsReplySchema, options);
	}

	async submitOrder(order: OrderRequest, options: EngineCallOptions): Promise<void> {
		await this._requestJson('/v1/orders', orderStateSchema, {...options, isNewConnection: true}, order);
	}

	async fetchOrderState(options: EngineCallOptions): Promise<OrderState> {
		return this._requestJson('/v1/orders', orderStateSchema, options);
	}

	override async probe(timeoutMs: number): Promise<boolean> {
		try {
			await this.fetchLoad({timeoutMs, isNewConnection: true});
			return true;
		} catch (err) {
			this._logger.log('debug', 'engine did not answer a probe', {upstream: this.name, err});
			return false;
		}
	}

	/** Closes all connections and stops retrying cancels. */
	override destroy(): void {
		this._destroyController.abort();
		super.destroy();
	}

	private async _sleep(durationMs: number): Promise<void> {
		try {
			await sleep(durationMs, undefined, {signal: this._destroyController.signal});
		} catch {
			// The adapter was destroyed, which ends the delay early.
		}
	}

	private async _cancelUntilAcknowledged(requestId: string): Promise<boolean> {
		let delayMs = minCancelRetryDelayMs;
		for (let elapsedMs = 0; elapsedMs < cancelTotalTimeoutMs && !this._destroyController.signal.aborted; elapsedMs += delayMs + cancelAttemptTimeoutMs) {
			if (await this._tryCancel(requestId, elapsedMs > 0)) {
				return true;
			}

			await this._sleep(delayMs);
			delayMs = Math.min(delayMs * 2, maxCancelRetryDelayMs);
		}

		return false;
	}

	private async _tryCancel(requestId: string, isNewConnection: boolean): Promise<boolean> {
		try {
			await this.cancelOnce(requestId, {timeoutMs: cancelAttemptTimeoutMs, isNewConnection});
			return true;
		} catch (err) {
			this._logger.log('debug', 'cancel not acknowledged', {upstream: this.name, requestId, err});
			return false;
		}
	}

	/** Sends `req` with POST, or a GET request if `req` is undefined, and validates the JSON reply against `schema`. */
	private async _requestJson<S extends z.ZodType>(path: string, schema: S, options: EngineCallOptions, req?: {readonly requestId: string} | OrderRequest): Promise<z.output<S>> {
		const response = await this._call(path, options, req);
		await throwUnlessOk(response);
		const text = await readBody(response, options);
		try {
			return schema.parse(JSON.parse(text));
		} catch (err) {
			throw new CallError('broken', true, `${path}: invalid reply: ${err instanceof Error ? err.message : String(err)}`);
		}
	}

	/** Whether the engine holds the request; false if it does not answer. */
	private async _hasRequest(requestId: string): Promise<boolean> {
		try {
			const {requests} = await this.listRequests({timeoutMs: prefillCheckTimeoutMs, isNewConnection: true});
			return requests.some(request => request.requestId === requestId);
		} catch (err) {
			this._logger.log('debug', 'engine not asked whether it holds a request', {upstream: this.name, requestId, err});
			return false;
		}
	}

	/** All calls may be repeated: a later prefill, import or decode of a request replaces the earlier one, and orders use new connections. */
	private async _send(call: UpstreamCall, requestId?: string): Promise<IdentifiedResponse> {
		const callId = randomUUID();
		return this._exchange({
			...call, callId, isRepeatable: true, logFields: {path: call.path, requestId}, headers: [callIdHeader, callId, ...call.headers],
		});
	}

	private async _call(path: string, options: EngineCallOptions, req?: {readonly requestId: string} | OrderRequest): Promise<IdentifiedResponse> {
		const {timeoutMs, signal, headers = [], isNewConnection = false} = options;
		return this._send({
			method: req === undefined ? 'GET' : 'POST',
			path,
			headers: req === undefined ? [...headers] : [...jsonContentType, ...headers],
			isNewConnection,
			headersTimeoutMs: timeoutMs,
			...(req !== undefined && {body: JSON.stringify(req)}),
			...(signal && {signal}),
		}, req && 'requestId' in req ? req.requestId : undefined);
	}
}

function parseDecodeEvent(data: string): DecodeEvent {
	try {
		return decodeEventSchema.parse(JSON.parse(data));
	} catch (err) {
		throw new CallError('broken', true, `invalid decode event: ${err instanceof Error ? err.message : String(err)}`);
	}
}

async function readBody(response: UpstreamResponse, {timeoutMs}: {readonly timeoutMs: number}): Promise<string> {
	const timer = setTimeout(() => {
		response.body.destroy(new CallError('timeout', true, `reply not complete within ${timeoutMs} ms`));
	}, timeoutMs);
	try {
		const blocks = await collectBody(response.body, maxReplyBytes);
		return new TextDecoder().decode(blocks.take());
	} finally {
		clearTimeout(timer);
	}
}

/** Throws `CallError` for an error status. 429 `full` means that the call did not run; 404 and 410 mean that the engine does not hold the request or cache. */
async function throwUnlessOk(response: IdentifiedResponse): Promise<void> {
	if (response.status < 300) {
		return;
	}

	const text = await readBody(response, {timeoutMs: cancelAttemptTimeoutMs});
	const code = parseErrorCode(text);
	if (response.status === 429 && code === 'full') {
		if (response.isRepeat) {
			throw new CallError('broken', true, 'engine is full, and may have run the call that was sent before');
		}

		throw new CallError('full', true, 'engine is full and did not run the call');
	}

	const isGone = response.status === 404 || response.status === 410;
	throw new CallError(isGone ? 'gone' : 'error', true, `engine answered with status ${response.status} ${code}`);
}

/** Returns the code in an error body, or an empty string if the body is invalid. */
function parseErrorCode(text: string): string {
	try {
		return engineErrorSchema.parse(JSON.parse(text)).code;
	} catch {
		return '';
	}
}
