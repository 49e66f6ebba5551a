import {Buffer} from 'node:buffer';
import type {IncomingHttpHeaders} from 'node:http';
import type {Readable} from 'node:stream';
import {buildConnector, Client, DecoratorHandler} from 'undici';
import type {Dispatcher} from 'undici';
import type {Clock} from '../../common/core/clock.js';
import type {Disposable} from '../../common/core/disposable.js';
import {CallError} from './call-error.js';

/**
Idle connections older than this are replaced. A middlebox may have dropped their state silently, and a request that
is not idempotent could not be sent again once it was written to one.
*/
export const maxIdleMs = 2000;
/** Time to open a connection; upstreams are a few milliseconds away, so a second means that packets are lost. */
const connectTimeoutMs = 1000;
/** Idle connections kept per upstream; more than the upstream's concurrency is of no use. */
const maxIdleConnections = 128;

/** One HTTP exchange with an upstream. */
export type Call = {
	readonly method: Dispatcher.HttpMethod;
	readonly path: string;
	/** Names and values in turn. */
	readonly headers: string[];
	readonly body?: Uint8Array | string;
	/** Bound on the time until the answer's headers arrive, in milliseconds. */
	readonly headersTimeoutMs: number;
	readonly signal?: AbortSignal;
	/** Whether to use a connection that carried nothing before. */
	readonly isNewConnection?: boolean;
};

export type Answer = {
	readonly status: number;
	/** Lower-case names and values in turn; a header of several lines has several names. */
	readonly headers: readonly string[];
	readonly body: Readable;
	/**
	Whether the connection was reset. An answer without a length ends with its connection, and undici reports a reset there
	as the end of the body; ask once the body has ended.
	*/
	readonly wasReset: () => boolean;
};

type Connection = {readonly client: Client; lastUsedMs: number; wasReset: boolean};

/** Calls `onStart` when undici is about to write the request to its socket; before, nothing can have been sent. */
function observeStart(handler: Dispatcher.DispatchHandler, onStart: () => void): Dispatcher.DispatchHandler {
	const observer: Dispatcher.DispatchHandler = new DecoratorHandler(handler);
	const forward = observer.onRequestStart?.bind(observer);
	observer.onRequestStart = (controller, context) => {
		onStart();
		forward?.(controller, context);
	};

	return observer;
}

/** Undici decodes header values as UTF-8; Node.js sends one byte a character, which restores the bytes as they were received. */
function flatten(headers: IncomingHttpHeaders): string[] {
	return Object.entries(headers).flatMap(([name, value]) => [value ?? []].flat().flatMap(line => [name, Buffer.from(line, 'utf8').toString('latin1')]));
}

/** Connections to one upstream, each used by one exchange at a time. Nothing is shared between upstreams. */
export class ConnectionPool implements Disposable {
	private readonly _idle: Connection[] = [];
	private readonly _busy = new Set<Connection>();
	private _isDisposed = false;

	constructor(private readonly _address: string, private readonly _clock: Clock) {}

	get busy(): number {
		return this._busy.size;
	}

	/** Resolves when the headers arrived. Rejects with `CallError`, which says whether anything may have been sent. */
	async call(call: Call): Promise<Answer> {
		if (call.signal?.aborted) {
			throw new CallError('broken', false, 'the call was given up before it was sent');
		}

		const connection = this._acquire(call.isNewConnection ?? false);
		const progress = {maySent: false, isTimeout: false};
		// Destroying the client also ends a connection attempt, which undici's own signal handling waits for.
		const giveUp = () => {
			this._discard(connection);
		};

		const timer = setTimeout(() => {
			progress.isTimeout = true;
			giveUp();
		}, call.headersTimeoutMs);
		call.signal?.addEventListener('abort', giveUp, {once: true});
		try {
			const observed = connection.client.compose(dispatch => (options, handler) => dispatch(options, observeStart(handler, () => {
				progress.maySent = true;
			})));
			const {statusCode, headers, body} = await observed.request({
				method: call.method, path: call.path, headers: call.headers, body: call.body,
			});
			// Whoever reads the body sees its errors; a body that is discarded needs a listener all the same.
			body.on('error', () => undefined);
			body.once('close', () => {
				call.signal?.removeEventListener('abort', giveUp);
				this._release(connection, body);
			});
			return {
				status: statusCode, headers: flatten(headers), body, wasReset: () => connection.wasReset,
			};
		} catch (err) {
			call.signal?.removeEventListener('abort', giveUp);
			giveUp();
			throw CallError.from(err, progress);
		} finally {
			clearTimeout(timer);
		}
	}

	/** Ends idle connections now and busy ones when their exchange ends. */
	dispose(): void {
		this._isDisposed = true;
		for (const connection of this._idle.splice(0)) {
			this._destroy(connection);
		}
	}

	/** Ends every connection, with the exchanges on them. */
	destroy(): void {
		this.dispose();
		for (const connection of this._busy) {
			this._discard(connection);
		}
	}

	private _acquire(isNewConnection: boolean): Connection {
		const reused = isNewConnection ? undefined : this._takeIdle();
		const connection = reused ?? this._open();
		this._busy.add(connection);
		return connection;
	}

	/** The connection used last, unless it has been idle for too long; then all others have been, too. */
	private _takeIdle(): Connection | undefined {
		const connection = this._idle.pop();
		if (!connection || this._clock.nowMs() - connection.lastUsedMs < maxIdleMs) {
			return connection;
		}

		for (const stale of [connection, ...this._idle.splice(0)]) {
			this._destroy(stale);
		}

		return undefined;
	}

	private _open(): Connection {
		const connect = buildConnector({timeout: connectTimeoutMs});
		const client = new Client(`http://${this._address}`, {
			// The callers of this class set deadlines; undici's timers have a resolution of about a second.
			headersTimeout: 0,
			bodyTimeout: 0,
			keepAliveTimeout: maxIdleMs,
			keepAliveMaxTimeout: maxIdleMs,
			pipelining: 1,
			connect(options, callback) {
				connect(options, (...result) => {
					// Before undici's own listener, which may end the body.
					result[1]?.once('error', (err: NodeJS.ErrnoException) => {
						// Undici's own errors, such as that of a closed connection, name no system call.
						connection.wasReset = err.syscall !== undefined;
					});
					callback(...result);
				});
			},
		});
		const connection: Connection = {client, lastUsedMs: this._clock.nowMs(), wasReset: false};
		return connection;
	}

	private _release(connection: Connection, body: Readable): void {
		const isReusable = this._busy.has(connection) && body.readableEnded && !body.errored;
		if (!isReusable || this._isDisposed || this._idle.length >= maxIdleConnections) {
			this._discard(connection);
			return;
		}

		this._busy.delete(connection);
		connection.lastUsedMs = this._clock.nowMs();
		this._idle.push(connection);
	}

	private _discard(connection: Connection): void {
		this._busy.delete(connection);
		this._destroy(connection);
	}

	private _destroy(connection: Connection): void {
		void connection.client.destroy();
	}
}
