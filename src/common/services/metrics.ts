export type MetricLabels = Readonly<Record<string, string>>;

/** Counters, gauges and histograms of this process. Each time series is identified by a metric name and labels. */
export abstract class Metrics {
	/** Adds `by`, or 1 if it is absent, to a counter. */
	abstract count(name: string, labels?: MetricLabels, by?: number): void;
	/** Sets a gauge to `value`. */
	abstract gauge(name: string, value: number, labels?: MetricLabels): void;
	/** Adds `value` to a histogram. The name of a histogram of durations ends in `_ms`, and its values are in milliseconds. */
	abstract observe(name: string, value: number, labels?: MetricLabels): void;
}

/** Metrics that discard every value. */
export class NullMetrics extends Metrics {
	override count(): void {
		// Intentionally empty.
	}

	override gauge(): void {
		// Intentionally empty.
	}

	override observe(): void {
		// Intentionally empty.
	}
}
