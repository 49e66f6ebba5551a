import type {Disposable} from '../src/common/core/disposable.js';

/** A request in the batch; `step` generates its next token and returns whether more tokens follow. */
export type BatchMember = {step(): boolean};

/** Simulates continuous batching: each step generates one token for every request in the batch, and takes longer the larger the batch is. */
export class DecodeBatch implements Disposable {
	private readonly _members = new Set<BatchMember>();
	private _timer: NodeJS.Timeout | undefined;
	private _nextStepMs = 0;

	/** `_stepDurationMs` returns the duration of a step in milliseconds for a batch size. */
	constructor(private readonly _stepDurationMs: (batchSize: number) => number) {}

	get size(): number {
		return this._members.size;
	}

	add(member: BatchMember): void {
		this._members.add(member);
		if (!this._timer) {
			this._nextStepMs = performance.now();
			this._scheduleStep();
		}
	}

	remove(member: BatchMember): void {
		this._members.delete(member);
	}

	dispose(): void {
		clearTimeout(this._timer);
		this._members.clear();
	}

	private _scheduleStep(): void {
		const nowMs = performance.now();
		// Each step is scheduled relative to the planned time of the previous one, so a timer that fires late shortens the next wait and does not lower the step rate.
		// A delay of more than one step is not made up for.
		this._nextStepMs = Math.max(this._nextStepMs + this._stepDurationMs(this._members.size), nowMs);
		this._timer = setTimeout(() => {
			this._runStep();
		}, this._nextStepMs - nowMs);
	}

	private _runStep(): void {
		this._timer = undefined;
		for (const member of this._members) {
			if (!member.step()) {
				this._members.delete(member);
			}
		}

		if (this._members.size > 0) {
			this._scheduleStep();
		}
	}
}
