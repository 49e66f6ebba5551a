import {Buffer} from 'node:buffer';
import {setTimeout as sleep} from 'node:timers/promises';
import type {z} from 'zod';
import type {
	CacheEventsReply, DecodeEvent, DecodeRequest, ImportRequest, LoadReply, OrderRequest, OrderState, PrefillReply, PrefillRequest, RequestList,
} from '../../common/upstreams/engine-api.js';
import {
	cacheEventsReplySchema, decodeEventSchema, engineErrorSchema, importReplySchema, loadReplySchema, orderStateSchema, prefillReplySchema, requestListSchema,
} from '../../common/upstreams/engine-api.js';
import {CallError} from './call-error.js';
import {readEventStream} from './event-stream.js';
import {UpstreamAdapter} from './upstream-adapter.js';
import type {Answer} from './connection-pool.js';

/** A decode stream without a byte for this long counts as broken; the design detects silent connections within 2 s. */
export const streamSilenceMs = 1000;
/** Bound on the time until a decode stream's headers arrive. */
const streamOpenMs = 1000;
/** Bound on one attempt to cancel. */
const cancelAttemptMs = 500;
/** Bound on cancelling; behind it the scheduler's reclamation by owner frees the request. */
const cancelBoundMs = 10_000;
const firstCancelRetryMs = 50;
const maxCancelRetryMs = 1000;
/** A call given up on one connection can reach the engine after a cancel on another; the cancel is repeated behind it. */
const confirmCancelMs = 300;
/** How often an engine is asked about a prefill that has not ended; with the bound on the question, a loss is found within 2 s. */
const watchEveryMs = 1000;
const watchTimeoutMs = 800;
const jsonType = ['content-type', 'application/json'];
/** Largest JSON answer of an engine, in bytes. */
const maxReplyBytes = 4_194_304;

export type CallOptions = {
	readonly timeoutMs: number;
	readonly signal?: AbortSignal;
	/** Trace headers, names and values in turn. */
	readonly headers?: readonly string[];
	readonly isNewConnection?: boolean;
};

export type StreamOptions = {
	readonly signal: AbortSignal;
	readonly isNewConnection: boolean;
	readonly headers?: readonly string[];
};

/** Client of one engine, as `src/common/upstreams/engine-api.ts` describes it. Every call rejects with `CallError`. */
export class EngineAdapter extends UpstreamAdapter {
	private readonly _destroyed = new AbortController();

	/**
	A prefill takes long and sends nothing meanwhile. To tell a long prefill from a silent connection, the engine is asked on
	a new connection whether it holds the request; if it does not, the call has failed.
	*/
	async prefill(req: PrefillRequest, options: CallOptions): Promise<PrefillReply> {
		const lost = new AbortController();
		const watch = setInterval(async () => {
			if (!await this._holds(req.requestId)) {
				lost.abort();
			}
		}, watchEveryMs);
		const signal = options.signal ? AbortSignal.any([options.signal, lost.signal]) : lost.signal;
		try {
			return await this._json('/v1/prefill', prefillReplySchema, {...options, signal}, req);
		} finally {
			clearInterval(watch);
		}
	}

	/** Makes this engine pull the KV cache from the engine that made it. */
	async importCache(req: ImportRequest, options: CallOptions): Promise<void> {
		await this._json('/v1/kv/import', importReplySchema, options, req);
	}

	/** Yields the numbered events; the stream may end without an end marker, which the consumer has to check. */
	async * decode(req: DecodeRequest, options: StreamOptions): AsyncGenerator<DecodeEvent, void, void> {
		const answer = await this._pool.call({
			method: 'POST',
			path: '/v1/decode',
			headers: [...jsonType, ...options.headers ?? []],
			body: JSON.stringify(req),
			headersTimeoutMs: streamOpenMs,
			signal: options.signal,
			isNewConnection: options.isNewConnection,
		});
		await throwUnlessOk(answer);
		for await (const data of readEventStream(answer.body, streamSilenceMs)) {
			yield parseEvent(data);
		}
	}

	/**
	Frees whatever the engine holds for the request; retried on new connections until the engine acknowledges.
	Returns whether it did within the bound. `inDoubt` repeats the cancel once for calls that may still be under way.
	*/
	async cancel(requestId: string, inDoubt: boolean): Promise<boolean> {
		const isAcknowledged = await this._cancelUntilAcknowledged(requestId);
		if (!isAcknowledged || !inDoubt) {
			return isAcknowledged;
		}

		await this._pause(confirmCancelMs);
		return this._cancelUntilAcknowledged(requestId);
	}

	async load(options: CallOptions): Promise<LoadReply> {
		return this._json('/v1/load', loadReplySchema, options);
	}

	async requests(options: CallOptions): Promise<RequestList> {
		return this._json('/v1/requests', requestListSchema, options);
	}

	async cacheEvents(after: number, options: CallOptions): Promise<CacheEventsReply> {
		return this._json(`/v1/cache-events?after=${after}`, cacheEventsReplySchema, options);
	}

	async submitOrder(order: OrderRequest, options: CallOptions): Promise<void> {
		const answer = await this._send('/v1/orders', options, order);
		await throwUnlessOk(answer);
		await readAll(answer, options);
	}

	async orderState(options: CallOptions): Promise<OrderState> {
		return this._json('/v1/orders', orderStateSchema, options);
	}

	override async probe(timeoutMs: number): Promise<boolean> {
		try {
			await this.load({timeoutMs});
			return true;
		} catch {
			return false;
		}
	}

	/** Ends cancels under way, too. */
	override destroy(): void {
		this._destroyed.abort();
		super.destroy();
	}

	private async _pause(durationMs: number): Promise<void> {
		try {
			await sleep(durationMs, undefined, {signal: this._destroyed.signal});
		} catch {
			// The adapter is being destroyed.
		}
	}

	private async _cancelUntilAcknowledged(requestId: string): Promise<boolean> {
		let delayMs = firstCancelRetryMs;
		for (let spentMs = 0; spentMs < cancelBoundMs && !this._destroyed.signal.aborted; spentMs += delayMs + cancelAttemptMs) {
			if (await this._tryCancel(requestId, spentMs > 0)) {
				return true;
			}

			await this._pause(delayMs);
			delayMs = Math.min(delayMs * 2, maxCancelRetryMs);
		}

		return false;
	}

	private async _tryCancel(requestId: string, isNewConnection: boolean): Promise<boolean> {
		try {
			const {status, body} = await this._pool.call({
				method: 'DELETE', path: `/v1/requests/${encodeURIComponent(requestId)}`, headers: [], headersTimeoutMs: cancelAttemptMs, isNewConnection,
			});
			body.resume();
			return status < 300 || status === 404;
		} catch {
			return false;
		}
	}

	/** Posts `req` or, without one, gets. */
	private async _json<S extends z.ZodType>(path: string, schema: S, options: CallOptions, req?: unknown): Promise<z.output<S>> {
		const answer = await this._send(path, options, req);
		await throwUnlessOk(answer);
		const text = await readAll(answer, options);
		try {
			return schema.parse(JSON.parse(text));
		} catch (err) {
			throw new CallError('broken', true, `${path}: the answer is not valid: ${err instanceof Error ? err.message : String(err)}`);
		}
	}

	/** Whether the engine knows the request; an engine that does not answer counts as not knowing it. */
	private async _holds(requestId: string): Promise<boolean> {
		try {
			const {requests} = await this.requests({timeoutMs: watchTimeoutMs, isNewConnection: true});
			return requests.some(request => request.requestId === requestId);
		} catch {
			return false;
		}
	}

	private async _send(path: string, options: CallOptions, req?: unknown): Promise<Answer> {
		const {timeoutMs, signal, headers = [], isNewConnection = false} = options;
		return this._pool.call({
			method: req === undefined ? 'GET' : 'POST',
			path,
			headers: req === undefined ? [...headers] : [...jsonType, ...headers],
			isNewConnection,
			headersTimeoutMs: timeoutMs,
			...(req !== undefined && {body: JSON.stringify(req)}),
			...(signal && {signal}),
		});
	}
}

function parseEvent(data: string): DecodeEvent {
	try {
		return decodeEventSchema.parse(JSON.parse(data));
	} catch (err) {
		throw new CallError('broken', true, `not a valid event: ${err instanceof Error ? err.message : String(err)}`);
	}
}

async function readAll(answer: Answer, {timeoutMs}: {readonly timeoutMs: number}): Promise<string> {
	const timer = setTimeout(() => {
		answer.body.destroy(new CallError('timeout', true, `the answer was not complete within ${timeoutMs} ms`));
	}, timeoutMs);
	const chunks: Uint8Array[] = [];
	let length = 0;
	try {
		for await (const chunk of answer.body as AsyncIterable<Uint8Array>) {
			length += chunk.length;
			if (length > maxReplyBytes) {
				throw new CallError('broken', true, `the answer is longer than ${maxReplyBytes} bytes`);
			}

			chunks.push(chunk);
		}
	} catch (err) {
		throw CallError.from(err, {maySent: true, isTimeout: false});
	} finally {
		clearTimeout(timer);
	}

	return Buffer.concat(chunks).toString('utf8');
}

/** Turns the engine's refusals into failures: 429 `full` did not run; 404 and 410 name something the engine does not have. */
async function throwUnlessOk(answer: Answer): Promise<void> {
	if (answer.status < 300) {
		return;
	}

	const text = await readAll(answer, {timeoutMs: cancelAttemptMs});
	const code = errorCode(text);
	if (answer.status === 429 && code === 'full') {
		throw new CallError('full', true, 'the engine is full');
	}

	const isGone = answer.status === 404 || answer.status === 410;
	throw new CallError(isGone ? 'gone' : 'error', true, `the engine answered ${answer.status} ${code}`);
}

function errorCode(text: string): string {
	try {
		return engineErrorSchema.parse(JSON.parse(text)).code;
	} catch {
		return '';
	}
}
