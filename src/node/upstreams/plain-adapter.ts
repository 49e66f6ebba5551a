import type {UpstreamResponse, UpstreamCall} from './connection-pool.js';
import {discardBody} from './connection-pool.js';
import {IdentifyingAdapter} from './identifying-adapter.js';

export type PlainCall = Omit<UpstreamCall, 'isOwnAnswer' | 'exchangeId' | 'minIdleMs' | 'isNewConnection'> & {
	/** Value of the header `X-Request-Id` of the call. */
	readonly requestId: string;
	/** Whether the call may run twice. */
	readonly isIdempotent: boolean;
};

/** Client for one server of a plain service, which need not repeat the id of a request in its answer. */
export class PlainAdapter extends IdentifyingAdapter {
	protected override readonly _idHeader = 'x-request-id';
	protected override readonly _hasOtherIds = true;

	/**
	Sends a request; resolves when the answer's headers have arrived. Rejects with `CallError`. A request that must not run twice is sent on
	a new connection, since it could not be repeated if it got the answer to another one.
	*/
	async send({requestId, isIdempotent, ...call}: PlainCall): Promise<UpstreamResponse> {
		return this._exchange({
			...call, callId: requestId, isRepeatable: isIdempotent, isNewConnection: !isIdempotent, logFields: {requestId},
		});
	}

	/** Requests `/healthz` on a new connection. Any status below 500 counts as healthy, since a service need not implement the path. */
	override async probe(timeoutMs: number): Promise<boolean> {
		try {
			const {status, body} = await this._pool.call({
				method: 'GET', path: '/healthz', headers: [], headersTimeoutMs: timeoutMs, isNewConnection: true,
			});
			discardBody(body);
			return status < 500;
		} catch (err) {
			this._logger.log('debug', 'server did not answer a probe', {upstream: this.name, err});
			return false;
		}
	}
}
