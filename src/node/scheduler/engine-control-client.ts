import {Agent, request} from 'undici';
import type {z} from 'zod';
import type {Disposable} from '../../common/core/disposable.js';
import {at, UpstreamError} from '../../common/core/errors.js';
import {cacheEventsReplySchema, loadReplySchema, requestListSchema} from '../../common/upstreams/engine-api.js';
import type {CacheEventsReply, LoadReply, RequestList} from '../../common/upstreams/engine-api.js';

/** Longest wait for an engine's answer, in milliseconds; a load figure older than this is of no use. */
const answerTimeoutMs = 1000;

/** The engine API as the scheduler uses it: load, cache events, and requests to list and cancel. */
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
