import type {
	ForwardRoute, ForwardService, ForwardTenant, Forwarding,
} from '../configuration/forwarding.js';

/** A forwarding section prepared for lookups; built once for each version. */
export class RouteTable {
	private readonly _routesByHost = new Map<string, ForwardRoute[]>();
	private readonly _tenantsByKey = new Map<string, ForwardTenant>();
	private readonly _services = new Map<string, ForwardService>();

	constructor(readonly forwarding: Forwarding) {
		for (const route of forwarding.routes) {
			const host = route.host.toLowerCase();
			const routes = this._routesByHost.get(host) ?? [];
			routes.push(route);
			this._routesByHost.set(host, routes);
		}

		for (const routes of this._routesByHost.values()) {
			routes.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
		}

		for (const tenant of forwarding.tenants) {
			for (const key of tenant.keys) {
				this._tenantsByKey.set(key, tenant);
			}
		}

		for (const service of forwarding.services) {
			this._services.set(service.name, service);
		}
	}

	/** Whether requests need a key on routes that are not open. */
	get hasTenants(): boolean {
		return this.forwarding.tenants.length > 0;
	}

	/** The route with the longest prefix of the path; `host` may carry a port, `path` a query. */
	match(host: string, path: string): ForwardRoute | undefined {
		const query = path.indexOf('?');
		const pathname = query === -1 ? path : path.slice(0, query);
		const name = host.toLowerCase();
		const routes = this._routesByHost.get(name) ?? this._routesByHost.get(name.replace(/:\d+$/, ''));
		return routes?.find(({pathPrefix}) => pathname.startsWith(pathPrefix));
	}

	tenantOf(key: string): ForwardTenant | undefined {
		return this._tenantsByKey.get(key);
	}

	service(name: string): ForwardService | undefined {
		return this._services.get(name);
	}
}

/** Divides requests over the targets of a route by weight; `random` is in [0, 1). */
export function chooseTarget({targets}: ForwardRoute, random: number): string {
	let total = 0;
	for (const {weight} of targets) {
		total += weight;
	}

	let left = random * total;
	for (const {service, weight} of targets) {
		left -= weight;
		if (left < 0) {
			return service;
		}
	}

	return targets.findLast(({weight}) => weight > 0)!.service;
}
