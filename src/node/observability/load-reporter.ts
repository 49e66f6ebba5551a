import {performance} from 'node:perf_hooks';
import type {Disposable} from '../../common/core/disposable.js';

/** Interval between two reports, in milliseconds. A shorter interval would have little use, because gossip spreads a change of load at most once every 5 s. */
const reportIntervalMs = 2000;

/** Periodically reports the share of time, in percent, that the event loop of this process was busy since the previous report. */
export class LoadReporter implements Disposable {
	private readonly _timer: NodeJS.Timeout;
	private _lastUtilization = performance.eventLoopUtilization();

	constructor(private readonly _onReport: (percent: number) => void) {
		this._timer = setInterval(() => {
			this.reportNow();
		}, reportIntervalMs);
		this._timer.unref();
	}

	/** Reports the load of the period since the previous report at once. */
	reportNow(): void {
		const now = performance.eventLoopUtilization();
		const {utilization} = performance.eventLoopUtilization(now, this._lastUtilization);
		this._lastUtilization = now;
		this._onReport(Math.round(utilization * 100));
	}

	dispose(): void {
		clearInterval(this._timer);
	}
}
