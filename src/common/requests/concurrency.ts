/** Bounds the requests that run at once under one name; there is no queue behind it. */
export class ConcurrencyLimit {
	private _inFlight = 0;

	constructor(private _limit: number) {}

	get inFlight(): number {
		return this._inFlight;
	}

	/** A lower limit ends nothing that runs. */
	setLimit(limit: number): void {
		this._limit = limit;
	}

	/** Returns a function that releases the place, or undefined when all places are taken. Releasing twice is harmless. */
	acquire(): (() => void) | undefined {
		if (this._inFlight >= this._limit) {
			return undefined;
		}

		this._inFlight++;
		let isReleased = false;
		return () => {
			if (!isReleased) {
				isReleased = true;
				this._inFlight--;
			}
		};
	}
}
