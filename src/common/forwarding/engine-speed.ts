/** Estimates how long servers take for their work, compared with the other servers of their pool. */

/** Samples of one size class that are needed before durations are compared with their median. */
const minReferenceSamples = 5;
/** Step by which the typical duration follows a sample, as a difference of logarithms: the first one divided by the number of samples, but at least the last one. */
const firstReferenceStep = 0.8;
const lastReferenceStep = 0.03;
/**
Share of a server's known slowness that is taken out of its samples before the typical duration learns from them. It aligns the typical durations of all
processes, and is below 1 so that the slownesses of all servers cannot drift together.
*/
const alignedShare = 0.9;
/** Number of samples after which the long-run estimate follows each new sample by the same share. */
const maxWeight = 12;
/** Weight from which an estimate is used. */
export const minUsedWeight = 0.9;
/** Minimum time between samples that the long-run estimate follows, in milliseconds: the windows of one stream are alike. */
const steadyIntervalMs = 500;
/** Bound on a sample's deviation while the weight is below `minSettledWeight`, as a difference of logarithms: a factor of 2; one sample may contain a pause. */
const maxFirstStep = Math.log(2);
const minSettledWeight = 1.5;
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

type SizeClass = {
	/** First samples, until there are enough for a median. */
	readonly firstLogs: number[];
	medianLog: number | undefined;
	samples: number;
	lastSource: unknown;
};

/** Typical durations of the work of one pool, by size. */
export class WorkReference {
	private readonly _classes = new Map<number, SizeClass>();

	/**
	Compares the duration per unit of work with that of the work of similar size (within a factor of 2) seen before, and learns from it unless the
	sample before came from the same source. `knownLog` is the logarithm of the source's slowness, 0 if it is unknown. Returns the logarithm of the ratio; undefined as long as too little is known.
	*/
	compare(size: number, msPerUnit: number, {source, knownLog}: {readonly source: unknown; readonly knownLog: number}): number | undefined {
		const log = Math.log(msPerUnit);
		const sizeClass = this._sizeClass(size);
		const {medianLog} = sizeClass;
		if (sizeClass.lastSource !== source) {
			sizeClass.lastSource = source;
			learn(sizeClass, log - (knownLog * alignedShare));
		}

		return medianLog === undefined ? undefined : log - medianLog;
	}

	private _sizeClass(size: number): SizeClass {
		const exponent = Math.round(Math.log2(Math.max(1, size)));
		let sizeClass = this._classes.get(exponent);
		if (!sizeClass) {
			sizeClass = {
				firstLogs: [], medianLog: undefined, samples: 0, lastSource: undefined,
			};
			this._classes.set(exponent, sizeClass);
		}

		return sizeClass;
	}
}

/** Moves the median of a size class towards a sample. */
function learn(sizeClass: SizeClass, log: number): void {
	sizeClass.samples++;
	if (sizeClass.medianLog !== undefined) {
		sizeClass.medianLog += clamp(log - sizeClass.medianLog, Math.max(lastReferenceStep, firstReferenceStep / sizeClass.samples));
		return;
	}

	sizeClass.firstLogs.push(log);
	if (sizeClass.firstLogs.length === minReferenceSamples) {
		sizeClass.medianLog = sizeClass.firstLogs.splice(0).sort((a, b) => a - b)[Math.floor(minReferenceSamples / 2)];
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
	private _followedMs = Number.NEGATIVE_INFINITY;
	private _outlier: {readonly log: number; readonly atMs: number} | undefined;
	private _spell: {log: number; readonly sinceMs: number; untilMs: number} | undefined;

	/** Records a duration as the logarithm of its ratio to the typical one. */
	record(ratioLog: number, nowMs: number): void {
		const log = clamp(ratioLog, maxDeviation);
		const deviation = log - this._steadyLog;
		const isOutlier = this.weightAt(nowMs) >= minUsedWeight && Math.abs(deviation) > spellThreshold;
		if (isOutlier) {
			this._recordOutlier(log, nowMs);
		} else {
			this._outlier = undefined;
			this._spell = undefined;
		}

		if (nowMs - this._followedMs >= steadyIntervalMs) {
			this._followedMs = nowMs;
			this._follow(clamp(deviation, this.weightAt(nowMs) < minSettledWeight ? maxFirstStep : spellThreshold), nowMs);
		}
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
		return this._weight === 0 ? 0 : this._weight * Math.exp(-Math.max(0, nowMs - this._updatedMs) / weightDecayMs);
	}

	private _recordOutlier(log: number, nowMs: number): void {
		const outlier = this._outlier;
		this._outlier = {log, atMs: nowMs};
		if (this._spell && nowMs < this._spell.untilMs) {
			this._continueSpell(this._spell, log, nowMs);
			return;
		}

		const isSecond = outlier !== undefined && nowMs - outlier.atMs <= spellValidityMs && (outlier.log > this._steadyLog) === (log > this._steadyLog);
		this._spell = isSecond ? {log: (outlier.log + log) / 2, sinceMs: outlier.atMs, untilMs: nowMs + spellValidityMs} : undefined;
	}

	private _continueSpell(spell: NonNullable<SpeedEstimate['_spell']>, log: number, nowMs: number): void {
		spell.log = (spell.log + log) / 2;
		spell.untilMs = nowMs + spellValidityMs;
		if (nowMs - spell.sinceMs > maxSpellMs) {
			this._steadyLog = spell.log;
			this._weight = 1;
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

/** Returns a server's slowness: its durations as a multiple of the pool's typical ones. 1 if the difference is small or too little is known. */
export function slowness(estimate: SpeedEstimate, nowMs: number): number {
	const log = estimate.logAt(nowMs) ?? 0;
	return Math.abs(log) <= deadBand ? 1 : Math.exp(log);
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
