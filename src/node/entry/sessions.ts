import type {Socket} from 'node:net';
import type {Exchange} from './exchange.js';

/** Requests that run and connections that stay open, by the key they used last. */
export class Sessions {
	private readonly _exchanges = new Set<Exchange>();
	private readonly _socketsByKey = new Map<string, Set<Socket>>();
	private readonly _keyOfSocket = new WeakMap<Socket, string>();
	private _onIdle: (() => void) | undefined;

	get running(): number {
		return this._exchanges.size;
	}

	begin(exchange: Exchange): void {
		this._exchanges.add(exchange);
	}

	end(exchange: Exchange): void {
		this._exchanges.delete(exchange);
		if (this._exchanges.size === 0) {
			this._onIdle?.();
		}
	}

	/** Notes whose key the request and its connection use. */
	identify(exchange: Exchange): void {
		const {socket} = exchange.req;
		const {keyId} = (exchange.identity!);
		const previous = this._keyOfSocket.get(socket);
		if (previous === keyId) {
			return;
		}

		if (previous === undefined) {
			socket.once('close', () => {
				this._forget(socket);
			});
		} else {
			this._forget(socket);
		}

		this._keyOfSocket.set(socket, keyId);
		const sockets = this._socketsByKey.get(keyId) ?? new Set();
		sockets.add(socket);
		this._socketsByKey.set(keyId, sockets);
	}

	/** Ends the requests and connections of a withdrawn key. */
	withdraw(keyId: string): void {
		const sockets = new Set(this._socketsByKey.get(keyId));
		for (const exchange of this._exchanges) {
			if (exchange.identity?.keyId === keyId) {
				sockets.delete(exchange.req.socket);
				exchange.closeAfterAnswer();
				exchange.stop('key-withdrawn');
			}
		}

		// Connections without a request end at once; the others end with the refusals of theirs.
		for (const socket of sockets) {
			socket.destroy();
		}
	}

	/** Resolves when no request runs. */
	async idle(): Promise<void> {
		if (this._exchanges.size > 0) {
			await new Promise<void>(resolve => {
				this._onIdle = resolve;
			});
		}
	}

	private _forget(socket: Socket): void {
		const keyId = this._keyOfSocket.get(socket);
		this._keyOfSocket.delete(socket);
		const sockets = keyId === undefined ? undefined : this._socketsByKey.get(keyId);
		sockets?.delete(socket);
		if (sockets?.size === 0) {
			this._socketsByKey.delete(keyId!);
		}
	}
}
