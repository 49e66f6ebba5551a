import {performance} from 'node:perf_hooks';
import {Clock} from '../common/core/clock.js';

/** Clock backed by `performance.now()` and, for the time of day, `Date.now()`. */
export class SystemClock extends Clock {
	override nowMs(): number {
		return performance.now();
	}

	override wallTimeMs(): number {
		return Date.now();
	}
}
