/**
The control slice of a control VM: the replicated state and, while the VM is the leader, the sessions of entry
processes, the log clock and the token buckets.

The following effects of the consensus slice have to be dispatched as `control/consensus` events: `consensus/committed`,
`consensus/dropped`, `consensus/read-ready`, `consensus/read-failed`, `consensus/role`, `consensus/take-snapshot` and
`consensus/install`. A `control/to-consensus` effect carries an event for the consensus slice; the code that dispatches
the event adds its time. Proposals and reads carry the reply token of the request that causes them. Proposals that advance
log time carry reply token 0, since no request waits for them.
*/
import type {SharedConfiguration} from '../configuration/types.js';
import type {ConsensusEffect, ConsensusEvent, ConsensusRole} from '../consensus/types.js';
import type {
	BaseEvent, CoreEffect, ReplyToken, VmId, VmIdentity, UntimedEvent,
} from '../core/types.js';
import {isSamePosition, ServerListPublisher} from '../forwarding/server-list-feed.js';
import type {ServerRecord} from '../forwarding/types.js';
import {BucketOwner} from '../limits/bucket-owner.js';
import type {SyncGrants} from '../limits/bucket-owner.js';
import {applyCommand} from './apply.js';
import {maxHandoverEntries} from './messages.js';
import type {
	Command, Handover, ProposeReply, ReadQuery, ReadReply, SyncReply, SyncRequest,
} from './messages.js';
import {changesSince, readState, readViewPage} from './queries.js';
import {
	controlLimits, createReplicatedState, currentVersion, restoreState, snapshotState,
} from './state.js';
import type {ControlLimits, ReplicatedState} from './state.js';

/** Interval at which the leader advances log time, in milliseconds; log time is also advanced before each lease command. */
export const logClockIntervalMs = 1000;
/** Time without a sync, in milliseconds, after which an entry process gets no more change notices and its session is deleted. */
const sessionTtlMs = 10_000;
/** Maximum number of entry-process sessions; several times the fleet's 400 VMs. */
const maxSessions = 2000;
/** Maximum number of proposals, syncs and reads that wait for consensus. */
const maxPendingRequests = 10_000;
/** Time after which a pending request is discarded, in milliseconds; longer than consensus takes to answer, at most an election timeout. */
const pendingTimeoutMs = 10_000;
/** Interval between two clean-ups of buckets, sessions and pending requests, in milliseconds. */
const cleanupIntervalMs = 5000;
/** Lower bound on the rate of this VM's clock as a fraction of the rate of another VM's clock; real clock rates differ by far less. */
const minClockRateRatio = 0.9;
/** Reply token of proposals that advance log time; no request waits for a reply to them. */
const logClockToken: ReplyToken = 0;

type ConsensusInput = UntimedEvent<Extract<ConsensusEvent, {type: 'consensus/propose' | 'consensus/read' | 'consensus/snapshot-taken' | 'consensus/step-down'}>>;

export type ControlOptions = {
	/** Decodes the bytes of a validated configuration; throws if they are damaged. */
	readonly decodeConfiguration: (bytes: Uint8Array) => SharedConfiguration;
	/** Limits of the replicated state, which must be the same on every control VM. */
	readonly limits?: ControlLimits;
	/** Minimum time without contact from a leader after which voters elect another leader, in milliseconds. Defaults to 0, which assumes that they may do so at once. */
	readonly minElectionTimeoutMs?: number;
};

/** Session of an entry process. The state dump for operators contains these fields by name. */
type Session = {
	readonly incarnation: number;
	/** Sequence number of the last sync. */
	seq: number;
	/** Time of the last sync on the leader's clock, in milliseconds. */
	lastMs: number;
	/** Whether a change notice was sent and the process has not synced since. */
	isPushed: boolean;
};

type PendingRequest =
	| {readonly kind: 'proposal'; readonly receivedMs: number}
	| {readonly kind: 'sync'; readonly receivedMs: number; readonly request: SyncRequest; readonly syncGrants: SyncGrants; readonly owner: BucketOwner}
	| {readonly kind: 'read'; readonly receivedMs: number; readonly query: ReadQuery};

type DecodedConfiguration = {readonly version: number; readonly configuration: SharedConfiguration};

export type ControlSlice = {
	readonly options: ControlOptions;
	readonly limits: ControlLimits;
	data: ReplicatedState;
	role: ConsensusRole;
	term: number;
	leader: VmId | undefined;
	/** Token buckets of this term; undefined unless this VM is the leader. */
	owner: BucketOwner | undefined;
	decodedConfiguration: DecodedConfiguration | undefined;
	/** Buckets and grants that a leader sent when it stepped down; undefined if none have arrived since this VM last became the leader. */
	receivedHandover: Handover | undefined;
	readonly sessions: Map<VmId, Session>;
	readonly pendingRequests: Map<ReplyToken, PendingRequest>;
	/** The platform's server list; undefined unless this VM is the leader and reads the list. */
	servers: ServerListPublisher | undefined;
	/** Time of the last proposal to advance log time, on the leader's clock, in milliseconds. */
	proposedClockMs: number;
	lastCleanupMs: number;
};

export type ControlEvent =
	/** Timer tick, every 50 to 200 ms. */
	| BaseEvent<'control/tick'>
	/** Proposes a command; answered with a `ProposeReply`. */
	| (BaseEvent<'control/propose'> & {readonly token: ReplyToken; readonly command: Command})
	/** Sync of the entry process `from`; answered with a `SyncReply`. */
	| (BaseEvent<'control/sync'> & {readonly token: ReplyToken; readonly from: VmIdentity; readonly request: SyncRequest})
	/** Query of the replicated state; answered with a `ReadReply`. */
	| (BaseEvent<'control/read'> & {readonly token: ReplyToken; readonly query: ReadQuery})
	/** This process is shutting down. If it is the leader and `to` is not empty, it sends its buckets and grants to the VMs in `to` and steps down. */
	| (BaseEvent<'control/step-down'> & {readonly to: readonly VmId[]})
	/** A leader that stepped down sent its buckets and grants. */
	| (BaseEvent<'control/handover'> & {readonly handover: Handover})
	/** This process received the platform's server list, which it requested at `requestedMs`. */
	| (BaseEvent<'control/servers'> & {readonly records: readonly ServerRecord[]; readonly requestedMs: number})
	/** The consensus slice returned an effect. */
	| (BaseEvent<'control/consensus'> & {readonly effect: ConsensusEffect});

export type ControlEffect =
	| CoreEffect
	| {readonly type: 'control/to-consensus'; readonly event: ConsensusInput};

export function createControl(options: ControlOptions): ControlSlice {
	return {
		options,
		limits: options.limits ?? controlLimits,
		data: createReplicatedState(),
		role: 'follower',
		term: 0,
		leader: undefined,
		owner: undefined,
		decodedConfiguration: undefined,
		receivedHandover: undefined,
		sessions: new Map(),
		pendingRequests: new Map(),
		servers: undefined,
		proposedClockMs: 0,
		lastCleanupMs: 0,
	};
}

/** Handles one event of the slice. */
export function reduceControl(state: ControlSlice, event: ControlEvent): ControlEffect[] {
	switch (event.type) {
		case 'control/tick': {
			return handleTick(state, event.nowMs);
		}

		case 'control/propose': {
			return handlePropose(state, event);
		}

		case 'control/sync': {
			return handleSync(state, event);
		}

		case 'control/read': {
			return handleRead(state, event);
		}

		case 'control/step-down': {
			return handOverLeadership(state, event.to, event.nowMs);
		}

		case 'control/handover': {
			state.receivedHandover = event.handover;
			return [];
		}

		case 'control/servers': {
			return handleServerList(state, event);
		}

		case 'control/consensus': {
			return handleConsensusEffect(state, event.effect, event.nowMs);
		}
	}
}

function reply(token: ReplyToken, body: ProposeReply | SyncReply | ReadReply): ControlEffect {
	return {type: 'reply', token, body};
}

function toConsensus(event: ConsensusInput): ControlEffect {
	return {type: 'control/to-consensus', event};
}

function notLeaderReply({leader}: ControlSlice): {kind: 'not-leader'; leader?: VmId} {
	return {kind: 'not-leader', ...(leader !== undefined && {leader})};
}

/** Returns a reply that rejects the request, or undefined if this VM can process it. */
function rejectIfUnavailable(state: ControlSlice, token: ReplyToken): ControlEffect[] | undefined {
	if (state.role !== 'leader' || !state.owner) {
		return [reply(token, notLeaderReply(state))];
	}

	// The sender of a rejected request retries. An unbounded queue would hold requests whose senders have already timed out.
	return state.pendingRequests.size >= maxPendingRequests ? [reply(token, {kind: 'not-leader'})] : undefined;
}

function handOverLeadership(state: ControlSlice, to: readonly VmId[], nowMs: number): ControlEffect[] {
	if (state.role !== 'leader' || !state.owner || to.length === 0) {
		return [];
	}

	const message = state.owner.createHandover(nowMs);
	state.owner = undefined;
	const isSmall = message.buckets.length <= maxHandoverEntries && message.grants.length <= maxHandoverEntries;
	return [
		...(isSmall ? to.map((vm): ControlEffect => ({type: 'send', to: vm, message})) : []),
		toConsensus({type: 'consensus/step-down'}),
		{
			type: 'log', level: 'info', message: 'leadership handed over', fields: {
				term: state.term, to, buckets: message.buckets.length, grants: message.grants.length, isSmall,
			},
		},
	];
}

function handleTick(state: ControlSlice, nowMs: number): ControlEffect[] {
	if (state.role !== 'leader') {
		return [];
	}

	if (nowMs - state.lastCleanupMs >= cleanupIntervalMs) {
		state.lastCleanupMs = nowMs;
		cleanUp(state, nowMs);
	}

	return nowMs - state.proposedClockMs >= logClockIntervalMs ? proposeClockAdvance(state, nowMs) : [];
}

function cleanUp(state: ControlSlice, nowMs: number): void {
	state.owner?.trim(nowMs);
	for (const [vm, {lastMs}] of state.sessions) {
		if (nowMs - lastMs > sessionTtlMs) {
			state.sessions.delete(vm);
		}
	}

	for (const [token, {receivedMs}] of state.pendingRequests) {
		if (nowMs - receivedMs > pendingTimeoutMs) {
			discardPending(state, token, nowMs);
		}
	}
}

/**
Proposes to advance log time by the time elapsed since the last such proposal. Returns no effect if no time has elapsed.
A dropped proposal is never repeated: if log time runs slow, leases only last longer, but if it caught up after a lease
was granted, that lease would expire too early.
*/
function proposeClockAdvance(state: ControlSlice, nowMs: number): ControlEffect[] {
	const elapsedMs = nowMs - state.proposedClockMs;
	state.proposedClockMs = nowMs;
	const command: Command = {type: 'clock.advance', elapsedMs};
	return elapsedMs > 0 ? [toConsensus({type: 'consensus/propose', token: logClockToken, command})] : [];
}

function handlePropose(state: ControlSlice, {token, command, nowMs}: Extract<ControlEvent, {type: 'control/propose'}>): ControlEffect[] {
	const rejection = rejectIfUnavailable(state, token);
	if (rejection) {
		return rejection;
	}

	const refusalCode = findRefusalCode(state, command);
	if (refusalCode) {
		return [reply(token, {kind: 'outcome', outcome: {kind: 'refused', code: refusalCode}})];
	}

	state.pendingRequests.set(token, {kind: 'proposal', receivedMs: nowMs});
	// A lease starts at the log time at which its command is applied. Log time is advanced first, since the next regular
	// advance would otherwise count time before the lease began and so shorten it.
	const clockAdvance = command.type.startsWith('lease.') ? proposeClockAdvance(state, nowMs) : [];
	return [...clockAdvance, toConsensus({type: 'consensus/propose', token, command})];
}

/**
Returns the code with which a command is refused before it is proposed, or undefined if it may be proposed. Checks only what
the state machine cannot check itself, because the state machine must not depend on the code that decodes a configuration.
*/
function findRefusalCode(state: ControlSlice, command: Command): 'invalid' | 'unknown-tenant' | undefined {
	if (command.type === 'clock.advance') {
		return 'invalid';
	}

	if (command.type === 'config.apply' || command.type === 'config.publish') {
		try {
			state.options.decodeConfiguration(command.configuration);
		} catch {
			return 'invalid';
		}
	}

	const isResend = 'changeId' in command && state.data.outcomes.has(command.changeId);
	const customers = command.type === 'key.issue' && !isResend ? currentConfiguration(state)?.tenants ?? {} : undefined;
	return customers && command.type === 'key.issue' && !Object.hasOwn(customers, command.tenant) ? 'unknown-tenant' : undefined;
}

function currentConfiguration(state: ControlSlice): SharedConfiguration | undefined {
	const current = state.data.history.at(-1);
	if (current && state.decodedConfiguration?.version !== current.version) {
		state.decodedConfiguration = {version: current.version, configuration: state.options.decodeConfiguration(current.configuration)};
	}

	return current && state.decodedConfiguration?.configuration;
}

function handleSync(state: ControlSlice, {token, from, request, nowMs}: Extract<ControlEvent, {type: 'control/sync'}>): ControlEffect[] {
	const rejection = rejectIfUnavailable(state, token);
	if (rejection) {
		return rejection;
	}

	if (!recordSync(state, from, request, nowMs)) {
		return [reply(token, {kind: 'not-leader'}), {type: 'count', metric: 'control_late_syncs'}];
	}

	const owner = state.owner!;
	const syncGrants = owner.processReport(from, request.allowances, nowMs);
	state.pendingRequests.set(token, {
		kind: 'sync', receivedMs: nowMs, request, syncGrants, owner,
	});
	return [toConsensus({type: 'consensus/read', token, mayWait: !isUrgent(state, request)})];
}

/**
Returns whether the sync is answered before the next heartbeat: a request waits for rate tokens, or the process's view or
server list is out of date. The read-index of any other sync is confirmed by the next heartbeat, since a separate round
would cost a message to every voter.
*/
function isUrgent({data, servers}: ControlSlice, {revision, page, allowances, servers: position}: SyncRequest): boolean {
	const isBehind = revision < data.revision || page !== undefined || (servers && position && !isSamePosition(servers.position, position));
	return isBehind === true || allowances.wanted.some(({atLeast}) => atLeast > 0);
}

/** Records the sync in the process's session. Returns false for a duplicate or outdated sync, whose reports must not be counted. */
function recordSync(state: ControlSlice, {vm, incarnation}: VmIdentity, {seq}: SyncRequest, nowMs: number): boolean {
	const session = state.sessions.get(vm);
	if (session && (incarnation < session.incarnation || (incarnation === session.incarnation && seq <= session.seq))) {
		return false;
	}

	if (!session && state.sessions.size >= maxSessions) {
		state.sessions.delete(state.sessions.keys().next().value!);
	}

	state.sessions.set(vm, {
		incarnation, seq, lastMs: nowMs, isPushed: false,
	});
	return true;
}

function handleRead(state: ControlSlice, {token, query, nowMs}: Extract<ControlEvent, {type: 'control/read'}>): ControlEffect[] {
	const rejection = rejectIfUnavailable(state, token);
	if (rejection) {
		return rejection;
	}

	state.pendingRequests.set(token, {kind: 'read', receivedMs: nowMs, query});
	return [toConsensus({type: 'consensus/read', token})];
}

function handleConsensusEffect(state: ControlSlice, effect: ConsensusEffect, nowMs: number): ControlEffect[] {
	switch (effect.type) {
		case 'consensus/committed': {
			return applyCommitted(state, effect.command as Command, effect.token, nowMs);
		}

		case 'consensus/dropped': {
			return state.pendingRequests.delete(effect.token) ? [reply(effect.token, droppedProposalReply(effect))] : [];
		}

		case 'consensus/read-ready': {
			return completeRead(state, effect.token, nowMs);
		}

		case 'consensus/read-failed': {
			const wasPending = discardPending(state, effect.token, nowMs);
			return wasPending ? [reply(effect.token, {kind: 'not-leader', ...(effect.leader !== undefined && {leader: effect.leader})})] : [];
		}

		case 'consensus/role': {
			return changeRole(state, effect, nowMs);
		}

		case 'consensus/take-snapshot': {
			return [toConsensus({type: 'consensus/snapshot-taken', index: effect.index, data: snapshotState(state.data)})];
		}

		case 'consensus/install': {
			state.data = restoreState(effect.data);
			state.decodedConfiguration = undefined;
			return [];
		}

		case 'consensus/members-committed':
		case 'consensus/persist':
		case 'consensus/save-snapshot':
		case 'send':
		case 'reply':
		case 'notify':
		case 'count':
		case 'log': {
			return [];
		}
	}
}

/** Removes a pending request and returns whether it existed. Revokes the grants reserved for a sync, since the answer with these grants is not sent. */
function discardPending(state: ControlSlice, token: ReplyToken, nowMs: number): boolean {
	const pending = state.pendingRequests.get(token);
	if (pending?.kind === 'sync') {
		pending.owner.revoke(pending.syncGrants.grants, nowMs);
	}

	return state.pendingRequests.delete(token);
}

function droppedProposalReply({reason, leader}: Extract<ConsensusEffect, {type: 'consensus/dropped'}>): ProposeReply {
	if (reason === 'overloaded') {
		return {kind: 'overloaded'};
	}

	return {kind: reason === 'not-leader' ? 'not-leader' : 'unknown', ...(leader !== undefined && {leader})};
}

function applyCommitted(state: ControlSlice, command: Command, token: ReplyToken | undefined, nowMs: number): ControlEffect[] {
	const {revision} = state.data;
	const version = currentVersion(state.data);
	const outcome = applyCommand(state.data, command, state.limits);
	if (state.owner && currentVersion(state.data) !== version) {
		updateCustomerLimits(state, nowMs);
	}

	const hasWaitingCaller = token !== undefined && state.pendingRequests.delete(token);
	return [
		...(hasWaitingCaller ? [reply(token, {kind: 'outcome', outcome})] : []),
		...(state.data.revision > revision ? sendChangeNotices(state, nowMs) : []),
	];
}

/** Publishes the server list and notifies entry processes if the list changed. Does nothing unless this VM is the leader, since the leader's term orders the lists that different VMs publish. */
function handleServerList(state: ControlSlice, {records, requestedMs, nowMs}: Extract<ControlEvent, {type: 'control/servers'}>): ControlEffect[] {
	if (state.role !== 'leader') {
		return [];
	}

	state.servers ??= new ServerListPublisher(state.term);
	return state.servers.apply(records, requestedMs) ? sendChangeNotices(state, nowMs) : [];
}

/** Notifies each entry process with a live session that it should sync. Sends a process no second notice until it has synced, and no notices at all unless this VM is the leader. */
function sendChangeNotices(state: ControlSlice, nowMs: number): ControlEffect[] {
	const servers = state.servers?.position;
	const effects: ControlEffect[] = [];
	for (const [vm, session] of state.role === 'leader' ? state.sessions : []) {
		if (!session.isPushed && nowMs - session.lastMs <= sessionTtlMs) {
			session.isPushed = true;
			effects.push({type: 'send', to: vm, message: {type: 'control/changed', revision: state.data.revision, ...(servers && {servers})}});
		}
	}

	return effects;
}

function updateCustomerLimits(state: ControlSlice, nowMs: number): void {
	state.owner?.setLimits(Object.entries(currentConfiguration(state)?.tenants ?? {}), nowMs);
}

function changeRole(state: ControlSlice, {role, term, leader}: Extract<ConsensusEffect, {type: 'consensus/role'}>, nowMs: number): ControlEffect[] {
	const wasLeader = state.role === 'leader' && state.term === term;
	state.role = role;
	state.term = term;
	state.leader = leader;
	if (role === 'leader') {
		if (!wasLeader) {
			// The previous leader's grants are unknown, so new buckets are created, and these grant nothing while such grants
			// may be valid. The previous leader could grant tokens only while a quorum heard from it, and at least one member
			// of that quorum took part in the election. It therefore granted none during the time without contact that voters
			// wait for before an election, and this time shortens the pause.
			state.servers = undefined;
			state.owner = new BucketOwner(term, nowMs, (state.options.minElectionTimeoutMs ?? 0) * minClockRateRatio);
			state.sessions.clear();
			state.proposedClockMs = nowMs;
			updateCustomerLimits(state, nowMs);
			// A handover is used only if its sender led the preceding term: no other leader can have granted tokens since then.
			if (state.receivedHandover?.term === term - 1) {
				state.owner.applyHandover(state.receivedHandover, nowMs);
			}

			state.receivedHandover = undefined;
		}

		return [];
	}

	state.owner = undefined;
	state.servers = undefined;
	state.sessions.clear();
	return [];
}

function completeRead(state: ControlSlice, token: ReplyToken, nowMs: number): ControlEffect[] {
	const pending = state.pendingRequests.get(token);
	if (!pending || pending.kind === 'proposal') {
		return [];
	}

	state.pendingRequests.delete(token);
	if (pending.kind === 'read') {
		return [reply(token, {kind: 'result', result: readState(state.data, pending.query)})];
	}

	if (pending.owner !== state.owner) {
		return [reply(token, notLeaderReply(state))];
	}

	const {grants, shortages} = pending.syncGrants;
	const servers = pending.request.servers && state.servers?.updateSince(pending.request.servers, nowMs);
	state.owner.confirm(grants, nowMs);
	return [reply(token, {
		kind: 'synced',
		revision: state.data.revision,
		...readViewUpdate(state.data, pending.request),
		grants: [...grants],
		shortages: [...shortages],
		stamp: {term: state.owner.term, atMs: nowMs},
		takenMs: pending.receivedMs,
		...(servers && {servers}),
	})];
}

function readViewUpdate(data: ReplicatedState, {revision, page}: SyncRequest): Pick<Extract<SyncReply, {kind: 'synced'}>, 'changes' | 'snapshot'> {
	const changes = page ? undefined : changesSince(data, revision);
	return changes ? {changes} : {snapshot: readViewPage(data, page)};
}
