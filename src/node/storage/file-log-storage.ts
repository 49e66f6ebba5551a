import {Buffer} from 'node:buffer';
import {randomUUID} from 'node:crypto';
import path from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import type {
	LogEntry, PersistBatch, Snapshot, StoredState,
} from '../../common/consensus/types.js';
import {errorContext, StorageError} from '../../common/core/errors.js';
import type {AppendFile, FileSystem} from './file-system.js';
import type {BatchRecord, StoredRecord} from './types.js';
import {LogStorage} from './log-storage.js';
import {encodeRecord, scanRecords} from './records.js';
import {LogReplay} from './log-replay.js';
import {formatVersion} from './types.js';

const diskIdFile = 'disk-id';
const temporarySuffix = '.tmp';
const segmentPattern = /^segment-(\d+)\.log$/;
const snapshotPattern = /^snapshot-(\d+)\.cbor$/;
/** Numbers in file names are zero-padded to this many digits, so that names sort in numeric order. */
const fileNumberDigits = 16;
/** Error codes of writes that a disk without free space refuses. */
const fullDiskCodes: ReadonlySet<unknown> = new Set(['ENOSPC', 'EDQUOT']);
/** Pause before a write that the disk refused for lack of space is repeated, in milliseconds. */
const fullDiskRetryMs = 200;
/** Default size at which the current segment is full and a new segment is started, in bytes. */
const defaultSegmentBytes = 4_194_304;

type Segment = {
	readonly file: string;
	/** Highest entry index in the segment; 0 if it holds no entries. */
	lastIndex: number;
	sizeBytes: number;
};

type EntryId = {readonly index: number; readonly term: number};

export type FileLogStorageOptions = {
	readonly folder: string;
	readonly fileSystem: FileSystem;
	/** Size at which the current segment is full and a new segment is started, in bytes; undefined for the default. */
	readonly segmentBytes?: number;
	/** Called when the disk begins to refuse writes for lack of space (true), and when it accepts them again (false). */
	readonly onDiskFull?: (isFull: boolean) => void;
};

/**
Stores the log as append-only segment files and snapshot files in one folder. A write that the disk refuses for lack of space is repeated
until there is room: until then it counts as a slow write, during which the member neither leads, votes nor acknowledges.
*/
export class FileLogStorage extends LogStorage {
	private readonly _folder: string;
	private readonly _fs: FileSystem;
	private readonly _segmentBytes: number;
	private _diskId = '';
	/** Index and term of each entry that the segments hold after the snapshot. */
	private _storedLog = new LogReplay<EntryId>(undefined, toEntryId);
	private _segments: Segment[] = [];
	private _snapshotIndex = 0;
	private _nextSegmentNumber = 1;
	private _segmentFile: AppendFile | undefined;
	private readonly _disposal = new AbortController();
	private readonly _onDiskFull: (isFull: boolean) => void;
	private _isLoaded = false;
	private _lastOperation: Promise<void> = Promise.resolve();
	private _failure: Error | undefined;

	constructor({folder, fileSystem, segmentBytes, onDiskFull}: FileLogStorageOptions) {
		super();
		this._onDiskFull = onDiskFull ?? (() => undefined);
		this._folder = folder;
		this._fs = fileSystem;
		this._segmentBytes = segmentBytes ?? defaultSegmentBytes;
	}

	override async load(): Promise<StoredState> {
		return this._runExclusive('storage.load', async () => {
			await this._fs.makeFolder(this._folder);
			const files = await this._removeTemporaryFiles();
			this._diskId = await this._loadDiskId(files);
			const snapshot = await this._loadSnapshot(files);
			const replay = await this._loadSegments(files, snapshot);
			if (snapshot) {
				this._snapshotIndex = snapshot.index;
				replay.compact(snapshot);
			}

			this._storedLog = new LogReplay<EntryId>(snapshot, toEntryId);
			this._storedLog.hardState = replay.hardState;
			this._storedLog.entries = replay.entries.map(entry => toEntryId(entry));
			await this._startSegment();
			this._isLoaded = true;
			return {
				diskId: this._diskId, hardState: replay.hardState, snapshot, entries: replay.entries,
			};
		});
	}

	override async append({hardState, truncateFrom, entries}: PersistBatch): Promise<void> {
		return this._runExclusive('storage.append', async () => {
			if (this._segments.at(-1)!.sizeBytes >= this._segmentBytes) {
				await this._startSegment();
			}

			const record: BatchRecord = {
				kind: 'batch', hardState, truncateFrom, entries,
			};
			this._storedLog.apply(this._segments.at(-1)!.file, record);
			await this._write(record);
			updateLastIndex(this._segments.at(-1)!, entries);
		});
	}

	override async saveSnapshot(snapshot: Snapshot): Promise<void> {
		const record: StoredRecord = {
			kind: 'snapshot', format: formatVersion, diskId: this._diskId, snapshot,
		};
		return this._runExclusive('storage.save-snapshot', async () => {
			if (snapshot.index <= this._snapshotIndex) {
				return;
			}

			await this._retryWhileFull(async () => this._replaceFile(snapshotName(snapshot.index), encodeRecord(record)));
			this._snapshotIndex = snapshot.index;
			await this._prune(snapshot);
		});
	}

	override async dispose(): Promise<void> {
		this._disposal.abort();
		await this._lastOperation;
		await this._segmentFile?.close();
		this._segmentFile = undefined;
	}

	/** Runs operations one at a time. After a failure the state of the files is unknown, so all later operations reject with the same error. */
	private async _runExclusive<T>(step: string, operation: () => Promise<T>): Promise<T> {
		const previous = this._lastOperation;
		let release: () => void;
		this._lastOperation = new Promise(resolve => {
			release = resolve;
		});
		await previous;
		try {
			if (this._failure) {
				throw this._failure;
			}

			return await operation();
		} catch (err) {
			this._failure ??= err instanceof StorageError ? err : new StorageError(`${this._folder}: ${String(err)}`, errorContext({step, peer: this._folder, cause: err}));
			throw this._failure;
		} finally {
			release!();
		}
	}

	/** Runs an operation that can be repeated until the disk does not refuse it for lack of space. At the start of the process, the first refusal is final. */
	private async _retryWhileFull<T>(operation: () => Promise<T>): Promise<T> {
		for (let isFull = false; ;) {
			try {
				const result = await operation();
				if (isFull) {
					this._onDiskFull(false);
				}

				return result;
			} catch (err) {
				if (!this._isLoaded || !fullDiskCodes.has((err as NodeJS.ErrnoException).code)) {
					throw err;
				}

				if (!isFull) {
					isFull = true;
					this._onDiskFull(true);
				}

				await sleep(fullDiskRetryMs, undefined, {signal: this._disposal.signal});
			}
		}
	}

	private _path(file: string): string {
		return path.join(this._folder, file);
	}

	private async _removeTemporaryFiles(): Promise<string[]> {
		const files = await this._fs.list(this._folder);
		for (const file of files.filter(name => name.endsWith(temporarySuffix))) {
			await this._fs.remove(this._path(file));
		}

		return files.filter(name => !name.endsWith(temporarySuffix));
	}

	private async _loadDiskId(files: readonly string[]): Promise<string> {
		if (files.includes(diskIdFile)) {
			const content = await this._fs.read(this._path(diskIdFile));
			if (content.length === 0) {
				throw new StorageError(`${this._path(diskIdFile)}: empty`, errorContext({step: 'storage.load', peer: this._folder}));
			}

			return Buffer.from(content).toString('utf8');
		}

		if (files.some(file => segmentPattern.test(file) || snapshotPattern.test(file))) {
			throw new StorageError(`${this._path(diskIdFile)}: missing beside log files`, errorContext({step: 'storage.load', peer: this._folder}));
		}

		const diskId = randomUUID();
		await this._replaceFile(diskIdFile, Buffer.from(diskId));
		return diskId;
	}

	private async _loadSnapshot(files: readonly string[]): Promise<Snapshot | undefined> {
		const names = files.filter(file => snapshotPattern.test(file)).sort();
		const newest = names.pop();
		if (newest === undefined) {
			return undefined;
		}

		const file = this._path(newest);
		const {values} = scanRecords(file, await this._fs.read(file), false);
		const [record] = values as StoredRecord[];
		if (record?.kind !== 'snapshot') {
			throw new StorageError(`${file}: no snapshot at offset 0`, errorContext({step: 'storage.load', peer: file}));
		}

		this._checkFormatAndDisk(file, record);
		for (const name of names) {
			await this._fs.remove(this._path(name));
		}

		return record.snapshot;
	}

	private _checkFormatAndDisk(file: string, {format, diskId}: {readonly format: number; readonly diskId: string}): void {
		if (format !== formatVersion || diskId !== this._diskId) {
			throw new StorageError(`${file}: format ${format} of disk ${diskId}, expected format ${formatVersion} of disk ${this._diskId}`, errorContext({step: 'storage.load', peer: file}));
		}
	}

	private async _loadSegments(files: readonly string[], snapshot: Snapshot | undefined): Promise<LogReplay> {
		const replay = new LogReplay(snapshot, entry => entry);
		const names = files.filter(file => segmentPattern.test(file)).sort();
		for (const name of names) {
			await this._loadSegment(name, name === names.at(-1), replay);
		}

		this._nextSegmentNumber = Number(segmentPattern.exec(names.at(-1) ?? '')?.[1] ?? 0) + 1;
		return replay;
	}

	private async _loadSegment(name: string, isLast: boolean, replay: LogReplay): Promise<void> {
		const file = this._path(name);
		const content = await this._fs.read(file);
		const {values, intactBytes} = scanRecords(file, content, isLast);
		const [header, ...batches] = values as StoredRecord[];
		if (header?.kind !== 'segment') {
			if (isLast && !header) {
				// The segment holds no intact record, because the process stopped while creating it.
				await this._fs.remove(file);
				await this._fs.syncFolder(this._folder);
				return;
			}

			throw new StorageError(`${file}: no segment header at offset 0`, errorContext({step: 'storage.load', peer: file}));
		}

		this._checkFormatAndDisk(file, header);
		if (intactBytes < content.length) {
			await this._truncate(file, intactBytes);
		}

		replay.hardState = header.hardState;
		const segment = {file, lastIndex: 0, sizeBytes: intactBytes};
		for (const batch of batches as BatchRecord[]) {
			replay.apply(file, batch);
			updateLastIndex(segment, batch.entries);
		}

		this._segments.push(segment);
	}

	private async _truncate(file: string, length: number): Promise<void> {
		const handle = await this._fs.open(file);
		try {
			await handle.truncate(length);
			await handle.sync();
		} finally {
			await handle.close();
		}
	}

	private async _startSegment(): Promise<void> {
		await this._segmentFile?.close();
		const file = this._path(`segment-${zeroPadded(this._nextSegmentNumber++)}.log`);
		this._segmentFile = await this._retryWhileFull(async () => this._fs.open(file));
		this._segments.push({file, lastIndex: 0, sizeBytes: 0});
		await this._write({
			kind: 'segment', format: formatVersion, diskId: this._diskId, hardState: this._storedLog.hardState,
		});
		await this._fs.syncFolder(this._folder);
	}

	/** Appends a record to the current segment. Before a repetition, the part that the disk accepted is removed again. */
	private async _write(record: StoredRecord): Promise<void> {
		const bytes = encodeRecord(record);
		const segment = this._segments.at(-1)!;
		let isRepetition = false;
		await this._retryWhileFull(async () => {
			if (isRepetition) {
				await this._segmentFile!.truncate(segment.sizeBytes);
			}

			isRepetition = true;
			await writeAll(this._segmentFile!, bytes);
			await this._segmentFile!.sync();
		});
		segment.sizeBytes += bytes.length;
	}

	/** Writes a temporary file and renames it, so that a file of this name is always complete. */
	private async _replaceFile(name: string, bytes: Uint8Array): Promise<void> {
		const temporary = this._path(name + temporarySuffix);
		const file = await this._fs.open(temporary);
		try {
			// An earlier attempt may have left a part.
			await file.truncate(0);
			await writeAll(file, bytes);
			await file.sync();
		} finally {
			await file.close();
		}

		await this._fs.rename(temporary, this._path(name));
		await this._fs.syncFolder(this._folder);
	}

	/** Deletes the segments and older snapshots that the snapshot makes obsolete. */
	private async _prune(snapshot: Snapshot): Promise<void> {
		const isContinuation = this._storedLog.isContinuationOf(snapshot);
		this._storedLog.compact(snapshot);
		await this._startSegment();
		const olderSegments = this._segments.slice(0, -1);
		if (isContinuation) {
			const firstKeptSegment = olderSegments.findIndex(({lastIndex}) => lastIndex > snapshot.index);
			await this._removeSegments(firstKeptSegment === -1 ? olderSegments : olderSegments.slice(0, firstKeptSegment));
		} else {
			// The newest segments are deleted first. If the process crashed after the oldest segments were deleted, the remaining entries could be taken for a continuation of the snapshot, although they belong to a different history.
			await this._removeSegments(olderSegments.reverse());
		}

		const files = await this._fs.list(this._folder);
		for (const name of files.filter(file => snapshotPattern.test(file) && file < snapshotName(snapshot.index))) {
			await this._fs.remove(this._path(name));
		}
	}

	private async _removeSegments(segments: readonly Segment[]): Promise<void> {
		for (const segment of segments) {
			await this._fs.remove(segment.file);
			await this._fs.syncFolder(this._folder);
			this._segments = this._segments.filter(kept => kept !== segment);
		}
	}
}

function toEntryId({index, term}: LogEntry | EntryId): EntryId {
	return {index, term};
}

function updateLastIndex(segment: Segment, entries: readonly LogEntry[]): void {
	segment.lastIndex = Math.max(segment.lastIndex, entries.at(-1)?.index ?? 0);
}

function zeroPadded(value: number): string {
	return String(value).padStart(fileNumberDigits, '0');
}

function snapshotName(index: number): string {
	return `snapshot-${zeroPadded(index)}.cbor`;
}

async function writeAll(file: AppendFile, bytes: Uint8Array): Promise<void> {
	let written = 0;
	while (written < bytes.length) {
		written += await file.write(bytes.subarray(written));
	}
}
