/** Slices of the window; finer ones would only track the bound more closely. */
const sliceCount = 10;
/** Slices for which a retry counts beyond the window: it may arrive up to a wait for memory and a prompt after it was taken. */
const lateSlices = 2;

/**
Part of the ratio that a process uses. Each counts its own last window when it takes a retry; over processes these windows cover up to
twice the time of the window that is bounded.
*/
const ratioPart = 0.5;

export type RetryWindowLimits = {
	/** Retries allowed as a share of first sends. */
	readonly ratio: number;
	/** Length of the sliding window, in milliseconds. */
	readonly windowMs: number;
	/** Retries of all processes together beyond the share, in any window. */
	readonly slack: number;
};

type Slice = {startMs: number; sends: number; retries: number};

/**
Bounds the retries to one service in any sliding window. Shares of first sends add up over processes; the slack is
divided among them.
*/
export class RetryWindow {
	private readonly _slices: Slice[] = [];

	constructor(private readonly _limits: RetryWindowLimits) {}

	/** Counts a request's first send. */
	countSend(nowMs: number): void {
		this._current(nowMs).sends++;
	}

	/** Takes what a retry costs in further arrivals, 0 to learn whether the budget is used up, if this process has as many left; `processes` share the slack. */
	takeRetry(nowMs: number, processes: number, arrivals = 1): boolean {
		const current = this._current(nowMs);
		const {ratio, slack, windowMs} = this._limits;
		let sends = 0;
		let retries = 0;
		for (const slice of this._slices) {
			sends += slice.startMs > nowMs - windowMs ? slice.sends : 0;
			retries += slice.retries;
		}

		if (retries + arrivals > (sends * ratio * ratioPart) + (slack / Math.max(1, processes))) {
			return false;
		}

		current.retries += arrivals;
		return true;
	}

	/** Counts one further arrival, whether or not one is left. */
	countArrival(nowMs: number): void {
		this._current(nowMs).retries++;
	}

	private _current(nowMs: number): Slice {
		const {windowMs} = this._limits;
		const sliceMs = windowMs / sliceCount;
		while (this._slices.length > 0 && this._slices[0]!.startMs <= nowMs - windowMs - (lateSlices * sliceMs)) {
			this._slices.shift();
		}

		const last = this._slices.at(-1);
		if (last && nowMs < last.startMs + sliceMs) {
			return last;
		}

		const slice = {startMs: nowMs, sends: 0, retries: 0};
		this._slices.push(slice);
		return slice;
	}
}
