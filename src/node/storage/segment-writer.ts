import {errorContext, StorageError} from '../../common/core/errors.js';
import type {AppendFile, FileSystem} from './file-system.js';
import type {RefusalRetry} from './refusal-retry.js';
import {isSystemError} from './refusal-retry.js';

/** Where a segment is stored, and how its refused writes are repeated. */
export type SegmentWriterOptions = {
	readonly fileSystem: FileSystem;
	readonly folder: string;
	readonly file: string;
	readonly retry: RefusalRetry;
};

/**
The log segment to which records are appended. A record that the disk refuses, or whose fsync fails, is cut off and written again until it
is on disk. An fsync that is merely repeated would not do: after a failed one the kernel may drop the pages although it still serves them.
*/
export class SegmentWriter {
	/** Creates the file with its first record and resolves once both are on disk. */
	static async create(options: SegmentWriterOptions, header: Uint8Array): Promise<SegmentWriter> {
		const writer = new SegmentWriter(options);
		const {fileSystem, file, folder, retry} = options;
		await retry.run('start-segment', async () => {
			await writer.close();
			// Makes the directory entry anew as well, since a failed fsync of the folder may have dropped it.
			await removeIfPresent(fileSystem, file);
			writer._handle = await fileSystem.open(file);
			await writeAll(writer._handle, header);
			await writer._handle.sync();
			await fileSystem.syncFolder(folder);
		});
		writer._sizeBytes = header.length;
		return writer;
	}

	private _handle: AppendFile | undefined;
	/** Size of the part that is known to be on disk, in bytes. */
	private _sizeBytes = 0;

	private constructor(private readonly _options: SegmentWriterOptions) {}

	get file(): string {
		return this._options.file;
	}

	get sizeBytes(): number {
		return this._sizeBytes;
	}

	/** Appends a record and resolves once it is on disk. */
	async append(record: Uint8Array): Promise<void> {
		await this._options.retry.run('append', async isRepetition => {
			if (isRepetition) {
				await this._reopen();
			}

			await writeAll(this._handle!, record);
			await this._handle!.sync();
		});
		this._sizeBytes += record.length;
	}

	/** Closes the file. A refusal is ignored, since everything that counts is on disk already. */
	async close(): Promise<void> {
		const handle = this._handle;
		this._handle = undefined;
		try {
			await handle?.close();
		} catch (err) {
			if (!isSystemError(err)) {
				throw err;
			}
		}
	}

	/** Opens the file again without what follows the part that is on disk. Throws `StorageError` if that part is gone. */
	private async _reopen(): Promise<void> {
		const {fileSystem, file} = this._options;
		await this.close();
		this._handle = await fileSystem.open(file);
		const foundBytes = await fileSystem.size(file);
		if (foundBytes < this._sizeBytes) {
			throw new StorageError(`${file}: ${foundBytes} of ${this._sizeBytes} bytes are left`, errorContext({step: 'storage.append', peer: file}));
		}

		await this._handle.truncate(this._sizeBytes);
	}
}

/** Writes all bytes, however few of them one call takes. */
export async function writeAll(file: AppendFile, bytes: Uint8Array): Promise<void> {
	let written = 0;
	while (written < bytes.length) {
		written += await file.write(bytes.subarray(written));
	}
}

/** Removes a file unless an earlier attempt has removed it. */
export async function removeIfPresent(fileSystem: FileSystem, file: string): Promise<void> {
	try {
		await fileSystem.remove(file);
	} catch (err) {
		if (!isSystemError(err) || err.code !== 'ENOENT') {
			throw err;
		}
	}
}
