import type {HardState, LogEntry, Snapshot} from '../../common/consensus/types.js';
import {at, StorageError} from '../../common/core/errors.js';
import type {BatchRecord} from './types.js';

export const blankHardState: HardState = {
	term: 0, votedFor: undefined, votedForDisk: undefined, cluster: undefined, commit: 0,
};

/** Repeats the batches of the segments in order; `T` is what is kept of each entry. */
export class Replay<T extends {readonly index: number; readonly term: number} = LogEntry> {
	hardState = blankHardState;
	entries: T[] = [];

	constructor(private _snapshot: {readonly index: number; readonly term: number} | undefined, private readonly _keep: (entry: LogEntry) => T) {}

	/** Throws `StorageError` when entries are missing before the batch. */
	apply(file: string, {hardState, truncateFrom, entries}: BatchRecord): void {
		this.hardState = hardState ?? this.hardState;
		if (truncateFrom !== undefined) {
			this._dropFrom(truncateFrom);
		}

		const first = entries[0]?.index;
		if (first === undefined) {
			return;
		}

		this._dropFrom(first);
		if (first !== this._nextIndex) {
			this._restartAt(file, first);
		}

		this.entries.push(...entries.map(entry => this._keep(entry)));
	}

	/** Whether the log continues the snapshot: it holds the snapshot's last entry, or starts right after it. */
	continues({index, term}: Pick<Snapshot, 'index' | 'term'>): boolean {
		const first = this.entries[0];
		return first?.index === index + 1 ? first.term >= term : this._at(index)?.term === term;
	}

	/** Drops what the snapshot replaces: the entries up to it, or all if they belong to another history. */
	compact(snapshot: Pick<Snapshot, 'index' | 'term'>): void {
		this.entries = this.continues(snapshot) ? this.entries.filter(({index}) => index > snapshot.index) : [];
		this._snapshot = snapshot;
	}

	private get _nextIndex(): number {
		return (this.entries.at(-1)?.index ?? this._snapshot?.index ?? 0) + 1;
	}

	private _at(index: number): T | undefined {
		const first = this.entries[0]?.index;
		return first === undefined ? undefined : this.entries[index - first];
	}

	private _dropFrom(index: number): void {
		const first = this.entries[0]?.index;
		if (first !== undefined) {
			this.entries.length = Math.min(this.entries.length, Math.max(0, index - first));
		}
	}

	/** A gap is right only where a snapshot covers it: the entries before it are then no longer needed. */
	private _restartAt(file: string, index: number): void {
		const covered = this._snapshot?.index ?? 0;
		if (index > covered + 1) {
			throw new StorageError(`${file}: entries before ${index} are missing`, at({step: 'storage.load', peer: file}));
		}

		this.entries = [];
	}
}
