/** Failures in a row after which an upstream gets no requests. */
export const failuresToEject = 3;
/** Time until the first probe of an ejected upstream, in milliseconds; it doubles with each failed probe. */
export const minProbeDelayMs = 500;
export const maxProbeDelayMs = 8000;

/**
Ejects an upstream that fails several times in a row and readmits it after one successful probe. Only failed probes
lengthen an ejection: requests that fail on every server cannot keep working servers out for long.
*/
export class OutlierEjection {
	private _failures = 0;
	private _delayMs = minProbeDelayMs;
	private _probeAtMs: number | undefined;

	get isEjected(): boolean {
		return this._probeAtMs !== undefined;
	}

	/** Whether an ejected upstream is to be probed now. */
	isProbeDue(nowMs: number): boolean {
		return this._probeAtMs !== undefined && nowMs >= this._probeAtMs;
	}

	/** Counts a request that the upstream answered. */
	recordSuccess(): void {
		this._failures = 0;
	}

	/** Counts a failed request; returns whether it ejected the upstream. */
	recordFailure(nowMs: number): boolean {
		this._failures++;
		if (this.isEjected || this._failures < failuresToEject) {
			return false;
		}

		this._delayMs = minProbeDelayMs;
		this._probeAtMs = nowMs + this._delayMs;
		return true;
	}

	/** Ejects an upstream that cannot be reached, without waiting for further failures. */
	eject(nowMs: number): boolean {
		if (this.isEjected) {
			return false;
		}

		this._failures = failuresToEject;
		this._delayMs = minProbeDelayMs;
		this._probeAtMs = nowMs + this._delayMs;
		return true;
	}

	/** When the upstream is to be probed; undefined while it is not ejected. */
	get probeAtMs(): number | undefined {
		return this._probeAtMs;
	}

	/** Takes the result of a probe; returns whether the upstream was readmitted. */
	recordProbe(isHealthy: boolean, nowMs: number): boolean {
		if (!this.isEjected) {
			return false;
		}

		if (!isHealthy) {
			this._delayMs = Math.min(this._delayMs * 2, maxProbeDelayMs);
			this._probeAtMs = nowMs + this._delayMs;
			return false;
		}

		this._probeAtMs = undefined;
		this._failures = 0;
		return true;
	}
}
