import Emittery from 'emittery';
import type {SharedConfiguration} from '../../../common/configuration/types.js';
import {sharedConfigurationSchema} from '../../../common/configuration/shared.js';
import {NullLogger} from '../../../common/core/log.js';
import type {
	AccessEvents, AcquireResult, Acquisition, AllowanceResult, KeyIdentity, SharedStateView,
} from '../../../common/services/access-service.js';
import {AccessService} from '../../../common/services/access-service.js';
import type {ClaimSettlement, ClaimRequest, ClaimResult} from '../../../common/services/claim-service.js';
import {ClaimService} from '../../../common/services/claim-service.js';
import type {EntryPointAnswer} from '../../../common/services/entry-point-service.js';
import {EntryPointService} from '../../../common/services/entry-point-service.js';
import type {MetricLabels} from '../../../common/services/metrics.js';
import {Metrics} from '../../../common/services/metrics.js';
import type {
	DecodeFailure, PlacementReply, PlacementRequest, Progress,
} from '../../../common/services/scheduler-client.js';
import {SchedulerClient} from '../../../common/services/scheduler-client.js';
import {SystemClock} from '../../clock.js';
import {RequestQuarantine} from '../../quarantine/request-quarantine.js';
import {InMemoryNetwork, InMemoryNetworkHub} from '../../scheduler/fixtures.js';
import type {EntryServices} from '../types.js';

/** In-memory fake of the access service; tests set its fields. */
export class FakeAccessService extends AccessService {
	override readonly events = new Emittery<AccessEvents>();
	readonly keys = new Map<string, KeyIdentity>([['key-a', {tenant: 'tenant-a', keyId: 'id-a'}], ['key-b', {tenant: 'tenant-b', keyId: 'id-b'}]]);
	readonly settlements: Array<{tenant: string; acquired: number; used: number}> = [];
	isViewFresh = true;
	acquisitionCount = 0;
	/** Maximum wait of each acquisition so far, in milliseconds. */
	readonly maxWaitsMs: number[] = [];
	nextAcquireResult: Promise<AllowanceResult> = Promise.resolve({ok: true});
	private _view: SharedStateView | undefined;

	override get view(): SharedStateView | undefined {
		return this._view;
	}

	override isFresh(): boolean {
		return this.isViewFresh;
	}

	override authenticate(key: string): KeyIdentity | undefined {
		return this.keys.get(key);
	}

	override async acquire(customer: string, tokens: number, maxWaitMs: number): Promise<AcquireResult> {
		const id = this.acquisitionCount++;
		this.maxWaitsMs.push(maxWaitMs);
		const result = await this.nextAcquireResult;
		return result.ok ? {ok: true, acquisition: {id, tenant: customer, tokens}} : result;
	}

	override settle({tenant: customer, tokens}: Acquisition, used: number): void {
		this.settlements.push({tenant: customer, acquired: tokens, used});
	}

	async setConfiguration(configuration: SharedConfiguration, drainedUpstreams: readonly string[] = []): Promise<void> {
		const revision = (this._view?.revision ?? 0) + 1;
		this._view = {
			revision, version: revision, configuration, drainedUpstreams: new Set(drainedUpstreams), drainedVms: new Set(), evacuatedZones: new Set(), leases: new Map(),
		};
		await this.events.emit('onViewChanged', this._view);
	}

	async withdraw(key: string): Promise<void> {
		const identity = this.keys.get(key)!;
		this.keys.delete(key);
		await this.events.emit('onKeyWithdrawn', identity.keyId);
	}
}

/** In-memory fake of the claim service. */
export class FakeClaimService extends ClaimService {
	readonly settledOutcomes: ClaimSettlement[] = [];
	isAvailable = true;
	private readonly _claims = new Map<string, {digest: string; outcome?: ClaimSettlement}>();

	override async claim({tenant: customer, service, idempotencyKey, requestDigest}: ClaimRequest): Promise<ClaimResult> {
		if (!this.isAvailable) {
			return {kind: 'unavailable'};
		}

		const claimId = [customer, service, idempotencyKey].join('/');
		const existing = this._claims.get(claimId);
		if (!existing || existing.outcome?.kind === 'not-run') {
			this._claims.set(claimId, {digest: requestDigest});
			return {kind: 'granted', claimId};
		}

		if (existing.digest !== requestDigest) {
			return {kind: 'conflict'};
		}

		return existing.outcome?.kind === 'answered' ? {kind: 'recorded', outcome: existing.outcome.outcome} : {kind: 'unknown'};
	}

	override async settle(claimId: string, outcome: ClaimSettlement): Promise<void> {
		this._claims.get(claimId)!.outcome = outcome;
		this.settledOutcomes.push(outcome);
	}
}

/** Fake scheduler that chooses the first decode engine of its list, and another decode engine of the list after a failed transfer. */
export class FakeSchedulerClient extends SchedulerClient {
	readonly placeRequests: PlacementRequest[] = [];
	readonly progressReports: Progress[] = [];
	prefillEngine = 'prefill-1';
	decodeEngines = ['decode-1', 'decode-2'];
	refusal: PlacementReply | undefined;
	/** If set, placements wait for this promise. */
	placementGate: Promise<void> | undefined;
	private _nextReservation = 1;

	override async place(req: PlacementRequest): Promise<PlacementReply> {
		this.placeRequests.push(req);
		await this.placementGate;
		return this.refusal ?? this._createPlacement(this.decodeEngines[0]!);
	}

	override async replaceDecode(_reservation: string, {upstream: failedUpstream}: DecodeFailure): Promise<PlacementReply> {
		const other = this.decodeEngines.find(name => name !== failedUpstream);
		return other === undefined ? {kind: 'refused', code: 'no-upstream', retryAfterMs: 100} : this._createPlacement(other);
	}

	override reportProgress(progress: Progress): void {
		this.progressReports.push(progress);
	}

	private _createPlacement(decode: string): PlacementReply {
		const placement = {
			reservation: `r-${this._nextReservation++}`, epoch: 1, prefill: this.prefillEngine, decode,
		};
		return {kind: 'placed', placement};
	}
}

/** Fake entry-point service that always lists the same entry point. */
export class FakeEntryPoints extends EntryPointService {
	validForMs = 100;

	override chooseEntryPoints(): EntryPointAnswer {
		return {entryPoints: [{address: '127.0.0.1:1', zone: 'z1'}], validForMs: this.validForMs};
	}
}

/** Sums counters by name, ignoring their labels. */
export class CountingMetrics extends Metrics {
	readonly counts = new Map<string, number>();

	override count(name: string, _labels?: MetricLabels, by = 1): void {
		this.counts.set(name, (this.counts.get(name) ?? 0) + by);
	}

	override gauge(name: string, value: number): void {
		this.counts.set(name, value);
	}

	override observe(name: string): void {
		this.count(name);
	}
}

/** Creates fakes of all services that the entry process depends on. */
export function createFakeServices() {
	const self = {vm: 'entry-1', incarnation: 7};
	const [metrics, logger, clock] = [new CountingMetrics(), new NullLogger(), new SystemClock()];
	return {
		access: new FakeAccessService(),
		claims: new FakeClaimService(),
		scheduler: new FakeSchedulerClient(),
		entryPoints: new FakeEntryPoints(),
		metrics,
		logger,
		clock,
		quarantine: new RequestQuarantine({
			self, network: new InMemoryNetwork(new InMemoryNetworkHub(), self), clock, logger, metrics, liveMembers: () => [],
		}),
	} satisfies EntryServices;
}

type TestUpstream = {readonly address: string; readonly role: 'prefill' | 'decode' | 'plain'; readonly service?: string};

/** Creates a configuration with the model service `briefs`, the plain services `desk` and `other`, and the given upstreams. */
export function testConfiguration(upstreams: Readonly<Record<string, TestUpstream>>, profile: Readonly<Record<string, unknown>> = {}): SharedConfiguration {
	const routes = [
		{methods: ['POST', 'GET'], path: '/entries', idempotent: false},
		{methods: ['GET', 'POST'], path: '/lookup', idempotent: true},
		{
			methods: ['GET'], path: '/public', idempotent: true, open: true,
		},
	];
	return sharedConfigurationSchema.parse({
		profiles: {test: profile, other: {}},
		tenants: {'tenant-a': {rate: '1000 tokens/s', burst: 1000}},
		services: {
			briefs: {kind: 'model', profile: 'test', model: 'brief-7b'},
			desk: {kind: 'plain', profile: 'test', routes},
			other: {kind: 'plain', profile: 'other', routes},
		},
		upstreams: Object.fromEntries(Object.entries(upstreams).map(([name, upstream]) => [name, {
			service: upstream.role === 'plain' ? 'desk' : 'briefs', zone: 'z1', ...upstream,
		}])),
	});
}

