import type {Clock} from '../common/core/clock.js';
import type {Disposable} from '../common/core/disposable.js';

/** Shortest delay of the timer, in milliseconds. Prevents a busy loop if the deadline stays in the past. */
const minDelayMs = 1;
/** Longest delay of the timer, in milliseconds; a later deadline is reached in several steps. */
const maxDelayMs = 60_000;

/** Timer for a component whose next deadline changes. Wakes the process only near the deadline instead of at a fixed interval. */
export class DeadlineTimer implements Disposable {
	private _timer: NodeJS.Timeout | undefined;
	private _armedDeadlineMs = Infinity;
	private _isDisposed = false;

	/**
	@param _getDeadlineMs - returns the next deadline, in milliseconds on the clock; Infinity if there is none
	@param _onDeadline - called once the deadline has passed; must move the deadline into the future
	*/
	constructor(private readonly _clock: Clock, private readonly _getDeadlineMs: () => number, private readonly _onDeadline: () => void) {}

	/** Rearms the timer if the deadline has moved to an earlier time. A deadline moved to a later time needs no call: it is read again when the timer fires. */
	rearmIfEarlier(): void {
		const deadlineMs = this._getDeadlineMs();
		if (this._isDisposed || deadlineMs === Infinity || deadlineMs >= this._armedDeadlineMs) {
			return;
		}

		clearTimeout(this._timer);
		this._armedDeadlineMs = deadlineMs;
		this._timer = setTimeout(() => {
			this._fire();
		}, Math.min(maxDelayMs, Math.max(minDelayMs, Math.ceil(deadlineMs - this._clock.nowMs()))));
		this._timer.unref();
	}

	dispose(): void {
		this._isDisposed = true;
		clearTimeout(this._timer);
	}

	private _fire(): void {
		this._armedDeadlineMs = Infinity;
		if (this._getDeadlineMs() <= this._clock.nowMs()) {
			this._onDeadline();
		}

		this.rearmIfEarlier();
	}
}
