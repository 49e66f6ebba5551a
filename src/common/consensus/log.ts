import type {LogEntry, Snapshot} from './types.js';
import {estimateCborBytes} from './cbor-size.js';

/** In-memory part of the replicated log: the entries after `baseIndex`, the last index that is no longer in memory (0 if all entries are). */
export class EntryLog {
	private _entries: LogEntry[];
	private _entryBytes: number[];
	private _baseIndex: number;
	private _baseTerm: number;

	constructor(snapshot: Snapshot | undefined, entries: readonly LogEntry[]) {
		this._baseIndex = snapshot?.index ?? 0;
		this._baseTerm = snapshot?.term ?? 0;
		this._entries = [...entries];
		this._entryBytes = entries.map(entry => estimateCborBytes(entry.payload));
	}

	get baseIndex(): number {
		return this._baseIndex;
	}

	get lastIndex(): number {
		return this._baseIndex + this._entries.length;
	}

	get lastTerm(): number {
		return this._entries.at(-1)?.term ?? this._baseTerm;
	}

	/** Returns the term of the entry at `index`, or undefined if it is unknown. The term at `baseIndex` is known although its entry is not in memory. */
	termAt(index: number): number | undefined {
		return index === this._baseIndex ? this._baseTerm : this.entryAt(index)?.term;
	}

	/** Returns the entry at `index`, or undefined if it is not in memory. */
	entryAt(index: number): LogEntry | undefined {
		return this._entries[index - this._baseIndex - 1];
	}

	/** Returns the estimated bytes of the entry at `index`, or 0 if the entry is not in memory. */
	bytesAt(index: number): number {
		return this._entryBytes[index - this._baseIndex - 1] ?? 0;
	}

	append(entry: LogEntry): void {
		this._entries.push(entry);
		this._entryBytes.push(estimateCborBytes(entry.payload));
	}

	/**
	Returns the entries from index `from` on, at most `maxEntries` and at most `maxBytes` estimated bytes. The first entry is
	returned even if it exceeds `maxBytes`.
	*/
	slice(from: number, maxEntries: number, maxBytes: number): LogEntry[] {
		const start = from - this._baseIndex - 1;
		let end = start;
		let bytes = 0;
		while (end < this._entries.length && end - start < maxEntries) {
			bytes += this._entryBytes[end]!;
			if (end > start && bytes > maxBytes) {
				break;
			}

			end++;
		}

		return this._entries.slice(start, end);
	}

	/** Removes the entries from `index` on. */
	truncate(index: number): void {
		const length = Math.max(0, index - this._baseIndex - 1);
		this._entries.length = Math.min(this._entries.length, length);
		this._entryBytes.length = this._entries.length;
	}

	/** Removes the entries up to and including `index` from memory. Does nothing if the entry at `index` is not in memory. */
	compact(index: number): void {
		const term = this.termAt(index);
		if (term === undefined || index <= this._baseIndex) {
			return;
		}

		const droppedCount = index - this._baseIndex;
		this._entries = this._entries.slice(droppedCount);
		this._entryBytes = this._entryBytes.slice(droppedCount);
		this._baseIndex = index;
		this._baseTerm = term;
	}

	/** Removes all entries, so that the log continues after an installed snapshot that ends at `index` and `term`. */
	reset(index: number, term: number): void {
		this._entries = [];
		this._entryBytes = [];
		this._baseIndex = index;
		this._baseTerm = term;
	}

	/** Returns the lowest index above `floor` from which on all entries up to `index` have the same term. */
	firstIndexOfTerm(index: number, floor: number): number {
		const term = this.termAt(index);
		let start = index;
		while (start - 1 > floor && this.termAt(start - 1) === term) {
			start--;
		}

		return start;
	}
}
