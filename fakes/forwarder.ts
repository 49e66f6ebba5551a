import {connect, createServer} from 'node:net';
import type {AddressInfo, Socket} from 'node:net';
import type {Disposable} from '../src/common/core/disposable.js';

/** Which bytes a forwarder drops while its connections stay open. */
export type DropMode = 'none' | 'to-target' | 'to-client' | 'both';

const host = '127.0.0.1';

/**
Forwards TCP connections to a target, and can silently drop bytes one way or both.
Connections whose bytes were dropped stay useless when forwarding resumes, so they are closed then.
*/
export class Forwarder implements Disposable {
	private readonly _server = createServer({allowHalfOpen: true}, client => {
		this._open(client);
	});

	private readonly _pairs = new Set<{readonly client: Socket; readonly target: Socket; hasLost: boolean}>();
	private _mode: DropMode = 'none';
	private _lostBytes = 0;

	/** `target` is an IP address and port. */
	constructor(private readonly _target: string) {}

	get address(): string {
		return `${host}:${(this._server.address() as AddressInfo).port}`;
	}

	get connections(): number {
		return this._pairs.size;
	}

	/** Bytes dropped so far, in both directions. */
	get lostBytes(): number {
		return this._lostBytes;
	}

	/** Listens on a port of the loopback address; 0 takes a free one. */
	async start(port = 0): Promise<void> {
		await new Promise<void>((resolve, reject) => {
			this._server.once('error', reject);
			this._server.listen(port, host, resolve);
		});
	}

	/** Changes what is dropped, for open and new connections alike. */
	setMode(mode: DropMode): void {
		this._mode = mode;
		for (const pair of this._pairs) {
			if (mode === 'none' && pair.hasLost) {
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

	private _open(client: Socket): void {
		const [targetHost, port] = this._target.split(':') as [string, string];
		const pair = {client, target: connect({host: targetHost, port: Number(port), allowHalfOpen: true}), hasLost: false};
		this._pairs.add(pair);
		this._pipe(pair, client, pair.target, 'to-target');
		this._pipe(pair, pair.target, client, 'to-client');
	}

	private _pipe(pair: {readonly client: Socket; readonly target: Socket; hasLost: boolean}, from: Socket, to: Socket, direction: DropMode): void {
		const isDropped = (): boolean => this._mode === 'both' || this._mode === direction;
		from.on('data', chunk => {
			if (isDropped()) {
				pair.hasLost = true;
				this._lostBytes += chunk.length;
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
			// The close event follows.
		});
		from.on('close', () => {
			// While bytes are dropped the other side must not learn that this one is gone.
			if (isDropped()) {
				return;
			}

			to.destroy();
			this._pairs.delete(pair);
		});
	}
}
