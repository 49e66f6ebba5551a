/** Duration of a window in which the time per event is measured, in milliseconds; long enough to hold several events, and short enough to show a slow spell. */
const windowMs = 100;

/** Measures how long an engine takes per event of a stream, from the arrival of its events. */
export class StreamPace {
	private _startedMs: number | undefined;
	private _startedAtEvent = 0;

	/** Records the number of events so far. Returns the time per event in milliseconds at the end of a window; undefined within it. */
	record(eventCount: number, nowMs: number): number | undefined {
		const durationMs = this._startedMs === undefined ? Infinity : nowMs - this._startedMs;
		if (durationMs < windowMs) {
			return undefined;
		}

		const events = eventCount - this._startedAtEvent;
		const msPerEvent = this._startedMs !== undefined && events > 0 ? durationMs / events : undefined;
		this._startedMs = nowMs;
		this._startedAtEvent = eventCount;
		return msPerEvent;
	}
}
