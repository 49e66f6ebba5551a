import type {Clock} from '../../common/core/clock.js';
import type {Disposable} from '../../common/core/disposable.js';
import type {Logger} from '../../common/core/log.js';
import {SeededRandom} from '../../common/core/random.js';
import {RetryWindow} from '../../common/forwarding/retry-window.js';
import type {RetryWindowLimits} from '../../common/forwarding/retry-window.js';
import {ServerDirectory} from '../../common/forwarding/server-directory.js';
import type {Server} from '../../common/forwarding/server-directory.js';
import type {ServerKey, ServerRecord} from '../../common/forwarding/types.js';
import {ForwardAdapter} from './forward-adapter.js';

export type ServerFleetOptions = {
	readonly clock: Clock;
	readonly logger: Logger;
	readonly seed: number;
	readonly retries: RetryWindowLimits;
	/** Processes of the system that forward requests. */
	readonly processes: () => number;
};

/** The servers that requests are forwarded to, with their connections and the budget for resends. */
export class ServerFleet implements Disposable {
	readonly directory: ServerDirectory;
	readonly random: SeededRandom;
	private readonly _adapters = new Map<ServerKey, ForwardAdapter>();
	private readonly _windows = new Map<string, RetryWindow>();

	constructor(private readonly _options: ServerFleetOptions) {
		this.random = new SeededRandom(_options.seed);
		this.directory = new ServerDirectory(this.random);
	}

	/** Takes the platform's list. Exchanges under way with servers that it lacks may end. */
	update(records: readonly ServerRecord[]): void {
		const {added, changed, removed} = this.directory.update(records, this._options.clock.nowMs());
		for (const [key, adapter] of this._adapters) {
			if (!this.directory.get(key)) {
				adapter.dispose();
				this._adapters.delete(key);
			}
		}

		if (added.length + changed.length + removed.length > 0) {
			this._options.logger.log('info', 'servers changed', {
				added, removed, changed: changed.map(key => `${key} ${this.directory.get(key)!.record.state}`),
			});
		}
	}

	adapter({key, record}: Server): ForwardAdapter {
		let adapter = this._adapters.get(key);
		if (!adapter) {
			adapter = new ForwardAdapter({name: key, address: record.address, zone: record.zone}, this._options.clock);
			this._adapters.set(key, adapter);
		}

		return adapter;
	}

	/** Exchanges that this process may have under way with one server of a service. */
	connectionShare(maxConnections: number): number {
		return Math.max(1, Math.floor(maxConnections / Math.max(1, this._options.processes())));
	}

	countSend(service: string): void {
		this._window(service).countSend(this._options.clock.nowMs());
	}

	takeRetry(service: string): boolean {
		return this._window(service).takeRetry(this._options.clock.nowMs(), this._options.processes());
	}

	/** Counts a failed exchange and logs when the server gets no requests for a while. */
	recordFailure(server: Server, reason: string): void {
		if (this.directory.recordFailure(server, this._options.clock.nowMs())) {
			this._options.logger.log('warn', 'server ejected', {server: server.key, reason});
		}
	}

	dispose(): void {
		for (const adapter of this._adapters.values()) {
			adapter.dispose();
		}
	}

	private _window(service: string): RetryWindow {
		let window = this._windows.get(service);
		if (!window) {
			window = new RetryWindow(this._options.retries);
			this._windows.set(service, window);
		}

		return window;
	}
}
