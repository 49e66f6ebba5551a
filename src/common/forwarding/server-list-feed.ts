/**
Distribution of the platform's server list: one process polls the list, and the other processes receive the differences with their
next sync. A receiver computes the age of its list on its own clock, as the time since it sent the sync request plus the age stated in
the reply, so that the list is never taken for younger than it is.
*/
import {z} from 'zod';
import {serverKey, serverRecordSchema} from './types.js';
import type {ServerKey, ServerRecord} from './types.js';

/** Maximum number of removals kept for building differences; a receiver that missed more removals gets the whole list. */
const maxRememberedRemovals = 200;

/** Identifies a state of the list: the term in which the polling process leads, and a version that grows with each change. */
export const listPositionSchema = z.strictObject({term: z.int().min(0), version: z.int().min(0)});

export const listUpdateSchema = z.strictObject({
	...listPositionSchema.shape,
	/** Time since the list was requested from the platform, in milliseconds. */
	ageMs: z.number().nonnegative(),
	/** Whether `changed` is the whole list rather than a difference. */
	isWhole: z.boolean(),
	changed: z.array(serverRecordSchema),
	/** Keys of the servers that were removed; empty for a whole list. */
	removed: z.array(z.string()),
});

export type ListPosition = z.infer<typeof listPositionSchema>;
export type ListUpdate = z.infer<typeof listUpdateSchema>;

export function isSamePosition(a: ListPosition, b: ListPosition): boolean {
	return a.term === b.term && a.version === b.version;
}

/** Difference of the times at which a server is warm, in milliseconds, from which two records state different times. */
const warmTimeToleranceMs = 500;

/** `requestedMs` is the time at which the list with the record was requested. */
type Entry = {readonly record: ServerRecord; readonly version: number; readonly requestedMs: number};

/** The server list with its recent changes, at the process that polls the list. */
export class ServerListPublisher {
	private readonly _entries = new Map<ServerKey, Entry>();
	private readonly _removed: Array<{readonly key: ServerKey; readonly version: number}> = [];
	private _version = 0;
	/** Oldest version for which a difference can be built. A receiver at an older version may miss removals that are no longer kept, so it needs the whole list. */
	private _oldestDiffVersion = 0;
	private _requestedMs: number | undefined;

	constructor(private readonly _term: number) {}

	get position(): ListPosition {
		return {term: this._term, version: this._version};
	}

	/** Applies a list that was requested at `requestedMs`; returns whether receivers need an update: the list is the first one or differs from the previous list. */
	apply(records: readonly ServerRecord[], requestedMs: number): boolean {
		const nextVersion = this._version + 1;
		const isFirst = this._requestedMs === undefined;
		const listedKeys = new Set<ServerKey>();
		let isChanged = isFirst;
		for (const record of records) {
			const key = serverKey(record);
			listedKeys.add(key);
			const known = this._entries.get(key);
			if (!known || !isEquivalent(known, record, requestedMs)) {
				this._entries.set(key, {record, version: nextVersion, requestedMs});
				isChanged = true;
			}
		}

		for (const key of [...this._entries.keys()].filter(known => !listedKeys.has(known))) {
			this._entries.delete(key);
			this._removed.push({key, version: nextVersion});
			isChanged = true;
		}

		while (this._removed.length > maxRememberedRemovals) {
			this._oldestDiffVersion = this._removed.shift()!.version;
		}

		this._version = isChanged ? nextVersion : this._version;
		this._requestedMs = requestedMs;
		return isChanged;
	}

	/** Returns the update for a receiver at `position`; undefined before the first list. */
	updateSince(position: ListPosition, nowMs: number): ListUpdate | undefined {
		if (this._requestedMs === undefined) {
			return undefined;
		}

		const isWhole = position.term !== this._term || position.version < this._oldestDiffVersion || position.version > this._version || position.version === 0;
		const entries = [...this._entries.values()];
		return {
			term: this._term,
			version: this._version,
			ageMs: Math.max(0, nowMs - this._requestedMs),
			isWhole,
			changed: entries.filter(({version}) => isWhole || version > position.version).map(({record}) => record),
			removed: isWhole ? [] : this._removed.filter(({version}) => version > position.version).map(({key}) => key),
		};
	}
}

/**
Whether a record differs so little from the known one that receivers need no update. The remaining warm-up time changes with every poll,
so the times at which the server is warm are compared: a later one means that it has become cold again.
*/
function isEquivalent({record: a, requestedMs: knownMs}: Entry, b: ServerRecord, requestedMs: number): boolean {
	const isColder = b.coldLeftMs > 0 && requestedMs + b.coldLeftMs > knownMs + a.coldLeftMs + warmTimeToleranceMs;
	return a.state === b.state && a.stage === b.stage && a.slots === b.slots && a.zone === b.zone && (a.coldLeftMs > 0) === (b.coldLeftMs > 0) && !isColder;
}

/** The list of a receiver after an update. */
export type ReceivedList = {
	/** Earliest time, on the receiver's clock, at which the list can have been requested from the platform, in milliseconds. */
	readonly requestedMs: number;
	/** Whether the update was a whole list or contained a difference. */
	readonly isChanged: boolean;
	readonly records: readonly ServerRecord[];
};

/** The server list at a process that does not poll it. */
export class ServerListReplica {
	private _position: ListPosition = {term: 0, version: 0};
	private readonly _records = new Map<ServerKey, ServerRecord>();

	/** Position of the list that this process has; to be sent with the request for an update. */
	get position(): ListPosition {
		return this._position;
	}

	/** Applies the reply to a request that was sent at `sentMs` with the current position. */
	apply({term, version, ageMs, isWhole, changed, removed}: ListUpdate, sentMs: number): ReceivedList {
		if (isWhole) {
			this._records.clear();
		}

		for (const key of removed) {
			this._records.delete(key);
		}

		for (const record of changed) {
			this._records.set(serverKey(record), record);
		}

		this._position = {term, version};
		return {requestedMs: sentMs - ageMs, isChanged: isWhole || changed.length + removed.length > 0, records: [...this._records.values()]};
	}
}
