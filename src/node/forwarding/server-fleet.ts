import type {Clock} from '../../common/core/clock.js';
import type {Disposable} from '../../common/core/disposable.js';
import type {Logger} from '../../common/core/log.js';
import {SeededRandom} from '../../common/core/random.js';
import {ColdBudget} from '../../common/forwarding/cold-budget.js';
import type {ColdAllowance, ColdRate} from '../../common/forwarding/cold-budget.js';
import {RoomShortage} from '../../common/forwarding/room-shortage.js';
import {PrefillLimiter} from '../../common/forwarding/prefill-limiter.js';
import {WindowedRetryBudget} from '../../common/forwarding/windowed-retry-budget.js';
import type {WindowedRetryBudgetLimits} from '../../common/forwarding/windowed-retry-budget.js';
import {ServerDirectory} from '../../common/forwarding/server-directory.js';
import type {Server} from '../../common/forwarding/server-directory.js';
import type {ServerKey, ServerRecord} from '../../common/forwarding/types.js';
import type {ForwardService} from '../../common/configuration/forwarding.js';
import type {EntryProcesses} from '../../common/scheduler/types.js';
import type {UpstreamResponse} from '../upstreams/connection-pool.js';
import {ForwardAdapter} from './forward-adapter.js';
import type {FleetProtocol} from './fleet-protocol.js';

export type ColdFleetOptions = {
	readonly allowance: ColdAllowance;
	/** Name of the VM of this process. */
	readonly self: string;
	/** All known processes that forward requests. */
	readonly processes: () => EntryProcesses;
};

export type ServerFleetOptions = {
	readonly protocol: Pick<FleetProtocol, 'readServerAnswer'>;
	readonly clock: Clock;
	readonly logger: Logger;
	readonly seed: number;
	readonly retries: WindowedRetryBudgetLimits;
	/** Number of processes that forward requests. */
	readonly processCount: () => number;
	/** Protection of cold servers; absent if they need none. */
	readonly cold?: ColdFleetOptions | undefined;
	/** Tells the other processes that this one cannot reach a server. */
	readonly announceUnreachable: (key: ServerKey) => void;
	/** Tells the other processes to send a server no work for `forMs` milliseconds; 0 ends the suspension early. */
	readonly announceSuspended: (key: ServerKey, forMs: number) => void;
	/** Tells the other processes that a server has stated that it is shutting down. */
	readonly announceLeaving: (key: ServerKey) => void;
	/** Called when a server cannot be reached, or is no longer listed. */
	readonly onServerLost: (key: ServerKey) => void;
};

/**
Time for which a server gets no work after it proved not to be the listed server or stage, in milliseconds. The list shows
changes a second or two late, and keeps crashed servers for some seconds.
*/
const misdirectedSuspensionMs = 3000;
/** Maximum number of servers that one log line names. */
const maxLoggedServers = 20;
/** Requests that one turn may cause at a cold engine within a second: a reservation or a prefill call, and the run or the release that follows it. */
const engineRequestsPerTurn = 2;
/** Status with which a server rejects requests for some time (HTTP 503, Service Unavailable). */
const overloadedStatus = 503;
/** Number of granted reservations that are remembered; far more than this process asks for while a connection may carry a late copy. */
const maxGrants = 4096;
/** Timeout of a probe, in milliseconds; the network round trip to a server takes only a few milliseconds. */
const probeTimeoutMs = 250;
/** Timeout of a check whether a server refuses connections, in milliseconds; several times the network round trip. The end of an answer without framing waits for it. */
const reachabilityTimeoutMs = 50;

/** The servers that requests are forwarded to, with their connections, ejections and retry budgets. */
export class ServerFleet implements Disposable {
	readonly directory: ServerDirectory;
	readonly random: SeededRandom;
	readonly roomShortage = new RoomShortage();
	private readonly _adapters = new Map<ServerKey, ForwardAdapter>();
	private readonly _prefillLimiter = new PrefillLimiter();
	private readonly _retryBudgets = new Map<string, WindowedRetryBudget>();
	/** Reservations that servers granted, the oldest first. */
	private readonly _grants = new Set<string>();
	/** Servers that are being probed because another process reported them as unreachable. */
	private readonly _serversBeingProbed = new Set<ServerKey>();
	/** Ejected servers whose probing ended because their zone is evacuated. */
	private readonly _unprobedServers = new Set<ServerKey>();
	private _isDisposed = false;

	constructor(private readonly _options: ServerFleetOptions) {
		this.random = new SeededRandom(_options.seed);
		this.directory = new ServerDirectory(this.random, _options.cold && new ColdBudget({..._options.cold, startedMs: _options.clock.nowMs()}));
	}

	/**
	Applies the platform's list that was requested at the monotonic time `requestedMs`, unless the list in use was requested at
	the same time or later. Exchanges with servers that are no longer listed may finish.
	*/
	update(records: readonly ServerRecord[], requestedMs: number): void {
		if (requestedMs <= (this.directory.listRequestedAtMs ?? Number.NEGATIVE_INFINITY)) {
			return;
		}

		const {added, changed, removed, cold} = this.directory.update(records, requestedMs, this._options.clock.nowMs());
		for (const key of removed) {
			this._unprobedServers.delete(key);
			this._options.onServerLost(key);
		}

		if (cold.length > 0) {
			this._options.logger.log('info', 'servers are cold', {servers: cold.slice(0, maxLoggedServers), count: cold.length, listAgeMs: this.listAgeMs()});
		}

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

	/** Applies the evacuated zones of the shared state at `revision`. Nothing more is sent to the servers there; running exchanges may finish. */
	setEvacuatedZones(zones: ReadonlySet<string>, revision: number): void {
		const {evacuatedZones} = this.directory;
		if (zones.size === evacuatedZones.size && [...zones].every(zone => evacuatedZones.has(zone))) {
			return;
		}

		this.directory.setEvacuatedZones(zones, this._options.clock.nowMs());
		this._options.logger.log('info', 'evacuated zones changed', {zones: [...zones], before: [...evacuatedZones], revision});
		for (const key of this._unprobedServers) {
			const server = this.directory.get(key);
			if (server && !this.directory.isEvacuated(server)) {
				this._unprobedServers.delete(key);
				this._scheduleProbe(server);
			}
		}
	}

	/** Time since the list in use was requested, in milliseconds; undefined before the first list. */
	listAgeMs(): number | undefined {
		const {listRequestedAtMs} = this.directory;
		return listRequestedAtMs === undefined ? undefined : Math.round(this._options.clock.nowMs() - listRequestedAtMs);
	}

	adapterFor({key, record}: Server): ForwardAdapter {
		let adapter = this._adapters.get(key);
		if (!adapter) {
			adapter = new ForwardAdapter({
				name: key,
				address: record.address,
				zone: record.zone,
				readRequestId: headers => this._options.protocol.readServerAnswer(headers).requestId,
				onAnswer: answer => {
					this._applyNotices(key, answer);
				},
				onForeignAnswer: expectedId => {
					this._options.logger.log('warn', 'answer of a server belongs to another call', {requestId: expectedId, server: key, listAgeMs: this.listAgeMs()});
				},
			}, this._options.clock);
			this._adapters.set(key, adapter);
		}

		return adapter;
	}

	/** Maximum number of concurrent exchanges of this process with one server: its share of the service's `maxConnections`. */
	exchangeLimit(maxConnections: number): number {
		return Math.max(1, Math.floor(maxConnections / Math.max(1, this._options.processCount())));
	}

	/** Records a reservation that a server granted. Returns false if it was granted before: its id then comes from a late copy of that answer, and belongs to another request. */
	recordGrant({key}: Server, reservationId: string): boolean {
		const grant = `${key} ${reservationId}`;
		if (this._grants.has(grant)) {
			this._options.logger.log('warn', 'server named a reservation again', {server: key, reservationId});
			return false;
		}

		this._grants.add(grant);
		if (this._grants.size > maxGrants) {
			this._grants.delete(this._grants.values().next().value!);
		}

		return true;
	}

	/** What the servers of a service tolerate while they are cold; undefined if they need no protection. */
	coldRate({coldRequestsPerSecond, engine}: ForwardService): ColdRate | undefined {
		return this._options.cold && coldRequestsPerSecond !== undefined
			? {requestsPerSecond: coldRequestsPerSecond, requestsPerTurn: engine ? engineRequestsPerTurn : 1}
			: undefined;
	}

	/** Charges a request that is sent now to the budget of the server, if it is cold. If another request of the same turn follows, it does so within `followedWithinMs` milliseconds. Returns whether the server is cold. */
	recordColdRequest({key}: Server, followedWithinMs = 0): boolean {
		return this.directory.cold?.recordRequest(key, this._options.clock.nowMs(), followedWithinMs) ?? false;
	}

	/** Time for which the server remains cold and takes few requests, in milliseconds; 0 if it is warm or needs no protection. */
	coldForMs({key}: Server): number {
		return this.directory.cold?.coldForMs(key, this._options.clock.nowMs()) ?? 0;
	}

	countSend(service: string): void {
		this._retryBudget(service).countSend(this._options.clock.nowMs());
	}

	/**
	Takes the additional requests that a retry causes at the servers, `requests` in number, from the retry budget of the
	service. Returns false if the budget does not cover them.
	*/
	takeRetry(service: string, requests = 1): boolean {
		return this._retryBudget(service).takeRetry(this._options.clock.nowMs(), this._options.processCount(), requests);
	}

	/** Charges one additional request to the retry budget of the service, even if the budget is used up. */
	recordRequest(service: string): void {
		this._retryBudget(service).recordRequest(this._options.clock.nowMs());
	}

	/**
	Suspends a server whose address belongs to another server than the listed one, or which is in another stage than listed. No
	process sends the server work until the list has had time to show the change.
	*/
	recordMisdirected(server: Server): void {
		const {clock, logger, announceSuspended} = this._options;
		this.directory.suspend(server, clock.nowMs() + misdirectedSuspensionMs);
		logger.log('warn', 'server is not the listed one', {server: server.key, forMs: misdirectedSuspensionMs, listAgeMs: this.listAgeMs()});
		announceSuspended(server.key, misdirectedSuspensionMs);
	}

	/**
	Takes one of the slots that limit how many prompts this process sends to the prefill engines of a service at the same time.
	Returns false if no slot is free, or if a more urgent request (of lower `rank`) waits for one. `releasePrefillSlot` frees the slot.
	*/
	acquirePrefillSlot(service: string, rank = 0): boolean {
		return this._prefillLimiter.tryAcquire(service, this.directory.readyServers(service, 'prefill').length, this._options.clock.nowMs(), rank);
	}

	releasePrefillSlot(service: string): void {
		this._prefillLimiter.release(service);
	}

	/** Records how long the prefill of a prompt took, or how long it ran until it was given up. The number of prefill slots is adjusted to these durations. */
	recordPrefillDuration(service: string, durationMs: number, targetMs: number): void {
		this._prefillLimiter.recordDuration(service, durationMs, targetMs, this._options.clock.nowMs());
	}

	/** Records a failed exchange. A server that cannot be reached, or fails several times in a row, is ejected until a probe succeeds. */
	recordFailure(server: Server, failure: {readonly isUnreachable: boolean; readonly detail: string}): void {
		if (failure.isUnreachable) {
			this._options.onServerLost(server.key);
		}

		if (!this.directory.recordFailure(server, failure.isUnreachable, this._options.clock.nowMs())) {
			return;
		}

		this._options.logger.log('warn', 'server ejected', {server: server.key, ...failure});
		this._scheduleProbe(server);
		if (failure.isUnreachable) {
			this._options.announceUnreachable(server.key);
		}
	}

	/** Probes a server that another process reported as unreachable, and ejects the server if the probe fails, so that no request of this process has to discover the failure. */
	async probeReported(key: ServerKey, announcedBy: string): Promise<void> {
		const server = this.directory.get(key);
		if (!server || server.ejection.isEjected || this.directory.isEvacuated(server) || this._serversBeingProbed.has(key)) {
			return;
		}

		this._serversBeingProbed.add(key);
		const isReached = await this.adapterFor(server).probe(probeTimeoutMs);
		this._serversBeingProbed.delete(key);
		if (!isReached) {
			this._options.onServerLost(key);
		}

		if (!isReached && this.directory.recordFailure(server, true, this._options.clock.nowMs())) {
			this._options.logger.log('warn', 'server ejected', {server: key, detail: 'reported as unreachable by another process, and the probe failed', announcedBy});
			this._scheduleProbe(server);
		}
	}

	/**
	Returns whether a server that has closed the connection of an exchange is gone, because it refuses connections now. Such a server is
	ejected. Each call makes its own check, since one that began earlier may have been passed before the server went.
	*/
	async isLost(server: Server): Promise<boolean> {
		const isReachable = await this.adapterFor(server).isReachable(reachabilityTimeoutMs);
		if (!isReachable) {
			this.recordFailure(server, {isUnreachable: true, detail: 'the server closed a connection and refuses new ones'});
		}

		return !isReachable;
	}

	/** Suspends a server for `forMs` milliseconds because another process announced it; 0 ends the suspension early. */
	applyAnnouncedSuspension(key: ServerKey, forMs: number, announcedBy: string): void {
		const server = this.directory.get(key);
		if (server) {
			this.directory.suspend(server, this._options.clock.nowMs() + forMs);
			this._options.logger.log('info', 'server suspended', {server: key, forMs, announcedBy});
		}
	}

	/** Records the shutdown of a server that another process announced. */
	recordAnnouncedShutdown(key: ServerKey, announcedBy: string): void {
		if (this.directory.notices.recordLeaving(key, this._options.clock.nowMs())) {
			this._options.logger.log('info', 'server says that it leaves', {server: key, announcedBy});
		}
	}

	dispose(): void {
		this._isDisposed = true;
		for (const adapter of this._adapters.values()) {
			adapter.dispose();
		}
	}

	/** Applies what a server states about itself in the headers of any answer, since the platform's list would show it only later. */
	private _applyNotices(key: ServerKey, {status, headers}: Pick<UpstreamResponse, 'status' | 'headers'>): void {
		const {protocol, clock, logger, announceLeaving} = this._options;
		const {isLeaving, retryAfterMs, coldForMs} = protocol.readServerAnswer(headers);
		const {notices} = this.directory;
		const nowMs = clock.nowMs();
		if (isLeaving && notices.recordLeaving(key, nowMs)) {
			logger.log('info', 'server says that it leaves', {server: key, listAgeMs: this.listAgeMs()});
			announceLeaving(key);
		}

		if (coldForMs !== undefined && coldForMs > 0 && this.directory.cold?.recordNotice(key, coldForMs, nowMs)) {
			logger.log('info', 'server says that it is cold', {server: key, forMs: Math.round(coldForMs), listAgeMs: this.listAgeMs()});
		}

		if (status === overloadedStatus && retryAfterMs !== undefined && notices.recordPause(key, retryAfterMs, nowMs)) {
			logger.log('info', 'server wants no work', {server: key, forMs: Math.round(retryAfterMs), listAgeMs: this.listAgeMs()});
		}
	}

	private _scheduleProbe(server: Server): void {
		const {clock} = this._options;
		const timer = setTimeout(async () => {
			if (this._isDisposed || this.directory.get(server.key) !== server || !server.ejection.isEjected) {
				return;
			}

			if (this.directory.isEvacuated(server)) {
				this._unprobedServers.add(server.key);
				return;
			}

			const isReached = await this.adapterFor(server).probe(probeTimeoutMs);
			if (server.ejection.recordProbe(isReached, clock.nowMs())) {
				this._options.logger.log('info', 'server readmitted', {server: server.key});
			} else {
				this._scheduleProbe(server);
			}
		}, Math.max(0, (server.ejection.probeAtMs ?? 0) - clock.nowMs()));
		timer.unref();
	}

	private _retryBudget(service: string): WindowedRetryBudget {
		let budget = this._retryBudgets.get(service);
		if (!budget) {
			budget = new WindowedRetryBudget(this._options.retries);
			this._retryBudgets.set(service, budget);
		}

		return budget;
	}
}
