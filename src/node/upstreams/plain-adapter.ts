import type {Answer, Call} from './connection-pool.js';
import {UpstreamAdapter} from './upstream-adapter.js';

/** Client of one server of a plain service. */
export class PlainAdapter extends UpstreamAdapter {
	/** Sends a request; resolves when the answer's headers arrived. Rejects with `CallError`. */
	async send(call: Call): Promise<Answer> {
		return this._pool.call(call);
	}

	/** Any answer below 500 shows that the server works; services need not have the path. */
	override async probe(timeoutMs: number): Promise<boolean> {
		try {
			const {status, body} = await this._pool.call({
				method: 'GET', path: '/healthz', headers: [], headersTimeoutMs: timeoutMs, isNewConnection: true,
			});
			body.resume();
			return status < 500;
		} catch {
			return false;
		}
	}
}
