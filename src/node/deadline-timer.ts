import type {Clock} from '../common/core/clock.js';
import type {Disposable} from '../common/core/disposable.js';

/** Shortest delay that the timer is armed with, in milliseconds. Prevents a busy loop if the deadline stays in the past. */
const minDelayMs = 1;
/** Longest delay that the timer is armed with, in milliseconds. For a deadline further in the future, the timer is armed several times in a row. */
const maxDelayMs = 60_000;

/** Timer for a component whose next deadline may change at any time. Wakes the process when the deadline is reached instead of at a fixed interval. */
export class DeadlineTimer implements Disposable {
	private _timer: NodeJS.Timeout | undefined;
	/** Deadline that the timer is armed for, in milliseconds on the clock; Infinity if the timer is not armed. */
	private _armedDeadlineMs = Infinity;
	private _isDisposed = false;

	/**
	@param _getDeadlineMs - returns the next deadline, in milliseconds on the clock; Infinity if there is none
	@param _onDeadline - called once the deadline has passed; must move the deadline into the future
	*/
	constructor(private readonly _clock: Clock, private readonly _getDeadlineMs: () => number, private readonly _onDeadline: () => void) {}

	/** Arms the timer for the current deadline, unless it is armed for the same or an earlier one. After the deadline has moved to a later time no call is needed: the timer reads the deadline again when it fires. */
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
