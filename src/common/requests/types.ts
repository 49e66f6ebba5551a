export type {AssemblerState, Assembled} from './assembler.js';
export type {ModelEffect, ModelEvent, ModelState} from './model-lifecycle.js';
export type {PlainEffect, PlainEvent, PlainState} from './plain-lifecycle.js';

/** What a refusal may say about the refused request. */
export type RunStatement = 'not-run' | 'unknown';

/** Why a request ends before its answer does. */
export type StopReason = 'caller-gone' | 'key-withdrawn' | 'deadline' | 'slow-reader' | 'stale-view';

/** How a call to an upstream failed. */
export type CallFailure = {
	readonly kind:
		/** No connection was made, so nothing was sent. */
		| 'unreachable'
		/** The upstream answered that it is full and did not run the call. */
		| 'full'
		/** The upstream no longer has what the call refers to. */
		| 'gone'
		/** The upstream did not answer in time. */
		| 'timeout'
		/** The connection broke or the answer was not valid. */
		| 'broken'
		/** The upstream answered with another error. */
		| 'error';
	/** Whether any byte of the call may have left this process. */
	readonly maySent: boolean;
};
