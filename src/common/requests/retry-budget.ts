/** Number of requests whose unused retries may accumulate. */
const maxSavedRequests = 100;

/**
Limits retries and hedged requests to a share of all requests, so that they do not add load to a failing service.
Each request adds the retry share to the balance and each retry costs 1. The balance is capped at the share of
`maxSavedRequests` requests, or at 1 if that is less. A share of 0 allows no retries.
*/
export class RetryBudget {
	private _balance: number;

	/** `initialRetries` lets the first requests after a start be retried, before any have been counted. */
	constructor(private _retryShare: number, initialRetries = 1) {
		this._balance = _retryShare > 0 ? initialRetries : 0;
	}

	setRetryShare(retryShare: number): void {
		this._retryShare = retryShare;
		this._balance = Math.min(this._balance, this._maxBalance);
	}

	/** Adds the retry share of one request; retries of the same request add nothing. */
	deposit(): void {
		this._balance = Math.min(this._balance + this._retryShare, this._maxBalance);
	}

	/** Takes one retry from the budget; returns false if less than one is left. */
	tryTake(): boolean {
		// A share such as 0.1 has no exact binary form; the tolerance lets ten of them pay for one retry.
		if (this._balance < 1 - 1e-9) {
			return false;
		}

		this._balance -= 1;
		return true;
	}

	private get _maxBalance(): number {
		return this._retryShare > 0 ? Math.max(1, this._retryShare * maxSavedRequests) : 0;
	}
}
