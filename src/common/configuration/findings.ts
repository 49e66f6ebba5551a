/** Findings about a valid forwarding section: entries without effect, limits that contradict each other, and requests that can only be refused. */
import {commonRegions} from '../forwarding/allowed-regions.js';
import type {
	ForwardCustomer, ForwardRoute, ForwardService, Forwarding,
} from './forwarding.js';
import type {SharedConfiguration} from './shared.js';

/** `error`: some requests can only be refused, or an entry replaces another silently. `warning`: an entry has no effect, or limits contradict each other. `note`: unusual. */
export type Severity = 'error' | 'warning' | 'note';

export type FindingCode =
	| 'duplicate-name' | 'never-matches' | 'host-with-port' | 'unused-target' | 'repeated-target' | 'unused-service'
	| 'unneeded-keys' | 'customer-without-keys' | 'unusable-key' | 'keys-not-required'
	| 'no-region' | 'unknown-region' | 'no-known-region' | 'no-common-region'
	| 'target-beyond-timeout' | 'gap-without-stream' | 'resumable-without-stream' | 'resumable-without-attempts' | 'attempts-of-unsafe'
	| 'burst-below-request' | 'hold-below-target' | 'handle-below-target' | 'headers-beyond-idle';

export type Finding = {
	readonly severity: Severity;
	readonly code: FindingCode;
	/** Section and name of the entry, such as `routes.read`. */
	readonly path: string;
	readonly message: string;
};

export type FindingContext = {
	/** Regions that have zones; undefined if they are not known, and then names of regions are not checked. */
	readonly knownRegions?: ReadonlySet<string> | undefined;
};

/** Maximum number of names that a message lists. */
const maxListedNames = 3;

/** Returns the findings about the forwarding section of a configuration; none if it has no such section. */
export function findConfigurationFindings({forwarding, tenants: rateLimits}: Pick<SharedConfiguration, 'forwarding' | 'tenants'>, context: FindingContext = {}): Finding[] {
	if (!forwarding) {
		return [];
	}

	return [
		...findDuplicateNames(forwarding),
		...forwarding.routes.flatMap(route => [...findUnmatchable(route), ...findTargetFaults(route), ...findRouteLimits(route)]),
		...findPortHosts(forwarding.routes),
		...findUnusedServices(forwarding),
		...findKeyFaults(forwarding),
		...findRegionFaults(forwarding, context),
		...findUncommonRegions(forwarding),
		...forwarding.tenants.flatMap(customer => findRateFaults(customer, rateLimits[customer.name]?.burst)),
		...findEngineLimits(forwarding),
		...findCallerLimits(forwarding),
	];
}

function finding(severity: Severity, code: FindingCode, path: string, message: string): Finding {
	return {
		severity, code, path, message,
	};
}

function findDuplicateNames({routes, services, tenants}: Forwarding): Finding[] {
	const duplicates = (section: string, severity: Severity, entries: ReadonlyArray<{readonly name: string}>, effect: string) => {
		const counts = new Map<string, number>();
		for (const {name} of entries) {
			counts.set(name, (counts.get(name) ?? 0) + 1);
		}

		return [...counts].filter(([, count]) => count > 1)
			.map(([name, count]) => finding(severity, 'duplicate-name', `${section}.${name}`, `${count} entries have this name; ${effect}`));
	};

	return [
		...duplicates('routes', 'warning', routes, 'logs and metrics cannot tell them apart'),
		...duplicates('services', 'error', services, 'only the last one counts'),
		...duplicates('tenants', 'error', tenants, 'they share one rate limit'),
	];
}

function findUnmatchable({name, host, pathPrefix}: ForwardRoute): Finding[] {
	const path = `routes.${name}`;
	return [
		...(/[\s/?#@]/.test(host) || host === '' ? [finding('warning', 'never-matches', path, `no request has the host "${host}"`)] : []),
		...(/[\s?#]/.test(pathPrefix) ? [finding('warning', 'never-matches', path, `no path begins with "${pathPrefix}": it has a space, a query or a fragment`)] : []),
	];
}

/** A host with a port has routes of its own: requests with this port do not reach the routes of the host without it. */
function findPortHosts(routes: readonly ForwardRoute[]): Finding[] {
	const hosts = new Set(routes.map(({host}) => host.toLowerCase()));
	return [...hosts].filter(host => /:\d+$/.test(host) && hosts.has(host.replace(/:\d+$/, ''))).map(host => {
		const route = routes.find(candidate => candidate.host.toLowerCase() === host)!;
		return finding('warning', 'host-with-port', `routes.${route.name}`, `requests to "${host}" match only routes with this port; those of the host without a port do not apply to them`);
	});
}

function findTargetFaults({name, targets}: ForwardRoute): Finding[] {
	const path = `routes.${name}`;
	const repeated = targets.filter(({service}, i) => targets.findIndex(other => other.service === service) < i);
	return [
		...targets.filter(({weight}) => weight === 0).map(({service}) => finding('warning', 'unused-target', path, `service "${service}" has weight 0 and gets no requests`)),
		...repeated.map(({service}) => finding('warning', 'repeated-target', path, `service "${service}" is a target twice; its weights add up`)),
	];
}

function findUnusedServices({routes, services}: Forwarding): Finding[] {
	const used = new Set(routes.flatMap(({targets}) => targets.filter(({weight}) => weight > 0).map(({service}) => service)));
	return services.filter(({name}) => !used.has(name)).map(({name}) => finding('warning', 'unused-service', `services.${name}`, 'no route sends requests to this service'));
}

function findKeyFaults({routes, tenants: customers}: Forwarding): Finding[] {
	const closed = routes.filter(({isOpen}) => !isOpen);
	if (customers.length === 0) {
		return closed.length === 0
			? []
			: [finding('warning', 'keys-not-required', 'tenants', `without customers no key is required, also not on ${closed.length} routes that are not open (${listNames(closed)})`)];
	}

	return customers.flatMap(({name, keys}) => {
		const path = `tenants.${name}`;
		return [
			...(keys.length === 0 ? [finding('warning', 'customer-without-keys', path, 'without a key, no request belongs to this customer')] : []),
			...(keys.length > 0 && closed.length === 0 ? [finding('warning', 'unneeded-keys', path, 'every route is open, so no request is asked for a key')] : []),
			...(keys.some(key => key === '' || key !== key.trim()) ? [finding('warning', 'unusable-key', path, 'a key is empty or has spaces at an end; no header can carry it')] : []),
		];
	});
}

function findRegionFaults({routes, tenants: customers}: Forwarding, {knownRegions}: FindingContext): Finding[] {
	const inspect = (path: string, regions: readonly string[] | undefined) => {
		if (regions?.length === 0) {
			return [finding('error', 'no-region', path, 'the list of allowed regions is empty, so no server may run the requests')];
		}

		const unknown = knownRegions ? (regions ?? []).filter(region => !knownRegions.has(region)) : [];
		if (unknown.length === 0) {
			return [];
		}

		return unknown.length === regions!.length
			? [finding('error', 'no-known-region', path, `no zone is in an allowed region (${unknown.join(', ')})`)]
			: [finding('warning', 'unknown-region', path, `no zone is in the region ${unknown.join(', ')}`)];
	};

	return [
		...routes.flatMap(({name, allowedRegions}) => inspect(`routes.${name}`, allowedRegions)),
		...customers.flatMap(({name, allowedRegions}) => inspect(`tenants.${name}`, allowedRegions)),
	];
}

/** Finds customers and routes that have no region in common. Compares the distinct lists of regions, since there may be many customers and routes. */
function findUncommonRegions({routes, tenants: customers}: Forwarding): Finding[] {
	const customersByRegions = groupByRegions(customers);
	const routesByRegions = groupByRegions(routes.filter(({isOpen}) => !isOpen));
	return [...routesByRegions.values()].flatMap(sameRoutes => [...customersByRegions.values()].flatMap(sameCustomers => {
		const [route, customer] = [sameRoutes[0]!, sameCustomers[0]!];
		const lists = [route.allowedRegions!, customer.allowedRegions!];
		if (lists.some(list => list.length === 0) || commonRegions(lists)!.length > 0) {
			return [];
		}

		const who = `the routes ${listNames(sameRoutes)} (${lists[0]!.join(', ')}) and the customers ${listNames(sameCustomers)} (${lists[1]!.join(', ')})`;
		return [finding('error', 'no-common-region', `routes.${route.name}`, `${who} have no region in common; their requests are refused`)];
	}));
}

function groupByRegions<T extends {readonly allowedRegions?: readonly string[] | undefined}>(entries: readonly T[]): Map<string, T[]> {
	const groups = new Map<string, T[]>();
	for (const entry of entries) {
		if (entry.allowedRegions) {
			const key = JSON.stringify([...entry.allowedRegions].sort());
			groups.set(key, [...(groups.get(key) ?? []), entry]);
		}
	}

	return groups;
}

function findRouteLimits({name, repeat, isResumable, timeoutMs, targetMs, targetGapMs, maxAttempts}: ForwardRoute): Finding[] {
	const path = `routes.${name}`;
	return [
		...(targetMs > timeoutMs ? [finding('warning', 'target-beyond-timeout', path, `the objective of ${targetMs} ms is beyond the timeout of ${timeoutMs} ms`)] : []),
		...(targetGapMs > 0 && repeat !== 'stream' ? [finding('warning', 'gap-without-stream', path, 'an objective for pauses applies to streams only')] : []),
		...(isResumable && repeat !== 'stream' ? [finding('warning', 'resumable-without-stream', path, 'only streams can be resumed')] : []),
		...(isResumable && repeat === 'stream' && maxAttempts === 1 ? [finding('warning', 'resumable-without-attempts', path, 'with one attempt, a stream that breaks off is not resumed')] : []),
		...(repeat === 'unsafe' && maxAttempts > 1
			? [finding('warning', 'attempts-of-unsafe', path, `an unsafe request runs once at most; the other ${maxAttempts - 1} attempts follow only ones that did not run`)]
			: []),
	];
}

function findRateFaults({name, unit, defaultCost}: ForwardCustomer, burst: number | undefined): Finding[] {
	const cost = unit === 'tokens' ? defaultCost : 1;
	return burst !== undefined && burst < cost
		? [finding('warning', 'burst-below-request', `tenants.${name}`, `the burst of ${burst} is below the cost of a usual request (${cost}), which is then charged ${burst}`)]
		: [];
}

function findEngineLimits({routes, services}: Forwarding): Finding[] {
	return services.flatMap((service: ForwardService) => {
		const {name, engine} = service;
		const targetMs = Math.max(0, ...routes.filter(({targets}) => targets.some(target => target.service === name && target.weight > 0)).map(route => route.targetMs));
		if (!engine) {
			return [];
		}

		const {holdTtlMs, handleTtlMs} = engine;
		return [
			...(holdTtlMs < targetMs ? [finding('warning', 'hold-below-target', `services.${name}`, `a reservation lasts ${holdTtlMs} ms; the objective is ${targetMs} ms`)] : []),
			...(handleTtlMs < targetMs ? [finding('note', 'handle-below-target', `services.${name}`, `a prefill result is kept for ${handleTtlMs} ms; the objective is ${targetMs} ms`)] : []),
		];
	});
}

function findCallerLimits({limits: {headersTimeoutMs, idleTimeoutMs}}: Forwarding): Finding[] {
	return headersTimeoutMs > idleTimeoutMs
		? [finding('warning', 'headers-beyond-idle', 'limits', `the timeout for headers (${headersTimeoutMs} ms) is beyond that of an idle connection (${idleTimeoutMs} ms)`)]
		: [];
}

function listNames(entries: ReadonlyArray<{readonly name: string}>): string {
	const names = entries.slice(0, maxListedNames).map(({name}) => `"${name}"`).join(', ');
	return entries.length > maxListedNames ? `${names} and ${entries.length - maxListedNames} more` : names;
}
