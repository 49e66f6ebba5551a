import type {UpstreamResponse, UpstreamCall} from './connection-pool.js';
import {discardBody} from './connection-pool.js';
import {failureOf} from './call-error.js';
import {UpstreamAdapter} from './upstream-adapter.js';

/** Client for one server of a plain service. */
export class PlainAdapter extends UpstreamAdapter {
	/** Sends a request; resolves when the answer's headers have arrived. Rejects with `CallError`. */
	async send(call: UpstreamCall): Promise<UpstreamResponse> {
		return this._pool.call(call);
	}

	/** Returns false if no connection to the server can be opened. */
	async isReachable(timeoutMs: number): Promise<boolean> {
		try {
			const {body} = await this._pool.call({
				method: 'GET', path: '/healthz', headers: [], headersTimeoutMs: timeoutMs, isNewConnection: true,
			});
			discardBody(body);
			return true;
		} catch (err) {
			return failureOf(err).kind !== 'unreachable';
		}
	}

	/** Requests `/healthz` on a new connection. Any status below 500 counts as healthy, since a service need not implement the path. */
	override async probe(timeoutMs: number): Promise<boolean> {
		try {
			const {status, body} = await this._pool.call({
				method: 'GET', path: '/healthz', headers: [], headersTimeoutMs: timeoutMs, isNewConnection: true,
			});
			discardBody(body);
			return status < 500;
		} catch {
			return false;
		}
	}
}
