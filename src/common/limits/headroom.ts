/** Maximum number of steps (a time and a headroom) kept per bucket; if there are more, the two closest steps are merged. */
const maxSteps = 12;

/**
History of a bucket's headroom, in bounded memory, from which the lowest headroom since an earlier time is read.
The headroom is the part of the burst, in tokens, that is neither available nor granted.
The lowest headroom since tokens were spent limits their refund: if more tokens than that had stayed in the bucket, it would have been full
and would have discarded refill in place of the excess.
*/
export class HeadroomHistory {
	// Parallel arrays of numbers, since an object per step would take several times the memory of a bucket.
	private readonly _timesMs: number[] = [];
	/** Headrooms in tokens, in ascending order: `_headrooms[i]` is the lowest headroom from `_timesMs[i]` on, less what refunds have consumed. */
	private readonly _headrooms: number[] = [];

	/** Records the current headroom, in tokens. Must be called whenever the headroom may have fallen. */
	record(nowMs: number, headroom: number): void {
		while (this._headrooms.length > 0 && this._headrooms.at(-1)! >= headroom) {
			this._headrooms.pop();
			this._timesMs.pop();
		}

		this._timesMs.push(nowMs);
		this._headrooms.push(headroom);
		if (this._timesMs.length > maxSteps) {
			this._mergeClosestSteps(nowMs);
		}
	}

	/**
	Consumes up to `tokens` of the lowest headroom recorded after `sinceMs`, and returns how many tokens were consumed; 0 if no headroom was recorded after `sinceMs`.
	The consumed tokens are subtracted from the recorded headrooms, since otherwise a second refund could use the same headroom again.
	*/
	consume(sinceMs: number, tokens: number): number {
		const first = this._timesMs.findIndex(atMs => atMs > sinceMs);
		const taken = Math.max(0, Math.min(tokens, this._headrooms[first] ?? 0));
		if (taken === 0) {
			return 0;
		}

		for (let i = first; i < this._headrooms.length; i++) {
			this._headrooms[i]! -= taken;
		}

		const lowest = this._headrooms[first]!;
		const kept = this._headrooms.findIndex(headroom => headroom >= lowest);
		this._timesMs.splice(kept, first - kept);
		this._headrooms.splice(kept, first - kept);
		return taken;
	}

	/** Merges the two neighbouring steps that are closest relative to their age. The merged step has the lower headroom of the two, so a refund may become too small but never too large. */
	private _mergeClosestSteps(nowMs: number): void {
		let best = 0;
		let bestScore = Number.POSITIVE_INFINITY;
		for (let i = 0; i + 1 < this._timesMs.length; i++) {
			const score = (this._timesMs[i + 1]! - this._timesMs[i]!) / (nowMs - this._timesMs[i]! + 1);
			if (score < bestScore) {
				best = i;
				bestScore = score;
			}
		}

		this._timesMs.splice(best, 1);
		this._headrooms.splice(best + 1, 1);
	}
}
