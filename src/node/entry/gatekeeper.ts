import type {Acquisition, Identity, View} from '../../common/services/access-service.js';
import type {Release} from '../../common/requests/concurrency.js';
import type {Profile} from '../../common/configuration/types.js';
import type {ServiceGuards, UpstreamRegistry} from '../upstreams/upstream-registry.js';
import type {Exchange} from './exchange.js';
import {bearerKeyOf} from './headers.js';
import type {ProblemOptions} from './problems.js';
import {ProblemError} from './problems.js';
import type {Sessions} from './sessions.js';
import type {EntryServices} from './types.js';

/** Tenant of requests on open routes; no configured tenant can have this name. */
export const openTenant = '(open)';

/** A request's bound on all waiting before it starts. */
export class WaitBudget {
	private readonly _startedAtMs: number;

	constructor(private readonly _services: EntryServices, private readonly _boundMs: number) {
		this._startedAtMs = _services.clock.nowMs();
	}

	get leftMs(): number {
		return Math.max(0, this._boundMs - (this._services.clock.nowMs() - this._startedAtMs));
	}
}

/** Decides whether a request may run; every refusal is thrown as a `ProblemError` and means that nothing was sent. */
export class Gatekeeper {
	constructor(
		private readonly _services: EntryServices,
		private readonly _zone: string,
		private readonly _sessions: Sessions,
		private readonly _upstreams: UpstreamRegistry,
	) {}

	view(): View {
		const {view} = this._services.access;
		if (!view) {
			throw this.unreachable();
		}

		return view;
	}

	/** The key's tenant, under a view that a quorum confirmed recently. */
	authenticate(exchange: Exchange): Identity {
		const key = bearerKeyOf(exchange.req);
		if (key === undefined) {
			throw new ProblemError('missing-key');
		}

		if (!this._services.access.isFresh()) {
			throw this.unreachable();
		}

		const identity = this._services.access.authenticate(key);
		if (!identity) {
			throw new ProblemError('unknown-key');
		}

		exchange.identity = identity;
		this._sessions.identify(exchange);
		return identity;
	}

	/** Takes tokens from the tenant's allowance; undefined where nothing is counted. */
	async acquire(exchange: Exchange, tokens: number, maxWaitMs: number): Promise<Acquisition | undefined> {
		const tenant = exchange.identity?.tenant;
		if (tenant === undefined || tokens === 0) {
			return undefined;
		}

		const result = await this._services.access.acquire(tenant, tokens, maxWaitMs);
		if (!result.ok) {
			const options = result.retryAfterMs === undefined ? {} : {retryAfterMs: result.retryAfterMs};
			throw result.code === 'control-unreachable' ? this.unreachable(result.retryAfterMs) : new ProblemError(result.code, options);
		}

		return result.acquisition;
	}

	/** Returns what was acquired and not used. */
	settle(acquisition: Acquisition | undefined, used: number): void {
		if (acquisition) {
			this._services.access.settle(acquisition, used);
		}
	}

	/** Takes a place among the requests that the service runs at once, waiting as its profile allows. */
	async enter(exchange: Exchange, name: string, profile: Profile, wait: WaitBudget): Promise<{guards: ServiceGuards; leave: Release}> {
		const guards = this._upstreams.guards(name);
		if (!guards) {
			throw new ProblemError('unknown-service');
		}

		const boundMs = profile.strain === 'queue' ? wait.leftMs : 0;
		const leave = guards.concurrency.acquire() ?? await this._waitForPlace(exchange, guards, boundMs);
		if (!leave) {
			throw new ProblemError('overloaded', {run: 'not-run', detail: `the service "${name}" has no room at this entry point`});
		}

		return {guards, leave};
	}

	/** Waiting may have outlasted the caller, its key or the freshness of the view. */
	recheck(exchange: Exchange): void {
		if (exchange.stopReason !== undefined) {
			throw new ProblemError(exchange.stopReason === 'key-withdrawn' ? 'key-withdrawn' : 'timeout', {run: 'not-run'});
		}

		if (exchange.identity && !this._services.access.isFresh()) {
			throw this.unreachable();
		}
	}

	/** Names other entry points, whose connection to the control VMs may work. */
	unreachable(retryAfterMs?: number): ProblemError {
		const {entryPoints} = this._services.entryPoints.answer(undefined, this._zone);
		const options: ProblemOptions = {run: 'not-run', entryPoints, ...(retryAfterMs !== undefined && {retryAfterMs})};
		return new ProblemError('control-unreachable', options);
	}

	private async _waitForPlace(exchange: Exchange, {concurrency}: ServiceGuards, boundMs: number): Promise<Release | undefined> {
		if (boundMs === 0) {
			return undefined;
		}

		return new Promise(resolve => {
			const cancel = concurrency.enqueue(exchange.identity?.tenant ?? openTenant, release => {
				clearTimeout(timer);
				resolve(release);
			});
			const giveUp = () => {
				clearTimeout(timer);
				cancel?.();
				resolve(undefined);
			};

			const timer = setTimeout(giveUp, cancel ? boundMs : 0);
			exchange.onStop(giveUp);
		});
	}
}
