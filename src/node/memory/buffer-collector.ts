import process from 'node:process';

/** Size from which a buffer counts, in bytes. Shorter ones are dropped with the young generation. */
const minBytes = 65_536;
/** Bytes of such buffers after which the memory is looked at. */
const checkBytes = 1_048_576;
/** Memory of dropped buffers for which the garbage collector is run, in bytes. */
const maxDroppedBytes = 4_194_304;

/**
Runs the garbage collector when much memory of dropped buffers is still allocated: V8 alone would let tens of megabytes of them wait, since
they are outside its heap. Without the flag `--expose-gc` it does nothing.
*/
export class BufferCollector {
	private _uncheckedBytes = 0;
	/** Memory of buffers that the collector left allocated though no holder counts it, in bytes: read buffers of sockets, for example. */
	private _residentBytes = 0;

	/** @param _onCollected - called after each run */
	constructor(private readonly _onCollected: () => void) {}

	/**
	Records that a buffer has come or gone.
	@param usedBytes - memory of all holders, in bytes
	*/
	record(bytes: number, bufferBytes: number, usedBytes: number): void {
		if (bufferBytes < minBytes || !globalThis.gc) {
			return;
		}

		this._uncheckedBytes += bytes;
		if (this._uncheckedBytes < checkBytes) {
			return;
		}

		this._uncheckedBytes = 0;
		const unheldBytes = process.memoryUsage().arrayBuffers - usedBytes;
		this._residentBytes = Math.max(0, Math.min(this._residentBytes, unheldBytes));
		if (unheldBytes - this._residentBytes > maxDroppedBytes) {
			globalThis.gc();
			this._residentBytes = Math.max(0, process.memoryUsage().arrayBuffers - usedBytes);
			this._onCollected();
		}
	}
}
