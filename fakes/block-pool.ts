/** KV cache blocks of an engine: private blocks of single requests, and prefix blocks that requests share and that stay cached until they are evicted. */
export class BlockPool {
	/** Number of requests that hold each cached prefix block, by hash of the block, least recently used first. */
	private readonly _referenceCounts = new Map<string, number>();
	private _privateBlocks = 0;

	/** `_onChange` is called for every prefix block that is stored or evicted. */
	constructor(readonly totalBlocks: number, private readonly _onChange: (kind: 'stored' | 'evicted', hash: string) => void) {}

	/** Number of blocks that no request holds; cached blocks that can be evicted count as free. */
	get freeBlocks(): number {
		let heldBlocks = this._privateBlocks;
		for (const references of this._referenceCounts.values()) {
			heldBlocks += references > 0 ? 1 : 0;
		}

		return this.totalBlocks - heldBlocks;
	}

	/** Returns the number of leading blocks of a prompt that are in the cache. */
	countCachedPrefix(hashes: readonly string[]): number {
		const firstMissIndex = hashes.findIndex(hash => !this._referenceCounts.has(hash));
		return firstMissIndex === -1 ? hashes.length : firstMissIndex;
	}

	/** Allocates blocks that belong to one request only. Returns false if they do not fit. */
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

	/** Acquires the prefix blocks of a request and stores those that are not cached yet. Returns false, and acquires none, if they do not fit. */
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
		// Releasing in reverse order makes the first blocks of a prefix the last to be evicted: later blocks are useless without them.
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

	/** Evicts unreferenced prefix blocks until `blocks` more blocks fit. Returns false, and evicts none, if that is impossible. */
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
