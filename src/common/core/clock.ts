/** Monotonic clock in milliseconds. Readings of two processes are never compared. */
export abstract class Clock {
	abstract nowMs(): number;
	/**
	Time of day in milliseconds. It goes on while the machine is suspended, which the monotonic clock does not count, and may
	jump: a permission that lapses must be valid by both clocks.
	*/
	abstract wallMs(): number;
}

/** A clock that tests move by hand. */
export class ManualClock extends Clock {
	private _suspendedMs = 0;

	constructor(private _nowMs = 0) {
		super();
	}

	override wallMs(): number {
		return this._nowMs + this._suspendedMs;
	}

	/** Lets time pass that the monotonic clock does not count. */
	suspend(elapsedMs: number): void {
		this._suspendedMs += elapsedMs;
	}

	override nowMs(): number {
		return this._nowMs;
	}

	advance(elapsedMs: number): void {
		this._nowMs += elapsedMs;
	}
}
