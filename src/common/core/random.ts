/** Seeded pseudo-random numbers (mulberry32), so that a run can be repeated. */
export class SeededRandom {
	private _state: number;

	constructor(seed: number) {
		this._state = Math.trunc(seed) % 4_294_967_296;
	}

	/** Uniform in [0, 1). */
	next(): number {
		/* eslint-disable no-bitwise, unicorn/prefer-math-trunc, operator-assignment -- the generator is defined on 32-bit words */
		this._state = (this._state + 0x6D_2B_79_F5) | 0;
		let word = Math.imul(this._state ^ (this._state >>> 15), 1 | this._state);
		word = (word + Math.imul(word ^ (word >>> 7), 61 | word)) ^ word;
		return ((word ^ (word >>> 14)) >>> 0) / 4_294_967_296;
		/* eslint-enable no-bitwise, unicorn/prefer-math-trunc, operator-assignment */
	}

	/** Whole number in [from, to). */
	integer(from: number, to: number): number {
		return from + Math.floor(this.next() * (to - from));
	}

	/** One item of a list that is not empty. */
	pick<T>(items: readonly T[]): T {
		return items[this.integer(0, items.length)]!;
	}
}
