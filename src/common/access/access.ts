/**
The access slice of an entry process: its view, its freshness proof and its allowances.

Events come from the platform layer and the request path, none from consensus. Effects: `access/request` (send a
sync and answer with `access/reply` or `access/failed`), `reply` with an `AllowanceResult`, and `notify`
with the topics `access/view-changed` (a `View`), `access/key-withdrawn` (a key id) and `access/servers` (a `ReceivedList`).
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
import type {TenantLimit} from '../limits/types.js';
import type {Identity, View} from '../services/access-service.js';
import {
	addPage, applyChange, createViewState, publishView,
} from './view.js';
import type {DecodeConfiguration, PagedView, ViewState} from './view.js';

/** Keyed routes are served for this long after the last confirmed sync was sent; covers a failover and one sync. */
export const freshnessLimitMs = 3000;
/** Time between syncs while nothing is urgent. */
export const syncIntervalMs = 500;
/** Least time between two syncs, which bounds the leader's work for a tenant far over its rate. */
const urgentSyncGapMs = 10;
/** A control VM that does not answer for this long is left for another; what it granted to waiting requests could no longer be spent. */
const syncTimeoutMs = onDemandGrantValidityMs;
/** Hints followed in a row without a pause. */
const hopLimit = 2;
/** Pause before the next control VM is tried. */
const retryGapMs = 50;

export type AccessOptions = {
	/** Control VMs, in the order in which they are tried. */
	readonly controlVms: readonly VmId[];
	readonly decode: DecodeConfiguration;
	/** Whether syncs bring the leader's list of the platform's servers; false by default. */
	readonly followsServers?: boolean;
};

type PendingSync = {readonly seq: number; readonly sentMs: number; readonly target: VmId};

export type AccessState = {
	readonly decode: DecodeConfiguration;
	controlVms: readonly VmId[];
	/** Undefined while no control VM is known. */
	target: VmId | undefined;
	view: ViewState;
	published: View | undefined;
	paged: PagedView | undefined;
	/** When the last confirmed sync was sent. */
	confirmedMs: number | undefined;
	pending: PendingSync | undefined;
	nextSyncMs: number;
	lastSentMs: number;
	nextSeq: number;
	/** Hints followed since the last sync that was answered. */
	hops: number;
	load: number;
	/** The platform's list of servers, where this process follows the leader's. */
	readonly servers: ServerListReplica | undefined;
	readonly holder: GrantHolder;
};

export type AccessEvent =
	/** At the time that `nextTickMs` names, or more often. */
	| BaseEvent<'access/tick'>
	| (BaseEvent<'access/acquire'> & {readonly token: ReplyToken; readonly tenant: string; readonly tokens: number; readonly maxWaitMs: number})
	| (BaseEvent<'access/settle'> & Omit<Settlement, 'nowMs'>)
	/** `body` is checked here. */
	| (BaseEvent<'access/reply'> & {readonly seq: number; readonly body: unknown})
	| (BaseEvent<'access/failed'> & {readonly seq: number})
	/** The leader's push that something changed. */
	| (BaseEvent<'access/changed'> & {readonly revision: number; readonly servers?: ListPosition | undefined})
	| (BaseEvent<'access/load'> & {readonly load: number})
	| (BaseEvent<'access/control-vms'> & {readonly vms: readonly VmId[]});

export type AccessEffect =
	| CoreEffect
	| {readonly type: 'access/request'; readonly to: VmId; readonly seq: number; readonly message: SyncRequest; readonly timeoutMs: number};

export function createAccess({controlVms, decode, followsServers = false}: AccessOptions): AccessState {
	return {
		decode,
		controlVms,
		target: controlVms[0],
		view: createViewState(),
		published: undefined,
		paged: undefined,
		confirmedMs: undefined,
		pending: undefined,
		nextSyncMs: 0,
		lastSentMs: Number.NEGATIVE_INFINITY,
		nextSeq: 1,
		hops: 0,
		load: 0,
		servers: followsServers ? new ServerListReplica() : undefined,
		holder: new GrantHolder(),
	};
}

/** Whether a quorum confirmed the view recently enough for keyed routes. */
export function isFresh({published, confirmedMs}: AccessState, nowMs: number): boolean {
	return published !== undefined && confirmedMs !== undefined && nowMs - confirmedMs <= freshnessLimitMs;
}

/** Whose key has this SHA-256 digest; the key of a tenant that is not configured does not count. */
export function lookupKey({published, view}: AccessState, digest: string): Identity | undefined {
	const identity = view.keysByDigest.get(digest);
	return identity && limitOf(published, identity.tenant) && identity;
}

/** Handles one event of the slice. */
export function reduceAccess(state: AccessState, event: AccessEvent): AccessEffect[] {
	switch (event.type) {
		case 'access/tick': {
			return [...answerAll(state.holder.expireWaiters(event.nowMs)), ...syncIfDue(state, event.nowMs)];
		}

		case 'access/acquire': {
			return acquire(state, event);
		}

		case 'access/settle': {
			state.holder.settle(event);
			return [];
		}

		case 'access/reply': {
			return receiveReply(state, event);
		}

		case 'access/failed': {
			return state.pending?.seq === event.seq ? tryNext(state, undefined, event.nowMs) : [];
		}

		case 'access/changed': {
			if (event.revision > state.view.revision || isNewer(event.servers, state.servers?.position)) {
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

function limitOf(view: View | undefined, tenant: string): TenantLimit | undefined {
	const tenants = view?.configuration.tenants;
	return tenants && Object.hasOwn(tenants, tenant) ? tenants[tenant] : undefined;
}

function answerAll(answers: readonly WaiterResult[]): AccessEffect[] {
	return answers.map(({token, result}) => ({type: 'reply', token, body: result}));
}

function acquire(state: AccessState, event: Extract<AccessEvent, {type: 'access/acquire'}>): AccessEffect[] {
	const {token, tenant, tokens, maxWaitMs, nowMs} = event;
	const limit = limitOf(state.published, tenant);
	if (!limit) {
		return [{type: 'reply', token, body: {ok: false, code: 'control-unreachable', retryAfterMs: syncIntervalMs}}];
	}

	const result = state.holder.acquire({
		tenant, tokens, maxWaitMs, token, limit, nowMs,
	});
	return result ? [{type: 'reply', token, body: result}] : syncIfDue(state, nowMs);
}

/** When the slice next has something to do without any other event, in milliseconds: a sync, or a request that has waited too long. */
export function nextTickMs(state: AccessState): number {
	return Math.min(nextSyncMs(state), state.holder.earliestDeadlineMs() ?? Number.POSITIVE_INFINITY);
}

/** When the next sync is to be sent; one is under way at a time. */
function nextSyncMs(state: AccessState): number {
	if (state.pending !== undefined || state.target === undefined) {
		return Number.POSITIVE_INFINITY;
	}

	const {holder} = state;
	const wakeMs = Math.min(holder.waitersReadyMs() ?? Number.POSITIVE_INFINITY, holder.reportDueMs() ?? Number.POSITIVE_INFINITY);
	return Math.min(state.nextSyncMs, Math.max(wakeMs, state.lastSentMs + urgentSyncGapMs));
}

/** Sends the next sync when its time has come, a request waits or the view is incomplete. */
function syncIfDue(state: AccessState, nowMs: number): AccessEffect[] {
	const {target} = state;
	if (target === undefined || nowMs < nextSyncMs(state)) {
		return [];
	}

	const seq = state.nextSeq++;
	const {paged} = state;
	const allowances: AllowanceReport = state.holder.buildReport(nowMs);
	state.pending = {seq, sentMs: nowMs, target};
	state.lastSentMs = nowMs;
	state.nextSyncMs = nowMs + syncIntervalMs;
	const message: SyncRequest = {
		type: 'control/sync',
		seq,
		revision: paged && paged.cursor === undefined ? paged.base : state.view.revision,
		...(paged?.cursor !== undefined && {page: {base: paged.base, cursor: paged.cursor}}),
		allowances,
		load: state.load,
		...(state.servers && {servers: state.servers.position}),
	};
	return [{
		type: 'access/request', to: target, seq, message, timeoutMs: syncTimeoutMs,
	}];
}

function receiveReply(state: AccessState, {seq, body, nowMs}: Extract<AccessEvent, {type: 'access/reply'}>): AccessEffect[] {
	const {pending} = state;
	if (pending?.seq !== seq) {
		return [{type: 'count', metric: 'access_late_replies'}];
	}

	const reply = syncReplySchema.safeParse(body);
	if (!reply.success) {
		return [{type: 'count', metric: 'access_invalid_replies'}, ...tryNext(state, undefined, nowMs)];
	}

	if (reply.data.kind === 'not-leader') {
		return tryNext(state, reply.data.leader, nowMs);
	}

	if (reply.data.revision < state.view.revision) {
		// Serving an older view would bring back withdrawn keys and earlier configurations.
		return [{type: 'count', metric: 'access_refused_older_views'}, ...tryNext(state, undefined, nowMs)];
	}

	state.pending = undefined;
	state.hops = 0;
	const {sentMs} = pending;
	return [
		...takeServers(state, reply.data, sentMs),
		...takeView(state, reply.data, sentMs, nowMs),
		...takeAllowances(state, reply.data, sentMs, nowMs),
		...syncIfDue(state, nowMs),
	];
}

/** Leaves a control VM that did not serve the sync: for the leader it named, or else for the next in the list. */
function tryNext(state: AccessState, hint: VmId | undefined, nowMs: number): AccessEffect[] {
	const {controlVms, pending} = state;
	const failed = pending?.target ?? state.target;
	state.pending = undefined;
	const isUsefulHint = hint !== undefined && hint !== failed;
	state.target = isUsefulHint ? hint : controlVms[(controlVms.indexOf(failed ?? '') + 1) % controlVms.length];
	// Members that name each other must not keep this process busy.
	state.hops = isUsefulHint ? state.hops + 1 : 0;
	state.nextSyncMs = isUsefulHint && state.hops <= hopLimit ? nowMs : nowMs + retryGapMs;
	return syncIfDue(state, nowMs);
}

type SyncedReply = Extract<SyncReply, {kind: 'synced'}>;

function isNewer(position: ListPosition | undefined, known: ListPosition | undefined): boolean {
	return position !== undefined && known !== undefined && (position.term > known.term || (position.term === known.term && position.version > known.version));
}

function takeServers({servers}: AccessState, reply: SyncedReply, sentMs: number): AccessEffect[] {
	return servers && reply.servers ? [{type: 'notify', topic: 'access/servers', value: servers.apply(reply.servers, sentMs)}] : [];
}

function takeView(state: AccessState, reply: SyncedReply, sentMs: number, nowMs: number): AccessEffect[] {
	const {snapshot, changes = [], revision} = reply;
	if (snapshot) {
		state.paged = addPage(state.paged, snapshot, state.decode);
		// The view is complete once the changes since its first page are in.
		state.nextSyncMs = nowMs;
		return [];
	}

	const before = state.view;
	const isChanged = state.paged !== undefined || changes.length > 0;
	state.view = state.paged?.view ?? before;
	state.paged = undefined;
	const withdrawn = changes.map(change => applyChange(state.view, change, state.decode)).filter(keyId => keyId !== undefined);
	state.view.revision = revision;
	state.confirmedMs = Math.max(state.confirmedMs ?? sentMs, sentMs);
	if (before !== state.view) {
		withdrawn.push(...[...before.digestsById.keys()].filter(keyId => before.digestsById.get(keyId) !== state.view.digestsById.get(keyId)));
	}

	if (isChanged) {
		state.published = publishView(state.view);
	}

	return [
		...(isChanged && state.published ? [{type: 'notify' as const, topic: 'access/view-changed', value: state.published}] : []),
		...withdrawn.map(keyId => ({type: 'notify' as const, topic: 'access/key-withdrawn', value: keyId})),
	];
}

function takeAllowances(state: AccessState, {grants, shortages, stamp, takenMs}: SyncedReply, sentMs: number, nowMs: number): AccessEffect[] {
	return answerAll(state.holder.processAnswer({
		sentMs, grants, shortages, stamp, takenMs,
	}, tenant => limitOf(state.published, tenant), nowMs));
}
