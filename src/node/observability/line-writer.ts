import {Buffer} from 'node:buffer';
import {write} from 'node:fs';

/** Maximum number of bytes queued for a slow reader; a line that would exceed this limit is dropped. */
const maxQueuedBytes = 1024 * 1024;
/** Maximum number of lines per second, which bounds the processor time spent on logging. A process normally writes about 20 lines per second. */
const maxLinesPerSecond = 500;

/** Time for which lines are collected into one write, in milliseconds. Fewer writes save processor time, because each write wakes a thread and then the event loop. */
const flushDelayMs = 50;

/** Writes bytes asynchronously and calls `done` with the number of bytes written, which may be less than all. */
export type WriteBytes = (bytes: Uint8Array, done: (err: Error | undefined, written: number) => void) => void;

function writeTo(descriptor: number): WriteBytes {
	return (bytes, done) => {
		write(descriptor, bytes, (err, written) => {
			done(err ?? undefined, written);
		});
	};
}

/**
Writes lines without blocking on a slow reader. The standard streams of Node.js write synchronously to pipes and files, so a reader
that stops reading would block the process. Lines that exceed the queue or the rate limit are dropped, and their number is logged as soon as a line can be written again.
*/
export class LineWriter {
	private _queue: Uint8Array[] = [];
	private _queuedBytes = 0;
	private _droppedLines = 0;
	private _isWriting = false;
	private _timer: NodeJS.Timeout | undefined;
	private _secondStartMs = 0;
	private _linesThisSecond = 0;

	/** @param _flushDelayMs - time for which lines are collected before a write, in milliseconds; 0 writes each line immediately */
	constructor(private readonly _write: WriteBytes = writeTo(1), private readonly _nowMs: () => number = () => performance.now(), private readonly _flushDelayMs = flushDelayMs) {}

	/** Queues one line, given without its line break. */
	writeLine(line: string): void {
		const bytes = Buffer.from(line + '\n');
		if (this._queuedBytes + bytes.length > maxQueuedBytes || !this._isWithinRate()) {
			this._droppedLines++;
			return;
		}

		if (this._droppedLines > 0) {
			const dropped = this._droppedLines;
			this._droppedLines = 0;
			this.writeLine(JSON.stringify({level: 'warn', message: 'log lines dropped', dropped}));
		}

		this._queue.push(bytes);
		this._queuedBytes += bytes.length;
		if (this._flushDelayMs === 0) {
			this._flush();
			return;
		}

		this._timer ??= setTimeout(() => {
			this._timer = undefined;
			this._flush();
		}, this._flushDelayMs).unref();
	}

	/** Removes and returns the queued lines, so that an exiting process can write them synchronously. */
	takeQueuedBytes(): Uint8Array {
		const bytes = Buffer.concat(this._queue);
		this._queue = [];
		return bytes;
	}

	private _isWithinRate(): boolean {
		const nowMs = this._nowMs();
		if (nowMs - this._secondStartMs >= 1000) {
			this._secondStartMs = nowMs;
			this._linesThisSecond = 0;
		}

		this._linesThisSecond++;
		return this._linesThisSecond <= maxLinesPerSecond;
	}

	private _flush(): void {
		if (this._isWriting || this._queue.length === 0) {
			return;
		}

		this._isWriting = true;
		const bytes = Buffer.concat(this._queue);
		this._queue = [];
		this._writeFully(bytes);
	}

	private _writeFully(bytes: Uint8Array): void {
		this._write(bytes, (err, written) => {
			// There is nowhere to report that the log itself cannot be written, so the lines are discarded.
			const remaining = err ? bytes.subarray(bytes.length) : bytes.subarray(written);
			this._queuedBytes -= bytes.length - remaining.length;
			if (remaining.length > 0) {
				this._writeFully(remaining);
				return;
			}

			this._isWriting = false;
			this._flush();
		});
	}
}
