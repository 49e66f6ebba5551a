import {z} from 'zod';
import {decodeFailureSchema, placeRequestSchema, progressSchema} from '../services/scheduler-client.js';

/** Maximum number of reservations in one report. A shard has fewer slots than that. */
const maxReportedReservations = 4096;

/** Identifies a pool shard by its service and its index. */
export const shardSchema = z.strictObject({service: z.string(), shard: z.int().min(0)});

/** A reservation as reported by the entry process that runs it. */
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

/** Requests a placement. The reply is a `SchedulerReply`, sent when the request leaves the queue. */
export const placeMessageSchema = z.strictObject({type: z.literal('scheduler.place'), pool: shardSchema, req: placeRequestSchema});

/** Removes a queued request whose caller no longer waits for it. One-way message without a reply. */
export const cancelMessageSchema = z.strictObject({type: z.literal('scheduler.cancel'), pool: shardSchema, requestId: z.string()});

/** Moves a reservation to another decode engine. The reply is a `SchedulerReply`. */
export const replaceMessageSchema = z.strictObject({
	type: z.literal('scheduler.replace'), pool: shardSchema, reservation: z.string(), failure: decodeFailureSchema,
});

/** Reports the progress of a reservation. One-way message without a reply. */
export const progressMessageSchema = z.strictObject({type: z.literal('scheduler.progress'), pool: shardSchema, progress: progressSchema});

/** Sent by the lease holder to ask an entry process for the reservations that it runs in the shard. */
export const reportMessageSchema = z.strictObject({type: z.literal('scheduler.report'), pool: shardSchema, epoch: z.int()});

/** Reply to a report message: the reservations that the entry process runs in the shard. */
export const reportReplySchema = z.strictObject({reservations: z.array(runningReservationSchema).max(maxReportedReservations)});

export type Shard = z.infer<typeof shardSchema>;
export type RunningReservation = z.infer<typeof runningReservationSchema>;
export type PlaceMessage = z.infer<typeof placeMessageSchema>;
export type CancelMessage = z.infer<typeof cancelMessageSchema>;
export type ReplaceMessage = z.infer<typeof replaceMessageSchema>;
export type ProgressMessage = z.infer<typeof progressMessageSchema>;
export type ReportMessage = z.infer<typeof reportMessageSchema>;
export type ReportReply = z.infer<typeof reportReplySchema>;
