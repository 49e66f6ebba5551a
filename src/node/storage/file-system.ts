import {
	mkdir, open, readdir, readFile, rename, rm, stat,
} from 'node:fs/promises';

/** An open file that is written at its end. */
export abstract class AppendFile {
	/** Writes a part of the bytes, at least one, and resolves with their number. */
	abstract write(bytes: Uint8Array): Promise<number>;
	/** Resolves once everything written is on disk. */
	abstract sync(): Promise<void>;
	abstract truncate(length: number): Promise<void>;
	abstract close(): Promise<void>;
}

/** The file operations that the storage needs; tests replace them to inject faults. Every method rejects with the system's error. */
export abstract class FileSystem {
	/** Creates the folder and its parents if missing. */
	abstract makeFolder(path: string): Promise<void>;
	/** Names of the files in a folder. */
	abstract list(folder: string): Promise<string[]>;
	abstract read(path: string): Promise<Uint8Array>;
	/** Size in bytes. */
	abstract size(path: string): Promise<number>;
	/** Opens a file at its end; creates it if missing. */
	abstract open(path: string): Promise<AppendFile>;
	abstract rename(from: string, to: string): Promise<void>;
	abstract remove(path: string): Promise<void>;
	/** Makes created, renamed and removed names durable. */
	abstract syncFolder(path: string): Promise<void>;
}

type Handle = Awaited<ReturnType<typeof open>>;

class NodeAppendFile extends AppendFile {
	constructor(private readonly _handle: Handle) {
		super();
	}

	override async write(bytes: Uint8Array): Promise<number> {
		const {bytesWritten} = await this._handle.write(bytes);
		return bytesWritten;
	}

	override async sync(): Promise<void> {
		await this._handle.sync();
	}

	override async truncate(length: number): Promise<void> {
		await this._handle.truncate(length);
	}

	override async close(): Promise<void> {
		await this._handle.close();
	}
}

/** The file system of the VM. */
export class NodeFileSystem extends FileSystem {
	override async makeFolder(path: string): Promise<void> {
		await mkdir(path, {recursive: true});
	}

	override async list(folder: string): Promise<string[]> {
		return readdir(folder);
	}

	override async read(path: string): Promise<Uint8Array> {
		return readFile(path);
	}

	override async size(path: string): Promise<number> {
		const {size} = await stat(path);
		return size;
	}

	override async open(path: string): Promise<AppendFile> {
		return new NodeAppendFile(await open(path, 'a'));
	}

	override async rename(from: string, to: string): Promise<void> {
		await rename(from, to);
	}

	override async remove(path: string): Promise<void> {
		await rm(path);
	}

	override async syncFolder(path: string): Promise<void> {
		const handle = await open(path, 'r');
		try {
			await handle.sync();
		} finally {
			await handle.close();
		}
	}
}
