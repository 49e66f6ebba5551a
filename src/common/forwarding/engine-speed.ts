/** Estimates how long servers take for their work, compared with the other servers of their pool. */

/** Samples of one size class that are needed before durations are compared with them. */
const minReferenceSamples = 4;
/** Smallest and largest step by which the typical duration follows a sample, as a difference of logarithms. */
const minReferenceStep = 0.02;
const maxReferenceStep = 0.3;
/** Number of samples after which the long-run estimate follows each new sample by the same share. */
const maxWeight = 12;
/** Weight from which an estimate is used. */
export const minUsedWeight = 2;
/** Time constant with which the weight of an estimate decays without samples, in milliseconds. */
const weightDecayMs = 120_000;
/** Deviation from the long-run estimate that may be a spell, as a difference of logarithms: a factor of 1.5. */
const spellThreshold = Math.log(1.5);
/** Time without a sample after which a spell is over, in milliseconds; also the longest time between the two samples that begin one. */
const spellValidityMs = 1000;
/** Duration after which a deviation counts as the new long-run speed, in milliseconds. */
const maxSpellMs = 5000;
/** Differences up to this count as equal speed, as a difference of logarithms: a factor of 1.25. */
const deadBand = Math.log(1.25);
/** Bound on how much slower or faster than typical a server is taken to be, as a difference of logarithms: a factor of 4. */
const maxDeviation = Math.log(4);

/** Typical durations of the work of one pool, by size. */
export class WorkReference {
	private readonly _classes = new Map<number, {medianLog: number; samples: number}>();

	/**
	Compares the duration per unit of work with that of the work of similar size (within a factor of 2) seen before, and learns from it. Returns
	the logarithm of the ratio; undefined as long as too little is known.
	*/
	compare(size: number, msPerUnit: number): number | undefined {
		const log = Math.log(msPerUnit);
		const sizeClass = Math.round(Math.log2(Math.max(1, size)));
		const known = this._classes.get(sizeClass);
		if (!known) {
			this._classes.set(sizeClass, {medianLog: log, samples: 1});
			return undefined;
		}

		const deviation = log - known.medianLog;
		known.samples++;
		const step = Math.max(minReferenceStep, maxReferenceStep / known.samples);
		known.medianLog += Math.max(-step, Math.min(step, deviation));
		return known.samples > minReferenceSamples ? deviation : undefined;
	}
}

/** A server's long-run speed as processes tell each other. */
export type SharedSpeed = {
	/** Logarithm of the slowness. */
	readonly log: number;
	/** Number of samples that it rests on, at most `maxWeight`. */
	readonly weight: number;
};

/** Estimate of one server's slowness: its durations as a multiple of the typical ones. The state dump prints the private fields by name. */
export class SpeedEstimate {
	private _steadyLog = 0;
	private _weight = 0;
	private _updatedMs = 0;
	private _outlier: {readonly log: number; readonly atMs: number} | undefined;
	private _spell: {log: number; readonly sinceMs: number; untilMs: number} | undefined;

	/** Records a duration as the logarithm of its ratio to the typical one. */
	record(ratioLog: number, nowMs: number): void {
		const log = clamp(ratioLog, maxDeviation);
		const deviation = log - this._steadyLog;
		const isOutlier = this.weightAt(nowMs) >= minUsedWeight && Math.abs(deviation) > spellThreshold;
		if (!isOutlier) {
			this._outlier = undefined;
			this._spell = undefined;
			this._follow(deviation, nowMs);
			return;
		}

		if (this._spell && nowMs < this._spell.untilMs) {
			this._continueSpell(this._spell, log, nowMs);
			return;
		}

		this._spell = undefined;
		const outlier = this._outlier;
		if (outlier && nowMs - outlier.atMs <= spellValidityMs && Math.sign(outlier.log - this._steadyLog) === Math.sign(deviation)) {
			this._spell = {log: (outlier.log + log) / 2, sinceMs: outlier.atMs, untilMs: nowMs + spellValidityMs};
		}

		this._outlier = {log, atMs: nowMs};
		this._follow(clamp(deviation, spellThreshold), nowMs);
	}

	/** Combines the estimate with that of another process. The combined weight is the greater of both, so that what returns to its origin does not count twice. */
	merge({log, weight}: SharedSpeed, nowMs: number): void {
		const ownWeight = this.weightAt(nowMs);
		const received = Math.min(maxWeight, weight);
		if (received > 0) {
			this._steadyLog = ((this._steadyLog * ownWeight) + (clamp(log, maxDeviation) * received)) / (ownWeight + received);
			this._weight = Math.max(ownWeight, received);
			this._updatedMs = nowMs;
		}
	}

	/** Returns the logarithm of the current slowness; undefined as long as too little is known. */
	logAt(nowMs: number): number | undefined {
		if (this._spell && nowMs < this._spell.untilMs) {
			return this._spell.log;
		}

		return this.weightAt(nowMs) >= minUsedWeight ? this._steadyLog : undefined;
	}

	/** Returns the long-run estimate, without spells. */
	steadyAt(nowMs: number): SharedSpeed {
		return {log: this._steadyLog, weight: this.weightAt(nowMs)};
	}

	/** Returns the number of samples that the estimate rests on, which decays while there are none. */
	weightAt(nowMs: number): number {
		return this._weight * Math.exp(-Math.max(0, nowMs - this._updatedMs) / weightDecayMs);
	}

	private _continueSpell(spell: NonNullable<SpeedEstimate['_spell']>, log: number, nowMs: number): void {
		spell.log = (spell.log + log) / 2;
		spell.untilMs = nowMs + spellValidityMs;
		if (nowMs - spell.sinceMs > maxSpellMs) {
			this._steadyLog = spell.log;
			this._weight = minUsedWeight;
			this._updatedMs = nowMs;
			this._spell = undefined;
			this._outlier = undefined;
		}
	}

	private _follow(deviation: number, nowMs: number): void {
		this._weight = Math.min(maxWeight, this.weightAt(nowMs) + 1);
		this._steadyLog += deviation / this._weight;
		this._updatedMs = nowMs;
	}
}

/** Returns a server's slowness: its durations as a multiple of those of the pool's median server. 1 if the difference is small or too little is known. */
export function slowness(estimate: SpeedEstimate, medianLog: number, nowMs: number): number {
	const log = estimate.logAt(nowMs);
	const deviation = log === undefined ? 0 : clamp(log - medianLog, maxDeviation);
	return Math.abs(deviation) <= deadBand ? 1 : Math.exp(deviation);
}

/** Returns the median of the long-run estimates that are known, as a logarithm; 0 if there are none. */
export function medianSpeedLog(estimates: readonly SpeedEstimate[], nowMs: number): number {
	const logs = estimates.map(estimate => estimate.steadyAt(nowMs)).filter(({weight}) => weight >= minUsedWeight).map(({log}) => log).sort((a, b) => a - b);
	return logs[Math.floor(logs.length / 2)] ?? 0;
}

/**
Returns a random number in [0, 1) by which servers of equal cost are ranked. The server with the lowest one of several is each server with a probability
proportional to `slowness^-exponent`. `random` is uniformly distributed in [0, 1).
*/
export function speedSpread(serverSlowness: number, exponent: number, random: number): number {
	return serverSlowness === 1 ? random : 1 - ((1 - random) ** (serverSlowness ** exponent));
}

function clamp(value: number, bound: number): number {
	return Math.max(-bound, Math.min(bound, value));
}
