import type {ServerKey, ServerRecord} from './types.js';
import {serverKey} from './types.js';

/**
Share of a pool's engines that prefill. A request of 5,000 prompt tokens occupies a prefill engine for about 0.1 s, and a
decode engine that holds about 12 of them for about 3.5 s, a third of a second each; more decode engines take longer bursts.
*/
const prefillShare = 0.25;
/** Prefill engines that a pool keeps, so that the loss of one leaves another. */
const minPrefillEngines = 2;

export type StageQuestion = {
	/** All servers of the service. */
	readonly servers: readonly ServerRecord[];
	/** Engines that were ordered to change and have not shown it yet. */
	readonly ordered: ReadonlySet<ServerKey>;
};

/** A prefill engine that serves its pool better as a decode engine; undefined when the pool is balanced. */
export function chooseSurplusPrefill({servers, ordered}: StageQuestion): ServerRecord | undefined {
	const engines = servers.filter(({state, stage}) => state === 'ready' && stage !== undefined);
	const prefill = engines.filter(record => record.stage === 'prefill' && !ordered.has(serverKey(record)));
	const wanted = Math.max(minPrefillEngines, Math.ceil(engines.length * prefillShare));
	if (prefill.length <= wanted) {
		return undefined;
	}

	// The prefill engine is taken from the zone that keeps the most, so that each zone keeps one near its decode engines.
	const inZone = (zone: string) => prefill.filter(record => record.zone === zone).length;
	return [...prefill].sort((a, b) => inZone(b.zone) - inZone(a.zone) || (serverKey(a) < serverKey(b) ? -1 : 1))[0];
}
