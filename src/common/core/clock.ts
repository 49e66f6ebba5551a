/** Monotonic clock in milliseconds. Readings of two processes are never compared. */
export abstract class Clock {
	abstract nowMs(): number;
}

/** A clock that tests move by hand. */
export class ManualClock extends Clock {
	constructor(private _nowMs = 0) {
		super();
	}

	override nowMs(): number {
		return this._nowMs;
	}

	advance(elapsedMs: number): void {
		this._nowMs += elapsedMs;
	}
}
