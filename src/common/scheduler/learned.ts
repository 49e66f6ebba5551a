/** Weight that older samples keep when one more arrives; 0.9 forgets a change of speed after some 20 samples. */
const decay = 0.9;

/** What estimates start from while there are few samples. */
type Prior = {readonly value: number};

/** Running ratio of two sums, such as milliseconds per token, with recent samples weighing most. */
export class LearnedRatio {
	private _amount = 0;
	private _units = 0;

	/** The prior counts as `priorUnits` units, so it fades as samples arrive. */
	constructor(private readonly _prior: Prior, private readonly _priorUnits: number) {}

	get value(): number {
		return (this._amount + (this._prior.value * this._priorUnits)) / (this._units + this._priorUnits);
	}

	/** Ignores samples without units or with a negative amount. */
	observe(amount: number, units: number): void {
		if (units > 0 && amount >= 0) {
			this._amount = (this._amount * decay) + amount;
			this._units = (this._units * decay) + units;
		}
	}
}
