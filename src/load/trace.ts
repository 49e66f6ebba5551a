/** Trace file format: JSON Lines. The first line is the header; each further line is one request, in order of `atMs`. */
import {z} from 'zod';

export const traceHeaderSchema = z.strictObject({
	kind: z.literal('header'),
	format: z.literal(1),
	workload: z.enum(['bereket', 'vanua']),
	seed: z.int(),
	/** Duration of the trace, in milliseconds. */
	durationMs: z.number().positive(),
	/** Rate limit by customer: `rate` in tokens per second and `burst` in tokens. */
	tenants: z.record(z.string(), z.strictObject({rate: z.number(), burst: z.number()})),
});

const commonFields = {
	/** Request id, unique within the trace. */
	id: z.string(),
	/** Time at which the caller sends the request, in milliseconds from the start of the trace. */
	atMs: z.number().nonnegative(),
	tenant: z.string(),
	service: z.string(),
	/** Delay from sending until the caller closes the connection, in milliseconds; undefined if the caller does not cancel the request. */
	cancelAfterMs: z.number().positive().optional(),
	/** Latency target for the first token, or for the answer of a plain service, in milliseconds. */
	firstTokenTargetMs: z.number().positive(),
};

export const modelRequestSchema = z.strictObject({
	kind: z.literal('model'),
	...commonFields,
	/** Latency target for the 95th percentile of the times between consecutive tokens, in milliseconds. */
	betweenTokensTargetMs: z.number().positive(),
	/** Maximum number of output tokens. */
	maxTokens: z.int().min(1),
	/** Named texts at the start of the prompt that other requests share, with their lengths in tokens. They are followed by `ownTokens` tokens of text unique to the request. */
	shared: z.array(z.strictObject({name: z.string(), tokens: z.int()})),
	/** Length of the part of the prompt that is unique to the request, in tokens, without the request marker. */
	ownTokens: z.int(),
});

export const plainRequestSchema = z.strictObject({
	kind: z.literal('plain'),
	...commonFields,
	method: z.enum(['GET', 'POST']),
	path: z.string().startsWith('/'),
	/** Whether the route is idempotent, so that the call may run more than once. */
	isIdempotent: z.boolean(),
	/** Whether the route is open, so that no API key is sent. */
	isOpen: z.boolean(),
	/** Value of the `idempotency-key` header; undefined if the call is sent without one. */
	idempotencyKey: z.string().optional(),
	/** Call id that the service echoes in its answer; a resend carries the `ref` of the original request. */
	ref: z.string(),
	/** Number of tokens that the call charges to the customer's rate limit. */
	cost: z.int(),
});

export const traceRequestSchema = z.discriminatedUnion('kind', [modelRequestSchema, plainRequestSchema]);

export type TraceHeader = z.infer<typeof traceHeaderSchema>;
export type ModelTraceRequest = z.infer<typeof modelRequestSchema>;
export type PlainTraceRequest = z.infer<typeof plainRequestSchema>;
export type TraceRequest = z.infer<typeof traceRequestSchema>;

export type Trace = {
	readonly header: TraceHeader;
	readonly requests: readonly TraceRequest[];
};

export function writeTrace({header, requests}: Trace): string {
	return [header, ...requests].map(line => JSON.stringify(line)).join('\n') + '\n';
}

/** Parses a trace file. Throws if a line is not valid. */
export function readTrace(text: string): Trace {
	const [first, ...rest] = text.trimEnd().split('\n');
	return {
		header: traceHeaderSchema.parse(JSON.parse(first ?? '')),
		requests: rest.map(line => traceRequestSchema.parse(JSON.parse(line))),
	};
}
