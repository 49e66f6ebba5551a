import type {CacheEventsReply} from '../upstreams/engine-api.js';

type CachedBlocks = {
	/** Block hashes in order of last use, least recent first. */
	readonly hashes: Set<string>;
	/** Number of the last cache event applied; undefined before the first reply. */
	lastEventNumber: number | undefined;
	/** Maximum number of hashes; beyond it, the least recently used hashes are removed. */
	maxHashes: number;
};

/**
Tracks which prompt blocks each prefill engine probably has in its KV cache.
Cache events arrive late and with gaps, so the index is only a hint for placement; correctness must not depend on it.
*/
export class PrefixIndex {
	private readonly _engines = new Map<string, CachedBlocks>();

	/** `_maxEntries` bounds the number of (engine, hash) pairs. */
	constructor(private readonly _maxEntries: number) {}

	/** Sets the engines, each with the number of blocks that it can hold. Removes the entries of all other engines. */
	setEngines(engines: ReadonlyMap<string, number>): void {
		const maxHashesPerEngine = Math.floor(this._maxEntries / Math.max(1, engines.size));
		for (const name of this._engines.keys()) {
			if (!engines.has(name)) {
				this._engines.delete(name);
			}
		}

		for (const [name, blocks] of engines) {
			const cached = this._engines.get(name) ?? {hashes: new Set(), lastEventNumber: undefined, maxHashes: 0};
			cached.maxHashes = Math.min(blocks, maxHashesPerEngine);
			this._evictOldest(cached);
			this._engines.set(name, cached);
		}
	}

	/** Number of (engine, hash) pairs. */
	get size(): number {
		let size = 0;
		for (const {hashes} of this._engines.values()) {
			size += hashes.size;
		}

		return size;
	}

	/** Returns the number of the last cache event applied for the engine, or 0 if none was. The next poll requests the events after this number. */
	lastEventNumber(engine: string): number {
		return this._engines.get(engine)?.lastEventNumber ?? 0;
	}

	/** Returns how many leading blocks of the prefix the engine probably holds. */
	leadingBlocks(engine: string, prefix: readonly string[]): number {
		const hashes = this._engines.get(engine)?.hashes;
		const firstMissing = prefix.findIndex(hash => !hashes?.has(hash));
		return firstMissing === -1 ? prefix.length : firstMissing;
	}

	/** Records that the engine has just computed the prefix and therefore holds its blocks. Ignores unknown engines. */
	recordPrefix(engine: string, prefix: readonly string[]): void {
		const cached = this._engines.get(engine);
		if (cached) {
			this._insert(cached, prefix);
		}
	}

	/** Removes all entries of the engine. */
	clearEngine(engine: string): void {
		this._engines.get(engine)?.hashes.clear();
	}

	/**
	Applies the reply to a poll for the events after number `after`. If events are missing, first removes the engine's entries.
	Ignores a reply if events have been applied since its poll was sent. Returns whether events were missing.
	*/
	applyEvents(engine: string, after: number, reply: CacheEventsReply): boolean {
		const cached = this._engines.get(engine);
		if (!cached || after !== (cached.lastEventNumber ?? 0)) {
			return false;
		}

		const hasGap = this._hasGap(cached, after, reply);
		if (hasGap) {
			cached.hashes.clear();
		}

		for (const {kind, hash} of reply.events) {
			if (kind === 'stored') {
				this._insert(cached, [hash]);
			} else {
				cached.hashes.delete(hash);
			}
		}

		cached.lastEventNumber = reply.last;
		return hasGap;
	}

	/**
	Returns whether events after number `after` are missing from the reply. Event numbers increase by one up to `last`; a `last`
	below `after` means that the engine restarted with an empty cache. A jump in the event numbers of the first reply does not
	count while the engine has no entries.
	*/
	private _hasGap(cached: CachedBlocks, after: number, {events, last}: CacheEventsReply): boolean {
		let expected = after + 1;
		for (const {n} of events) {
			if (n !== expected) {
				return cached.lastEventNumber !== undefined || cached.hashes.size > 0;
			}

			expected++;
		}

		return last !== expected - 1;
	}

	private _insert(cached: CachedBlocks, hashes: readonly string[]): void {
		// Insert the last block first, so that eviction removes the tail of a prefix before its head.
		for (const hash of [...hashes].reverse()) {
			cached.hashes.delete(hash);
			cached.hashes.add(hash);
		}

		this._evictOldest(cached);
	}

	private _evictOldest({hashes, maxHashes}: CachedBlocks): void {
		for (const hash of hashes) {
			if (hashes.size <= maxHashes) {
				return;
			}

			hashes.delete(hash);
		}
	}
}
