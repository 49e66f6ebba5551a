import Emittery from 'emittery';
import type {SharedConfiguration} from '../../../common/configuration/types.js';
import {sharedConfigurationSchema} from '../../../common/configuration/shared.js';
import {NullLogger} from '../../../common/core/log.js';
import type {
	AccessEvents, AcquireResult, Acquisition, AllowanceResult, Identity, View,
} from '../../../common/services/access-service.js';
import {AccessService} from '../../../common/services/access-service.js';
import type {ClaimOutcome, ClaimRequest, ClaimResult} from '../../../common/services/claim-service.js';
import {ClaimService} from '../../../common/services/claim-service.js';
import type {EntryPointAnswer} from '../../../common/services/entry-point-service.js';
import {EntryPointService} from '../../../common/services/entry-point-service.js';
import type {MetricLabels} from '../../../common/services/metrics.js';
import {Metrics} from '../../../common/services/metrics.js';
import type {
	DecodeFailure, PlaceReply, PlaceRequest, Progress,
} from '../../../common/services/scheduler-client.js';
import {SchedulerClient} from '../../../common/services/scheduler-client.js';
import {MonotonicClock} from '../../clock.js';
import type {EntryServices} from '../types.js';

/** In-memory double of the shared state's view; tests change its fields. */
export class FakeAccess extends AccessService {
	override readonly events = new Emittery<AccessEvents>();
	readonly keys = new Map<string, Identity>([['key-a', {tenant: 'tenant-a', keyId: 'id-a'}], ['key-b', {tenant: 'tenant-b', keyId: 'id-b'}]]);
	readonly settlements: Array<{tenant: string; acquired: number; used: number}> = [];
	isConfirmed = true;
	acquisitions = 0;
	/** Bounds on waiting, in milliseconds, of the acquisitions so far. */
	readonly maxWaitsMs: number[] = [];
	nextAllowance: Promise<AllowanceResult> = Promise.resolve({ok: true});
	private _view: View | undefined;

	override get view(): View | undefined {
		return this._view;
	}

	override isFresh(): boolean {
		return this.isConfirmed;
	}

	override authenticate(key: string): Identity | undefined {
		return this.keys.get(key);
	}

	override async acquire(tenant: string, tokens: number, maxWaitMs: number): Promise<AcquireResult> {
		const id = this.acquisitions++;
		this.maxWaitsMs.push(maxWaitMs);
		const result = await this.nextAllowance;
		return result.ok ? {ok: true, acquisition: {id, tenant, tokens}} : result;
	}

	override settle({tenant, tokens}: Acquisition, used: number): void {
		this.settlements.push({tenant, acquired: tokens, used});
	}

	async setConfiguration(configuration: SharedConfiguration, drainedUpstreams: readonly string[] = []): Promise<void> {
		const revision = (this._view?.revision ?? 0) + 1;
		this._view = {
			revision, version: revision, configuration, drainedUpstreams: new Set(drainedUpstreams), drainedVms: new Set(), leases: new Map(),
		};
		await this.events.emit('onViewChanged', this._view);
	}

	async withdraw(key: string): Promise<void> {
		const identity = this.keys.get(key)!;
		this.keys.delete(key);
		await this.events.emit('onKeyWithdrawn', identity.keyId);
	}
}

/** Claims in one process's memory. */
export class FakeClaims extends ClaimService {
	readonly settled: ClaimOutcome[] = [];
	isAvailable = true;
	private readonly _claims = new Map<string, {digest: string; outcome?: ClaimOutcome}>();

	override async open({tenant, service, idempotencyKey, requestDigest}: ClaimRequest): Promise<ClaimResult> {
		if (!this.isAvailable) {
			return {kind: 'unavailable'};
		}

		const claimId = [tenant, service, idempotencyKey].join('/');
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

	override async settle(claimId: string, outcome: ClaimOutcome): Promise<void> {
		this._claims.get(claimId)!.outcome = outcome;
		this.settled.push(outcome);
	}
}

/** Places every request on the first engines of the list and moves failed transfers along it. */
export class FakeScheduler extends SchedulerClient {
	readonly places: PlaceRequest[] = [];
	readonly progresses: Progress[] = [];
	prefill = 'prefill-1';
	decodes = ['decode-1', 'decode-2'];
	refusal: PlaceReply | undefined;
	/** When set, placements wait for it. */
	gate: Promise<void> | undefined;
	private _next = 1;

	override async place(req: PlaceRequest): Promise<PlaceReply> {
		this.places.push(req);
		await this.gate;
		return this.refusal ?? this._placed(this.decodes[0]!);
	}

	override async replaceDecode(_reservation: string, {upstream: failedUpstream}: DecodeFailure): Promise<PlaceReply> {
		const other = this.decodes.find(name => name !== failedUpstream);
		return other === undefined ? {kind: 'refused', code: 'no-upstream', retryAfterMs: 100} : this._placed(other);
	}

	override progress(progress: Progress): void {
		this.progresses.push(progress);
	}

	private _placed(decode: string): PlaceReply {
		const placement = {
			reservation: `r-${this._next++}`, epoch: 1, prefill: this.prefill, decode,
		};
		return {kind: 'placed', placement};
	}
}

/** Names one entry point. */
export class FakeEntryPoints extends EntryPointService {
	validForMs = 100;

	override answer(): EntryPointAnswer {
		return {entryPoints: [{address: '127.0.0.1:1', zone: 'z1'}], validForMs: this.validForMs};
	}
}

/** Sums counters by name, whatever their labels. */
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

/** A complete set of doubles. */
export function fakeServices() {
	return {
		access: new FakeAccess(),
		claims: new FakeClaims(),
		scheduler: new FakeScheduler(),
		entryPoints: new FakeEntryPoints(),
		metrics: new CountingMetrics(),
		logger: new NullLogger(),
		clock: new MonotonicClock(),
	} satisfies EntryServices;
}

type TestUpstream = {readonly address: string; readonly role: 'prefill' | 'decode' | 'plain'; readonly service?: string};

/** A model service `briefs` and plain services `desk` and `other`, with the given upstreams. */
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

