import type {
	ForwardRoute, ForwardService, ForwardCustomer, Forwarding,
} from '../configuration/forwarding.js';
import {PriorityRanks} from './priority-ranks.js';

/** Lookup tables for the forwarding section of the configuration; built once per configuration version. */
export class RouteTable {
	readonly priorityRanks: PriorityRanks;
	private readonly _routesByHost = new Map<string, ForwardRoute[]>();
	private readonly _customersByKey = new Map<string, ForwardCustomer>();
	private readonly _services = new Map<string, ForwardService>();
	private readonly _hasNamedRegions: boolean;

	constructor(readonly forwarding: Forwarding) {
		this.priorityRanks = new PriorityRanks(forwarding);
		this._hasNamedRegions = forwarding.routes.some(({allowedRegions}) => allowedRegions !== undefined);
		for (const route of forwarding.routes) {
			const host = route.host.toLowerCase();
			const routes = this._routesByHost.get(host) ?? [];
			routes.push(route);
			this._routesByHost.set(host, routes);
		}

		for (const routes of this._routesByHost.values()) {
			routes.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
		}

		for (const customer of forwarding.tenants) {
			for (const key of customer.keys) {
				this._customersByKey.set(key, customer);
			}
		}

		for (const service of forwarding.services) {
			this._services.set(service.name, service);
		}
	}

	/** Whether any customers are configured, so that requests need a key except on open routes. */
	get hasCustomers(): boolean {
		return this.forwarding.tenants.length > 0;
	}

	/** Returns the route of the host with the longest matching path prefix; `host` may include a port, and `path` a query. Undefined if no route matches. */
	match(host: string, path: string): ForwardRoute | undefined {
		const query = path.indexOf('?');
		const pathname = query === -1 ? path : path.slice(0, query);
		return this._routesOf(host).find(({pathPrefix}) => pathname.startsWith(pathPrefix));
	}

	/** Returns the regions that each route of the host names, without the routes that name none; `host` may include a port. */
	namedRegions(host: string): string[][] {
		return this._hasNamedRegions ? this._routesOf(host).flatMap(({allowedRegions}) => allowedRegions ? [allowedRegions] : []) : [];
	}

	/** Returns the customer that owns an API key; undefined for an unknown key. */
	customerForKey(key: string): ForwardCustomer | undefined {
		return this._customersByKey.get(key);
	}

	service(name: string): ForwardService | undefined {
		return this._services.get(name);
	}

	private _routesOf(host: string): readonly ForwardRoute[] {
		const name = host.toLowerCase();
		return this._routesByHost.get(name) ?? this._routesByHost.get(name.replace(/:\d+$/, '')) ?? [];
	}
}

/** Chooses the service for a request among the targets of its route, in proportion to their weights; `random` is in [0, 1). */
export function chooseTarget({targets}: ForwardRoute, random: number): string {
	let total = 0;
	for (const {weight} of targets) {
		total += weight;
	}

	let remaining = random * total;
	for (const {service, weight} of targets) {
		remaining -= weight;
		if (remaining < 0) {
			return service;
		}
	}

	return targets.findLast(({weight}) => weight > 0)!.service;
}
