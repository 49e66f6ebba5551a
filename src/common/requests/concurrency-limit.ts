/** Frees a concurrency slot; further calls have no effect. */
export type ReleaseSlot = () => void;

/** Called with the function that frees the granted slot, or with undefined if the waiter was displaced from the queue. */
type Waiter = (release: ReleaseSlot | undefined) => void;

/** Limits the requests that run at the same time on one service or upstream. Queued requests are admitted round robin by customer. */
export class ConcurrencyLimit {
	private _inFlight = 0;
	private _waitingCount = 0;
	/** Waiters by customer in order of arrival; the map's insertion order is the round-robin order of the customers. */
	private readonly _queues = new Map<string, Waiter[]>();

	constructor(private _limit: number) {}

	/** Number of slots in use. */
	get inFlight(): number {
		return this._inFlight;
	}

	/** Number of requests in the queue. */
	get waitingCount(): number {
		return this._waitingCount;
	}

	/** Changes the limit and admits waiters if slots are free. Running requests continue when the limit falls below their number. */
	setLimit(limit: number): void {
		this._limit = limit;
		this._admitWaiters();
	}

	/** Takes a slot without waiting; returns undefined if none is free or other requests are queued. */
	tryAcquire(): ReleaseSlot | undefined {
		if (this._inFlight >= this._limit || this._waitingCount > 0) {
			return undefined;
		}

		return this._grant();
	}

	/**
	Queues a request for a slot; `waiter` is called at most once. Returns a function that removes it from the queue, or
	undefined if the request was not queued. The queue holds at most as many requests as may run at the same time, since a
	longer queue would only delay refusals. If the queue is full, the newest request of the customer with the most queued
	requests is displaced, provided that this customer has at least two more requests queued than `tenant`.
	*/
	enqueue(customer: string, waiter: Waiter): (() => void) | undefined {
		if (this._waitingCount >= this._limit && !this._displaceWaiter(this._queues.get(customer)?.length ?? 0)) {
			return undefined;
		}

		const queue = this._queues.get(customer) ?? [];
		queue.push(waiter);
		this._queues.set(customer, queue);
		this._waitingCount++;
		return () => {
			this._removeWaiter(customer, waiter);
		};
	}

	private _grant(): ReleaseSlot {
		this._inFlight++;
		let isReleased = false;
		return () => {
			if (!isReleased) {
				isReleased = true;
				this._inFlight--;
				this._admitWaiters();
			}
		};
	}

	/** Displaces the newest waiter of the longest queue if that queue has at least two waiters more than `ownQueueLength`; returns whether a waiter was displaced. */
	private _displaceWaiter(ownQueueLength: number): boolean {
		let longest: {tenant: string; queue: Waiter[]} | undefined;
		for (const [customer, queue] of this._queues) {
			if (queue.length > (longest?.queue.length ?? ownQueueLength + 1)) {
				longest = {tenant: customer, queue};
			}
		}

		const waiter = longest?.queue.at(-1);
		if (!longest || !waiter) {
			return false;
		}

		this._removeWaiter(longest.tenant, waiter);
		waiter(undefined);
		return true;
	}

	private _admitWaiters(): void {
		while (this._waitingCount > 0 && this._inFlight < this._limit) {
			const [customer, queue] = this._queues.entries().next().value!;
			const waiter = queue.shift()!;
			this._waitingCount--;
			// Deleting and reinserting the customer moves it to the end of the round-robin order.
			this._queues.delete(customer);
			if (queue.length > 0) {
				this._queues.set(customer, queue);
			}

			waiter(this._grant());
		}
	}

	private _removeWaiter(customer: string, waiter: Waiter): void {
		const queue = this._queues.get(customer);
		const index = queue?.indexOf(waiter) ?? -1;
		if (!queue || index < 0) {
			return;
		}

		queue.splice(index, 1);
		this._waitingCount--;
		if (queue.length === 0) {
			this._queues.delete(customer);
		}
	}
}
