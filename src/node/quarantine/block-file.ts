import path from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import type {Clock} from '../../common/core/clock.js';
import type {Disposable} from '../../common/core/disposable.js';
import type {Logger} from '../../common/core/log.js';
import {decodeBlocks, encodeBlocks} from '../../common/quarantine/stored-blocks.js';
import type {StoredBlocks} from '../../common/quarantine/stored-blocks.js';
import type {Metrics} from '../../common/services/metrics.js';
import type {FileSystem} from '../storage/file-system.js';
import {isSystemError} from '../storage/refusal-retry.js';
import {removeIfPresent, writeAll} from '../storage/segment-writer.js';

const fileName = 'quarantine.jsonl';
const temporaryName = `${fileName}.tmp`;
/** Size above which a file cannot be one that `encodeBlocks` wrote, in bytes. */
const maxFileBytes = 4_194_304;
/** Default of the shortest time between two writes, in milliseconds. */
const defaultIntervalMs = 200;
/** Longest pause before a refused operation is repeated, in milliseconds. It begins with the interval between writes, and doubles with each refusal. */
const maxPauseMs = 30_000;
/** Time after which an operation of the disk is reported as slow, in milliseconds. */
const slowMs = 5000;
/** Number of attempts to read the file, after which it may be overwritten. */
const maxReadAttempts = 5;

export type BlockFileOptions = {
	readonly folder: string;
	readonly fileSystem: FileSystem;
	readonly clock: Clock;
	readonly logger: Logger;
	readonly metrics: Metrics;
	/** Shortest time between two writes, in milliseconds; undefined for the default. */
	readonly intervalMs?: number;
};

/** File that keeps the blocks of the quarantine across restarts of the process. Its errors are logged, and none of its methods throws. */
export class BlockFile implements Disposable {
	private readonly _file: string;
	private readonly _intervalMs: number;
	private readonly _disposal = new AbortController();
	private _isLoaded = false;
	private _isWriting = false;
	/** Returns what is to be written; undefined if the file is up to date. */
	private _capture: (() => StoredBlocks) | undefined;

	constructor(private readonly _options: BlockFileOptions) {
		this._file = path.join(_options.folder, fileName);
		this._intervalMs = _options.intervalMs ?? defaultIntervalMs;
	}

	/** Reads the file. Resolves with undefined if there is none, or none that can be read. */
	async load(): Promise<StoredBlocks | undefined> {
		const {logger, clock} = this._options;
		let stored: StoredBlocks | undefined;
		const bytes = await this._readRepeatedly();
		if (bytes) {
			const {blocks, probations, ageMs, faults} = decodeBlocks(new TextDecoder().decode(bytes), clock.wallTimeMs());
			if (faults.length > 0) {
				logger.log('warn', 'quarantine file unreadable', {file: this._file, reason: faults[0], lines: faults.length});
			}

			logger.log('info', 'quarantine restored', {blocks: blocks.length, probations: probations.length, ageMs: Math.round(ageMs)});
			stored = {blocks, probations};
		}

		this._isLoaded = true;
		this._startWriting();
		return this._disposal.signal.aborted ? undefined : stored;
	}

	/** Writes what `capture` returns once the file has been loaded and the previous write has ended. Of several calls until then, the last one counts. */
	save(capture: () => StoredBlocks): void {
		this._capture = capture;
		this._startWriting();
	}

	dispose(): void {
		this._disposal.abort();
	}

	private async _readRepeatedly(): Promise<Uint8Array | undefined> {
		for (let attempt = 1; attempt <= maxReadAttempts && !this._disposal.signal.aborted; attempt++) {
			try {
				return await this._watch('read', this._read());
			} catch (err) {
				this._options.logger.log('warn', 'quarantine file unreadable', {file: this._file, reason: describe(err), attempt});
				if (!isSystemError(err)) {
					return undefined;
				}

				await this._pause(attempt);
			}
		}

		return undefined;
	}

	private async _read(): Promise<Uint8Array | undefined> {
		const {fileSystem, logger} = this._options;
		const names = await this._listFolder();
		if (!names.includes(fileName)) {
			logger.log('info', 'no quarantine file', {file: this._file});
			return undefined;
		}

		const sizeBytes = await fileSystem.size(this._file);
		if (sizeBytes > maxFileBytes) {
			throw new Error(`${sizeBytes} bytes`);
		}

		return fileSystem.read(this._file);
	}

	private async _listFolder(): Promise<string[]> {
		try {
			return await this._options.fileSystem.list(this._options.folder);
		} catch (err) {
			if (isSystemError(err) && err.code === 'ENOENT') {
				return [];
			}

			throw err;
		}
	}

	private _startWriting(): void {
		if (this._isLoaded && !this._isWriting) {
			void this._writeRepeatedly();
		}
	}

	private async _writeRepeatedly(): Promise<void> {
		this._isWriting = true;
		let refusals = 0;
		while (this._capture && !this._disposal.signal.aborted) {
			const capture = this._capture;
			this._capture = undefined;
			try {
				await this._watch('write', this._write(encodeBlocks(capture(), this._options.clock.wallTimeMs())));
				refusals = 0;
			} catch (err) {
				this._capture ??= capture;
				refusals++;
				this._reportRefusal(err, refusals);
			}

			await this._pause(refusals);
		}

		this._isWriting = false;
	}

	/** Replaces the file, so that a loss of power leaves either the old or the new one. */
	private async _write(text: string): Promise<void> {
		const {fileSystem, folder} = this._options;
		const temporary = path.join(folder, temporaryName);
		await fileSystem.makeFolder(folder);
		await removeIfPresent(fileSystem, temporary);
		const handle = await fileSystem.open(temporary);
		try {
			await writeAll(handle, new TextEncoder().encode(text));
			await handle.sync();
		} finally {
			await handle.close();
		}

		this._disposal.signal.throwIfAborted();
		await fileSystem.rename(temporary, this._file);
		await fileSystem.syncFolder(folder);
	}

	private _reportRefusal(err: unknown, attempt: number): void {
		if (this._disposal.signal.aborted) {
			return;
		}

		const {logger, metrics} = this._options;
		metrics.count('quarantine_write_refusals_total', {code: isSystemError(err) ? err.code : 'other'});
		logger.log('warn', 'quarantine file not written', {file: this._file, reason: describe(err), attempt});
	}

	/** Logs if the operation takes long. */
	private async _watch<T>(step: string, operation: Promise<T>): Promise<T> {
		const timer = setTimeout(() => {
			this._options.logger.log('warn', 'disk of the quarantine file is slow', {file: this._file, step, forMs: slowMs});
		}, slowMs);
		timer.unref();
		try {
			return await operation;
		} finally {
			clearTimeout(timer);
		}
	}

	/** Waits for the interval between writes, doubled for each refusal; ends early when the file is disposed. */
	private async _pause(refusals: number): Promise<void> {
		try {
			await sleep(Math.min(maxPauseMs, this._intervalMs * (2 ** refusals)), undefined, {signal: this._disposal.signal});
		} catch {
			// The loops check whether the file is disposed.
		}
	}
}

function describe(err: unknown): string {
	return err instanceof Error ? err.message : String(err);
}
