import {consensusMessageSchema, consensusMessageTypes} from '../../common/consensus/messages.js';
import {confirmationSequence} from '../../common/consensus/state.js';
import type {ConsensusEffect} from '../../common/consensus/types.js';
import type {Disposable} from '../../common/core/disposable.js';
import type {PeerNetwork} from '../../common/services/peer-network.js';
import type {ProcessEffect, ProcessEvent} from '../../common/reducer.js';
import type {ReducerRuntime} from '../runtime.js';
import type {LogStorage} from '../storage/log-storage.js';

/** Tick interval of the replicated log, in milliseconds; a fifth of its heartbeat interval. */
const tickIntervalMs = 20;

type SaveSnapshot = Extract<ConsensusEffect, {type: 'consensus/save-snapshot'}>;

/** Connects the replicated log of a control VM to the network and the disk. */
export class ConsensusHost implements Disposable {
	private readonly _timer: NodeJS.Timeout;

	constructor(network: PeerNetwork, private readonly _storage: LogStorage, private readonly _runtime: ReducerRuntime<ProcessEvent, ProcessEffect>) {
		for (const type of consensusMessageTypes) {
			network.registerHandler(type, consensusMessageSchema, (from, message) => {
				_runtime.dispatch({type: 'consensus/message', from: from.vm, message});
			});
		}

		_runtime.on('consensus/persist', effect => {
			void this._write(effect.batch.sequence, async () => _storage.append(effect.batch));
		});
		_runtime.on('consensus/save-snapshot', effect => {
			void this._saveSnapshot(effect);
		});
		this._timer = setInterval(() => {
			_runtime.dispatch({type: 'consensus/tick'});
		}, tickIntervalMs);
		void this._write(confirmationSequence, async () => _storage.confirm());
	}

	async dispose(): Promise<void> {
		clearInterval(this._timer);
		await this._storage.dispose();
	}

	/** Performs a write and reports that it is on disk. */
	private async _write(sequence: number, perform: () => Promise<void>): Promise<void> {
		try {
			await perform();
		} catch (err) {
			this._reportFailure(err);
			return;
		}

		this._runtime.dispatch({type: 'consensus/persisted', sequence});
	}

	private async _saveSnapshot({snapshot}: SaveSnapshot): Promise<void> {
		try {
			await this._storage.saveSnapshot(snapshot);
		} catch (err) {
			this._reportFailure(err);
			return;
		}

		this._runtime.dispatch({type: 'consensus/snapshot-saved', index: snapshot.index});
	}

	private _reportFailure(err: unknown): void {
		this._runtime.dispatch({type: 'consensus/storage-failed', reason: err instanceof Error ? err.message : String(err)});
	}
}
