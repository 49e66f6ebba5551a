import {passingFactor} from './types.js';
import type {TenantLimit} from './types.js';

type Waiting = {readonly tokens: number; readonly deadlineMs: number};

/** One bucket that every request reaches at once and in which it waits as long as it may; tests compare the product with it. */
export class CentralBucket {
	/** Tokens let through. */
	letThrough = 0;
	private _level: number;
	private readonly _queue: Waiting[] = [];

	constructor(private readonly _limit: TenantLimit, private _updatedMs: number) {
		this._level = _limit.burst;
	}

	ask(tokens: number, maxWaitMs: number, nowMs: number): void {
		this.advance(nowMs);
		const position = this._queue.findIndex(waiting => tokens * passingFactor <= waiting.tokens);
		const index = position === -1 ? this._queue.length : position;
		const ahead = this._queue.slice(0, index).reduce((total, waiting) => total + waiting.tokens, 0);
		if (this._waitMs(ahead + tokens) <= maxWaitMs) {
			this._queue.splice(index, 0, {tokens, deadlineMs: nowMs + maxWaitMs});
			this.advance(nowMs);
		}
	}

	/** Serves those that wait, in their order, up to a time. */
	advance(nowMs: number): void {
		for (let first = this._queue[0]; first; first = this._queue[0]) {
			const coveredMs = this._updatedMs + this._waitMs(first.tokens);
			if (coveredMs > nowMs && first.deadlineMs > nowMs) {
				break;
			}

			this._queue.shift();
			if (coveredMs <= first.deadlineMs) {
				this._refill(coveredMs);
				this._level -= first.tokens;
				this.letThrough += first.tokens;
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
