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
	readonly cacheBlocks: number;
	/** Bandwidth of the engine's network link, in bytes per second. */
	readonly linkRate: number;
	readonly isDrained: boolean;
};

/** Entry processes by membership status. A process in neither list is unknown to membership. */
export type EntryProcesses = {
	readonly live: readonly VmIdentity[];
	readonly dead: readonly VmIdentity[];
};

/** Reply to a message that needs the shard's lease, from a process that does not hold it. */
export type NotHolder = {readonly kind: 'not-holder'};

export type SchedulerReply = PlacementReply | NotHolder;

export type SchedulerEvent =
	| BaseEvent<'scheduler/tick'>
	| (BaseEvent<'scheduler/configure'> & {
		readonly engines: readonly EngineSpec[];
		/** Fair-queue weight by tenant; tenants that are not listed have weight 1. */
		readonly weights: ReadonlyMap<string, number>;
	})
	/** The lease was acquired with `epoch`, or lost if `epoch` is undefined. Epoch 0 denotes local placement without a lease, which needs no rebuild. */
	| (BaseEvent<'scheduler/lease'> & {readonly epoch: number | undefined})
	| (BaseEvent<'scheduler/entries'> & {readonly entries: EntryProcesses})
	/** Answered by a `reply` effect whose body is a `SchedulerReply`. */
	| (BaseEvent<'scheduler/place'> & {readonly token: ReplyToken; readonly owner: VmIdentity; readonly req: PlacementRequest})
	/** The caller of a queued request no longer waits for it. */
	| (BaseEvent<'scheduler/cancel'> & {readonly owner: VmIdentity; readonly requestId: string})
	| (BaseEvent<'scheduler/replace'> & {
		readonly token: ReplyToken; readonly owner: VmIdentity; readonly reservation: string; readonly failure: DecodeFailure;
	})
	| (BaseEvent<'scheduler/progress'> & {readonly owner: VmIdentity; readonly progress: Progress})
	/** All reservations that the entry process runs in this shard; `requestedMs` is the time at which the report was requested. */
	| (BaseEvent<'scheduler/report'> & {readonly owner: VmIdentity; readonly requestedMs: number; readonly reservations: readonly RunningReservation[]})
	| (BaseEvent<'scheduler/load'> & {readonly engine: string; readonly load: LoadReply})
	| (BaseEvent<'scheduler/poll-failed'> & {readonly engine: string})
	| (BaseEvent<'scheduler/cache-events'> & {readonly engine: string; readonly after: number; readonly reply: CacheEventsReply})
	| (BaseEvent<'scheduler/engine-requests'> & {readonly engine: string; readonly requests: RequestList['requests']});

export type SchedulerEffect =
	| CoreEffect
	/** Requests the reservations that an entry process runs; the reply is dispatched as `scheduler/report`. */
	| {readonly type: 'scheduler/ask-report'; readonly to: VmIdentity}
	/** Lists the requests on an engine; the result is dispatched as `scheduler/engine-requests`. */
	| {readonly type: 'scheduler/list-requests'; readonly engine: string}
	/** Cancels a request on an engine because its owner is dead or has been unknown for too long. */
	| {readonly type: 'scheduler/cancel-request'; readonly engine: string; readonly requestId: string};
