import {overtakeFactor} from './types.js';
import type {CustomerLimit} from './types.js';

type WaitingRequest = {readonly tokens: number; readonly deadlineMs: number};

/** Reference model for tests: a single token bucket that all requests reach without delay. A request waits if the bucket can cover it before its deadline, and is refused otherwise. */
export class CentralBucket {
	admittedTokens = 0;
	private _level: number;
	private readonly _queue: WaitingRequest[] = [];

	constructor(private readonly _limit: CustomerLimit, private _updatedMs: number) {
		this._level = _limit.burst;
	}

	request(tokens: number, maxWaitMs: number, nowMs: number): void {
		this.advanceTo(nowMs);
		const position = this._queue.findIndex(waiting => tokens * overtakeFactor <= waiting.tokens);
		const index = position === -1 ? this._queue.length : position;
		const tokensAhead = this._queue.slice(0, index).reduce((total, waiting) => total + waiting.tokens, 0);
		if (this._waitMs(tokensAhead + tokens) <= maxWaitMs) {
			this._queue.splice(index, 0, {tokens, deadlineMs: nowMs + maxWaitMs});
			this.advanceTo(nowMs);
		}
	}

	/** Refills the bucket up to `nowMs` and serves waiting requests in order as soon as it covers them; drops requests whose deadline passes before that. */
	advanceTo(nowMs: number): void {
		for (let first = this._queue[0]; first; first = this._queue[0]) {
			const coveredMs = this._updatedMs + this._waitMs(first.tokens);
			if (coveredMs > nowMs && first.deadlineMs > nowMs) {
				break;
			}

			this._queue.shift();
			if (coveredMs <= first.deadlineMs) {
				this._refill(coveredMs);
				this._level -= first.tokens;
				this.admittedTokens += first.tokens;
			}
		}

		this._refill(nowMs);
	}

	private _waitMs(tokens: number): number {
		return Math.max(0, (tokens - this._level) / this._limit.rate * 1000);
	}

	private _refill(nowMs: number): void {
		const {rate, burst} = this._limit;
		this._level = Math.min(burst, this._level + (rate * Math.max(0, nowMs - this._updatedMs) / 1000));
		this._updatedMs = Math.max(this._updatedMs, nowMs);
	}
}
