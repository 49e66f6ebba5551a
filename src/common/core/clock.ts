/** Monotonic clock and wall clock of this process. Monotonic times of different processes are not comparable. */
export abstract class Clock {
	/** Returns the monotonic time in milliseconds. */
	abstract nowMs(): number;
	/**
	Returns the wall-clock time in milliseconds. Unlike the monotonic clock, the wall clock advances while the machine is suspended,
	but it may also jump. Therefore a lease, or a view that must be fresh, counts as valid only while it has expired on neither clock.
	*/
	abstract wallTimeMs(): number;
}

/** Clock for tests: both of its times advance only when a test calls `advance` or `suspend`. */
export class ManualClock extends Clock {
	private _suspendedMs = 0;

	constructor(private _nowMs = 0) {
		super();
	}

	override wallTimeMs(): number {
		return this._nowMs + this._suspendedMs;
	}

	/** Simulates a suspension of the machine: advances the wall clock but not the monotonic clock. */
	suspend(elapsedMs: number): void {
		this._suspendedMs += elapsedMs;
	}

	override nowMs(): number {
		return this._nowMs;
	}

	/** Advances both clocks. */
	advance(elapsedMs: number): void {
		this._nowMs += elapsedMs;
	}
}
