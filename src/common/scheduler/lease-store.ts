/** Acquires, renews and releases leases in the replicated state machine. Every method rejects if no quorum answers in time. */
export abstract class LeaseStore {
	/** Acquires the lease for `ttlMs` milliseconds. Resolves with its epoch, or with undefined if another process holds it. Idempotent: the current holder gets its existing epoch. */
	abstract acquire(name: string, ttlMs: number): Promise<number | undefined>;
	/** Extends the lease. Resolves with whether the lease of this epoch is still held. If so, it is valid for at least `ttlMs` milliseconds from the time at which the request was sent. */
	abstract renew(name: string, epoch: number, ttlMs: number): Promise<boolean>;
	/** Releases the lease of this epoch, so that another process can acquire it at once. */
	abstract release(name: string, epoch: number): Promise<void>;
}
