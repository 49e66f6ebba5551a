/** What memory is held for: a request and its head, a body that a caller sends, an answer that a caller has not yet read, or an operator's configuration. */
export type HolderKind = 'request' | 'body' | 'answer' | 'configuration';

/** One holder of memory. */
export type Holder = {
	readonly kind: HolderKind;
	/** Customer whose share of the memory the bytes count against; undefined if they count against no share. */
	readonly owner: string | undefined;
	readonly bytes: number;
	/** Time at which the peer last sent or took data, in milliseconds. */
	readonly movedAtMs: number;
	/** Whether the holder may be closed to make room: an unended body, its request, or an unread answer. */
	readonly isClosable: boolean;
};

export type MemoryLimits = {
	/** Memory of all holders together, in bytes. */
	readonly totalBytes: number;
	/** Largest fraction (0 to 1) of `totalBytes` that one owner may occupy. */
	readonly maxOwnerShare: number;
	/** Memory of all holders of the kind `request`, in bytes; bounded by `totalBytes` only if absent. It is in the heap, other than most of the rest. */
	readonly maxRequestBytes?: number;
};

/** Whether memory is granted, and the holders that must be closed for it. */
export type RoomDecision = {
	readonly outcome: 'granted' | 'refused';
	/** Which limit was reached; undefined if none was. */
	readonly limit?: 'owner' | 'requests' | 'process';
	readonly victims: readonly Holder[];
};

/** Time without data after which a peer counts as stalled, in milliseconds. */
const stallMs = 1000;

type MutableHolder = {-readonly [K in keyof Holder]: Holder[K]};

/**
Accounts for the memory that callers make a process hold, in total and per owner, and decides what goes when it is used up: work that would
need more is refused, unless peers have stalled; then the one that has stalled longest is closed.
*/
export class MemoryBudget {
	private readonly _holders = new Set<MutableHolder>();
	private readonly _bytesByOwner = new Map<string, number>();
	private _usedBytes = 0;
	private _requestBytes = 0;

	constructor(private _limits: MemoryLimits) {}

	/** Memory of all holders, in bytes. */
	get usedBytes(): number {
		return this._usedBytes;
	}

	get totalBytes(): number {
		return this._limits.totalBytes;
	}

	/** Raises the limits, if necessary, so that one owner may hold `bytes`. */
	ensureShare(bytes: number): void {
		this._limits = {...this._limits, totalBytes: Math.max(this._limits.totalBytes, bytes / this._limits.maxOwnerShare)};
	}

	/** Adds a holder of 0 bytes. */
	open(kind: HolderKind, owner: string | undefined, nowMs: number): Holder {
		const holder: MutableHolder = {
			kind, owner, bytes: 0, movedAtMs: nowMs, isClosable: false,
		};
		this._holders.add(holder);
		return holder;
	}

	/** Makes the holder hold `bytes` if there is room without closing others, or if it holds no less already; else changes nothing. */
	resize(holder: Holder, bytes: number, nowMs: number): RoomDecision {
		const decision = bytes <= holder.bytes ? granted : this._decide(holder, bytes - holder.bytes, nowMs);
		if (decision.outcome === 'granted' && this._holders.has(holder)) {
			for (const victim of decision.victims) {
				this.release(victim);
			}

			this._setBytes(holder, bytes);
		}

		return decision;
	}

	/** Records that the holder's peer has sent or taken data, and whether the holder may be closed from now on. */
	recordMove(holder: Holder, isClosable: boolean, nowMs: number): void {
		const mutable = holder as MutableHolder;
		mutable.movedAtMs = nowMs;
		mutable.isClosable = isClosable;
	}

	/** Removes a holder and frees its memory; later calls have no effect. */
	release(holder: Holder): void {
		if (this._holders.has(holder)) {
			this._setBytes(holder, 0);
			this._holders.delete(holder);
		}
	}

	private _setBytes(holder: Holder, bytes: number): void {
		const growth = bytes - holder.bytes;
		(holder as MutableHolder).bytes = bytes;
		this._usedBytes += growth;
		this._requestBytes += holder.kind === 'request' ? growth : 0;
		if (holder.owner !== undefined) {
			const ownerBytes = this._bytesOf(holder.owner) + growth;
			if (ownerBytes > 0) {
				this._bytesByOwner.set(holder.owner, ownerBytes);
			} else {
				this._bytesByOwner.delete(holder.owner);
			}
		}
	}

	private _bytesOf(owner: string): number {
		return this._bytesByOwner.get(owner) ?? 0;
	}

	private _decide(holder: Holder, growth: number, nowMs: number): RoomDecision {
		const {totalBytes, maxOwnerShare, maxRequestBytes = totalBytes} = this._limits;
		if (holder.kind === 'request' && this._requestBytes + growth > maxRequestBytes) {
			const stalled = this._closableFor(holder, nowMs).filter(({kind}) => kind === 'request');
			const victims = takeUntil(stalled, Math.max(this._requestBytes + growth - maxRequestBytes, this._usedBytes + growth - totalBytes));
			return victims ? {outcome: 'granted', limit: 'requests', victims} : {outcome: 'refused', limit: 'requests', victims: []};
		}

		const excessOfOwner = holder.owner === undefined ? 0 : this._bytesOf(holder.owner) + growth - (totalBytes * maxOwnerShare);
		const excess = this._usedBytes + growth - totalBytes;
		if (excessOfOwner <= 0 && excess <= 0) {
			return granted;
		}

		const limit = excessOfOwner > 0 ? 'owner' : 'process';
		const closable = this._closableFor(holder, nowMs);
		const own = takeUntil(closable.filter(({owner}) => owner === holder.owner), excessOfOwner);
		const rest = closable.filter(candidate => !own?.includes(candidate));
		const others = own && takeUntil(rest, excess - sumOfBytes(own));
		return own && others ? {outcome: 'granted', limit, victims: [...own, ...others]} : {outcome: 'refused', limit, victims: []};
	}

	/**
	Returns the holders that may be closed to make room for `holder`: those of the owner that holds most first, of an owner those that moved
	longest ago first. An answer has cost a server's work, so unread answers need not have stalled to make room for another one.
	*/
	private _closableFor(holder: Holder, nowMs: number): Holder[] {
		const isCandidate = (candidate: Holder) => candidate.isClosable && candidate !== holder && candidate.bytes > 0
			&& (nowMs - candidate.movedAtMs >= stallMs || (holder.kind === 'answer' && candidate.kind === 'answer'));
		const heldByOwner = ({owner}: Holder) => owner === undefined ? 0 : this._bytesOf(owner);
		return [...this._holders].filter(candidate => isCandidate(candidate)).sort((a, b) => heldByOwner(b) - heldByOwner(a) || a.movedAtMs - b.movedAtMs);
	}
}

const granted: RoomDecision = {outcome: 'granted', victims: []};

function sumOfBytes(holders: readonly Holder[]): number {
	return holders.reduce((sum, {bytes}) => sum + bytes, 0);
}

/** Returns the first holders that together hold at least `bytes`; undefined if all of them hold less. */
function takeUntil(holders: readonly Holder[], bytes: number): readonly Holder[] | undefined {
	let left = bytes;
	const taken: Holder[] = [];
	for (const holder of holders) {
		if (left <= 0) {
			break;
		}

		taken.push(holder);
		left -= holder.bytes;
	}

	return left <= 0 ? taken : undefined;
}
