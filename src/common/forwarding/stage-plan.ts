import type {EngineStage, ServerKey, ServerRecord} from './types.js';
import {serverKey} from './types.js';

/**
Target share of a pool's engines that run prefill. A request of 5,000 prompt tokens occupies a prefill engine for about 0.1 s. A
decode engine runs about 12 such requests at once for about 3.5 s, which is about 0.3 s for each. Prefill thus
takes about a quarter of the engine time, and engines beyond this share run decode, so that the pool absorbs longer bursts.
*/
const targetPrefillShare = 0.25;
/** Number of prefill engines that are never surplus, so that one is left if the other is lost. */
const minPrefillEngines = 2;

/** Engines of a pool and the stage changes in progress. */
export type StagePlanInput = {
	/** All servers of the service. */
	readonly servers: readonly ServerRecord[];
	/** Engines that were ordered to change their stage and are not yet listed with it, with their new stage. */
	readonly pendingStages: ReadonlyMap<ServerKey, EngineStage>;
};

export type StageChange = {readonly record: ServerRecord; readonly stage: EngineStage};

/** Returns the engine that should change its stage, and the new stage; undefined if the pool is balanced or no engine is free to change. */
export function chooseStageChange({servers, pendingStages}: StagePlanInput): StageChange | undefined {
	const engines = servers.filter(({state, stage}) => state === 'ready' && stage !== undefined);
	const enginesInStage = (stage: EngineStage) => engines.filter(record => (pendingStages.get(serverKey(record)) ?? record.stage) === stage);
	const prefill = enginesInStage('prefill');
	const decode = enginesInStage('decode');
	if (prefill.length > Math.max(minPrefillEngines, Math.ceil(engines.length * targetPrefillShare))) {
		// Takes the engine from the zone with the most prefill engines, so that each zone keeps a prefill engine near its decode engines.
		return pickEngine(prefill, pendingStages, 'decode', zone => -countIn(prefill, zone));
	}

	// A pool can lose its prefill engines when servers leave or crash, so decode engines replace them; one decode engine always stays.
	if (decode.length > 1 && prefill.length < Math.max(1, Math.round(engines.length * targetPrefillShare))) {
		return pickEngine(decode, pendingStages, 'prefill', zone => (countIn(prefill, zone) * engines.length) - countIn(decode, zone));
	}

	return undefined;
}

function countIn(engines: readonly ServerRecord[], zone: string): number {
	return engines.filter(record => record.zone === zone).length;
}

/** Returns a change to `stage` for an engine without a pending stage change, from the zone with the lowest rank; undefined if there is no such engine. */
function pickEngine(engines: readonly ServerRecord[], pendingStages: StagePlanInput['pendingStages'], stage: EngineStage, rank: (zone: string) => number): StageChange | undefined {
	const [record] = engines.filter(engine => !pendingStages.has(serverKey(engine)))
		.sort((a, b) => rank(a.zone) - rank(b.zone) || (serverKey(a) < serverKey(b) ? -1 : 1));
	return record && {record, stage};
}
