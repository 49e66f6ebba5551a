import type {PersistBatch, Snapshot, StoredState} from '../../common/consensus/types.js';
import type {Disposable} from '../../common/core/disposable.js';

/** Durable part of one member of the replicated log. After an error nothing more is written until a restart. */
export abstract class LogStorage implements Disposable {
	/** Reads the data folder; to be called once, first. Rejects with `StorageError` if it is damaged. */
	abstract load(): Promise<StoredState>;
	/** Resolves once the batch is on disk. Rejects with `StorageError`. */
	abstract append(batch: PersistBatch): Promise<void>;
	/** Resolves once the snapshot is on disk and the log before it is deleted; an older one than the last changes nothing. Rejects with `StorageError`. */
	abstract saveSnapshot(snapshot: Snapshot): Promise<void>;
	abstract dispose(): Promise<void>;
}
