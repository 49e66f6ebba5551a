/** Number of requests whose unused retry shares the balance can hold. */
const maxSavedRequests = 100;

/**
Limits retries and hedged requests to a share of all requests, so that they do not add load to a failing service.
Each request adds the retry share to the balance and each retry costs 1. The balance is capped at the retry share times
`maxSavedRequests`, but the cap is at least 1. A share of 0 allows no retries.
*/
export class RetryBudget {
	private _balance: number;

	/** `initialRetries` is the initial balance: the number of retries allowed before any request has been counted. */
	constructor(private _retryShare: number, initialRetries = 1) {
		this._balance = _retryShare > 0 ? initialRetries : 0;
	}

	setRetryShare(retryShare: number): void {
		this._retryShare = retryShare;
		this._balance = Math.min(this._balance, this._maxBalance);
	}

	/** Adds the retry share of one request to the balance. Retries of the request add nothing. */
	deposit(): void {
		this._balance = Math.min(this._balance + this._retryShare, this._maxBalance);
	}

	/** Takes one retry from the balance and returns true; returns false if the balance is below 1. */
	tryTake(): boolean {
		// A share such as 0.1 has no exact binary form, so ten of them may add up to slightly less than 1; the tolerance
		// still accepts that sum as one retry.
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
