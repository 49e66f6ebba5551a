import type {PersistBatch, Snapshot, StoredState} from '../../common/consensus/types.js';
import type {Disposable} from '../../common/core/disposable.js';

/**
Durable storage of one member of the replicated log. What the disk refuses is repeated until the disk accepts it. After any other error, all
further writes are rejected until the process restarts.
*/
export abstract class LogStorage implements Disposable {
	/** Reads the stored state, and writes nothing. Called once, before any other method. Rejects with `StorageError` if the data is corrupt or cannot be read. */
	abstract load(): Promise<StoredState>;
	/**
	Makes the loaded state durable, and resolves once it is. Called once, before the first write. What a stopped process has written without a
	successful fsync may have been loaded from the cache of the operating system only. Rejects with `StorageError`.
	*/
	abstract confirm(): Promise<void>;
	/** Appends a batch and resolves once it is on disk. Rejects with `StorageError`. */
	abstract append(batch: PersistBatch): Promise<void>;
	/**
	Stores a snapshot and resolves once it is on disk and the log segments that it covers are deleted. Ignores a snapshot that is not
	newer than the stored one. Rejects with `StorageError`.
	*/
	abstract saveSnapshot(snapshot: Snapshot): Promise<void>;
	abstract dispose(): Promise<void>;
}
