import {z} from 'zod';

/** Request to the scheduler for a placement: the engines that prefill and decode a model request. */
export const placeRequestSchema = z.strictObject({
	requestId: z.string().max(128),
	service: z.string(),
	tenant: z.string(),
	/** Priority from the service's profile; 0 is served first. */
	priority: z.int().min(0).max(9),
	/** Shedding order from the service's profile; requests with a higher number are shed first. */
	shedOrder: z.int().min(0).max(9),
	/** Length of the prompt, in tokens. */
	promptTokens: z.int().min(1),
	/** Maximum length of the output, in tokens. */
	maxTokens: z.int().min(1),
	/** Hashes of the prompt's leading blocks of tokens. Each hash covers its block and all preceding blocks. */
	prefix: z.array(z.string()).max(64),
	/** Maximum time that the request waits in the scheduler's queue, in milliseconds. */
	maxWaitMs: z.number().nonnegative(),
	/** Time left until the latency target of the first output token is missed, in milliseconds; negative if it has been missed. */
	budgetMs: z.number(),
	/** Availability zone of the entry process. */
	zone: z.string(),
});

/** Engines reserved for a model request. */
export const placementSchema = z.strictObject({
	/** Id of the reservation. */
	reservation: z.string(),
	/** Lease epoch of the scheduler that placed the request; 0 if the entry process placed it locally. */
	epoch: z.int().min(0),
	/** Name of the engine that prefills the prompt. */
	prefill: z.string(),
	/** Name of the engine that decodes the output. */
	decode: z.string(),
});

export const placeReplySchema = z.discriminatedUnion('kind', [
	z.strictObject({kind: z.literal('placed'), placement: placementSchema}),
	z.strictObject({
		kind: z.literal('refused'),
		code: z.enum(['overloaded', 'deadline', 'no-upstream']),
		/** Time after which the caller may retry, in milliseconds. */
		retryAfterMs: z.number().nonnegative(),
	}),
]);

/** Report of an entry process on the progress of a model request; durations are in milliseconds. */
export const progressSchema = z.discriminatedUnion('phase', [
	/** The prefill is complete. `cachedTokens` is the number of prompt tokens that the engine had in its KV cache; `durationMs` includes the wait in the engine's queue. */
	z.strictObject({
		phase: z.literal('prefilled'), reservation: z.string(), promptTokens: z.int(), cachedTokens: z.int(), durationMs: z.number(),
	}),
	/** The KV cache of the prompt was transferred to the decode engine. */
	z.strictObject({phase: z.literal('transferred'), reservation: z.string(), durationMs: z.number()}),
	/** The decode engine sent the first output token. */
	z.strictObject({phase: z.literal('first-token'), reservation: z.string(), durationMs: z.number()}),
	/** The request has ended and no longer occupies its engines. `failedUpstream` names the engine that caused a failure, if one did. */
	z.strictObject({
		phase: z.literal('ended'), reservation: z.string(), outputTokens: z.int(), reason: z.enum(['complete', 'cancelled', 'failed']), failedUpstream: z.string().optional(),
	}),
]);

/** Why the decode engine `upstream` did not accept a request: it failed, or it was full. A full engine is healthy and must not be ejected. */
export const decodeFailureSchema = z.strictObject({upstream: z.string(), cause: z.enum(['failed', 'full'])});

export type DecodeFailure = z.infer<typeof decodeFailureSchema>;
export type PlacementRequest = z.infer<typeof placeRequestSchema>;
export type Placement = z.infer<typeof placementSchema>;
export type PlacementReply = z.infer<typeof placeReplySchema>;
export type Progress = z.infer<typeof progressSchema>;

/** Gets placements for model requests from the scheduler of a pool shard, or places the requests locally while no scheduler answers. */
export abstract class SchedulerClient {
	/** Requests a placement. Resolves when the request may start its prefill or is refused. Aborting `signal`, for example when the caller disconnects, cancels the placement. */
	abstract place(req: PlacementRequest, signal: AbortSignal): Promise<PlacementReply>;
	/** Moves a reservation to another decode engine after `failure`; resolves with the new placement or a refusal. */
	abstract replaceDecode(reservation: string, failure: DecodeFailure): Promise<PlacementReply>;
	/** Reports the progress of a placed request to the scheduler. */
	abstract reportProgress(progress: Progress): void;
}
