/** Sizes of the first and of the largest blocks, in bytes. */
const minBlockBytes = 64;
const maxBlockBytes = 65_536;

/** Collects the chunks of a body in blocks, so that small chunks cost no more memory than their bytes. */
export class ByteBlocks {
	private readonly _blocks: Uint8Array[] = [];
	private _length = 0;
	private _capacity = 0;

	/** Number of collected bytes. */
	get length(): number {
		return this._length;
	}

	/** Memory of the blocks, in bytes. */
	get capacity(): number {
		return this._capacity;
	}

	/** Whether the bytes can be taken without a copy. */
	get isInOneBlock(): boolean {
		return this._blocks.length <= 1;
	}

	/** Memory of the blocks after `bytes` more bytes, in bytes. */
	capacityWith(bytes: number): number {
		const missing = this._length + bytes - this._capacity;
		return missing > 0 ? this._capacity + this._nextBlockBytes(missing) : this._capacity;
	}

	append(chunk: Uint8Array): void {
		const free = this._capacity - this._length;
		const last = this._blocks.at(-1);
		const head = chunk.subarray(0, free);
		last?.set(head, last.length - free);
		if (chunk.length > free) {
			const block = new Uint8Array(this._nextBlockBytes(chunk.length - free));
			block.set(chunk.subarray(free));
			this._blocks.push(block);
			this._capacity += block.length;
		}

		this._length += chunk.length;
	}

	/** Returns all bytes, and empties the collection. */
	take(): Uint8Array {
		const [first] = this._blocks;
		const joined = first && this._blocks.length === 1 ? first.subarray(0, this._length) : this._join();
		this.clear();
		return joined;
	}

	/** Returns all bytes in parts, which are not copied, and empties the collection. */
	takeParts(): Uint8Array[] {
		const free = this._capacity - this._length;
		const parts = this._blocks.map((block, i) => i === this._blocks.length - 1 ? block.subarray(0, block.length - free) : block);
		this.clear();
		return parts;
	}

	/** Drops all bytes. */
	clear(): void {
		this._blocks.length = 0;
		this._length = 0;
		this._capacity = 0;
	}

	private _join(): Uint8Array {
		const joined = new Uint8Array(this._length);
		let offset = 0;
		for (const block of this._blocks) {
			joined.set(block.subarray(0, this._length - offset), offset);
			offset += block.length;
		}

		return joined;
	}

	/** Blocks grow with what was collected, so that a short body does not occupy a large block. */
	private _nextBlockBytes(missing: number): number {
		return Math.max(missing, Math.min(maxBlockBytes, Math.max(minBlockBytes, this._capacity)));
	}
}
