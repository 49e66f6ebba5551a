export type MetricLabels = Readonly<Record<string, string>>;

/** Counts and distributions of this process, by name and labels. */
export abstract class Metrics {
	/** Adds to a counter. */
	abstract count(name: string, labels?: MetricLabels, by?: number): void;
	/** Sets a gauge. */
	abstract gauge(name: string, value: number, labels?: MetricLabels): void;
	/** Adds one value to a histogram; names of durations end in `_ms`. */
	abstract observe(name: string, value: number, labels?: MetricLabels): void;
}

/** Discards every value. */
export class NullMetrics extends Metrics {
	override count(): void {
		// Nothing is kept.
	}

	override gauge(): void {
		// Nothing is kept.
	}

	override observe(): void {
		// Nothing is kept.
	}
}
