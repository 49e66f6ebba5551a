import {z} from 'zod';

/** Schema of the body of `POST /control`, which switches a fault of a test double on. `none` switches all faults off, but silenced connections stay silent and changes made by `set-vm` remain. */
export const faultSchema = z.discriminatedUnion('fault', [
	z.strictObject({fault: z.literal('none')}),
	/** Requests are accepted but never answered. */
	z.strictObject({fault: z.literal('stall')}),
	/** A plain service runs each call but never answers it. */
	z.strictObject({fault: z.literal('hold-answers')}),
	/** A plain service runs each call and then resets the connection. */
	z.strictObject({fault: z.literal('reset-answers')}),
	/** New connections are refused and open ones are closed. */
	z.strictObject({fault: z.literal('refuse')}),
	/** Open connections are reset, and each new connection is reset at its first request. */
	z.strictObject({fault: z.literal('reset')}),
	/** Connections that are open when the fault is set stay open but carry no more bytes to their clients; new connections work. */
	z.strictObject({fault: z.literal('silence')}),
	/** Each answer is written once more on its connection, ahead of the next one that is due there. */
	z.strictObject({fault: z.literal('repeat-answers')}),
	/** All service times are multiplied by `factor`. */
	z.strictObject({fault: z.literal('slow'), factor: z.number().positive()}),
	/** Cache events are lost, which leaves gaps in their numbers. */
	z.strictObject({fault: z.literal('drop-events')}),
	/** KV transfers over the link of this engine make no progress. */
	z.strictObject({fault: z.literal('stall-transfers')}),
	/** The upstream announces that it is about to leave; an engine also refuses new prefills and imports. */
	z.strictObject({fault: z.literal('leaving'), on: z.boolean()}),
	/** The platform list shows the VM in this state after the lag of the list; `gone` removes the VM from the list. */
	z.strictObject({fault: z.literal('set-vm'), vm: z.string(), state: z.enum(['live', 'leaving', 'gone'])}),
]);

export type Fault = z.infer<typeof faultSchema>;
