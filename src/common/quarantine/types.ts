import type {BaseEvent, CoreEffect, VmId} from '../core/types.js';
import type {QuarantineNews} from './messages.js';
import type {StoredBlocks} from './stored-blocks.js';

export type * from './messages.js';

/** Id of a prompt part, or of a request as a whole. Requests whose prompts share a part state the same id, as does one request that comes again. */
export type PartId = string;

/** Key of one incarnation of a server. */
export type ServerId = string;

/** Number that identifies one attempt of a request on a server, unique in the process. */
export type AttemptId = number;

/**
How an attempt ended: with a complete answer that shows that the server ran the request; `broken` if the server ended it without a complete answer;
`stopped` if the router or the caller did; `inconclusive` if it tells nothing about the request, as when the server did not run it.
*/
export type AttemptOutcome = 'completed' | 'broken' | 'stopped' | 'inconclusive';

/** Report of a crash of a server that had not, or just begun to, produce output for a request. */
export type CrashReport = {
	readonly id: string;
	readonly server: ServerId;
	readonly requestId: string;
	/** VM whose request it was. */
	readonly vm: VmId;
	readonly parts: readonly PartId[];
	/** Whether the server had just begun to produce output for the request. */
	readonly hasOutput: boolean;
	/** Time at which the request broke, in milliseconds. */
	readonly atMs: number;
};

/** Block of all requests that contain every one of `parts`. */
export type Block = {
	readonly parts: readonly PartId[];
	/** Number of consecutive blocks of these parts, this one included. */
	readonly strikes: number;
	readonly startedMs: number;
	readonly untilMs: number;
	readonly decidedBy: VmId;
	/** Ids of the crash reports on which the decision rests. */
	readonly evidence: readonly string[];
};

export type QuarantineEvent =
	/** A request was sent to a server. `parts` are the parts that may be at fault if the server crashes. */
	| (BaseEvent<'quarantine/attempt-started'> & {readonly attempt: AttemptId; readonly server: ServerId; readonly requestId: string; readonly parts: readonly PartId[]})
	/** The server produced the first output of an attempt. */
	| (BaseEvent<'quarantine/attempt-produced'> & {readonly attempt: AttemptId})
	/** The server has been silent for longer than usual. */
	| (BaseEvent<'quarantine/attempt-stalled'> & {readonly attempt: AttemptId})
	| (BaseEvent<'quarantine/attempt-ended'> & {readonly attempt: AttemptId; readonly outcome: AttemptOutcome})
	/** A server cannot be reached, or is no longer listed. */
	| (BaseEvent<'quarantine/server-lost'> & {readonly server: ServerId})
	/** A request was refused because of the block of `parts`. */
	| (BaseEvent<'quarantine/refused'> & {readonly parts: readonly PartId[]})
	| (BaseEvent<'quarantine/news'> & {readonly from: VmId; readonly news: QuarantineNews})
	/** A gossip message was sent to `to`; news for it may be sent along. `isFull` if everything is to be sent, not just what is new. */
	| (BaseEvent<'quarantine/gossip'> & {readonly to: VmId; readonly memberCount: number; readonly isFull: boolean})
	/** Blocks and ended blocks were loaded that an earlier run of a process on this disk knew. */
	| (BaseEvent<'quarantine/restored'> & StoredBlocks)
	| BaseEvent<'quarantine/tick'>;

export type QuarantineEffect =
	| CoreEffect
	/** Sends news to some random members at once. */
	| {readonly type: 'quarantine/push'; readonly news: QuarantineNews};
