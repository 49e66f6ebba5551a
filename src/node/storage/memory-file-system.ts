import {Buffer} from 'node:buffer';
import path from 'node:path';
import type {SeededRandom} from '../../common/core/random.js';
import {AppendFile, FileSystem} from './file-system.js';

type FileContent = {
	bytes: Uint8Array;
	syncedBytes: Uint8Array;
	/** End of the part after `syncedBytes` whose fsync failed: it is read from the cache, but no later fsync writes it. 0 if there is none. */
	droppedEnd: number;
};
/** A kind of file operation that a test can let the disk refuse. */
export type FileOperation = 'make-folder' | 'list' | 'open' | 'write' | 'sync' | 'truncate' | 'close' | 'rename' | 'remove' | 'sync-folder';
type DirectoryChange = (files: Map<string, FileContent>) => void;

/** In-memory file system for tests. Simulates power cuts and injects faults. */
export class MemoryFileSystem extends FileSystem {
	/** Maximum number of bytes that one call of `write` writes; infinite by default, so that a call writes all bytes. */
	maxWriteBytes = Number.POSITIVE_INFINITY;
	/** Returns the error code with which the disk refuses an operation, or undefined if it accepts it; undefined accepts all. A refused write leaves half of its bytes. */
	refuse: ((operation: FileOperation) => string | undefined) | undefined;
	/** Every fsync of a file waits for this promise. */
	syncGate: Promise<void> = Promise.resolve();
	/** Number of operations until the simulated power cut, after which every operation fails; infinite if there is no power cut. */
	operationsUntilPowerCut = Number.POSITIVE_INFINITY;

	private readonly _files = new Map<string, FileContent>();
	private _syncedFiles = new Map<string, FileContent>();
	private _unsyncedChanges: DirectoryChange[] = [];

	/** Returns what a power cut leaves on disk: all synced data and a random part of the unsynced data. */
	afterPowerCut(random: SeededRandom): MemoryFileSystem {
		const recovered = new MemoryFileSystem();
		const files = new Map(this._syncedFiles);
		for (const change of this._unsyncedChanges.slice(0, random.integer(0, this._unsyncedChanges.length + 1))) {
			change(files);
		}

		for (const [name, content] of files) {
			const bytes = survivingBytes(content, random);
			recovered._files.set(name, {bytes, syncedBytes: bytes, droppedEnd: 0});
		}

		recovered._syncedFiles = new Map(recovered._files);
		return recovered;
	}

	/** Returns what the end of the process leaves: everything that was written, synced or not. Changes of the folder must have been synced. */
	afterCrash(): MemoryFileSystem {
		const recovered = new MemoryFileSystem();
		for (const [name, content] of this._files) {
			recovered._files.set(name, {...content});
		}

		recovered._syncedFiles = new Map(recovered._files);
		return recovered;
	}

	fileNames(): string[] {
		return [...this._files.keys()].sort();
	}

	getBytes(name: string): Uint8Array {
		return this._files.get(name)!.bytes;
	}

	setBytes(name: string, bytes: Uint8Array): void {
		this._files.set(name, {bytes, syncedBytes: bytes, droppedEnd: 0});
		this._syncedFiles = new Map(this._files);
	}

	override async makeFolder(): Promise<void> {
		this._begin('make-folder');
	}

	override async list(folder: string): Promise<string[]> {
		this._begin('list');
		return this.fileNames().filter(name => path.dirname(name) === folder).map(name => path.basename(name));
	}

	override async read(name: string): Promise<Uint8Array> {
		this._countOperation();
		return this.getBytes(name);
	}

	override async size(name: string): Promise<number> {
		this._countOperation();
		return this.getBytes(name).length;
	}

	override async open(name: string): Promise<AppendFile> {
		this._begin('open');
		let content = this._files.get(name);
		if (!content) {
			content = {bytes: new Uint8Array(0), syncedBytes: new Uint8Array(0), droppedEnd: 0};
			const created = content;
			this._applyChange(files => files.set(name, created));
		}

		return this._openContent(content);
	}

	override async rename(from: string, to: string): Promise<void> {
		this._begin('rename');
		const content = this._files.get(from)!;
		this._applyChange(files => {
			files.delete(from);
			files.set(to, content);
		});
	}

	override async remove(name: string): Promise<void> {
		this._begin('remove');
		if (!this._files.has(name)) {
			throw systemError('ENOENT', 'remove');
		}

		this._applyChange(files => files.delete(name));
	}

	override async syncFolder(): Promise<void> {
		this._begin('sync-folder');
		this._syncedFiles = new Map(this._files);
		this._unsyncedChanges = [];
	}

	private _openContent(content: FileContent): AppendFile {
		return new MemoryAppendFile(content, {
			begin: operation => {
				this._begin(operation);
			},
			maxWriteBytes: () => this.maxWriteBytes,
			syncGate: async () => this.syncGate,
		});
	}

	private _applyChange(change: DirectoryChange): void {
		change(this._files);
		this._unsyncedChanges.push(change);
	}

	private _begin(operation: FileOperation): void {
		this._countOperation();
		const code = this.refuse?.(operation);
		if (code !== undefined) {
			throw systemError(code, operation);
		}
	}

	private _countOperation(): void {
		if (this.operationsUntilPowerCut <= 0) {
			throw new Error('power cut');
		}

		this.operationsUntilPowerCut--;
	}
}

type FileHooks = {
	/** Counts an operation, and throws if the disk refuses it. */
	readonly begin: (operation: FileOperation) => void;
	readonly maxWriteBytes: () => number;
	readonly syncGate: () => Promise<void>;
};

class MemoryAppendFile extends AppendFile {
	constructor(private readonly _content: FileContent, private readonly _hooks: FileHooks) {
		super();
	}

	override async write(bytes: Uint8Array): Promise<number> {
		try {
			this._hooks.begin('write');
		} catch (err) {
			this._append(bytes.subarray(0, bytes.length / 2));
			throw err;
		}

		const part = bytes.subarray(0, this._hooks.maxWriteBytes());
		this._append(part);
		return part.length;
	}

	override async sync(): Promise<void> {
		const content = this._content;
		await this._hooks.syncGate();
		try {
			this._hooks.begin('sync');
		} catch (err) {
			content.droppedEnd = content.bytes.length;
			throw err;
		}

		const synced = Uint8Array.from(content.bytes);
		synced.fill(0, Math.min(content.syncedBytes.length, content.droppedEnd), content.droppedEnd);
		content.syncedBytes = synced;
	}

	override async truncate(length: number): Promise<void> {
		this._hooks.begin('truncate');
		const content = this._content;
		content.bytes = content.bytes.subarray(0, length);
		content.droppedEnd = Math.min(content.droppedEnd, length);
	}

	override async close(): Promise<void> {
		this._hooks.begin('close');
	}

	private _append(bytes: Uint8Array): void {
		this._content.bytes = Buffer.concat([this._content.bytes, bytes]);
	}
}

function systemError(code: string, operation: string): Error {
	return Object.assign(new Error(`${code}: ${operation}`), {code, errno: -1});
}

/** Returns the synced bytes and a random part of the unsynced bytes. One byte of this part may be corrupt, because the pages of a file reach the disk in any order. */
function survivingBytes({bytes, syncedBytes}: FileContent, random: SeededRandom): Uint8Array {
	const unsynced = Uint8Array.from(bytes.subarray(syncedBytes.length));
	const part = unsynced.subarray(0, random.integer(0, unsynced.length + 1));
	if (part.length > 0 && random.next() < 0.5) {
		part[random.integer(0, part.length)]! += 1;
	}

	return Buffer.concat([syncedBytes, part]);
}
