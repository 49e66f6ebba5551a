import {z} from 'zod';

/** Maximum number of member records in a message that is not a page of the member list. */
export const maxUpdates = 8;
/** Maximum number of further records of suspect and dead members in a message that is not a page of the member list. They keep a loss of many members from spreading slowly. */
export const maxFailureUpdates = 16;
/** Maximum number of member records in a page of the member list. */
export const maxPageRecords = 50;

/** Gossiped record of a member. */
export const memberRecordSchema = z.strictObject({
	vm: z.string().max(63),
	/** Identifies one run of the member's process; a restarted process has a higher incarnation. */
	incarnation: z.int().min(0),
	/** Version of the record within an incarnation. Only the member itself raises it, to refute a suspicion or to change its record. */
	revision: z.int().min(0),
	status: z.enum(['alive', 'suspect', 'dead']),
	zone: z.string().max(63),
	roles: z.array(z.enum(['entry', 'control'])).max(2),
	/** Address for messages from peers. */
	peerAddress: z.string().max(64),
	/** Address for requests from callers; set on entry VMs only. */
	callerAddress: z.string().max(64).optional(),
	isDraining: z.boolean(),
	/** Capacity in use, in percent. */
	load: z.int().min(0).max(100),
	/** Capacity of the VM for callers' requests, in thousandths of a core; absent if its limits are not known. */
	capacity: z.int().min(1).optional(),
});

const updatesSchema = z.array(memberRecordSchema).max(maxUpdates + maxFailureUpdates);

export const membershipMessageSchema = z.discriminatedUnion('type', [
	/** Probe. `onBehalfOf` names the member that requested an indirect probe and is empty in a direct probe. */
	z.strictObject({
		type: z.literal('membership.ping'), sequence: z.int(), onBehalfOf: z.string(), updates: updatesSchema,
	}),
	/** Acknowledges a probe; `of` repeats the probe's `onBehalfOf`. */
	z.strictObject({
		type: z.literal('membership.ack'), sequence: z.int(), of: z.string(), updates: updatesSchema,
	}),
	/** Requests an indirect probe of `target`. */
	z.strictObject({
		type: z.literal('membership.ping-request'), sequence: z.int(), target: z.string(), updates: updatesSchema,
	}),
	/** Requests the page of the receiver's member list that starts with the first VM name greater than `after`. */
	z.strictObject({type: z.literal('membership.join'), after: z.string(), updates: updatesSchema}),
	/** Page of the member list. `next` is the `after` value that requests the following page; it is unset on the last page. */
	z.strictObject({type: z.literal('membership.members'), next: z.string().optional(), updates: z.array(memberRecordSchema).max(maxPageRecords)}),
]);

/** Response to the platform's `GET /v1/vms`. */
export const platformListSchema = z.looseObject({
	vms: z.array(z.looseObject({vm: z.string(), state: z.enum(['live', 'leaving'])})),
});

export type MemberRecord = z.infer<typeof memberRecordSchema>;
/**
Returns whether a message may be sent as a datagram: direct probes and their acknowledgements, which recur. A probe that is lost is
repeated over a connection by other members, so the messages of indirect probes must not be datagrams.
*/
export function isDatagram(message: MembershipMessage): boolean {
	return (message.type === 'membership.ping' && message.onBehalfOf === '') || (message.type === 'membership.ack' && message.of === '');
}

export type MembershipMessage = z.infer<typeof membershipMessageSchema>;
