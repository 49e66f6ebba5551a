import {SeededRandom} from '../common/core/random.js';
import type {SharedConfiguration} from '../common/configuration/types.js';
import type {PlainTraceRequest, Trace, TraceRequest} from './trace.js';

export type WorkloadName = Trace['header']['workload'];

export type WorkloadOptions = {
	readonly workload: WorkloadName;
	readonly seed: number;
	/** Shared configuration of the deployment; its customers, services and profiles shape the traffic. */
	readonly configuration: SharedConfiguration;
	/** Duration of the trace, in milliseconds. */
	readonly durationMs: number;
	/** Factor applied to the request rate; 1 peaks near the capacity of 6 model servers. */
	readonly load?: number;
};

type WorkloadParameters = {
	readonly modelService: string;
	readonly plainService: string;
	/** Peak rate of model requests over all customers, without the burst. */
	readonly modelPeakPerSecond: number;
	/** Peak rate of plain requests over all customers, without the burst. */
	readonly plainPeakPerSecond: number;
	/** Number of different rule sections. Each prompt contains the standard rules and one section, and prompts with the same section share it as a prefix. */
	readonly sectionCount: number;
	/** Length of each rule section, in tokens. */
	readonly sectionTokens: number;
	/** Length of the standard rules, in tokens. */
	readonly ruleTokens: number;
	/** Paths of the non-idempotent calls. */
	readonly postPaths: readonly string[];
	/** Cost of a non-idempotent call, in rate-limit tokens. */
	readonly postCost: number;
	/** Path of the calls that are sent without an API key. */
	readonly unauthenticatedPath: string;
};

/* The sections fit into the caches of two prefill engines together but not into the cache of one, so placement that ignores cached prefixes wastes prefill. */
const parametersByWorkload: Readonly<Record<WorkloadName, WorkloadParameters>> = {
	bereket: {
		modelService: 'dossiers', plainService: 'entry-desk', modelPeakPerSecond: 38, plainPeakPerSecond: 40, sectionCount: 64, sectionTokens: 1536, ruleTokens: 512,
		postPaths: ['/entries', '/fees', '/run-order'], postCost: 10, unauthenticatedPath: '/calendar',
	},
	vanua: {
		modelService: 'briefs', plainService: 'order-desk', modelPeakPerSecond: 38, plainPeakPerSecond: 30, sectionCount: 80, sectionTokens: 1280, ruleTokens: 256,
		postPaths: ['/orders'], postCost: 10, unauthenticatedPath: '/patterns',
	},
};

/** Share of the traffic per customer, in descending order of the customers' rates. */
const customerShares = [0.4, 0.3, 0.14, 0.09, 0.07];
/** Index of the customer that sends `burstFactor` times its usual traffic in the middle fifth of the trace. */
const burstingCustomerIndex = 3;
/** Factor by which the traffic of the bursting customer rises. */
const burstFactor = 5;
/** Request rate at the start and end of the trace as a share of the peak rate in the middle. */
const troughShare = 0.5;
/** Share of model requests that the caller cancels. */
const cancelShare = 0.04;
/** Share of plain requests that are lookups. */
const lookupShare = 0.6;
/** Share of plain requests that are sent without an API key. */
const unauthenticatedShare = 0.1;
/** Share of lookups that repeat a recent lookup. */
const repeatedLookupShare = 0.3;
/** Share of non-idempotent calls that the caller sends a second time with the same idempotency key. */
const resendShare = 0.15;
/** Share of non-idempotent calls that are sent without an idempotency key. */
const withoutIdempotencyKeyShare = 0.05;
/** Maximum number of recent lookups among which a repeated lookup is chosen. */
const maxRecentLookups = 20;

/** Generates a trace deterministically: equal options give equal traces. */
class TraceGenerator {
	private readonly _random: SeededRandom;
	private readonly _parameters: WorkloadParameters;
	private readonly _customers: readonly string[];
	private readonly _requests: TraceRequest[] = [];
	private readonly _recentLookups: string[] = [];
	private _nextId = 1;

	constructor(private readonly _options: WorkloadOptions) {
		this._random = new SeededRandom(_options.seed);
		this._parameters = parametersByWorkload[_options.workload];
		this._customers = Object.entries(_options.configuration.tenants).sort(([, a], [, b]) => b.rate - a.rate).map(([name]) => name);
	}

	generate(): Trace {
		const {workload, seed, durationMs, configuration} = this._options;
		this._generateArrivals(this._parameters.modelPeakPerSecond, (atMs, customer) => {
			this._addModel(atMs, customer);
		});
		this._generateArrivals(this._parameters.plainPeakPerSecond, (atMs, customer) => {
			this._addPlain(atMs, customer);
		});
		const customers = Object.fromEntries(Object.entries(configuration.tenants).map(([name, {rate, burst}]) => [name, {rate, burst}]));
		return {
			header: {
				kind: 'header', format: 1, workload, seed, durationMs, tenants: customers,
			},
			requests: this._requests.sort((a, b) => a.atMs - b.atMs || (a.id < b.id ? -1 : 1)),
		};
	}

	/** Calls `onArrival` for each request arrival. The arrivals of each customer are an inhomogeneous Poisson process, sampled by thinning, whose rate rises to a peak and falls again. */
	private _generateArrivals(peakPerSecond: number, onArrival: (atMs: number, customer: string) => void): void {
		const {durationMs, load = 1} = this._options;
		for (const [index, customer] of this._customers.entries()) {
			const share = customerShares[index] ?? 0;
			const highestPerSecond = peakPerSecond * load * share * (index === burstingCustomerIndex ? burstFactor : 1);
			for (let atMs = this._drawInterarrivalMs(highestPerSecond); atMs < durationMs; atMs += this._drawInterarrivalMs(highestPerSecond)) {
				const currentPerSecond = peakPerSecond * load * share * this._rateFactorAt(atMs / durationMs, index);
				if (this._random.next() < currentPerSecond / highestPerSecond) {
					onArrival(Math.round(atMs), customer);
				}
			}
		}
	}

	/** Returns the factor applied to the peak rate at a position in the trace, from 0 at its start to 1 at its end. */
	private _rateFactorAt(position: number, customerIndex: number): number {
		const isBurst = customerIndex === burstingCustomerIndex && position >= 0.4 && position < 0.6;
		const baseFactor = troughShare + ((1 - troughShare) * Math.sin(Math.PI * position));
		return isBurst ? burstFactor * baseFactor : baseFactor;
	}

	private _drawInterarrivalMs(perSecond: number): number {
		return perSecond > 0 ? -Math.log(1 - this._random.next()) * 1000 / perSecond : Infinity;
	}

	private _makeCommonFields(atMs: number, customer: string, service: string) {
		const cfg = this._options.configuration;
		const profile = cfg.profiles[cfg.services[service]!.profile]!;
		const id = `${this._options.workload}-${this._options.seed}-${this._nextId++}`;
		return {
			id, atMs, tenant: customer, service, firstTokenTargetMs: profile.latency.firstToken,
		};
	}

	private _addModel(atMs: number, customer: string): void {
		const {modelService, sectionCount, sectionTokens, ruleTokens} = this._parameters;
		const cfg = this._options.configuration;
		const profile = cfg.profiles[cfg.services[modelService]!.profile]!;
		// Squaring skews the choice towards the first sections, because real sections differ widely in popularity.
		const section = Math.floor(sectionCount * (this._random.next() ** 2));
		this._requests.push({
			kind: 'model',
			...this._makeCommonFields(atMs, customer, modelService),
			...(this._random.next() < cancelShare && {cancelAfterMs: this._random.integer(50, 2000)}),
			betweenTokensTargetMs: profile.latency.betweenTokens,
			maxTokens: this._random.integer(64, 129),
			shared: [{name: 'rules', tokens: ruleTokens}, {name: `section-${section}`, tokens: sectionTokens}],
			ownTokens: this._random.integer(60, 500),
		});
	}

	private _addPlain(atMs: number, customer: string): void {
		const common = this._makeCommonFields(atMs, customer, this._parameters.plainService);
		const draw = this._random.next();
		if (draw < lookupShare) {
			this._requests.push({
				kind: 'plain', ...common, method: 'GET', path: this._pickLookupPath(), isIdempotent: true, isOpen: false, ref: common.id, cost: 1,
			});
		} else if (draw < lookupShare + unauthenticatedShare) {
			this._requests.push({
				kind: 'plain', ...common, method: 'GET', path: `${this._parameters.unauthenticatedPath}/${this._random.integer(0, 12)}`, isIdempotent: true, isOpen: true, ref: common.id, cost: 0,
			});
		} else {
			this._addPost(common);
		}
	}

	private _addPost(common: ReturnType<TraceGenerator['_makeCommonFields']>): void {
		const hasIdempotencyKey = this._random.next() >= withoutIdempotencyKeyShare;
		const original: PlainTraceRequest = {
			kind: 'plain',
			...common,
			method: 'POST',
			path: this._random.pick(this._parameters.postPaths),
			isIdempotent: false,
			isOpen: false,
			...(hasIdempotencyKey && {idempotencyKey: `key-${common.id}`}),
			ref: common.id,
			cost: this._parameters.postCost,
		};
		this._requests.push(original);
		if (hasIdempotencyKey && this._random.next() < resendShare) {
			this._requests.push({...original, id: `${original.id}-again`, atMs: Math.min(this._options.durationMs, original.atMs + this._random.integer(5, 1500))});
		}
	}

	private _pickLookupPath(): string {
		if (this._recentLookups.length > 0 && this._random.next() < repeatedLookupShare) {
			return this._random.pick(this._recentLookups);
		}

		const path = `/lookups/${this._random.integer(1, 100_000)}`;
		this._recentLookups.push(path);
		if (this._recentLookups.length > maxRecentLookups) {
			this._recentLookups.shift();
		}

		return path;
	}
}

/** Generates a trace with model and plain requests, distributed unevenly over the customers and with a peak in the middle. */
export function generateTrace(options: WorkloadOptions): Trace {
	return new TraceGenerator(options).generate();
}
