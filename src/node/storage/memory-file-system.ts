import {Buffer} from 'node:buffer';
import path from 'node:path';
import type {SeededRandom} from '../../common/core/random.js';
import {AppendFile, FileSystem} from './file-system.js';

type Content = {bytes: Uint8Array; syncedBytes: Uint8Array};
type NameChange = (names: Map<string, Content>) => void;

/** A file system in memory for tests: knows what a power cut would lose and injects faults. */
export class MemoryFileSystem extends FileSystem {
	/** Every write ends after this many bytes. */
	maxWriteBytes = Number.POSITIVE_INFINITY;
	/** The next fsync of a file fails. */
	isSyncFailing = false;
	/** Fsyncs of files wait for this promise. */
	syncGate: Promise<void> = Promise.resolve();
	/** Operations until the power cut; from then on everything fails. */
	operationsLeft = Number.POSITIVE_INFINITY;

	private readonly _names = new Map<string, Content>();
	private _syncedNames = new Map<string, Content>();
	private _nameChanges: NameChange[] = [];

	/** What a power cut leaves: what was synced, and of the rest a random part. */
	afterPowerCut(random: SeededRandom): MemoryFileSystem {
		const survivor = new MemoryFileSystem();
		const names = new Map(this._syncedNames);
		for (const change of this._nameChanges.slice(0, random.integer(0, this._nameChanges.length + 1))) {
			change(names);
		}

		for (const [name, content] of names) {
			const bytes = survivingBytes(content, random);
			survivor._names.set(name, {bytes, syncedBytes: bytes});
		}

		survivor._syncedNames = new Map(survivor._names);
		return survivor;
	}

	files(): string[] {
		return [...this._names.keys()].sort();
	}

	bytes(name: string): Uint8Array {
		return this._names.get(name)!.bytes;
	}

	setBytes(name: string, bytes: Uint8Array): void {
		this._names.set(name, {bytes, syncedBytes: bytes});
		this._syncedNames = new Map(this._names);
	}

	override async makeFolder(): Promise<void> {
		this._count();
	}

	override async list(folder: string): Promise<string[]> {
		this._count();
		return this.files().filter(name => path.dirname(name) === folder).map(name => path.basename(name));
	}

	override async read(name: string): Promise<Uint8Array> {
		this._count();
		return this.bytes(name);
	}

	override async size(name: string): Promise<number> {
		this._count();
		return this.bytes(name).length;
	}

	override async open(name: string): Promise<AppendFile> {
		this._count();
		let content = this._names.get(name);
		if (!content) {
			content = {bytes: new Uint8Array(0), syncedBytes: new Uint8Array(0)};
			const created = content;
			this._change(names => names.set(name, created));
		}

		return this._openContent(content);
	}

	override async rename(from: string, to: string): Promise<void> {
		this._count();
		const content = this._names.get(from)!;
		this._change(names => {
			names.delete(from);
			names.set(to, content);
		});
	}

	override async remove(name: string): Promise<void> {
		this._count();
		this._change(names => names.delete(name));
	}

	override async syncFolder(): Promise<void> {
		this._count();
		this._syncedNames = new Map(this._names);
		this._nameChanges = [];
	}

	private _openContent(content: Content): AppendFile {
		return new MemoryAppendFile(content, {
			count: () => {
				this._count();
			},
			maxWriteBytes: () => this.maxWriteBytes,
			sync: async () => {
				await this.syncGate;
				if (this.isSyncFailing) {
					throw new Error('EIO: fsync');
				}
			},
		});
	}

	private _change(change: NameChange): void {
		change(this._names);
		this._nameChanges.push(change);
	}

	private _count(): void {
		if (this.operationsLeft <= 0) {
			throw new Error('power cut');
		}

		this.operationsLeft--;
	}
}

type FileHooks = {
	readonly count: () => void;
	readonly maxWriteBytes: () => number;
	readonly sync: () => Promise<void>;
};

class MemoryAppendFile extends AppendFile {
	constructor(private readonly _content: Content, private readonly _hooks: FileHooks) {
		super();
	}

	override async write(bytes: Uint8Array): Promise<number> {
		this._hooks.count();
		const part = bytes.subarray(0, this._hooks.maxWriteBytes());
		this._content.bytes = Buffer.concat([this._content.bytes, part]);
		return part.length;
	}

	override async sync(): Promise<void> {
		this._hooks.count();
		await this._hooks.sync();
		this._content.syncedBytes = this._content.bytes;
	}

	override async truncate(length: number): Promise<void> {
		this._hooks.count();
		this._content.bytes = this._content.bytes.subarray(0, length);
	}

	override async close(): Promise<void> {
		// Nothing is buffered.
	}
}

/** Synced bytes, then a part of the rest with possibly one damaged byte, as pages reach the disk in any order. */
function survivingBytes({bytes, syncedBytes}: Content, random: SeededRandom): Uint8Array {
	const unsynced = Uint8Array.from(bytes.subarray(syncedBytes.length));
	const part = unsynced.subarray(0, random.integer(0, unsynced.length + 1));
	if (part.length > 0 && random.next() < 0.5) {
		part[random.integer(0, part.length)]! += 1;
	}

	return Buffer.concat([syncedBytes, part]);
}
