import type {IncomingMessage, ServerResponse} from 'node:http';
import type {StopReason} from '../../common/requests/types.js';
import type {KeyIdentity} from '../../common/services/access-service.js';
import type {TraceIds} from './headers.js';
import {readTraceIds} from './headers.js';
import type {Problem} from './problems.js';

/** Default time after which a caller that reads no data is disconnected, in milliseconds. Its response would otherwise keep an engine occupied. */
const defaultSlowReaderTimeoutMs = 10_000;

/** Time for which the rest of a refused body is read and discarded before the connection closes, in milliseconds. */
const lingeringCloseMs = 500;

export type ExchangeOptions = {
	/** Time at which the request arrived, in milliseconds. */
	readonly nowMs: number;
	/** Whether to close the connection after the response. */
	readonly shouldCloseConnection: boolean;
	/** Time after which a caller that reads no data is disconnected, in milliseconds; `defaultSlowReaderTimeoutMs` if omitted. */
	readonly slowReaderTimeoutMs?: number;
	/** Whether responses omit the trace headers of this process; false by default. */
	readonly omitsTraceHeaders?: boolean;
};

/** A caller's request and the response to it. */
export class Exchange {
	readonly traceIds: TraceIds;
	readonly startedAtMs: number;
	/** Customer and key id of the request; undefined until its key has been authenticated, and always on open routes. */
	identity: KeyIdentity | undefined;
	/** Name of the requested service; undefined until the request is routed. */
	serviceName: string | undefined;
	/** Status and problem code of the response; undefined until its head is written. */
	outcome: {readonly status: number; readonly code?: string} | undefined;
	private readonly _slowReaderTimeoutMs: number;
	private readonly _omitsTraceHeaders: boolean;
	private _shouldCloseConnection: boolean;
	private _hasContentLength = false;
	private _isClosed = false;
	private _stopReason: StopReason | undefined;
	private _stopHandler: ((reason: StopReason) => void) | undefined;

	constructor(readonly req: IncomingMessage, readonly res: ServerResponse, options: ExchangeOptions) {
		this.traceIds = readTraceIds(req);
		this.startedAtMs = options.nowMs;
		this._shouldCloseConnection = options.shouldCloseConnection;
		this._slowReaderTimeoutMs = options.slowReaderTimeoutMs ?? defaultSlowReaderTimeoutMs;
		this._omitsTraceHeaders = options.omitsTraceHeaders ?? false;
		res.on('error', () => {
			// The `close` event that follows an error ends the request.
		});
		res.once('close', () => {
			this._isClosed = true;
			if (!res.writableFinished) {
				this.stop('caller-gone');
			}

			if (this._shouldCloseConnection) {
				req.socket.destroySoon();
			}
		});
	}

	/** Time after which a caller that reads no data is disconnected, in milliseconds. */
	get slowReaderTimeoutMs(): number {
		return this._slowReaderTimeoutMs;
	}

	get stopReason(): StopReason | undefined {
		return this._stopReason;
	}

	/** Whether the connection is closed as soon as the response has been sent. */
	get mustCloseAtOnce(): boolean {
		return this._shouldCloseConnection;
	}

	/** Stops the request; later calls have no effect. */
	stop(reason: StopReason): void {
		if (this._stopReason === undefined) {
			this._stopReason = reason;
			this._stopHandler?.(reason);
		}
	}

	/** Makes the connection close after the response. */
	closeAfterResponse(): void {
		this._shouldCloseConnection = true;
	}

	/** Whether the response has begun and ends with its connection, since its caller speaks HTTP/1.0: the caller cannot tell an early end from the right one. */
	get endsWithConnection(): boolean {
		return this.res.headersSent && !this._hasContentLength && !this.res.chunkedEncoding;
	}

	/** Sets the function that is called when the request is stopped, replacing any earlier one; calls it at once if the request was already stopped. */
	onStop(handler: (reason: StopReason) => void): void {
		this._stopHandler = handler;
		if (this._stopReason !== undefined) {
			handler(this._stopReason);
		}
	}

	/** Writes the status line and headers (alternating names and values). */
	writeHead(status: number, headers: readonly string[], code?: string): void {
		this.outcome = {status, ...(code !== undefined && {code})};
		this._hasContentLength = headers.some((name, i) => i % 2 === 0 && name.toLowerCase() === 'content-length');
		const closingHeaders = this._shouldCloseConnection ? ['connection', 'close'] : [];
		const traceHeaders = this._omitsTraceHeaders ? [] : ['x-request-id', this.traceIds.requestId, 'traceparent', this.traceIds.traceparent];
		this.res.writeHead(status, [...headers, ...traceHeaders, ...closingHeaders]);
	}

	/** Sends a complete response; does nothing if a response has begun or the connection is closed. */
	send(status: number, headers: Readonly<Record<string, string>>, body: string | Uint8Array, code?: string): void {
		if (this.res.headersSent || this.res.destroyed) {
			return;
		}

		const length = typeof body === 'string' ? new TextEncoder().encode(body).length : body.length;
		this.writeHead(status, [...Object.entries(headers).flat(), 'content-length', String(length)], code);
		this.res.end(body);
	}

	sendProblem(problem: Problem): void {
		this.send(problem.status, problem.headers, problem.body, problem.code);
	}

	/**
	Refuses a request whose body has not been read to its end. The rest of the body is discarded for a moment before the connection
	is closed: closing at once would reset the connection, and the caller could lose the response.
	*/
	sendProblemAndDiscardBody(problem: Problem): void {
		if (this.res.headersSent || this.res.destroyed) {
			return;
		}

		this._shouldCloseConnection = true;
		this.writeHead(problem.status, [...Object.entries(problem.headers).flat(), 'content-length', String(new TextEncoder().encode(problem.body).length)], problem.code);
		this.endLingering(problem.body);
	}

	/** Sends the last part of the response, but keeps the connection open for a moment, unless the rest of the request's body arrives before. */
	endLingering(body: string | Uint8Array): void {
		this.res.write(body);
		const finish = () => {
			clearTimeout(timer);
			this.res.end();
		};

		const timer = setTimeout(finish, lingeringCloseMs);
		this.req.once('end', finish).once('close', finish).resume();
	}

	/** Writes a part of the response. Resolves when the connection can take more data or is closed; disconnects a slow reader. */
	async write(data: string | Uint8Array): Promise<void> {
		if (this.res.destroyed || this.res.write(data)) {
			return;
		}

		await new Promise<void>(resolve => {
			const finish = () => {
				clearTimeout(timer);
				this.res.off('drain', finish).off('close', finish);
				resolve();
			};

			const timer = setTimeout(() => {
				this.stop('slow-reader');
				this.destroyConnection();
			}, this._slowReaderTimeoutMs);
			this.res.on('drain', finish).on('close', finish);
		});
	}

	/** Resolves when the response has been sent or its connection is closed; disconnects a caller that stops reading. */
	async waitUntilClosed(): Promise<void> {
		let pendingBytes = this.res.writableLength;
		const slowReaderTimer = setInterval(() => {
			// A pipelined response has no socket until the response before it has been written.
			if (this.res.socket && this.res.writableLength >= pendingBytes) {
				this.destroyConnection();
			}

			pendingBytes = this.res.writableLength;
		}, this._slowReaderTimeoutMs);
		if (!this._isClosed) {
			await new Promise<void>(resolve => {
				this.res.once('close', resolve);
			});
		}

		clearInterval(slowReaderTimer);
	}

	/** Ends the connection so that the caller cannot mistake a partial response for a complete one. */
	destroyConnection(): void {
		if (this.endsWithConnection && !this.res.writableFinished) {
			// A close would look like the end of the response.
			this.res.socket?.resetAndDestroy();
		}

		this.res.destroy();
	}
}
