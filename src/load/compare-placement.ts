/** Compares placement policies on an event-driven model of a pool; `npx tsx src/load/compare-placement.ts` prints the figures. */
import process from 'node:process';
import {pathToFileURL} from 'node:url';
import {SeededRandom} from '../common/core/random.js';
import type {VmIdentity} from '../common/core/types.js';
import {SlotSharePolicy, TwoChoicesPolicy, ShardSchedulerPolicy} from '../common/scheduler/placement-policy.js';
import type {PlacementPolicy} from '../common/scheduler/placement-policy.js';
import {createScheduler, reduceScheduler} from '../common/scheduler/scheduler.js';
import type {EngineSpec, SchedulerEvent, SchedulerReply} from '../common/scheduler/types.js';
import type {Placement, PlacementRequest, Progress} from '../common/services/scheduler-client.js';
import {ModelEngine} from './model-engine.js';
import {Timeline} from './timeline.js';

export type PolicyName = 'sampled' | 'leased' | 'shard';

export type Scenario = {
	readonly engines: number;
	readonly entryVms: number;
	/** Requests offered, as a share of what the decode slots can carry. */
	readonly load: number;
	readonly durationMs: number;
	readonly seed: number;
};

export type ComparisonResult = {
	readonly policy: PolicyName;
	readonly offered: number;
	/** Requests per second that met both latency targets. */
	readonly goodputPerSecond: number;
	/** Share of prefill time spent on requests that missed a target or failed. */
	readonly wastedPrefill: number;
	/** Lowest share of a tenant's requests that met both targets, without the tenant above its rate. */
	readonly worstTenant: number;
	readonly refused: number;
};

type Job = {
	readonly req: PlacementRequest;
	readonly outputTokens: number;
	readonly arrivedMs: number;
	readonly port: Port;
	prefillMs: number;
};

/** Latency targets, in milliseconds. */
const firstTokenMs = 800;
const betweenTokensMs = 69;
/** One way between processes, and between a process and an engine, in milliseconds. */
const hopMs = 0.5;
const loadEveryMs = 100;
const loadLagMs = 100;
const tickMs = 20;
/** How long an engine keeps a prefill result, in milliseconds. */
const resultHeldMs = 800;
const meanPrompt = 1500;
const meanOutput = 150;
/** Mean time that a request of this model holds its slot in a pool that is nearly full, in milliseconds. */
const meanHoldMs = 6200;
const prefixBlocks = 16;
const tenants = [
	{name: 'a', share: 0.4}, {name: 'b', share: 0.3}, {name: 'c', share: 0.1}, {name: 'd', share: 0.1}, {name: 'e', share: 0.1},
];
/** Sends more than its rate once the load exceeds the capacity. */
const floodingTenant = 'a';
const zones = ['z1', 'z2', 'z3'];

/** One scheduler reducer: that of an entry VM, or that of the shard. */
class Port {
	private readonly _state;
	private readonly _waiting = new Map<number, (reply: SchedulerReply) => void>();
	private _nextToken = 1;

	constructor(private readonly _timeline: Timeline, policy: PlacementPolicy, specs: readonly EngineSpec[], id: string) {
		this._state = createScheduler({policy, idPrefix: id, silentOwnerTimeoutMs: Infinity});
		this.send({type: 'scheduler/lease', epoch: 0, nowMs: 0});
		this.send({
			type: 'scheduler/configure', engines: specs, weights: new Map(), nowMs: 0,
		});
		_timeline.repeat(tickMs, nowMs => {
			this.send({type: 'scheduler/tick', nowMs});
		});
	}

	place(owner: VmIdentity, req: PlacementRequest, done: (reply: SchedulerReply) => void): void {
		const token = this._nextToken++;
		this._waiting.set(token, done);
		this.send({
			type: 'scheduler/place', token, owner, req, nowMs: this._timeline.nowMs,
		});
	}

	replace(owner: VmIdentity, {reservation, decode}: Placement, done: (reply: SchedulerReply) => void): void {
		const token = this._nextToken++;
		this._waiting.set(token, done);
		this.send({
			type: 'scheduler/replace', token, owner, reservation, failure: {upstream: decode, cause: 'full'}, nowMs: this._timeline.nowMs,
		});
	}

	progress(owner: VmIdentity, progress: Progress): void {
		this.send({
			type: 'scheduler/progress', owner, progress, nowMs: this._timeline.nowMs,
		});
	}

	send(event: SchedulerEvent): void {
		for (const effect of reduceScheduler(this._state, event)) {
			if (effect.type === 'reply') {
				const done = this._waiting.get(effect.token);
				this._waiting.delete(effect.token);
				this._timeline.after(hopMs, () => done?.(effect.body as SchedulerReply));
			}
		}
	}
}

/** A pool, its entry VMs and their callers under one policy. */
class PoolModel {
	readonly timeline = new Timeline();
	private readonly _random: SeededRandom;
	private readonly _engines = new Map<string, ModelEngine>();
	private readonly _ports: Port[];
	private readonly _offered = new Map<string, number>();
	private readonly _good = new Map<string, number>();
	private _refused = 0;
	private _usefulPrefillMs = 0;
	private _prefillMs = 0;

	constructor(private readonly _scenario: Scenario, private readonly _policy: PolicyName) {
		this._random = new SeededRandom(_scenario.seed);
		const specs = Array.from({length: _scenario.engines}, (_, i): EngineSpec => ({
			name: `engine-${i}`, zone: zones[Math.floor(i / 2) % 3]!, role: i % 2 === 0 ? 'prefill' : 'decode', slots: 20, cacheBlocks: 2000, linkRate: 1e10, isDrained: false,
		}));
		for (const spec of specs) {
			this._engines.set(spec.name, new ModelEngine(spec, this.timeline));
		}

		this._ports = this._makePorts(specs);
		this._pollLoad();
	}

	run(): ComparisonResult {
		const {durationMs, engines, load} = this._scenario;
		const perMs = load * (engines / 2) * 20 / meanHoldMs;
		for (let atMs = this._gap(perMs), id = 0; atMs < durationMs; atMs += this._gap(perMs), id++) {
			const job = this._makeJob(`r${id}`, atMs);
			this.timeline.at(atMs, () => {
				this._arrive(job);
			});
		}

		this.timeline.runUntil(durationMs + 30_000);
		return this._result();
	}

	private _gap(perMs: number): number {
		return -Math.log(1 - this._random.next()) / perMs;
	}

	private _makePorts(specs: readonly EngineSpec[]): Port[] {
		const count = this._policy === 'shard' ? 1 : this._scenario.entryVms;
		return Array.from({length: count}, (_, i) => {
			const policies = {
				sampled: () => new TwoChoicesPolicy(new SeededRandom(this._scenario.seed + i)),
				leased: () => new SlotSharePolicy(i, count),
				shard: () => new ShardSchedulerPolicy(),
			};
			return new Port(this.timeline, policies[this._policy](), specs, `${i}-`);
		});
	}

	/** Every scheduler reads the engines' lagging load and cache events. */
	private _pollLoad(): void {
		this.timeline.repeat(loadEveryMs, () => {
			for (const [name, engine] of this._engines) {
				const load = engine.load(loadLagMs);
				this.timeline.after(loadLagMs, nowMs => {
					for (const port of this._ports) {
						port.send({
							type: 'scheduler/load', engine: name, load, nowMs,
						});
					}
				});
			}
		});
	}

	private _makeJob(requestId: string, atMs: number): Job {
		let draw = this._random.next();
		const tenant = tenants.find(({share}) => {
			draw -= share;
			return draw < 0;
		}) ?? tenants[0]!;
		const promptTokens = Math.round(200 + (this._random.next() * 2 * (meanPrompt - 200)));
		const outputTokens = Math.round(50 + (this._random.next() * 2 * (meanOutput - 50)));
		// Each tenant's prompts share a few prefixes.
		const prefixNumber = this._random.integer(0, 4);
		const blocks = Math.min(prefixBlocks, Math.floor(promptTokens / 64));
		const req: PlacementRequest = {
			requestId, service: 'model', tenant: tenant.name, priority: 5, shedOrder: 5, promptTokens, maxTokens: 256,
			prefix: Array.from({length: blocks}, (_, i) => `${tenant.name}/${prefixNumber}/${i}`),
			maxWaitMs: 1000, budgetMs: firstTokenMs, zone: this._random.pick(zones),
		};
		return {
			req, outputTokens, arrivedMs: atMs, port: this._ports[this._random.integer(0, this._ports.length)]!, prefillMs: 0,
		};
	}

	private _arrive(job: Job): void {
		const {tenant} = job.req;
		this._offered.set(tenant, (this._offered.get(tenant) ?? 0) + 1);
		const owner = this._ownerOf(job);
		this.timeline.after(this._policy === 'shard' ? hopMs : 0, () => {
			job.port.place(owner, job.req, reply => {
				if (reply.kind === 'placed') {
					this._prefill(job, reply.placement);
				} else {
					this._refused++;
				}
			});
		});
	}

	private _ownerOf({req}: Job): VmIdentity {
		return {vm: `entry-${Number(req.requestId.slice(1)) % this._scenario.entryVms}`, incarnation: 1};
	}

	private _tell(job: Job, progress: Progress): void {
		this.timeline.after(hopMs, () => {
			job.port.progress(this._ownerOf(job), progress);
		});
	}

	private _prefill(job: Job, placement: Placement): void {
		const askedMs = this.timeline.nowMs;
		const {promptTokens, prefix} = job.req;
		this._engines.get(placement.prefill)!.prefill(promptTokens, prefix, ({cachedTokens, serviceMs}) => {
			job.prefillMs = serviceMs;
			this._prefillMs += serviceMs;
			this._tell(job, {
				phase: 'prefilled', reservation: placement.reservation, promptTokens, cachedTokens, durationMs: this.timeline.nowMs - askedMs,
			});
			this._transfer(job, placement, this.timeline.nowMs + resultHeldMs, 2);
		});
	}

	/** Imports into the decode engine; a full one is replaced while the result is held. */
	private _transfer(job: Job, placement: Placement, expiresMs: number, attempts: number): void {
		const engine = this._engines.get(placement.decode)!;
		const askedMs = this.timeline.nowMs;
		if (!engine.takeSlot()) {
			if (attempts > 1 && askedMs < expiresMs) {
				job.port.replace(this._ownerOf(job), placement, reply => {
					if (reply.kind === 'placed') {
						this._transfer(job, reply.placement, expiresMs, attempts - 1);
					} else {
						this._fail(job, placement);
					}
				});
			} else {
				this._fail(job, placement);
			}

			return;
		}

		engine.transfer(job.req.promptTokens, () => {
			this._tell(job, {phase: 'transferred', reservation: placement.reservation, durationMs: this.timeline.nowMs - askedMs});
			this._decode(job, placement, engine);
		});
	}

	private _decode(job: Job, placement: Placement, engine: ModelEngine): void {
		const {reservation} = placement;
		const tokenMs = engine.tokenMs();
		this.timeline.after(tokenMs, nowMs => {
			const isInTime = nowMs - job.arrivedMs <= firstTokenMs;
			this._tell(job, {phase: 'first-token', reservation, durationMs: tokenMs});
			this.timeline.after(tokenMs * job.outputTokens, () => {
				engine.freeSlot();
				this._tell(job, {
					phase: 'ended', reservation, outputTokens: job.outputTokens, reason: 'complete',
				});
				if (isInTime && tokenMs <= betweenTokensMs) {
					this._usefulPrefillMs += job.prefillMs;
					this._good.set(job.req.tenant, (this._good.get(job.req.tenant) ?? 0) + 1);
				}
			});
		});
	}

	private _fail(job: Job, {reservation}: Placement): void {
		this._refused++;
		this._tell(job, {
			phase: 'ended', reservation, outputTokens: 0, reason: 'failed',
		});
	}

	private _result(): ComparisonResult {
		let offered = 0;
		let good = 0;
		let worstTenant = 1;
		for (const [tenant, count] of this._offered) {
			const served = this._good.get(tenant) ?? 0;
			offered += count;
			good += served;
			if (tenant !== floodingTenant || this._scenario.load <= 1) {
				worstTenant = Math.min(worstTenant, served / count);
			}
		}

		return {
			policy: this._policy,
			offered,
			goodputPerSecond: good * 1000 / this._scenario.durationMs,
			wastedPrefill: this._prefillMs === 0 ? 0 : Math.max(0, 1 - (this._usefulPrefillMs / this._prefillMs)),
			worstTenant,
			refused: this._refused,
		};
	}
}

/** Runs the same arrivals under each policy. */
export function comparePlacement(scenario: Scenario): ComparisonResult[] {
	return (['sampled', 'leased', 'shard'] as const).map(policy => new PoolModel(scenario, policy).run());
}

/** Scenarios printed by the command: today's pool and a larger one, nearly full and overloaded. */
export const scenarios: readonly Scenario[] = [
	{
		engines: 6, entryVms: 10, load: 0.9, durationMs: 60_000, seed: 1,
	},
	{
		engines: 6, entryVms: 10, load: 1.5, durationMs: 60_000, seed: 1,
	},
	{
		engines: 64, entryVms: 100, load: 0.9, durationMs: 20_000, seed: 1,
	},
	{
		engines: 64, entryVms: 100, load: 1.5, durationMs: 20_000, seed: 1,
	},
];

function print(scenario: Scenario): void {
	const {engines, entryVms, load, seed} = scenario;
	console.log(`${engines} engines, ${entryVms} entry VMs, load ${load}, seed ${seed}`);
	for (const {policy, offered, goodputPerSecond, wastedPrefill, worstTenant, refused} of comparePlacement(scenario)) {
		const figures = [
			policy.padEnd(8),
			`goodput ${goodputPerSecond.toFixed(2)}/s`,
			`wasted prefill ${(wastedPrefill * 100).toFixed(1)}%`,
			`worst tenant ${(worstTenant * 100).toFixed(1)}%`,
			`refused or failed ${refused} of ${offered}`,
		];
		console.log(`  ${figures.join('  ')}`);
	}
}

if (import.meta.url === pathToFileURL(process.argv[1] ?? '').href) {
	for (const scenario of scenarios) {
		print(scenario);
	}
}
