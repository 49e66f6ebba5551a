import type {CallFailure} from '../../common/requests/types.js';
import type {RequestQuarantine, TrackedAttempt} from '../quarantine/request-quarantine.js';
import type {UpstreamRegistry} from '../upstreams/upstream-registry.js';

export type FailedAttempt = {
	readonly tracked: TrackedAttempt;
	/** Name of the upstream. */
	readonly upstream: string;
	readonly failure: CallFailure;
	/** Whether the router or the caller gave the attempt up. */
	readonly isAborted: boolean;
};

/** Tells the quarantine how an attempt failed, and whether its upstream is lost. An upstream that broke the attempt off is asked whether it can still be reached. */
export function recordAttemptFailure(quarantine: RequestQuarantine, upstreams: UpstreamRegistry, {tracked, upstream, failure, isAborted}: FailedAttempt): void {
	const isBroken = failure.kind === 'broken' && !isAborted;
	tracked.fail(failure, !isBroken);
	if (failure.kind === 'unreachable') {
		quarantine.recordServerLost(upstream);
	} else if (isBroken) {
		void recordIfLost(quarantine, upstreams, upstream);
	}
}

async function recordIfLost(quarantine: RequestQuarantine, upstreams: UpstreamRegistry, upstream: string): Promise<void> {
	if (await upstreams.isLost(upstream)) {
		quarantine.recordServerLost(upstream);
	}
}
