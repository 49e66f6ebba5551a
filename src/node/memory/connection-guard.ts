import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import type {Clock} from '../../common/core/clock.js';
import type {Disposable} from '../../common/core/disposable.js';
import type {Logger} from '../../common/core/log.js';
import {
	chooseUnendedHeads, ConnectionBook, harmlessConnections, headerLineLimit,
} from '../../common/memory/connection-book.js';
import type {Metrics} from '../../common/services/metrics.js';
import {BoundedLog} from './bounded-log.js';
import type {RequestIntake} from './request-intake.js';

/** Interval at which heads are checked while enough connections wait to fill their memory, in milliseconds. */
const headCheckMs = 100;
/** Number of new connections after which heads are checked without waiting for the interval. */
const headCheckConnections = 16;

/** Code of the error with which a server refuses a request whose body has stalled. */
export const stalledBodyCode = 'ERR_BODY_STALLED';

export type ConnectionGuardOptions = {
	/** Name of the ports in log lines and metrics. */
	readonly ports: string;
	readonly maxConnections: number;
	/** Memory that heads which have not ended may occupy, in bytes. */
	readonly headBytes: number;
	/** Passes on the bytes of the connections. */
	readonly intake: RequestIntake;
	readonly clock: Clock;
	readonly logger: Logger;
	readonly metrics: Metrics;
};

/** Bounds the open connections of some HTTP servers together, and the memory of heads that have not ended on them. */
export class ConnectionGuard implements Disposable {
	private readonly _book: ConnectionBook<Socket>;
	private readonly _log: BoundedLog;
	private readonly _harmless: number;
	/** Bytes that each connection had received at the end of its last request. */
	private readonly _readBytes = new WeakMap<Socket, number>();
	/** Number of header lines that the parser of each connection keeps. */
	private readonly _headerLines = new WeakMap<Socket, number>();
	private readonly _servers: Server[] = [];
	private _uncheckedConnections = 0;
	private _headTimer: NodeJS.Timeout | undefined;

	constructor(private readonly _options: ConnectionGuardOptions) {
		this._book = new ConnectionBook(_options.maxConnections);
		this._log = new BoundedLog(_options.logger, _options.clock);
		this._harmless = harmlessConnections(_options.headBytes);
	}

	/** Begins to watch the connections of a server. */
	watch(server: Server): void {
		const {clock, intake} = this._options;
		this._servers.push(server);
		this._limitHeaderLines();
		intake.watch(server, {
			onBodyData: (socket, bytes) => {
				this._book.recordBody(socket, bytes, clock.nowMs());
			},
			onBodyEnd: socket => {
				this._book.endBody(socket);
			},
		});
		server.on('connection', (socket: Socket) => {
			// The server has read its limit for this connection just before.
			this._headerLines.set(socket, server.maxHeadersCount!);
			this._add(server, socket);
			this._limitHeaderLines();
		});
		server.on('request', ({socket}: IncomingMessage, res: ServerResponse) => {
			this._book.beginRequest(socket);
			this._book.beginBody(socket, clock.nowMs());
			res.once('close', () => {
				this._readBytes.set(socket, socket.bytesRead);
				this._book.endRequest(socket, clock.nowMs());
			});
		});
	}

	/** Returns whether the parser may have dropped header lines of a request. */
	hasDroppedHeaders({socket, rawHeaders}: IncomingMessage): boolean {
		return rawHeaders.length >= 2 * (this._headerLines.get(socket) ?? Infinity);
	}

	dispose(): void {
		clearTimeout(this._headTimer);
	}

	private _add(server: Server, socket: Socket): void {
		const {metrics, ports, maxConnections, clock} = this._options;
		const nowMs = clock.nowMs();
		const {outcome, victim, isStalled} = this._book.add(socket, nowMs);
		if (outcome === 'refused' || victim) {
			const closed = isStalled ? 'stalled' : (victim ? 'waiting' : 'new');
			metrics.count('connections_over_limit_total', {ports, closed});
			this._log.log('connection limit reached', {
				ports, open: this._book.size, maxConnections, closed,
			});
		}

		if (victim && isStalled) {
			refuseStalledBody(server, victim);
		} else if (outcome === 'refused' || victim) {
			(victim ?? socket).destroy();
		}

		if (outcome === 'refused') {
			return;
		}

		socket.once('close', () => {
			this._book.remove(socket);
			this._limitHeaderLines();
		});
		if (++this._uncheckedConnections >= headCheckConnections) {
			this._checkHeads();
		} else {
			this._armHeadTimer();
		}
	}

	private _limitHeaderLines(): void {
		for (const server of this._servers) {
			server.maxHeadersCount = headerLineLimit(this._book.size);
		}
	}

	private _armHeadTimer(): void {
		if (this._book.waiting.size > this._harmless) {
			this._headTimer ??= setTimeout(() => {
				this._headTimer = undefined;
				this._checkHeads();
			}, headCheckMs).unref();
		}
	}

	private _checkHeads(): void {
		this._uncheckedConnections = 0;
		const {waiting} = this._book;
		if (waiting.size <= this._harmless) {
			return;
		}

		const {metrics, ports, headBytes} = this._options;
		const heads = [...waiting.keys()].map(socket => [socket, socket.bytesRead - (this._readBytes.get(socket) ?? 0)] as const);
		const chosen = chooseUnendedHeads(heads, headBytes);
		if (chosen.length > 0) {
			metrics.count('unended_heads_closed_total', {ports}, chosen.length);
			this._log.log('heads that do not end occupy too much memory', {
				ports, waiting: waiting.size, headBytes, closed: chosen.length,
			});
			for (const socket of chosen) {
				socket.destroy();
			}
		}

		this._armHeadTimer();
	}
}

/** Refuses a request whose body has stalled, which therefore has not run, and closes its connection. */
export function refuseStalledBody(server: Server, socket: Socket): void {
	if (!server.emit('clientError', Object.assign(new Error('the body stalled'), {code: stalledBodyCode}), socket)) {
		socket.destroy();
	}
}
