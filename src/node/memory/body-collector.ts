import {ByteBlocks} from '../../common/memory/byte-blocks.js';
import type {Holding} from './memory-keeper.js';

/** Number of bytes after which a body counts as moved. */
const moveBytes = 4096;

/** Collects a body that a peer sends, in memory that it holds. */
export class BodyCollector {
	private readonly _blocks = new ByteBlocks();
	private _movedAtBytes = 0;

	constructor(private readonly _holding: Holding) {}

	/** Number of collected bytes. */
	get length(): number {
		return this._blocks.length;
	}

	/** Adds a chunk and returns true; adds nothing and returns false if there is no room for it. */
	add(chunk: Uint8Array): boolean {
		const capacity = this._blocks.capacityWith(chunk.length);
		if (capacity > this._blocks.capacity && !this._holding.resize(capacity)) {
			return false;
		}

		this._blocks.append(chunk);
		if (this._blocks.length - this._movedAtBytes >= moveBytes || this._movedAtBytes === 0) {
			this._movedAtBytes = this._blocks.length;
			this._holding.recordMove(true);
		}

		return true;
	}

	/** Returns all bytes. The body is whole: it is no longer closed when memory is needed. */
	take(): Uint8Array {
		this._holding.recordMove(false);
		const {capacity, isInOneBlock} = this._blocks;
		const body = this._blocks.take();
		if (!isInOneBlock) {
			this._holding.recordCopy(capacity);
		}

		return body;
	}

	/** Drops all bytes and frees their memory. */
	drop(): void {
		this._blocks.clear();
		this._holding.release();
	}
}
