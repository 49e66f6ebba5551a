import {setTimeout as sleep} from 'node:timers/promises';
import {z} from 'zod';
import {FounderDiscovery} from '../../common/consensus/founder-discovery.js';
import type {Clock} from '../../common/core/clock.js';
import type {Logger} from '../../common/core/log.js';
import type {VmId} from '../../common/core/types.js';
import type {PeerNetwork} from '../../common/services/peer-network.js';

/** Interval between two presence reports to the formation coordinator, in milliseconds. */
const reportIntervalMs = 150;
/** Timeout of one presence report, in milliseconds. */
const reportTimeoutMs = 500;

const presenceReportSchema = z.strictObject({type: z.literal('formation/present')});
const presenceReplySchema = z.strictObject({founders: z.array(z.string()).optional()});

export type FormationOptions = {
	readonly network: PeerNetwork;
	readonly clock: Clock;
	readonly logger: Logger;
	readonly self: VmId;
	/** VMs that every process is configured with at the first start; the first one in alphabetical order is the formation coordinator. */
	readonly seeds: readonly VmId[];
};

/** Collects presence reports of VMs and, once the founders are decided, answers each report with the founders. Does nothing unless this VM is the formation coordinator. */
export function serveFormation({network, clock, self, seeds}: FormationOptions): void {
	if (formationCoordinatorVm(seeds) !== self) {
		return;
	}

	const founderDiscovery = new FounderDiscovery(clock.nowMs());
	network.registerHandler('formation/present', presenceReportSchema, from => {
		const founders = founderDiscovery.reportPresence(from.vm, clock.nowMs());
		return {...(founders && {founders: [...founders]})};
	});
}

/** Reports this VM's presence until the formation coordinator answers with the founders, and returns the founders: the VMs that form the cluster. Rejects if `signal` is aborted. */
export async function waitForFounders({network, logger, seeds}: FormationOptions, signal: AbortSignal): Promise<readonly VmId[]> {
	for (;;) {
		try {
			const reply = presenceReplySchema.parse(await network.request(formationCoordinatorVm(seeds)!, {type: 'formation/present'}, reportTimeoutMs));
			if (reply.founders) {
				logger.log('info', 'cluster founders decided', {founders: reply.founders});
				return reply.founders;
			}
		} catch (err) {
			logger.log('debug', 'formation coordinator did not answer', {detail: err instanceof Error ? err.message : String(err)});
		}

		await sleep(reportIntervalMs, undefined, {signal});
	}
}

function formationCoordinatorVm(seeds: readonly VmId[]): VmId | undefined {
	return [...seeds].sort()[0];
}
