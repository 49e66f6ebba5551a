import {z} from 'zod';

export const placeRequestSchema = z.strictObject({
	requestId: z.string().max(128),
	service: z.string(),
	tenant: z.string(),
	/** From the profile; 0 is served first. */
	priority: z.int().min(0).max(9),
	/** From the profile; higher is shed first. */
	shedOrder: z.int().min(0).max(9),
	promptTokens: z.int().min(1),
	maxTokens: z.int().min(1),
	/** Hashes of the prompt's leading blocks, each covering all blocks before it. */
	prefix: z.array(z.string()).max(64),
	/** Bound on waiting in the queue, in milliseconds. */
	maxWaitMs: z.number().nonnegative(),
	/** Time left until the first token misses its target, in milliseconds. */
	budgetMs: z.number(),
	/** Zone of the entry process. */
	zone: z.string(),
});

export const placementSchema = z.strictObject({
	reservation: z.string(),
	/** Lease epoch of the scheduler that placed it; 0 for a local placement. */
	epoch: z.int().min(0),
	/** Names of upstreams. */
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
	/** The prefill ended; `cachedTokens` corrects the prefix index. */
	z.strictObject({
		phase: z.literal('prefilled'), reservation: z.string(), promptTokens: z.int(), cachedTokens: z.int(), durationMs: z.number(),
	}),
	z.strictObject({phase: z.literal('transferred'), reservation: z.string(), durationMs: z.number()}),
	z.strictObject({phase: z.literal('first-token'), reservation: z.string(), durationMs: z.number()}),
	/** The request left its engines, whatever the reason. */
	z.strictObject({
		phase: z.literal('ended'), reservation: z.string(), outputTokens: z.int(), reason: z.enum(['complete', 'cancelled', 'failed']), failedUpstream: z.string().optional(),
	}),
]);

/** Why a decode engine did not take a request; a full engine works and must not be ejected. */
export const decodeFailureSchema = z.strictObject({upstream: z.string(), cause: z.enum(['failed', 'full'])});

export type DecodeFailure = z.infer<typeof decodeFailureSchema>;
export type PlaceRequest = z.infer<typeof placeRequestSchema>;
export type Placement = z.infer<typeof placementSchema>;
export type PlaceReply = z.infer<typeof placeReplySchema>;
export type Progress = z.infer<typeof progressSchema>;

/** Asks the scheduler of a pool shard for engines, with a local fallback while none answers. */
export abstract class SchedulerClient {
	/** Resolves when the request may start its prefill or is refused; abort the signal when the caller is gone. */
	abstract place(req: PlaceRequest, signal: AbortSignal): Promise<PlaceReply>;
	/** Moves a reservation to another decode engine after a failed transfer. */
	abstract replaceDecode(reservation: string, failure: DecodeFailure): Promise<PlaceReply>;
	abstract progress(progress: Progress): void;
}
