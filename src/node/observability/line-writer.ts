import {Buffer} from 'node:buffer';
import {write} from 'node:fs';

/** Bytes of lines that may wait for a reader; further lines are dropped. */
const maxWaitingBytes = 1024 * 1024;
/** Lines written in one second; a process of today's deployments writes about 20, and each costs processor time. */
const maxLinesPerSecond = 500;

/** Time for which lines are gathered into one write, in milliseconds; each write wakes a thread and then the event loop. */
const gatherMs = 50;

/** Writes to a file descriptor; `done` is told how many bytes were taken. */
export type WriteBytes = (bytes: Uint8Array, done: (err: Error | undefined, written: number) => void) => void;

function writeTo(descriptor: number): WriteBytes {
	return (bytes, done) => {
		write(descriptor, bytes, (err, written) => {
			done(err ?? undefined, written);
		});
	};
}

/**
Writes lines without ever waiting for a reader: Node.js writes synchronously to pipes and files, so a reader that stops
would stop the process. Lines that find no room or exceed the rate are dropped and counted, and the count is written once there is room.
*/
export class LineWriter {
	private _waiting: Uint8Array[] = [];
	private _waitingBytes = 0;
	private _dropped = 0;
	private _isWriting = false;
	private _timer: NodeJS.Timeout | undefined;
	private _secondStartMs = 0;
	private _linesInSecond = 0;

	/** @param _gatherMs - 0 writes each line at once */
	constructor(private readonly _write: WriteBytes = writeTo(1), private readonly _nowMs: () => number = () => performance.now(), private readonly _gatherMs = gatherMs) {}

	/** Takes one line without its line break. */
	writeLine(line: string): void {
		const bytes = Buffer.from(line + '\n');
		if (this._waitingBytes + bytes.length > maxWaitingBytes || !this._isWithinRate()) {
			this._dropped++;
			return;
		}

		if (this._dropped > 0) {
			const dropped = this._dropped;
			this._dropped = 0;
			this.writeLine(JSON.stringify({level: 'warn', message: 'log lines dropped', dropped}));
		}

		this._waiting.push(bytes);
		this._waitingBytes += bytes.length;
		if (this._gatherMs === 0) {
			this._flush();
			return;
		}

		this._timer ??= setTimeout(() => {
			this._timer = undefined;
			this._flush();
		}, this._gatherMs).unref();
	}

	/** Gives back the lines that wait, for a process that ends and cannot wait for their write. */
	takeWaiting(): Uint8Array {
		const bytes = Buffer.concat(this._waiting);
		this._waiting = [];
		return bytes;
	}

	private _isWithinRate(): boolean {
		const nowMs = this._nowMs();
		if (nowMs - this._secondStartMs >= 1000) {
			this._secondStartMs = nowMs;
			this._linesInSecond = 0;
		}

		this._linesInSecond++;
		return this._linesInSecond <= maxLinesPerSecond;
	}

	private _flush(): void {
		if (this._isWriting || this._waiting.length === 0) {
			return;
		}

		this._isWriting = true;
		const bytes = Buffer.concat(this._waiting);
		this._waiting = [];
		this._writeRest(bytes);
	}

	private _writeRest(bytes: Uint8Array): void {
		this._write(bytes, (err, written) => {
			// Nobody can be told of a failed write of the log itself, so its lines are given up.
			const left = err ? bytes.subarray(bytes.length) : bytes.subarray(written);
			this._waitingBytes -= bytes.length - left.length;
			if (left.length > 0) {
				this._writeRest(left);
				return;
			}

			this._isWriting = false;
			this._flush();
		});
	}
}
