export type MetricLabels = Readonly<Record<string, string>>;

/** Counters, gauges and histograms of this process, identified by name and labels. */
export abstract class Metrics {
	/** Adds to a counter. */
	abstract count(name: string, labels?: MetricLabels, by?: number): void;
	/** Sets a gauge. */
	abstract gauge(name: string, value: number, labels?: MetricLabels): void;
	/** Adds a value to a histogram. Names of histograms of durations end in `_ms`. */
	abstract observe(name: string, value: number, labels?: MetricLabels): void;
}

/** Discards every value. */
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
