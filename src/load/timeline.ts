type Entry = {readonly atMs: number; readonly order: number; readonly run: (nowMs: number) => void};

/** Virtual time: runs actions in order of time, and in order of insertion at equal times. */
export class Timeline {
	nowMs = 0;
	/** Binary heap, earliest first. */
	private readonly _heap: Entry[] = [];
	private _nextOrder = 0;

	at(atMs: number, run: Entry['run']): void {
		this._heap.push({atMs, order: this._nextOrder++, run});
		let i = this._heap.length - 1;
		while (i > 0 && this._isBefore(i, (i - 1) >> 1)) { // eslint-disable-line no-bitwise -- index of the parent
			i = this._swap(i, (i - 1) >> 1); // eslint-disable-line no-bitwise -- index of the parent
		}
	}

	after(delayMs: number, run: Entry['run']): void {
		this.at(this.nowMs + delayMs, run);
	}

	/** Repeats the action for as long as time runs. */
	repeat(intervalMs: number, run: Entry['run']): void {
		this.after(intervalMs, nowMs => {
			run(nowMs);
			this.repeat(intervalMs, run);
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
		for (let i = 0, least = this._leastOf(0); least !== i; least = this._leastOf(i)) {
			i = this._swap(i, least);
		}
	}

	/** Index of the earliest among an entry and its children. */
	private _leastOf(i: number): number {
		let least = i;
		for (const child of [(2 * i) + 1, (2 * i) + 2]) {
			if (child < this._heap.length && this._isBefore(child, least)) {
				least = child;
			}
		}

		return least;
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
