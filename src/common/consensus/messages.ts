import {z} from 'zod';

const count = z.int().nonnegative();

/** Fields of every message. Disk ids tell a member from its successor on the same VM. */
const envelope = {
	/** Undefined only while the sender belongs to no cluster. */
	cluster: z.string().optional(),
	/** Sender's disk id. */
	disk: z.string(),
	/** Disk id of the member that the message is meant for. */
	toDisk: z.string().optional(),
	term: count,
};

const memberSchema = z.object({vm: z.string(), diskId: z.string(), role: z.enum(['voter', 'learner'])});

const payloadSchema = z.discriminatedUnion('kind', [
	z.object({kind: z.literal('noop')}),
	z.object({kind: z.literal('command'), command: z.unknown()}),
	z.object({kind: z.literal('members'), members: z.array(memberSchema).readonly()}),
]);

const entrySchema = z.object({index: count, term: count, payload: payloadSchema});

const lastEntry = {lastIndex: count, lastTerm: count};

/** Asks whether an election at `term` could succeed; changes no state. */
const preVoteSchema = z.object({type: z.literal('consensus/pre-vote'), ...envelope, ...lastEntry});
const preVoteReplySchema = z.object({type: z.literal('consensus/pre-vote-reply'), ...envelope, granted: z.boolean()});
const voteSchema = z.object({type: z.literal('consensus/vote'), ...envelope, ...lastEntry});
const voteReplySchema = z.object({type: z.literal('consensus/vote-reply'), ...envelope, granted: z.boolean()});

/** Entries after (`prevIndex`, `prevTerm`); a heartbeat if there are none. */
const appendSchema = z.object({
	type: z.literal('consensus/append'),
	...envelope,
	prevIndex: count,
	prevTerm: count,
	entries: z.array(entrySchema).readonly(),
	commit: count,
	/** Heartbeat round that the reply confirms. */
	round: count,
	/** What the receiver has acknowledged to this leader; a shorter log means a disk that lost data. */
	acknowledged: count,
});

const appendReplySchema = z.object({
	type: z.literal('consensus/append-reply'),
	...envelope,
	ok: z.boolean(),
	/** Durable entries that agree with the leader's log. */
	match: count,
	/** On a mismatch, the index after which the leader should try. */
	hint: count,
	round: count,
});

const snapshotSchema = z.object({
	type: z.literal('consensus/snapshot'),
	...envelope,
	index: count,
	entryTerm: count,
	members: z.array(memberSchema).readonly(),
	/** Position of `data` in the encoded state, and the length of the whole, in bytes. */
	offset: count,
	total: count,
	data: z.instanceof(Uint8Array),
	round: count,
});

const snapshotReplySchema = z.object({
	type: z.literal('consensus/snapshot-reply'),
	...envelope,
	index: count,
	/** Bytes received without a gap. */
	received: count,
	round: count,
});

/** The founder asks an initial VM with an empty disk to promise itself to the founder's cluster. */
const introduceSchema = z.object({type: z.literal('consensus/introduce'), ...envelope});
const introduceReplySchema = z.object({type: z.literal('consensus/introduce-reply'), ...envelope});

/** A VM whose disk is not admitted asks the leader for admission. */
const joinSchema = z.object({type: z.literal('consensus/join'), ...envelope});

/** Messages of the replicated log; every one is below 1 MiB when encoded. */
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
]);

export type ConsensusMessage = z.output<typeof consensusMessageSchema>;
export type MessageOf<Type extends ConsensusMessage['type']> = Extract<ConsensusMessage, {type: `consensus/${string}` & Type}>;

/** Types to register with the peer network. */
export const consensusMessageTypes: ReadonlyArray<ConsensusMessage['type']> = consensusMessageSchema.options.map(option => option.shape.type.value);

type EnvelopeField = 'cluster' | 'disk' | 'toDisk' | 'term';
/** A message before the envelope is added. */
export type MessageBody = ConsensusMessage extends infer M ? M extends ConsensusMessage ? Omit<M, EnvelopeField> : never : never;
