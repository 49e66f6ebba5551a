/** Failures in a row that eject an engine. */
const failuresToEject = 3;
/** First time that an ejected engine gets no requests, in milliseconds; doubles with each ejection in a row. */
const firstEjectionMs = 1000;
const longestEjectionMs = 30_000;

/** Whether an engine gets requests: all, none, or one at a time as a probe after an ejection. */
export type HealthState = 'healthy' | 'ejected' | 'probing';

/** Ejects an engine after failures in a row and readmits it when a probe succeeds. */
export class EngineHealth {
	private _failures = 0;
	private _ejections = 0;
	private _ejectedUntilMs: number | undefined;

	state(nowMs: number): HealthState {
		if (this._ejectedUntilMs === undefined) {
			return 'healthy';
		}

		return nowMs < this._ejectedUntilMs ? 'ejected' : 'probing';
	}

	/** Returns whether this failure ejects the engine. */
	failed(nowMs: number): boolean {
		this._failures++;
		const state = this.state(nowMs);
		if (state === 'ejected' || (state === 'healthy' && this._failures < failuresToEject)) {
			return false;
		}

		this._ejectedUntilMs = nowMs + Math.min(longestEjectionMs, firstEjectionMs * (2 ** this._ejections));
		this._ejections++;
		return true;
	}

	/** Returns whether this success readmits the engine. A late success of an ejected engine does not. */
	succeeded(nowMs: number): boolean {
		this._failures = 0;
		if (this.state(nowMs) !== 'probing') {
			return false;
		}

		this._ejectedUntilMs = undefined;
		this._ejections = 0;
		return true;
	}
}
