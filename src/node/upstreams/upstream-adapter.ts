import type {Clock} from '../../common/core/clock.js';
import type {Disposable} from '../../common/core/disposable.js';
import {ConnectionPool} from './connection-pool.js';

export type UpstreamOptions = {
	/** Name of the upstream in the shared configuration. */
	readonly name: string;
	/** IP address and port, separated by a colon. */
	readonly address: string;
	/** Availability zone of the upstream. */
	readonly zone: string;
};

/** Base class of clients for one upstream. Each client has its own connection pool. */
export abstract class UpstreamAdapter implements Disposable {
	readonly name: string;
	readonly address: string;
	readonly zone: string;
	protected readonly _pool: ConnectionPool;

	constructor(options: UpstreamOptions, clock: Clock) {
		this.name = options.name;
		this.address = options.address;
		this.zone = options.zone;
		this._pool = new ConnectionPool(options.address, clock);
	}

	/** Number of exchanges in progress. */
	get busy(): number {
		return this._pool.busyCount;
	}

	/** Closes idle connections at once and busy connections when their exchanges end. */
	dispose(): void {
		this._pool.dispose();
	}

	/** Closes all connections and aborts their exchanges. */
	destroy(): void {
		this._pool.destroy();
	}

	/** Returns false if the upstream refuses connections; true if one is opened, or if none is within `timeoutMs`, which tells nothing. */
	async isReachable(timeoutMs: number): Promise<boolean> {
		return this._pool.isReachable(timeoutMs);
	}

	/** Sends an inexpensive idempotent request on a new connection; resolves to whether the answer shows, within `timeoutMs`, that the upstream works. */
	abstract probe(timeoutMs: number): Promise<boolean>;
}
