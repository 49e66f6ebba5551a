import {errors} from 'undici';
import type {CallFailure} from '../../common/requests/types.js';

/** Error of a failed call to an upstream. */
export class CallError extends Error {
	/** Converts any error of a call to a `CallError`; a `CallError` is returned unchanged. */
	static from(err: unknown, {mayHaveBeenSent, isTimeout}: {readonly mayHaveBeenSent: boolean; readonly isTimeout: boolean}): CallError {
		if (err instanceof CallError) {
			return err;
		}

		const message = err instanceof Error ? err.message : String(err);
		if (isTimeout) {
			return new CallError('timeout', mayHaveBeenSent, 'no answer in time');
		}

		// Undici rejected the call's own arguments, so the upstream is not at fault and the call counts as neither `broken` nor `unreachable`.
		if (err instanceof errors.InvalidArgumentError) {
			return new CallError('error', mayHaveBeenSent, message);
		}

		return new CallError(mayHaveBeenSent ? 'broken' : 'unreachable', mayHaveBeenSent, message);
	}

	override readonly name = 'CallError';

	constructor(readonly kind: CallFailure['kind'], readonly mayHaveBeenSent: boolean, message: string) {
		super(message);
	}

	/** Failure as reported to the request's lifecycle. */
	get failure(): CallFailure {
		return {kind: this.kind, mayHaveBeenSent: this.mayHaveBeenSent};
	}
}

/** Error of a call whose answer belongs to another call. The upstream was reached, and may have run the call. */
export class ForeignAnswerError extends CallError {
	constructor(message = 'the answer belongs to another request') {
		super('broken', true, message);
	}
}

/** Converts an error thrown by an adapter to the failure that is reported to the request's lifecycle. An error of unknown origin counts as a broken call that may have been sent. */
export function failureOf(err: unknown): CallFailure {
	return err instanceof CallError ? err.failure : {kind: 'broken', mayHaveBeenSent: true};
}
