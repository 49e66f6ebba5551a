/** Decides from load reports whether a pool has enough capacity without an engine that is to carry out an order. */
import type {Order, OrderState} from '../upstreams/engine-api.js';
import type {EngineStatus} from './types.js';

type Role = OrderState['role'] | 'plain';
type WorkKind = 'prefill' | 'decode';

const workKinds: readonly WorkKind[] = ['prefill', 'decode'];

export type CapacityQuery = {
	readonly engine: EngineStatus;
	readonly order: Order;
	/** All engines of the service. */
	readonly pool: readonly EngineStatus[];
	/** Names of engines that carry out an order or may be doing so. */
	readonly busy: ReadonlySet<string>;
	/** Maximum age of the load reports of the engine and of the engines that count as remaining, in milliseconds. */
	readonly maxReportAgeMs: number;
	/** Decode slots that must remain, as a multiple of the pool's requests in decode. */
	readonly decodeHeadroomFactor: number;
	readonly nowMs: number;
};

function canRoleServe(role: Role, kind: WorkKind): boolean {
	return role === kind || role === 'both';
}

/** Whether both the configured role and the role that the engine reports, if known, include the kind of work. */
function canServe({spec, state}: EngineStatus, kind: WorkKind): boolean {
	return canRoleServe(spec.role, kind) && (state === undefined || canRoleServe(state.role, kind));
}

/**
Returns why the order must wait for pool capacity, or undefined if it may start.

A model or adapter load takes the engine out of service until the load ends. A role change ends the kinds of work that the new role lacks.
For each kind of work that the engine stops serving, another engine in service must remain, and the slots of the remaining decode engines
must be at least `decodeHeadroomFactor` times the requests in decode in the whole pool. An order to an engine that is drained or leaving
never waits, because such an engine serves no requests. Engines without a recent load report or with an unknown role do not count as
remaining.
*/
export function capacityWaitReason(query: CapacityQuery): string | undefined {
	const {engine, order, pool, busy, maxReportAgeMs, decodeHeadroomFactor, nowMs} = query;
	if (engine.spec.isDrained || engine.load?.leaving) {
		return undefined;
	}

	const lostKinds = workKinds.filter(kind => canServe(engine, kind) && !(order.kind === 'set-role' && canRoleServe(order.role, kind)));
	const otherEngines = pool.filter(other => other !== engine && !busy.has(other.spec.name) && isInService(other, nowMs - maxReportAgeMs));
	for (const kind of lostKinds) {
		const remaining = otherEngines.filter(other => canServe(other, kind));
		if (remaining.length === 0) {
			return `no other ${kind} engine of the service is in service`;
		}

		if (kind === 'decode') {
			const decodingRequests = sum(pool.map(({load}) => load?.activeDecodes ?? 0));
			const slots = sum(remaining.map(({spec, load}) => Math.min(spec.slots, load?.slots ?? 0)));
			if (slots < decodingRequests * decodeHeadroomFactor) {
				return `the other decode engines have ${slots} slots for ${decodingRequests} requests, which need ${Math.ceil(decodingRequests * decodeHeadroomFactor)}`;
			}
		}
	}

	return lostKinds.length > 0 && (!engine.load || engine.loadPolledMs < nowMs - maxReportAgeMs) ? 'the engine has not reported its load' : undefined;
}

function isInService({spec, load, loadPolledMs, state}: EngineStatus, oldestReportMs: number): boolean {
	return !spec.isDrained && load !== undefined && !load.leaving && loadPolledMs >= oldestReportMs && state !== undefined && !state.loading;
}

function sum(values: readonly number[]): number {
	return values.reduce((total, value) => total + value, 0);
}
