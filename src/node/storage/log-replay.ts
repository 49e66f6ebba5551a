import type {HardState, LogEntry, Snapshot} from '../../common/consensus/types.js';
import {errorContext, StorageError} from '../../common/core/errors.js';
import type {BatchRecord} from './types.js';

export const initialHardState: HardState = {
	term: 0, votedFor: undefined, votedForDisk: undefined, cluster: undefined, commit: 0,
};

/** Rebuilds the log by applying the batches of the segments in order. `T` is the part of each entry that is kept in memory. */
export class LogReplay<T extends {readonly index: number; readonly term: number} = LogEntry> {
	hardState = initialHardState;
	entries: T[] = [];

	constructor(private _snapshot: {readonly index: number; readonly term: number} | undefined, private readonly _mapEntry: (entry: LogEntry) => T) {}

	/** Applies one batch, which replaces stored entries with the same or a higher index. Throws `StorageError` if entries between the log and the batch are missing. */
	apply(file: string, {hardState, truncateFrom, entries}: BatchRecord): void {
		this.hardState = hardState ?? this.hardState;
		if (truncateFrom !== undefined) {
			this._truncateFrom(truncateFrom);
		}

		const firstIndex = entries[0]?.index;
		if (firstIndex === undefined) {
			return;
		}

		this._truncateFrom(firstIndex);
		if (firstIndex !== this._nextIndex) {
			this._discardBeforeGap(file, firstIndex);
		}

		this.entries.push(...entries.map(entry => this._mapEntry(entry)));
	}

	/** Whether the log continues the snapshot, that is, contains the snapshot's last entry or starts right after it. */
	isContinuationOf({index, term}: Pick<Snapshot, 'index' | 'term'>): boolean {
		const firstEntry = this.entries[0];
		return firstEntry?.index === index + 1 ? firstEntry.term >= term : this._entryAt(index)?.term === term;
	}

	/** Removes the entries that the snapshot covers, or all entries if the log belongs to a different history than the snapshot. */
	compact(snapshot: Pick<Snapshot, 'index' | 'term'>): void {
		this.entries = this.isContinuationOf(snapshot) ? this.entries.filter(({index}) => index > snapshot.index) : [];
		this._snapshot = snapshot;
	}

	private get _nextIndex(): number {
		return (this.entries.at(-1)?.index ?? this._snapshot?.index ?? 0) + 1;
	}

	private _entryAt(index: number): T | undefined {
		const firstIndex = this.entries[0]?.index;
		return firstIndex === undefined ? undefined : this.entries[index - firstIndex];
	}

	private _truncateFrom(index: number): void {
		const firstIndex = this.entries[0]?.index;
		if (firstIndex !== undefined) {
			this.entries.length = Math.min(this.entries.length, Math.max(0, index - firstIndex));
		}
	}

	/** Discards the entries before a gap that the snapshot covers; the snapshot replaces these entries too. Throws `StorageError` if the snapshot does not cover the gap. */
	private _discardBeforeGap(file: string, index: number): void {
		const snapshotIndex = this._snapshot?.index ?? 0;
		if (index > snapshotIndex + 1) {
			throw new StorageError(`${file}: entries before ${index} are missing`, errorContext({step: 'storage.load', peer: file}));
		}

		this.entries = [];
	}
}
