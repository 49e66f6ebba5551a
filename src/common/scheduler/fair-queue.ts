import type {ReplyToken, VmIdentity} from '../core/types.js';
import type {PlacementRequest} from '../services/scheduler-client.js';

/** A request that waits for its placement. */
export type QueuedRequest = {
	readonly req: PlacementRequest;
	readonly owner: VmIdentity;
	readonly token: ReplyToken;
	/** Time at which the request entered the queue, in milliseconds. */
	readonly arrivedMs: number;
	/** Estimated minimum time from the placement to the first output token, in milliseconds. */
	readonly serviceMs: number;
};

type CustomerQueue = {
	weight: number;
	/** Prompt and output tokens served, divided by the weight, on the scale of the queue's virtual time. */
	virtualTime: number;
	/** Queued requests by priority, each list in order of arrival. */
	readonly bands: Map<number, QueuedRequest[]>;
	/** Number of queued requests in all bands. */
	length: number;
};

type Candidate = {readonly item: QueuedRequest; readonly customer: CustomerQueue; readonly band: number};

/** Number of queued requests that would be served before a given request, and the sum of their prompt tokens. */
export type WorkAhead = {readonly requests: number; readonly promptTokens: number};

/** Priority band of promoted requests. It is served before the bands of all priorities. */
const promotedBand = -1;

function isDueForPromotion({req, arrivedMs}: QueuedRequest, nowMs: number): boolean {
	return nowMs - arrivedMs >= req.maxWaitMs / 2;
}

/** Returns the number of tokens charged to the customer for a request: the prompt tokens and the maximum output tokens of the request. */
export function tokenCost({promptTokens, maxTokens}: PlacementRequest): number {
	return promptTokens + maxTokens;
}

/**
Start-time fair queue: within a priority band, the customer with the least service relative to its weight is served first.
A request that has waited half of its maximum wait is promoted ahead of all bands, but only while its customer is within its fair share.
Without this condition, the backlog of a customer that exceeds its share would overtake all other customers just by waiting.
*/
export class FairQueue {
	private readonly _customers = new Map<string, CustomerQueue>();
	/** Highest virtual time at which a dequeued request was served. */
	private _virtualTime = 0;
	private _length = 0;

	get length(): number {
		return this._length;
	}

	/** Number of customers with state, including customers without queued requests that `removeIdleCustomers` has not removed. */
	get customerCount(): number {
		return this._customers.size;
	}

	/** Adds a request and sets the weight of its customer. A customer without queued requests starts no earlier than at the queue's virtual time, so that it has no credit from its idle time. */
	push(item: QueuedRequest, weight: number): void {
		const customer = this._getOrCreateCustomer(item.req.tenant);
		customer.weight = weight;
		if (customer.length === 0) {
			customer.virtualTime = Math.max(customer.virtualTime, this._virtualTime);
		}

		const band = customer.bands.get(item.req.priority) ?? [];
		band.push(item);
		customer.bands.set(item.req.priority, band);
		customer.length++;
		this._length++;
	}

	/** Returns the request to place next without removing it, or undefined if the queue is empty. */
	peek(nowMs: number): QueuedRequest | undefined {
		const fairVirtualTime = this._fairVirtualTime();
		let best: Candidate | undefined;
		for (const customer of this._customers.values()) {
			for (const [priority, [item]] of customer.bands) {
				const isPromoted = customer.virtualTime <= fairVirtualTime && isDueForPromotion(item!, nowMs);
				const candidate = {item: item!, customer, band: isPromoted ? promotedBand : priority};
				best = best && !this._isBefore(candidate, best) ? best : candidate;
			}
		}

		return best?.item;
	}

	/** Removes a request that was placed, and charges its cost to its customer. */
	dequeue(item: QueuedRequest): void {
		const customer = this._getOrCreateCustomer(item.req.tenant);
		this.remove(item);
		this._virtualTime = Math.max(this._virtualTime, customer.virtualTime);
		customer.virtualTime += tokenCost(item.req) / customer.weight;
	}

	/** Removes a request without charging its customer. */
	remove(item: QueuedRequest): void {
		const customer = this._customers.get(item.req.tenant);
		const band = customer?.bands.get(item.req.priority);
		const index = band?.indexOf(item) ?? -1;
		if (!customer || !band || index < 0) {
			return;
		}

		band.splice(index, 1);
		customer.length--;
		this._length--;
		if (band.length === 0) {
			customer.bands.delete(item.req.priority);
		}
	}

	/** Credits tokens that were charged to the customer but not used. Does nothing if the customer has no state. */
	refund(customerName: string, tokens: number): void {
		const customer = this._customers.get(customerName);
		if (customer) {
			customer.virtualTime -= tokens / customer.weight;
		}
	}

	/**
	Estimates the work that would be served before one more request of the customer with this priority. The work consists of all
	earlier bands, the customer's own requests in the band, and of every other customer as many requests in the band as the customer
	would have with the new request. Does not count requests whose shed order is above `maxShedOrder`; by default, counts all.
	*/
	workAhead({tenant: customerName, priority}: Pick<PlacementRequest, 'tenant' | 'priority'>, maxShedOrder = Infinity): WorkAhead {
		const ownTurns = this._customers.get(customerName)?.bands.get(priority)?.length ?? 0;
		let requests = 0;
		let promptTokens = 0;
		for (const [name, customer] of this._customers) {
			for (const [band, items] of customer.bands) {
				const isEarlier = band < priority || (band === priority && name === customerName);
				const count = isEarlier ? items.length : (band === priority ? ownTurns + 1 : 0);
				for (const {req} of items.slice(0, count)) {
					if (req.shedOrder <= maxShedOrder) {
						requests++;
						promptTokens += req.promptTokens;
					}
				}
			}
		}

		return {requests, promptTokens};
	}

	/** Returns the request to shed first, or undefined if the queue is empty: the highest shed order, then the customer with the most service relative to its weight, then the latest arrival. */
	peekLeastValuable(): QueuedRequest | undefined {
		let worst: Candidate | undefined;
		for (const customer of this._customers.values()) {
			for (const items of customer.bands.values()) {
				const candidate = {item: items.at(-1)!, customer, band: 0};
				worst = worst && !this._isLessValuable(candidate, worst) ? worst : candidate;
			}
		}

		return worst?.item;
	}

	/** Returns a copy of the list of queued requests, so that requests can be removed while iterating over it. */
	queuedRequests(): QueuedRequest[] {
		return [...this._customers.values()].flatMap(({bands}) => [...bands.values()].flat());
	}

	/** Removes the state of idle customers that virtual time has passed, since a new customer would get the same state. Removes all customers if the queue is empty, since no customer then competes with another. */
	removeIdleCustomers(): void {
		for (const [name, customer] of this._customers) {
			if (this._length === 0 || (customer.length === 0 && customer.virtualTime <= this._virtualTime)) {
				this._customers.delete(name);
			}
		}
	}

	private _getOrCreateCustomer(name: string): CustomerQueue {
		let customer = this._customers.get(name);
		if (!customer) {
			customer = {
				weight: 1, virtualTime: this._virtualTime, bands: new Map(), length: 0,
			};
			this._customers.set(name, customer);
		}

		return customer;
	}

	/** Returns the virtual time up to which a customer is within its fair share: the virtual time of the least-served customer with queued requests, but at least the queue's virtual time. */
	private _fairVirtualTime(): number {
		let least = Infinity;
		for (const {length, virtualTime} of this._customers.values()) {
			least = length > 0 ? Math.min(least, virtualTime) : least;
		}

		return Math.max(least, this._virtualTime);
	}

	/** Returns whether `a` is served before `b`. */
	private _isBefore(a: Candidate, b: Candidate): boolean {
		if (a.band !== b.band) {
			return a.band < b.band;
		}

		if (a.customer.virtualTime !== b.customer.virtualTime) {
			return a.customer.virtualTime < b.customer.virtualTime;
		}

		return a.item.arrivedMs < b.item.arrivedMs;
	}

	/** Returns whether `a` is shed before `b`. */
	private _isLessValuable(a: Candidate, b: Candidate): boolean {
		if (a.item.req.shedOrder !== b.item.req.shedOrder) {
			return a.item.req.shedOrder > b.item.req.shedOrder;
		}

		if (a.customer.virtualTime !== b.customer.virtualTime) {
			return a.customer.virtualTime > b.customer.virtualTime;
		}

		return a.item.arrivedMs > b.item.arrivedMs;
	}
}
