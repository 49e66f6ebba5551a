import {errors} from 'undici';
import type {CallFailure} from '../../common/requests/types.js';

/** A failed call to an upstream. */
export class CallError extends Error {
	static from(err: unknown, {maySent, isTimeout}: {readonly maySent: boolean; readonly isTimeout: boolean}): CallError {
		if (err instanceof CallError) {
			return err;
		}

		const message = err instanceof Error ? err.message : String(err);
		if (isTimeout) {
			return new CallError('timeout', maySent, 'no answer in time');
		}

		// The message itself is at fault, not the upstream.
		if (err instanceof errors.InvalidArgumentError) {
			return new CallError('error', maySent, message);
		}

		return new CallError(maySent ? 'broken' : 'unreachable', maySent, message);
	}

	override readonly name = 'CallError';

	constructor(readonly kind: CallFailure['kind'], readonly maySent: boolean, message: string) {
		super(message);
	}

	get failure(): CallFailure {
		return {kind: this.kind, maySent: this.maySent};
	}
}

/** What an error thrown by an adapter says to the request's lifecycle. */
export function failureOf(err: unknown): CallFailure {
	return err instanceof CallError ? err.failure : {kind: 'broken', maySent: true};
}
