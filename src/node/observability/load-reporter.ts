import {performance} from 'node:perf_hooks';
import type {Disposable} from '../../common/core/disposable.js';

/** Interval between two readings, in milliseconds; gossip spreads a change of load every 5 s at most. */
const readEveryMs = 2000;

/** Tells the share of time, in percent, that this process's event loop was busy since the last reading. */
export class LoadReporter implements Disposable {
	private readonly _timer: NodeJS.Timeout;
	private _last = performance.eventLoopUtilization();

	constructor(private readonly _report: (percent: number) => void) {
		this._timer = setInterval(() => {
			this.read();
		}, readEveryMs);
		this._timer.unref();
	}

	/** Reads and reports at once. */
	read(): void {
		const now = performance.eventLoopUtilization();
		const {utilization} = performance.eventLoopUtilization(now, this._last);
		this._last = now;
		this._report(Math.round(utilization * 100));
	}

	dispose(): void {
		clearInterval(this._timer);
	}
}
