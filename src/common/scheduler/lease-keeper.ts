/** Acquires and keeps leases of the replicated state machine. Every method rejects when no quorum answers in time. */
export abstract class LeaseKeeper {
	/** Resolves with the new epoch, or undefined while another process holds the lease. A holder that asks again keeps its epoch. */
	abstract acquire(name: string, ttlMs: number): Promise<number | undefined>;
	/** Resolves with whether the lease of this epoch still stands and now lasts `ttlMs` from when the request was sent. */
	abstract renew(name: string, epoch: number, ttlMs: number): Promise<boolean>;
	abstract release(name: string, epoch: number): Promise<void>;
}
