import {z} from 'zod';
import {decodeFailureSchema, placeRequestSchema, progressSchema} from '../services/scheduler-client.js';

/** Most reservations in one report; a shard has fewer slots. */
const maxReported = 4096;

/** Names a pool shard. */
export const shardSchema = z.strictObject({service: z.string(), shard: z.int().min(0)});

/** A reservation as the entry process that runs it knows it. */
export const runningReservationSchema = z.strictObject({
	reservation: z.string(),
	requestId: z.string(),
	tenant: z.string(),
	prefill: z.string(),
	decode: z.string(),
	promptTokens: z.int(),
	maxTokens: z.int(),
	phase: z.enum(['prefill', 'transfer', 'decode']),
});

/** Asks for engines; the reply is a `SchedulerReply` once the request leaves the queue. */
export const placeMessageSchema = z.strictObject({type: z.literal('scheduler.place'), pool: shardSchema, req: placeRequestSchema});

/** Withdraws a queued request whose caller is gone; one-way. */
export const cancelMessageSchema = z.strictObject({type: z.literal('scheduler.cancel'), pool: shardSchema, requestId: z.string()});

/** Moves a reservation to another decode engine; the reply is a `SchedulerReply`. */
export const replaceMessageSchema = z.strictObject({
	type: z.literal('scheduler.replace'), pool: shardSchema, reservation: z.string(), failure: decodeFailureSchema,
});

/** Progress of a reservation; one-way. */
export const progressMessageSchema = z.strictObject({type: z.literal('scheduler.progress'), pool: shardSchema, progress: progressSchema});

/** The holder asks an entry process what it runs in the shard. */
export const reportMessageSchema = z.strictObject({type: z.literal('scheduler.report'), pool: shardSchema, epoch: z.int()});

export const reportReplySchema = z.strictObject({reservations: z.array(runningReservationSchema).max(maxReported)});

export type Shard = z.infer<typeof shardSchema>;
export type RunningReservation = z.infer<typeof runningReservationSchema>;
export type PlaceMessage = z.infer<typeof placeMessageSchema>;
export type CancelMessage = z.infer<typeof cancelMessageSchema>;
export type ReplaceMessage = z.infer<typeof replaceMessageSchema>;
export type ProgressMessage = z.infer<typeof progressMessageSchema>;
export type ReportMessage = z.infer<typeof reportMessageSchema>;
export type ReportReply = z.infer<typeof reportReplySchema>;
