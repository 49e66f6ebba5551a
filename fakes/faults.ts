import {z} from 'zod';

/** Faults of the test doubles, switched on with `POST /control` and all off again with `none`. */
export const faultSchema = z.discriminatedUnion('fault', [
	z.strictObject({fault: z.literal('none')}),
	/** Requests are accepted and never answered. */
	z.strictObject({fault: z.literal('stall')}),
	/** A plain service runs each call and then never answers. */
	z.strictObject({fault: z.literal('hold-answers')}),
	/** A plain service runs each call and then resets the connection. */
	z.strictObject({fault: z.literal('reset-answers')}),
	/** New connections are refused and open ones are closed. */
	z.strictObject({fault: z.literal('refuse')}),
	/** Open connections are reset, and so is each new one at its first request. */
	z.strictObject({fault: z.literal('reset')}),
	/** Connections open now stay open without another byte; new ones work. */
	z.strictObject({fault: z.literal('silence')}),
	/** All service times grow by this factor. */
	z.strictObject({fault: z.literal('slow'), factor: z.number().positive()}),
	/** Cache events are lost, and leave gaps in the numbers. */
	z.strictObject({fault: z.literal('drop-events')}),
	/** KV transfers out of this engine stop. */
	z.strictObject({fault: z.literal('stall-transfers')}),
	/** The upstream's own signal that it is about to leave. */
	z.strictObject({fault: z.literal('leaving'), on: z.boolean()}),
	/** The platform list shows this state once its lag has passed; `gone` removes the entry. */
	z.strictObject({fault: z.literal('set-vm'), vm: z.string(), state: z.enum(['live', 'leaving', 'gone'])}),
]);

export type Fault = z.infer<typeof faultSchema>;
