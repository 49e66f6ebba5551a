import type {
	BaseEvent, CoreEffect, ReplyToken, VmIdentity,
} from '../core/types.js';
import type {
	DecodeFailure, PlacementReply, PlacementRequest, Progress,
} from '../services/scheduler-client.js';
import type {CacheEventsReply, LoadReply, RequestList} from '../upstreams/engine-api.js';
import type {RunningReservation} from './messages.js';

export type * from './messages.js';

/** An engine of a pool shard: its shared configuration and whether it is drained. */
export type EngineSpec = {
	readonly name: string;
	readonly zone: string;
	readonly role: 'prefill' | 'decode' | 'both';
	/** Maximum number of requests that the engine decodes concurrently. */
	readonly slots: number;
	/** Number of blocks of the engine's KV cache. */
	readonly cacheBlocks: number;
	/** Bandwidth of the engine's network link, in bytes per second. */
	readonly linkRate: number;
	/** Whether an operator has drained the engine, so that it gets no new requests. */
	readonly isDrained: boolean;
};

/** Entry processes that membership knows to be live or dead. A process in neither list is unknown to membership. */
export type EntryProcesses = {
	readonly live: readonly VmIdentity[];
	readonly dead: readonly VmIdentity[];
};

/** Reply of a process that does not hold the shard's lease to a message that only the lease holder can handle. */
export type NotHolder = {readonly kind: 'not-holder'};

export type SchedulerReply = PlacementReply | NotHolder;

export type SchedulerEvent =
	| BaseEvent<'scheduler/tick'>
	/** Replaces the engines of the shard and the customer weights. */
	| (BaseEvent<'scheduler/configure'> & {
		readonly engines: readonly EngineSpec[];
		/** Fair-queue weight by customer; customers that are not listed have weight 1. */
		readonly weights: ReadonlyMap<string, number>;
	})
	/** The lease was acquired with `epoch`, or lost if `epoch` is undefined. Epoch 0 denotes local placement without a lease; it starts no rebuild. */
	| (BaseEvent<'scheduler/lease'> & {readonly epoch: number | undefined})
	/** Replaces the lists of live and dead entry processes. */
	| (BaseEvent<'scheduler/entries'> & {readonly entries: EntryProcesses})
	/** Requests a placement. Answered by a `reply` effect whose body is a `SchedulerReply`. */
	| (BaseEvent<'scheduler/place'> & {readonly token: ReplyToken; readonly owner: VmIdentity; readonly req: PlacementRequest})
	/** Removes a queued request whose caller no longer waits for it. */
	| (BaseEvent<'scheduler/cancel'> & {readonly owner: VmIdentity; readonly requestId: string})
	/** Moves a reservation to another decode engine. Answered by a `reply` effect whose body is a `SchedulerReply`. */
	| (BaseEvent<'scheduler/replace'> & {
		readonly token: ReplyToken; readonly owner: VmIdentity; readonly reservation: string; readonly failure: DecodeFailure;
	})
	/** Applies the owner's progress message about a reservation. */
	| (BaseEvent<'scheduler/progress'> & {readonly owner: VmIdentity; readonly progress: Progress})
	/**
	All reservations that the entry process runs in this shard. `requestedMs` is the time at which the report was requested, in
	milliseconds: a reservation that is missing from the report counts as missing only if it was placed before that time.
	*/
	| (BaseEvent<'scheduler/report'> & {readonly owner: VmIdentity; readonly requestedMs: number; readonly reservations: readonly RunningReservation[]})
	/** An engine has reported its load. */
	| (BaseEvent<'scheduler/load'> & {readonly engine: string; readonly load: LoadReply})
	/** A poll of an engine's load has failed. */
	| (BaseEvent<'scheduler/poll-failed'> & {readonly engine: string})
	/** Reply to a poll of an engine's cache events after event number `after`. */
	| (BaseEvent<'scheduler/cache-events'> & {readonly engine: string; readonly after: number; readonly reply: CacheEventsReply})
	/** All requests that an engine runs. */
	| (BaseEvent<'scheduler/engine-requests'> & {readonly engine: string; readonly requests: RequestList['requests']});

export type SchedulerEffect =
	| CoreEffect
	/** Requests the reservations that an entry process runs; the reply is dispatched as `scheduler/report`. */
	| {readonly type: 'scheduler/ask-report'; readonly to: VmIdentity}
	/** Lists the requests on an engine; the result is dispatched as `scheduler/engine-requests`. */
	| {readonly type: 'scheduler/list-requests'; readonly engine: string}
	/** Cancels a request on an engine because the request's owner is dead or has been unknown to membership for too long. */
	| {readonly type: 'scheduler/cancel-request'; readonly engine: string; readonly requestId: string};
