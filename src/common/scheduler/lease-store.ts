/** Acquires, renews and releases leases in the replicated state machine. Every method rejects if no quorum answers in time. */
export abstract class LeaseStore {
	/** Resolves with the epoch of the lease, or with undefined if another process holds it. Idempotent: the current holder gets its existing epoch. */
	abstract acquire(name: string, ttlMs: number): Promise<number | undefined>;
	/** Resolves with whether the lease of this epoch is still held. If so, it is now valid for `ttlMs` from the time at which the request was sent. */
	abstract renew(name: string, epoch: number, ttlMs: number): Promise<boolean>;
	abstract release(name: string, epoch: number): Promise<void>;
}
