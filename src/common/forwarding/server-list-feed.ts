/**
The platform's list of servers as its reader passes it on: one process reads the list, the others take the differences
with their next sync. Ages are bounded by the receiver's own clock: an answer cannot be older than its question and the age that it names.
*/
import {z} from 'zod';
import {serverKey, serverRecordSchema} from './types.js';
import type {ServerKey, ServerRecord} from './types.js';

/** Removed servers remembered for differences; a receiver that lacks more gets the whole list. */
const maxRemoved = 200;

/** A state of the list: the term in which its reader leads, and a version that grows with each change. */
export const listPositionSchema = z.strictObject({term: z.int().min(0), version: z.int().min(0)});

export const listUpdateSchema = z.strictObject({
	...listPositionSchema.shape,
	/** Time since the list was asked for, in milliseconds. */
	ageMs: z.number().nonnegative(),
	/** Whether `changed` is the whole list. */
	isWhole: z.boolean(),
	changed: z.array(serverRecordSchema),
	removed: z.array(z.string()),
});

export type ListPosition = z.infer<typeof listPositionSchema>;
export type ListUpdate = z.infer<typeof listUpdateSchema>;

export function isSamePosition(a: ListPosition, b: ListPosition): boolean {
	return a.term === b.term && a.version === b.version;
}

type Entry = {readonly record: ServerRecord; readonly version: number};

/** The list with its recent changes, at the process that reads it. */
export class ServerListLog {
	private readonly _entries = new Map<ServerKey, Entry>();
	private readonly _removed: Array<{readonly key: ServerKey; readonly version: number}> = [];
	private _version = 0;
	/** Receivers before this version may lack removals that are forgotten. */
	private _oldest = 0;
	private _askedMs: number | undefined;

	constructor(private readonly _term: number) {}

	get position(): ListPosition {
		return {term: this._term, version: this._version};
	}

	/** Takes a list that was asked for at `askedMs`; returns whether it differs from the one before. */
	take(records: readonly ServerRecord[], askedMs: number): boolean {
		const next = this._version + 1;
		const isFirst = this._askedMs === undefined;
		const listed = new Set<ServerKey>();
		let isChanged = isFirst;
		for (const record of records) {
			const key = serverKey(record);
			listed.add(key);
			const known = this._entries.get(key);
			if (!known || !isSame(known.record, record)) {
				this._entries.set(key, {record, version: next});
				isChanged = true;
			}
		}

		for (const key of [...this._entries.keys()].filter(known => !listed.has(known))) {
			this._entries.delete(key);
			this._removed.push({key, version: next});
			isChanged = true;
		}

		while (this._removed.length > maxRemoved) {
			this._oldest = this._removed.shift()!.version;
		}

		this._version = isChanged ? next : this._version;
		this._askedMs = askedMs;
		return isChanged;
	}

	/** What a receiver at `position` lacks; undefined before the first list. */
	since(position: ListPosition, nowMs: number): ListUpdate | undefined {
		if (this._askedMs === undefined) {
			return undefined;
		}

		const isWhole = position.term !== this._term || position.version < this._oldest || position.version > this._version || position.version === 0;
		const entries = [...this._entries.values()];
		return {
			term: this._term,
			version: this._version,
			ageMs: Math.max(0, nowMs - this._askedMs),
			isWhole,
			changed: entries.filter(({version}) => isWhole || version > position.version).map(({record}) => record),
			removed: isWhole ? [] : this._removed.filter(({version}) => version > position.version).map(({key}) => key),
		};
	}
}

/** How much longer a server is slow changes with every reading and is no news, but that it is slow or not. */
function isSame(a: ServerRecord, b: ServerRecord): boolean {
	return a.state === b.state && a.stage === b.stage && a.slots === b.slots && a.zone === b.zone && (a.coldLeftMs > 0) === (b.coldLeftMs > 0);
}

/** A list as a receiver holds it. */
export type ReceivedList = {
	/** Receiver's time before which the list cannot have been asked for, in milliseconds. */
	readonly askedMs: number;
	/** Whether it differs from the list received before. */
	readonly isChanged: boolean;
	readonly records: readonly ServerRecord[];
};

/** The list at a process that does not read it. */
export class ServerListCopy {
	private _position: ListPosition = {term: 0, version: 0};
	private readonly _records = new Map<ServerKey, ServerRecord>();

	/** To be sent with the question for an update. */
	get position(): ListPosition {
		return this._position;
	}

	/** Takes the answer to a question that was sent at `sentMs`, for the position at that time. */
	take({term, version, ageMs, isWhole, changed, removed}: ListUpdate, sentMs: number): ReceivedList {
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
		return {askedMs: sentMs - ageMs, isChanged: isWhole || changed.length + removed.length > 0, records: [...this._records.values()]};
	}
}
