import type {Clock} from '../../common/core/clock.js';
import type {Disposable} from '../../common/core/disposable.js';
import type {Logger} from '../../common/core/log.js';
import type {SeededRandom} from '../../common/core/random.js';
import type {Profile, SharedConfiguration, Upstream} from '../../common/configuration/types.js';
import type {Candidate, Choice} from '../../common/requests/choice.js';
import {chooseUpstream} from '../../common/requests/choice.js';
import {ConcurrencyLimit} from '../../common/requests/concurrency.js';
import {OutlierEjection} from '../../common/requests/ejection.js';
import {RetryBudget} from '../../common/requests/retry-budget.js';
import type {Metrics} from '../../common/services/metrics.js';
import {CallError} from './call-error.js';
import {EngineAdapter} from './engine-adapter.js';
import {PlainAdapter} from './plain-adapter.js';

/** How often ejected upstreams are looked at. */
const probeEveryMs = 250;
const probeTimeoutMs = 1000;
/** Cancels under way at once; beyond, the scheduler's reclamation by owner frees the requests. */
const maxPendingCancels = 10_000;

/** Removed engines kept; later removals displace earlier ones. */
const maxRetired = 64;

/** A server of a plain service with what contains its faults. */
export type PlainUpstream = {
	readonly adapter: PlainAdapter;
	readonly service: string;
	readonly concurrency: ConcurrencyLimit;
	readonly ejection: OutlierEjection;
	isProbing: boolean;
};

/** What contains the faults of one service; nothing of it is shared with another service. */
export type ServiceGuards = {
	readonly concurrency: ConcurrencyLimit;
	readonly retries: RetryBudget;
};

export type RegistryOptions = {
	readonly zone: string;
	readonly random: SeededRandom;
	readonly clock: Clock;
	readonly metrics: Metrics;
	readonly logger: Logger;
};

/** The adapters of every upstream in the shared configuration. */
export class UpstreamRegistry implements Disposable {
	private readonly _engines = new Map<string, EngineAdapter>();
	private readonly _plain = new Map<string, PlainUpstream>();
	private readonly _services = new Map<string, ServiceGuards>();
	/** Removed engines; requests that run there may still have to be resumed or cancelled. */
	private readonly _retired = new Map<string, EngineAdapter>();
	private _drained: ReadonlySet<string> = new Set();
	private _leaving: ReadonlySet<string> = new Set();
	private readonly _cancels = new Set<Promise<void>>();
	private readonly _prober: NodeJS.Timeout;

	constructor(private readonly _options: RegistryOptions) {
		this._prober = setInterval(() => {
			this._probeEjected();
		}, probeEveryMs);
		this._prober.unref();
	}

	/** Follows the configuration: opens what is new, lets what is gone end. */
	update(cfg: SharedConfiguration, drained: ReadonlySet<string>): void {
		this._drained = drained;
		for (const [name, service] of Object.entries(cfg.services)) {
			this._updateService(name, cfg.profiles[service.profile]!);
		}

		dropMissing(this._services, cfg.services);
		for (const [name, upstream] of Object.entries(cfg.upstreams)) {
			this._updateUpstream(name, upstream, cfg);
		}

		for (const [name, adapter] of this._engines) {
			if (!isEngine(cfg.upstreams[name])) {
				this._retire(name, adapter);
			}
		}

		for (const [name, {adapter}] of this._plain) {
			if (cfg.upstreams[name]?.role !== 'plain') {
				adapter.dispose();
				this._plain.delete(name);
			}
		}
	}

	/** Plain upstreams that leave according to the platform. */
	setLeaving(names: ReadonlySet<string>): void {
		this._leaving = names;
	}

	/** Throws `CallError` if the configuration has and had no such engine. */
	engine(name: string): EngineAdapter {
		const adapter = this._engines.get(name) ?? this._retired.get(name);
		if (!adapter) {
			throw new CallError('unreachable', false, `there is no engine "${name}"`);
		}

		return adapter;
	}

	/** Throws `CallError` if the configuration has no such upstream. */
	plain(name: string): PlainUpstream {
		const upstream = this._plain.get(name);
		if (!upstream) {
			throw new CallError('unreachable', false, `there is no upstream "${name}"`);
		}

		return upstream;
	}

	guards(service: string): ServiceGuards | undefined {
		return this._services.get(service);
	}

	/** Picks a server of a plain service for one attempt. */
	choose(service: string, limit: number, tried: ReadonlySet<string>): Choice {
		const candidates: Candidate[] = [];
		for (const [name, upstream] of this._plain) {
			if (upstream.service === service) {
				const isUsable = !upstream.ejection.isEjected && !this._drained.has(name) && !this._leaving.has(name);
				candidates.push({
					name, zone: upstream.adapter.zone, inFlight: upstream.concurrency.inFlight, limit, isUsable,
				});
			}
		}

		return chooseUpstream(candidates, this._options.zone, tried, this._options.random);
	}

	/** Counts how an exchange with a plain upstream went; several failures in a row eject it. */
	record(name: string, isHealthy: boolean): void {
		const upstream = this._plain.get(name);
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

	/** Cancels a request on an engine in the background; `settled` waits for it. */
	cancel(name: string, requestId: string, inDoubt: boolean): void {
		const adapter = this._engines.get(name) ?? this._retired.get(name);
		if (!adapter || this._cancels.size >= maxPendingCancels) {
			this._options.metrics.count('cancels_unacknowledged_total', {upstream: name});
			return;
		}

		const cancel = this._cancel(adapter, requestId, inDoubt);
		this._cancels.add(cancel);
		void (async () => {
			await cancel;
			this._cancels.delete(cancel);
		})();
	}

	/** In-flight and waiting requests by service and by plain upstream, for the operator's dump. */
	state() {
		return {
			pendingCancels: this._cancels.size,
			services: [...this._services].map(([name, {concurrency}]) => ({name, inFlight: concurrency.inFlight, waiting: concurrency.waiting})),
			plainUpstreams: [...this._plain].map(([name, {concurrency, ejection}]) => ({name, inFlight: concurrency.inFlight, isEjected: ejection.isEjected})),
			engines: [...this._engines].map(([name, {busy}]) => ({name, busy})),
		};
	}

	/** Resolves when no cancel is under way. */
	async settled(): Promise<void> {
		while (this._cancels.size > 0) {
			await Promise.all(this._cancels);
		}
	}

	/** Ends every exchange. */
	dispose(): void {
		clearInterval(this._prober);
		for (const adapter of [...this._engines.values(), ...this._retired.values()]) {
			adapter.destroy();
		}

		for (const {adapter} of this._plain.values()) {
			adapter.destroy();
		}
	}

	private async _cancel(adapter: EngineAdapter, requestId: string, inDoubt: boolean): Promise<void> {
		const isAcknowledged = await adapter.cancel(requestId, inDoubt);
		this._options.metrics.count(isAcknowledged ? 'cancels_acknowledged_total' : 'cancels_unacknowledged_total', {upstream: adapter.name});
	}

	private _retire(name: string, adapter: EngineAdapter): void {
		adapter.dispose();
		this._engines.delete(name);
		this._retired.delete(name);
		this._retired.set(name, adapter);
		const [oldest] = this._retired.keys();
		if (this._retired.size > maxRetired) {
			this._retired.delete(oldest!);
		}
	}

	private _updateService(name: string, profile: Profile): void {
		const guards = this._services.get(name);
		if (guards) {
			guards.concurrency.setLimit(profile.concurrency);
			guards.retries.setShare(profile.retryBudget);
		} else {
			this._services.set(name, {concurrency: new ConcurrencyLimit(profile.concurrency), retries: new RetryBudget(profile.retryBudget)});
		}
	}

	private _updateUpstream(name: string, upstream: Upstream, cfg: SharedConfiguration): void {
		const existing = this._plain.get(name) ?? this._engines.get(name);
		const adapter = existing && 'adapter' in existing ? existing.adapter : existing;
		const isSameService = upstream.role === 'plain' ? this._plain.get(name)?.service === upstream.service : this._engines.has(name);
		const isSame = isSameService && adapter?.address === upstream.address && adapter.zone === upstream.zone;
		if (!isSame) {
			if (adapter instanceof EngineAdapter) {
				this._retire(name, adapter);
			}

			adapter?.dispose();
			this._plain.delete(name);
			this._open(name, upstream);
		}

		const profile = cfg.profiles[cfg.services[upstream.service]!.profile]!;
		this._plain.get(name)?.concurrency.setLimit(profile.upstreamConcurrency);
	}

	private _open(name: string, {address, zone, role, service}: Upstream): void {
		const {clock} = this._options;
		if (role !== 'plain') {
			this._engines.set(name, new EngineAdapter({name, address, zone}, clock));
			return;
		}

		this._plain.set(name, {
			adapter: new PlainAdapter({name, address, zone}, clock),
			service,
			concurrency: new ConcurrencyLimit(1),
			ejection: new OutlierEjection(),
			isProbing: false,
		});
	}

	private _probeEjected(): void {
		const nowMs = this._options.clock.nowMs();
		for (const [name, upstream] of this._plain) {
			if (upstream.ejection.isProbeDue(nowMs) && !upstream.isProbing) {
				void this._probe(name, upstream);
			}
		}
	}

	private async _probe(name: string, upstream: PlainUpstream): Promise<void> {
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

function dropMissing(map: Map<string, unknown>, kept: Readonly<Record<string, unknown>>): void {
	for (const name of map.keys()) {
		if (!(name in kept)) {
			map.delete(name);
		}
	}
}
