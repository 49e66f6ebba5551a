/** KV cache blocks of an engine: blocks held by requests, and prefix blocks that stay until they are evicted. */
export class BlockPool {
	/** Prefix blocks, least recently used first; the value counts the requests that hold the block. */
	private readonly _cached = new Map<string, number>();
	private _private = 0;

	constructor(readonly total: number, private readonly _onChange: (kind: 'stored' | 'evicted', hash: string) => void) {}

	get free(): number {
		let held = this._private;
		for (const references of this._cached.values()) {
			held += references > 0 ? 1 : 0;
		}

		return this.total - held;
	}

	/** Leading blocks of the prompt that are in the cache. */
	matching(hashes: readonly string[]): number {
		const miss = hashes.findIndex(hash => !this._cached.has(hash));
		return miss === -1 ? hashes.length : miss;
	}

	/** Takes blocks of one request alone; false when they do not fit. */
	takePrivate(blocks: number): boolean {
		if (!this._makeRoom(blocks)) {
			return false;
		}

		this._private += blocks;
		return true;
	}

	releasePrivate(blocks: number): void {
		this._private -= blocks;
	}

	/** Holds the prefix blocks of a request, and stores those that are new; false when they do not fit. */
	hold(hashes: readonly string[]): boolean {
		const known = hashes.filter(hash => this._cached.has(hash));
		for (const hash of known) {
			this._touch(hash, 1);
		}

		const added = hashes.filter(hash => !this._cached.has(hash));
		if (!this._makeRoom(added.length)) {
			this.unhold(known);
			return false;
		}

		for (const hash of added) {
			this._cached.set(hash, 1);
			this._onChange('stored', hash);
		}

		return true;
	}

	/** Lets go of held prefix blocks; they stay in the cache until evicted. */
	unhold(hashes: readonly string[]): void {
		// The first blocks of a prefix are evicted last, because the later ones are useless without them.
		for (const hash of hashes.toReversed()) {
			this._touch(hash, -1);
		}
	}

	private _touch(hash: string, change: number): void {
		const references = this._cached.get(hash) ?? 0;
		this._cached.delete(hash);
		this._cached.set(hash, Math.max(0, references + change));
	}

	private _makeRoom(blocks: number): boolean {
		let missing = this._private + this._cached.size + blocks - this.total;
		if (missing <= 0) {
			return true;
		}

		const evictable = [...this._cached].filter(([, references]) => references === 0).map(([hash]) => hash);
		if (evictable.length < missing) {
			return false;
		}

		for (const hash of evictable) {
			if (missing-- <= 0) {
				break;
			}

			this._cached.delete(hash);
			this._onChange('evicted', hash);
		}

		return true;
	}
}
