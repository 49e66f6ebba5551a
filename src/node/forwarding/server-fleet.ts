import type {Clock} from '../../common/core/clock.js';
import type {Disposable} from '../../common/core/disposable.js';
import type {Logger} from '../../common/core/log.js';
import {SeededRandom} from '../../common/core/random.js';
import {PrefillWindow} from '../../common/forwarding/prefill-window.js';
import {RetryWindow} from '../../common/forwarding/retry-window.js';
import type {RetryWindowLimits} from '../../common/forwarding/retry-window.js';
import {ServerDirectory} from '../../common/forwarding/server-directory.js';
import type {Server} from '../../common/forwarding/server-directory.js';
import type {ServerKey, ServerRecord} from '../../common/forwarding/types.js';
import type {Answer} from '../upstreams/connection-pool.js';
import {ForwardAdapter} from './forward-adapter.js';
import type {FleetProtocol} from './fleet-protocol.js';

export type ServerFleetOptions = {
	readonly protocol: Pick<FleetProtocol, 'readServerAnswer'>;
	readonly clock: Clock;
	readonly logger: Logger;
	readonly seed: number;
	readonly retries: RetryWindowLimits;
	/** Processes of the system that forward requests. */
	readonly processes: () => number;
	/** Tells the other processes that a server cannot be reached from here. */
	readonly announceUnreachable: (key: ServerKey) => void;
	/** Tells the other processes that a server gets no work for so long, or takes that back with 0. */
	readonly announceSuspended: (key: ServerKey, forMs: number) => void;
	/** Tells the other processes that a server says it leaves. */
	readonly announceLeaving: (key: ServerKey) => void;
};

/** Time for which a server that is not the listed one gets no work, in milliseconds; lists lag by a second or two, and crashed servers stay on them for some. */
const misdirectedMs = 3000;
/** Status of a server that turns work away for a time (HTTP 503, Service Unavailable). */
const overloadedStatus = 503;
/** Bound on a probe, in milliseconds; servers are a few milliseconds away. */
const probeTimeoutMs = 250;

/** The servers that requests are forwarded to, with their connections and the budget for resends. */
export class ServerFleet implements Disposable {
	readonly directory: ServerDirectory;
	readonly random: SeededRandom;
	private readonly _adapters = new Map<ServerKey, ForwardAdapter>();
	private readonly _prefills = new PrefillWindow();
	private readonly _windows = new Map<string, RetryWindow>();
	/** Servers that are being probed because another process cannot reach them. */
	private readonly _verifying = new Set<ServerKey>();
	private _isDisposed = false;

	constructor(private readonly _options: ServerFleetOptions) {
		this.random = new SeededRandom(_options.seed);
		this.directory = new ServerDirectory(this.random);
	}

	/** Takes the platform's list as it was asked for at `askedMs`, unless a later one is in use. Exchanges under way with servers that it lacks may end. */
	update(records: readonly ServerRecord[], askedMs: number): void {
		if (askedMs <= (this.directory.listedMs ?? Number.NEGATIVE_INFINITY)) {
			return;
		}

		const {added, changed, removed} = this.directory.update(records, askedMs);
		for (const [key, adapter] of this._adapters) {
			if (!this.directory.get(key)) {
				adapter.dispose();
				this._adapters.delete(key);
			}
		}

		if (added.length + changed.length + removed.length > 0) {
			this._options.logger.log('info', 'servers changed', {
				added, removed, changed: changed.map(key => `${key} ${this.directory.get(key)!.record.state}`), listAgeMs: this.listAgeMs(),
			});
		}
	}

	/** Age of the list in use, in milliseconds; undefined before the first one. */
	listAgeMs(): number | undefined {
		const {listedMs} = this.directory;
		return listedMs === undefined ? undefined : Math.round(this._options.clock.nowMs() - listedMs);
	}

	adapter({key, record}: Server): ForwardAdapter {
		let adapter = this._adapters.get(key);
		if (!adapter) {
			adapter = new ForwardAdapter({name: key, address: record.address, zone: record.zone}, this._options.clock, answer => {
				this._readNotices(key, answer);
			});
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

	/** Takes as many further arrivals as a retry makes from the budget of its service. */
	takeRetry(service: string, arrivals = 1): boolean {
		return this._window(service).takeRetry(this._options.clock.nowMs(), this._options.processes(), arrivals);
	}

	/** Counts one further arrival in that budget, whether or not one is left. */
	countArrival(service: string): void {
		this._window(service).countArrival(this._options.clock.nowMs());
	}

	/**
	The server at this address is another one, or in another stage, than the list says: no process sends it work until the list may
	have caught up.
	*/
	recordMisdirected(server: Server): void {
		const {clock, logger, announceSuspended} = this._options;
		this.directory.suspend(server, clock.nowMs() + misdirectedMs);
		logger.log('warn', 'server is not the listed one', {server: server.key, forMs: misdirectedMs, listAgeMs: this.listAgeMs()});
		announceSuspended(server.key, misdirectedMs);
	}

	/** Whether one more prompt of this process may be under way to the prefill engines of a service; ends with `releasePrefillPlace`. */
	takePrefillPlace(service: string): boolean {
		return this._prefills.take(service, this.directory.ready(service, 'prefill').length, this._options.clock.nowMs());
	}

	releasePrefillPlace(service: string): void {
		this._prefills.release(service);
	}

	/** Counts how long a prompt took to be read, or until it was given up. */
	recordPrefill(service: string, durationMs: number, targetMs: number): void {
		this._prefills.record(service, durationMs, targetMs, this._options.clock.nowMs());
	}

	/** Counts a failed exchange. A server that cannot be reached, or fails several times in a row, is ejected until a probe succeeds. */
	recordFailure(server: Server, failure: {readonly isUnreachable: boolean; readonly detail: string}): void {
		if (!this.directory.recordFailure(server, failure.isUnreachable, this._options.clock.nowMs())) {
			return;
		}

		this._options.logger.log('warn', 'server ejected', {server: server.key, ...failure});
		this._probeWhenDue(server);
		if (failure.isUnreachable) {
			this._options.announceUnreachable(server.key);
		}
	}

	/** Another process cannot reach a server: probes it, so that no request has to find out. */
	async verify(key: ServerKey, announcedBy: string): Promise<void> {
		const server = this.directory.get(key);
		if (!server || server.ejection.isEjected || this._verifying.has(key)) {
			return;
		}

		this._verifying.add(key);
		const isReached = await this.adapter(server).probe(probeTimeoutMs);
		this._verifying.delete(key);
		if (!isReached && this.directory.recordFailure(server, true, this._options.clock.nowMs())) {
			this._options.logger.log('warn', 'server ejected', {server: key, detail: 'announced by another process and not reached', announcedBy});
			this._probeWhenDue(server);
		}
	}

	/** Another process found that a server turns work away. */
	noteSuspended(key: ServerKey, forMs: number, announcedBy: string): void {
		const server = this.directory.get(key);
		if (server) {
			this.directory.suspend(server, this._options.clock.nowMs() + forMs);
			this._options.logger.log('info', 'server suspended', {server: key, forMs, announcedBy});
		}
	}

	/** Another process was told by a server that it leaves. */
	noteLeaving(key: ServerKey, announcedBy: string): void {
		if (this.directory.notices.noteLeaving(key, this._options.clock.nowMs())) {
			this._options.logger.log('info', 'server says that it leaves', {server: key, announcedBy});
		}
	}

	dispose(): void {
		this._isDisposed = true;
		for (const adapter of this._adapters.values()) {
			adapter.dispose();
		}
	}

	/** Heeds what a server says of itself in any answer, before the list does. */
	private _readNotices(key: ServerKey, {status, headers}: Pick<Answer, 'status' | 'headers'>): void {
		const {protocol, clock, logger, announceLeaving} = this._options;
		const {isLeaving, retryAfterMs} = protocol.readServerAnswer(headers);
		const {notices} = this.directory;
		const nowMs = clock.nowMs();
		if (isLeaving && notices.noteLeaving(key, nowMs)) {
			logger.log('info', 'server says that it leaves', {server: key, listAgeMs: this.listAgeMs()});
			announceLeaving(key);
		}

		if (status === overloadedStatus && retryAfterMs !== undefined && notices.notePause(key, retryAfterMs, nowMs)) {
			logger.log('info', 'server wants no work', {server: key, forMs: Math.round(retryAfterMs), listAgeMs: this.listAgeMs()});
		}
	}

	private _probeWhenDue(server: Server): void {
		const {clock} = this._options;
		const timer = setTimeout(async () => {
			if (this._isDisposed || this.directory.get(server.key) !== server || !server.ejection.isEjected) {
				return;
			}

			const isReached = await this.adapter(server).probe(probeTimeoutMs);
			if (server.ejection.recordProbe(isReached, clock.nowMs())) {
				this._options.logger.log('info', 'server readmitted', {server: server.key});
			} else {
				this._probeWhenDue(server);
			}
		}, Math.max(0, (server.ejection.probeAtMs ?? 0) - clock.nowMs()));
		timer.unref();
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
