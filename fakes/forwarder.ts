import {connect, createServer} from 'node:net';
import type {AddressInfo, Socket} from 'node:net';
import type {Disposable} from '../src/common/core/disposable.js';

/** Direction or directions in which a forwarder drops bytes while its connections stay open; `none` if it forwards all bytes. */
export type DropMode = 'none' | 'to-target' | 'to-client' | 'both';

const host = '127.0.0.1';

/**
Forwards TCP connections to a target, and can silently drop bytes in one or both directions.
A connection that has lost bytes is unusable, so it is closed when forwarding resumes.
*/
export class Forwarder implements Disposable {
	private readonly _server = createServer({allowHalfOpen: true}, client => {
		this._accept(client);
	});

	private readonly _pairs = new Set<{readonly client: Socket; readonly target: Socket; hasDroppedBytes: boolean}>();
	private _mode: DropMode = 'none';
	private _droppedBytes = 0;

	/** `target` is an IP address and port. */
	constructor(private readonly _target: string) {}

	get address(): string {
		return `${host}:${(this._server.address() as AddressInfo).port}`;
	}

	get connectionCount(): number {
		return this._pairs.size;
	}

	/** Number of bytes dropped so far, in both directions together. */
	get droppedBytes(): number {
		return this._droppedBytes;
	}

	/** Listens on a port of the loopback address; 0 selects a free port. */
	async start(port = 0): Promise<void> {
		await new Promise<void>((resolve, reject) => {
			this._server.once('error', reject);
			this._server.listen(port, host, resolve);
		});
	}

	/** Sets the directions in which bytes are dropped, for open and new connections alike. */
	setMode(mode: DropMode): void {
		this._mode = mode;
		for (const pair of this._pairs) {
			if (mode === 'none' && pair.hasDroppedBytes) {
				pair.client.destroy();
				pair.target.destroy();
			}
		}
	}

	async dispose(): Promise<void> {
		this._server.close();
		for (const {client, target} of this._pairs) {
			client.destroy();
			target.destroy();
		}
	}

	private _accept(client: Socket): void {
		const [targetHost, port] = this._target.split(':') as [string, string];
		const pair = {client, target: connect({host: targetHost, port: Number(port), allowHalfOpen: true}), hasDroppedBytes: false};
		this._pairs.add(pair);
		this._pipe(pair, client, pair.target, 'to-target');
		this._pipe(pair, pair.target, client, 'to-client');
	}

	private _pipe(pair: {readonly client: Socket; readonly target: Socket; hasDroppedBytes: boolean}, from: Socket, to: Socket, direction: DropMode): void {
		const isDropped = (): boolean => this._mode === 'both' || this._mode === direction;
		from.on('data', chunk => {
			if (isDropped()) {
				pair.hasDroppedBytes = true;
				this._droppedBytes += chunk.length;
			} else if (!to.write(chunk)) {
				from.pause();
				to.once('drain', () => from.resume());
			}
		});
		from.on('end', () => {
			if (!isDropped()) {
				to.end();
			}
		});
		from.on('error', () => {
			// The `close` handler below cleans up after an error.
		});
		from.on('close', () => {
			// While bytes in this direction are dropped, the other side must not notice that the connection closed, so its socket stays open.
			if (isDropped()) {
				return;
			}

			to.destroy();
			this._pairs.delete(pair);
		});
	}
}
