/** Pool of the KV cache blocks of an engine. A private block belongs to one request. A prefix block is shared by requests and stays cached until it is evicted. */
export class BlockPool {
	/** Number of requests that hold each cached prefix block, by block hash. The least recently used block comes first. */
	private readonly _referenceCounts = new Map<string, number>();
	private _privateBlocks = 0;

	/** `totalBlocks` is the capacity of the pool in blocks. `_onChange` is called for every prefix block that is stored or evicted. */
	constructor(readonly totalBlocks: number, private readonly _onChange: (kind: 'stored' | 'evicted', hash: string) => void) {}

	/** Number of blocks that no request holds. Cached prefix blocks that no request holds are included, because they can be evicted. */
	get freeBlocks(): number {
		let heldBlocks = this._privateBlocks;
		for (const references of this._referenceCounts.values()) {
			heldBlocks += references > 0 ? 1 : 0;
		}

		return this.totalBlocks - heldBlocks;
	}

	/** Returns the number of blocks at the start of a prompt that are in the cache, up to the first block that is not cached. */
	countCachedPrefix(hashes: readonly string[]): number {
		const firstMissIndex = hashes.findIndex(hash => !this._referenceCounts.has(hash));
		return firstMissIndex === -1 ? hashes.length : firstMissIndex;
	}

	/** Allocates `blocks` private blocks for one request. Returns false, and allocates no block, if they do not fit. */
	allocatePrivate(blocks: number): boolean {
		if (!this._evictToFit(blocks)) {
			return false;
		}

		this._privateBlocks += blocks;
		return true;
	}

	releasePrivate(blocks: number): void {
		this._privateBlocks -= blocks;
	}

	/** Acquires the prefix blocks of a request and stores those that are not cached yet. Returns false, and acquires no block, if the new blocks do not fit. */
	acquirePrefix(hashes: readonly string[]): boolean {
		const cachedHashes = hashes.filter(hash => this._referenceCounts.has(hash));
		for (const hash of cachedHashes) {
			this._updateReferences(hash, 1);
		}

		const newHashes = hashes.filter(hash => !this._referenceCounts.has(hash));
		if (!this._evictToFit(newHashes.length)) {
			this.releasePrefix(cachedHashes);
			return false;
		}

		for (const hash of newHashes) {
			this._referenceCounts.set(hash, 1);
			this._onChange('stored', hash);
		}

		return true;
	}

	/** Releases prefix blocks of a request; they stay in the cache until they are evicted. */
	releasePrefix(hashes: readonly string[]): void {
		// The later blocks of a prefix are useless without the earlier ones. Releasing the blocks in reverse order lets the first block be evicted last.
		for (const hash of hashes.toReversed()) {
			this._updateReferences(hash, -1);
		}
	}

	/** Changes the reference count of a block and makes it the most recently used one. */
	private _updateReferences(hash: string, change: number): void {
		const references = this._referenceCounts.get(hash) ?? 0;
		this._referenceCounts.delete(hash);
		this._referenceCounts.set(hash, Math.max(0, references + change));
	}

	/** Evicts unreferenced prefix blocks, the least recently used first, until `blocks` more blocks fit. Returns false, and evicts no block, if evicting all of them would not be enough. */
	private _evictToFit(blocks: number): boolean {
		let blocksToEvict = this._privateBlocks + this._referenceCounts.size + blocks - this.totalBlocks;
		if (blocksToEvict <= 0) {
			return true;
		}

		const evictableHashes = [...this._referenceCounts].filter(([, references]) => references === 0).map(([hash]) => hash);
		if (evictableHashes.length < blocksToEvict) {
			return false;
		}

		for (const hash of evictableHashes) {
			if (blocksToEvict-- <= 0) {
				break;
			}

			this._referenceCounts.delete(hash);
			this._onChange('evicted', hash);
		}

		return true;
	}
}
