/**
The control slice of a control VM: the replicated state, and while it leads the sessions of entry processes,
the log clock and the token buckets.

It expects these consensus effects, each passed on as `control/consensus`: `consensus/committed`, `consensus/dropped`,
`consensus/read-ready`, `consensus/read-failed`, `consensus/role`, `consensus/take-snapshot` and `consensus/install`.
Its effect `control/to-consensus` holds an event for the consensus slice without the time.
Proposals and reads use the reply token of their caller; the log clock uses token 0.
*/
import type {SharedConfiguration} from '../configuration/types.js';
import type {ConsensusEffect, ConsensusEvent, ConsensusRole} from '../consensus/types.js';
import type {
	BaseEvent, CoreEffect, ReplyToken, VmId, VmIdentity, WithoutTime,
} from '../core/types.js';
import {isSamePosition, ServerListLog} from '../forwarding/server-list-feed.js';
import type {ServerRecord} from '../forwarding/types.js';
import {AllowanceOwner} from '../limits/owner.js';
import type {Allotment} from '../limits/owner.js';
import {applyCommand} from './apply.js';
import {handoverLimit} from './messages.js';
import type {
	Command, Handover, ProposeReply, ReadQuery, ReadReply, SyncReply, SyncRequest,
} from './messages.js';
import {changesSince, readState, readViewPage} from './read.js';
import {
	controlLimits, createReplicatedState, currentVersion, restoreState, snapshotState,
} from './state.js';
import type {ControlLimits, ReplicatedState} from './state.js';

/** Log time advances in steps of this length while nothing needs it sooner. */
export const clockStepMs = 1000;
/** An entry process that has not synced for this long gets no pushes and is forgotten. */
const sessionTtlMs = 10_000;
/** Entry processes with a session; a few times the fleet's 400 VMs. */
const sessionLimit = 2000;
/** Proposals, syncs and reads under way at once. */
const pendingLimit = 10_000;
/** Consensus answers within an election timeout; what is older is given up. */
const pendingTtlMs = 10_000;
/** Time between two clean-ups of buckets and sessions. */
const trimIntervalMs = 5000;
/** Part of a time measured by another VM that certainly passed here; clocks differ in rate by far less. */
const clockTolerance = 0.9;
const clockToken: ReplyToken = 0;

type ConsensusInput = WithoutTime<Extract<ConsensusEvent, {type: 'consensus/propose' | 'consensus/read' | 'consensus/snapshot-taken' | 'consensus/step-down'}>>;

export type ControlOptions = {
	/** Decodes the bytes of a checked configuration; throws if they are damaged. */
	readonly decode: (bytes: Uint8Array) => SharedConfiguration;
	/** The same on every control VM. */
	readonly limits?: ControlLimits;
	/** Least time for which voters have not heard a leader when they elect another one, in milliseconds; 0 if absent. */
	readonly electionSilenceMs?: number;
};

type Session = {
	readonly incarnation: number;
	seq: number;
	lastMs: number;
	/** Whether a push was sent that no sync has answered yet. */
	isPushed: boolean;
};

type Pending =
	| {readonly kind: 'proposal'; readonly sinceMs: number}
	| {readonly kind: 'sync'; readonly sinceMs: number; readonly request: SyncRequest; readonly allotment: Allotment; readonly owner: AllowanceOwner}
	| {readonly kind: 'read'; readonly sinceMs: number; readonly query: ReadQuery};

type Decoded = {readonly version: number; readonly configuration: SharedConfiguration};

export type ControlSlice = {
	readonly options: ControlOptions;
	readonly limits: ControlLimits;
	data: ReplicatedState;
	role: ConsensusRole;
	term: number;
	leader: VmId | undefined;
	/** Buckets of this term; only the leader has them. */
	owner: AllowanceOwner | undefined;
	decoded: Decoded | undefined;
	/** From a leader that stepped down. */
	handover: Handover | undefined;
	readonly sessions: Map<VmId, Session>;
	readonly pending: Map<ReplyToken, Pending>;
	/** The platform's list of servers; only a leader that reads it has one. */
	servers: ServerListLog | undefined;
	/** The leader's clock up to which log time was proposed. */
	clockMs: number;
	trimMs: number;
};

export type ControlEvent =
	/** Every 50 to 200 ms. */
	| BaseEvent<'control/tick'>
	/** Replies with a `ProposeReply`. */
	| (BaseEvent<'control/propose'> & {readonly token: ReplyToken; readonly command: Command})
	/** Replies with a `SyncReply`. */
	| (BaseEvent<'control/sync'> & {readonly token: ReplyToken; readonly from: VmIdentity; readonly request: SyncRequest})
	/** Replies with a `ReadReply`. */
	| (BaseEvent<'control/read'> & {readonly token: ReplyToken; readonly query: ReadQuery})
	/** This process stops: if it leads, it lets one of the others lead instead. */
	| (BaseEvent<'control/hand-over'> & {readonly to: readonly VmId[]})
	| (BaseEvent<'control/handover'> & {readonly handover: Handover})
	/** This process read the platform's list of servers, which it asked for at `askedMs`. */
	| (BaseEvent<'control/servers'> & {readonly records: readonly ServerRecord[]; readonly askedMs: number})
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
		decoded: undefined,
		handover: undefined,
		sessions: new Map(),
		pending: new Map(),
		servers: undefined,
		clockMs: 0,
		trimMs: 0,
	};
}

/** Handles one event of the slice. */
export function reduceControl(state: ControlSlice, event: ControlEvent): ControlEffect[] {
	switch (event.type) {
		case 'control/tick': {
			return tick(state, event.nowMs);
		}

		case 'control/propose': {
			return propose(state, event);
		}

		case 'control/sync': {
			return sync(state, event);
		}

		case 'control/read': {
			return read(state, event);
		}

		case 'control/hand-over': {
			return handOver(state, event.to, event.nowMs);
		}

		case 'control/handover': {
			state.handover = event.handover;
			return [];
		}

		case 'control/servers': {
			return takeServers(state, event);
		}

		case 'control/consensus': {
			return takeConsensus(state, event.effect, event.nowMs);
		}
	}
}

function reply(token: ReplyToken, body: ProposeReply | SyncReply | ReadReply): ControlEffect {
	return {type: 'reply', token, body};
}

function toConsensus(event: ConsensusInput): ControlEffect {
	return {type: 'control/to-consensus', event};
}

function notLeader({leader}: ControlSlice): {kind: 'not-leader'; leader?: VmId} {
	return {kind: 'not-leader', ...(leader !== undefined && {leader})};
}

/** Why a request is answered at once; undefined when it may go on. */
function turnAway(state: ControlSlice, token: ReplyToken): ControlEffect[] | undefined {
	if (state.role !== 'leader' || !state.owner) {
		return [reply(token, notLeader(state))];
	}

	// The caller tries again; a queue without a bound would outlive the callers' patience.
	return state.pending.size >= pendingLimit ? [reply(token, {kind: 'not-leader'})] : undefined;
}

function handOver(state: ControlSlice, to: readonly VmId[], nowMs: number): ControlEffect[] {
	if (state.role !== 'leader' || !state.owner || to.length === 0) {
		return [];
	}

	const message = state.owner.handOver(nowMs);
	state.owner = undefined;
	const isSmall = message.buckets.length <= handoverLimit && message.grants.length <= handoverLimit;
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

function tick(state: ControlSlice, nowMs: number): ControlEffect[] {
	if (state.role !== 'leader') {
		return [];
	}

	if (nowMs - state.trimMs >= trimIntervalMs) {
		state.trimMs = nowMs;
		trim(state, nowMs);
	}

	return nowMs - state.clockMs >= clockStepMs ? advanceClock(state, nowMs) : [];
}

function trim(state: ControlSlice, nowMs: number): void {
	state.owner?.trim(nowMs);
	for (const [vm, {lastMs}] of state.sessions) {
		if (nowMs - lastMs > sessionTtlMs) {
			state.sessions.delete(vm);
		}
	}

	for (const [token, {sinceMs}] of state.pending) {
		if (nowMs - sinceMs > pendingTtlMs) {
			drop(state, token, nowMs);
		}
	}
}

/**
Proposes the time that passed since the last proposal.
The step is never proposed again, even if it is dropped: log time may run slow, which only lengthens leases,
but must not catch up after a lease began, which would cut it short.
*/
function advanceClock(state: ControlSlice, nowMs: number): ControlEffect[] {
	const elapsedMs = nowMs - state.clockMs;
	state.clockMs = nowMs;
	const command: Command = {type: 'clock.advance', elapsedMs};
	return elapsedMs > 0 ? [toConsensus({type: 'consensus/propose', token: clockToken, command})] : [];
}

function propose(state: ControlSlice, {token, command, nowMs}: Extract<ControlEvent, {type: 'control/propose'}>): ControlEffect[] {
	const turnedAway = turnAway(state, token);
	if (turnedAway) {
		return turnedAway;
	}

	const fault = findFault(state, command);
	if (fault) {
		return [reply(token, {kind: 'outcome', outcome: {kind: 'refused', code: fault}})];
	}

	state.pending.set(token, {kind: 'proposal', sinceMs: nowMs});
	// A lease runs from the log time at which its command is applied, which must not lag behind the leader's clock.
	const clock = command.type.startsWith('lease.') ? advanceClock(state, nowMs) : [];
	return [...clock, toConsensus({type: 'consensus/propose', token, command})];
}

/** What the state machine cannot check, since it must not depend on the code that decodes a configuration. */
function findFault(state: ControlSlice, command: Command): 'invalid' | 'unknown-tenant' | undefined {
	if (command.type === 'clock.advance') {
		return 'invalid';
	}

	if (command.type === 'config.apply' || command.type === 'config.publish') {
		try {
			state.options.decode(command.configuration);
		} catch {
			return 'invalid';
		}
	}

	const isResend = 'changeId' in command && state.data.outcomes.has(command.changeId);
	const tenants = command.type === 'key.issue' && !isResend ? currentConfiguration(state)?.tenants ?? {} : undefined;
	return tenants && command.type === 'key.issue' && !Object.hasOwn(tenants, command.tenant) ? 'unknown-tenant' : undefined;
}

function currentConfiguration(state: ControlSlice): SharedConfiguration | undefined {
	const current = state.data.history.at(-1);
	if (current && state.decoded?.version !== current.version) {
		state.decoded = {version: current.version, configuration: state.options.decode(current.configuration)};
	}

	return current && state.decoded?.configuration;
}

function sync(state: ControlSlice, {token, from, request, nowMs}: Extract<ControlEvent, {type: 'control/sync'}>): ControlEffect[] {
	const turnedAway = turnAway(state, token);
	if (turnedAway) {
		return turnedAway;
	}

	if (!noteSession(state, from, request, nowMs)) {
		return [reply(token, {kind: 'not-leader'}), {type: 'count', metric: 'control_late_syncs'}];
	}

	const owner = state.owner!;
	const allotment = owner.allot(from, request.allowances, nowMs);
	state.pending.set(token, {
		kind: 'sync', sinceMs: nowMs, request, allotment, owner,
	});
	return [toConsensus({type: 'consensus/read', token, mayWait: !isUrgent(state, request)})];
}

/** Whether a request or news waits for the answer; other syncs share the heartbeat, or each would cost messages to every voter. */
function isUrgent({data, servers}: ControlSlice, {revision, page, allowances, servers: position}: SyncRequest): boolean {
	const isBehind = revision < data.revision || page !== undefined || (servers && position && !isSamePosition(servers.position, position));
	return isBehind === true || allowances.wanted.some(({atLeast}) => atLeast > 0);
}

/** Records the sync; false for one that was overtaken, whose reports must not count again. */
function noteSession(state: ControlSlice, {vm, incarnation}: VmIdentity, {seq}: SyncRequest, nowMs: number): boolean {
	const known = state.sessions.get(vm);
	if (known && (incarnation < known.incarnation || (incarnation === known.incarnation && seq <= known.seq))) {
		return false;
	}

	if (!known && state.sessions.size >= sessionLimit) {
		state.sessions.delete(state.sessions.keys().next().value!);
	}

	state.sessions.set(vm, {
		incarnation, seq, lastMs: nowMs, isPushed: false,
	});
	return true;
}

function read(state: ControlSlice, {token, query, nowMs}: Extract<ControlEvent, {type: 'control/read'}>): ControlEffect[] {
	const turnedAway = turnAway(state, token);
	if (turnedAway) {
		return turnedAway;
	}

	state.pending.set(token, {kind: 'read', sinceMs: nowMs, query});
	return [toConsensus({type: 'consensus/read', token})];
}

function takeConsensus(state: ControlSlice, effect: ConsensusEffect, nowMs: number): ControlEffect[] {
	switch (effect.type) {
		case 'consensus/committed': {
			return commit(state, effect.command as Command, effect.token, nowMs);
		}

		case 'consensus/dropped': {
			return state.pending.delete(effect.token) ? [reply(effect.token, droppedReply(effect))] : [];
		}

		case 'consensus/read-ready': {
			return answerRead(state, effect.token, nowMs);
		}

		case 'consensus/read-failed': {
			const isPending = drop(state, effect.token, nowMs);
			return isPending ? [reply(effect.token, {kind: 'not-leader', ...(effect.leader !== undefined && {leader: effect.leader})})] : [];
		}

		case 'consensus/role': {
			return changeRole(state, effect, nowMs);
		}

		case 'consensus/take-snapshot': {
			return [toConsensus({type: 'consensus/snapshot-taken', index: effect.index, data: snapshotState(state.data)})];
		}

		case 'consensus/install': {
			state.data = restoreState(effect.data);
			state.decoded = undefined;
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

/** Forgets a request; grants that were reserved for it go back, since its answer is not sent. */
function drop(state: ControlSlice, token: ReplyToken, nowMs: number): boolean {
	const pending = state.pending.get(token);
	if (pending?.kind === 'sync') {
		pending.owner.revoke(pending.allotment.grants, nowMs);
	}

	return state.pending.delete(token);
}

function droppedReply({reason, leader}: Extract<ConsensusEffect, {type: 'consensus/dropped'}>): ProposeReply {
	if (reason === 'overloaded') {
		return {kind: 'overloaded'};
	}

	return {kind: reason === 'not-leader' ? 'not-leader' : 'unknown', ...(leader !== undefined && {leader})};
}

function commit(state: ControlSlice, command: Command, token: ReplyToken | undefined, nowMs: number): ControlEffect[] {
	const {revision} = state.data;
	const version = currentVersion(state.data);
	const outcome = applyCommand(state.data, command, state.limits);
	if (state.owner && currentVersion(state.data) !== version) {
		setLimits(state, nowMs);
	}

	const isAwaited = token !== undefined && state.pending.delete(token);
	return [
		...(isAwaited ? [reply(token, {kind: 'outcome', outcome})] : []),
		...(state.data.revision > revision ? pushChanged(state, nowMs) : []),
	];
}

/** Only a leader's list is passed on: its term orders the lists of different readers. */
function takeServers(state: ControlSlice, {records, askedMs, nowMs}: Extract<ControlEvent, {type: 'control/servers'}>): ControlEffect[] {
	if (state.role !== 'leader') {
		return [];
	}

	state.servers ??= new ServerListLog(state.term);
	return state.servers.take(records, askedMs) ? pushChanged(state, nowMs) : [];
}

/** Tells entry processes with a live session to sync; one push until they do. */
function pushChanged(state: ControlSlice, nowMs: number): ControlEffect[] {
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

function setLimits(state: ControlSlice, nowMs: number): void {
	state.owner?.setLimits(Object.entries(currentConfiguration(state)?.tenants ?? {}), nowMs);
}

function changeRole(state: ControlSlice, {role, term, leader}: Extract<ConsensusEffect, {type: 'consensus/role'}>, nowMs: number): ControlEffect[] {
	const wasLeading = state.role === 'leader' && state.term === term;
	state.role = role;
	state.term = term;
	state.leader = leader;
	if (role === 'leader') {
		if (!wasLeading) {
			// What the predecessor granted is unknown, so its buckets and sessions are not taken over.
			// A grant needs a quorum that hears the leader, and one of it took part in the election.
			state.servers = undefined;
			state.owner = new AllowanceOwner(term, nowMs, (state.options.electionSilenceMs ?? 0) * clockTolerance);
			state.sessions.clear();
			state.clockMs = nowMs;
			setLimits(state, nowMs);
			// Only the leader of the term before granted until then; one in between would have a term of its own.
			if (state.handover?.term === term - 1) {
				state.owner.takeOver(state.handover, nowMs);
			}

			state.handover = undefined;
		}

		return [];
	}

	state.owner = undefined;
	state.servers = undefined;
	state.sessions.clear();
	return [];
}

function answerRead(state: ControlSlice, token: ReplyToken, nowMs: number): ControlEffect[] {
	const pending = state.pending.get(token);
	if (!pending || pending.kind === 'proposal') {
		return [];
	}

	state.pending.delete(token);
	if (pending.kind === 'read') {
		return [reply(token, {kind: 'result', result: readState(state.data, pending.query)})];
	}

	if (pending.owner !== state.owner) {
		return [reply(token, notLeader(state))];
	}

	const {grants, shortages} = pending.allotment;
	const servers = pending.request.servers && state.servers?.since(pending.request.servers, nowMs);
	state.owner.confirm(grants, nowMs);
	return [reply(token, {
		kind: 'synced',
		revision: state.data.revision,
		...readView(state.data, pending.request),
		grants: [...grants],
		shortages: [...shortages],
		stamp: {term: state.owner.term, atMs: nowMs},
		takenMs: pending.sinceMs,
		...(servers && {servers}),
	})];
}

function readView(data: ReplicatedState, {revision, page}: SyncRequest): Pick<Extract<SyncReply, {kind: 'synced'}>, 'changes' | 'snapshot'> {
	const changes = page ? undefined : changesSince(data, revision);
	return changes ? {changes} : {snapshot: readViewPage(data, page)};
}
