import {Buffer} from 'node:buffer';
import type {IncomingHttpHeaders} from 'node:http';
import {connect as connectSocket} from 'node:net';
import type {Socket} from 'node:net';
import type {Readable} from 'node:stream';
import {buildConnector, Client, DecoratorHandler} from 'undici';
import type {Dispatcher} from 'undici';
import type {Clock} from '../../common/core/clock.js';
import type {Disposable} from '../../common/core/disposable.js';
import {splitAddress} from '../address.js';
import {CallError, ForeignAnswerError} from './call-error.js';

/**
Time after which an idle connection is replaced, in milliseconds. A middlebox may have silently dropped its state of
an idle connection, and a non-idempotent request that was written to such a connection could not be retried.
*/
export const maxIdleMs = 2000;
/** Timeout for opening a connection, in milliseconds. Upstreams are a few milliseconds away, so a connection attempt that takes a second is losing packets. */
const connectTimeoutMs = 1000;
/** Largest number of idle connections kept per upstream. Connections beyond the upstream's concurrency limit would never be used. */
const maxIdleConnections = 128;

/** Number of exchange ids that a connection carries before it is replaced, which bounds the ids that are kept. */
const maxExchangeIds = 256;

/**
Largest number of bytes of an answer besides its body: head, interim answers, chunk sizes and extensions, trailers. Exceeds the largest head that
is accepted, 16 KiB, and what is read ahead of the parser.
*/
const maxOverheadBytes = 262_144;
/** Additional overhead for each byte of the body, in bytes; a chunk of one byte takes five more. */
const overheadPerBodyByte = 16;

/** Lowest status of a final response. */
const firstFinalStatus = 200;
/** Highest status of a response (RFC 9110, section 15). */
const lastStatus = 599;

/** Errors with which the network or the upstream's host refuses a connection; others, such as a lack of file descriptors, have their cause in this process. */
const refusalCodes: ReadonlySet<string> = new Set(['ECONNREFUSED', 'ECONNRESET', 'EHOSTUNREACH', 'ENETUNREACH']);
/** Statuses of answers without a body (204, No Content, and 304, Not Modified). */
const bodilessStatuses: ReadonlySet<number> = new Set([204, 304]);
/** List of transfer codings that ends with `chunked`. */
const chunkedPattern = /(?:^|,)\s*chunked\s*$/i;

/** Status line of an answer. */
const statusLinePattern = /HTTP\/1\.\d \d{3}/;

/** One HTTP exchange with an upstream. */
export type UpstreamCall = {
	readonly method: Dispatcher.HttpMethod;
	readonly path: string;
	/** Headers as alternating names and values. */
	readonly headers: string[];
	readonly body?: Uint8Array | string;
	/** Timeout for the response's headers, in milliseconds. */
	readonly headersTimeoutMs: number;
	readonly signal?: AbortSignal;
	/** Whether to open a new connection instead of reusing an idle one. */
	readonly isNewConnection?: boolean;
	/** Time for which a connection must have been idle to be reused if its last answer is unconfirmed, in milliseconds; 0 by default. */
	readonly minIdleMs?: number;
	/** Id that the answer repeats. A connection carries each id once, so that the answer to another call with the id is not taken for the answer to this one. */
	readonly exchangeId?: string | undefined;
	/**
	Returns whether the answer with these headers, alternating names and values, belongs to the call; `isReused` tells whether the
	connection carried another call before. If it does not, the connection is closed and the call rejects, as the call's own answer
	may still follow. Without this function, any answer does.
	*/
	readonly isOwnAnswer?: (headers: readonly string[], isReused: boolean) => boolean;
};

/** Response of an upstream, available once its headers have arrived. */
export type UpstreamResponse = {
	readonly status: number;
	/** Headers as alternating lower-case names and values; the name is repeated for each value of a header. */
	readonly headers: readonly string[];
	readonly body: Readable;
	/** Whether the answer itself tells where its body ends. The body of any other answer ends when its connection closes, whether or not it is whole. */
	readonly isFramed: boolean;
	/**
	Returns whether a body without framing was truncated: its connection was reset, or closed before the request was sent; the result is final
	once the body has ended. Such a body ends when its connection closes, and undici reports a reset as its end, too.
	*/
	readonly wasBrokenOff: () => boolean;
	/** Confirms that the answer is that of the call, so that the connection need not rest. An answer that bears the call's id is confirmed by it. */
	readonly confirm: () => void;
	/** Closes the connection, at the latest when it is no longer in use. */
	readonly closeConnection: () => void;
};

/** Largest rest of an unwanted body that is read so that its connection can be used again, in bytes. */
const maxDiscardedBytes = 65_536;
/** Longest time for which the rest of an unwanted body is read, in milliseconds. */
const maxDiscardMs = 500;

/** Reads and drops a body that is not wanted, so that its connection can be used again. Closes the connection of a body that is long or does not end. */
export function discardBody(body: Readable): void {
	let bytes = 0;
	const timer = setTimeout(() => {
		body.destroy();
	}, maxDiscardMs);
	body.once('close', () => {
		clearTimeout(timer);
	});
	body.on('data', (chunk: Uint8Array) => {
		bytes += chunk.length;
		if (bytes > maxDiscardedBytes) {
			body.destroy();
		}
	});
}

type Connection = {
	readonly client: Client;
	/** Ids of the exchanges that the connection has carried. */
	readonly exchangeIds: Set<string>;
	/** Whether the last answer was certainly that of its call. */
	isConfirmed: boolean;
	/** Whether the connection is to be closed instead of reused. */
	isCondemned: boolean;
	/** Whether the connection has carried an earlier call. */
	isReused: boolean;
	lastUsedAtMs: number;
	/** Whether the connection was reset, or closed by the upstream before the request was sent. */
	wasBrokenOff: boolean;
	socket: Socket | undefined;
	/** Bytes that had been read from the socket when the call was sent. */
	readBeforeCall: number;
	/** Bytes of the body of the answer so far. */
	bodyBytes: number;
};

/** Closes a connection whose answer has too many bytes besides its body. The parser bounds names and values of headers only. */
function checkOverhead({client, socket, readBeforeCall, bodyBytes}: Connection): void {
	if (socket!.bytesRead - readBeforeCall - bodyBytes > maxOverheadBytes + (bodyBytes * overheadPerBodyByte)) {
		void client.destroy(new CallError('broken', true, `the answer has more than ${maxOverheadBytes} bytes besides its body`));
	}
}

/** What an undici handler is observed for. */
type Observer = {
	/** Called when undici is about to write the request to its socket; before that, nothing can have been sent. */
	readonly onStart: () => void;
	readonly onData: (bytes: number) => void;
};

/** Wraps an undici handler. Interim responses (status 1xx) are passed over: undici's handlers expect one head. */
function observeHandler(handler: Dispatcher.DispatchHandler, {onStart, onData}: Observer): Dispatcher.DispatchHandler {
	const observer: Dispatcher.DispatchHandler = new DecoratorHandler(handler);
	const forwardStart = observer.onRequestStart?.bind(observer);
	const forwardHead = observer.onResponseStart?.bind(observer);
	const forwardData = observer.onResponseData?.bind(observer);
	observer.onRequestStart = (controller, context) => {
		onStart();
		forwardStart?.(controller, context);
	};

	observer.onResponseStart = (controller, statusCode, ...rest) => {
		if (statusCode >= firstFinalStatus) {
			forwardHead?.(controller, statusCode, ...rest);
		}
	};

	observer.onResponseData = (controller, chunk) => {
		onData(chunk.length);
		forwardData?.(controller, chunk);
	};

	return observer;
}

/** Converts headers to alternating names and values. Undici decodes values as UTF-8 and Node.js writes them as Latin-1, so values are recoded to keep their original bytes. */
function flattenHeaders(headers: IncomingHttpHeaders): string[] {
	return Object.entries(headers).flatMap(([name, value]) => [value ?? []].flat().flatMap(headerValue => [name, Buffer.from(headerValue, 'utf8').toString('latin1')]));
}

/**
Returns whether a head consists of a part of one head and another whole one: the status line of the second then ends the reason phrase or a
value of the first. Such a head has the status of one answer and the id of the other.
*/
function isJoinedHead(reasonPhrase: string, headers: readonly string[]): boolean {
	return [reasonPhrase, ...headers].some(text => statusLinePattern.test(text));
}

/** Returns whether the head of an answer tells where its body ends (RFC 9112, section 6.3). */
function isFramed(method: Dispatcher.HttpMethod, status: number, headers: readonly string[]): boolean {
	if (method === 'HEAD' || bodilessStatuses.has(status)) {
		return true;
	}

	// The codings of several header lines make one list, of which the last entry counts.
	const transferEncoding = headers.findLast((_, i) => i % 2 === 1 && headers[i - 1] === 'transfer-encoding');
	return transferEncoding === undefined ? headers.some((name, i) => i % 2 === 0 && name === 'content-length') : chunkedPattern.test(transferEncoding);
}

/** Pool of connections to one upstream, each used by one exchange at a time. Pools share nothing, so that a slow upstream does not delay calls to others. */
export class ConnectionPool implements Disposable {
	private readonly _idle: Connection[] = [];
	private readonly _busy = new Set<Connection>();
	private _isDisposed = false;

	constructor(private readonly _address: string, private readonly _clock: Clock) {}

	/** Number of connections with an exchange in progress. */
	get busyCount(): number {
		return this._busy.size;
	}

	/** Sends a call; resolves when the response's headers have arrived. Rejects with `CallError`, which says whether anything may have been sent. */
	async call(call: UpstreamCall): Promise<UpstreamResponse> {
		if (call.signal?.aborted) {
			throw new CallError('broken', false, 'call aborted before it was sent');
		}

		const connection = this._acquire(call);
		const callState = {mayHaveBeenSent: false, isTimeout: false};
		// A timeout or abort destroys the client, which also ends a pending connection attempt; undici's own handling of
		// signals would wait for that attempt to end.
		const discardConnection = () => {
			this._discard(connection);
		};

		const timer = setTimeout(() => {
			callState.isTimeout = true;
			discardConnection();
		}, call.headersTimeoutMs);
		call.signal?.addEventListener('abort', discardConnection, {once: true});
		try {
			const observedClient = connection.client.compose(dispatch => (options, handler) => dispatch(options, observeHandler(handler, {
				onStart() {
					callState.mayHaveBeenSent = true;
					connection.readBeforeCall = connection.socket?.bytesRead ?? 0;
					connection.bodyBytes = 0;
				},
				onData(bytes) {
					connection.bodyBytes += bytes;
				},
			})));
			const {statusCode, statusText, headers, body} = await observedClient.request({
				method: call.method, path: call.path, headers: call.headers, body: call.body,
			});
			// A discarded body has no reader, and an unhandled `error` event would end the process. Code that reads the body still
			// gets its errors.
			body.on('error', () => undefined);
			if (statusCode > lastStatus) {
				throw new CallError('broken', true, `the answer's status is ${statusCode}, which HTTP does not have`);
			}

			const answerHeaders = flattenHeaders(headers);
			if (isJoinedHead(statusText, answerHeaders)) {
				throw new ForeignAnswerError('a part of another answer precedes the answer');
			}

			if (call.isOwnAnswer?.(answerHeaders, connection.isReused) === false) {
				throw new ForeignAnswerError();
			}

			body.once('close', () => {
				call.signal?.removeEventListener('abort', discardConnection);
				this._release(connection, body);
			});
			const hasFraming = isFramed(call.method, statusCode, answerHeaders);
			return {
				status: statusCode,
				headers: answerHeaders,
				body,
				isFramed: hasFraming,
				wasBrokenOff: () => connection.wasBrokenOff && !hasFraming,
				confirm() {
					connection.isConfirmed = true;
				},
				closeConnection: () => {
					connection.isCondemned = true;
					this._closeIdle(connection);
				},
			};
		} catch (err) {
			call.signal?.removeEventListener('abort', discardConnection);
			discardConnection();
			throw CallError.from(err, callState);
		} finally {
			clearTimeout(timer);
		}
	}

	/** Opens a connection and closes it at once. Returns false if it is refused; a connection that is not open after `timeoutMs` tells nothing. */
	async isReachable(timeoutMs: number): Promise<boolean> {
		const socket = connectSocket({...splitAddress(this._address), timeout: timeoutMs});
		try {
			return await new Promise<boolean>(resolve => {
				socket.once('connect', () => {
					resolve(true);
				});
				socket.once('timeout', () => {
					resolve(true);
				});
				socket.once('error', (err: NodeJS.ErrnoException) => {
					resolve(!refusalCodes.has(err.code ?? ''));
				});
			});
		} finally {
			socket.destroy();
		}
	}

	/** Closes idle connections at once and busy connections when their exchange ends. */
	dispose(): void {
		this._isDisposed = true;
		for (const connection of this._idle.splice(0)) {
			this._destroy(connection);
		}
	}

	/** Closes all connections and aborts the exchanges on them. */
	destroy(): void {
		this.dispose();
		for (const connection of this._busy) {
			this._discard(connection);
		}
	}

	private _acquire(call: UpstreamCall): Connection {
		const idleConnection = call.isNewConnection ? undefined : this._takeIdle(call);
		const connection = idleConnection ?? this._open();
		connection.isConfirmed = call.exchangeId !== undefined;
		if (call.exchangeId !== undefined) {
			connection.exchangeIds.add(call.exchangeId);
		}

		this._busy.add(connection);
		return connection;
	}

	/** Closes the connections that have been idle for `maxIdleMs` or longer. Of the others, returns the most recently used one that the call may use, or undefined if there is none. */
	private _takeIdle({exchangeId, minIdleMs = 0}: UpstreamCall): Connection | undefined {
		const nowMs = this._clock.nowMs();
		const firstUsable = this._idle.findIndex(({lastUsedAtMs}) => nowMs - lastUsedAtMs < maxIdleMs);
		for (const stale of this._idle.splice(0, firstUsable === -1 ? this._idle.length : firstUsable)) {
			this._destroy(stale);
		}

		const isUsable = ({exchangeIds, isConfirmed, lastUsedAtMs}: Connection) => {
			const hasRested = isConfirmed || nowMs - lastUsedAtMs >= minIdleMs;
			return exchangeId === undefined ? hasRested : !exchangeIds.has(exchangeId);
		};

		const index = this._idle.findLastIndex(connection => isUsable(connection));
		return index === -1 ? undefined : this._idle.splice(index, 1)[0];
	}

	private _open(): Connection {
		const connect = buildConnector({timeout: connectTimeoutMs});
		const client = new Client(`http://${this._address}`, {
			// Timeouts are enforced by this class and the code that reads the body, since undici's timers have a resolution of about a second.
			headersTimeout: 0,
			bodyTimeout: 0,
			keepAliveTimeout: maxIdleMs,
			keepAliveMaxTimeout: maxIdleMs,
			pipelining: 1,
			connect(options, callback) {
				connect(options, (...result) => {
					const [, socket] = result;
					// Undici connects again if the server closed the connection while it was idle.
					connection.wasBrokenOff = false;
					connection.isReused = false;
					connection.socket = socket ?? undefined;
					socket?.on('readable', () => {
						checkOverhead(connection);
					});
					// These listeners must run before undici's own listeners, which may end the body: `wasBrokenOff` must be final by then.
					socket?.once('error', (err: NodeJS.ErrnoException) => {
						// Only errors of the operating system, such as a reset, have a `syscall`; errors that undici raises itself, such
						// as for a closed connection, have none.
						connection.wasBrokenOff ||= err.syscall !== undefined;
					});
					socket?.once('end', () => {
						// If a reset arrives together with the last bytes, Node.js reports the end of the connection instead. A connection
						// that was reset has no peer; one that the peer closed still has it. Undici counts a request as sent once it has
						// called `write`; only the socket knows what the kernel has not taken.
						connection.wasBrokenOff ||= socket.remoteAddress === undefined || socket.writableLength > 0;
					});
					callback(...result);
				});
			},
		});
		const connection: Connection = {
			client,
			exchangeIds: new Set(),
			isConfirmed: false,
			isCondemned: false,
			isReused: false,
			lastUsedAtMs: this._clock.nowMs(),
			wasBrokenOff: false,
			socket: undefined,
			readBeforeCall: 0,
			bodyBytes: 0,
		};
		return connection;
	}

	private _release(connection: Connection, body: Readable): void {
		const isReusable = this._busy.has(connection) && body.readableEnded && !body.errored && !connection.isCondemned;
		if (!isReusable || this._isDisposed || this._idle.length >= maxIdleConnections || connection.exchangeIds.size >= maxExchangeIds) {
			this._discard(connection);
			return;
		}

		this._busy.delete(connection);
		connection.isReused = true;
		connection.lastUsedAtMs = this._clock.nowMs();
		this._idle.push(connection);
	}

	private _closeIdle(connection: Connection): void {
		const index = this._idle.indexOf(connection);
		if (index !== -1) {
			this._idle.splice(index, 1);
			this._destroy(connection);
		}
	}

	private _discard(connection: Connection): void {
		this._busy.delete(connection);
		this._destroy(connection);
	}

	private _destroy(connection: Connection): void {
		void connection.client.destroy();
	}
}
