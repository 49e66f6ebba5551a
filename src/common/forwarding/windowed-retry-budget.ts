/** Number of slices into which the window is divided. Requests are counted per slice, so more slices would only make the window's edges more exact. */
const sliceCount = 10;
/** Number of slices for which a retry still counts after the window, since the retry may reach an engine only after a wait for memory and a prefill. */
const extraRetrySlices = 2;

/**
Share of `ratio` that a process may use for its own sends. The limit holds for the retries of all processes in a window, but each process counts
its sends in the window before its own retry, and together these windows cover up to twice the length of one window.
*/
const processRatioShare = 0.5;

export type WindowedRetryBudgetLimits = {
	/** Maximum ratio of retries to first sends. */
	readonly ratio: number;
	/** Length of the sliding window, in milliseconds. */
	readonly windowMs: number;
	/** Number of retries that all processes together may send in any window in addition to the ratio. */
	readonly slack: number;
};

type Slice = {startMs: number; sends: number; retries: number};

/**
Retry budget of one service: limits retries in any sliding window to a ratio of first sends plus a fixed slack. Each process
applies the ratio to its own sends, while the slack is divided among the processes.
*/
export class WindowedRetryBudget {
	private readonly _slices: Slice[] = [];

	constructor(private readonly _limits: WindowedRetryBudgetLimits) {}

	/** Counts the first send of a request. */
	countSend(nowMs: number): void {
		this._currentSlice(nowMs).sends++;
	}

	/**
	Takes as many requests from the budget as a retry adds at the servers (`requests`). Returns false, and takes nothing, if this process has fewer left.
	With 0, takes nothing and returns whether the budget is not overdrawn. `processCount` is the number of processes that share the slack.
	*/
	takeRetry(nowMs: number, processCount: number, requests = 1): boolean {
		const current = this._currentSlice(nowMs);
		const {ratio, slack, windowMs} = this._limits;
		let sends = 0;
		let retries = 0;
		for (const slice of this._slices) {
			sends += slice.startMs > nowMs - windowMs ? slice.sends : 0;
			retries += slice.retries;
		}

		if (retries + requests > (sends * ratio * processRatioShare) + (slack / Math.max(1, processCount))) {
			return false;
		}

		current.retries += requests;
		return true;
	}

	/** Charges one request to the budget, even if the budget has none left and is overdrawn by it. */
	recordRequest(nowMs: number): void {
		this._currentSlice(nowMs).retries++;
	}

	private _currentSlice(nowMs: number): Slice {
		const {windowMs} = this._limits;
		const sliceMs = windowMs / sliceCount;
		while (this._slices.length > 0 && this._slices[0]!.startMs <= nowMs - windowMs - (extraRetrySlices * sliceMs)) {
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
