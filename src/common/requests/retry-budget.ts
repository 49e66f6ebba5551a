/** Requests whose retries may be saved up. */
const windowRequests = 100;

/**
Lets retries and hedges be at most a share of requests, so that a failing service is not loaded further by them.
Each request earns `share`, each retry costs 1, and at most the earnings of 100 requests are kept.
*/
export class RetryBudget {
	private _balance: number;

	/** Starts with `initial` retries, so that the first requests after a start can be retried. */
	constructor(private _share: number, initial = 1) {
		this._balance = _share > 0 ? initial : 0;
	}

	setShare(share: number): void {
		this._share = share;
		this._balance = Math.min(this._balance, this._limit);
	}

	/** Counts a request that was sent for the first time. */
	earn(): void {
		this._balance = Math.min(this._balance + this._share, this._limit);
	}

	/** Takes one retry if the budget has one. */
	take(): boolean {
		// Shares such as 0.1 are not exact in binary; ten of them are to pay for one retry.
		if (this._balance < 1 - 1e-9) {
			return false;
		}

		this._balance -= 1;
		return true;
	}

	private get _limit(): number {
		return this._share > 0 ? Math.max(1, this._share * windowRequests) : 0;
	}
}
