type ScheduledAction = {readonly atMs: number; readonly order: number; readonly run: (nowMs: number) => void};

/** Event queue of a discrete-event simulation. Runs actions in order of virtual time, and in order of insertion at equal times. */
export class Timeline {
	/** Current virtual time, in milliseconds. */
	nowMs = 0;
	/** Binary min-heap of the scheduled actions, ordered by time and then by order of insertion. */
	private readonly _heap: ScheduledAction[] = [];
	private _nextOrder = 0;

	scheduleAt(atMs: number, run: ScheduledAction['run']): void {
		this._heap.push({atMs, order: this._nextOrder++, run});
		let i = this._heap.length - 1;
		while (i > 0 && this._isBefore(i, (i - 1) >> 1)) { // eslint-disable-line no-bitwise -- index of the parent
			i = this._swap(i, (i - 1) >> 1); // eslint-disable-line no-bitwise -- index of the parent
		}
	}

	scheduleAfter(delayMs: number, run: ScheduledAction['run']): void {
		this.scheduleAt(this.nowMs + delayMs, run);
	}

	/** Runs the action every `intervalMs` milliseconds of virtual time, without end. */
	scheduleEvery(intervalMs: number, run: ScheduledAction['run']): void {
		this.scheduleAfter(intervalMs, nowMs => {
			run(nowMs);
			this.scheduleEvery(intervalMs, run);
		});
	}

	runUntil(endMs: number): void {
		for (let next = this._heap[0]; next && next.atMs <= endMs; next = this._heap[0]) {
			this._removeFirst();
			this.nowMs = next.atMs;
			next.run(next.atMs);
		}
	}

	private _removeFirst(): void {
		const last = this._heap.pop()!;
		if (this._heap.length === 0) {
			return;
		}

		this._heap[0] = last;
		for (let i = 0, earliest = this._earliestOf(0); earliest !== i; earliest = this._earliestOf(i)) {
			i = this._swap(i, earliest);
		}
	}

	/** Returns the index of the earliest among an entry of the heap and its children. */
	private _earliestOf(i: number): number {
		let earliest = i;
		for (const child of [(2 * i) + 1, (2 * i) + 2]) {
			if (child < this._heap.length && this._isBefore(child, earliest)) {
				earliest = child;
			}
		}

		return earliest;
	}

	private _isBefore(i: number, j: number): boolean {
		const [a, b] = [this._heap[i]!, this._heap[j]!];
		return a.atMs === b.atMs ? a.order < b.order : a.atMs < b.atMs;
	}

	private _swap(i: number, j: number): number {
		[this._heap[i], this._heap[j]] = [this._heap[j]!, this._heap[i]!];
		return j;
	}
}
