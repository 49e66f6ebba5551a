import type {Disposable} from '../src/common/core/disposable.js';

/** One request in the batch; `step` generates a token and returns whether more will follow. */
export type BatchMember = {step(): boolean};

/** Generates one token for every member in each step; a step takes longer the larger the batch. */
export class DecodeBatch implements Disposable {
	private readonly _members = new Set<BatchMember>();
	private _timer: NodeJS.Timeout | undefined;
	private _dueMs = 0;

	/** `stepMs` gives the time of a step from the size of the batch. */
	constructor(private readonly _stepMs: (batch: number) => number) {}

	get size(): number {
		return this._members.size;
	}

	add(member: BatchMember): void {
		this._members.add(member);
		if (!this._timer) {
			this._dueMs = performance.now();
			this._schedule();
		}
	}

	remove(member: BatchMember): void {
		this._members.delete(member);
	}

	dispose(): void {
		clearTimeout(this._timer);
		this._members.clear();
	}

	private _schedule(): void {
		const nowMs = performance.now();
		// Steps keep their pace although timers fire late, but a long pause is not caught up.
		this._dueMs = Math.max(this._dueMs + this._stepMs(this._members.size), nowMs);
		this._timer = setTimeout(() => {
			this._run();
		}, this._dueMs - nowMs);
	}

	private _run(): void {
		this._timer = undefined;
		for (const member of this._members) {
			if (!member.step()) {
				this._members.delete(member);
			}
		}

		if (this._members.size > 0) {
			this._schedule();
		}
	}
}
