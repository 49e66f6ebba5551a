export type {AssemblerState, AssemblyResult} from './answer-assembler.js';
export type {ModelRequestEffect, ModelRequestEvent, ModelRequestState} from './model-lifecycle.js';
export type {PlainRequestEffect, PlainRequestEvent, PlainRequestState} from './plain-lifecycle.js';

/** What is known about a refused request: `not-run` if it ran on no upstream, `unknown` if it may have run. */
export type ExecutionStatus = 'not-run' | 'unknown';

/** Why this process stops a request before its answer is complete. */
export type StopReason = 'caller-gone' | 'key-withdrawn' | 'deadline' | 'slow-reader' | 'stale-view';

/** Describes a failed call to an upstream. */
export type CallFailure = {
	readonly kind:
		/** No connection was established, so nothing was sent. */
		| 'unreachable'
		/** The upstream refused the call for lack of capacity and did not run it. */
		| 'full'
		/** The upstream no longer holds the request or KV cache that the call refers to. */
		| 'gone'
		/** The upstream did not answer before the timeout. */
		| 'timeout'
		/** The connection broke or the answer was invalid. */
		| 'broken'
		/** The upstream answered with an error status that no other kind covers, or the call itself was invalid. */
		| 'error';
	/** Whether any byte of the call may have left this process. */
	readonly mayHaveBeenSent: boolean;
};
