/** What is done with a new connection: it is kept, kept in place of `victim`, or refused. A victim waits for a request, or the body of its request has stalled. */
export type ConnectionDecision<T> = {readonly outcome: 'accepted' | 'refused'; readonly victim?: T; readonly isStalled?: true};

/** Time without a request after which a waiting connection may be closed in favour of a new one, in milliseconds. */
const minWaitMs = 1000;
/** Time without a byte of an unended body after which a connection may be closed in favour of a new one, in milliseconds. */
const minStallMs = 1000;
/** Bytes of an unended body that must arrive within `maxSlowMs` so that its connection is not closed in favour of a new one. */
const minProgressBytes = 512;
/** Time in which a body may arrive more slowly, in milliseconds. */
const maxSlowMs = 2000;
/** Memory that a head of the smallest lines occupies once it is parsed, as a multiple of its bytes. */
const parsedHeadFactor = 8;
/** Number of header lines above any that fit into the largest head. */
const unlimitedHeaderLines = 4096;
/** Largest number of header lines of a request that the parser keeps on a connection that was opened in a crowd; a request with as many or more is refused there. */
const crowdHeaderLines = 256;
/** Number of open connections beyond which new ones belong to a crowd. Parsed heads of the smallest lines occupy up to 0.2 MB on each of the others. */
const crowdConnections = 32;
/** Memory of one parsed head of `crowdHeaderLines` lines at most, in bytes: its text and its header lines. */
const maxParsedHeadBytes = 32_768;

/** Open connections of callers, and since when each of them waits for a request or for the rest of a body. */
export class ConnectionBook<T> {
	/** Time since which each connection without a request waits, in milliseconds; ordered by that time. */
	private readonly _waitingSinceMs = new Map<T, number>();
	/** Time at which each connection whose request has an unended body last received some of it, in milliseconds; ordered by that time. */
	private readonly _receivedAtMs = new Map<T, number>();
	/** Time since which each of these connections has not received `minProgressBytes`, in milliseconds, and the bytes received since then; ordered by that time. */
	private readonly _progress = new Map<T, {readonly sinceMs: number; bytes: number}>();
	private readonly _runningRequests = new Map<T, number>();

	/** @param _maxConnections - largest number of open connections */
	constructor(private readonly _maxConnections: number) {}

	/** Number of open connections. */
	get size(): number {
		return this._waitingSinceMs.size + this._runningRequests.size;
	}

	/** Connections without a running request, the one that waits longest first. */
	get waiting(): ReadonlyMap<T, number> {
		return this._waitingSinceMs;
	}

	/** Adds a connection unless it is refused. The victim, if any, is removed. */
	add(connection: T, nowMs: number): ConnectionDecision<T> {
		const decision = this.size < this._maxConnections ? {outcome: 'accepted' as const} : this._makeRoom(nowMs);
		if (decision.outcome === 'accepted') {
			this._waitingSinceMs.set(connection, nowMs);
		}

		return decision;
	}

	beginRequest(connection: T): void {
		const running = this._runningRequests.get(connection);
		if (running !== undefined || this._waitingSinceMs.delete(connection)) {
			this._runningRequests.set(connection, (running ?? 0) + 1);
		}
	}

	/** Records that the body of a running request is still to come. */
	beginBody(connection: T, nowMs: number): void {
		if (this._runningRequests.has(connection)) {
			this._receivedAtMs.set(connection, nowMs);
			this._progress.set(connection, {sinceMs: nowMs, bytes: 0});
		}
	}

	/** Records that a part of a body has arrived. */
	recordBody(connection: T, bytes: number, nowMs: number): void {
		const progress = this._progress.get(connection);
		if (!progress) {
			return;
		}

		this._receivedAtMs.delete(connection);
		this._receivedAtMs.set(connection, nowMs);
		progress.bytes += bytes;
		if (progress.bytes >= minProgressBytes) {
			this._progress.delete(connection);
			this._progress.set(connection, {sinceMs: nowMs, bytes: 0});
		}
	}

	/** Records that the body of a running request has ended. */
	endBody(connection: T): void {
		this._receivedAtMs.delete(connection);
		this._progress.delete(connection);
	}

	endRequest(connection: T, nowMs: number): void {
		const running = this._runningRequests.get(connection);
		if (running === undefined) {
			return;
		}

		if (running > 1) {
			this._runningRequests.set(connection, running - 1);
		} else {
			this._runningRequests.delete(connection);
			this.endBody(connection);
			this._waitingSinceMs.set(connection, nowMs);
		}
	}

	remove(connection: T): void {
		this._waitingSinceMs.delete(connection);
		this._runningRequests.delete(connection);
		this.endBody(connection);
	}

	private _makeRoom(nowMs: number): ConnectionDecision<T> {
		const [waiting] = this._waitingSinceMs;
		if (waiting && nowMs - waiting[1] >= minWaitMs) {
			this.remove(waiting[0]);
			return {outcome: 'accepted', victim: waiting[0]};
		}

		const stalled = this._findStalled(nowMs);
		if (stalled === undefined) {
			return {outcome: 'refused'};
		}

		this.remove(stalled);
		return {outcome: 'accepted', victim: stalled, isStalled: true};
	}

	/** Returns the connection whose body has had no byte for the longest time or, if none has stalled, the one that has been slow for the longest time. */
	private _findStalled(nowMs: number): T | undefined {
		const [received] = this._receivedAtMs;
		if (received && nowMs - received[1] >= minStallMs) {
			return received[0];
		}

		const [slow] = this._progress;
		return slow && nowMs - slow[1].sinceMs >= maxSlowMs ? slow[0] : undefined;
	}
}

/** Returns the number of header lines that the parser of the next connection keeps, given the number of open connections. */
export function headerLineLimit(openConnections: number): number {
	return openConnections < crowdConnections ? unlimitedHeaderLines : crowdHeaderLines;
}

/** Number of waiting connections up to which their heads cannot occupy more than `limitBytes`. */
export function harmlessConnections(limitBytes: number): number {
	return Math.floor(limitBytes / maxParsedHeadBytes);
}

/**
Chooses the connections to close so that heads that have not ended occupy at most `limitBytes`: those with the largest heads, of equal ones those that
come first.
@param heads - connections and the bytes of their heads so far
*/
export function chooseUnendedHeads<T>(heads: ReadonlyArray<readonly [connection: T, bytes: number]>, limitBytes: number): T[] {
	const costs = heads.filter(([, bytes]) => bytes > 0).map(([connection, bytes]) => [connection, Math.min(maxParsedHeadBytes, bytes * parsedHeadFactor)] as const);
	let excess = costs.reduce((sum, [, cost]) => sum + cost, 0) - limitBytes;
	const chosen: T[] = [];
	for (const [connection, cost] of excess > 0 ? costs.sort(([, a], [, b]) => b - a) : []) {
		if (excess <= 0) {
			break;
		}

		chosen.push(connection);
		excess -= cost;
	}

	return chosen;
}
