import type {Exchange} from '../entry/exchange.js';
import type {MemoryKeeper} from '../memory/memory-keeper.js';
import {AnswerMemory, disconnect} from './answer-memory.js';

/** Memory for the bookkeeping of one write that the caller has not taken, in bytes. */
const bytesPerWrite = 512;

/** Writes a stream to a caller as fast as the server sends it, also while the caller reads slowly: what is unread counts as memory of the answer. */
export class StreamWriter {
	private readonly _memory: AnswerMemory;
	private _writtenBytes = 0;
	private _takenBytes = 0;
	private _pendingWrites = 0;
	/** Memory of what is not written yet, in bytes. */
	private _heldBytes = 0;
	/** Bytes that the caller had taken when the stall timer was checked last. */
	private _checkedBytes = Number.NEGATIVE_INFINITY;
	private _stallTimer: NodeJS.Timeout | undefined;

	constructor(private readonly _request: {readonly exchange: Exchange; readonly owner: string}, memory: MemoryKeeper) {
		this._memory = new AnswerMemory(_request, memory);
		const {res} = _request.exchange;
		res.on('drain', () => {
			this._pendingWrites = 0;
			this._memory.resize(this._heldBytes);
			this._clearTimer();
		});
		res.once('close', () => {
			this._clearTimer();
		});
	}

	/** Writes a part of the stream; disconnects the caller if there is no memory for what it has not read. */
	write(data: Uint8Array): void {
		const {res} = this._request.exchange;
		if (res.destroyed) {
			return;
		}

		this._writtenBytes += data.length;
		const isTaken = res.write(data);
		if (isTaken) {
			return;
		}

		this._pendingWrites++;
		this._recordProgress();
		this._resize();
		this._stallTimer ??= this._watchStall();
	}

	/** Sets the memory of what is kept and not written yet, in bytes. Returns false, and has disconnected the caller, if there is no room. */
	hold(bytes: number): boolean {
		if (bytes === this._heldBytes) {
			return true;
		}

		this._heldBytes = bytes;
		return this._resize();
	}

	private _resize(): boolean {
		const unreadBytes = this._pendingWrites === 0 ? 0 : this._request.exchange.res.writableLength + (this._pendingWrites * bytesPerWrite);
		return this._memory.resize(unreadBytes + this._heldBytes);
	}

	/** Records whether the caller has taken data since the last call, and returns it. */
	private _recordProgress(): boolean {
		const taken = this._writtenBytes - this._request.exchange.res.writableLength;
		const hasProgress = this._pendingWrites === 1 || taken > this._takenBytes;
		this._takenBytes = taken;
		if (hasProgress) {
			this._memory.recordMove();
		}

		return hasProgress;
	}

	private _watchStall(): NodeJS.Timeout {
		const {exchange} = this._request;
		return setTimeout(() => {
			if (this._hasStalled()) {
				disconnect(exchange);
			} else {
				this._stallTimer = this._watchStall();
			}
		}, exchange.slowReaderTimeoutMs);
	}

	private _hasStalled(): boolean {
		const before = this._checkedBytes;
		this._checkedBytes = this._writtenBytes - this._request.exchange.res.writableLength;
		return this._checkedBytes <= before;
	}

	private _clearTimer(): void {
		clearTimeout(this._stallTimer);
		this._stallTimer = undefined;
		this._checkedBytes = Number.NEGATIVE_INFINITY;
	}
}
