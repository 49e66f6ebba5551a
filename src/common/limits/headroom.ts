/** Maximum number of steps kept per bucket; beyond it, the closest ones are merged. */
const maxSteps = 12;

/**
Headroom of a bucket over time, in bounded memory; gives the lowest headroom since any earlier time.
The headroom is the part of the burst that is neither available nor granted.
A refund may raise a bucket only to the level that it would have if the tokens had never been taken:
refill that the full bucket discarded in the meantime would have been discarded earlier.
*/
export class HeadroomHistory {
	// Parallel arrays of numbers, since an object per step would take several times the memory of a bucket.
	private readonly _timesMs: number[] = [];
	/** In ascending order, like the times. */
	private readonly _headrooms: number[] = [];

	/** Records the current headroom. Must be called whenever it may have fallen. */
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
	Consumes up to `tokens` of the lowest headroom recorded after `sinceMs` and returns how many; 0 if none was recorded since.
	The history is lowered by this number, or a second refund would use the same headroom again.
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

	/** Merges the two neighbouring steps that are closest relative to their age. The merged step may be too low, never too high. */
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
