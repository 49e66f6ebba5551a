import type {ReplyToken, VmIdentity} from '../core/types.js';
import type {PlaceRequest} from '../services/scheduler-client.js';

/** A request that waits for engines. */
export type QueuedRequest = {
	readonly req: PlaceRequest;
	readonly owner: VmIdentity;
	readonly token: ReplyToken;
	readonly arrivedMs: number;
	/** Shortest time from the placement to the first token, in milliseconds. */
	readonly serviceMs: number;
};

type TenantQueue = {
	weight: number;
	/** Weighted tokens served, on the scale of the queue's virtual time. */
	virtualTime: number;
	/** Waiting requests by priority, each in order of arrival. */
	readonly bands: Map<number, QueuedRequest[]>;
	length: number;
};

type Candidate = {readonly item: QueuedRequest; readonly tenant: TenantQueue; readonly band: number};

/** Requests ahead of another one, and the prompt tokens they need computed. */
export type WorkAhead = {readonly requests: number; readonly promptTokens: number};

/** Band of promoted requests, ahead of every priority. */
const promotedBand = -1;

function isOld({req, arrivedMs}: QueuedRequest, nowMs: number): boolean {
	return nowMs - arrivedMs >= req.maxWaitMs / 2;
}

/** Tokens that a request occupies the pool for. */
export function costOf({promptTokens, maxTokens}: PlaceRequest): number {
	return promptTokens + maxTokens;
}

/**
Start-time fair queue: within a priority band the tenant that was served the least for its weight goes first.
A request that waited half of its bound moves ahead of all bands, but only while its tenant is not ahead of its fair share;
otherwise the backlog of a tenant above its rate would overtake everyone by waiting.
*/
export class FairQueue {
	private readonly _tenants = new Map<string, TenantQueue>();
	private _virtualTime = 0;
	private _length = 0;

	get length(): number {
		return this._length;
	}

	/** Tenants with state; those neither waiting nor ahead of virtual time are dropped by `compact`. */
	get tenantCount(): number {
		return this._tenants.size;
	}

	push(item: QueuedRequest, weight: number): void {
		const tenant = this._tenant(item.req.tenant);
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

	/** The request to place next. */
	peek(nowMs: number): QueuedRequest | undefined {
		const fairShare = this._fairShare();
		let best: Candidate | undefined;
		for (const tenant of this._tenants.values()) {
			for (const [priority, [item]] of tenant.bands) {
				const isPromoted = tenant.virtualTime <= fairShare && isOld(item!, nowMs);
				const candidate = {item: item!, tenant, band: isPromoted ? promotedBand : priority};
				best = best && !this._isBefore(candidate, best) ? best : candidate;
			}
		}

		return best?.item;
	}

	/** Removes a request that got its engines and charges its tenant. */
	take(item: QueuedRequest): void {
		const tenant = this._tenant(item.req.tenant);
		this.remove(item);
		this._virtualTime = Math.max(this._virtualTime, tenant.virtualTime);
		tenant.virtualTime += costOf(item.req) / tenant.weight;
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

	/** Returns the part of a charge that was not used. */
	refund(tenantName: string, tokens: number): void {
		const tenant = this._tenants.get(tenantName);
		if (tenant) {
			tenant.virtualTime -= tokens / tenant.weight;
		}
	}

	/**
	What would be served before one more request of the tenant: earlier bands, and from each tenant as many as its turn comes round.
	Leaves out requests with a higher shed order than `maxShedOrder`.
	*/
	ahead({tenant: tenantName, priority}: Pick<PlaceRequest, 'tenant' | 'priority'>, maxShedOrder = Infinity): WorkAhead {
		const turns = this._tenants.get(tenantName)?.bands.get(priority)?.length ?? 0;
		let requests = 0;
		let promptTokens = 0;
		for (const [name, tenant] of this._tenants) {
			for (const [band, items] of tenant.bands) {
				const isEarlier = band < priority || (band === priority && name === tenantName);
				const count = isEarlier ? items.length : (band === priority ? turns + 1 : 0);
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

	/** The request to shed first: highest shed order, then the tenant served most for its weight, then the latest arrival. */
	leastValuable(): QueuedRequest | undefined {
		let worst: Candidate | undefined;
		for (const tenant of this._tenants.values()) {
			for (const items of tenant.bands.values()) {
				const candidate = {item: items.at(-1)!, tenant, band: 0};
				worst = worst && !this._isLessValuable(candidate, worst) ? worst : candidate;
			}
		}

		return worst?.item;
	}

	/** All waiting requests, as a list that removals do not change. */
	waiting(): QueuedRequest[] {
		return [...this._tenants.values()].flatMap(({bands}) => [...bands.values()].flat());
	}

	/** Forgets tenants whose state equals that of an unknown tenant; when nobody waits, there is nothing to be fair about and all start anew. */
	compact(): void {
		for (const [name, tenant] of this._tenants) {
			if (this._length === 0 || (tenant.length === 0 && tenant.virtualTime <= this._virtualTime)) {
				this._tenants.delete(name);
			}
		}
	}

	private _tenant(name: string): TenantQueue {
		let tenant = this._tenants.get(name);
		if (!tenant) {
			tenant = {
				weight: 1, virtualTime: this._virtualTime, bands: new Map(), length: 0,
			};
			this._tenants.set(name, tenant);
		}

		return tenant;
	}

	/** Virtual time up to which a tenant is not ahead of its fair share: that of the waiting tenant served least, or of the last one served. */
	private _fairShare(): number {
		let least = Infinity;
		for (const {length, virtualTime} of this._tenants.values()) {
			least = length > 0 ? Math.min(least, virtualTime) : least;
		}

		return Math.max(least, this._virtualTime);
	}

	private _isBefore(a: Candidate, b: Candidate): boolean {
		if (a.band !== b.band) {
			return a.band < b.band;
		}

		if (a.tenant.virtualTime !== b.tenant.virtualTime) {
			return a.tenant.virtualTime < b.tenant.virtualTime;
		}

		return a.item.arrivedMs < b.item.arrivedMs;
	}

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
