import type {ForwardRoute, ForwardService} from '../../common/configuration/forwarding.js';
import type {Clock} from '../../common/core/clock.js';
import type {Logger} from '../../common/core/log.js';
import type {OwnAnswer, StopCause} from '../../common/forwarding/types.js';
import type {Metrics} from '../../common/services/metrics.js';
import type {Exchange} from '../entry/exchange.js';
import type {CallerRequest, FleetProtocol} from './fleet-protocol.js';
import type {ServerFleet} from './server-fleet.js';

export type ForwardServices = {
	readonly protocol: FleetProtocol;
	readonly fleet: ServerFleet;
	readonly metrics: Metrics;
	readonly logger: Logger;
	readonly clock: Clock;
	readonly zone: string;
};

/** One caller's request that may be forwarded. */
export type ForwardCall = {
	readonly exchange: Exchange;
	readonly caller: CallerRequest;
	readonly requestId: string;
	readonly tenant: string | undefined;
	readonly route: ForwardRoute;
	readonly service: ForwardService;
	readonly body: Uint8Array;
	/** Monotonic time at which the caller's deadline or the route's timeout passes, whichever is first. */
	readonly deadlineMs: number;
	/** Monotonic time at which the caller's own deadline passes. */
	readonly callerDeadlineMs: number;
};

/** How a request ended, for its log line and for the tenant's allowance. */
export type ForwardResult = {
	/** Whether a server may have run it. */
	readonly mayHaveRun: boolean;
	readonly sends: number;
	readonly outcome: string;
	/** Of a stream: from the request's arrival to the first event, in milliseconds. */
	readonly firstEventMs?: number | undefined;
	/** Of a stream: longest time between two of its events, in milliseconds. */
	readonly longestGapMs?: number | undefined;
};

/** Tells when a request must stop: because its time is over or because its caller is gone. */
export function watchStops({exchange, deadlineMs}: ForwardCall, clock: Clock, onStop: (cause: StopCause) => void): void {
	const timer = setTimeout(() => {
		onStop('deadline');
	}, Math.max(0, deadlineMs - clock.nowMs()));
	exchange.res.once('close', () => {
		clearTimeout(timer);
	});
	exchange.onStop(() => {
		onStop('caller-gone');
	});
}

/** Writes an answer of the system's own, unless an answer has begun. */
export function sendOwnAnswer({exchange}: Pick<ForwardCall, 'exchange'>, protocol: FleetProtocol, {status, reason, retryAfterMs}: OwnAnswer): void {
	const body = new TextEncoder().encode(JSON.stringify({status, detail: reason}));
	if (!exchange.res.headersSent && !exchange.res.destroyed) {
		exchange.writeHead(status, [
			'content-type', 'application/problem+json', 'content-length', String(body.length), ...protocol.ownAnswerHeaders(retryAfterMs),
		], reason);
		exchange.res.end(body);
	}
}
