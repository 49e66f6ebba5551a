import {z} from 'zod';
import {listPositionSchema, listUpdateSchema} from '../forwarding/server-list-feed.js';

/** Largest compressed configuration or source text in a command, in bytes; both fit one frame between processes. */
export const compressedLimitBytes = 384 * 1024;
/** Largest recorded body of a claim's answer, in bytes. */
export const recordedBodyLimitBytes = 16 * 1024;
/** Grants, reports and wants of one sync; more waits for the next one. */
export const syncListLimit = 2000;

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
	body: bytesSchema.refine(body => body.length <= recordedBodyLimitBytes).optional(),
});

const claimIdentity = {
	tenant: idSchema, service: idSchema, idempotencyKey: z.string().min(1).max(256),
};

const leaseIdentity = {name: idSchema, holder: idSchema, incarnation: incarnationSchema};

/** Commands of the replicated state machine. Log time is in milliseconds. */
export const commandSchema = z.discriminatedUnion('type', [
	z.strictObject({
		type: z.literal('config.apply'),
		changeId: idSchema,
		expectedVersion: z.int().min(0),
		/** Of the source text; tells a resend from another document. */
		sourceDigest: digestSchema,
		/** Compressed source text, as the operator wrote it. */
		source: bytesSchema.refine(bytes => bytes.length <= compressedLimitBytes),
		/** Compressed checked configuration. */
		configuration: bytesSchema.refine(bytes => bytes.length <= compressedLimitBytes),
	}),
	/**
	A configuration whose version its operator chose. The highest version is in force; one that is not higher than
	the current one changes nothing, so that a resend is harmless.
	*/
	z.strictObject({
		type: z.literal('config.publish'),
		version: z.int().min(1),
		source: bytesSchema.refine(bytes => bytes.length <= compressedLimitBytes),
		configuration: bytesSchema.refine(bytes => bytes.length <= compressedLimitBytes),
	}),
	z.strictObject({
		type: z.literal('key.issue'), changeId: idSchema, keyId: idSchema, digest: digestSchema, tenant: idSchema,
	}),
	z.strictObject({type: z.literal('key.withdraw'), changeId: idSchema, keyId: idSchema}),
	/** `claimId` is chosen by the claimant, which makes a resend of the command harmless. */
	z.strictObject({
		type: z.literal('claim.open'), claimId: idSchema, ...claimIdentity, requestDigest: z.string().max(128),
	}),
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
	z.strictObject({type: z.literal('lease.acquire'), ...leaseIdentity, ttlMs: z.int().min(1).max(60_000)}),
	z.strictObject({
		type: z.literal('lease.renew'), ...leaseIdentity, epoch: z.int(), ttlMs: z.int().min(1).max(60_000),
	}),
	z.strictObject({type: z.literal('lease.release'), ...leaseIdentity, epoch: z.int()}),
	z.strictObject({
		type: z.literal('drain.set'), changeId: idSchema, target: z.enum(['vm', 'upstream']), name: idSchema, draining: z.boolean(),
	}),
	z.strictObject({
		type: z.literal('order.submit'), changeId: idSchema, orderId: idSchema, upstream: idSchema, order: z.unknown(),
	}),
	/** `epoch` is that of the lease `orders`; a former holder's report is refused. */
	z.strictObject({
		type: z.literal('order.settle'), orderId: idSchema, epoch: z.int(), status: z.enum(['done', 'failed']), detail: z.string().max(1000).optional(),
	}),
	z.strictObject({type: z.literal('clock.advance'), elapsedMs: z.number().nonnegative()}),
]);

const leaseHolderSchema = z.strictObject({holder: vmIdentitySchema, epoch: z.int()});

/** What a command did. The same command with the same change id has the same outcome. */
export const outcomeSchema = z.discriminatedUnion('kind', [
	z.strictObject({kind: z.literal('done'), revision: revisionSchema}),
	z.strictObject({kind: z.literal('applied'), revision: revisionSchema, version: z.int()}),
	/** `version` is the one in force, which may be a later one than was published. */
	z.strictObject({
		kind: z.literal('published'), revision: revisionSchema, version: z.int(), isChanged: z.boolean(),
	}),
	/** Another change came first; `version` is the current one. */
	z.strictObject({kind: z.literal('version-conflict'), version: z.int()}),
	z.strictObject({
		kind: z.literal('issued'), revision: revisionSchema, keyId: idSchema, digest: digestSchema,
	}),
	z.strictObject({
		kind: z.literal('refused'),
		code: z.enum(['exists', 'not-found', 'too-many', 'stale', 'change-id-reused', 'unknown-tenant', 'invalid']),
	}),
	z.strictObject({kind: z.literal('claim-granted')}),
	/** Another claimant runs the request, or died while running it. */
	z.strictObject({kind: z.literal('claim-pending')}),
	z.strictObject({kind: z.literal('claim-absent')}),
	z.strictObject({kind: z.literal('claim-recorded'), outcome: recordedOutcomeSchema}),
	z.strictObject({kind: z.literal('claim-unknown')}),
	z.strictObject({kind: z.literal('claim-conflict')}),
	z.strictObject({kind: z.literal('claim-too-many'), retryAfterMs: z.number()}),
	z.strictObject({kind: z.literal('lease-held'), epoch: z.int()}),
	z.strictObject({kind: z.literal('lease-taken'), current: leaseHolderSchema.optional()}),
]);

/** A change that entry processes must see. */
export const changeSchema = z.discriminatedUnion('kind', [
	z.strictObject({
		kind: z.literal('configuration'), revision: revisionSchema, version: z.int(), configuration: bytesSchema,
	}),
	z.strictObject({
		kind: z.literal('key'), revision: revisionSchema, keyId: idSchema, digest: digestSchema, tenant: idSchema,
	}),
	z.strictObject({kind: z.literal('key-withdrawn'), revision: revisionSchema, keyId: idSchema}),
	z.strictObject({
		kind: z.literal('drain'), revision: revisionSchema, target: z.enum(['vm', 'upstream']), name: idSchema, draining: z.boolean(),
	}),
	/** Without a holder the lease is free. */
	z.strictObject({
		kind: z.literal('lease'), revision: revisionSchema, name: idSchema, holder: vmIdentitySchema.optional(), epoch: z.int(),
	}),
]);

/** One page of the whole view. Pages may be read at different times; the changes after `base` complete them. */
export const viewPageSchema = z.strictObject({
	/** Revision at which the first page was read. */
	base: revisionSchema,
	/** State as changes, in an order that may be applied to an empty view. */
	items: z.array(changeSchema),
	/** Asks for the next page; absent on the last one. */
	next: z.int().optional(),
});

export const grantSchema = z.strictObject({
	/** Unique over all leaders. */
	id: z.int(),
	tenant: idSchema,
	tokens: tokensSchema,
	/** Whether nobody waits for it; it may be spent for longer. */
	isAdvance: z.boolean(),
});

/** Tells that the bucket cannot cover what a waiting request needs for `waitMs`. */
export const shortageSchema = z.strictObject({
	tenant: idSchema,
	waitMs: z.number().nonnegative(),
	/** The leader is new and waits until its predecessor's grants have expired, whatever the tenant used. */
	isPause: z.boolean(),
});

export const wantSchema = z.strictObject({
	tenant: idSchema,
	tokens: tokensSchema,
	/** What the first waiting request needs; a smaller grant would not help it. */
	atLeast: tokensSchema,
	/** How long that request still waits, in milliseconds. */
	waitMs: z.number().nonnegative(),
});

/** An owner's time; readings of different terms are not compared. */
export const ownerStampSchema = z.strictObject({term: z.int(), atMs: z.number()});

/** Spent tokens that were not used after all; the owner counted them as spent at `stamp` or later. */
export const refundSchema = z.strictObject({tenant: idSchema, stamp: ownerStampSchema, tokens: tokensSchema});

export const chargeSchema = z.strictObject({tenant: idSchema, tokens: tokensSchema});

/** Reports of an entry process about its allowances, and what it wants. */
export const allowanceReportSchema = z.strictObject({
	/** Tokens spent of each live grant since it was given. */
	spent: z.array(z.strictObject({grant: z.int(), tokens: tokensSchema})).max(syncListLimit),
	/** Unspent tokens of grants that the holder gave up. */
	returned: z.array(z.strictObject({grant: z.int(), tokens: tokensSchema})).max(syncListLimit),
	refunds: z.array(refundSchema).max(syncListLimit),
	/** Tokens used beyond what was acquired. */
	charges: z.array(chargeSchema).max(syncListLimit),
	wanted: z.array(wantSchema).max(syncListLimit),
});

export const syncRequestSchema = z.strictObject({
	type: z.literal('control/sync'),
	/** Grows with each sync of one incarnation. */
	seq: z.int().min(1),
	/** Revision of the view that the entry process has. */
	revision: revisionSchema,
	/** Continues reading a view in pages. */
	page: z.strictObject({base: revisionSchema, cursor: z.int()}).optional(),
	allowances: allowanceReportSchema,
	/** In-flight requests. */
	load: z.number().nonnegative(),
	/** Which platform list of servers the process has, where it follows the leader's. */
	servers: listPositionSchema.optional(),
});

export const notLeaderSchema = z.strictObject({kind: z.literal('not-leader'), leader: idSchema.optional()});

export const syncReplySchema = z.discriminatedUnion('kind', [
	z.strictObject({
		kind: z.literal('synced'),
		/** A quorum confirmed that nothing newer was committed when the sync arrived. */
		revision: revisionSchema,
		changes: z.array(changeSchema).optional(),
		snapshot: viewPageSchema.optional(),
		grants: z.array(grantSchema),
		shortages: z.array(shortageSchema),
		/** Owner's time of this answer. */
		stamp: ownerStampSchema,
		/** Owner's time at which it took the report. */
		takenMs: z.number(),
		servers: listUpdateSchema.optional(),
	}),
	notLeaderSchema,
]);

export const proposeRequestSchema = z.strictObject({type: z.literal('control/propose'), command: commandSchema});

export const proposeReplySchema = z.discriminatedUnion('kind', [
	z.strictObject({kind: z.literal('outcome'), outcome: outcomeSchema}),
	/** The command may or may not take effect; the same command may be sent again. */
	z.strictObject({kind: z.literal('unknown'), leader: idSchema.optional()}),
	z.strictObject({kind: z.literal('overloaded')}),
	notLeaderSchema,
]);

/** What operators and order holders read, after a read-index. */
export const readQuerySchema = z.discriminatedUnion('what', [
	/** Without a version, the current configuration. */
	z.strictObject({what: z.literal('configuration'), version: z.int().optional()}),
	z.strictObject({what: z.literal('history')}),
	z.strictObject({what: z.literal('keys'), after: revisionSchema}),
	z.strictObject({what: z.literal('drains')}),
	/** `open` leaves out orders that are done or failed. */
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
		/** Oldest first. */
		versions: z.array(z.strictObject({version: z.int(), changeId: idSchema, appliedMs: z.number()})),
	}),
	z.strictObject({
		what: z.literal('keys'),
		keys: z.array(z.strictObject({keyId: idSchema, tenant: idSchema, revision: revisionSchema})),
		next: revisionSchema.optional(),
	}),
	z.strictObject({what: z.literal('drains'), drains: z.array(z.strictObject({target: z.enum(['vm', 'upstream']), name: idSchema}))}),
	z.strictObject({what: z.literal('orders'), orders: z.array(orderRecordSchema)}),
	z.strictObject({what: z.literal('leases'), leases: z.array(z.strictObject({name: idSchema, holder: vmIdentitySchema.optional(), epoch: z.int()}))}),
	z.strictObject({what: z.literal('claim'), outcome: outcomeSchema}),
]);

export const readReplySchema = z.discriminatedUnion('kind', [
	z.strictObject({kind: z.literal('result'), result: readResultSchema}),
	notLeaderSchema,
]);

/** Buckets and grants in one handover; a leader with more hands nothing over, and its successor pauses. */
export const handoverLimit = 10_000;

/** What a leader that steps down knows of the tenants' rates; it grants nothing any more. Sent to the other members of the log. */
export const handoverSchema = z.strictObject({
	type: z.literal('control/handover'),
	/** Term in which the sender led. */
	term: z.int().min(1),
	/** For how long grants of the sender's own predecessor may still be spent, in milliseconds. */
	pauseMs: z.number().min(0),
	buckets: z.array(z.strictObject({tenant: idSchema, level: z.number()})).max(handoverLimit),
	/** Grants that their holders may still spend. */
	grants: z.array(z.strictObject({
		id: z.int(), tenant: idSchema, holder: vmIdentitySchema, left: tokensSchema, isAdvance: z.boolean(), tokens: tokensSchema, expiresInMs: z.number().min(0),
	})).max(handoverLimit),
});

/** Tells an entry process with a live session that its view, or its list of servers, is out of date. */
export const changedSchema = z.strictObject({type: z.literal('control/changed'), revision: revisionSchema, servers: listPositionSchema.optional()});

export type Command = z.infer<typeof commandSchema>;
export type CommandOf<T extends Command['type']> = Extract<Command, {type: T}>;
export type Outcome = z.infer<typeof outcomeSchema>;
export type Change = z.infer<typeof changeSchema>;
export type ViewPage = z.infer<typeof viewPageSchema>;
export type Grant = z.infer<typeof grantSchema>;
export type Shortage = z.infer<typeof shortageSchema>;
export type Want = z.infer<typeof wantSchema>;
export type OwnerStamp = z.infer<typeof ownerStampSchema>;
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
