import type {Clock} from '../../common/core/clock.js';
import type {Logger} from '../../common/core/log.js';
import {NullLogger} from '../../common/core/log.js';
import {CallError, ForeignAnswerError} from './call-error.js';
import type {UpstreamCall, UpstreamResponse} from './connection-pool.js';
import {UpstreamAdapter} from './upstream-adapter.js';
import type {UpstreamOptions} from './upstream-adapter.js';

export type IdentifiedCall = Omit<UpstreamCall, 'isOwnAnswer' | 'exchangeId' | 'minIdleMs'> & {
	/** Id that the request bears and that its answer may repeat. */
	readonly callId: string;
	/** Whether the call may run twice. Any other call that gets the answer to another one fails as one that may have run. */
	readonly isRepeatable: boolean;
	/** What the log tells about the call if it gets the answer to another one; nothing private. */
	readonly logFields: Readonly<Record<string, unknown>>;
};

export type IdentifiedResponse = UpstreamResponse & {
	/** Whether the call was sent before and got the answer to another one, so that it may have run even if this answer denies it. */
	readonly isRepeat: boolean;
};

/**
Client for an upstream that may write an answer once more, late, at the point where the answer to another call is expected. An answer is
used if it repeats the id of its call, or if its connection has carried no other call. A connection whose answer does not repeat the id is
closed behind it, so that only upstreams that repeat ids keep connections.
*/
export abstract class IdentifyingAdapter extends UpstreamAdapter {
	/** Lower-case name of the header in which answers repeat the id of their call. */
	protected abstract readonly _idHeader: string;
	/** Whether the header can hold ids that are not those of calls. */
	protected abstract readonly _hasOtherIds: boolean;

	constructor(options: UpstreamOptions, clock: Clock, protected readonly _logger: Logger = new NullLogger()) {
		super(options, clock);
	}

	/** Sends a call; resolves when the headers of its answer have arrived. Rejects with `CallError`. A repeatable call that got the answer to another one is repeated on a new connection. */
	protected async _exchange(call: IdentifiedCall): Promise<IdentifiedResponse> {
		const canRepeat = call.isRepeatable && !call.isNewConnection;
		try {
			const response = await this._exchangeOnce(call, canRepeat);
			return {...response, isRepeat: false};
		} catch (err) {
			if (err instanceof ForeignAnswerError && canRepeat) {
				return this._repeat(call);
			}

			throw err;
		}
	}

	private async _repeat(call: IdentifiedCall): Promise<IdentifiedResponse> {
		try {
			const response = await this._exchangeOnce({...call, isNewConnection: true}, false);
			return {...response, isRepeat: true};
		} catch (err) {
			const {kind, message} = CallError.from(err, {mayHaveBeenSent: true, isTimeout: false});
			throw new CallError(kind, true, message);
		}
	}

	private async _exchangeOnce({callId, isRepeatable, logFields, ...call}: IdentifiedCall, canRepeat: boolean): Promise<UpstreamResponse> {
		let answerId: string | undefined;
		const response = await this._pool.call({
			...call,
			exchangeId: callId,
			isOwnAnswer: (headers, isReused) => {
				answerId = headers.find((_, i) => i % 2 === 1 && headers[i - 1] === this._idHeader);
				const isOwn = answerId === callId || (!isReused && (answerId === undefined || this._hasOtherIds));
				if (!isOwn) {
					this._logger.log('warn', 'answer of an upstream belongs to another call', {
						...logFields, upstream: this.name, method: call.method, callId, answerId, isRepeated: canRepeat,
					});
				}

				return isOwn;
			},
		});
		if (answerId !== callId) {
			response.closeConnection();
		}

		return response;
	}
}
