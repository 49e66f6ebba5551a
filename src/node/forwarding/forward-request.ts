import type {ForwardRoute, ForwardService} from '../../common/configuration/forwarding.js';
import type {Clock} from '../../common/core/clock.js';
import type {Logger} from '../../common/core/log.js';
import type {PartId} from '../../common/quarantine/types.js';
import type {Server} from '../../common/forwarding/server-directory.js';
import type {PriorityRank} from '../../common/forwarding/priority-ranks.js';
import type {LocalAnswer, StopCause} from '../../common/forwarding/types.js';
import type {Metrics} from '../../common/services/metrics.js';
import type {Exchange} from '../entry/exchange.js';
import type {RequestQuarantine} from '../quarantine/request-quarantine.js';
import type {MemoryKeeper} from '../memory/memory-keeper.js';
import {CallError} from '../upstreams/call-error.js';
import type {CallerRequest, FleetProtocol} from './fleet-protocol.js';
import type {BufferedAnswer} from './forward-adapter.js';
import type {ServerFleet} from './server-fleet.js';

export type ForwardDependencies = {
	readonly protocol: FleetProtocol;
	readonly fleet: ServerFleet;
	readonly quarantine: RequestQuarantine;
	readonly metrics: Metrics;
	readonly logger: Logger;
	readonly clock: Clock;
	readonly memory: MemoryKeeper;
	readonly zone: string;
	/** Aborted when the process ends before the requests that are still running could. */
	readonly shutdownSignal: AbortSignal;
};

/** A caller's request that has been matched to a route and a service. */
export type ForwardRequest = {
	readonly exchange: Exchange;
	readonly caller: CallerRequest;
	readonly requestId: string;
	readonly customer: string | undefined;
	/** Whose share of the memory the request counts against: the customer or, on open routes, the caller's address. */
	readonly owner: string;
	readonly route: ForwardRoute;
	readonly service: ForwardService;
	/** Zones whose servers may run the request and keep the KV cache of its prompt; all zones if undefined. */
	readonly allowedZones: ReadonlySet<string> | undefined;
	/** Rank among the priorities of the service's requests; undefined if they all have the same priority. */
	readonly priority: PriorityRank | undefined;
	readonly body: Uint8Array;
	/** Identifies the request by its contents: another attempt of the caller has the same fingerprint. */
	readonly fingerprint: PartId;
	/** Parts by which the quarantine recognizes a request that crashes servers: its fingerprint and the parts of its prompt. */
	readonly parts: readonly PartId[];
	/** Monotonic time, in milliseconds, at which the caller's deadline or the route's timeout passes, whichever is first. */
	readonly deadlineMs: number;
	/** Monotonic time, in milliseconds, at which the caller's deadline passes; the end of the route's timeout if the caller states no deadline. */
	readonly callerDeadlineMs: number;
};

/** How a forwarded request ended, for its log line and for the settlement of the customer's allowance. */
export type ForwardResult = {
	/** Whether a server may have run the request. */
	readonly mayHaveRun: boolean;
	/** Number of times that the request was sent to a server, without prefill calls. */
	readonly sends: number;
	/** How the request ended, as text for the log line. */
	readonly outcome: string;
	/** Time from the arrival of the request to the first event of its stream, in milliseconds; undefined without events. */
	readonly firstEventMs?: number | undefined;
	/** Longest time between two consecutive events of the stream, in milliseconds; undefined with fewer than two events. */
	readonly longestGapMs?: number | undefined;
};

/** Calls `onStop` with `deadline` when the deadline of the request passes, with `shutdown` when the process ends, and with `caller-gone` when its exchange is stopped. */
export function watchForStop({exchange, deadlineMs}: ForwardRequest, {clock, shutdownSignal}: Pick<ForwardDependencies, 'clock' | 'shutdownSignal'>, onStop: (cause: StopCause) => void): void {
	const timer = setTimeout(() => {
		onStop('deadline');
	}, Math.max(0, deadlineMs - clock.nowMs()));
	const shutDown = () => {
		onStop('shutdown');
	};

	shutdownSignal.addEventListener('abort', shutDown);
	exchange.res.once('close', () => {
		clearTimeout(timer);
		shutdownSignal.removeEventListener('abort', shutDown);
	});
	exchange.onStop(() => {
		onStop('caller-gone');
	});
}

/** Charges a request, or a prefill call for it, to the budget of a cold server as it is sent. */
export function recordColdSend({requestId, service}: ForwardRequest, {fleet, metrics, logger}: ForwardDependencies, server: Server): void {
	if (fleet.recordColdRequest(server) && fleet.coldRate(service)) {
		metrics.count('forward_cold_sends_total', {service: service.name});
		logger.log('info', 'request sent to a cold server', {
			requestId, server: server.key, coldForMs: Math.round(fleet.coldForMs(server)), listAgeMs: fleet.listAgeMs(),
		});
	}
}

/** Sends the caller an answer that the router generates itself. Does nothing if an answer has already begun or the connection is closed. */
export function sendLocalAnswer({exchange}: Pick<ForwardRequest, 'exchange'>, protocol: FleetProtocol, answer: LocalAnswer): void {
	if (!exchange.res.headersSent && !exchange.res.destroyed) {
		exchange.res.end(writeLocalHead(exchange, protocol, answer));
	}
}

/** Does the same for a request whose body has not arrived in full, and closes its connection a moment later. */
export function sendLocalAnswerLingering(exchange: Exchange, protocol: FleetProtocol, answer: LocalAnswer): void {
	if (!exchange.res.headersSent && !exchange.res.destroyed) {
		exchange.closeAfterResponse();
		exchange.endLingering(writeLocalHead(exchange, protocol, answer));
	}
}

/** Writes the head of an answer that the router generates itself, and returns its body. */
function writeLocalHead(exchange: Exchange, protocol: FleetProtocol, {status, reason, retryAfterMs}: LocalAnswer): Uint8Array {
	const body = new TextEncoder().encode(JSON.stringify({status, detail: reason}));
	exchange.writeHead(status, [
		'content-type', 'application/problem+json', 'content-length', String(body.length), ...protocol.localAnswerHeaders(retryAfterMs),
	], reason);
	return body;
}

/** Checks that an answer without framing has ended because it is whole. Throws `CallError` if its server is gone. */
export async function checkEnd({isFramed}: BufferedAnswer, fleet: ServerFleet, server: Server): Promise<void> {
	if (!isFramed && await fleet.isLost(server)) {
		throw new CallError('broken', true, 'the server is gone at the end of an answer without framing');
	}
}

/**
Sends the caller a server's answer that has been read to its end. Does nothing if the connection is closed. The caller is told the length also
if the answer has no framing: if this process is killed, the kernel closes the connection in order, which would look like the end of the answer.
*/
export function relayAnswer(exchange: Exchange, protocol: FleetProtocol, {status, headers, body}: BufferedAnswer): void {
	if (exchange.res.destroyed) {
		return;
	}

	const callerHeaders = protocol.callerHeaders(headers);
	const {length} = body;
	const parts = body.takeParts();
	const hasLength = callerHeaders.some((name, i) => i % 2 === 0 && name === 'content-length');
	const isBodiless = status === 204 || status === 304 || exchange.req.method === 'HEAD';
	exchange.writeHead(status, hasLength || isBodiless ? callerHeaders : [...callerHeaders, 'content-length', String(length)]);
	// Each part is written by itself: to join them would need the memory of the answer once more.
	for (const part of parts.slice(0, -1)) {
		exchange.res.write(part);
	}

	exchange.res.end(parts.at(-1));
}
