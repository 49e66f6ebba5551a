/**
The access slice of an entry process: its view of the shared state, the time of the last confirmed sync, and the rate tokens that it may spend for each customer.

Events come from the platform layer and the request path, never from consensus. The slice returns these effects:
- `access/request`: asks the platform layer to send a sync and to dispatch `access/reply` or `access/failed` afterwards.
- `reply`: answers an `access/acquire` event with an `AllowanceResult`.
- `notify`: emits an event with the topic `access/view-changed` (a `SharedStateView`), `access/key-withdrawn` (a key id) or `access/servers` (a `ReceivedList`).
*/
import type {AllowanceReport, SyncReply, SyncRequest} from '../control/messages.js';
import {syncReplySchema} from '../control/messages.js';
import type {
	BaseEvent, CoreEffect, ReplyToken, VmId,
} from '../core/types.js';
import {ServerListReplica} from '../forwarding/server-list-feed.js';
import type {ListPosition} from '../forwarding/server-list-feed.js';
import {GrantHolder} from '../limits/grant-holder.js';
import type {WaiterResult, Settlement} from '../limits/grant-holder.js';
import {onDemandGrantValidityMs} from '../limits/types.js';
import type {CustomerLimit} from '../limits/types.js';
import type {KeyIdentity, SharedStateView} from '../services/access-service.js';
import {
	addViewPage, applyChange, createMutableView, copyView,
} from './view.js';
import type {DecodeConfiguration, PartialView, MutableView} from './view.js';

/** Maximum age of the view with which routes that need a key are served, in milliseconds; counted from when the last confirmed sync was sent. Long enough for a failover of the leader and one sync. */
export const freshnessLimitMs = 3000;
/** Interval between regular syncs, in milliseconds. */
export const syncIntervalMs = 500;
/** Minimum time between sending a sync and sending an urgent sync (for waiting requests or an early report of rate tokens), in milliseconds. Bounds the number of syncs that a customer far over its rate causes at the leader. */
const minUrgentSyncGapMs = 10;
/** Timeout of a sync, in milliseconds. A later reply would be useless to waiting requests, since its on-demand grants would have expired. */
const syncTimeoutMs = onDemandGrantValidityMs;
/** Maximum number of consecutive leader hints (the leader that a control VM names when it is not the leader itself) that are followed without a delay. */
const maxConsecutiveHints = 2;
/** Delay before the sync to another control VM, in milliseconds, after a failed sync or too many consecutive leader hints. */
const retryDelayMs = 50;

export type AccessOptions = {
	/** Control VMs in the order in which they are tried. */
	readonly controlVms: readonly VmId[];
	readonly decodeConfiguration: DecodeConfiguration;
	/** Whether syncs also fetch the leader's copy of the platform's server list; false by default. */
	readonly followsServerList?: boolean;
};

type PendingSync = {readonly seq: number; readonly sentMs: number; readonly target: VmId};

export type AccessState = {
	readonly decodeConfiguration: DecodeConfiguration;
	controlVms: readonly VmId[];
	/** Control VM that syncs are sent to; undefined while none is known. */
	target: VmId | undefined;
	view: MutableView;
	/** Immutable copy of `view` for the request path; undefined until a configuration was received. */
	publishedView: SharedStateView | undefined;
	/** View that is being read page by page; undefined while none is. */
	partialView: PartialView | undefined;
	/** Monotonic time at which the last sync that a quorum confirmed was sent, in milliseconds; undefined before the first one. */
	confirmedMs: number | undefined;
	/** The sync in flight; undefined if there is none. At most one sync is in flight at a time. */
	pendingSync: PendingSync | undefined;
	/** Monotonic time at which the next regular sync is due, in milliseconds. */
	nextSyncMs: number;
	/** Monotonic time at which the last sync was sent, in milliseconds; negative infinity before the first one. */
	lastSentMs: number;
	/** Sequence number of the next sync. */
	nextSeq: number;
	/** Number of consecutive leader hints followed; reset by a successful sync or by trying the next control VM in the list. */
	consecutiveHints: number;
	/** Number of callers' requests that this process is running; syncs report it to the leader. */
	load: number;
	/** Copy of the platform's server list; undefined if this process does not follow the leader's list. */
	readonly servers: ServerListReplica | undefined;
	readonly grantHolder: GrantHolder;
};

export type AccessEvent =
	/** Refuses requests whose wait for rate tokens has expired, and sends a sync if one is due. It is dispatched at the time that `nextTickMs` returns; additional ticks are harmless. */
	| BaseEvent<'access/tick'>
	/** Takes `tokens` rate tokens of the customer, waiting at most `maxWaitMs` for them; the reply effect for `token` carries the result. */
	| (BaseEvent<'access/acquire'> & {readonly token: ReplyToken; readonly tenant: string; readonly tokens: number; readonly maxWaitMs: number})
	/** Settles an acquisition of rate tokens after its request has ended. */
	| (BaseEvent<'access/settle'> & Omit<Settlement, 'nowMs'>)
	/** The sync `seq` was answered with `body`, which this slice validates. */
	| (BaseEvent<'access/reply'> & {readonly seq: number; readonly body: unknown})
	/** The sync `seq` failed or timed out. */
	| (BaseEvent<'access/failed'> & {readonly seq: number})
	/** The leader announced that the shared state is at `revision`, and the server list, if present, at the position `servers`. */
	| (BaseEvent<'access/changed'> & {readonly revision: number; readonly servers?: ListPosition | undefined})
	/** The number of callers' requests that this process is running is now `load`. */
	| (BaseEvent<'access/load'> & {readonly load: number})
	/** The control VMs, in the order in which they are tried, are now `vms`. */
	| (BaseEvent<'access/control-vms'> & {readonly vms: readonly VmId[]});

export type AccessEffect =
	| CoreEffect
	| {readonly type: 'access/request'; readonly to: VmId; readonly seq: number; readonly message: SyncRequest; readonly timeoutMs: number};

export function createAccessState({controlVms, decodeConfiguration, followsServerList = false}: AccessOptions): AccessState {
	return {
		decodeConfiguration,
		controlVms,
		target: controlVms[0],
		view: createMutableView(),
		publishedView: undefined,
		partialView: undefined,
		confirmedMs: undefined,
		pendingSync: undefined,
		nextSyncMs: 0,
		lastSentMs: Number.NEGATIVE_INFINITY,
		nextSeq: 1,
		consecutiveHints: 0,
		load: 0,
		servers: followsServerList ? new ServerListReplica() : undefined,
		grantHolder: new GrantHolder(),
	};
}

/** Returns whether a quorum confirmed the view recently enough to serve routes that need a key. */
export function isFresh({publishedView, confirmedMs}: AccessState, nowMs: number): boolean {
	return publishedView !== undefined && confirmedMs !== undefined && nowMs - confirmedMs <= freshnessLimitMs;
}

/** Returns the identity of the key with this SHA-256 digest; undefined if the key is unknown or its customer is not configured. */
export function findIdentity({publishedView, view}: AccessState, digest: string): KeyIdentity | undefined {
	const identity = view.keysByDigest.get(digest);
	return identity && limitOf(publishedView, identity.tenant) && identity;
}

export function reduceAccess(state: AccessState, event: AccessEvent): AccessEffect[] {
	switch (event.type) {
		case 'access/tick': {
			return [...toReplyEffects(state.grantHolder.expireWaiters(event.nowMs)), ...syncIfDue(state, event.nowMs)];
		}

		case 'access/acquire': {
			return acquire(state, event);
		}

		case 'access/settle': {
			state.grantHolder.settle(event);
			return [];
		}

		case 'access/reply': {
			return receiveReply(state, event);
		}

		case 'access/failed': {
			return state.pendingSync?.seq === event.seq ? switchControlVm(state, undefined, event.nowMs) : [];
		}

		case 'access/changed': {
			if (event.revision > state.view.revision || isNewerPosition(event.servers, state.servers?.position)) {
				state.nextSyncMs = Math.min(state.nextSyncMs, event.nowMs);
			}

			return syncIfDue(state, event.nowMs);
		}

		case 'access/load': {
			state.load = event.load;
			return [];
		}

		case 'access/control-vms': {
			state.controlVms = event.vms;
			state.target ??= event.vms[0];
			return syncIfDue(state, event.nowMs);
		}
	}
}

function limitOf(view: SharedStateView | undefined, customer: string): CustomerLimit | undefined {
	const customers = view?.configuration.tenants;
	return customers && Object.hasOwn(customers, customer) ? customers[customer] : undefined;
}

function toReplyEffects(results: readonly WaiterResult[]): AccessEffect[] {
	return results.map(({token, result}) => ({type: 'reply', token, body: result}));
}

function acquire(state: AccessState, event: Extract<AccessEvent, {type: 'access/acquire'}>): AccessEffect[] {
	const {token, tenant: customer, tokens, maxWaitMs, nowMs} = event;
	const limit = limitOf(state.publishedView, customer);
	if (!limit) {
		return [{type: 'reply', token, body: {ok: false, code: 'control-unreachable', retryAfterMs: syncIntervalMs}}];
	}

	const result = state.grantHolder.acquire({
		tenant: customer, tokens, maxWaitMs, token, limit, nowMs,
	});
	return result ? [{type: 'reply', token, body: result}] : syncIfDue(state, nowMs);
}

/** Returns the monotonic time at which the next tick is required, in milliseconds: when a sync is due or the wait of a request expires. Infinity if neither is pending. */
export function nextTickMs(state: AccessState): number {
	return Math.min(nextSyncMs(state), state.grantHolder.earliestDeadlineMs() ?? Number.POSITIVE_INFINITY);
}

/** Returns the monotonic time at which the next sync is due, in milliseconds; Infinity while a sync is in flight or no control VM is known. */
function nextSyncMs(state: AccessState): number {
	if (state.pendingSync !== undefined || state.target === undefined) {
		return Number.POSITIVE_INFINITY;
	}

	const {grantHolder} = state;
	const urgentSyncMs = Math.min(grantHolder.waitersReadyMs() ?? Number.POSITIVE_INFINITY, grantHolder.earlyReportAtMs() ?? Number.POSITIVE_INFINITY);
	return Math.min(state.nextSyncMs, Math.max(urgentSyncMs, state.lastSentMs + minUrgentSyncGapMs));
}

/** Returns the effect that sends a sync if one is due (a regular sync, an urgent one, or one for the rest of a paged view), and no effects otherwise. */
function syncIfDue(state: AccessState, nowMs: number): AccessEffect[] {
	const {target} = state;
	if (target === undefined || nowMs < nextSyncMs(state)) {
		return [];
	}

	const seq = state.nextSeq++;
	const {partialView} = state;
	const allowances: AllowanceReport = state.grantHolder.buildReport(nowMs);
	state.pendingSync = {seq, sentMs: nowMs, target};
	state.lastSentMs = nowMs;
	state.nextSyncMs = nowMs + syncIntervalMs;
	const message: SyncRequest = {
		type: 'control/sync',
		seq,
		revision: partialView && partialView.cursor === undefined ? partialView.base : state.view.revision,
		...(partialView?.cursor !== undefined && {page: {base: partialView.base, cursor: partialView.cursor}}),
		allowances,
		load: state.load,
		...(state.servers && {servers: state.servers.position}),
	};
	return [{
		type: 'access/request', to: target, seq, message, timeoutMs: syncTimeoutMs,
	}];
}

function receiveReply(state: AccessState, {seq, body, nowMs}: Extract<AccessEvent, {type: 'access/reply'}>): AccessEffect[] {
	const {pendingSync} = state;
	if (pendingSync?.seq !== seq) {
		return [{type: 'count', metric: 'access_late_replies'}];
	}

	const reply = syncReplySchema.safeParse(body);
	if (!reply.success) {
		return [{type: 'count', metric: 'access_invalid_replies'}, ...switchControlVm(state, undefined, nowMs)];
	}

	if (reply.data.kind === 'not-leader') {
		return switchControlVm(state, reply.data.leader, nowMs);
	}

	if (reply.data.revision < state.view.revision) {
		// The reply is discarded: a view older than the present one would restore withdrawn keys and replaced configurations.
		return [{type: 'count', metric: 'access_refused_older_views'}, ...switchControlVm(state, undefined, nowMs)];
	}

	state.pendingSync = undefined;
	state.consecutiveHints = 0;
	const {sentMs} = pendingSync;
	return [
		...applyServerList(state, reply.data, sentMs),
		...applyViewUpdate(state, reply.data, sentMs, nowMs),
		...applyAllowances(state, reply.data, sentMs, nowMs),
		...syncIfDue(state, nowMs),
	];
}

/** Switches from a control VM that did not serve the sync to the leader `hint` that it named, or to the next control VM in the list if it named no other VM. */
function switchControlVm(state: AccessState, hint: VmId | undefined, nowMs: number): AccessEffect[] {
	const {controlVms, pendingSync} = state;
	const failedTarget = pendingSync?.target ?? state.target;
	state.pendingSync = undefined;
	const isUsefulHint = hint !== undefined && hint !== failedTarget;
	state.target = isUsefulHint ? hint : controlVms[(controlVms.indexOf(failedTarget ?? '') + 1) % controlVms.length];
	// Counts consecutive hints, so that control VMs that name each other as leader do not cause a busy loop of syncs.
	state.consecutiveHints = isUsefulHint ? state.consecutiveHints + 1 : 0;
	state.nextSyncMs = isUsefulHint && state.consecutiveHints <= maxConsecutiveHints ? nowMs : nowMs + retryDelayMs;
	return syncIfDue(state, nowMs);
}

type SyncedReply = Extract<SyncReply, {kind: 'synced'}>;

function isNewerPosition(position: ListPosition | undefined, current: ListPosition | undefined): boolean {
	return position !== undefined && current !== undefined && (position.term > current.term || (position.term === current.term && position.version > current.version));
}

function applyServerList({servers}: AccessState, reply: SyncedReply, sentMs: number): AccessEffect[] {
	return servers && reply.servers ? [{type: 'notify', topic: 'access/servers', value: servers.apply(reply.servers, sentMs)}] : [];
}

function applyViewUpdate(state: AccessState, reply: SyncedReply, sentMs: number, nowMs: number): AccessEffect[] {
	const {snapshot, changes = [], revision} = reply;
	if (snapshot) {
		state.partialView = addViewPage(state.partialView, snapshot, state.decodeConfiguration);
		// A page does not complete the view: the next sync, due at once, fetches the next page or, after the last page, the changes since the first page.
		state.nextSyncMs = nowMs;
		return [];
	}

	const previousView = state.view;
	const isViewChanged = state.partialView !== undefined || changes.length > 0;
	state.view = state.partialView?.view ?? previousView;
	state.partialView = undefined;
	const withdrawnKeyIds = changes.map(change => applyChange(state.view, change, state.decodeConfiguration)).filter(keyId => keyId !== undefined);
	state.view.revision = revision;
	state.confirmedMs = Math.max(state.confirmedMs ?? sentMs, sentMs);
	if (previousView !== state.view) {
		withdrawnKeyIds.push(...[...previousView.digestsByKeyId.keys()].filter(keyId => previousView.digestsByKeyId.get(keyId) !== state.view.digestsByKeyId.get(keyId)));
	}

	if (isViewChanged) {
		state.publishedView = copyView(state.view);
	}

	return [
		...(isViewChanged && state.publishedView ? [{type: 'notify' as const, topic: 'access/view-changed', value: state.publishedView}] : []),
		...withdrawnKeyIds.map(keyId => ({type: 'notify' as const, topic: 'access/key-withdrawn', value: keyId})),
	];
}

function applyAllowances(state: AccessState, {grants, shortages, stamp, takenMs}: SyncedReply, sentMs: number, nowMs: number): AccessEffect[] {
	return toReplyEffects(state.grantHolder.processAnswer({
		sentMs, grants, shortages, stamp, takenMs,
	}, customer => limitOf(state.publishedView, customer), nowMs));
}
