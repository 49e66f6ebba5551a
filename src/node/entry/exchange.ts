import type {IncomingMessage, ServerResponse} from 'node:http';
import type {StopReason} from '../../common/requests/types.js';
import type {Identity} from '../../common/services/access-service.js';
import type {TraceIds} from './headers.js';
import {traceIdsOf} from './headers.js';
import type {Problem} from './problems.js';

/** A caller that takes no data for this long is disconnected, since its answer occupies an engine. */
const defaultSlowReaderMs = 10_000;

/** Time for which the rest of a refused body is discarded. */
const lingerMs = 500;

export type ExchangeOptions = {
	readonly nowMs: number;
	/** Whether the connection is to be closed behind the answer. */
	readonly isClosing: boolean;
	readonly slowReaderMs?: number;
	/** Whether answers carry no headers of this process; false by default. */
	readonly isTransparent?: boolean;
};

/** One caller's request and the answer to it. */
export class Exchange {
	readonly ids: TraceIds;
	readonly startedAtMs: number;
	identity: Identity | undefined;
	/** Known once the request is routed. */
	serviceName: string | undefined;
	/** Status sent or, before that, undefined. */
	outcome: {readonly status: number; readonly code?: string} | undefined;
	private readonly _slowReaderMs: number;
	private readonly _isTransparent: boolean;
	private _isClosing: boolean;
	private _isClosed = false;
	private _stopReason: StopReason | undefined;
	private _onStop: ((reason: StopReason) => void) | undefined;

	constructor(readonly req: IncomingMessage, readonly res: ServerResponse, options: ExchangeOptions) {
		this.ids = traceIdsOf(req);
		this.startedAtMs = options.nowMs;
		this._isClosing = options.isClosing;
		this._slowReaderMs = options.slowReaderMs ?? defaultSlowReaderMs;
		this._isTransparent = options.isTransparent ?? false;
		res.on('error', () => {
			// The close event follows and ends the request.
		});
		res.once('close', () => {
			this._isClosed = true;
			if (!res.writableFinished) {
				this.stop('caller-gone');
			}

			if (this._isClosing) {
				req.socket.destroySoon();
			}
		});
	}

	get stopReason(): StopReason | undefined {
		return this._stopReason;
	}

	/** Ends the request; only the first reason counts. */
	stop(reason: StopReason): void {
		if (this._stopReason === undefined) {
			this._stopReason = reason;
			this._onStop?.(reason);
		}
	}

	/** Closes the connection behind the answer. */
	closeAfterAnswer(): void {
		this._isClosing = true;
	}

	/** Registers the only handler of a stop; calls it at once if the request was stopped already. */
	onStop(handler: (reason: StopReason) => void): void {
		this._onStop = handler;
		if (this._stopReason !== undefined) {
			handler(this._stopReason);
		}
	}

	/** Writes the status line and headers (names and values in turn). */
	writeHead(status: number, headers: readonly string[], code?: string): void {
		this.outcome = {status, ...(code !== undefined && {code})};
		const closing = this._isClosing ? ['connection', 'close'] : [];
		const own = this._isTransparent ? [] : ['x-request-id', this.ids.requestId, 'traceparent', this.ids.traceparent];
		this.res.writeHead(status, [...headers, ...own, ...closing]);
	}

	/** Writes a whole answer; does nothing if an answer has begun. */
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
	Refuses a request whose body has not been read to its end. The rest is discarded for a moment before the connection is closed:
	closing at once would reset it, and the caller could lose the answer.
	*/
	refuseUpload(problem: Problem): void {
		if (this.res.headersSent || this.res.destroyed) {
			return;
		}

		this._isClosing = true;
		this.writeHead(problem.status, [...Object.entries(problem.headers).flat(), 'content-length', String(new TextEncoder().encode(problem.body).length)], problem.code);
		this.res.write(problem.body);
		const finish = () => {
			clearTimeout(timer);
			this.res.end();
		};

		const timer = setTimeout(finish, lingerMs);
		this.req.once('end', finish).once('close', finish).resume();
	}

	/** Writes a part of the answer; resolves when the caller has taken enough for more, or when it is gone. */
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
				this.cut();
			}, this._slowReaderMs);
			this.res.on('drain', finish).on('close', finish);
		});
	}

	/** Resolves when the answer has been passed on or its connection is gone; a caller that takes nothing of it is disconnected. */
	async closed(): Promise<void> {
		let pending = this.res.writableLength;
		const watch = setInterval(() => {
			// A pipelined answer has no socket while the one before it is being written.
			if (this.res.socket && this.res.writableLength >= pending) {
				this.cut();
			}

			pending = this.res.writableLength;
		}, this._slowReaderMs);
		if (!this._isClosed) {
			await new Promise<void>(resolve => {
				this.res.once('close', resolve);
			});
		}

		clearInterval(watch);
	}

	/** Ends the connection, so that the caller cannot take what it has for the whole answer. */
	cut(): void {
		this.res.destroy();
	}
}
