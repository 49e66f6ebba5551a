import type {Clock} from '../../common/core/clock.js';
import type {Disposable} from '../../common/core/disposable.js';
import type {Logger} from '../../common/core/log.js';
import type {SeededRandom} from '../../common/core/random.js';
import type {Profile, SharedConfiguration, Upstream} from '../../common/configuration/types.js';
import type {UpstreamCandidate, UpstreamChoice} from '../../common/requests/load-balancing.js';
import {chooseUpstream} from '../../common/requests/load-balancing.js';
import {ConcurrencyLimit} from '../../common/requests/concurrency-limit.js';
import {OutlierEjection} from '../../common/requests/outlier-ejection.js';
import {RetryBudget} from '../../common/requests/retry-budget.js';
import type {Metrics} from '../../common/services/metrics.js';
import {CallError} from './call-error.js';
import {EngineAdapter} from './engine-adapter.js';
import {PlainAdapter} from './plain-adapter.js';

/** Interval at which ejected upstreams are checked for due probes, in milliseconds. */
const probeIntervalMs = 250;
/** Timeout of one probe, in milliseconds. */
const probeTimeoutMs = 1000;
/** Timeout for finding out whether an upstream that broke an attempt off can still be reached, in milliseconds. */
const reachabilityTimeoutMs = 500;
/** Largest number of cancels that are pending at the same time. Further cancels are not sent; the scheduler frees the requests in question when it reclaims requests by owner. */
const maxPendingCancels = 10_000;

/** Largest number of engines whose adapters are kept after their removal from the configuration. The engine that was removed earliest is dropped first. */
const maxRetiredEngines = 64;

/** Server of a plain service, with its concurrency limit and outlier ejection. */
export type PlainUpstream = {
	readonly adapter: PlainAdapter;
	readonly service: string;
	readonly concurrency: ConcurrencyLimit;
	readonly ejection: OutlierEjection;
	/** Whether a probe is in progress. */
	isProbing: boolean;
};

/** Concurrency limit and retry budget of one service. Services share neither, so that faults of one do not affect the others. */
export type ServiceLimits = {
	readonly concurrency: ConcurrencyLimit;
	readonly retries: RetryBudget;
};

export type UpstreamRegistryOptions = {
	/** Availability zone of this process, whose upstreams are preferred. */
	readonly zone: string;
	readonly random: SeededRandom;
	readonly clock: Clock;
	readonly metrics: Metrics;
	readonly logger: Logger;
};

/** Holds the adapters of all upstreams in the shared configuration. */
export class UpstreamRegistry implements Disposable {
	private readonly _engines = new Map<string, EngineAdapter>();
	private readonly _plainUpstreams = new Map<string, PlainUpstream>();
	private readonly _serviceLimits = new Map<string, ServiceLimits>();
	/** Engines removed from the configuration; their running requests may still have to be resumed or cancelled. */
	private readonly _retiredEngines = new Map<string, EngineAdapter>();
	private _drainedNames: ReadonlySet<string> = new Set();
	private _leavingNames: ReadonlySet<string> = new Set();
	private readonly _pendingCancels = new Set<Promise<void>>();
	private readonly _probeTimer: NodeJS.Timeout;

	constructor(private readonly _options: UpstreamRegistryOptions) {
		this._probeTimer = setInterval(() => {
			this._probeEjected();
		}, probeIntervalMs);
		this._probeTimer.unref();
	}

	/** Applies the shared configuration: opens added upstreams and closes removed ones once their exchanges have ended. `drained` names the upstreams that get no new requests. */
	update(cfg: SharedConfiguration, drained: ReadonlySet<string>): void {
		this._drainedNames = drained;
		for (const [name, service] of Object.entries(cfg.services)) {
			this._updateService(name, cfg.profiles[service.profile]!);
		}

		deleteMissing(this._serviceLimits, cfg.services);
		for (const [name, upstream] of Object.entries(cfg.upstreams)) {
			this._updateUpstream(name, upstream, cfg);
		}

		for (const [name, adapter] of this._engines) {
			if (!isEngine(cfg.upstreams[name])) {
				this._retireEngine(name, adapter);
			}
		}

		for (const [name, {adapter}] of this._plainUpstreams) {
			if (cfg.upstreams[name]?.role !== 'plain') {
				adapter.dispose();
				this._plainUpstreams.delete(name);
			}
		}
	}

	/** Sets the plain upstreams that the platform reports as leaving; they get no new requests. */
	setLeavingUpstreams(names: ReadonlySet<string>): void {
		this._leavingNames = names;
	}

	/** Returns the adapter of a current or recently removed engine; throws `CallError` if there is none. */
	getEngine(name: string): EngineAdapter {
		const adapter = this._engines.get(name) ?? this._retiredEngines.get(name);
		if (!adapter) {
			throw new CallError('unreachable', false, `engine "${name}" is not configured`);
		}

		return adapter;
	}

	/** Returns a plain upstream; throws `CallError` if the configuration has none of this name. */
	getPlainUpstream(name: string): PlainUpstream {
		const upstream = this._plainUpstreams.get(name);
		if (!upstream) {
			throw new CallError('unreachable', false, `plain upstream "${name}" is not configured`);
		}

		return upstream;
	}

	/** Returns the concurrency limit and retry budget of a service; undefined if the service is not configured. */
	limitsOf(service: string): ServiceLimits | undefined {
		return this._serviceLimits.get(service);
	}

	/** Chooses a server of a plain service for one attempt. `limit` is the concurrency limit per server; servers in `tried` are used only if no other is available. */
	choosePlainUpstream(service: string, limit: number, tried: ReadonlySet<string>): UpstreamChoice {
		const candidates: UpstreamCandidate[] = [];
		for (const [name, upstream] of this._plainUpstreams) {
			if (upstream.service === service) {
				const isUsable = !upstream.ejection.isEjected && !this._drainedNames.has(name) && !this._leavingNames.has(name);
				candidates.push({
					name, zone: upstream.adapter.zone, inFlight: upstream.concurrency.inFlight, maxInFlight: limit, isUsable,
				});
			}
		}

		return chooseUpstream(candidates, this._options.zone, tried, this._options.random);
	}

	/** Records the result of an exchange with a plain upstream; consecutive failures eject it. */
	recordResult(name: string, isHealthy: boolean): void {
		const upstream = this._plainUpstreams.get(name);
		if (!upstream) {
			return;
		}

		if (isHealthy) {
			upstream.ejection.recordSuccess();
		} else if (upstream.ejection.recordFailure(this._options.clock.nowMs())) {
			this._options.metrics.count('upstream_ejections_total', {upstream: name});
			this._options.logger.log('warn', 'upstream ejected', {upstream: name});
		}
	}

	/** Returns whether an upstream that has ended an exchange refuses connections. Each call makes its own check, since one that began earlier may have been passed before the upstream went. */
	async isLost(name: string): Promise<boolean> {
		const adapter = this._engines.get(name) ?? this._plainUpstreams.get(name)?.adapter;
		return adapter !== undefined && !await adapter.isReachable(reachabilityTimeoutMs);
	}

	/** Cancels a request on an engine in the background; `waitForCancels` waits for it. `mayBeInFlight` is true if a call for the request may still be in flight. */
	cancel(name: string, requestId: string, mayBeInFlight: boolean): void {
		const adapter = this._engines.get(name) ?? this._retiredEngines.get(name);
		if (!adapter || this._pendingCancels.size >= maxPendingCancels) {
			this._options.metrics.count('cancels_unacknowledged_total', {upstream: name});
			return;
		}

		const cancel = this._cancelAndCount(adapter, requestId, mayBeInFlight);
		this._pendingCancels.add(cancel);
		void (async () => {
			await cancel;
			this._pendingCancels.delete(cancel);
		})();
	}

	/** Returns the state of services and upstreams, for the operator's dump. */
	dumpState() {
		return {
			pendingCancels: this._pendingCancels.size,
			services: [...this._serviceLimits].map(([name, {concurrency}]) => ({name, inFlight: concurrency.inFlight, waiting: concurrency.waitingCount})),
			plainUpstreams: [...this._plainUpstreams].map(([name, {concurrency, ejection}]) => ({name, inFlight: concurrency.inFlight, isEjected: ejection.isEjected})),
			engines: [...this._engines].map(([name, {busy}]) => ({name, busy})),
		};
	}

	/** Resolves when no cancel is pending. */
	async waitForCancels(): Promise<void> {
		while (this._pendingCancels.size > 0) {
			await Promise.all(this._pendingCancels);
		}
	}

	/** Stops probing, closes all connections and aborts their exchanges. */
	dispose(): void {
		clearInterval(this._probeTimer);
		for (const adapter of [...this._engines.values(), ...this._retiredEngines.values()]) {
			adapter.destroy();
		}

		for (const {adapter} of this._plainUpstreams.values()) {
			adapter.destroy();
		}
	}

	/** Cancels a request and counts whether the engine acknowledged it. */
	private async _cancelAndCount(adapter: EngineAdapter, requestId: string, mayBeInFlight: boolean): Promise<void> {
		const isAcknowledged = await adapter.cancel(requestId, mayBeInFlight);
		this._options.metrics.count(isAcknowledged ? 'cancels_acknowledged_total' : 'cancels_unacknowledged_total', {upstream: adapter.name});
	}

	/** Closes an engine that was removed from the configuration and keeps its adapter for running requests, up to `maxRetiredEngines`. */
	private _retireEngine(name: string, adapter: EngineAdapter): void {
		adapter.dispose();
		this._engines.delete(name);
		this._retiredEngines.delete(name);
		this._retiredEngines.set(name, adapter);
		const [oldest] = this._retiredEngines.keys();
		if (this._retiredEngines.size > maxRetiredEngines) {
			this._retiredEngines.delete(oldest!);
		}
	}

	private _updateService(name: string, profile: Profile): void {
		const serviceLimits = this._serviceLimits.get(name);
		if (serviceLimits) {
			serviceLimits.concurrency.setLimit(profile.concurrency);
			serviceLimits.retries.setRetryShare(profile.retryBudget);
		} else {
			this._serviceLimits.set(name, {concurrency: new ConcurrencyLimit(profile.concurrency), retries: new RetryBudget(profile.retryBudget)});
		}
	}

	private _updateUpstream(name: string, upstream: Upstream, cfg: SharedConfiguration): void {
		const existing = this._plainUpstreams.get(name) ?? this._engines.get(name);
		const adapter = existing && 'adapter' in existing ? existing.adapter : existing;
		const isSameService = upstream.role === 'plain' ? this._plainUpstreams.get(name)?.service === upstream.service : this._engines.has(name);
		const isUnchanged = isSameService && adapter?.address === upstream.address && adapter.zone === upstream.zone;
		if (!isUnchanged) {
			if (adapter instanceof EngineAdapter) {
				this._retireEngine(name, adapter);
			}

			adapter?.dispose();
			this._plainUpstreams.delete(name);
			this._openUpstream(name, upstream);
		}

		const profile = cfg.profiles[cfg.services[upstream.service]!.profile]!;
		this._plainUpstreams.get(name)?.concurrency.setLimit(profile.upstreamConcurrency);
	}

	private _openUpstream(name: string, {address, zone, role, service}: Upstream): void {
		const {clock, logger} = this._options;
		if (role !== 'plain') {
			this._engines.set(name, new EngineAdapter({name, address, zone}, clock, logger));
			return;
		}

		this._plainUpstreams.set(name, {
			adapter: new PlainAdapter({name, address, zone}, clock, logger),
			service,
			concurrency: new ConcurrencyLimit(1),
			ejection: new OutlierEjection(),
			isProbing: false,
		});
	}

	private _probeEjected(): void {
		const nowMs = this._options.clock.nowMs();
		for (const [name, upstream] of this._plainUpstreams) {
			if (upstream.ejection.isProbeDue(nowMs) && !upstream.isProbing) {
				void this._probeUpstream(name, upstream);
			}
		}
	}

	private async _probeUpstream(name: string, upstream: PlainUpstream): Promise<void> {
		upstream.isProbing = true;
		const isHealthy = await upstream.adapter.probe(probeTimeoutMs);
		upstream.isProbing = false;
		if (upstream.ejection.recordProbe(isHealthy, this._options.clock.nowMs())) {
			this._options.logger.log('info', 'upstream readmitted', {upstream: name});
		}
	}
}

function isEngine(upstream: Upstream | undefined): boolean {
	return upstream !== undefined && upstream.role !== 'plain';
}

function deleteMissing(map: Map<string, unknown>, wanted: Readonly<Record<string, unknown>>): void {
	for (const name of map.keys()) {
		if (!(name in wanted)) {
			map.delete(name);
		}
	}
}
