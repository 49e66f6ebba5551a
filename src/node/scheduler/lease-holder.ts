import type {Clock} from '../../common/core/clock.js';
import type {LeaseKeeper} from '../../common/scheduler/lease-keeper.js';

/** How long a lease lasts without renewal, in milliseconds; a successor starts within this time of its holder's death. */
export const leaseTtlMs = 2000;
/** A holder that could not renew for so long stops placing before the lease can go to another, in milliseconds. */
const holdMs = 1800;

/** Keeps one lease: acquires it when asked to, renews it, and gives it up before it could have expired. */
export class LeaseHolder {
	private _epoch: number | undefined;
	private _confirmedMs = 0;
	/** The same by the time of day. */
	private _confirmedWallMs = 0;
	private _isBusy = false;

	constructor(private readonly _name: string, private readonly _keeper: LeaseKeeper, private readonly _clock: Clock) {}

	/** The epoch while this process surely holds the lease. */
	get epoch(): number | undefined {
		const isHeld = this._clock.nowMs() - this._confirmedMs < holdMs && this._clock.wallMs() - this._confirmedWallMs < holdMs;
		return isHeld ? this._epoch : undefined;
	}

	/** From then on the lease is no longer surely held, unless a renewal succeeds. */
	get heldUntilMs(): number {
		return this._epoch === undefined ? -Infinity : this._confirmedMs + holdMs;
	}

	/** Renews a held lease, or tries to acquire it if `mayAcquire`. One attempt runs at a time. */
	async step(mayAcquire: boolean): Promise<void> {
		if (this._isBusy || (this._epoch === undefined && !mayAcquire)) {
			return;
		}

		this._isBusy = true;
		// The lease runs from some time after the request left, so measuring from before is safe.
		const askedMs = this._clock.nowMs();
		const askedWallMs = this._clock.wallMs();
		try {
			const epoch = await this._ask();
			this._epoch = epoch;
			if (epoch !== undefined) {
				this._confirmedMs = askedMs;
				this._confirmedWallMs = askedWallMs;
			}
		} catch {
			// No quorum answered; the lease lapses here after `holdMs` unless a later attempt succeeds.
		} finally {
			this._isBusy = false;
		}
	}

	async release(): Promise<void> {
		const epoch = this._epoch;
		this._epoch = undefined;
		if (epoch !== undefined) {
			await this._keeper.release(this._name, epoch);
		}
	}

	private async _ask(): Promise<number | undefined> {
		if (this._epoch === undefined) {
			return this._keeper.acquire(this._name, leaseTtlMs);
		}

		return await this._keeper.renew(this._name, this._epoch, leaseTtlMs) ? this._epoch : undefined;
	}
}
