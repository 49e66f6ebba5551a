import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import type {Clock} from '../../common/core/clock.js';
import type {Disposable} from '../../common/core/disposable.js';
import type {Logger} from '../../common/core/log.js';
import {TurnQueue} from '../../common/memory/turn-queue.js';
import type {Metrics} from '../../common/services/metrics.js';
import {BoundedLog} from './bounded-log.js';
import {ConnectionIntake} from './connection-intake.js';
import type {BodyObserver} from './connection-intake.js';
import type {Holding, MemoryKeeper} from './memory-keeper.js';

export type RequestIntakeOptions = {
	readonly memory: MemoryKeeper;
	readonly clock: Clock;
	readonly logger: Logger;
	readonly metrics: Metrics;
};

/**
Passes the bytes of callers to the HTTP parser in parts. The parser creates objects for each request and each chunk, and would parse all that has
arrived at once; here a request begins only when few of those before it on its connection have not been answered, and connections whose chunks are small
take turns with each other and with the rest of the event loop. What follows of a body whose request has been answered is dropped unparsed. Bodies
must be read with `data` events.
*/
export class RequestIntake implements Disposable {
	private readonly _queue = new TurnQueue<ConnectionIntake>();
	private readonly _connections = new WeakMap<Socket, ConnectionIntake>();
	private readonly _log: BoundedLog;
	private _immediate: NodeJS.Immediate | undefined;

	/** @param maxUnanswered - number of requests on one connection that run at the same time */
	constructor(private readonly _options: RequestIntakeOptions, readonly maxUnanswered = 1) {
		this._log = new BoundedLog(_options.logger, _options.clock);
	}

	/** Begins to pass on the bytes of a server's connections. */
	watch(server: Server, observer?: BodyObserver): void {
		server.on('connection', (socket: Socket) => {
			this._connections.set(socket, new ConnectionIntake(this, socket, observer));
		});
		server.prependListener('request', (req: IncomingMessage, res: ServerResponse) => {
			this._connections.get(req.socket)?.beginRequest(req, res);
		});
	}

	/** Drops what arrives on a connection from now on. The caller closes it soon. */
	discard(socket: Socket): void {
		this._connections.get(socket)?.discard();
	}

	dispose(): void {
		clearImmediate(this._immediate);
	}

	/** Queues a connection for a visit. */
	enqueue(connection: ConnectionIntake): void {
		this._queue.add(connection);
		this._scheduleTurn();
	}

	remove(connection: ConnectionIntake): void {
		this._queue.remove(connection);
	}

	/** Begins a holding for the bytes of a connection that wait for the parser. */
	openHolding(socket: Socket): Holding {
		return this._options.memory.open('body', `address ${socket.remoteAddress}`, () => {
			this.closeForLackOfMemory(socket);
		});
	}

	/** Closes a connection since there is no memory for the bytes that wait for the parser. */
	closeForLackOfMemory(socket: Socket): void {
		this._options.metrics.count('intake_closed_total');
		this._log.log('no memory for bytes that wait to be parsed', {peer: socket.remoteAddress, readBytes: socket.bytesRead});
		socket.destroy();
	}

	/** Records that the buffer of a read will be dropped once it is parsed. */
	recordFullRead(bytes: number): void {
		this._options.memory.recordCopy(bytes);
	}

	private _runTurn(): void {
		this._queue.beginTurn();
		for (let connection = this._queue.next(); connection; connection = this._queue.next()) {
			this._queue.spend(connection.visit());
		}

		if (!this._queue.isEmpty) {
			this._options.metrics.count('intake_turns_total');
			this._scheduleTurn();
		}
	}

	private _scheduleTurn(): void {
		this._immediate ??= setImmediate(() => {
			this._immediate = undefined;
			this._runTurn();
		});
	}
}

