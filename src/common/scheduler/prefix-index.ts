import type {CacheEventsReply} from '../upstreams/engine-api.js';

type EngineBlocks = {
	/** Hashes in order of last use, oldest first. */
	readonly hashes: Set<string>;
	/** Number of the last cache event applied; undefined before the first answer. */
	lastEvent: number | undefined;
	limit: number;
};

/**
Which prompt blocks each prefill engine is believed to hold.
Cache events arrive late and with gaps, so it is a hint for placement and never trusted for correctness.
*/
export class PrefixIndex {
	private readonly _engines = new Map<string, EngineBlocks>();

	/** `maxEntries` bounds the pairs of hash and engine. */
	constructor(private readonly _maxEntries: number) {}

	/** Sets the engines and the blocks each can hold; forgets all others. */
	setEngines(engines: ReadonlyMap<string, number>): void {
		const share = Math.floor(this._maxEntries / Math.max(1, engines.size));
		for (const name of this._engines.keys()) {
			if (!engines.has(name)) {
				this._engines.delete(name);
			}
		}

		for (const [name, blocks] of engines) {
			const known = this._engines.get(name) ?? {hashes: new Set(), lastEvent: undefined, limit: 0};
			known.limit = Math.min(blocks, share);
			this._trim(known);
			this._engines.set(name, known);
		}
	}

	get size(): number {
		let size = 0;
		for (const {hashes} of this._engines.values()) {
			size += hashes.size;
		}

		return size;
	}

	/** Number to ask the engine's next cache events after. */
	lastEvent(engine: string): number {
		return this._engines.get(engine)?.lastEvent ?? 0;
	}

	/** Leading blocks of the prefix that the engine is believed to hold. */
	leadingBlocks(engine: string, prefix: readonly string[]): number {
		const hashes = this._engines.get(engine)?.hashes;
		const firstMissing = prefix.findIndex(hash => !hashes?.has(hash));
		return firstMissing === -1 ? prefix.length : firstMissing;
	}

	/** Records that the engine computed the prefix just now. */
	store(engine: string, prefix: readonly string[]): void {
		const known = this._engines.get(engine);
		if (known) {
			this._insert(known, prefix);
		}
	}

	/** Forgets everything the engine was believed to hold. */
	invalidate(engine: string): void {
		this._engines.get(engine)?.hashes.clear();
	}

	/** Applies events asked for after `after`; returns whether some were missing. */
	apply(engine: string, after: number, reply: CacheEventsReply): boolean {
		const known = this._engines.get(engine);
		if (!known || after !== (known.lastEvent ?? 0)) {
			return false;
		}

		const hasGap = this._hasGap(known, after, reply);
		if (hasGap) {
			known.hashes.clear();
		}

		for (const {kind, hash} of reply.events) {
			if (kind === 'stored') {
				this._insert(known, [hash]);
			} else {
				known.hashes.delete(hash);
			}
		}

		known.lastEvent = reply.last;
		return hasGap;
	}

	/** Event numbers rise by one up to `last`; a lower `last` means that the engine restarted with an empty cache. */
	private _hasGap(known: EngineBlocks, after: number, {events, last}: CacheEventsReply): boolean {
		let expected = after + 1;
		for (const {n} of events) {
			if (n !== expected) {
				return known.lastEvent !== undefined || known.hashes.size > 0;
			}

			expected++;
		}

		return last !== expected - 1;
	}

	private _insert(known: EngineBlocks, hashes: readonly string[]): void {
		// Inserted last block first, so that trimming drops the tail of a prefix before its head.
		for (const hash of [...hashes].reverse()) {
			known.hashes.delete(hash);
			known.hashes.add(hash);
		}

		this._trim(known);
	}

	private _trim({hashes, limit}: EngineBlocks): void {
		for (const hash of hashes) {
			if (hashes.size <= limit) {
				return;
			}

			hashes.delete(hash);
		}
	}
}
