import {errors} from 'undici';
import type {CallFailure} from '../../common/requests/types.js';

/** Error of a failed call to an upstream. */
export class CallError extends Error {
	/** Converts any error of a call; a `CallError` is returned unchanged. */
	static from(err: unknown, {maySent, isTimeout}: {readonly maySent: boolean; readonly isTimeout: boolean}): CallError {
		if (err instanceof CallError) {
			return err;
		}

		const message = err instanceof Error ? err.message : String(err);
		if (isTimeout) {
			return new CallError('timeout', maySent, 'upstream did not answer before the timeout');
		}

		// Undici rejected the call's own arguments, so the upstream is not at fault.
		if (err instanceof errors.InvalidArgumentError) {
			return new CallError('error', maySent, message);
		}

		return new CallError(maySent ? 'broken' : 'unreachable', maySent, message);
	}

	override readonly name = 'CallError';

	constructor(readonly kind: CallFailure['kind'], readonly maySent: boolean, message: string) {
		super(message);
	}

	/** Failure as reported to the request's lifecycle. */
	get failure(): CallFailure {
		return {kind: this.kind, maySent: this.maySent};
	}
}

/** Converts an error thrown by an adapter to the failure that is reported to the request's lifecycle. An error of unknown origin counts as a broken call that may have been sent. */
export function failureOf(err: unknown): CallFailure {
	return err instanceof CallError ? err.failure : {kind: 'broken', maySent: true};
}
