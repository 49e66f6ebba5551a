/** Factor applied to the weight of earlier samples when a new sample arrives. With 0.9, the ratio adapts to a change of speed within about 20 samples. */
const decayPerSample = 0.9;

/** Estimate used while there are few samples. It is read whenever the ratio is read, so its value may change. */
type Prior = {readonly value: number};

/** Exponentially weighted ratio of two sums, such as milliseconds per token; recent samples have the most weight. */
export class LearnedRatio {
	private _amountSum = 0;
	private _unitSum = 0;

	/** The prior has the weight of `_priorUnits` units, so its influence shrinks as samples arrive. */
	constructor(private readonly _prior: Prior, private readonly _priorUnits: number) {}

	/** Ratio of the amounts to the units of all samples, including the prior. */
	get value(): number {
		return (this._amountSum + (this._prior.value * this._priorUnits)) / (this._unitSum + this._priorUnits);
	}

	/** Adds a sample. Ignores samples whose units are not positive or whose amount is negative. */
	observe(amount: number, units: number): void {
		if (units > 0 && amount >= 0) {
			this._amountSum = (this._amountSum * decayPerSample) + amount;
			this._unitSum = (this._unitSum * decayPerSample) + units;
		}
	}
}
