import {z} from 'zod';

export const placeRequestSchema = z.strictObject({
	requestId: z.string().max(128),
	service: z.string(),
	tenant: z.string(),
	/** Priority from the service's profile; 0 is served first. */
	priority: z.int().min(0).max(9),
	/** Shedding order from the service's profile; requests with a higher number are shed first. */
	shedOrder: z.int().min(0).max(9),
	promptTokens: z.int().min(1),
	maxTokens: z.int().min(1),
	/** Hashes of the prompt's leading blocks. Each hash also covers all preceding blocks. */
	prefix: z.array(z.string()).max(64),
	/** Maximum time in the queue, in milliseconds. */
	maxWaitMs: z.number().nonnegative(),
	/** Time left until the latency target of the first token is missed, in milliseconds. */
	budgetMs: z.number(),
	/** Availability zone of the entry process. */
	zone: z.string(),
});

export const placementSchema = z.strictObject({
	reservation: z.string(),
	/** Lease epoch of the scheduler that placed the request; 0 for a local placement. */
	epoch: z.int().min(0),
	/** Names of the upstreams for prefill and decode. */
	prefill: z.string(),
	decode: z.string(),
});

export const placeReplySchema = z.discriminatedUnion('kind', [
	z.strictObject({kind: z.literal('placed'), placement: placementSchema}),
	z.strictObject({
		kind: z.literal('refused'),
		code: z.enum(['overloaded', 'deadline', 'no-upstream']),
		retryAfterMs: z.number().nonnegative(),
	}),
]);

export const progressSchema = z.discriminatedUnion('phase', [
	/** The prefill is complete; `cachedTokens` corrects the scheduler's prefix index. */
	z.strictObject({
		phase: z.literal('prefilled'), reservation: z.string(), promptTokens: z.int(), cachedTokens: z.int(), durationMs: z.number(),
	}),
	z.strictObject({phase: z.literal('transferred'), reservation: z.string(), durationMs: z.number()}),
	z.strictObject({phase: z.literal('first-token'), reservation: z.string(), durationMs: z.number()}),
	/** The request no longer occupies its engines, for whatever reason. */
	z.strictObject({
		phase: z.literal('ended'), reservation: z.string(), outputTokens: z.int(), reason: z.enum(['complete', 'cancelled', 'failed']), failedUpstream: z.string().optional(),
	}),
]);

/** Reason why a decode engine did not accept a request. A full engine is healthy and must not be ejected. */
export const decodeFailureSchema = z.strictObject({upstream: z.string(), cause: z.enum(['failed', 'full'])});

export type DecodeFailure = z.infer<typeof decodeFailureSchema>;
export type PlacementRequest = z.infer<typeof placeRequestSchema>;
export type Placement = z.infer<typeof placementSchema>;
export type PlacementReply = z.infer<typeof placeReplySchema>;
export type Progress = z.infer<typeof progressSchema>;

/** Requests placements from the scheduler of a pool shard; falls back to local placement while no scheduler answers. */
export abstract class SchedulerClient {
	/** Resolves when the request may start its prefill or is refused. Aborting `signal`, such as when the caller disconnects, cancels the placement. */
	abstract place(req: PlacementRequest, signal: AbortSignal): Promise<PlacementReply>;
	/** Moves a reservation to another decode engine after a failed transfer. */
	abstract replaceDecode(reservation: string, failure: DecodeFailure): Promise<PlacementReply>;
	abstract reportProgress(progress: Progress): void;
}
