import type {PersistBatch, Snapshot, StoredState} from '../../common/consensus/types.js';
import type {Disposable} from '../../common/core/disposable.js';

/** Durable storage of one member of the replicated log. After an error, all further writes are rejected until the process restarts. */
export abstract class LogStorage implements Disposable {
	/** Reads the stored state. Called once, before any other method. Rejects with `StorageError` if the data is corrupt. */
	abstract load(): Promise<StoredState>;
	/** Appends a batch and resolves once it is on disk. Rejects with `StorageError`. */
	abstract append(batch: PersistBatch): Promise<void>;
	/**
	Stores a snapshot and resolves once it is on disk and the log segments that it covers are deleted. Ignores a snapshot that is not
	newer than the stored one. Rejects with `StorageError`.
	*/
	abstract saveSnapshot(snapshot: Snapshot): Promise<void>;
	abstract dispose(): Promise<void>;
}
