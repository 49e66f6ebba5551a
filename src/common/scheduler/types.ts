import type {
	BaseEvent, CoreEffect, ReplyToken, VmIdentity,
} from '../core/types.js';
import type {
	DecodeFailure, PlaceReply, PlaceRequest, Progress,
} from '../services/scheduler-client.js';
import type {CacheEventsReply, LoadReply, RequestList} from '../upstreams/engine-api.js';
import type {RunningReservation} from './messages.js';

export type * from './messages.js';

/** An engine of the pool shard, from the shared configuration and its drains. */
export type EngineSpec = {
	readonly name: string;
	readonly zone: string;
	readonly role: 'prefill' | 'decode' | 'both';
	/** Requests that it decodes at once. */
	readonly slots: number;
	readonly cacheBlocks: number;
	/** Bytes per second. */
	readonly linkRate: number;
	readonly isDrained: boolean;
};

/** Entry processes as membership knows them. A process in neither list is unknown. */
export type EntryProcesses = {
	readonly live: readonly VmIdentity[];
	readonly dead: readonly VmIdentity[];
};

/** Answer to a placement sent to a process that does not hold the shard's lease. */
export type NotHolder = {readonly kind: 'not-holder'};

export type SchedulerReply = PlaceReply | NotHolder;

export type SchedulerEvent =
	| BaseEvent<'scheduler/tick'>
	| (BaseEvent<'scheduler/configure'> & {
		readonly engines: readonly EngineSpec[];
		/** Weight of a tenant; 1 for those not listed. */
		readonly weights: ReadonlyMap<string, number>;
	})
	/** The lease was acquired, or lost when `epoch` is undefined. Epoch 0 stands for local placement, which needs no rebuild. */
	| (BaseEvent<'scheduler/lease'> & {readonly epoch: number | undefined})
	| (BaseEvent<'scheduler/entries'> & {readonly entries: EntryProcesses})
	/** Answered by a reply effect with a `SchedulerReply`. */
	| (BaseEvent<'scheduler/place'> & {readonly token: ReplyToken; readonly owner: VmIdentity; readonly req: PlaceRequest})
	/** The caller of a queued request is gone. */
	| (BaseEvent<'scheduler/cancel'> & {readonly owner: VmIdentity; readonly requestId: string})
	| (BaseEvent<'scheduler/replace'> & {
		readonly token: ReplyToken; readonly owner: VmIdentity; readonly reservation: string; readonly failure: DecodeFailure;
	})
	| (BaseEvent<'scheduler/progress'> & {readonly owner: VmIdentity; readonly progress: Progress})
	/** Everything the entry process runs in this shard; `askedMs` is when it was asked. */
	| (BaseEvent<'scheduler/report'> & {readonly owner: VmIdentity; readonly askedMs: number; readonly reservations: readonly RunningReservation[]})
	| (BaseEvent<'scheduler/load'> & {readonly engine: string; readonly load: LoadReply})
	| (BaseEvent<'scheduler/poll-failed'> & {readonly engine: string})
	| (BaseEvent<'scheduler/cache-events'> & {readonly engine: string; readonly after: number; readonly reply: CacheEventsReply})
	| (BaseEvent<'scheduler/engine-requests'> & {readonly engine: string; readonly requests: RequestList['requests']});

export type SchedulerEffect =
	| CoreEffect
	/** Asks an entry process what it runs; its answer becomes `scheduler/report`. */
	| {readonly type: 'scheduler/ask-report'; readonly to: VmIdentity}
	/** Lists an engine's requests; the answer becomes `scheduler/engine-requests`. */
	| {readonly type: 'scheduler/list-requests'; readonly engine: string}
	/** Cancels a request of a dead owner. */
	| {readonly type: 'scheduler/cancel-request'; readonly engine: string; readonly requestId: string};
