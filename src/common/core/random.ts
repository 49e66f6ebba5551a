/** Pseudo-random number generator (mulberry32). The same seed yields the same sequence, so that runs are reproducible. */
export class SeededRandom {
	private _state: number;

	constructor(seed: number) {
		this._state = Math.trunc(seed) % 4_294_967_296;
	}

	/** Returns a uniformly distributed number in [0, 1). */
	next(): number {
		/* eslint-disable no-bitwise, unicorn/prefer-math-trunc, operator-assignment -- the generator is defined on 32-bit words */
		this._state = (this._state + 0x6D_2B_79_F5) | 0;
		let word = Math.imul(this._state ^ (this._state >>> 15), 1 | this._state);
		word = (word + Math.imul(word ^ (word >>> 7), 61 | word)) ^ word;
		return ((word ^ (word >>> 14)) >>> 0) / 4_294_967_296;
		/* eslint-enable no-bitwise, unicorn/prefer-math-trunc, operator-assignment */
	}

	/** Returns a uniformly distributed integer in [from, to). */
	integer(from: number, to: number): number {
		return from + Math.floor(this.next() * (to - from));
	}

	/** Returns a random item of a non-empty list. */
	pick<T>(items: readonly T[]): T {
		return items[this.integer(0, items.length)]!;
	}
}
