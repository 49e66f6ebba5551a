import type {IncomingMessage} from 'node:http';
import type {ForwardTenant} from '../../common/configuration/forwarding.js';
import {BodyMemory} from '../../common/requests/body-memory.js';
import {confirmedAfterMs} from '../../common/forwarding/patience.js';
import {chooseTarget, RouteTable} from '../../common/forwarding/route-table.js';
import type {AccessService, Acquisition, View} from '../../common/services/access-service.js';
import {readBody} from '../entry/body.js';
import type {Exchange} from '../entry/exchange.js';
import type {ProblemError} from '../entry/problems.js';
import {problems} from '../entry/problems.js';
import {ModelForwardRun} from './forward-model.js';
import {PlainForwardRun} from './forward-plain.js';
import type {ForwardCall, ForwardResult, ForwardServices} from './forward-call.js';
import type {CallerRequest} from './fleet-protocol.js';
import {StartupGate} from './startup-gate.js';

/** Memory that request bodies may occupy together, in bytes. */
const bodyMemoryBytes = 32 * 1024 * 1024;
/** Longest wait for a part of the tenant's rate, in milliseconds; half the latency objective of a model request. */
const allowanceWaitMs = 450;
/** Advice to callers beyond their tenant's rate where it is not known when the rate allows more, in milliseconds. */
const rateRetryMs = 1000;
/** Advice to callers that are refused because the process stops; other processes take them at once, in milliseconds. */
const stoppingRetryMs = 50;

/** Ends a request with an answer of the system's own. */
export class ForwardRefusal extends Error {
	override readonly name = 'ForwardRefusal';

	constructor(readonly status: number, reason: string, readonly retryAfterMs?: number) {
		super(reason);
	}
}

export type ForwardHandlerOptions = ForwardServices & {
	readonly access: AccessService;
	/** Whether the process still has time to serve a request that takes as long as those of the kind usually do. */
	readonly hasTimeFor: (kind: 'plain' | 'model') => boolean;
};

/** Decides whether a caller's request is forwarded, and runs it. */
export class ForwardHandler {
	private readonly _memory = new BodyMemory(bodyMemoryBytes);
	private _table: RouteTable | undefined;
	private _version = 0;
	private readonly _startup: StartupGate;

	constructor(private readonly _options: ForwardHandlerOptions) {
		this._startup = new StartupGate(_options.clock);
	}

	/** Whether a configuration is known. */
	get isConfigured(): boolean {
		return this._table !== undefined;
	}

	get version(): number {
		return this._version;
	}

	configure({configuration, version}: View): void {
		if (configuration.forwarding && version !== this._version) {
			this._table = new RouteTable(configuration.forwarding);
			this._version = version;
			this._startup.open();
		}
	}

	/** Runs a request to its end. Throws `ForwardRefusal` or `ProblemError` for one that is not forwarded. */
	async handle(exchange: Exchange): Promise<void> {
		const {req} = exchange;
		const caller = this._options.protocol.readCallerRequest(req.rawHeaders);
		await this._startup.passed(caller.waitMs ?? 0);
		if (exchange.stopReason !== undefined) {
			return;
		}

		const {route, service, tenant} = this._admit(req, caller);
		exchange.serviceName = service.name;
		const isModel = service.engine !== undefined;
		if (!this._options.hasTimeFor(isModel ? 'model' : 'plain')) {
			throw new ForwardRefusal(503, 'the process is stopping', stoppingRetryMs);
		}

		const {limits} = this._table!.forwarding;
		const version = this._version;
		const body = await readBody(exchange, {
			bytes: limits.bodyBytes, timeoutMs: route.timeoutMs, memory: this._memory, tenant: tenant?.name ?? '',
		});
		const waitMs = Math.min(caller.waitMs ?? route.timeoutMs, route.timeoutMs);
		const call: ForwardCall = {
			exchange,
			caller,
			requestId: caller.requestId!,
			tenant: tenant?.name,
			route,
			service,
			body,
			deadlineMs: exchange.startedAtMs + waitMs,
			callerDeadlineMs: exchange.startedAtMs + (caller.waitMs ?? route.timeoutMs),
		};
		const acquisition = await this._acquire(call, tenant, req);
		if (exchange.stopReason !== undefined) {
			this._settle(acquisition, false);
			return;
		}

		const result = await (isModel ? new ModelForwardRun(this._options, call) : new PlainForwardRun(this._options, call)).run();
		this._settle(acquisition, result.mayHaveRun);
		this._logEnd(call, result, version);
	}

	private _admit(req: IncomingMessage, caller: CallerRequest) {
		const table = this._table;
		if (!table) {
			throw new ForwardRefusal(503, 'no configuration is known', confirmedAfterMs(this._options.fleet.random.next()));
		}

		const route = table.match(req.headers.host ?? '', req.url!);
		if (!route) {
			throw new ForwardRefusal(404, 'no route matches');
		}

		const isKeyed = table.hasTenants && !route.isOpen;
		const tenant = isKeyed && caller.key !== undefined ? table.tenantOf(caller.key) : undefined;
		if (isKeyed && !tenant) {
			throw new ForwardRefusal(401, 'the key is not known');
		}

		if (caller.requestId === undefined) {
			throw new ForwardRefusal(400, 'the request has no id');
		}

		const service = table.service(chooseTarget(route, this._options.fleet.random.next()))!;
		return {route, service, tenant};
	}

	/** Takes the request's cost from the tenant's rate. A request that costs more than the burst takes the whole burst. */
	private async _acquire({caller, requestId}: ForwardCall, tenant: ForwardTenant | undefined, req: IncomingMessage): Promise<Acquisition | undefined> {
		const {access, logger} = this._options;
		const limit = tenant && access.view?.configuration.tenants[tenant.name];
		if (!tenant || !limit) {
			return undefined;
		}

		const {prompt} = caller;
		const tokens = prompt ? prompt.promptTokens + prompt.maxOutputTokens : tenant.defaultCost;
		const cost = Math.min(limit.burst, tenant.unit === 'tokens' ? tokens : 1);
		const result = await access.acquire(tenant.name, cost, allowanceWaitMs);
		if (result.ok) {
			return result.acquisition;
		}

		logger.log('info', 'request not within its tenant\'s rate', {
			requestId, tenant: tenant.name, cost, rate: limit.rate, burst: limit.burst, code: result.code, method: req.method,
		});
		if (result.code === 'control-unreachable') {
			throw new ForwardRefusal(503, 'the tenant\'s rate cannot be confirmed', confirmedAfterMs(this._options.fleet.random.next(), result.retryAfterMs));
		}

		throw new ForwardRefusal(429, 'the tenant has used up its rate', result.retryAfterMs ?? rateRetryMs);
	}

	private _settle(acquisition: Acquisition | undefined, mayHaveRun: boolean): void {
		if (acquisition) {
			this._options.access.settle(acquisition, mayHaveRun ? acquisition.tokens : 0);
		}
	}

	private _logEnd({exchange, requestId, route, tenant, service}: ForwardCall, {sends, outcome, firstEventMs, longestGapMs}: ForwardResult, version: number): void {
		const {logger, metrics, clock} = this._options;
		const elapsedMs = Math.round(clock.nowMs() - exchange.startedAtMs);
		const status = exchange.outcome?.status;
		metrics.count('forward_requests_total', {route: route.name, status: String(status ?? 0)});
		metrics.observe('forward_request_ms', elapsedMs, {route: route.name});
		logger.log('info', 'request ended', {
			requestId, route: route.name, service: service.name, tenant, version, status, outcome, sends, elapsedMs, firstEventMs, longestGapMs,
		});
	}
}

/** The refusal for a request that could not be read. */
export function refusalOf(err: ProblemError): ForwardRefusal {
	return new ForwardRefusal(problems[err.code].status, err.message, err.options.retryAfterMs);
}
