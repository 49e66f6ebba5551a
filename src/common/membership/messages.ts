import {z} from 'zod';

/** Most member records that a probe carries. */
export const maxUpdates = 8;
/** Most member records in one page of the list. */
export const maxPageRecords = 50;

/** A member as gossip carries it. */
export const memberRecordSchema = z.strictObject({
	vm: z.string().max(63),
	/** Of the process; a restart has a higher one. */
	incarnation: z.int().min(0),
	/** Raised by the member itself to refute a suspicion or to change what it tells. */
	revision: z.int().min(0),
	status: z.enum(['alive', 'suspect', 'dead']),
	zone: z.string().max(63),
	roles: z.array(z.enum(['entry', 'control'])).max(2),
	/** Where it listens for peers. */
	peerAddress: z.string().max(64),
	/** Where it listens for callers; only entry VMs do. */
	callerAddress: z.string().max(64).optional(),
	isDraining: z.boolean(),
	/** Share of its capacity in use, in percent. */
	load: z.int().min(0).max(100),
});

const updatesSchema = z.array(memberRecordSchema).max(maxUpdates);

export const membershipMessageSchema = z.discriminatedUnion('type', [
	/** Asks for an acknowledgement; `onBehalfOf` names the member that waits for it, empty for the sender. */
	z.strictObject({
		type: z.literal('membership.ping'), sequence: z.int(), onBehalfOf: z.string(), updates: updatesSchema,
	}),
	/** Acknowledges a ping; `of` repeats its `onBehalfOf`. */
	z.strictObject({
		type: z.literal('membership.ack'), sequence: z.int(), of: z.string(), updates: updatesSchema,
	}),
	/** Asks another member to ping `target`. */
	z.strictObject({
		type: z.literal('membership.ping-request'), sequence: z.int(), target: z.string(), updates: updatesSchema,
	}),
	/** Asks for one page of the receiver's list, from the name after `after`. */
	z.strictObject({type: z.literal('membership.join'), after: z.string(), updates: updatesSchema}),
	/** A page of the list; `next` is set when there are more. */
	z.strictObject({type: z.literal('membership.members'), next: z.string().optional(), updates: z.array(memberRecordSchema).max(maxPageRecords)}),
]);

/** `GET /v1/vms` of the platform. */
export const platformListSchema = z.looseObject({
	vms: z.array(z.looseObject({vm: z.string(), state: z.enum(['live', 'leaving'])})),
});

export type MemberRecord = z.infer<typeof memberRecordSchema>;
export type MembershipMessage = z.infer<typeof membershipMessageSchema>;
