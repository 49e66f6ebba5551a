/** Consecutive failures after which an upstream is ejected. */
export const consecutiveFailuresToEject = 3;
/** Delay before the first probe of an ejected upstream, in milliseconds. It doubles with each failed probe, up to `maxProbeDelayMs`. */
export const minProbeDelayMs = 500;
/** Longest delay between two probes of an ejected upstream, in milliseconds. */
export const maxProbeDelayMs = 8000;

/**
Ejects an upstream after consecutive failures and readmits it after one successful probe. Only failed probes lengthen
an ejection, so that requests that fail on every server cannot keep healthy servers ejected for long.
The state dump prints the private fields by name.
*/
export class OutlierEjection {
	private _failures = 0;
	private _delayMs = minProbeDelayMs;
	private _probeAtMs: number | undefined;

	get isEjected(): boolean {
		return this._probeAtMs !== undefined;
	}

	/** Whether the upstream is ejected and its next probe is due. */
	isProbeDue(nowMs: number): boolean {
		return this._probeAtMs !== undefined && nowMs >= this._probeAtMs;
	}

	/** Records a successful request, which resets the number of consecutive failures. */
	recordSuccess(): void {
		this._failures = 0;
	}

	/** Records a failed request; returns whether this failure ejected the upstream. */
	recordFailure(nowMs: number): boolean {
		this._failures++;
		if (this.isEjected || this._failures < consecutiveFailuresToEject) {
			return false;
		}

		this._delayMs = minProbeDelayMs;
		this._probeAtMs = nowMs + this._delayMs;
		return true;
	}

	/** Ejects the upstream at once, for example because it is unreachable; returns false if it was already ejected. */
	eject(nowMs: number): boolean {
		if (this.isEjected) {
			return false;
		}

		this._failures = consecutiveFailuresToEject;
		this._delayMs = minProbeDelayMs;
		this._probeAtMs = nowMs + this._delayMs;
		return true;
	}

	/** Time of the next probe, in milliseconds of the clock; undefined while the upstream is not ejected. */
	get probeAtMs(): number | undefined {
		return this._probeAtMs;
	}

	/** Records the result of a probe; returns whether it readmitted the upstream. */
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
