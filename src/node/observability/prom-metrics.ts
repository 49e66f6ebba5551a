import {
	collectDefaultMetrics, Counter, Gauge, Histogram, Registry,
} from 'prom-client';
import {Metrics} from '../../common/services/metrics.js';
import type {MetricLabels} from '../../common/services/metrics.js';

const prefix = 'jasminehead_';
/** Maximum number of label combinations per metric; further combinations are recorded with the value `other` for each label. */
const maxSeriesPerMetric = 2000;
/**
Upper bounds of the histogram buckets, in seconds. The first-token target of 0.8 s and the inter-token target of 69 ms are bounds,
so that the share of requests within each target is exact.
*/
const durationBucketsSeconds = [0.001, 0.003, 0.01, 0.03, 0.069, 0.1, 0.3, 0.8, 1, 3, 10, 30];
const millisecondsSuffix = /_ms$/;

/** Interval at which the event loop delay is sampled, in milliseconds. The default of prom-client, 10 ms, wakes an idle process 100 times a second. */
const eventLoopSampleMs = 500;

type PromMetric = Counter | Gauge | Histogram;

/** Exposes metrics through prom-client. Durations, recorded under names that end in `_ms`, are exported in seconds, as is the Prometheus convention. */
export class PromMetrics extends Metrics {
	private readonly _registry = new Registry();
	private readonly _metrics = new Map<string, PromMetric>();
	private readonly _seriesByMetric = new Map<string, Set<string>>();

	constructor(labels: MetricLabels) {
		super();
		this._registry.setDefaultLabels(labels);
		collectDefaultMetrics({register: this._registry, eventLoopMonitoringPrecision: eventLoopSampleMs});
	}

	get contentType(): string {
		return this._registry.contentType;
	}

	override count(name: string, labels: MetricLabels = {}, by = 1): void {
		const counter = this._getOrCreate(name, labels, options => new Counter(options)) as Counter;
		counter.inc(this._limitSeries(name, labels), by);
	}

	override gauge(name: string, value: number, labels: MetricLabels = {}): void {
		const gauge = this._getOrCreate(name, labels, options => new Gauge(options)) as Gauge;
		gauge.set(this._limitSeries(name, labels), value);
	}

	override observe(name: string, value: number, labels: MetricLabels = {}): void {
		const isDuration = name.endsWith('_ms');
		const histogram = this._getOrCreate(name, labels, options => new Histogram({...options, ...(isDuration && {buckets: durationBucketsSeconds})})) as Histogram;
		histogram.observe(this._limitSeries(name, labels), isDuration ? value / 1000 : value);
	}

	/** Returns all metrics in the Prometheus text format. */
	async render(): Promise<string> {
		return this._registry.metrics();
	}

	private _getOrCreate(name: string, labels: MetricLabels, createMetric: (options: {name: string; help: string; labelNames: string[]; registers: Registry[]}) => PromMetric): PromMetric {
		let metric = this._metrics.get(name);
		if (!metric) {
			const exportedName = prefix + name.replace(millisecondsSuffix, '_seconds');
			metric = createMetric({
				name: exportedName, help: exportedName.replaceAll('_', ' '), labelNames: Object.keys(labels), registers: [this._registry],
			});
			this._metrics.set(name, metric);
		}

		return metric;
	}

	/** Returns the labels, or labels with the value `other` once the metric has too many series, so that label values chosen by callers cannot exhaust memory. */
	private _limitSeries(name: string, labels: MetricLabels): MetricLabels {
		const key = Object.values(labels).join('\u0000');
		const series = this._seriesByMetric.get(name) ?? new Set<string>();
		this._seriesByMetric.set(name, series);
		if (series.has(key)) {
			return labels;
		}

		if (series.size < maxSeriesPerMetric) {
			series.add(key);
			return labels;
		}

		return Object.fromEntries(Object.keys(labels).map(label => [label, 'other']));
	}
}
