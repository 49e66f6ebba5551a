import type {Socket} from 'node:net';
import type {Exchange} from './exchange.js';

/** Tracks running requests, and open connections by the API key that they used last. */
export class ActiveRequests {
	private readonly _exchanges = new Set<Exchange>();
	private readonly _socketsByKeyId = new Map<string, Set<Socket>>();
	private readonly _keyIdBySocket = new WeakMap<Socket, string>();
	private _onIdle: (() => void) | undefined;

	/** Number of running requests. */
	get runningCount(): number {
		return this._exchanges.size;
	}

	add(exchange: Exchange): void {
		this._exchanges.add(exchange);
	}

	remove(exchange: Exchange): void {
		this._exchanges.delete(exchange);
		if (this._exchanges.size === 0) {
			this._onIdle?.();
		}
	}

	/** Records the key of an authenticated request as the key of its connection. */
	recordKey(exchange: Exchange): void {
		const {socket} = exchange.req;
		const {keyId} = (exchange.identity!);
		const previous = this._keyIdBySocket.get(socket);
		if (previous === keyId) {
			return;
		}

		if (previous === undefined) {
			socket.once('close', () => {
				this._unlinkSocket(socket);
			});
		} else {
			this._unlinkSocket(socket);
		}

		this._keyIdBySocket.set(socket, keyId);
		const sockets = this._socketsByKeyId.get(keyId) ?? new Set();
		sockets.add(socket);
		this._socketsByKeyId.set(keyId, sockets);
	}

	/** Stops the requests and closes the connections of a withdrawn key. */
	disconnectKey(keyId: string): void {
		const sockets = new Set(this._socketsByKeyId.get(keyId));
		for (const exchange of this._exchanges) {
			if (exchange.identity?.keyId === keyId) {
				sockets.delete(exchange.req.socket);
				exchange.closeAfterResponse();
				exchange.stop('key-withdrawn');
			}
		}

		// Only idle connections are left in `sockets` and closed at once; a connection with a running request is closed after
		// the response to that request.
		for (const socket of sockets) {
			socket.destroy();
		}
	}

	/** Ends the connections of all running requests. */
	destroyConnections(): void {
		for (const exchange of this._exchanges) {
			exchange.destroyConnection();
		}
	}

	/** Resolves when no request is running. */
	async waitUntilIdle(): Promise<void> {
		if (this._exchanges.size > 0) {
			await new Promise<void>(resolve => {
				this._onIdle = resolve;
			});
		}
	}

	private _unlinkSocket(socket: Socket): void {
		const keyId = this._keyIdBySocket.get(socket);
		this._keyIdBySocket.delete(socket);
		const sockets = keyId === undefined ? undefined : this._socketsByKeyId.get(keyId);
		sockets?.delete(socket);
		if (sockets?.size === 0) {
			this._socketsByKeyId.delete(keyId!);
		}
	}
}
