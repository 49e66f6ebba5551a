import {Buffer} from 'node:buffer';
import path from 'node:path';
import type {SeededRandom} from '../../common/core/random.js';
import {AppendFile, FileSystem} from './file-system.js';

type FileContent = {bytes: Uint8Array; syncedBytes: Uint8Array};
type DirectoryChange = (files: Map<string, FileContent>) => void;

/** In-memory file system for tests. Simulates power cuts and injects faults. */
export class MemoryFileSystem extends FileSystem {
	/** Maximum number of bytes that one call of `write` writes; infinite by default, so that a call writes all bytes. */
	maxWriteBytes = Number.POSITIVE_INFINITY;
	/** While true, every write fails for lack of space, and leaves half of its bytes. */
	isFull = false;
	/** While true, every fsync of a file fails. */
	isSyncFailing = false;
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
			recovered._files.set(name, {bytes, syncedBytes: bytes});
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
		this._files.set(name, {bytes, syncedBytes: bytes});
		this._syncedFiles = new Map(this._files);
	}

	override async makeFolder(): Promise<void> {
		this._countOperation();
	}

	override async list(folder: string): Promise<string[]> {
		this._countOperation();
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
		this._countOperation();
		let content = this._files.get(name);
		if (!content) {
			content = {bytes: new Uint8Array(0), syncedBytes: new Uint8Array(0)};
			const created = content;
			this._applyChange(files => files.set(name, created));
		}

		return this._openContent(content);
	}

	override async rename(from: string, to: string): Promise<void> {
		this._countOperation();
		const content = this._files.get(from)!;
		this._applyChange(files => {
			files.delete(from);
			files.set(to, content);
		});
	}

	override async remove(name: string): Promise<void> {
		this._countOperation();
		this._applyChange(files => files.delete(name));
	}

	override async syncFolder(): Promise<void> {
		this._countOperation();
		this._syncedFiles = new Map(this._files);
		this._unsyncedChanges = [];
	}

	private _openContent(content: FileContent): AppendFile {
		return new MemoryAppendFile(content, {
			countOperation: () => {
				this._countOperation();
			},
			maxWriteBytes: () => this.maxWriteBytes,
			isFull: () => this.isFull,
			sync: async () => {
				await this.syncGate;
				if (this.isSyncFailing) {
					throw new Error('EIO: fsync');
				}
			},
		});
	}

	private _applyChange(change: DirectoryChange): void {
		change(this._files);
		this._unsyncedChanges.push(change);
	}

	private _countOperation(): void {
		if (this.operationsUntilPowerCut <= 0) {
			throw new Error('power cut');
		}

		this.operationsUntilPowerCut--;
	}
}

type FileHooks = {
	readonly countOperation: () => void;
	readonly maxWriteBytes: () => number;
	readonly isFull: () => boolean;
	readonly sync: () => Promise<void>;
};

class MemoryAppendFile extends AppendFile {
	constructor(private readonly _content: FileContent, private readonly _hooks: FileHooks) {
		super();
	}

	override async write(bytes: Uint8Array): Promise<number> {
		this._hooks.countOperation();
		if (this._hooks.isFull()) {
			this._content.bytes = Buffer.concat([this._content.bytes, bytes.subarray(0, bytes.length / 2)]);
			throw Object.assign(new Error('ENOSPC: no space left on device, write'), {code: 'ENOSPC'});
		}

		const part = bytes.subarray(0, this._hooks.maxWriteBytes());
		this._content.bytes = Buffer.concat([this._content.bytes, part]);
		return part.length;
	}

	override async sync(): Promise<void> {
		this._hooks.countOperation();
		await this._hooks.sync();
		this._content.syncedBytes = this._content.bytes;
	}

	override async truncate(length: number): Promise<void> {
		this._hooks.countOperation();
		this._content.bytes = this._content.bytes.subarray(0, length);
	}

	override async close(): Promise<void> {
		// Nothing to release.
	}
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
