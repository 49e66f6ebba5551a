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

type TenantQueue = {
	weight: number;
	/** Prompt and output tokens served, divided by the weight, on the scale of the queue's virtual time. */
	virtualTime: number;
	/** Queued requests by priority, each list in order of arrival. */
	readonly bands: Map<number, QueuedRequest[]>;
	/** Number of queued requests in all bands. */
	length: number;
};

type Candidate = {readonly item: QueuedRequest; readonly tenant: TenantQueue; readonly band: number};

/** Number of queued requests that would be served before a given request, and the sum of their prompt tokens. */
export type WorkAhead = {readonly requests: number; readonly promptTokens: number};

/** Priority band of promoted requests. It is served before the bands of all priorities. */
const promotedBand = -1;

function isDueForPromotion({req, arrivedMs}: QueuedRequest, nowMs: number): boolean {
	return nowMs - arrivedMs >= req.maxWaitMs / 2;
}

/** Returns the number of tokens charged to the tenant for a request: the prompt tokens and the maximum output tokens of the request. */
export function tokenCost({promptTokens, maxTokens}: PlacementRequest): number {
	return promptTokens + maxTokens;
}

/**
Start-time fair queue: within a priority band, the tenant with the least service relative to its weight is served first.
A request that has waited half of its maximum wait is promoted ahead of all bands, but only while its tenant is within its fair share.
Without this condition, the backlog of a tenant that exceeds its share would overtake all other tenants just by waiting.
*/
export class FairQueue {
	private readonly _tenants = new Map<string, TenantQueue>();
	/** Highest virtual time at which a dequeued request was served. */
	private _virtualTime = 0;
	private _length = 0;

	get length(): number {
		return this._length;
	}

	/** Number of tenants with state, including tenants without queued requests that `removeIdleTenants` has not removed. */
	get tenantCount(): number {
		return this._tenants.size;
	}

	/** Adds a request and sets the weight of its tenant. A tenant without queued requests starts no earlier than at the queue's virtual time, so that it has no credit from its idle time. */
	push(item: QueuedRequest, weight: number): void {
		const tenant = this._getOrCreateTenant(item.req.tenant);
		tenant.weight = weight;
		if (tenant.length === 0) {
			tenant.virtualTime = Math.max(tenant.virtualTime, this._virtualTime);
		}

		const band = tenant.bands.get(item.req.priority) ?? [];
		band.push(item);
		tenant.bands.set(item.req.priority, band);
		tenant.length++;
		this._length++;
	}

	/** Returns the request to place next without removing it, or undefined if the queue is empty. */
	peek(nowMs: number): QueuedRequest | undefined {
		const fairVirtualTime = this._fairVirtualTime();
		let best: Candidate | undefined;
		for (const tenant of this._tenants.values()) {
			for (const [priority, [item]] of tenant.bands) {
				const isPromoted = tenant.virtualTime <= fairVirtualTime && isDueForPromotion(item!, nowMs);
				const candidate = {item: item!, tenant, band: isPromoted ? promotedBand : priority};
				best = best && !this._isBefore(candidate, best) ? best : candidate;
			}
		}

		return best?.item;
	}

	/** Removes a request that was placed, and charges its cost to its tenant. */
	dequeue(item: QueuedRequest): void {
		const tenant = this._getOrCreateTenant(item.req.tenant);
		this.remove(item);
		this._virtualTime = Math.max(this._virtualTime, tenant.virtualTime);
		tenant.virtualTime += tokenCost(item.req) / tenant.weight;
	}

	/** Removes a request without charging its tenant. */
	remove(item: QueuedRequest): void {
		const tenant = this._tenants.get(item.req.tenant);
		const band = tenant?.bands.get(item.req.priority);
		const index = band?.indexOf(item) ?? -1;
		if (!tenant || !band || index < 0) {
			return;
		}

		band.splice(index, 1);
		tenant.length--;
		this._length--;
		if (band.length === 0) {
			tenant.bands.delete(item.req.priority);
		}
	}

	/** Credits tokens that were charged to the tenant but not used. Does nothing if the tenant has no state. */
	refund(tenantName: string, tokens: number): void {
		const tenant = this._tenants.get(tenantName);
		if (tenant) {
			tenant.virtualTime -= tokens / tenant.weight;
		}
	}

	/**
	Estimates the work that would be served before one more request of the tenant with this priority. The work consists of all
	earlier bands, the tenant's own requests in the band, and of every other tenant as many requests in the band as the tenant
	would have with the new request. Does not count requests whose shed order is above `maxShedOrder`; by default, counts all.
	*/
	workAhead({tenant: tenantName, priority}: Pick<PlacementRequest, 'tenant' | 'priority'>, maxShedOrder = Infinity): WorkAhead {
		const ownTurns = this._tenants.get(tenantName)?.bands.get(priority)?.length ?? 0;
		let requests = 0;
		let promptTokens = 0;
		for (const [name, tenant] of this._tenants) {
			for (const [band, items] of tenant.bands) {
				const isEarlier = band < priority || (band === priority && name === tenantName);
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

	/** Returns the request to shed first, or undefined if the queue is empty: the highest shed order, then the tenant with the most service relative to its weight, then the latest arrival. */
	peekLeastValuable(): QueuedRequest | undefined {
		let worst: Candidate | undefined;
		for (const tenant of this._tenants.values()) {
			for (const items of tenant.bands.values()) {
				const candidate = {item: items.at(-1)!, tenant, band: 0};
				worst = worst && !this._isLessValuable(candidate, worst) ? worst : candidate;
			}
		}

		return worst?.item;
	}

	/** Returns a copy of the list of queued requests, so that requests can be removed while iterating over it. */
	queuedRequests(): QueuedRequest[] {
		return [...this._tenants.values()].flatMap(({bands}) => [...bands.values()].flat());
	}

	/** Removes the state of idle tenants that virtual time has passed, since a new tenant would get the same state. Removes all tenants if the queue is empty, since no tenant then competes with another. */
	removeIdleTenants(): void {
		for (const [name, tenant] of this._tenants) {
			if (this._length === 0 || (tenant.length === 0 && tenant.virtualTime <= this._virtualTime)) {
				this._tenants.delete(name);
			}
		}
	}

	private _getOrCreateTenant(name: string): TenantQueue {
		let tenant = this._tenants.get(name);
		if (!tenant) {
			tenant = {
				weight: 1, virtualTime: this._virtualTime, bands: new Map(), length: 0,
			};
			this._tenants.set(name, tenant);
		}

		return tenant;
	}

	/** Returns the virtual time up to which a tenant is within its fair share: the virtual time of the least-served tenant with queued requests, but at least the queue's virtual time. */
	private _fairVirtualTime(): number {
		let least = Infinity;
		for (const {length, virtualTime} of this._tenants.values()) {
			least = length > 0 ? Math.min(least, virtualTime) : least;
		}

		return Math.max(least, this._virtualTime);
	}

	/** Returns whether `a` is served before `b`. */
	private _isBefore(a: Candidate, b: Candidate): boolean {
		if (a.band !== b.band) {
			return a.band < b.band;
		}

		if (a.tenant.virtualTime !== b.tenant.virtualTime) {
			return a.tenant.virtualTime < b.tenant.virtualTime;
		}

		return a.item.arrivedMs < b.item.arrivedMs;
	}

	/** Returns whether `a` is shed before `b`. */
	private _isLessValuable(a: Candidate, b: Candidate): boolean {
		if (a.item.req.shedOrder !== b.item.req.shedOrder) {
			return a.item.req.shedOrder > b.item.req.shedOrder;
		}

		if (a.tenant.virtualTime !== b.tenant.virtualTime) {
			return a.tenant.virtualTime > b.tenant.virtualTime;
		}

		return a.item.arrivedMs > b.item.arrivedMs;
	}
}
