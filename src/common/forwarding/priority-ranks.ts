import type {ForwardCustomer, ForwardRoute, Forwarding} from '../configuration/forwarding.js';

/** Maximum number of ranks of a service, as many as engines tell apart; further priorities share ranks. */
export const maxRanks = 10;

/** Rank of a request among the priorities that requests of its service can have. `rank` is from 0, the most urgent, to `ranks` - 1. */
export type PriorityRank = {readonly rank: number; readonly ranks: number};

/** Returns the priority of a request; 0 is the most urgent. */
export function priorityOf(route: Pick<ForwardRoute, 'priority'>, customer: Pick<ForwardCustomer, 'priority'> | undefined): number {
	return customer?.priority ?? route.priority;
}

/** Returns the rank of a request as a level from 0 to 9, spread evenly over the ranks. */
export function priorityLevel({rank, ranks}: PriorityRank): number {
	return Math.floor(rank * maxRanks / ranks);
}

/** Ranks of the requests of each model service; built once per configuration version. */
export class PriorityRanks {
	private readonly _prioritiesByService = new Map<string, number[]>();

	constructor({routes, services, tenants: customers}: Pick<Forwarding, 'routes' | 'services' | 'tenants'>) {
		const customerPriorities = new Set(customers.flatMap(({priority}) => priority ?? []));
		const isRouteDecisive = customers.length === 0 || customers.some(({priority}) => priority === undefined);
		const sets = new Map(services.filter(({engine}) => engine).map(({name}) => [name, new Set<number>()]));
		for (const {targets, priority, isOpen} of routes) {
			const priorities = [...(isOpen || isRouteDecisive ? [priority] : []), ...(isOpen ? [] : customerPriorities)];
			for (const {service} of targets.filter(({weight}) => weight > 0)) {
				for (const possible of priorities) {
					sets.get(service)?.add(possible);
				}
			}
		}

		for (const [service, priorities] of sets) {
			this._prioritiesByService.set(service, [...priorities].sort((a, b) => a - b));
		}
	}

	/** Returns the rank of a request of a service; undefined if all requests of the service have the same priority, or if it is no model service. */
	rankOf(service: string, route: Pick<ForwardRoute, 'priority'>, customer: Pick<ForwardCustomer, 'priority'> | undefined): PriorityRank | undefined {
		const priorities = this._prioritiesByService.get(service) ?? [];
		const index = priorities.indexOf(priorityOf(route, customer));
		if (priorities.length < 2 || index === -1) {
			return undefined;
		}

		const ranks = Math.min(maxRanks, priorities.length);
		return {rank: Math.floor(index * ranks / priorities.length), ranks};
	}
}
