import {SeededRandom} from '../common/core/random.js';
import type {SharedConfiguration} from '../common/configuration/types.js';
import type {PlainTraceRequest, Trace, TraceRequest} from './trace.js';

export type WorkloadName = Trace['header']['workload'];

export type WorkloadOptions = {
	readonly workload: WorkloadName;
	readonly seed: number;
	/** Tenants, services and profiles of the deployment. */
	readonly configuration: SharedConfiguration;
	readonly durationMs: number;
	/** Factor on the request rate; 1 peaks near the capacity of 6 model servers. */
	readonly load?: number;
};

type Shape = {
	readonly modelService: string;
	readonly plainService: string;
	/** Requests per second at the peak. */
	readonly modelPeak: number;
	readonly plainPeak: number;
	/** Sections of the standard rules that prompts share, and tokens of each. */
	readonly sections: number;
	readonly sectionTokens: number;
	readonly ruleTokens: number;
	readonly postPaths: readonly string[];
	readonly postCost: number;
	readonly openPath: string;
};

/* Two prefill engines together cache all sections, one alone does not, so a placement that ignores prefixes wastes prefill. */
const shapes: Readonly<Record<WorkloadName, Shape>> = {
	bereket: {
		modelService: 'dossiers', plainService: 'entry-desk', modelPeak: 38, plainPeak: 40, sections: 64, sectionTokens: 1536, ruleTokens: 512,
		postPaths: ['/entries', '/fees', '/run-order'], postCost: 10, openPath: '/calendar',
	},
	vanua: {
		modelService: 'briefs', plainService: 'order-desk', modelPeak: 38, plainPeak: 30, sections: 80, sectionTokens: 1280, ruleTokens: 256,
		postPaths: ['/orders'], postCost: 10, openPath: '/patterns',
	},
};

/** Shares of the tenants in the traffic, largest first. */
const tenantShares = [0.4, 0.3, 0.14, 0.09, 0.07];
/** The tenant at this position sends `burstFactor` times its usual traffic in the middle fifth of the trace. */
const burstingTenant = 3;
const burstFactor = 5;
/** Traffic at the start and end, as a share of the peak in the middle. */
const troughShare = 0.5;
const cancelShare = 0.04;
const lookupShare = 0.6;
const openShare = 0.1;
/** Share of lookups that repeat one of the last. */
const repeatShare = 0.3;
/** Share of non-idempotent calls that the caller sends again under the same idempotency key. */
const resendShare = 0.15;
/** Share of non-idempotent calls without an idempotency key. */
const keylessShare = 0.05;
const recentLookups = 20;

/** Makes a trace; the same options always give the same trace. */
class Generator {
	private readonly _random: SeededRandom;
	private readonly _shape: Shape;
	private readonly _tenants: readonly string[];
	private readonly _requests: TraceRequest[] = [];
	private readonly _lookups: string[] = [];
	private _nextId = 1;

	constructor(private readonly _options: WorkloadOptions) {
		this._random = new SeededRandom(_options.seed);
		this._shape = shapes[_options.workload];
		this._tenants = Object.entries(_options.configuration.tenants).sort(([, a], [, b]) => b.rate - a.rate).map(([name]) => name);
	}

	run(): Trace {
		const {workload, seed, durationMs, configuration} = this._options;
		this._arrivals(this._shape.modelPeak, (atMs, tenant) => {
			this._addModel(atMs, tenant);
		});
		this._arrivals(this._shape.plainPeak, (atMs, tenant) => {
			this._addPlain(atMs, tenant);
		});
		const tenants = Object.fromEntries(Object.entries(configuration.tenants).map(([name, {rate, burst}]) => [name, {rate, burst}]));
		return {
			header: {
				kind: 'header', format: 1, workload, seed, durationMs, tenants,
			},
			requests: this._requests.sort((a, b) => a.atMs - b.atMs || (a.id < b.id ? -1 : 1)),
		};
	}

	/** Calls `add` at the times of a Poisson process whose rate rises to the peak and falls again. */
	private _arrivals(peak: number, add: (atMs: number, tenant: string) => void): void {
		const {durationMs, load = 1} = this._options;
		for (const [index, tenant] of this._tenants.entries()) {
			const share = tenantShares[index] ?? 0;
			const highest = peak * load * share * (index === burstingTenant ? burstFactor : 1);
			for (let atMs = this._gapMs(highest); atMs < durationMs; atMs += this._gapMs(highest)) {
				const current = peak * load * share * this._rateAt(atMs / durationMs, index);
				if (this._random.next() < current / highest) {
					add(Math.round(atMs), tenant);
				}
			}
		}
	}

	/** Factor on the peak rate at a point of the trace from 0 to 1. */
	private _rateAt(point: number, tenant: number): number {
		const isBurst = tenant === burstingTenant && point >= 0.4 && point < 0.6;
		const curve = troughShare + ((1 - troughShare) * Math.sin(Math.PI * point));
		return isBurst ? burstFactor * curve : curve;
	}

	private _gapMs(perSecond: number): number {
		return perSecond > 0 ? -Math.log(1 - this._random.next()) * 1000 / perSecond : Infinity;
	}

	private _common(atMs: number, tenant: string, service: string) {
		const cfg = this._options.configuration;
		const profile = cfg.profiles[cfg.services[service]!.profile]!;
		const id = `${this._options.workload}-${this._options.seed}-${this._nextId++}`;
		return {
			id, atMs, tenant, service, firstTokenTargetMs: profile.latency.firstToken,
		};
	}

	private _addModel(atMs: number, tenant: string): void {
		const {modelService, sections, sectionTokens, ruleTokens} = this._shape;
		const cfg = this._options.configuration;
		const profile = cfg.profiles[cfg.services[modelService]!.profile]!;
		// Squaring favours the first sections, as some classes have far more entries than others.
		const section = Math.floor(sections * (this._random.next() ** 2));
		this._requests.push({
			kind: 'model',
			...this._common(atMs, tenant, modelService),
			...(this._random.next() < cancelShare && {cancelAfterMs: this._random.integer(50, 2000)}),
			betweenTokensTargetMs: profile.latency.betweenTokens,
			maxTokens: this._random.integer(64, 129),
			shared: [{name: 'rules', tokens: ruleTokens}, {name: `section-${section}`, tokens: sectionTokens}],
			ownTokens: this._random.integer(60, 500),
		});
	}

	private _addPlain(atMs: number, tenant: string): void {
		const common = this._common(atMs, tenant, this._shape.plainService);
		const choice = this._random.next();
		if (choice < lookupShare) {
			this._requests.push({
				kind: 'plain', ...common, method: 'GET', path: this._lookupPath(), isIdempotent: true, isOpen: false, ref: common.id, cost: 1,
			});
		} else if (choice < lookupShare + openShare) {
			this._requests.push({
				kind: 'plain', ...common, method: 'GET', path: `${this._shape.openPath}/${this._random.integer(0, 12)}`, isIdempotent: true, isOpen: true, ref: common.id, cost: 0,
			});
		} else {
			this._addPost(common);
		}
	}

	private _addPost(common: ReturnType<Generator['_common']>): void {
		const hasKey = this._random.next() >= keylessShare;
		const first: PlainTraceRequest = {
			kind: 'plain',
			...common,
			method: 'POST',
			path: this._random.pick(this._shape.postPaths),
			isIdempotent: false,
			isOpen: false,
			...(hasKey && {idempotencyKey: `key-${common.id}`}),
			ref: common.id,
			cost: this._shape.postCost,
		};
		this._requests.push(first);
		if (hasKey && this._random.next() < resendShare) {
			this._requests.push({...first, id: `${first.id}-again`, atMs: Math.min(this._options.durationMs, first.atMs + this._random.integer(5, 1500))});
		}
	}

	private _lookupPath(): string {
		if (this._lookups.length > 0 && this._random.next() < repeatShare) {
			return this._random.pick(this._lookups);
		}

		const path = `/lookups/${this._random.integer(1, 100_000)}`;
		this._lookups.push(path);
		if (this._lookups.length > recentLookups) {
			this._lookups.shift();
		}

		return path;
	}
}

/** Generates the traffic of a deployment: mixed model and plain requests, skewed over tenants, with a peak in the middle. */
export function generateTrace(options: WorkloadOptions): Trace {
	return new Generator(options).run();
}
