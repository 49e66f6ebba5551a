import type {Dispatcher} from 'undici';
import {CallError, ForeignAnswerError} from '../upstreams/call-error.js';
import type {UpstreamResponse, UpstreamCall} from '../upstreams/connection-pool.js';
import type {ByteBlocks} from '../../common/memory/byte-blocks.js';
import {collectBody} from '../upstreams/collect-body.js';
import {UpstreamAdapter} from '../upstreams/upstream-adapter.js';
import type {UpstreamOptions} from '../upstreams/upstream-adapter.js';
import type {Clock} from '../../common/core/clock.js';
import type {ServerCall} from './fleet-protocol.js';

/**
Time for which a connection must have been idle after a call without an id whose answer may be that of another, in milliseconds; longer
than an engine takes to answer. If the answer was a wrong one, the right one arrives within this time, and the connection is closed.
*/
export const minIdleMsOfCalls = 50;
/** Maximum size of the answer to a call that the router makes on its own behalf, in bytes. */
const callAnswerLimitBytes = 65_536;

/** Answer to a call that the router makes on its own behalf. */
export type CallAnswer = {readonly status: number; readonly text: string};

export type CallOptions = {
	/** Whether to open a new connection, on which no answer to another call can arrive. A call that may not be repeated must use one. */
	readonly isNewConnection?: boolean;
	/** Returns whether the answer is certainly that of the call (true) or of another one (false); undefined if its contents do not tell. */
	readonly isOwnAnswer?: (answer: CallAnswer) => boolean | undefined;
};

export type BufferedAnswer = {
	readonly status: number;
	/** Lower-case names and values of the headers, alternating. */
	readonly headers: readonly string[];
	readonly body: ByteBlocks;
	/** Whether the answer itself tells where its body ends. If it does not, the body may have been cut short. */
	readonly isFramed: boolean;
};

/**
Reads the body of an answer to its end. Throws `CallError` if the body breaks off or is larger than `limitBytes`, or if `reserve` returns false.
@param reserve - called with the memory that the body is about to occupy, in bytes; returns whether there is room
*/
export async function bufferAnswer(
	{
		status, headers, body, isFramed, wasBrokenOff,
	}: UpstreamResponse,
	limitBytes: number,
	reserve?: (bytes: number) => boolean,
): Promise<BufferedAnswer> {
	const blocks = await collectBody(body, limitBytes, reserve);
	if (wasBrokenOff()) {
		throw new CallError('broken', true, 'the connection was reset within the answer, or closed before the request was sent');
	}

	return {
		status, headers, body: blocks, isFramed,
	};
}

/** A request to a server, or a call that the router makes on its own behalf. */
export type ForwardCall = Omit<UpstreamCall, 'exchangeId' | 'isOwnAnswer'> & {
	/** Id that the server repeats in its answer; undefined for a call without an id, whose answer bears none either. */
	readonly requestId: string | undefined;
};

export type ForwardAdapterOptions = UpstreamOptions & {
	/** Reads the request id that an answer bears; undefined if it bears none. */
	readonly readRequestId: (headers: readonly string[]) => string | undefined;
	/** Called with the status and headers of each answer that belongs to its call. */
	readonly onAnswer: (answer: Pick<UpstreamResponse, 'status' | 'headers'>) => void;
	/** Called for each answer that does not belong to its call, with the id that the call expected. */
	readonly onForeignAnswer: (expectedId: string | undefined) => void;
};

/**
HTTP client of one incarnation of a server that requests are forwarded to. A faulty server may write an answer once more, late, at the
point where the next answer on the connection is expected. No other code has to tell such an answer from the right one: `send`
compares the ids before anything else of an answer is evaluated. Answers to calls without an id bear none, so only an answer to
another such call can be mistaken for theirs. Where the answer itself does not tell, the connection rests before the next such call.
*/
export class ForwardAdapter extends UpstreamAdapter {
	private readonly _readRequestId: ForwardAdapterOptions['readRequestId'];
	private readonly _onAnswer: ForwardAdapterOptions['onAnswer'];
	private readonly _onForeignAnswer: ForwardAdapterOptions['onForeignAnswer'];

	constructor({readRequestId, onAnswer, onForeignAnswer, ...options}: ForwardAdapterOptions, clock: Clock) {
		super(options, clock);
		this._readRequestId = readRequestId;
		this._onAnswer = onAnswer;
		this._onForeignAnswer = onForeignAnswer;
	}

	/** Sends a request. Resolves when the headers of its answer have arrived; rejects with `CallError`. */
	async send({requestId, ...call}: ForwardCall): Promise<UpstreamResponse> {
		const response = await this._pool.call({
			...call,
			exchangeId: requestId,
			isOwnAnswer: headers => {
				const isOwn = this._readRequestId(headers) === requestId;
				if (!isOwn) {
					this._onForeignAnswer(requestId);
				}

				return isOwn;
			},
		});
		this._onAnswer(response);
		return response;
	}

	/**
	Makes a call on the router's own behalf and reads the whole answer. Rejects with `CallError`. A call that got the answer to another one
	is repeated on a new connection.
	*/
	async call(call: ServerCall, timeoutMs: number, options: CallOptions = {}): Promise<CallAnswer> {
		try {
			return await this._callOnce(call, timeoutMs, options);
		} catch (err) {
			if (err instanceof ForeignAnswerError && !options.isNewConnection) {
				return this._callOnce(call, timeoutMs, {...options, isNewConnection: true});
			}

			throw err;
		}
	}

	/** Returns whether the server answers within `timeoutMs`. An answer with any status shows that the server can be reached. */
	override async probe(timeoutMs: number): Promise<boolean> {
		try {
			await this.call({method: 'GET', path: '/healthz'}, timeoutMs, {isNewConnection: true});
			return true;
		} catch {
			// The failure is not logged here, since the code that probes the server logs its ejection and readmission.
			return false;
		}
	}

	private async _callOnce({
		method, path, headers = [], body,
	}: ServerCall, timeoutMs: number, {isNewConnection = false, isOwnAnswer}: CallOptions): Promise<CallAnswer> {
		const abort = new AbortController();
		const timer = setTimeout(() => {
			abort.abort();
		}, timeoutMs);
		try {
			const response = await this.send({
				requestId: undefined,
				method,
				path,
				headers: [...headers, ...(body === undefined ? [] : ['content-type', 'application/json'])],
				...(body !== undefined && {body}),
				headersTimeoutMs: timeoutMs,
				signal: abort.signal,
				minIdleMs: minIdleMsOfCalls,
				isNewConnection,
			});
			const buffered = await bufferAnswer(response, callAnswerLimitBytes);
			const answer = {status: buffered.status, text: new TextDecoder().decode(buffered.body.take())};
			const isOwn = isOwnAnswer?.(answer);
			if (isOwn) {
				response.confirm();
			} else if (isOwn === false) {
				response.closeConnection();
				this._onForeignAnswer(undefined);
				throw new ForeignAnswerError();
			}

			return answer;
		} finally {
			clearTimeout(timer);
		}
	}
}

export type HttpMethod = Dispatcher.HttpMethod;
