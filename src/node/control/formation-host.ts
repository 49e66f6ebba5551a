import {setTimeout as sleep} from 'node:timers/promises';
import {z} from 'zod';
import {RollCall} from '../../common/consensus/roll-call.js';
import type {Clock} from '../../common/core/clock.js';
import type {Logger} from '../../common/core/log.js';
import type {VmId} from '../../common/core/types.js';
import type {PeerNetwork} from '../../common/services/peer-network.js';

/** Time between two reports to the process that calls the roll. */
const reportEveryMs = 150;
/** Bound on one report. */
const reportTimeoutMs = 500;

const presentSchema = z.strictObject({type: z.literal('formation/present')});
const replySchema = z.strictObject({founders: z.array(z.string()).optional()});

export type FormationOptions = {
	readonly network: PeerNetwork;
	readonly clock: Clock;
	readonly logger: Logger;
	readonly self: VmId;
	/** VMs that every process is told at the first start; the first one calls the roll. */
	readonly seeds: readonly VmId[];
};

/** Answers reports of presence if this process calls the roll. */
export function callRoll({network, clock, self, seeds}: FormationOptions): void {
	if (callerOfRoll(seeds) !== self) {
		return;
	}

	const roll = new RollCall(clock.nowMs());
	network.handle('formation/present', presentSchema, from => {
		const founders = roll.report(from.vm, clock.nowMs());
		return {...(founders && {founders: [...founders]})};
	});
}

/** Reports this VM until the roll is closed; resolves with the VMs that form the cluster. */
export async function awaitFounders({network, logger, seeds}: FormationOptions, signal: AbortSignal): Promise<readonly VmId[]> {
	for (;;) {
		try {
			const reply = replySchema.parse(await network.request(callerOfRoll(seeds)!, {type: 'formation/present'}, reportTimeoutMs));
			if (reply.founders) {
				logger.log('info', 'cluster forms', {founders: reply.founders});
				return reply.founders;
			}
		} catch (err) {
			logger.log('debug', 'roll not answered', {detail: err instanceof Error ? err.message : String(err)});
		}

		await sleep(reportEveryMs, undefined, {signal});
	}
}

function callerOfRoll(seeds: readonly VmId[]): VmId | undefined {
	return [...seeds].sort()[0];
}
