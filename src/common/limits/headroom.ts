/** Steps kept for each bucket; older history is coarsened. */
const stepLimit = 12;

/**
Lowest headroom of a bucket since any earlier time, in bounded memory.
A refund may raise a bucket only by what it would hold had the tokens never been taken:
refill that the full bucket turned away in the meantime would have been turned away earlier.
*/
export class HeadroomHistory {
	// Arrays of numbers, since an object for each step would take several times the memory of a bucket.
	private readonly _times: number[] = [];
	/** Rising, as the times are. */
	private readonly _headrooms: number[] = [];

	/** Notes the headroom now; must be called whenever it may have fallen. */
	note(nowMs: number, headroom: number): void {
		while (this._headrooms.length > 0 && this._headrooms.at(-1)! >= headroom) {
			this._headrooms.pop();
			this._times.pop();
		}

		this._times.push(nowMs);
		this._headrooms.push(headroom);
		if (this._times.length > stepLimit) {
			this._merge(nowMs);
		}
	}

	/**
	Takes up to `tokens` of the lowest headroom noted after `sinceMs`, none if none was, and returns how many.
	The history is lowered by as many, or a second refund would use the same headroom again.
	*/
	take(sinceMs: number, tokens: number): number {
		const first = this._times.findIndex(atMs => atMs > sinceMs);
		const taken = Math.max(0, Math.min(tokens, this._headrooms[first] ?? 0));
		if (taken === 0) {
			return 0;
		}

		for (let i = first; i < this._headrooms.length; i++) {
			this._headrooms[i]! -= taken;
		}

		const lowest = this._headrooms[first]!;
		const kept = this._headrooms.findIndex(headroom => headroom >= lowest);
		this._times.splice(kept, first - kept);
		this._headrooms.splice(kept, first - kept);
		return taken;
	}

	/** Joins the two neighbours that are closest relative to their age; the joint step may be too low, never too high. */
	private _merge(nowMs: number): void {
		let best = 0;
		let bestScore = Number.POSITIVE_INFINITY;
		for (let i = 0; i + 1 < this._times.length; i++) {
			const score = (this._times[i + 1]! - this._times[i]!) / (nowMs - this._times[i]! + 1);
			if (score < bestScore) {
				best = i;
				bestScore = score;
			}
		}

		this._times.splice(best, 1);
		this._headrooms.splice(best + 1, 1);
	}
}
