/** Number of consecutive failures after which a healthy engine is ejected. */
const consecutiveFailuresToEject = 3;
/** Duration of the first ejection, in milliseconds; it doubles with each consecutive ejection. */
const initialEjectionMs = 1000;
/** Maximum duration of an ejection, in milliseconds. */
const maxEjectionMs = 30_000;

/** A healthy engine gets requests, and an ejected engine gets none. After an ejection, a probing engine gets one request at a time as a test. */
export type HealthState = 'healthy' | 'ejected' | 'probing';

/** Ejects an engine after consecutive failures and readmits it when a probe request succeeds. */
export class EngineHealth {
	/** Number of consecutive failures. */
	private _failures = 0;
	/** Number of consecutive ejections. */
	private _ejections = 0;
	/** Time at which the ejection ends and probing starts, in milliseconds; undefined while the engine is healthy. */
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

	/** Records a successful request. Returns whether this success readmits the engine; a success during an ejection does not readmit it. */
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
