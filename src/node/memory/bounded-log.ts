import type {Clock} from '../../common/core/clock.js';
import type {Logger} from '../../common/core/log.js';

/** Length of the interval in which the number of lines is bounded, in milliseconds. */
const intervalMs = 1000;
/** Number of lines in an interval. */
const maxLines = 10;

/** Logs decisions that a crowd can provoke as often as it likes: at most `maxLines` in `intervalMs`; the next line tells how many were left out. */
export class BoundedLog {
	private _intervalStartMs = Number.NEGATIVE_INFINITY;
	private _lines = 0;
	private _omitted = 0;

	constructor(private readonly _logger: Logger, private readonly _clock: Clock) {}

	log(message: string, fields: Readonly<Record<string, unknown>>): void {
		const nowMs = this._clock.nowMs();
		if (nowMs - this._intervalStartMs >= intervalMs) {
			this._intervalStartMs = nowMs;
			this._lines = 0;
		}

		if (this._lines >= maxLines) {
			this._omitted++;
			return;
		}

		this._lines++;
		this._logger.log('warn', message, {...fields, ...(this._omitted > 0 && {omitted: this._omitted})});
		this._omitted = 0;
	}
}
