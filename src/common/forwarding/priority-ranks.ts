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
		for (const {name, engine} of services) {
			if (engine) {
				const ownRoutes = routes.filter(({targets}) => targets.some(({service, weight}) => service === name && weight > 0));
				const priorities = ownRoutes.flatMap(route => customers.length === 0 || route.isOpen ? [route.priority] : customers.map(customer => priorityOf(route, customer)));
				this._prioritiesByService.set(name, [...new Set(priorities)].sort((a, b) => a - b));
			}
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
