import {setTimeout as sleep} from 'node:timers/promises';

/** Default pause before an operation that the disk refused is repeated, in milliseconds. */
const defaultPauseMs = 200;

/** An operation that the disk refused, and why. */
export type Refusal = {
	/** Step of the storage during which the disk refused, for example `append`. */
	readonly step: string;
	/** Error code of the operating system, for example `ENOSPC`. */
	readonly code: string;
	/** Message of the operating system, with the system call and the path. */
	readonly detail: string;
};

export type RefusalRetryOptions = {
	/** Pause before a refused operation is repeated, in milliseconds; undefined for the default. */
	readonly pauseMs?: number | undefined;
	/** Called for the first refusal of an operation, and again when the code of its refusals changes. */
	readonly onRefused?: ((refusal: Refusal) => void) | undefined;
	/** Called when the disk has accepted an operation that it had refused, with the number of refusals. */
	readonly onAccepted?: ((step: string, refusals: number) => void) | undefined;
};

/**
Repeats operations that the disk refuses until it accepts them. An error of the operating system tells nothing about how long it will
last: a disk that is full, read-only or unreachable now may accept the same write a moment later. Other errors are passed on.
*/
export class RefusalRetry {
	private readonly _disposal = new AbortController();

	constructor(private readonly _options: RefusalRetryOptions) {}

	/** Runs an operation until the disk accepts it. The operation must be repeatable, and undo what an earlier attempt left. Rejects with errors that are not of the operating system, and after `dispose`. */
	async run<T>(step: string, operation: (isRepetition: boolean) => Promise<T>): Promise<T> {
		let refusals = 0;
		let lastCode: string | undefined;
		for (;;) {
			try {
				const result = await operation(refusals > 0);
				if (refusals > 0) {
					this._options.onAccepted?.(step, refusals);
				}

				return result;
			} catch (err) {
				if (!isSystemError(err)) {
					throw err;
				}

				refusals++;
				if (err.code !== lastCode) {
					lastCode = err.code;
					this._options.onRefused?.({step, code: err.code, detail: err.message});
				}

				await sleep(this._options.pauseMs ?? defaultPauseMs, undefined, {signal: this._disposal.signal});
			}
		}
	}

	/** Ends the pause in progress; the operation that waits rejects. */
	dispose(): void {
		this._disposal.abort();
	}
}

/** Returns whether the error comes from the operating system rather than from the code of this process. */
export function isSystemError(err: unknown): err is Error & {code: string; errno: number} {
	return err instanceof Error && typeof (err as NodeJS.ErrnoException).errno === 'number' && typeof (err as NodeJS.ErrnoException).code === 'string';
}
