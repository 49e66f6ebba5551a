import {
	collectDefaultMetrics, Counter, Gauge, Histogram, Registry,
} from 'prom-client';
import {Metrics} from '../../common/services/metrics.js';
import type {MetricLabels} from '../../common/services/metrics.js';

const prefix = 'jasminehead_';
/** Label combinations kept per metric; later ones are counted under the label value `other`. */
const maxSeries = 2000;
/** Seconds; the first-token target of 0.8 s and the inter-token target of 69 ms are bounds of their own. */
const durationBuckets = [0.001, 0.003, 0.01, 0.03, 0.069, 0.1, 0.3, 0.8, 1, 3, 10, 30];
const millisecondsSuffix = /_ms$/;

/** Interval at which the delay of the event loop is sampled, in milliseconds; the library's default of 10 ms wakes an idle process 100 times a second. */
const eventLoopSampleMs = 500;

type Vector = Counter | Gauge | Histogram;

/** Exposes metrics through prom-client. Durations, named `_ms` in the code, are exported in seconds as is usual. */
export class PromMetrics extends Metrics {
	private readonly _registry = new Registry();
	private readonly _vectors = new Map<string, Vector>();
	private readonly _series = new Map<string, Set<string>>();

	constructor(labels: MetricLabels) {
		super();
		this._registry.setDefaultLabels(labels);
		collectDefaultMetrics({register: this._registry, eventLoopMonitoringPrecision: eventLoopSampleMs});
	}

	get contentType(): string {
		return this._registry.contentType;
	}

	override count(name: string, labels: MetricLabels = {}, by = 1): void {
		const counter = this._vector(name, labels, common => new Counter(common)) as Counter;
		counter.inc(this._bounded(name, labels), by);
	}

	override gauge(name: string, value: number, labels: MetricLabels = {}): void {
		const gauge = this._vector(name, labels, common => new Gauge(common)) as Gauge;
		gauge.set(this._bounded(name, labels), value);
	}

	override observe(name: string, value: number, labels: MetricLabels = {}): void {
		const isDuration = name.endsWith('_ms');
		const histogram = this._vector(name, labels, common => new Histogram({...common, ...(isDuration && {buckets: durationBuckets})})) as Histogram;
		histogram.observe(this._bounded(name, labels), isDuration ? value / 1000 : value);
	}

	/** The text exposition of all metrics. */
	async render(): Promise<string> {
		return this._registry.metrics();
	}

	private _vector(name: string, labels: MetricLabels, make: (common: {name: string; help: string; labelNames: string[]; registers: Registry[]}) => Vector): Vector {
		let vector = this._vectors.get(name);
		if (!vector) {
			const exported = prefix + name.replace(millisecondsSuffix, '_seconds');
			vector = make({
				name: exported, help: exported.replaceAll('_', ' '), labelNames: Object.keys(labels), registers: [this._registry],
			});
			this._vectors.set(name, vector);
		}

		return vector;
	}

	/** Keeps a label set that is known or fits the bound, so that hostile label values cannot grow memory. */
	private _bounded(name: string, labels: MetricLabels): MetricLabels {
		const key = Object.values(labels).join('\u0000');
		const series = this._series.get(name) ?? new Set<string>();
		this._series.set(name, series);
		if (series.has(key)) {
			return labels;
		}

		if (series.size < maxSeries) {
			series.add(key);
			return labels;
		}

		return Object.fromEntries(Object.keys(labels).map(label => [label, 'other']));
	}
}
