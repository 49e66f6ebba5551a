import type {Clock} from '../common/core/clock.js';
import type {Disposable} from '../common/core/disposable.js';

/** Least time until the timer fires, in milliseconds; a deadline that has passed must not keep the process busy. */
const minDelayMs = 1;
/** Longest time until the timer looks again, in milliseconds. */
const maxDelayMs = 60_000;

/** One timer for a part whose next deadline changes: the process wakes only when something is due. */
export class DeadlineTimer implements Disposable {
	private _timer: NodeJS.Timeout | undefined;
	private _armedMs = Infinity;
	private _isDisposed = false;

	/**
	@param _dueMs - the part's next deadline on the clock, in milliseconds; Infinity for none
	@param _onDue - must move the deadline on
	*/
	constructor(private readonly _clock: Clock, private readonly _dueMs: () => number, private readonly _onDue: () => void) {}

	/** To be called after whatever may have brought the deadline forward. A later one is noticed when the timer fires. */
	update(): void {
		const dueMs = this._dueMs();
		if (this._isDisposed || dueMs === Infinity || dueMs >= this._armedMs) {
			return;
		}

		clearTimeout(this._timer);
		this._armedMs = dueMs;
		this._timer = setTimeout(() => {
			this._fire();
		}, Math.min(maxDelayMs, Math.max(minDelayMs, Math.ceil(dueMs - this._clock.nowMs()))));
		this._timer.unref();
	}

	dispose(): void {
		this._isDisposed = true;
		clearTimeout(this._timer);
	}

	private _fire(): void {
		this._armedMs = Infinity;
		if (this._dueMs() <= this._clock.nowMs()) {
			this._onDue();
		}

		this.update();
	}
}
