import type {Clock} from '../../common/core/clock.js';
import type {Disposable} from '../../common/core/disposable.js';
import {ConnectionPool} from './connection-pool.js';

export type UpstreamOptions = {
	/** Name in the shared configuration. */
	readonly name: string;
	/** IP address and port. */
	readonly address: string;
	readonly zone: string;
};

/** Speaks the protocol of one upstream over its own connections. */
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

	/** Exchanges under way. */
	get busy(): number {
		return this._pool.busy;
	}

	/** Lets exchanges under way end, then closes their connections. */
	dispose(): void {
		this._pool.dispose();
	}

	/** Ends exchanges under way, too. */
	destroy(): void {
		this._pool.destroy();
	}

	/** Whether the upstream answers a cheap idempotent request on a new connection. */
	abstract probe(timeoutMs: number): Promise<boolean>;
}
