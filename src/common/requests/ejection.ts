/** Failures in a row after which an upstream gets no requests. */
export const failuresToEject = 3;
/** Shortest ejection, in milliseconds; it doubles with each ejection that follows a short readmission. */
export const minEjectionMs = 500;
/** Longest ejection, in milliseconds. */
export const maxEjectionMs = 10_000;
/** Successes in a row after which earlier ejections are forgotten. */
const successesToForgive = 20;

/** Ejects an upstream that fails several times in a row and readmits it after a successful probe. */
export class OutlierEjection {
	private _failures = 0;
	private _successes = 0;
	private _ejections = 0;
	private _ejectedUntilMs: number | undefined;

	get isEjected(): boolean {
		return this._ejectedUntilMs !== undefined;
	}

	/** Whether an ejected upstream is to be probed now. */
	isProbeDue(nowMs: number): boolean {
		return this._ejectedUntilMs !== undefined && nowMs >= this._ejectedUntilMs;
	}

	/** Counts a request that the upstream answered. */
	recordSuccess(): void {
		this._failures = 0;
		this._successes++;
		if (this._successes >= successesToForgive) {
			this._ejections = 0;
		}
	}

	/** Counts a failed request; returns whether it ejected the upstream. */
	recordFailure(nowMs: number): boolean {
		this._failures++;
		this._successes = 0;
		if (this.isEjected || this._failures < failuresToEject) {
			return false;
		}

		this._eject(nowMs);
		return true;
	}

	/** Takes the result of a probe; returns whether the upstream was readmitted. */
	recordProbe(isHealthy: boolean, nowMs: number): boolean {
		if (!this.isEjected) {
			return false;
		}

		if (!isHealthy) {
			this._eject(nowMs);
			return false;
		}

		this._ejectedUntilMs = undefined;
		this._failures = 0;
		return true;
	}

	private _eject(nowMs: number): void {
		const durationMs = Math.min(minEjectionMs * (2 ** this._ejections), maxEjectionMs);
		this._ejections = Math.min(this._ejections + 1, 16);
		this._ejectedUntilMs = nowMs + durationMs;
	}
}
