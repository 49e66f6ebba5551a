import type {ExecutionStatus} from '../../common/requests/types.js';
import type {EntryPointAnswer} from '../../common/services/entry-point-service.js';

type ProblemDefinition = {
	readonly status: number;
	readonly title: string;
	/** Whether a later retry of the same request may succeed; `if-not-run` means that a retry may succeed only if the refusal states that the request did not run. */
	readonly retry: 'yes' | 'no' | 'if-not-run';
	/** Whether the request may have run; `varies` if that depends on how far the request got. */
	readonly run: ExecutionStatus | 'varies';
};

function defineProblem(status: number, title: string, retry: ProblemDefinition['retry'] = 'no', run: ProblemDefinition['run'] = 'not-run'): ProblemDefinition {
	return {
		status, title, retry, run,
	};
}

/** Problem types by code. The codes are part of the caller API and must not change. */
export const problemDefinitions = {
	'malformed-request': defineProblem(400, 'The request is not valid HTTP'),
	'ambiguous-path': defineProblem(400, 'The path can be read in more than one way'),
	'malformed-json': defineProblem(400, 'The body is not valid JSON'),
	'invalid-request': defineProblem(400, 'The request has an invalid field'),
	'missing-key': defineProblem(401, 'The route needs a key'),
	'unknown-key': defineProblem(401, 'The key is not known'),
	'key-withdrawn': defineProblem(401, 'The key was withdrawn', 'no', 'varies'),
	'not-found': defineProblem(404, 'There is no such resource'),
	'unknown-service': defineProblem(404, 'There is no such service'),
	'method-not-allowed': defineProblem(405, 'The route does not allow the method'),
	'headers-timeout': defineProblem(408, 'The headers did not arrive in time', 'yes'),
	'body-timeout': defineProblem(408, 'The body did not arrive in time', 'yes'),
	'outcome-unknown': defineProblem(409, 'An earlier request with this idempotency key may have run', 'no', 'unknown'),
	'outcome-not-recorded': defineProblem(409, 'An earlier request with this idempotency key ran, but its answer was too large to keep', 'no', 'unknown'),
	'body-too-large': defineProblem(413, 'The body is larger than the limit'),
	'idempotency-conflict': defineProblem(422, 'The idempotency key belongs to a different request'),
	'rate-exceeded': defineProblem(429, 'The tenant has used up its rate', 'yes'),
	'exceeds-burst': defineProblem(429, 'The request costs more than the tenant\'s burst'),
	'too-many-claims': defineProblem(429, 'The tenant has too many requests with idempotency keys', 'yes'),
	'headers-too-large': defineProblem(431, 'The headers are larger than the limit'),
	internal: defineProblem(500, 'The request failed for an unexpected reason', 'no', 'unknown'),
	'engine-failed': defineProblem(502, 'An engine failed', 'yes', 'varies'),
	'upstream-failed': defineProblem(502, 'The service failed', 'if-not-run', 'varies'),
	'control-unreachable': defineProblem(503, 'The shared state cannot be confirmed at the moment', 'yes', 'varies'),
	overloaded: defineProblem(503, 'The service has no room for the request', 'yes', 'varies'),
	deadline: defineProblem(503, 'The request could not start in time', 'yes', 'varies'),
	'no-upstream': defineProblem(503, 'The service has no working upstream', 'if-not-run', 'varies'),
	'request-blocked': defineProblem(503, 'Servers crash on the request', 'yes', 'varies'),
	'prompt-blocked': defineProblem(503, 'Engines crash on a part of the prompt', 'yes', 'varies'),
	timeout: defineProblem(504, 'The request took too long', 'if-not-run', 'varies'),
} as const satisfies Readonly<Record<string, ProblemDefinition>>;

export type ProblemCode = keyof typeof problemDefinitions;

export type ProblemOptions = {
	readonly detail?: string;
	/** Used for codes whose `run` is `varies`; `unknown` if omitted. */
	readonly run?: ExecutionStatus;
	readonly retryAfterMs?: number;
	/** Other entry points that may be able to serve the request. */
	readonly entryPoints?: EntryPointAnswer['entryPoints'];
};

export type Problem = {
	readonly status: number;
	readonly headers: Readonly<Record<string, string>>;
	readonly body: string;
	readonly code: ProblemCode;
	readonly run: ExecutionStatus;
};

/** Retry delay of a retryable problem without `retryAfterMs`, in milliseconds. */
const defaultRetryAfterMs = 1000;

/** Creates a problem document (RFC 9457). `Retry-After` is in whole seconds, rounded up, and only set if a retry may succeed. */
export function createProblem(code: ProblemCode, options: ProblemOptions = {}): Problem {
	const {
		status, title, retry, run: fixedRun,
	}: ProblemDefinition = problemDefinitions[code];
	const run = fixedRun === 'varies' ? options.run ?? 'unknown' : fixedRun;
	const isRetryable = retry === 'yes' || (retry === 'if-not-run' && run === 'not-run');
	const document = {
		type: `urn:jasminehead:problem:${code}`,
		title,
		status,
		detail: options.detail ?? title,
		code,
		run,
		...(options.entryPoints && {entryPoints: options.entryPoints}),
	};
	return {
		status,
		headers: {
			'content-type': 'application/problem+json',
			...(isRetryable && {'retry-after': String(Math.max(1, Math.ceil((options.retryAfterMs ?? defaultRetryAfterMs) / 1000)))}),
		},
		body: JSON.stringify(document),
		code,
		run,
	};
}

/** Thrown to refuse a request; the server sends it to the caller as a problem document. */
export class ProblemError extends Error {
	override readonly name = 'ProblemError';

	constructor(readonly code: ProblemCode, readonly options: ProblemOptions = {}) {
		super(options.detail ?? problemDefinitions[code].title);
	}
}
