import type {IncomingMessage} from 'node:http';
import type {Socket} from 'node:net';
import type {ForwardCustomer, ForwardRoute, ForwardService} from '../../common/configuration/forwarding.js';
import {
	allowedRegions, noAllowedServerReason, noAllowedServerRetryMs, zonesOf,
} from '../../common/forwarding/allowed-regions.js';
import type {RegionByZone} from '../../common/forwarding/allowed-regions.js';
import {unconfirmedStateRetryAfterMs} from '../../common/forwarding/memory-wait.js';
import {requestMemory} from '../../common/memory/request-memory.js';
import {chooseTarget, RouteTable} from '../../common/forwarding/route-table.js';
import {priorityLevel} from '../../common/forwarding/priority-ranks.js';
import {stoppingRetryMs} from '../../common/forwarding/types.js';
import {normalizeParts} from '../../common/quarantine/parts.js';
import {blockedReason} from '../../common/quarantine/quarantine.js';
import type {PartId} from '../../common/quarantine/types.js';
import type {AccessService, Acquisition, SharedStateView} from '../../common/services/access-service.js';
import type {Holding} from '../memory/memory-keeper.js';
import {fingerprintOf} from '../quarantine/fingerprint.js';
import {readBody} from '../entry/request-body.js';
import type {Exchange} from '../entry/exchange.js';
import type {ProblemError} from '../entry/problems.js';
import {problemDefinitions} from '../entry/problems.js';
import {ModelForwarder} from './model-forwarder.js';
import {PlainForwarder} from './plain-forwarder.js';
import type {ForwardDependencies, ForwardRequest, ForwardResult} from './forward-request.js';
import type {CallerRequest} from './fleet-protocol.js';
import {StartupGate} from './startup-gate.js';

/** Retry delay that a refusal for lack of memory advises, in milliseconds. */
export const noMemoryRetryMs = 1000;
/** Memory that a body may occupy besides its bytes, in bytes. */
const bodyOverheadBytes = 131_072;
/** Maximum time that a request waits for rate tokens of its customer, in milliseconds; half the latency objective of a model request. */
const maxAllowanceWaitMs = 450;
/** Retry delay that a refusal advises, in milliseconds, when the customer has used up its rate and it is not known when its bucket will cover the request. */
const rateLimitRetryMs = 1000;

/** Retry delay that a refusal advises when all servers of the service are in evacuated zones, in milliseconds; evacuations last for minutes. */
const evacuatedRetryMs = 5000;

/** Thrown to refuse a request; the router then answers the caller itself, with this status, reason and retry delay. */
export class ForwardRefusal extends Error {
	override readonly name = 'ForwardRefusal';

	constructor(readonly status: number, reason: string, readonly retryAfterMs?: number) {
		super(reason);
	}
}

export type ForwardHandlerOptions = ForwardDependencies & {
	readonly access: AccessService;
	/** Region of each availability zone. */
	readonly regionByZone: RegionByZone;
	/** Returns whether the process still runs for as long as the request may need, given the time at which the request's deadline passes, in milliseconds. */
	readonly hasTimeFor: (deadlineMs: number, isResumable: boolean) => boolean;
	/** Refuses the request of a connection, whose body has stalled, and closes the connection. */
	readonly refuseStalled: (socket: Socket) => void;
};

/** Decides whether a caller's request is forwarded, and forwards it. */
export class ForwardHandler {
	private _routeTable: RouteTable | undefined;
	private _version = 0;
	private readonly _startupGate: StartupGate;

	constructor(private readonly _options: ForwardHandlerOptions) {
		this._startupGate = new StartupGate(_options.clock);
	}

	/** Whether a configuration with routes is known. */
	get isConfigured(): boolean {
		return this._routeTable !== undefined;
	}

	get version(): number {
		return this._version;
	}

	configure({configuration, version}: SharedStateView): void {
		if (configuration.forwarding && version !== this._version) {
			this._routeTable = new RouteTable(configuration.forwarding);
			this._version = version;
			this._startupGate.open();
			this._options.memory.ensureShare(configuration.forwarding.limits.bodyBytes + bodyOverheadBytes);
		}
	}

	/** Handles a request. Resolves when the request has ended. Rejects with `ForwardRefusal` or `ProblemError` if the request is not forwarded. */
	async handle(exchange: Exchange): Promise<void> {
		const {req} = exchange;
		const holding = this._reserveRequest(exchange);
		const caller = this._options.protocol.readCallerRequest(req.rawHeaders);
		await this._startupGate.waitUntilOpen(caller.waitMs ?? 0);
		if (exchange.stopReason !== undefined) {
			return;
		}

		const {route, service, tenant: customer} = this._admit(req, caller);
		exchange.serviceName = service.name;
		const isModel = service.engine !== undefined;
		const waitMs = Math.min(caller.waitMs ?? route.timeoutMs, route.timeoutMs);
		const deadlineMs = exchange.startedAtMs + waitMs;
		if (!this._options.hasTimeFor(deadlineMs, isModel && route.isResumable)) {
			throw stoppingRefusal();
		}

		const allowedZones = this._findAllowedZones(route, customer, service);
		this._refuseBlocked(caller.requestId!, normalizeParts(caller.promptParts));
		const {forwarding: {limits}, priorityRanks} = this._routeTable!;
		const version = this._version;
		const owner = customer?.name ?? `address ${req.socket.remoteAddress}`;
		const body = await readBody(exchange, {
			maxBytes: limits.bodyBytes, timeoutMs: route.timeoutMs, memory: this._options.memory, customer: owner, onData() {
				holding.recordMove(true);
			},
		});
		holding.recordMove(false);
		const fingerprint = fingerprintOf({
			method: req.method!, host: req.headers.host ?? '', target: req.url!, customer: customer?.name, body,
		});
		const parts = normalizeParts([fingerprint, ...caller.promptParts]);
		this._refuseBlocked(caller.requestId!, parts);
		const request: ForwardRequest = {
			exchange,
			caller,
			requestId: caller.requestId!,
			customer: customer?.name,
			owner,
			route,
			service,
			allowedZones,
			priority: isModel ? priorityRanks.rankOf(service.name, route, customer) : undefined,
			body,
			fingerprint,
			parts,
			deadlineMs,
			callerDeadlineMs: exchange.startedAtMs + (caller.waitMs ?? route.timeoutMs),
		};
		const acquisition = await this._acquireAllowance(request, customer, req);
		if (exchange.stopReason !== undefined || this._options.shutdownSignal.aborted) {
			this._settleAllowance(acquisition, false);
			if (exchange.stopReason === undefined) {
				throw stoppingRefusal();
			}

			return;
		}

		const result = await (isModel ? new ModelForwarder(this._options, request) : new PlainForwarder(this._options, request)).run();
		this._settleAllowance(acquisition, result.mayHaveRun);
		this._reportEnd(request, result, version);
	}

	/** Returns the regions that each route of the host names, without the routes that name none. */
	namedRegions(host: string): string[][] {
		return this._routeTable?.namedRegions(host) ?? [];
	}

	/** Returns the zones whose servers may run the request; undefined if all may. Throws `ForwardRefusal` if the service has no server there. */
	private _findAllowedZones(route: ForwardRoute, customer: ForwardCustomer | undefined, service: ForwardService): ReadonlySet<string> | undefined {
		const {fleet, regionByZone, logger} = this._options;
		const regions = allowedRegions(route, customer);
		const zones = zonesOf(regions, regionByZone);
		const {directory} = fleet;
		if (zones && directory.listRequestedAtMs !== undefined && directory.readyServers(service.name, undefined, zones).length === 0) {
			logger.log('info', 'no server in the allowed regions', {
				route: route.name, tenant: customer?.name, service: service.name, regions, listAgeMs: fleet.listAgeMs(),
			});
			throw new ForwardRefusal(503, noAllowedServerReason, noAllowedServerRetryMs);
		}

		return zones;
	}

	/** Takes the memory of a request, which may be closed while its body has stalled. Throws `ForwardRefusal` if there is none. */
	private _reserveRequest(exchange: Exchange): Holding {
		const {req, res} = exchange;
		const holding = this._options.memory.open('request', undefined, () => {
			this._options.refuseStalled(req.socket);
		});
		res.once('close', () => {
			holding.release();
		});
		if (!holding.resize(requestMemory(req.rawHeaders))) {
			exchange.closeAfterResponse();
			throw new ForwardRefusal(503, 'no memory is left for another request', noMemoryRetryMs);
		}

		holding.recordMove(true);
		return holding;
	}

	/** Throws `ForwardRefusal` if servers crash on requests with these parts. */
	private _refuseBlocked(requestId: string, parts: readonly PartId[]): void {
		const {quarantine} = this._options;
		const block = quarantine.findBlock(parts);
		if (block) {
			throw new ForwardRefusal(503, blockedReason, quarantine.recordRefusal(block, requestId));
		}
	}

	private _admit(req: IncomingMessage, caller: CallerRequest) {
		const table = this._routeTable;
		if (!table) {
			throw new ForwardRefusal(503, 'no configuration is known', unconfirmedStateRetryAfterMs(this._options.fleet.random.next()));
		}

		const route = table.match(req.headers.host ?? '', req.url!);
		if (!route) {
			throw new ForwardRefusal(404, 'no route matches');
		}

		const isKeyRequired = table.hasCustomers && !route.isOpen;
		const customer = isKeyRequired && caller.key !== undefined ? table.customerForKey(caller.key) : undefined;
		if (isKeyRequired && !customer) {
			throw new ForwardRefusal(401, 'the key is not known');
		}

		if (caller.requestId === undefined) {
			throw new ForwardRefusal(400, 'the request has no id');
		}

		const service = table.service(chooseTarget(route, this._options.fleet.random.next()))!;
		if (this._options.fleet.directory.isServiceEvacuated(service.name)) {
			throw new ForwardRefusal(503, 'the zones of all servers of the service are evacuated', evacuatedRetryMs);
		}

		return {route, service, tenant: customer};
	}

	/**
	Takes the cost of the request from the customer's token bucket; a request that costs more than the burst takes the whole
	burst. Returns undefined if no rate limit applies. Throws `ForwardRefusal` if the tokens are not granted.
	*/
	private async _acquireAllowance({caller, requestId}: ForwardRequest, customer: ForwardCustomer | undefined, req: IncomingMessage): Promise<Acquisition | undefined> {
		const {access, logger} = this._options;
		const limit = customer && access.view?.configuration.tenants[customer.name];
		if (!customer || !limit) {
			return undefined;
		}

		const {prompt} = caller;
		const tokens = prompt ? prompt.promptTokens + prompt.maxOutputTokens : customer.defaultCost;
		const cost = Math.min(limit.burst, customer.unit === 'tokens' ? tokens : 1);
		const result = await access.acquire(customer.name, cost, maxAllowanceWaitMs);
		if (result.ok) {
			return result.acquisition;
		}

		logger.log('info', 'request not within its tenant\'s rate', {
			requestId, tenant: customer.name, cost, rate: limit.rate, burst: limit.burst, code: result.code, method: req.method,
		});
		if (result.code === 'control-unreachable') {
			throw new ForwardRefusal(503, 'the tenant\'s rate cannot be confirmed', unconfirmedStateRetryAfterMs(this._options.fleet.random.next(), result.retryAfterMs));
		}

		throw new ForwardRefusal(429, 'the tenant has used up its rate', result.retryAfterMs ?? rateLimitRetryMs);
	}

	private _settleAllowance(acquisition: Acquisition | undefined, mayHaveRun: boolean): void {
		if (acquisition) {
			this._options.access.settle(acquisition, mayHaveRun ? acquisition.tokens : 0);
		}
	}

	private _reportEnd({
		exchange, requestId, fingerprint, route, customer, service, priority,
	}: ForwardRequest, {sends, outcome, firstEventMs, longestGapMs}: ForwardResult, version: number): void {
		const {logger, metrics, clock} = this._options;
		const elapsedMs = Math.round(clock.nowMs() - exchange.startedAtMs);
		const status = exchange.outcome?.status;
		metrics.count('forward_requests_total', {route: route.name, status: String(status ?? 0)});
		metrics.observe('forward_request_ms', elapsedMs, {route: route.name});
		if (priority) {
			metrics.count('forward_priority_requests_total', {level: String(priorityLevel(priority)), status: String(status ?? 0)});
		}

		logger.log('info', 'request ended', {
			requestId, fingerprint, route: route.name, service: service.name, tenant: customer, version, status, outcome, sends, elapsedMs, firstEventMs, longestGapMs, priority: priority?.rank,
		});
	}
}

function stoppingRefusal(): ForwardRefusal {
	return new ForwardRefusal(503, 'the process is stopping', stoppingRetryMs);
}

/** Converts the error that was thrown for an unreadable request to a refusal. */
export function refusalFromProblem(err: ProblemError): ForwardRefusal {
	return new ForwardRefusal(problemDefinitions[err.code].status, err.message, err.options.retryAfterMs);
}
