import {z} from 'zod';

/**
Header with the id of a call, unique among all calls. The engine repeats it in the head of its answer, whatever the status, so that the
answer to another call is recognized before anything else of it is evaluated.
*/
export const callIdHeader = 'x-call-id';

/** Identity of the entry process that owns a request on an engine. */
export const ownerSchema = z.strictObject({vm: z.string(), incarnation: z.int()});

/** Body of `POST /v1/prefill`. The engine answers 429 `{code: 'full'}` if it has no capacity and did not run the request. */
export const prefillRequestSchema = z.strictObject({
	requestId: z.string(), owner: ownerSchema, model: z.string(), prompt: z.string(), priority: z.int().min(0).max(9),
});

/** Reply to `POST /v1/prefill`. */
export const prefillReplySchema = z.strictObject({
	/** Identifies the KV cache that the prefill created on this engine. */
	handle: z.string(),
	/** Number of tokens of the prompt. */
	promptTokens: z.int(),
	/** Number of prompt tokens that were taken from the engine's prefix cache instead of being computed. */
	cachedTokens: z.int(),
	/** Size of the KV cache of the prompt, in bytes. */
	kvBytes: z.int(),
	/** Time for which the engine holds the prefill result, in milliseconds; less than a second. */
	expiresInMs: z.int(),
});

/** Body of `POST /v1/kv/import`. The decode engine pulls the KV cache from `source` and takes a slot. The decode engine answers 429 `full` if it has no capacity and 410 `expired` if the source no longer holds the cache. */
export const importRequestSchema = z.strictObject({
	requestId: z.string(), owner: ownerSchema, source: z.string(), handle: z.string(),
});

/** Reply to `POST /v1/kv/import`. */
export const importReplySchema = z.strictObject({importedBytes: z.int()});

/** Body of `POST /v1/decode`. The engine streams server-sent events numbered from 1 and starts with the first event after number `after`. The engine answers 404 `unknown-request` if it does not hold the request. */
export const decodeRequestSchema = z.strictObject({
	requestId: z.string(), owner: ownerSchema, maxTokens: z.int().min(1), after: z.int().min(0),
});

/** Numbers of tokens that the engines counted for a complete answer. */
export const usageSchema = z.strictObject({promptTokens: z.int(), outputTokens: z.int()});

/** One numbered event of a decode stream. */
export const decodeEventSchema = z.union([
	z.strictObject({requestId: z.string(), n: z.int(), text: z.string()}),
	/** End marker. An answer without it is incomplete. */
	z.strictObject({
		requestId: z.string(), n: z.int(), end: z.literal(true), usage: usageSchema,
	}),
]);

/** Reply to `GET /v1/requests`: the requests that the engine holds. A request in any of these phases is cancelled with `DELETE /v1/requests/:id`, which frees its resources, is idempotent and answers 204. */
export const requestListSchema = z.strictObject({
	requests: z.array(z.strictObject({
		requestId: z.string(), owner: ownerSchema, phase: z.enum(['prefill', 'prefilled', 'importing', 'imported', 'decoding']), kvBlocks: z.int(), ageMs: z.number(),
	})),
});

/** Reply to `GET /v1/load`. The figures may be out of date; `ageMs` is their age in milliseconds. */
export const loadReplySchema = z.strictObject({
	ageMs: z.number(), queuedPrefillTokens: z.int(), activeDecodes: z.int(), slots: z.int(), freeBlocks: z.int(), totalBlocks: z.int(), leaving: z.boolean(),
});

/** Reply to `GET /v1/cache-events?after=N`: the cache events with numbers greater than N. Events are numbered consecutively, so a skipped number means that an event was lost. */
export const cacheEventsReplySchema = z.strictObject({
	events: z.array(z.strictObject({n: z.int(), kind: z.enum(['stored', 'evicted']), hash: z.string()})),
	/** Number of the latest event, which may be an event that was lost. */
	last: z.int(),
});

/** Change that an engine is ordered to make: load a model or an adapter, or set the engine's role. */
export const orderSchema = z.discriminatedUnion('kind', [
	z.strictObject({
		kind: z.literal('load-model'), model: z.string(), version: z.string(), bytes: z.int(),
	}),
	z.strictObject({kind: z.literal('load-adapter'), adapter: z.string(), bytes: z.int()}),
	z.strictObject({kind: z.literal('set-role'), role: z.enum(['prefill', 'decode', 'both'])}),
]);

/** Body of `POST /v1/orders`. An engine that checks fencing tokens answers 409 `{code: 'stale-fencing', highest}` if `fencing` is lower than the highest token it has seen. */
export const orderRequestSchema = z.strictObject({orderId: z.string(), fencing: z.int(), order: orderSchema});

/** Reply to a refused `POST /v1/orders`; `highest` is present with code `stale-fencing`. */
export const orderRefusalSchema = z.looseObject({code: z.string(), highest: z.int().optional()});

/** Reply to `GET /v1/orders`: the engine's state after the last accepted order. */
export const orderStateSchema = z.strictObject({
	highestFencing: z.int(), lastOrderId: z.string().optional(), models: z.array(z.string()), adapters: z.array(z.string()), role: z.enum(['prefill', 'decode', 'both']), loading: z.boolean(),
});

/** Body of an error reply of the engine API. */
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
