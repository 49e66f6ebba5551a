import {z} from 'zod';

/** Identity of the entry process that owns a request on an engine. */
export const ownerSchema = z.strictObject({vm: z.string(), incarnation: z.int()});

/** `POST /v1/prefill`; 429 `{code: 'full'}` means not run. */
export const prefillRequestSchema = z.strictObject({
	requestId: z.string(), owner: ownerSchema, model: z.string(), prompt: z.string(), priority: z.int().min(0).max(9),
});

export const prefillReplySchema = z.strictObject({
	/** Names the KV cache made by the prefill on this engine. */
	handle: z.string(),
	promptTokens: z.int(),
	cachedTokens: z.int(),
	kvBytes: z.int(),
	/** How long the engine keeps the result, in milliseconds; under a second. */
	expiresInMs: z.int(),
});

/** `POST /v1/kv/import` on the decode engine, which pulls from `source` and takes a slot; 429 `full`, 410 `expired`. */
export const importRequestSchema = z.strictObject({
	requestId: z.string(), owner: ownerSchema, source: z.string(), handle: z.string(),
});

export const importReplySchema = z.strictObject({importedBytes: z.int()});

/** `POST /v1/decode` answers with server-sent events numbered from 1; `after` resumes behind that number. 404 `unknown-request`. */
export const decodeRequestSchema = z.strictObject({
	requestId: z.string(), owner: ownerSchema, maxTokens: z.int().min(1), after: z.int().min(0),
});

export const usageSchema = z.strictObject({promptTokens: z.int(), outputTokens: z.int()});

export const decodeEventSchema = z.union([
	z.strictObject({requestId: z.string(), n: z.int(), text: z.string()}),
	/** The end marker; an answer without it is not complete. */
	z.strictObject({
		requestId: z.string(), n: z.int(), end: z.literal(true), usage: usageSchema,
	}),
]);

/** `GET /v1/requests`. `DELETE /v1/requests/:id` cancels and frees at any phase, answers 204, and may be repeated. */
export const requestListSchema = z.strictObject({
	requests: z.array(z.strictObject({
		requestId: z.string(), owner: ownerSchema, phase: z.enum(['prefill', 'prefilled', 'importing', 'imported', 'decoding']), kvBlocks: z.int(), ageMs: z.number(),
	})),
});

/** `GET /v1/load`; the figures lag. */
export const loadReplySchema = z.strictObject({
	ageMs: z.number(), queuedPrefillTokens: z.int(), activeDecodes: z.int(), slots: z.int(), freeBlocks: z.int(), totalBlocks: z.int(), leaving: z.boolean(),
});

/** `GET /v1/cache-events?after=N`; numbers rise by one, so a jump is a gap. */
export const cacheEventsReplySchema = z.strictObject({
	events: z.array(z.strictObject({n: z.int(), kind: z.enum(['stored', 'evicted']), hash: z.string()})),
	/** Number of the last event so far, published or lost. */
	last: z.int(),
});

export const orderSchema = z.discriminatedUnion('kind', [
	z.strictObject({
		kind: z.literal('load-model'), model: z.string(), version: z.string(), bytes: z.int(),
	}),
	z.strictObject({kind: z.literal('load-adapter'), adapter: z.string(), bytes: z.int()}),
	z.strictObject({kind: z.literal('set-role'), role: z.enum(['prefill', 'decode', 'both'])}),
]);

/** `POST /v1/orders`; an engine that checks fencing answers 409 `{code: 'stale-fencing', highest}` to an old number. */
export const orderRequestSchema = z.strictObject({orderId: z.string(), fencing: z.int(), order: orderSchema});

/** Body of a refusal of `POST /v1/orders`; `highest` comes with `stale-fencing`. */
export const orderRefusalSchema = z.looseObject({code: z.string(), highest: z.int().optional()});

/** `GET /v1/orders`: state after the last accepted order. */
export const orderStateSchema = z.strictObject({
	highestFencing: z.int(), lastOrderId: z.string().optional(), models: z.array(z.string()), adapters: z.array(z.string()), role: z.enum(['prefill', 'decode', 'both']), loading: z.boolean(),
});

/** Error body of the engine API. */
export const engineErrorSchema = z.looseObject({code: z.string()});

export type Owner = z.infer<typeof ownerSchema>;
export type PrefillRequest = z.infer<typeof prefillRequestSchema>;
export type PrefillReply = z.infer<typeof prefillReplySchema>;
export type ImportRequest = z.infer<typeof importRequestSchema>;
export type DecodeRequest = z.infer<typeof decodeRequestSchema>;
export type DecodeEvent = z.infer<typeof decodeEventSchema>;
export type Usage = z.infer<typeof usageSchema>;
export type RequestList = z.infer<typeof requestListSchema>;
export type LoadReply = z.infer<typeof loadReplySchema>;
export type CacheEventsReply = z.infer<typeof cacheEventsReplySchema>;
export type Order = z.infer<typeof orderSchema>;
export type OrderRequest = z.infer<typeof orderRequestSchema>;
export type OrderState = z.infer<typeof orderStateSchema>;
