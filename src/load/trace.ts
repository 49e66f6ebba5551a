/** Trace format: JSON Lines. The first line is the header, every further line one request, in order of `atMs`. */
import {z} from 'zod';

export const traceHeaderSchema = z.strictObject({
	kind: z.literal('header'),
	format: z.literal(1),
	workload: z.enum(['bereket', 'vanua']),
	seed: z.int(),
	durationMs: z.number().positive(),
	/** Limits of the tenants: tokens per second, and tokens at once. */
	tenants: z.record(z.string(), z.strictObject({rate: z.number(), burst: z.number()})),
});

const commonFields = {
	/** Unique in the trace. */
	id: z.string(),
	/** When the caller sends it, in milliseconds from the start of the trace. */
	atMs: z.number().nonnegative(),
	tenant: z.string(),
	service: z.string(),
	/** The caller closes the connection this long after sending, in milliseconds. */
	cancelAfterMs: z.number().positive().optional(),
	/** Latency target until the first token, or until the answer of a plain service, in milliseconds. */
	firstTokenTargetMs: z.number().positive(),
};

export const modelRequestSchema = z.strictObject({
	kind: z.literal('model'),
	...commonFields,
	betweenTokensTargetMs: z.number().positive(),
	maxTokens: z.int().min(1),
	/** The prompt: shared texts by name, each with its length in tokens, and then a text of the request's own. */
	shared: z.array(z.strictObject({name: z.string(), tokens: z.int()})),
	ownTokens: z.int(),
});

export const plainRequestSchema = z.strictObject({
	kind: z.literal('plain'),
	...commonFields,
	method: z.enum(['GET', 'POST']),
	path: z.string().startsWith('/'),
	/** Whether the route may run more than once. */
	isIdempotent: z.boolean(),
	isOpen: z.boolean(),
	idempotencyKey: z.string().optional(),
	/** The service repeats this in its answer; a resend carries the `ref` of the first request. */
	ref: z.string(),
	/** Tokens taken from the tenant's limit. */
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

/** Parses a trace; throws on a line that does not follow the format. */
export function readTrace(text: string): Trace {
	const [first, ...rest] = text.trimEnd().split('\n');
	return {
		header: traceHeaderSchema.parse(JSON.parse(first ?? '')),
		requests: rest.map(line => traceRequestSchema.parse(JSON.parse(line))),
	};
}
