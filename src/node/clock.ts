import {performance} from 'node:perf_hooks';
import {Clock} from '../common/core/clock.js';

/** Clock of the machine: the monotonic time is that of `performance.now()`, the wall-clock time that of `Date.now()`. */
export class SystemClock extends Clock {
	override nowMs(): number {
		return performance.now();
	}

	override wallTimeMs(): number {
		return Date.now();
	}
}
