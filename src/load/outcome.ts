import type {EngineRecord} from '../../fakes/engine.js';
import type {PlainServiceRecord} from '../../fakes/plain-service.js';
import type {Trace, TraceRequest} from './trace.js';

/**
Result of a request as seen by the caller:
- `complete`: answered in full, with the expected content.
- `refused`: the request was not run, either because the router says so or because no connection was established.
- `unknown`: the request may have run.
- `cancelled`: cancelled by the caller.
- `crossed`: the answer contains content of another request.
- `incomplete`: the answer was presented as complete but lacks content.
*/
export type OutcomeKind = 'complete' | 'refused' | 'unknown' | 'cancelled' | 'crossed' | 'incomplete';

/** One attempt to send a request over one connection; times are in milliseconds from the start of the replay. */
export type Attempt = {
	readonly sentMs: number;
	readonly endMs: number;
	/** Whether the connection broke before an answer arrived, so that the caller does not know whether the request ran. */
	readonly isBroken: boolean;
};

/** Result of one request; times are in milliseconds from the start of the replay. */
export type Outcome = {
	readonly request: TraceRequest;
	readonly kind: OutcomeKind;
	readonly sentMs: number;
	/** Time of the first token, or of the first byte of a plain service's answer; undefined if neither arrived. */
	readonly firstMs?: number;
	readonly endMs: number;
	/** Times between consecutive tokens, in milliseconds. */
	readonly gapsMs: readonly number[];
	readonly outputTokens: number;
	/** HTTP status of the answer; undefined if no answer arrived. */
	readonly status?: number;
	/** Code of the problem document, or of the connection error; undefined if there was neither. */
	readonly code?: string;
	/** Attempts in the order in which they were made. */
	readonly attempts: readonly Attempt[];
};

/** Outcomes observed by the callers and records kept by the upstreams during one replay. */
export type ReplayResult = {
	readonly trace: Trace;
	/** Start of the replay as a Unix timestamp in milliseconds; times of outcomes are relative to it. */
	readonly startedMs: number;
	readonly outcomes: readonly Outcome[];
	readonly engines: readonly EngineRecord[];
	readonly plain: readonly PlainServiceRecord[];
};
