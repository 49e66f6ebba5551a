import type {Clock} from '../../common/core/clock.js';
import type {LeaseStore} from '../../common/scheduler/lease-store.js';

/** Lifetime of a lease without renewal, in milliseconds. The lease of a dead holder expires after at most this time, so that a successor can acquire it. */
export const leaseTtlMs = 2000;
/** Time after the last confirmed request at which the holder treats the lease as expired, in milliseconds. Shorter than `leaseTtlMs`, so that the holder stops before another process can acquire the lease. */
const localExpiryMs = 1800;

/** Acquires and renews one lease, and stops treating the lease as held before it can expire. */
export class LeaseHolder {
	/** Epoch of the last confirmed lease, even if it has expired since; undefined without a lease. */
	private _epoch: number | undefined;
	/** Monotonic time at which the last successful acquisition or renewal was requested, in milliseconds. */
	private _confirmedAtMs = 0;
	/** Wall-clock time at which that acquisition or renewal was requested, in milliseconds. Needed because the monotonic clock may stand still while the machine is suspended. */
	private _confirmedAtWallMs = 0;
	private _isAttempting = false;

	constructor(private readonly _name: string, private readonly _store: LeaseStore, private readonly _clock: Clock) {}

	/** Epoch of the lease while this process certainly holds it; undefined otherwise. */
	get epoch(): number | undefined {
		const isHeld = this._clock.nowMs() - this._confirmedAtMs < localExpiryMs && this._clock.wallTimeMs() - this._confirmedAtWallMs < localExpiryMs;
		return isHeld ? this._epoch : undefined;
	}

	/** Monotonic time until which the lease is certainly held unless it is renewed, in milliseconds; `-Infinity` without a lease. */
	get heldUntilMs(): number {
		return this._epoch === undefined ? -Infinity : this._confirmedAtMs + localExpiryMs;
	}

	/** Renews the lease if it is held; otherwise tries to acquire it if `mayAcquire` is true. Does nothing while another attempt is in progress. */
	async renewOrAcquire(mayAcquire: boolean): Promise<void> {
		if (this._isAttempting || (this._epoch === undefined && !mayAcquire)) {
			return;
		}

		this._isAttempting = true;
		// The lease starts after the request was sent, so measuring from before the request is safe.
		const sentMs = this._clock.nowMs();
		const sentWallMs = this._clock.wallTimeMs();
		try {
			const epoch = await this._acquireOrRenew();
			this._epoch = epoch;
			if (epoch !== undefined) {
				this._confirmedAtMs = sentMs;
				this._confirmedAtWallMs = sentWallMs;
			}
		} catch {
			// No quorum answered. The lease expires locally after `localExpiryMs` unless a later attempt succeeds.
		} finally {
			this._isAttempting = false;
		}
	}

	/** Stops treating the lease as held, then releases it. Does nothing without a lease. */
	async release(): Promise<void> {
		const epoch = this._epoch;
		this._epoch = undefined;
		if (epoch !== undefined) {
			await this._store.release(this._name, epoch);
		}
	}

	private async _acquireOrRenew(): Promise<number | undefined> {
		if (this._epoch === undefined) {
			return this._store.acquire(this._name, leaseTtlMs);
		}

		return await this._store.renew(this._name, this._epoch, leaseTtlMs) ? this._epoch : undefined;
	}
}
