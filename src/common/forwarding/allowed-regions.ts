/**
Regions in which requests may run: those that the route names, those that the customer names, or the intersection if both name any.
*/
import type {ForwardCustomer, ForwardRoute} from '../configuration/forwarding.js';

/** Region of each availability zone. */
export type RegionByZone = ReadonlyMap<string, string>;

/** Reason of a refusal because no server of the service is in an allowed region. */
export const noAllowedServerReason = 'no server in the allowed regions';
/** `Retry-After` of such a refusal, in milliseconds; servers appear in the list at intervals of about this length. */
export const noAllowedServerRetryMs = 1000;

/** Returns the regions that every one of the given lists names; undefined if there is no list, so that every region is allowed. */
export function commonRegions(lists: ReadonlyArray<readonly string[]>): string[] | undefined {
	const [first, ...rest] = lists;
	return first?.filter(region => rest.every(list => list.includes(region)));
}

/** Returns the regions whose servers may run the requests of a customer on a route; undefined if all may, and an empty list if none may. */
export function allowedRegions({allowedRegions: ofRoute}: Pick<ForwardRoute, 'allowedRegions'>, customer: Pick<ForwardCustomer, 'allowedRegions'> | undefined): string[] | undefined {
	return commonRegions([ofRoute, customer?.allowedRegions].filter(regions => regions !== undefined));
}

/** Returns the zones of the regions; undefined if all regions are allowed. A zone whose region is not known is in none. */
export function zonesOf(regions: readonly string[] | undefined, regionByZone: RegionByZone): ReadonlySet<string> | undefined {
	return regions && new Set([...regionByZone].filter(([, region]) => regions.includes(region)).map(([zone]) => zone));
}

export type EntryPointRegions = {
	/** Regions that each route of the host names; routes that name none are left out. */
	readonly namedRegions: ReadonlyArray<readonly string[]>;
	/** Region of the caller; undefined if it is not known. */
	readonly callerRegion: string | undefined;
	readonly regionByZone: RegionByZone;
};

/**
Returns the VMs that an entry-point answer may name: those in the caller's region or in a region that every route of the host allows. If there are
none, those in a region that some route allows; if there are none of these either, all of them, since callers cannot use an empty answer.
*/
export function chooseEntryRegions<T extends {readonly zone: string}>(members: readonly T[], {namedRegions, callerRegion, regionByZone}: EntryPointRegions): readonly T[] {
	const allowed = commonRegions(namedRegions);
	if (!allowed) {
		return members;
	}

	const inRegions = (regions: ReadonlyArray<string | undefined>) => members.filter(({zone}) => {
		const region = regionByZone.get(zone);
		return region !== undefined && regions.includes(region);
	});
	const best = inRegions([...allowed, callerRegion]);
	const some = best.length > 0 ? best : inRegions(namedRegions.flat());
	return some.length > 0 ? some : members;
}
