import {z} from 'zod';
import {listPositionSchema, listUpdateSchema} from '../forwarding/server-list-feed.js';

/** Maximum size of a compressed configuration, and of a compressed source text, in a command, in bytes; both together fit in one frame between processes. */
export const maxCompressedBytes = 384 * 1024;
/** Maximum size of a response body that is recorded for a claim, in bytes. */
export const maxRecordedBodyBytes = 16 * 1024;
/** Maximum length of each list in the allowance report of a sync; further entries are sent with the next sync. */
export const maxSyncListEntries = 2000;

const idSchema = z.string().min(1).max(128);
const incarnationSchema = z.int().min(0);
const revisionSchema = z.int().min(0);
const tokensSchema = z.number().nonnegative();
const bytesSchema = z.custom<Uint8Array>(value => value instanceof Uint8Array);
const digestSchema = z.string().regex(/^[\da-f]{64}$/);

export const vmIdentitySchema = z.strictObject({vm: idSchema, incarnation: incarnationSchema});

export const recordedOutcomeSchema = z.strictObject({
	status: z.int(),
	headers: z.record(z.string(), z.string()),
	body: bytesSchema.refine(body => body.length <= maxRecordedBodyBytes).optional(),
});

const claimIdentity = {
	tenant: idSchema, service: idSchema, idempotencyKey: z.string().min(1).max(256),
};

/** What a drain stops new work for: an entry VM, an upstream, or all upstreams of an availability zone. */
const drainTargetSchema = z.enum(['vm', 'upstream', 'zone']);

const leaseIdentity = {name: idSchema, holder: idSchema, incarnation: incarnationSchema};

/** Commands of the replicated state machine. Durations are in milliseconds of log time, which only `clock.advance` moves forward. */
export const commandSchema = z.discriminatedUnion('type', [
	/** Applies a configuration if `expectedVersion` is the version in force. */
	z.strictObject({
		type: z.literal('config.apply'),
		changeId: idSchema,
		expectedVersion: z.int().min(0),
		/** SHA-256 of the source text, in hexadecimal; distinguishes a resent document from another document under the same change id. */
		sourceDigest: digestSchema,
		/** Source text as the operator wrote it, compressed. */
		source: bytesSchema.refine(bytes => bytes.length <= maxCompressedBytes),
		/** Validated configuration, compressed. */
		configuration: bytesSchema.refine(bytes => bytes.length <= maxCompressedBytes),
	}),
	/**
	Publishes a configuration under a version chosen by the operator. The highest version is in force. A version that
	is not higher than the current one changes nothing, so a resend is harmless.
	*/
	z.strictObject({
		type: z.literal('config.publish'),
		version: z.int().min(1),
		source: bytesSchema.refine(bytes => bytes.length <= maxCompressedBytes),
		configuration: bytesSchema.refine(bytes => bytes.length <= maxCompressedBytes),
	}),
	z.strictObject({
		type: z.literal('key.issue'), changeId: idSchema, keyId: idSchema, digest: digestSchema, tenant: idSchema,
	}),
	z.strictObject({type: z.literal('key.withdraw'), changeId: idSchema, keyId: idSchema}),
	/** Claims the right to run a request. The claimant chooses `claimId`, so that the command is idempotent. */
	z.strictObject({
		type: z.literal('claim.open'), claimId: idSchema, ...claimIdentity, requestDigest: z.string().max(128),
	}),
	/** Records how a claimed request ended. */
	z.strictObject({
		type: z.literal('claim.settle'),
		claimId: idSchema,
		...claimIdentity,
		outcome: z.discriminatedUnion('kind', [
			z.strictObject({kind: z.literal('answered'), outcome: recordedOutcomeSchema}),
			z.strictObject({kind: z.literal('not-run')}),
			z.strictObject({kind: z.literal('unknown')}),
		]),
	}),
	/** Acquires a lease, or extends it if the sender holds it already. */
	z.strictObject({type: z.literal('lease.acquire'), ...leaseIdentity, ttlMs: z.int().min(1).max(60_000)}),
	/** Extends a lease that the sender holds with this epoch. */
	z.strictObject({
		type: z.literal('lease.renew'), ...leaseIdentity, epoch: z.int(), ttlMs: z.int().min(1).max(60_000),
	}),
	/** Releases a lease that the sender holds with this epoch. */
	z.strictObject({type: z.literal('lease.release'), ...leaseIdentity, epoch: z.int()}),
	z.strictObject({
		type: z.literal('drain.set'),
		changeId: idSchema,
		target: drainTargetSchema,
		name: idSchema,
		draining: z.boolean(),
		/** If present, the command is refused as `stale` if this drain was changed after this revision. */
		unchangedSince: revisionSchema.optional(),
	}),
	/** Records an order to an upstream, which the holder of the lease `orders` carries out. */
	z.strictObject({
		type: z.literal('order.submit'), changeId: idSchema, orderId: idSchema, upstream: idSchema, order: z.unknown(),
	}),
	/** Records how an order ended. `epoch` is the fencing token of the lease `orders`; the command of a former holder is refused. */
	z.strictObject({
		type: z.literal('order.settle'), orderId: idSchema, epoch: z.int(), status: z.enum(['done', 'failed']), detail: z.string().max(1000).optional(),
	}),
	/** Advances log time. Only the leader proposes this command. */
	z.strictObject({type: z.literal('clock.advance'), elapsedMs: z.number().nonnegative()}),
]);

const leaseHolderSchema = z.strictObject({holder: vmIdentitySchema, epoch: z.int()});

/** Result of a command. A resend with the same change id returns the outcome of the first attempt. */
export const outcomeSchema = z.discriminatedUnion('kind', [
	z.strictObject({kind: z.literal('done'), revision: revisionSchema}),
	/** A configuration was applied and is now in force under `version`. */
	z.strictObject({kind: z.literal('applied'), revision: revisionSchema, version: z.int()}),
	/** A configuration was published. `version` is the version in force, which may be higher than the published one. */
	z.strictObject({
		kind: z.literal('published'), revision: revisionSchema, version: z.int(), isChanged: z.boolean(),
	}),
	/** The expected version is not the version in force, which is `version`; another change was applied first. */
	z.strictObject({kind: z.literal('version-conflict'), version: z.int()}),
	/** A key was issued. `digest` is the digest of the key that the first attempt issued, which differs from the digest in a resent command with a new key. */
	z.strictObject({
		kind: z.literal('issued'), revision: revisionSchema, keyId: idSchema, digest: digestSchema,
	}),
	z.strictObject({
		kind: z.literal('refused'),
		code: z.enum(['exists', 'not-found', 'too-many', 'stale', 'change-id-reused', 'unknown-tenant', 'invalid']),
	}),
	/** The claimant may run the request. */
	z.strictObject({kind: z.literal('claim-granted')}),
	/** Another claimant is running the request, or crashed while running it. */
	z.strictObject({kind: z.literal('claim-pending')}),
	/** There is no claim for the idempotency key. */
	z.strictObject({kind: z.literal('claim-absent')}),
	/** The request was answered with `outcome`. */
	z.strictObject({kind: z.literal('claim-recorded'), outcome: recordedOutcomeSchema}),
	/** The claimant of the request reported that its outcome is unknown. */
	z.strictObject({kind: z.literal('claim-unknown')}),
	/** The idempotency key was claimed for a request with another digest. */
	z.strictObject({kind: z.literal('claim-conflict')}),
	/** The maximum number of claims is reached; the first of them expires in `retryAfterMs` milliseconds of log time. */
	z.strictObject({kind: z.literal('claim-too-many'), retryAfterMs: z.number()}),
	/** The sender holds the lease; `epoch` is its fencing token. */
	z.strictObject({kind: z.literal('lease-held'), epoch: z.int()}),
	/** The sender does not hold the lease; `current` is absent if nobody holds it. */
	z.strictObject({kind: z.literal('lease-taken'), current: leaseHolderSchema.optional()}),
]);

/** A change of the replicated state that is sent to entry processes. */
export const changeSchema = z.discriminatedUnion('kind', [
	z.strictObject({
		kind: z.literal('configuration'), revision: revisionSchema, version: z.int(), configuration: bytesSchema,
	}),
	z.strictObject({
		kind: z.literal('key'), revision: revisionSchema, keyId: idSchema, digest: digestSchema, tenant: idSchema,
	}),
	z.strictObject({kind: z.literal('key-withdrawn'), revision: revisionSchema, keyId: idSchema}),
	z.strictObject({
		kind: z.literal('drain'), revision: revisionSchema, target: drainTargetSchema, name: idSchema, draining: z.boolean(),
	}),
	/** A lease has changed its holder, or is free if `holder` is absent. */
	z.strictObject({
		kind: z.literal('lease'), revision: revisionSchema, name: idSchema, holder: vmIdentitySchema.optional(), epoch: z.int(),
	}),
]);

/** One page of an entry process's view. Pages may be read at different revisions, so the entry process also applies the changes after `base`. */
export const viewPageSchema = z.strictObject({
	/** Revision at which the first page was read. */
	base: revisionSchema,
	/** Part of the view as a list of changes to an empty view, in the order in which they are applied. */
	items: z.array(changeSchema),
	/** Cursor of the next page; absent on the last page. */
	next: z.int().optional(),
});

/** Tokens of a customer's bucket that an entry process may spend. */
export const grantSchema = z.strictObject({
	/** Id of the grant; unique across all leaders. */
	id: z.int(),
	tenant: idSchema,
	tokens: tokensSchema,
	/** Whether the tokens were granted in advance, with no request waiting for them; such a grant is valid for longer than one that a request waits for. */
	isAdvance: z.boolean(),
});

/** Reports that the customer's bucket cannot cover a waiting request within the next `waitMs` milliseconds. */
export const tokenShortageSchema = z.strictObject({
	tenant: idSchema,
	waitMs: z.number().nonnegative(),
	/** Whether the reason is that the leader is new, and grants nothing to any customer until the previous leader's grants have expired. */
	isPause: z.boolean(),
});

/** Tokens of a customer that an entry process asks for. */
export const tokenRequestSchema = z.strictObject({
	tenant: idSchema,
	tokens: tokensSchema,
	/** Tokens that the first waiting request lacks; it could not proceed with a smaller grant. 0 if no waiting request lacks tokens. */
	atLeast: tokensSchema,
	/** Time for which the first waiting request can still wait, in milliseconds. */
	waitMs: z.number().nonnegative(),
});

/** A time in milliseconds on the clock of the bucket owner, which is the leader of `term`. Times of different terms are not comparable. */
export const ownerTimestampSchema = z.strictObject({term: z.int(), atMs: z.number()});

/** Rate tokens that were spent for a request but not used by it; the bucket owner counted them as spent at `stamp` or later. */
export const refundSchema = z.strictObject({tenant: idSchema, stamp: ownerTimestampSchema, tokens: tokensSchema});

/** Rate tokens that requests of a customer used in excess of what they had acquired. */
export const chargeSchema = z.strictObject({tenant: idSchema, tokens: tokensSchema});

/** Token usage reported by an entry process, and the tokens that it asks for. */
export const allowanceReportSchema = z.strictObject({
	/** Total tokens spent from each live grant since it was issued. */
	spent: z.array(z.strictObject({grant: z.int(), tokens: tokensSchema})).max(maxSyncListEntries),
	/** Unspent tokens of grants that the holder returns. */
	returned: z.array(z.strictObject({grant: z.int(), tokens: tokensSchema})).max(maxSyncListEntries),
	refunds: z.array(refundSchema).max(maxSyncListEntries),
	/** Tokens that requests used in excess of what they had acquired. */
	charges: z.array(chargeSchema).max(maxSyncListEntries),
	wanted: z.array(tokenRequestSchema).max(maxSyncListEntries),
});

export const syncRequestSchema = z.strictObject({
	type: z.literal('control/sync'),
	/** Sequence number; increases with each sync of one incarnation of the process. */
	seq: z.int().min(1),
	/** Revision of the entry process's view. */
	revision: revisionSchema,
	/** Position from which a read of the view in pages continues; absent unless such a read is in progress. */
	page: z.strictObject({base: revisionSchema, cursor: z.int()}).optional(),
	allowances: allowanceReportSchema,
	/** Number of in-flight requests. */
	load: z.number().nonnegative(),
	/** Position of the process's copy of the platform's server list; absent if the process does not copy the leader's list. */
	servers: listPositionSchema.optional(),
});

export const notLeaderSchema = z.strictObject({kind: z.literal('not-leader'), leader: idSchema.optional()});

export const syncReplySchema = z.discriminatedUnion('kind', [
	z.strictObject({
		kind: z.literal('synced'),
		/** Revision of the replicated state at the answer. A quorum confirmed that it includes all that was committed when the sync arrived. */
		revision: revisionSchema,
		changes: z.array(changeSchema).optional(),
		snapshot: viewPageSchema.optional(),
		grants: z.array(grantSchema),
		shortages: z.array(tokenShortageSchema),
		/** Bucket owner's time at which it sent the answer. */
		stamp: ownerTimestampSchema,
		/** Bucket owner's time at which it processed the allowance report, in milliseconds. */
		takenMs: z.number(),
		servers: listUpdateSchema.optional(),
	}),
	notLeaderSchema,
]);

export const proposeRequestSchema = z.strictObject({type: z.literal('control/propose'), command: commandSchema});

export const proposeReplySchema = z.discriminatedUnion('kind', [
	z.strictObject({kind: z.literal('outcome'), outcome: outcomeSchema}),
	/** It is not known whether the command takes effect; sending the same command again is safe. */
	z.strictObject({kind: z.literal('unknown'), leader: idSchema.optional()}),
	z.strictObject({kind: z.literal('overloaded')}),
	notLeaderSchema,
]);

/** Queries of the replicated state, answered after a read-index. */
export const readQuerySchema = z.discriminatedUnion('what', [
	/** Reads the source text of a version of the configuration, or of the current version if `version` is absent. */
	z.strictObject({what: z.literal('configuration'), version: z.int().optional()}),
	z.strictObject({what: z.literal('history')}),
	/** Reads one page of the keys that were issued after the revision `after`. */
	z.strictObject({what: z.literal('keys'), after: revisionSchema}),
	z.strictObject({what: z.literal('drains')}),
	/** Reads the orders; if `open` is true, without those that are done or failed. */
	z.strictObject({what: z.literal('orders'), open: z.boolean().optional()}),
	z.strictObject({what: z.literal('leases')}),
	z.strictObject({what: z.literal('claim'), ...claimIdentity, requestDigest: z.string().max(128)}),
]);

export const readRequestSchema = z.strictObject({type: z.literal('control/read'), query: readQuerySchema});

export const orderRecordSchema = z.strictObject({
	orderId: idSchema,
	upstream: idSchema,
	order: z.unknown(),
	status: z.enum(['submitted', 'done', 'failed']),
	detail: z.string().optional(),
	submittedMs: z.number(),
});

export const readResultSchema = z.discriminatedUnion('what', [
	z.strictObject({what: z.literal('configuration'), version: z.int(), source: bytesSchema.optional()}),
	z.strictObject({
		what: z.literal('history'),
		version: z.int(),
		logTimeMs: z.number(),
		/** Versions of the configuration that are kept, oldest first. */
		versions: z.array(z.strictObject({version: z.int(), changeId: idSchema, appliedMs: z.number()})),
	}),
	z.strictObject({
		what: z.literal('keys'),
		keys: z.array(z.strictObject({keyId: idSchema, tenant: idSchema, revision: revisionSchema})),
		next: revisionSchema.optional(),
	}),
	z.strictObject({
		what: z.literal('drains'),
		/** Revision of the replicated state that the drains were read at. */
		revision: revisionSchema,
		drains: z.array(z.strictObject({target: drainTargetSchema, name: idSchema})),
	}),
	z.strictObject({what: z.literal('orders'), orders: z.array(orderRecordSchema)}),
	z.strictObject({what: z.literal('leases'), leases: z.array(z.strictObject({name: idSchema, holder: vmIdentitySchema.optional(), epoch: z.int()}))}),
	z.strictObject({what: z.literal('claim'), outcome: outcomeSchema}),
]);

export const readReplySchema = z.discriminatedUnion('kind', [
	z.strictObject({kind: z.literal('result'), result: readResultSchema}),
	notLeaderSchema,
]);

/** Maximum number of buckets, and of grants, in a handover. A leader that has more of either sends no handover, and its successor grants nothing until the grants have expired. */
export const maxHandoverEntries = 10_000;

/** Token buckets and grants that a leader sends to other members of the log when it steps down. The leader issues no grants afterwards. */
export const handoverSchema = z.strictObject({
	type: z.literal('control/handover'),
	/** Term in which the sender led. */
	term: z.int().min(1),
	/** Time, in milliseconds, until all grants of earlier leaders that the sender has no record of have expired; 0 if they have expired. */
	pauseMs: z.number().min(0),
	buckets: z.array(z.strictObject({tenant: idSchema, level: z.number()})).max(maxHandoverEntries),
	/** Grants that their holders may still spend; `left` is the number of tokens that are not reported as spent. */
	grants: z.array(z.strictObject({
		id: z.int(), tenant: idSchema, holder: vmIdentitySchema, left: tokensSchema, isAdvance: z.boolean(), tokens: tokensSchema, expiresInMs: z.number().min(0),
	})).max(maxHandoverEntries),
});

/** Notifies an entry process with a live session that its view or its server list is out of date. */
export const changedSchema = z.strictObject({type: z.literal('control/changed'), revision: revisionSchema, servers: listPositionSchema.optional()});

export type Command = z.infer<typeof commandSchema>;
export type CommandOf<T extends Command['type']> = Extract<Command, {type: T}>;
export type DrainTarget = z.infer<typeof drainTargetSchema>;
export type Outcome = z.infer<typeof outcomeSchema>;
export type Change = z.infer<typeof changeSchema>;
export type ViewPage = z.infer<typeof viewPageSchema>;
export type Grant = z.infer<typeof grantSchema>;
export type TokenShortage = z.infer<typeof tokenShortageSchema>;
export type TokenRequest = z.infer<typeof tokenRequestSchema>;
export type OwnerTimestamp = z.infer<typeof ownerTimestampSchema>;
export type Refund = z.infer<typeof refundSchema>;
export type AllowanceReport = z.infer<typeof allowanceReportSchema>;
export type Handover = z.infer<typeof handoverSchema>;
export type SyncRequest = z.infer<typeof syncRequestSchema>;
export type SyncReply = z.infer<typeof syncReplySchema>;
export type ProposeReply = z.infer<typeof proposeReplySchema>;
export type ReadQuery = z.infer<typeof readQuerySchema>;
export type ReadResult = z.infer<typeof readResultSchema>;
export type ReadReply = z.infer<typeof readReplySchema>;
export type OrderRecord = z.infer<typeof orderRecordSchema>;
