/** Compares placement policies in a discrete-event simulation of a pool. `npx tsx src/load/compare-placement.ts` prints the results. */
import process from 'node:process';
import {pathToFileURL} from 'node:url';
import {SeededRandom} from '../common/core/random.js';
import type {VmIdentity} from '../common/core/types.js';
import {SlotSharePolicy, TwoChoicesPolicy, ShardSchedulerPolicy} from '../common/scheduler/placement-policy.js';
import type {PlacementPolicy} from '../common/scheduler/placement-policy.js';
import {createScheduler, reduceScheduler} from '../common/scheduler/scheduler.js';
import type {EngineSpec, SchedulerEvent, SchedulerReply} from '../common/scheduler/types.js';
import type {Placement, PlacementRequest, Progress} from '../common/services/scheduler-client.js';
import {SimulatedEngine} from './simulated-engine.js';
import {Timeline} from './timeline.js';

/**
Placement policy. Under `sampled` (`TwoChoicesPolicy`) and `leased` (`SlotSharePolicy`) each entry VM has a scheduler of its own.
Under `shard` (`ShardSchedulerPolicy`) one scheduler serves all entry VMs.
*/
export type PolicyName = 'sampled' | 'leased' | 'shard';

export type Scenario = {
	readonly engines: number;
	readonly entryVms: number;
	/** Offered request rate as a share of the rate that the decode slots can sustain. */
	readonly load: number;
	/** Duration of the period in which requests arrive, in milliseconds. */
	readonly durationMs: number;
	readonly seed: number;
};

export type ComparisonResult = {
	readonly policy: PolicyName;
	/** Number of requests that arrived. */
	readonly offered: number;
	/** Requests per second that met both latency targets. */
	readonly goodputPerSecond: number;
	/** Share of prefill time spent on requests that missed a latency target or failed. */
	readonly wastedPrefill: number;
	/** Lowest share, over all customers, of requests that met both latency targets. If the load is above 1, the customer that exceeds its rate is excluded. */
	readonly worstTenant: number;
	/** Number of requests that were refused or failed. */
	readonly refused: number;
};

type SimulatedRequest = {
	readonly placeRequest: PlacementRequest;
	readonly outputTokens: number;
	readonly arrivedMs: number;
	readonly scheduler: SchedulerInstance;
	/** Duration of the prefill, in milliseconds; 0 until the prefill has ended. */
	prefillMs: number;
};

const firstTokenTargetMs = 800;
const betweenTokensTargetMs = 69;
/** One-way network delay between processes, and between a process and an engine, in milliseconds. */
const networkDelayMs = 0.5;
/** Interval between reports of the engine loads to the schedulers, in milliseconds. */
const loadPollIntervalMs = 100;
/** Delay from the measurement of an engine's load until the schedulers receive it, in milliseconds. */
const loadReportDelayMs = 100;
/** Interval between the ticks of a scheduler, in milliseconds. */
const tickIntervalMs = 20;
/** Time for which an engine keeps a prefill result, in milliseconds. */
const prefillResultLifetimeMs = 800;
const meanPromptTokens = 1500;
const meanOutputTokens = 150;
/** Mean time for which a simulated request occupies a decode slot in a nearly full pool, in milliseconds. */
const meanSlotHoldMs = 6200;
/** Maximum number of blocks in the prefix of a placement request. */
const maxPrefixBlocks = 16;
/** Customers with their shares of the arriving requests. */
const customers = [
	{name: 'a', share: 0.4}, {name: 'b', share: 0.3}, {name: 'c', share: 0.1}, {name: 'd', share: 0.1}, {name: 'e', share: 0.1},
];
/** Customer that exceeds its rate when the load exceeds the capacity. */
const overRateCustomer = 'a';
const zones = ['z1', 'z2', 'z3'];

/** Runs a scheduler reducer on virtual time. The scheduler belongs to one entry VM, or serves all entry VMs under the policy `shard`. */
class SchedulerInstance {
	private readonly _state;
	private readonly _pendingReplies = new Map<number, (reply: SchedulerReply) => void>();
	private _nextToken = 1;

	constructor(private readonly _timeline: Timeline, policy: PlacementPolicy, specs: readonly EngineSpec[], id: string) {
		this._state = createScheduler({policy, idPrefix: id, silentOwnerTimeoutMs: Infinity});
		this.dispatch({type: 'scheduler/lease', epoch: 0, nowMs: 0});
		this.dispatch({
			type: 'scheduler/configure', engines: specs, weights: new Map(), nowMs: 0,
		});
		_timeline.scheduleEvery(tickIntervalMs, nowMs => {
			this.dispatch({type: 'scheduler/tick', nowMs});
		});
	}

	place(owner: VmIdentity, req: PlacementRequest, onReply: (reply: SchedulerReply) => void): void {
		const token = this._nextToken++;
		this._pendingReplies.set(token, onReply);
		this.dispatch({
			type: 'scheduler/place', token, owner, req, nowMs: this._timeline.nowMs,
		});
	}

	replace(owner: VmIdentity, {reservation, decode}: Placement, onReply: (reply: SchedulerReply) => void): void {
		const token = this._nextToken++;
		this._pendingReplies.set(token, onReply);
		this.dispatch({
			type: 'scheduler/replace', token, owner, reservation, failure: {upstream: decode, cause: 'full'}, nowMs: this._timeline.nowMs,
		});
	}

	reportProgress(owner: VmIdentity, progress: Progress): void {
		this.dispatch({
			type: 'scheduler/progress', owner, progress, nowMs: this._timeline.nowMs,
		});
	}

	dispatch(event: SchedulerEvent): void {
		for (const effect of reduceScheduler(this._state, event)) {
			if (effect.type === 'reply') {
				const onReply = this._pendingReplies.get(effect.token);
				this._pendingReplies.delete(effect.token);
				this._timeline.scheduleAfter(networkDelayMs, () => onReply?.(effect.body as SchedulerReply));
			}
		}
	}
}

/** Simulates a pool of engines, its entry VMs and their callers under one placement policy. */
class PoolSimulation {
	readonly timeline = new Timeline();
	private readonly _random: SeededRandom;
	private readonly _engines = new Map<string, SimulatedEngine>();
	private readonly _schedulers: SchedulerInstance[];
	private readonly _offeredByCustomer = new Map<string, number>();
	private readonly _goodByCustomer = new Map<string, number>();
	private _refused = 0;
	private _usefulPrefillMs = 0;
	private _prefillMs = 0;

	constructor(private readonly _scenario: Scenario, private readonly _policy: PolicyName) {
		this._random = new SeededRandom(_scenario.seed);
		const specs = Array.from({length: _scenario.engines}, (_, i): EngineSpec => ({
			name: `engine-${i}`, zone: zones[Math.floor(i / 2) % 3]!, role: i % 2 === 0 ? 'prefill' : 'decode', slots: 20, cacheBlocks: 2000, linkRate: 1e10, isDrained: false,
		}));
		for (const spec of specs) {
			this._engines.set(spec.name, new SimulatedEngine(spec, this.timeline));
		}

		this._schedulers = this._makeSchedulers(specs);
		this._pollLoad();
	}

	run(): ComparisonResult {
		const {durationMs, engines, load} = this._scenario;
		const arrivalsPerMs = load * (engines / 2) * 20 / meanSlotHoldMs;
		for (let atMs = this._drawInterarrivalMs(arrivalsPerMs), id = 0; atMs < durationMs; atMs += this._drawInterarrivalMs(arrivalsPerMs), id++) {
			const request = this._makeRequest(`r${id}`, atMs);
			this.timeline.scheduleAt(atMs, () => {
				this._handleArrival(request);
			});
		}

		this.timeline.runUntil(durationMs + 30_000);
		return this._summarize();
	}

	private _drawInterarrivalMs(arrivalsPerMs: number): number {
		return -Math.log(1 - this._random.next()) / arrivalsPerMs;
	}

	private _makeSchedulers(specs: readonly EngineSpec[]): SchedulerInstance[] {
		const count = this._policy === 'shard' ? 1 : this._scenario.entryVms;
		return Array.from({length: count}, (_, i) => {
			const policies = {
				sampled: () => new TwoChoicesPolicy(new SeededRandom(this._scenario.seed + i)),
				leased: () => new SlotSharePolicy(i, count),
				shard: () => new ShardSchedulerPolicy(),
			};
			return new SchedulerInstance(this.timeline, policies[this._policy](), specs, `${i}-`);
		});
	}

	/** Starts to report the load of every engine to every scheduler, every `loadPollIntervalMs` and with a delay of `loadReportDelayMs`. */
	private _pollLoad(): void {
		this.timeline.scheduleEvery(loadPollIntervalMs, () => {
			for (const [name, engine] of this._engines) {
				const load = engine.reportLoad(loadReportDelayMs);
				this.timeline.scheduleAfter(loadReportDelayMs, nowMs => {
					for (const scheduler of this._schedulers) {
						scheduler.dispatch({
							type: 'scheduler/load', engine: name, load, nowMs,
						});
					}
				});
			}
		});
	}

	private _makeRequest(requestId: string, atMs: number): SimulatedRequest {
		let draw = this._random.next();
		const customer = customers.find(({share}) => {
			draw -= share;
			return draw < 0;
		}) ?? customers[0]!;
		const promptTokens = Math.round(200 + (this._random.next() * 2 * (meanPromptTokens - 200)));
		const outputTokens = Math.round(50 + (this._random.next() * 2 * (meanOutputTokens - 50)));
		// Each prompt starts with one of the four prefixes of its customer, so that prompts of a customer share cached blocks.
		const prefixNumber = this._random.integer(0, 4);
		const blocks = Math.min(maxPrefixBlocks, Math.floor(promptTokens / 64));
		const placeRequest: PlacementRequest = {
			requestId, service: 'model', tenant: customer.name, priority: 5, shedOrder: 5, promptTokens, maxTokens: 256,
			prefix: Array.from({length: blocks}, (_, i) => `${customer.name}/${prefixNumber}/${i}`),
			maxWaitMs: 1000, budgetMs: firstTokenTargetMs, zone: this._random.pick(zones),
		};
		return {
			placeRequest, outputTokens, arrivedMs: atMs, scheduler: this._schedulers[this._random.integer(0, this._schedulers.length)]!, prefillMs: 0,
		};
	}

	private _handleArrival(request: SimulatedRequest): void {
		const {tenant: customer} = request.placeRequest;
		this._offeredByCustomer.set(customer, (this._offeredByCustomer.get(customer) ?? 0) + 1);
		const owner = this._ownerOf(request);
		this.timeline.scheduleAfter(this._policy === 'shard' ? networkDelayMs : 0, () => {
			request.scheduler.place(owner, request.placeRequest, reply => {
				if (reply.kind === 'placed') {
					this._prefill(request, reply.placement);
				} else {
					this._refused++;
				}
			});
		});
	}

	private _ownerOf({placeRequest}: SimulatedRequest): VmIdentity {
		return {vm: `entry-${Number(placeRequest.requestId.slice(1)) % this._scenario.entryVms}`, incarnation: 1};
	}

	private _reportProgress(request: SimulatedRequest, progress: Progress): void {
		this.timeline.scheduleAfter(networkDelayMs, () => {
			request.scheduler.reportProgress(this._ownerOf(request), progress);
		});
	}

	private _prefill(request: SimulatedRequest, placement: Placement): void {
		const requestedMs = this.timeline.nowMs;
		const {promptTokens, prefix} = request.placeRequest;
		this._engines.get(placement.prefill)!.prefill(promptTokens, prefix, ({cachedTokens, serviceMs}) => {
			request.prefillMs = serviceMs;
			this._prefillMs += serviceMs;
			this._reportProgress(request, {
				phase: 'prefilled', reservation: placement.reservation, promptTokens, cachedTokens, durationMs: this.timeline.nowMs - requestedMs,
			});
			this._transfer(request, placement, this.timeline.nowMs + prefillResultLifetimeMs, 2);
		});
	}

	/** Transfers the KV cache to the decode engine. If this engine has no free slot, asks the scheduler for another one as long as the prefill result is held and attempts are left. */
	private _transfer(request: SimulatedRequest, placement: Placement, expiresMs: number, attempts: number): void {
		const engine = this._engines.get(placement.decode)!;
		const requestedMs = this.timeline.nowMs;
		if (!engine.tryTakeSlot()) {
			if (attempts > 1 && requestedMs < expiresMs) {
				request.scheduler.replace(this._ownerOf(request), placement, reply => {
					if (reply.kind === 'placed') {
						this._transfer(request, reply.placement, expiresMs, attempts - 1);
					} else {
						this._fail(request, placement);
					}
				});
			} else {
				this._fail(request, placement);
			}

			return;
		}

		engine.transfer(request.placeRequest.promptTokens, () => {
			this._reportProgress(request, {phase: 'transferred', reservation: placement.reservation, durationMs: this.timeline.nowMs - requestedMs});
			this._decode(request, placement, engine);
		});
	}

	private _decode(request: SimulatedRequest, placement: Placement, engine: SimulatedEngine): void {
		const {reservation} = placement;
		const tokenMs = engine.tokenIntervalMs();
		this.timeline.scheduleAfter(tokenMs, nowMs => {
			const isFirstTokenOnTime = nowMs - request.arrivedMs <= firstTokenTargetMs;
			this._reportProgress(request, {phase: 'first-token', reservation, durationMs: tokenMs});
			this.timeline.scheduleAfter(tokenMs * request.outputTokens, () => {
				engine.releaseSlot();
				this._reportProgress(request, {
					phase: 'ended', reservation, outputTokens: request.outputTokens, reason: 'complete',
				});
				if (isFirstTokenOnTime && tokenMs <= betweenTokensTargetMs) {
					this._usefulPrefillMs += request.prefillMs;
					this._goodByCustomer.set(request.placeRequest.tenant, (this._goodByCustomer.get(request.placeRequest.tenant) ?? 0) + 1);
				}
			});
		});
	}

	private _fail(request: SimulatedRequest, {reservation}: Placement): void {
		this._refused++;
		this._reportProgress(request, {
			phase: 'ended', reservation, outputTokens: 0, reason: 'failed',
		});
	}

	private _summarize(): ComparisonResult {
		let offered = 0;
		let good = 0;
		let worstCustomer = 1;
		for (const [customer, count] of this._offeredByCustomer) {
			const goodCount = this._goodByCustomer.get(customer) ?? 0;
			offered += count;
			good += goodCount;
			if (customer !== overRateCustomer || this._scenario.load <= 1) {
				worstCustomer = Math.min(worstCustomer, goodCount / count);
			}
		}

		return {
			policy: this._policy,
			offered,
			goodputPerSecond: good * 1000 / this._scenario.durationMs,
			wastedPrefill: this._prefillMs === 0 ? 0 : Math.max(0, 1 - (this._usefulPrefillMs / this._prefillMs)),
			worstTenant: worstCustomer,
			refused: this._refused,
		};
	}
}

/** Simulates the scenario under each policy with the same arrivals. Returns one result per policy. */
export function comparePlacement(scenario: Scenario): ComparisonResult[] {
	return (['sampled', 'leased', 'shard'] as const).map(policy => new PoolSimulation(scenario, policy).run());
}

/** Scenarios that the command prints: the current pool size and a larger one, each nearly full and overloaded. */
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

function printScenario(scenario: Scenario): void {
	const {engines, entryVms, load, seed} = scenario;
	console.log(`${engines} engines, ${entryVms} entry VMs, load ${load}, seed ${seed}`);
	for (const {policy, offered, goodputPerSecond, wastedPrefill, worstTenant: worstCustomer, refused} of comparePlacement(scenario)) {
		const figures = [
			policy.padEnd(8),
			`goodput ${goodputPerSecond.toFixed(2)}/s`,
			`wasted prefill ${(wastedPrefill * 100).toFixed(1)}%`,
			`worst tenant ${(worstCustomer * 100).toFixed(1)}%`,
			`refused or failed ${refused} of ${offered}`,
		];
		console.log(`  ${figures.join('  ')}`);
	}
}

if (import.meta.url === pathToFileURL(process.argv[1] ?? '').href) {
	for (const scenario of scenarios) {
		printScenario(scenario);
	}
}
