import type {EngineStage, ServerKey, ServerRecord} from './types.js';
import {serverKey} from './types.js';

/**
Share of a pool's engines that prefill. A request of 5,000 prompt tokens occupies a prefill engine for about 0.1 s, and a
decode engine that holds about 12 of them for about 3.5 s, a third of a second each; more decode engines take longer bursts.
*/
const prefillShare = 0.25;
/** Prefill engines above which a pool has a surplus, so that the loss of one leaves another. */
const minPrefillEngines = 2;

export type StageQuestion = {
	/** All servers of the service. */
	readonly servers: readonly ServerRecord[];
	/** Engines that were ordered to change and have not shown it yet, with the stage that they are to have. */
	readonly ordered: ReadonlyMap<ServerKey, EngineStage>;
};

export type StageChange = {readonly record: ServerRecord; readonly stage: EngineStage};

/** The engine that serves its pool better in the other stage; undefined when the pool is balanced. */
export function chooseStageChange({servers, ordered}: StageQuestion): StageChange | undefined {
	const engines = servers.filter(({state, stage}) => state === 'ready' && stage !== undefined);
	const inStage = (stage: EngineStage) => engines.filter(record => (ordered.get(serverKey(record)) ?? record.stage) === stage);
	const prefill = inStage('prefill');
	const decode = inStage('decode');
	if (prefill.length > Math.max(minPrefillEngines, Math.ceil(engines.length * prefillShare))) {
		// The zone that keeps the most gives one, so that each zone keeps one near its decode engines.
		return pickFrom(prefill, ordered, 'decode', zone => -countIn(prefill, zone));
	}

	// Servers that leave or are lost may take the prefill engines with them.
	if (decode.length > 1 && prefill.length < Math.max(1, Math.round(engines.length * prefillShare))) {
		return pickFrom(decode, ordered, 'prefill', zone => (countIn(prefill, zone) * engines.length) - countIn(decode, zone));
	}

	return undefined;
}

function countIn(engines: readonly ServerRecord[], zone: string): number {
	return engines.filter(record => record.zone === zone).length;
}

/** The engine of the zone with the lowest rank that is not carrying out an order. */
function pickFrom(engines: readonly ServerRecord[], ordered: StageQuestion['ordered'], stage: EngineStage, rank: (zone: string) => number): StageChange | undefined {
	const [record] = engines.filter(engine => !ordered.has(serverKey(engine)))
		.sort((a, b) => rank(a.zone) - rank(b.zone) || (serverKey(a) < serverKey(b) ? -1 : 1));
	return record && {record, stage};
}
