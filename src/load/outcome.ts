import type {EngineRecord} from '../../fakes/engine.js';
import type {PlainServiceRecord} from '../../fakes/plain-service.js';
import type {Trace, TraceRequest} from './trace.js';

/**
What became of a request, from the caller's view:
`complete` answered in full and to the right caller; `refused` not run, by the router's own word;
`unknown` may have run; `cancelled` by the caller; `crossed` holds another request's content;
`incomplete` presented as whole but is not.
*/
export type OutcomeKind = 'complete' | 'refused' | 'unknown' | 'cancelled' | 'crossed' | 'incomplete';

/** One connection over which a request was sent; times are in milliseconds from the start of the replay. */
export type Attempt = {
	readonly sentMs: number;
	readonly endMs: number;
	/** Whether it ended without an answer, so that the caller knows nothing of what became of it. */
	readonly isBroken: boolean;
};

/** Result of one request; times are in milliseconds from the start of the replay. */
export type Outcome = {
	readonly request: TraceRequest;
	readonly kind: OutcomeKind;
	readonly sentMs: number;
	/** First token, or first byte of the answer of a plain service. */
	readonly firstMs?: number;
	readonly endMs: number;
	/** Times between tokens. */
	readonly gapsMs: readonly number[];
	readonly outputTokens: number;
	readonly status?: number;
	/** Code of the problem document, or of the error of the connection. */
	readonly code?: string;
	/** Connections tried, in order. */
	readonly attempts: readonly Attempt[];
};

/** What the callers and the upstreams saw of one replay. */
export type ReplayResult = {
	readonly trace: Trace;
	/** Unix milliseconds at which the times of the outcomes begin. */
	readonly startedMs: number;
	readonly outcomes: readonly Outcome[];
	readonly engines: readonly EngineRecord[];
	readonly plain: readonly PlainServiceRecord[];
};
