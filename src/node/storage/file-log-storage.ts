import {Buffer} from 'node:buffer';
import {randomUUID} from 'node:crypto';
import path from 'node:path';
import type {
	LogEntry, PersistBatch, Snapshot, StoredState,
} from '../../common/consensus/types.js';
import {errorContext, StorageError} from '../../common/core/errors.js';
import type {FileSystem} from './file-system.js';
import type {RefusalRetryOptions} from './refusal-retry.js';
import type {BatchRecord, StoredRecord} from './types.js';
import {LogStorage} from './log-storage.js';
import {encodeRecord, scanRecords} from './records.js';
import {LogReplay} from './log-replay.js';
import {isSystemError, RefusalRetry} from './refusal-retry.js';
import {removeIfPresent, SegmentWriter, writeAll} from './segment-writer.js';
import {formatVersion} from './types.js';

const diskIdFile = 'disk-id';
const temporarySuffix = '.tmp';
const segmentPattern = /^segment-(\d+)\.log$/;
const snapshotPattern = /^snapshot-(\d+)\.cbor$/;
/** Numbers in file names are zero-padded to this many digits, so that names sort in numeric order. */
const fileNumberDigits = 16;
/** Default size at which the current segment is full and a new segment is started, in bytes. */
const defaultSegmentBytes = 4_194_304;

type Segment = {
	readonly file: string;
	/** Highest entry index in the segment; 0 if it holds no entries. */
	lastIndex: number;
};

type EntryId = {readonly index: number; readonly term: number};

/** What `load` found that `confirm` has to write or remove. */
type Unconfirmed = {
	/** Contents of the loaded files that may not be on disk yet, in the order in which they have to be written. */
	readonly rewrites: Array<{readonly name: string; readonly bytes: Uint8Array}>;
	/** Names of files that are left from interrupted operations or that the newest snapshot replaces. */
	readonly obsoleteFiles: string[];
};

export type FileLogStorageOptions = RefusalRetryOptions & {
	readonly folder: string;
	readonly fileSystem: FileSystem;
	/** Size at which the current segment is full and a new segment is started, in bytes; undefined for the default. */
	readonly segmentBytes?: number;
};

/**
Stores the log as append-only segment files and snapshot files in one folder. An operation that the disk refuses is repeated until the disk
accepts it: until then it counts as a slow write, during which the member neither leads, votes nor acknowledges.
*/
export class FileLogStorage extends LogStorage {
	private readonly _folder: string;
	private readonly _fs: FileSystem;
	private readonly _segmentBytes: number;
	private readonly _retry: RefusalRetry;
	private _diskId = '';
	/** Index and term of each entry that the segments hold after the snapshot. */
	private _storedLog = new LogReplay<EntryId>(undefined, toEntryId);
	private _segments: Segment[] = [];
	private _snapshotIndex = 0;
	private _nextSegmentNumber = 1;
	private _writer: SegmentWriter | undefined;
	private _unconfirmed: Unconfirmed = {rewrites: [], obsoleteFiles: []};
	private _lastOperation: Promise<void> = Promise.resolve();
	private _failure: Error | undefined;

	constructor({folder, fileSystem, segmentBytes, ...retryOptions}: FileLogStorageOptions) {
		super();
		this._folder = folder;
		this._fs = fileSystem;
		this._segmentBytes = segmentBytes ?? defaultSegmentBytes;
		this._retry = new RefusalRetry(retryOptions);
	}

	override async load(): Promise<StoredState> {
		return this._runExclusive('storage.load', async () => {
			const files = await this._listFiles();
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
			return {
				diskId: this._diskId, hardState: replay.hardState, snapshot, entries: replay.entries,
			};
		});
	}

	override async confirm(): Promise<void> {
		return this._runExclusive('storage.confirm', async () => {
			const {rewrites, obsoleteFiles} = this._unconfirmed;
			await this._retry.run('confirm', async () => {
				await this._fs.makeFolder(this._folder);
				for (const {name, bytes} of rewrites) {
					await this._replaceFile(name, bytes);
				}

				for (const name of obsoleteFiles) {
					await removeIfPresent(this._fs, this._path(name));
				}

				await this._fs.syncFolder(this._folder);
			});
			this._unconfirmed = {rewrites: [], obsoleteFiles: []};
			await this._startSegment();
		});
	}

	override async append({hardState, truncateFrom, entries}: PersistBatch): Promise<void> {
		return this._runExclusive('storage.append', async () => {
			if (this._writer!.sizeBytes >= this._segmentBytes) {
				await this._startSegment();
			}

			const record: BatchRecord = {
				kind: 'batch', hardState, truncateFrom, entries,
			};
			this._storedLog.apply(this._writer!.file, record);
			await this._writer!.append(encodeRecord(record));
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

			await this._retry.run('save-snapshot', async () => this._replaceFile(snapshotName(snapshot.index), encodeRecord(record)));
			this._snapshotIndex = snapshot.index;
			await this._prune(snapshot);
		});
	}

	override async dispose(): Promise<void> {
		this._retry.dispose();
		await this._lastOperation;
		await this._writer?.close();
		this._writer = undefined;
	}

	/** Runs operations one at a time. After an error that is not a refusal of the disk the state of the files is unknown, so all later operations reject with the same error. */
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

	private _path(file: string): string {
		return path.join(this._folder, file);
	}

	/** Returns the names of the files in the folder without those of interrupted operations; none if there is no folder yet. */
	private async _listFiles(): Promise<string[]> {
		try {
			const files = await this._fs.list(this._folder);
			this._unconfirmed.obsoleteFiles.push(...files.filter(name => name.endsWith(temporarySuffix)));
			return files.filter(name => !name.endsWith(temporarySuffix));
		} catch (err) {
			if (isSystemError(err) && err.code === 'ENOENT') {
				return [];
			}

			throw err;
		}
	}

	private async _loadDiskId(files: readonly string[]): Promise<string> {
		if (files.includes(diskIdFile)) {
			const content = await this._fs.read(this._path(diskIdFile));
			if (content.length === 0) {
				throw new StorageError(`${this._path(diskIdFile)}: empty`, errorContext({step: 'storage.load', peer: this._folder}));
			}

			this._unconfirmed.rewrites.push({name: diskIdFile, bytes: content});
			return Buffer.from(content).toString('utf8');
		}

		if (files.some(file => segmentPattern.test(file) || snapshotPattern.test(file))) {
			throw new StorageError(`${this._path(diskIdFile)}: missing beside log files`, errorContext({step: 'storage.load', peer: this._folder}));
		}

		const diskId = randomUUID();
		this._unconfirmed.rewrites.push({name: diskIdFile, bytes: Buffer.from(diskId)});
		return diskId;
	}

	private async _loadSnapshot(files: readonly string[]): Promise<Snapshot | undefined> {
		const names = files.filter(file => snapshotPattern.test(file)).sort();
		const newest = names.pop();
		if (newest === undefined) {
			return undefined;
		}

		const file = this._path(newest);
		const content = await this._fs.read(file);
		const {values} = scanRecords(file, content, false);
		const [record] = values as StoredRecord[];
		if (record?.kind !== 'snapshot') {
			throw new StorageError(`${file}: no snapshot at offset 0`, errorContext({step: 'storage.load', peer: file}));
		}

		this._checkFormatAndDisk(file, record);
		this._unconfirmed.rewrites.push({name: newest, bytes: content});
		this._unconfirmed.obsoleteFiles.push(...names);
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
				this._unconfirmed.obsoleteFiles.push(name);
				return;
			}

			throw new StorageError(`${file}: no segment header at offset 0`, errorContext({step: 'storage.load', peer: file}));
		}

		this._checkFormatAndDisk(file, header);
		if (isLast) {
			this._unconfirmed.rewrites.push({name, bytes: content.subarray(0, intactBytes)});
		}

		replay.hardState = header.hardState;
		const segment = {file, lastIndex: 0};
		for (const batch of batches as BatchRecord[]) {
			replay.apply(file, batch);
			updateLastIndex(segment, batch.entries);
		}

		this._segments.push(segment);
	}

	private async _startSegment(): Promise<void> {
		await this._writer?.close();
		const file = this._path(`segment-${zeroPadded(this._nextSegmentNumber++)}.log`);
		this._writer = await SegmentWriter.create({
			fileSystem: this._fs, folder: this._folder, file, retry: this._retry,
		}, encodeRecord({
			kind: 'segment', format: formatVersion, diskId: this._diskId, hardState: this._storedLog.hardState,
		}));
		this._segments.push({file, lastIndex: 0});
	}

	/** Writes a temporary file and renames it, so that a file of this name is always complete. */
	private async _replaceFile(name: string, bytes: Uint8Array): Promise<void> {
		const temporary = this._path(name + temporarySuffix);
		// An earlier attempt may have left a part.
		await removeIfPresent(this._fs, temporary);
		const file = await this._fs.open(temporary);
		try {
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

		await this._retry.run('prune', async () => {
			const files = await this._fs.list(this._folder);
			for (const name of files.filter(file => snapshotPattern.test(file) && file < snapshotName(snapshot.index))) {
				await removeIfPresent(this._fs, this._path(name));
			}
		});
	}

	private async _removeSegments(segments: readonly Segment[]): Promise<void> {
		for (const segment of segments) {
			await this._retry.run('prune', async () => {
				await removeIfPresent(this._fs, segment.file);
				await this._fs.syncFolder(this._folder);
			});
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
