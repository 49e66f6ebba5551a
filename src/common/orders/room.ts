/** Decides from load reports whether a pool can spare an engine while it carries out an order. */
import type {Order, OrderState} from '../upstreams/engine-api.js';
import type {EngineStatus} from './types.js';

type Role = OrderState['role'] | 'plain';
type Kind = 'prefill' | 'decode';

const kinds: readonly Kind[] = ['prefill', 'decode'];

export type RoomQuestion = {
	readonly engine: EngineStatus;
	readonly order: Order;
	/** All engines of the service. */
	readonly pool: readonly EngineStatus[];
	/** Engines that carry out an order or may do so. */
	readonly busy: ReadonlySet<string>;
	/** Load reports older than this do not count, in milliseconds. */
	readonly freshMs: number;
	readonly headroom: number;
	readonly nowMs: number;
};

function allows(role: Role, kind: Kind): boolean {
	return role === kind || role === 'both';
}

/** An engine serves a kind of work when both the configuration and the engine itself have it in that role. */
function serves({spec, state}: EngineStatus, kind: Kind): boolean {
	return allows(spec.role, kind) && (state === undefined || allows(state.role, kind));
}

/**
Undefined if the order may start, otherwise what is missing. A load takes the engine out of service until it ends, a change of role
from the kinds of work that the new role lacks. For each kind that the engine serves, another engine in service must remain, and the slots
of the remaining decode engines must cover `headroom` times the requests that decode in the whole pool. An engine that is
drained or leaving serves nothing and needs no room; one without a fresh load report, or whose role is not known, does not count as remaining.
*/
export function missingRoom(question: RoomQuestion): string | undefined {
	const {engine, order, pool, busy, freshMs, headroom, nowMs} = question;
	if (engine.spec.isDrained || engine.load?.leaving) {
		return undefined;
	}

	const lost = kinds.filter(kind => serves(engine, kind) && !(order.kind === 'set-role' && allows(order.role, kind)));
	const rest = pool.filter(other => other !== engine && !busy.has(other.spec.name) && isInService(other, nowMs - freshMs));
	for (const kind of lost) {
		const remaining = rest.filter(other => serves(other, kind));
		if (remaining.length === 0) {
			return `no other ${kind} engine of the service is in service`;
		}

		if (kind === 'decode') {
			const inUse = sum(pool.map(({load}) => load?.activeDecodes ?? 0));
			const slots = sum(remaining.map(({spec, load}) => Math.min(spec.slots, load?.slots ?? 0)));
			if (slots < inUse * headroom) {
				return `the other decode engines have ${slots} slots for ${inUse} requests, which need ${Math.ceil(inUse * headroom)}`;
			}
		}
	}

	return lost.length > 0 && (!engine.load || engine.loadMs < nowMs - freshMs) ? 'the engine has not reported its load' : undefined;
}

function isInService({spec, load, loadMs, state}: EngineStatus, sinceMs: number): boolean {
	return !spec.isDrained && load !== undefined && !load.leaving && loadMs >= sinceMs && state !== undefined && !state.loading;
}

function sum(values: readonly number[]): number {
	return values.reduce((total, value) => total + value, 0);
}
