import type {RunStatement} from '../../common/requests/types.js';
import type {EntryPointAnswer} from '../../common/services/entry-point-service.js';

type ProblemRow = {
	readonly status: number;
	readonly title: string;
	/** Whether sending the same request again later may succeed; `if-not-run` only where the refusal says so. */
	readonly retry: 'yes' | 'no' | 'if-not-run';
	/** Fixed, or `varies` where it depends on how far the request got. */
	readonly run: RunStatement | 'varies';
};

function row(status: number, title: string, retry: ProblemRow['retry'] = 'no', run: ProblemRow['run'] = 'not-run'): ProblemRow {
	return {
		status, title, retry, run,
	};
}

/** Codes are part of the caller API and stay as they are. */
export const problems = {
	'malformed-request': row(400, 'The request is not valid HTTP'),
	'ambiguous-path': row(400, 'The path can be read in more than one way'),
	'malformed-json': row(400, 'The body is not valid JSON'),
	'invalid-request': row(400, 'The request has an invalid field'),
	'missing-key': row(401, 'The route needs a key'),
	'unknown-key': row(401, 'The key is not known'),
	'key-withdrawn': row(401, 'The key was withdrawn', 'no', 'varies'),
	'not-found': row(404, 'There is no such resource'),
	'unknown-service': row(404, 'There is no such service'),
	'method-not-allowed': row(405, 'The route does not allow the method'),
	'headers-timeout': row(408, 'The headers did not arrive in time', 'yes'),
	'body-timeout': row(408, 'The body did not arrive in time', 'yes'),
	'outcome-unknown': row(409, 'An earlier request with this idempotency key may have run', 'no', 'unknown'),
	'outcome-not-recorded': row(409, 'An earlier request with this idempotency key ran, but its answer was too large to keep', 'no', 'unknown'),
	'body-too-large': row(413, 'The body is larger than the limit'),
	'idempotency-conflict': row(422, 'The idempotency key belongs to a different request'),
	'rate-exceeded': row(429, 'The tenant has used up its rate', 'yes'),
	'exceeds-burst': row(429, 'The request costs more than the tenant\'s burst'),
	'too-many-claims': row(429, 'The tenant has too many requests with idempotency keys', 'yes'),
	'headers-too-large': row(431, 'The headers are larger than the limit'),
	internal: row(500, 'The request failed for an unexpected reason', 'no', 'unknown'),
	'engine-failed': row(502, 'An engine failed', 'yes', 'varies'),
	'upstream-failed': row(502, 'The service failed', 'if-not-run', 'varies'),
	'control-unreachable': row(503, 'The shared state cannot be confirmed at the moment', 'yes', 'varies'),
	overloaded: row(503, 'The service has no room for the request', 'yes', 'varies'),
	deadline: row(503, 'The request could not start in time', 'yes', 'varies'),
	'no-upstream': row(503, 'The service has no working upstream', 'if-not-run', 'varies'),
	timeout: row(504, 'The request took too long', 'if-not-run', 'varies'),
} as const satisfies Readonly<Record<string, ProblemRow>>;

export type ProblemCode = keyof typeof problems;

export type ProblemOptions = {
	readonly detail?: string;
	/** Needed where the table says `varies`. */
	readonly run?: RunStatement;
	readonly retryAfterMs?: number;
	/** Other addresses that may serve the request. */
	readonly entryPoints?: EntryPointAnswer['entryPoints'];
};

export type Problem = {
	readonly status: number;
	readonly headers: Readonly<Record<string, string>>;
	readonly body: string;
	readonly code: ProblemCode;
	readonly run: RunStatement;
};

/** Retry delay where the cause gives none, in milliseconds. */
const defaultRetryAfterMs = 1000;

/** Builds a problem document (RFC 9457). `Retry-After` has whole seconds, rounded up. */
export function problem(code: ProblemCode, options: ProblemOptions = {}): Problem {
	const {
		status, title, retry, run: fixedRun,
	}: ProblemRow = problems[code];
	const run = fixedRun === 'varies' ? options.run ?? 'unknown' : fixedRun;
	const isWorthRetrying = retry === 'yes' || (retry === 'if-not-run' && run === 'not-run');
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
			...(isWorthRetrying && {'retry-after': String(Math.max(1, Math.ceil((options.retryAfterMs ?? defaultRetryAfterMs) / 1000)))}),
		},
		body: JSON.stringify(document),
		code,
		run,
	};
}

/** A refusal on its way to the caller. */
export class ProblemError extends Error {
	override readonly name = 'ProblemError';

	constructor(readonly code: ProblemCode, readonly options: ProblemOptions = {}) {
		super(options.detail ?? problems[code].title);
	}
}
