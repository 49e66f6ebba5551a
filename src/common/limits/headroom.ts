/** Steps kept for each bucket; older history is coarsened. */
const stepLimit = 12;

type Step = {atMs: number; headroom: number};

/**
Lowest headroom of a bucket since any earlier time, in bounded memory.
A refund may raise a bucket only by what it would hold had the tokens never been taken:
refill that the full bucket turned away in the meantime would have been turned away earlier.
*/
export class HeadroomHistory {
	/** Rising in both time and headroom. */
	private readonly _steps: Step[] = [];

	/** Notes the headroom now; must be called whenever it may have fallen. */
	note(nowMs: number, headroom: number): void {
		const steps = this._steps;
		while (steps.length > 0 && steps.at(-1)!.headroom >= headroom) {
			steps.pop();
		}

		steps.push({atMs: nowMs, headroom});
		if (steps.length > stepLimit) {
			this._merge(nowMs);
		}
	}

	/** Lowest headroom noted at or after `sinceMs`; 0 if none was. */
	lowestSince(sinceMs: number): number {
		return this._steps.find(step => step.atMs >= sinceMs)?.headroom ?? 0;
	}

	/** Joins the two neighbours that are closest relative to their age; the joint step may be too low, never too high. */
	private _merge(nowMs: number): void {
		const steps = this._steps;
		let best = 0;
		let bestScore = Number.POSITIVE_INFINITY;
		for (let i = 0; i + 1 < steps.length; i++) {
			const score = (steps[i + 1]!.atMs - steps[i]!.atMs) / (nowMs - steps[i]!.atMs + 1);
			if (score < bestScore) {
				best = i;
				bestScore = score;
			}
		}

		steps[best]!.atMs = steps[best + 1]!.atMs;
		steps.splice(best + 1, 1);
	}
}
