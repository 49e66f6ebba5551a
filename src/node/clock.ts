import {performance} from 'node:perf_hooks';
import {Clock} from '../common/core/clock.js';

/** The process's monotonic clock. */
export class MonotonicClock extends Clock {
	override nowMs(): number {
		return performance.now();
	}

	override wallMs(): number {
		return Date.now();
	}
}
