import {constants} from 'node:os';
import {
	mkdir, open, readdir, readFile, rename, rm, stat,
} from 'node:fs/promises';

/** An open file to which bytes are appended. */
export abstract class AppendFile {
	/** Appends at least one of the bytes, possibly not all, and resolves with the number of bytes written. */
	abstract write(bytes: Uint8Array): Promise<number>;
	/** Flushes all written bytes to disk (fsync). */
	abstract sync(): Promise<void>;
	/** Shortens the file to the given length, in bytes. */
	abstract truncate(length: number): Promise<void>;
	abstract close(): Promise<void>;
}

/** File operations used by the storage; tests use another implementation to inject faults. Every method rejects with the error of the operating system. */
export abstract class FileSystem {
	/** Creates a folder and its parents if they do not exist. */
	abstract makeFolder(path: string): Promise<void>;
	/** Returns the names of the files in a folder. */
	abstract list(folder: string): Promise<string[]>;
	abstract read(path: string): Promise<Uint8Array>;
	/** Returns the size of a file in bytes. */
	abstract size(path: string): Promise<number>;
	/** Opens a file for appending; creates it if it does not exist. */
	abstract open(path: string): Promise<AppendFile>;
	abstract rename(from: string, to: string): Promise<void>;
	abstract remove(path: string): Promise<void>;
	/** Makes the creation, renaming and removal of files in a folder durable (fsync of the directory). */
	abstract syncFolder(path: string): Promise<void>;
}

type Handle = Awaited<ReturnType<typeof open>>;

class NodeAppendFile extends AppendFile {
	constructor(private readonly _handle: Handle) {
		super();
	}

	override async write(bytes: Uint8Array): Promise<number> {
		const {bytesWritten} = await this._handle.write(bytes);
		if (bytesWritten === 0 && bytes.length > 0) {
			throw Object.assign(new Error('ENOSPC: the disk took none of the bytes, write'), {code: 'ENOSPC', errno: -constants.errno.ENOSPC});
		}

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

/** File system of the operating system. */
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
