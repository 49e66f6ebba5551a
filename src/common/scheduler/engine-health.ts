/** Consecutive failures after which an engine is ejected. */
const consecutiveFailuresToEject = 3;
/** Duration of the first ejection, in milliseconds; it doubles with each consecutive ejection. */
const initialEjectionMs = 1000;
const maxEjectionMs = 30_000;

/** A healthy engine gets requests, an ejected one gets none, and a probing one gets one request at a time to test it after an ejection. */
export type HealthState = 'healthy' | 'ejected' | 'probing';

/** Ejects an engine after consecutive failures and readmits it when a probe request succeeds. */
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

	/** Records a failed request. Returns whether this failure ejects the engine. */
	recordFailure(nowMs: number): boolean {
		this._failures++;
		const state = this.state(nowMs);
		if (state === 'ejected' || (state === 'healthy' && this._failures < consecutiveFailuresToEject)) {
			return false;
		}

		this._ejectedUntilMs = nowMs + Math.min(maxEjectionMs, initialEjectionMs * (2 ** this._ejections));
		this._ejections++;
		return true;
	}

	/** Records a successful request. Returns whether this success readmits the engine; a success during an ejection does not. */
	recordSuccess(nowMs: number): boolean {
		this._failures = 0;
		if (this.state(nowMs) !== 'probing') {
			return false;
		}

		this._ejectedUntilMs = undefined;
		this._ejections = 0;
		return true;
	}
}
