import {z} from 'zod';

const nonNegativeInteger = z.int().nonnegative();

/** Fields of every message. The disk ids distinguish a member from a later member on the same VM with a replacement disk. */
const envelopeFields = {
	/** Sender's cluster; undefined while the sender belongs to none. */
	cluster: z.string().optional(),
	/** Sender's disk id. */
	disk: z.string(),
	/** Disk id of the intended receiver. Undefined if the sender does not know it. */
	toDisk: z.string().optional(),
	term: nonNegativeInteger,
};

const memberSchema = z.object({vm: z.string(), diskId: z.string(), role: z.enum(['voter', 'learner'])});

const payloadSchema = z.discriminatedUnion('kind', [
	z.object({kind: z.literal('noop')}),
	z.object({kind: z.literal('command'), command: z.unknown()}),
	z.object({kind: z.literal('members'), members: z.array(memberSchema).readonly()}),
]);

const entrySchema = z.object({index: nonNegativeInteger, term: nonNegativeInteger, payload: payloadSchema});

const lastEntryFields = {lastIndex: nonNegativeInteger, lastTerm: nonNegativeInteger};

/** Asks whether the receiver would vote for the sender in `term`. The receiver changes no state. */
const preVoteSchema = z.object({type: z.literal('consensus/pre-vote'), ...envelopeFields, ...lastEntryFields});
const preVoteReplySchema = z.object({type: z.literal('consensus/pre-vote-reply'), ...envelopeFields, granted: z.boolean()});
const voteSchema = z.object({type: z.literal('consensus/vote'), ...envelopeFields, ...lastEntryFields});
const voteReplySchema = z.object({type: z.literal('consensus/vote-reply'), ...envelopeFields, granted: z.boolean()});

/** Carries the entries that follow (`prevIndex`, `prevTerm`). A message without entries is a heartbeat. */
const appendSchema = z.object({
	type: z.literal('consensus/append'),
	...envelopeFields,
	prevIndex: nonNegativeInteger,
	prevTerm: nonNegativeInteger,
	entries: z.array(entrySchema).readonly(),
	commit: nonNegativeInteger,
	/** Number of the heartbeat round that a reply to this message confirms; see `ConsensusState.heartbeatRound`. */
	round: nonNegativeInteger,
	/** Highest index that the receiver has acknowledged to this leader. If the receiver's log is shorter, its disk has lost entries. */
	acknowledged: nonNegativeInteger,
});

const appendReplySchema = z.object({
	type: z.literal('consensus/append-reply'),
	...envelopeFields,
	ok: z.boolean(),
	/** Highest index up to which the sender's durable entries agree with the leader's log. */
	match: nonNegativeInteger,
	/** After a mismatch, the index after which the leader resumes sending entries. */
	hint: nonNegativeInteger,
	/** Heartbeat round of the message that is answered; 0 for an acknowledgement after a write, which confirms no round. */
	round: nonNegativeInteger,
});

const snapshotSchema = z.object({
	type: z.literal('consensus/snapshot'),
	...envelopeFields,
	/** Index of the last entry that the snapshot covers. */
	index: nonNegativeInteger,
	/** Term of the entry at `index`. */
	entryTerm: nonNegativeInteger,
	members: z.array(memberSchema).readonly(),
	/** Offset of `data` in the encoded state, in bytes. */
	offset: nonNegativeInteger,
	/** Total length of the encoded state, in bytes. */
	total: nonNegativeInteger,
	/** One chunk of the encoded state. */
	data: z.instanceof(Uint8Array),
	round: nonNegativeInteger,
});

const snapshotReplySchema = z.object({
	type: z.literal('consensus/snapshot-reply'),
	...envelopeFields,
	index: nonNegativeInteger,
	/** Number of bytes received without a gap from the start of the encoded state. */
	received: nonNegativeInteger,
	round: nonNegativeInteger,
});

/** Sent by the founder, the VM that forms the cluster, to ask an initial VM with a blank disk to accept that cluster. */
const introduceSchema = z.object({type: z.literal('consensus/introduce'), ...envelopeFields});
const introduceReplySchema = z.object({type: z.literal('consensus/introduce-reply'), ...envelopeFields});

/** Sent by a VM whose disk is not admitted to the cluster, to ask the leader for admission. */
const joinSchema = z.object({type: z.literal('consensus/join'), ...envelopeFields});

/** Sent by a member whose process is about to end, to ask the leader to remove it. */
const leaveSchema = z.object({type: z.literal('consensus/leave'), ...envelopeFields});

/** Messages of the replicated log. Each message takes less than 1 MiB when encoded. */
export const consensusMessageSchema = z.discriminatedUnion('type', [
	preVoteSchema,
	preVoteReplySchema,
	voteSchema,
	voteReplySchema,
	appendSchema,
	appendReplySchema,
	snapshotSchema,
	snapshotReplySchema,
	introduceSchema,
	introduceReplySchema,
	joinSchema,
	leaveSchema,
]);

export type ConsensusMessage = z.output<typeof consensusMessageSchema>;
export type MessageOf<Type extends ConsensusMessage['type']> = Extract<ConsensusMessage, {type: `consensus/${string}` & Type}>;

/** Message types that the replicated log handles, for registration with the peer network. */
export const consensusMessageTypes: ReadonlyArray<ConsensusMessage['type']> = consensusMessageSchema.options.map(option => option.shape.type.value);

type EnvelopeField = 'cluster' | 'disk' | 'toDisk' | 'term';
/** A message without the envelope fields. */
export type MessageBody = ConsensusMessage extends infer M ? M extends ConsensusMessage ? Omit<M, EnvelopeField> : never : never;
