/**
Requests that this process may send to cold servers: servers that started recently, or became cold again, and crash under a usual load.
The bound on the requests of all processes together holds without messages between them: for each cold server, rendezvous hashing names
a few processes as its senders, and each of them has at most one turn in any second.
*/
import {rendezvousPosition} from '../membership/rendezvous.js';
import type {EntryProcesses} from '../scheduler/types.js';
import type {ServerKey, ServerRecord} from './types.js';

/** Length of the windows for which the bound holds, in milliseconds. */
const windowMs = 1000;
/** Minimum time between two turns of a process at a server, in milliseconds: longer than a window, since the requests take different times to the server. */
const minTurnIntervalMs = 1050;
/** Time for which this process's share in a server is kept although the known processes have changed, in milliseconds. */
const shareValidityMs = 500;
/** How far the platform's list lags behind the servers, in milliseconds. */
const listLagMs = 1000;
/** Time for which a server is presumed cold if no list tells, in milliseconds; long enough for a list to arrive while the reader of the list changes. */
const presumedColdMs = 5000;
/** Shortest and longest `Retry-After` while all servers are cold, in milliseconds. Other processes may have a turn much earlier than this one. */
const minRetryAfterMs = 200;
const maxRetryAfterMs = 1000;

/** Reason of a refusal because all servers that could run the request are cold. */
export const coldServersReason = 'the servers have just started and take few requests';

/** Bound on the requests that a cold server receives in any second: the rate that it tolerates times `factor`, plus `slack`. */
export type ColdAllowance = {readonly factor: number; readonly slack: number};

/** What the servers of a service tolerate while they are cold. */
export type ColdRate = {
	readonly requestsPerSecond: number;
	/** Number of requests that one turn may cause at a server within a second. */
	readonly requestsPerTurn: number;
};

export type ColdBudgetOptions = {
	readonly allowance: ColdAllowance;
	/** Name of the VM of this process. */
	readonly self: string;
	/** Start of this process, in milliseconds. Until a turn's length has passed, requests of its predecessor on the VM may still count. */
	readonly startedMs: number;
	/** Returns all known processes that send requests; the same object until they change. Dead ones must stay known for some minutes. */
	readonly processes: () => EntryProcesses;
};

/** Share of this process in the requests to a cold server. */
type Share = {
	/** Position of this process among all known processes, and among those that are alive. */
	readonly position: number;
	readonly livePosition: number;
	/** Known processes from which the positions were computed, and when. */
	readonly processes: EntryProcesses;
	readonly computedMs: number;
};

type ColdServer = {
	/** Time at which the server is warm, in milliseconds. */
	coldUntilMs: number;
	/** Record that stated the time last. A process that does not poll the list keeps the same record until it changes. */
	record: ServerRecord | undefined;
	/** Time at which a list must have been requested at least for it to shorten the time for which the server is cold, in milliseconds. */
	heedsListFromMs: number;
	/** Time of the next turn, in milliseconds. */
	nextTurnMs: number;
	turnIntervalMs: number;
	share: Share | undefined;
};

/** Numbers of processes that may send to one cold server, and the time between two turns of one of them, in milliseconds. */
export type TurnPlan = {
	/** Processes that share the rate that the server tolerates. */
	readonly senders: number;
	/** Processes that may send at all, however few of the others a process takes for alive: together they stay within the bound. */
	readonly maxSenders: number;
	readonly turnIntervalMs: number;
};

/** Plans the turns of all processes at one cold server. */
export function planTurns({factor, slack}: ColdAllowance, {requestsPerSecond, requestsPerTurn}: ColdRate): TurnPlan {
	const maxSenders = Math.floor(Math.floor((requestsPerSecond * factor) + slack) / requestsPerTurn);
	const senders = Math.min(maxSenders, Math.max(1, Math.floor(requestsPerSecond / requestsPerTurn)));
	return {senders, maxSenders, turnIntervalMs: Math.max(minTurnIntervalMs, windowMs * senders * requestsPerTurn / requestsPerSecond)};
}

/** The cold servers that this process knows, and its turns at them. */
export class ColdBudget {
	private readonly _servers = new Map<ServerKey, ColdServer>();

	constructor(private readonly _options: ColdBudgetOptions) {}

	/** Applies the entries of the platform's list that was requested at `requestedMs`. Returns the servers that are newly known to be cold. */
	update(records: ReadonlyMap<ServerKey, ServerRecord>, requestedMs: number, nowMs: number, isNew: (key: ServerKey) => boolean): ServerKey[] {
		const learned: ServerKey[] = [];
		for (const [key, record] of records) {
			const server = this._servers.get(key);
			const isCold = record.coldLeftMs > 0;
			if (isCold && server?.record !== record && requestedMs + record.coldLeftMs > nowMs) {
				if (this.coldForMs(key, nowMs) === 0) {
					learned.push(key);
				}

				// Nobody has sent requests to a server that was not listed before.
				const known = this._getOrCreate(key, isNew(key) ? this._options.startedMs : nowMs);
				const warmMs = requestedMs + record.coldLeftMs;
				known.coldUntilMs = requestedMs < known.heedsListFromMs ? Math.max(known.coldUntilMs, warmMs) : warmMs;
				known.heedsListFromMs = Math.max(known.heedsListFromMs, requestedMs);
				known.record = record;
			} else if (!isCold && server && requestedMs >= server.heedsListFromMs) {
				server.coldUntilMs = Math.min(server.coldUntilMs, nowMs);
			}
		}

		for (const [key, {coldUntilMs, nextTurnMs}] of this._servers) {
			// While the entry states a warm-up time, its record tells that this time is not stated anew.
			if (!records.has(key) || (records.get(key)!.coldLeftMs === 0 && coldUntilMs <= nowMs && nextTurnMs <= nowMs)) {
				this._servers.delete(key);
			}
		}

		return learned;
	}

	/** Records that the server states that it remains cold for `forMs` milliseconds. Returns whether it was not known to be cold. */
	recordNotice(key: ServerKey, forMs: number, nowMs: number): boolean {
		const isNew = this.coldForMs(key, nowMs) === 0;
		const server = this._getOrCreate(key, nowMs);
		server.coldUntilMs = nowMs + forMs;
		server.heedsListFromMs = nowMs + listLagMs;
		return isNew;
	}

	/** Takes the server for cold until a list that must show it by now tells otherwise. */
	presumeCold(key: ServerKey, nowMs: number): void {
		const server = this._getOrCreate(key, nowMs);
		server.coldUntilMs = Math.max(server.coldUntilMs, nowMs + presumedColdMs);
		server.heedsListFromMs = nowMs + listLagMs;
	}

	/** Time for which the server remains cold, in milliseconds; 0 if it is warm as far as this process knows. */
	coldForMs(key: ServerKey, nowMs: number): number {
		return Math.max(0, (this._servers.get(key)?.coldUntilMs ?? 0) - nowMs);
	}

	/** Whether this process may begin a turn at the server now. */
	mayBegin(key: ServerKey, rate: ColdRate, nowMs: number): boolean {
		return this.waitMs(key, rate, nowMs) === 0;
	}

	/** Time until this process may send the server a request, in milliseconds: until its next turn, or, if it is no sender of the server, until the server is warm. */
	waitMs(key: ServerKey, rate: ColdRate, nowMs: number): number {
		const server = this._servers.get(key);
		const coldForMs = this.coldForMs(key, nowMs);
		if (!server || coldForMs === 0) {
			return 0;
		}

		const {senders, maxSenders, turnIntervalMs} = planTurns(this._options.allowance, rate);
		const {position, livePosition} = this._share(key, server, nowMs);
		server.turnIntervalMs = turnIntervalMs;
		return position < maxSenders && livePosition < senders ? Math.min(coldForMs, Math.max(0, server.nextTurnMs - nowMs)) : coldForMs;
	}

	/**
	Charges a request to the server; must be called as it is sent. If another request of the same turn follows within `followedWithinMs`
	milliseconds, the next turn begins only after that one. Returns whether the server is cold.
	*/
	recordRequest(key: ServerKey, nowMs: number, followedWithinMs = 0): boolean {
		const server = this._servers.get(key);
		if (server) {
			server.nextTurnMs = nowMs + followedWithinMs + server.turnIntervalMs;
		}

		return this.coldForMs(key, nowMs) > 0;
	}

	private _getOrCreate(key: ServerKey, lastRequestMs: number): ColdServer {
		let server = this._servers.get(key);
		if (!server) {
			server = {
				coldUntilMs: 0, record: undefined, heedsListFromMs: 0, share: undefined,
				nextTurnMs: Math.max(lastRequestMs, this._options.startedMs) + minTurnIntervalMs, turnIntervalMs: minTurnIntervalMs,
			};
			this._servers.set(key, server);
		}

		return server;
	}

	private _share(key: ServerKey, server: ColdServer, nowMs: number): Share {
		const processes = this._options.processes();
		if (!server.share || (server.share.processes !== processes && nowMs - server.share.computedMs >= shareValidityMs)) {
			const {live, dead} = processes;
			const livePosition = rendezvousPosition(key, this._options.self, live.map(({vm}) => vm));
			const deadPosition = rendezvousPosition(key, this._options.self, dead.map(({vm}) => vm));
			server.share = {
				livePosition, position: livePosition + deadPosition, processes, computedMs: nowMs,
			};
		}

		return server.share;
	}
}

/** Returns the `Retry-After` of a refusal because all servers are cold, in milliseconds, given the time until this process may send to the first of them. */
export function coldRetryAfterMs(waitMs: number): number {
	return Math.min(maxRetryAfterMs, Math.max(minRetryAfterMs, waitMs));
}
