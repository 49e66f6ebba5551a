import type {Acquisition, KeyIdentity, SharedStateView} from '../../common/services/access-service.js';
import type {ReleaseSlot} from '../../common/requests/concurrency-limit.js';
import type {Profile} from '../../common/configuration/types.js';
import type {ServiceLimits, UpstreamRegistry} from '../upstreams/upstream-registry.js';
import type {Exchange} from './exchange.js';
import {readBearerKey} from './headers.js';
import type {ProblemOptions} from './problems.js';
import {ProblemError} from './problems.js';
import type {ActiveRequests} from './active-requests.js';
import type {EntryServices} from './types.js';

/** Customer name that stands for callers of open routes, which need no key. No configured customer can have this name. */
export const openRouteCustomer = '(open)';

/** Tracks how much longer a request may wait before it starts. */
export class WaitBudget {
	private readonly _startedAtMs: number;

	constructor(private readonly _services: EntryServices, private readonly _maxWaitMs: number) {
		this._startedAtMs = _services.clock.nowMs();
	}

	/** Time that the request may still wait, in milliseconds; 0 if the time is used up. */
	get remainingMs(): number {
		return Math.max(0, this._maxWaitMs - (this._services.clock.nowMs() - this._startedAtMs));
	}
}

/** Decides whether a request may run. Refusals are thrown as `ProblemError`, before anything is sent to an upstream. */
export class AdmissionController {
	constructor(
		private readonly _services: EntryServices,
		private readonly _zone: string,
		private readonly _activeRequests: ActiveRequests,
		private readonly _upstreams: UpstreamRegistry,
	) {}

	/** Returns the latest view of the shared state; throws `control-unreachable` if there is none yet. */
	requireView(): SharedStateView {
		const {view} = this._services.access;
		if (!view) {
			throw this.controlUnreachableError();
		}

		return view;
	}

	/**
	Returns the identity (customer and key id) of the request's key and records it in the exchange. Throws if the key is missing
	or unknown, or if no quorum has confirmed the view recently, since the key may have been withdrawn in the meantime.
	*/
	authenticate(exchange: Exchange): KeyIdentity {
		const key = readBearerKey(exchange.req);
		if (key === undefined) {
			throw new ProblemError('missing-key');
		}

		if (!this._services.access.isFresh()) {
			throw this.controlUnreachableError();
		}

		const identity = this._services.access.authenticate(key);
		if (!identity) {
			throw new ProblemError('unknown-key');
		}

		exchange.identity = identity;
		this._activeRequests.recordKey(exchange);
		return identity;
	}

	/** Takes `tokens` from the customer's rate limit, waiting up to `maxWaitMs`; throws if they are not granted. Returns undefined for an open route or a request without cost. */
	async acquireTokens(exchange: Exchange, tokens: number, maxWaitMs: number): Promise<Acquisition | undefined> {
		const customer = exchange.identity?.tenant;
		if (customer === undefined || tokens === 0) {
			return undefined;
		}

		const result = await this._services.access.acquire(customer, tokens, maxWaitMs);
		if (!result.ok) {
			const options = result.retryAfterMs === undefined ? {} : {retryAfterMs: result.retryAfterMs};
			throw result.code === 'control-unreachable' ? this.controlUnreachableError(result.retryAfterMs) : new ProblemError(result.code, options);
		}

		return result.acquisition;
	}

	/** Refunds the acquired rate tokens that were not used; does nothing without an acquisition. */
	settleTokens(acquisition: Acquisition | undefined, used: number): void {
		if (acquisition) {
			this._services.access.settle(acquisition, used);
		}
	}

	/** Takes one of the service's concurrency slots, waiting for one if the profile allows it; throws `overloaded` if no slot becomes free in time. */
	async acquireSlot(exchange: Exchange, serviceName: string, profile: Profile, waitBudget: WaitBudget): Promise<{serviceLimits: ServiceLimits; release: ReleaseSlot}> {
		const serviceLimits = this._upstreams.limitsOf(serviceName);
		if (!serviceLimits) {
			throw new ProblemError('unknown-service');
		}

		const maxWaitMs = profile.strain === 'queue' ? waitBudget.remainingMs : 0;
		const release = serviceLimits.concurrency.tryAcquire() ?? await this._waitForSlot(exchange, serviceLimits, maxWaitMs);
		if (!release) {
			throw new ProblemError('overloaded', {run: 'not-run', detail: `the service "${serviceName}" has no room at this entry point`});
		}

		return {serviceLimits, release};
	}

	/** Throws if the request was stopped while it waited, for instance because its key was withdrawn, or if the view became stale. */
	assertMayStart(exchange: Exchange): void {
		if (exchange.stopReason !== undefined) {
			throw new ProblemError(exchange.stopReason === 'key-withdrawn' ? 'key-withdrawn' : 'timeout', {run: 'not-run'});
		}

		if (exchange.identity && !this._services.access.isFresh()) {
			throw this.controlUnreachableError();
		}
	}

	/** Creates the refusal for a missing or stale view. The refusal lists other entry points, since those may still reach the control VMs. */
	controlUnreachableError(retryAfterMs?: number): ProblemError {
		const {entryPoints} = this._services.entryPoints.chooseEntryPoints(undefined, this._zone);
		const options: ProblemOptions = {run: 'not-run', entryPoints, ...(retryAfterMs !== undefined && {retryAfterMs})};
		return new ProblemError('control-unreachable', options);
	}

	private async _waitForSlot(exchange: Exchange, {concurrency}: ServiceLimits, maxWaitMs: number): Promise<ReleaseSlot | undefined> {
		if (maxWaitMs === 0) {
			return undefined;
		}

		return new Promise(resolve => {
			const cancel = concurrency.enqueue(exchange.identity?.tenant ?? openRouteCustomer, release => {
				clearTimeout(timer);
				resolve(release);
			});
			const stopWaiting = () => {
				clearTimeout(timer);
				cancel?.();
				resolve(undefined);
			};

			const timer = setTimeout(stopWaiting, cancel ? maxWaitMs : 0);
			exchange.onStop(stopWaiting);
		});
	}
}
