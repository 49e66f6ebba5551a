/** Gives up a place; giving it up twice is harmless. */
export type Release = () => void;

/** Gets a place, or undefined when it has to make room in the queue. */
type Waiter = (release: Release | undefined) => void;

/** Bounds the requests that run at once under one name. Waiting requests of different tenants take turns. */
export class ConcurrencyLimit {
	private _inFlight = 0;
	private _waiting = 0;
	/** Tenants in the order of their turns, each with its waiters in the order of arrival. */
	private readonly _queues = new Map<string, Waiter[]>();

	constructor(private _limit: number) {}

	get inFlight(): number {
		return this._inFlight;
	}

	get waiting(): number {
		return this._waiting;
	}

	/** A lower limit ends nothing that runs. */
	setLimit(limit: number): void {
		this._limit = limit;
		this._admit();
	}

	/** Takes a place at once, or returns undefined when none is free or others wait. */
	acquire(): Release | undefined {
		if (this._inFlight >= this._limit || this._waiting > 0) {
			return undefined;
		}

		return this._take();
	}

	/**
	Waits for a place; `waiter` is called at most once. Returns a function that ends the waiting, or undefined when the
	queue is full. As many requests may wait as may run at once, since a longer queue would only delay refusals; a tenant
	with fewer of them displaces the latest of the tenant with most.
	*/
	enqueue(tenant: string, waiter: Waiter): (() => void) | undefined {
		if (this._waiting >= this._limit && !this._displace(this._queues.get(tenant)?.length ?? 0)) {
			return undefined;
		}

		const queue = this._queues.get(tenant) ?? [];
		queue.push(waiter);
		this._queues.set(tenant, queue);
		this._waiting++;
		return () => {
			this._remove(tenant, waiter);
		};
	}

	private _take(): Release {
		this._inFlight++;
		let isReleased = false;
		return () => {
			if (!isReleased) {
				isReleased = true;
				this._inFlight--;
				this._admit();
			}
		};
	}

	/** Refuses the latest waiter of the longest queue, if that stays longer than `ownLength`. */
	private _displace(ownLength: number): boolean {
		let longest: {tenant: string; queue: Waiter[]} | undefined;
		for (const [tenant, queue] of this._queues) {
			if (queue.length > (longest?.queue.length ?? ownLength + 1)) {
				longest = {tenant, queue};
			}
		}

		const waiter = longest?.queue.at(-1);
		if (!longest || !waiter) {
			return false;
		}

		this._remove(longest.tenant, waiter);
		waiter(undefined);
		return true;
	}

	private _admit(): void {
		while (this._waiting > 0 && this._inFlight < this._limit) {
			const [tenant, queue] = this._queues.entries().next().value!;
			const waiter = queue.shift()!;
			this._waiting--;
			// The tenant goes to the end of the turns.
			this._queues.delete(tenant);
			if (queue.length > 0) {
				this._queues.set(tenant, queue);
			}

			waiter(this._take());
		}
	}

	private _remove(tenant: string, waiter: Waiter): void {
		const queue = this._queues.get(tenant);
		const position = queue?.indexOf(waiter) ?? -1;
		if (!queue || position < 0) {
			return;
		}

		queue.splice(position, 1);
		this._waiting--;
		if (queue.length === 0) {
			this._queues.delete(tenant);
		}
	}
}
