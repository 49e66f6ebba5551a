import type {LogEntry, Snapshot} from './types.js';
import {estimateBytes} from './size.js';

/** The part of the replicated log that is in memory: entries after (`baseIndex`, `baseTerm`). */
export class EntryLog {
	private _entries: LogEntry[];
	private _bytes: number[];
	private _baseIndex: number;
	private _baseTerm: number;

	constructor(snapshot: Snapshot | undefined, entries: readonly LogEntry[]) {
		this._baseIndex = snapshot?.index ?? 0;
		this._baseTerm = snapshot?.term ?? 0;
		this._entries = [...entries];
		this._bytes = entries.map(entry => estimateBytes(entry.payload));
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

	/** Term of the entry at `index`, or undefined where the log does not reach. */
	termAt(index: number): number | undefined {
		return index === this._baseIndex ? this._baseTerm : this.at(index)?.term;
	}

	at(index: number): LogEntry | undefined {
		return this._entries[index - this._baseIndex - 1];
	}

	/** Estimated bytes of the entry at `index`. */
	bytesAt(index: number): number {
		return this._bytes[index - this._baseIndex - 1] ?? 0;
	}

	append(entry: LogEntry): void {
		this._entries.push(entry);
		this._bytes.push(estimateBytes(entry.payload));
	}

	/** Entries from `from` on, within both limits but at least one if there is any. */
	slice(from: number, maxEntries: number, maxBytes: number): LogEntry[] {
		const start = from - this._baseIndex - 1;
		let end = start;
		let bytes = 0;
		while (end < this._entries.length && end - start < maxEntries) {
			bytes += this._bytes[end]!;
			if (end > start && bytes > maxBytes) {
				break;
			}

			end++;
		}

		return this._entries.slice(start, end);
	}

	/** Drops the entries from `index` on. */
	truncate(index: number): void {
		const length = Math.max(0, index - this._baseIndex - 1);
		this._entries.length = Math.min(this._entries.length, length);
		this._bytes.length = this._entries.length;
	}

	/** Drops the entries up to `index`. */
	compact(index: number): void {
		const term = this.termAt(index);
		if (term === undefined || index <= this._baseIndex) {
			return;
		}

		const dropped = index - this._baseIndex;
		this._entries = this._entries.slice(dropped);
		this._bytes = this._bytes.slice(dropped);
		this._baseIndex = index;
		this._baseTerm = term;
	}

	/** Replaces everything by an installed snapshot. */
	reset(index: number, term: number): void {
		this._entries = [];
		this._bytes = [];
		this._baseIndex = index;
		this._baseTerm = term;
	}

	/** First index after `floor` of the run of entries with the term of `index`. */
	startOfTerm(index: number, floor: number): number {
		const term = this.termAt(index);
		let start = index;
		while (start - 1 > floor && this.termAt(start - 1) === term) {
			start--;
		}

		return start;
	}
}
