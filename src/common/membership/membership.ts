import type {VmId} from '../core/types.js';
import {maxFailureUpdates, maxPageRecords, maxUpdates} from './messages.js';
import {changeSelf, mergeRecord, shuffledLiveMembers} from './state.js';
import type {MembershipState, Probe} from './state.js';
import type {
	MemberRecord, MembershipEffect, MembershipEvent, MembershipMessage,
} from './types.js';

export {createMembership, entryProcesses} from './state.js';
export type {MembershipOptions, MembershipState} from './state.js';

type EventOf<Type extends MembershipEvent['type']> = Extract<MembershipEvent, {type: Type}>;
type MessageOf<Type extends MembershipMessage['type']> = Extract<MembershipMessage, {type: Type}>;

/** Smallest change of this process's load that is gossiped, in percentage points. */
const minLoadChangePercent = 10;
/** Minimum interval between gossiped changes of this process's load, in milliseconds. */
const minLoadIntervalMs = 5000;
/** Interval between attempts to reach a seed while no other member is known, in milliseconds. It is short because a process that knows no other member cannot serve requests. */
const aloneRetryIntervalMs = 200;
/** Number of probe intervals without any received message after which this process assumes that it may be cut off from the other members. */
const isolationProbeIntervals = 2;
/** Factor by which the suspicion timeout is extended while this process may be cut off, so that it does not declare members dead whose messages it merely cannot receive. */
const isolatedSuspicionFactor = 5;
/** Number of members that a leaving process notifies of its end directly. */
const leaveFanout = 4;

/** Applies an event to the state of the SWIM-style gossip membership, in place, and returns the effects to carry out. */
export function reduceMembership(state: MembershipState, event: MembershipEvent): MembershipEffect[] {
	switch (event.type) {
		case 'membership/tick': {
			return handleTick(state, event.nowMs);
		}

		case 'membership/message': {
			return handleMessage(state, event);
		}

		case 'membership/self': {
			updateSelf(state, event);
			return [];
		}

		case 'membership/leave': {
			return announceLeave(state);
		}

		case 'membership/platform': {
			state.leaving = new Set([...event.vms].filter(([, platformState]) => platformState === 'leaving').map(([vm]) => vm));
			return [];
		}

		case 'membership/seeds': {
			state.seeds = event.vms.filter(vm => vm !== state.self.vm);
			return [];
		}
	}
}

/** Returns the time at which the next tick is due, in milliseconds. */
export function nextTickMs(state: MembershipState): number {
	const {probe, options} = state;
	const deadlines = [state.nextProbeMs, state.nextSyncMs, ...(rejoinCandidates(state).length > 0 ? [state.nextRejoinMs] : [])];
	if (probe) {
		deadlines.push(probe.startedMs + (probe.hasIndirectProbes ? options.probeIntervalMs : options.directProbeTimeoutMs));
	}

	for (const {record, statusChangedMs} of state.members.values()) {
		if (record.status === 'suspect') {
			deadlines.push(statusChangedMs + options.suspicionTimeoutMs);
		}
	}

	return Math.min(...deadlines);
}

function handleTick(state: MembershipState, nowMs: number): MembershipEffect[] {
	const effects = [...expireMembers(state, nowMs), ...checkProbe(state, nowMs)];
	if (nowMs >= state.nextProbeMs) {
		state.nextProbeMs = nowMs + state.options.probeIntervalMs;
		effects.push(...startProbe(state, nowMs));
	}

	if (nowMs >= state.nextSyncMs) {
		state.nextSyncMs = nowMs + syncIntervalMs(state);
		effects.push(...syncWithRandomMember(state));
	}

	if (nowMs >= state.nextRejoinMs) {
		state.nextRejoinMs = nowMs + (state.members.size === 0 ? aloneRetryIntervalMs : state.options.rejoinIntervalMs);
		effects.push(...rejoinLostMember(state));
	}

	return effects;
}

/** Returns the time until the next page is requested, in milliseconds, unless an answer brings it forward. */
function syncIntervalMs({members, isCatchingUp, options}: MembershipState): number {
	if (members.size === 0) {
		return aloneRetryIntervalMs;
	}

	return isCatchingUp ? options.probeIntervalMs : options.syncIntervalMs;
}

/** Declares suspects dead after the suspicion timeout and removes dead members after the retention period. */
function expireMembers(state: MembershipState, nowMs: number): MembershipEffect[] {
	const effects: MembershipEffect[] = [];
	const suspicionTimeoutMs = state.options.suspicionTimeoutMs * (isIsolated(state, nowMs) ? isolatedSuspicionFactor : 1);
	for (const [vm, {record, statusChangedMs}] of state.members) {
		if (record.status === 'suspect' && nowMs - statusChangedMs >= suspicionTimeoutMs) {
			effects.push(...mergeRecord(state, {...record, status: 'dead'}, nowMs));
		} else if (record.status === 'dead' && nowMs - statusChangedMs >= state.options.deadRetentionMs) {
			state.members.delete(vm);
		}
	}

	return effects;
}

/** Whether this process may itself be cut off, because it has not received a message for several probe intervals. */
function isIsolated(state: MembershipState, nowMs: number): boolean {
	return nowMs - state.lastReceivedMs >= isolationProbeIntervals * state.options.probeIntervalMs;
}

/**
Records that a message has arrived. If this process may have been cut off until now, also restarts the suspicion timeout of all suspects and
pings each suspect at once, because the regular probes would reach some suspects only after their timeout, when they can no longer refute.
Then reads the member list of the sender, because nobody may gossip any more about members that were lost meanwhile.
*/
function endIsolation(state: MembershipState, from: VmId, nowMs: number): MembershipEffect[] {
	const effects: MembershipEffect[] = [];
	const wasIsolated = isIsolated(state, nowMs);
	for (const [vm, member] of wasIsolated ? state.members : []) {
		if (member.record.status === 'suspect') {
			member.statusChangedMs = nowMs;
			effects.push(ping(state, state.nextSequence++, vm, ''));
		}
	}

	state.lastReceivedMs = nowMs;
	if (wasIsolated && state.members.size > 0) {
		state.isCatchingUp = true;
		state.cursor = '';
		state.nextSyncMs = nowMs + syncIntervalMs(state);
		effects.push(requestPage(state, from));
	}

	return effects;
}

/** Requests indirect probes if the direct probe times out, and suspects the target if no probe is acknowledged within the probe interval. */
function checkProbe(state: MembershipState, nowMs: number): MembershipEffect[] {
	const {probe, options} = state;
	if (!probe) {
		return [];
	}

	if (nowMs >= probe.startedMs + options.probeIntervalMs) {
		state.probe = undefined;
		return suspect(state, probe.target, nowMs);
	}

	if (probe.hasIndirectProbes || nowMs < probe.startedMs + options.directProbeTimeoutMs) {
		return [];
	}

	probe.hasIndirectProbes = true;
	return shuffledLiveMembers(state)
		.filter(vm => vm !== probe.target)
		.slice(0, options.indirectProbeCount)
		.map(vm => send(vm, {
			type: 'membership.ping-request', sequence: probe.sequence, target: probe.target, updates: piggyback(state, vm),
		}));
}

/** Marks a member as suspect and pings it at once, so that a member that is still running can refute. Does nothing if the member is not listed as alive. */
function suspect(state: MembershipState, vm: VmId, nowMs: number): MembershipEffect[] {
	const record = state.members.get(vm)?.record;
	return record?.status === 'alive' ? [...mergeRecord(state, {...record, status: 'suspect'}, nowMs), ping(state, state.nextSequence++, vm, '')] : [];
}

function startProbe(state: MembershipState, nowMs: number): MembershipEffect[] {
	const target = nextProbeTarget(state);
	if (target === undefined) {
		return [];
	}

	const probe: Probe = {
		target, sequence: state.nextSequence++, startedMs: nowMs, hasIndirectProbes: false,
	};
	state.probe = probe;
	return [ping(state, probe.sequence, target, '')];
}

/** Returns the next member to probe, or undefined if no member is alive or suspect. Each pass probes every such member once, in random order, so that the time to detect a death is bounded. */
function nextProbeTarget(state: MembershipState): VmId | undefined {
	for (let pass = 0; pass < 2; pass++) {
		for (let vm = state.probeOrder.pop(); vm !== undefined; vm = state.probeOrder.pop()) {
			const status = state.members.get(vm)?.record.status;
			if (status === 'alive' || status === 'suspect') {
				return vm;
			}
		}

		state.probeOrder = shuffledLiveMembers(state);
	}

	return undefined;
}

function ping(state: MembershipState, sequence: number, target: VmId, onBehalfOf: VmId): MembershipEffect {
	return send(target, {
		type: 'membership.ping', sequence, onBehalfOf, updates: piggyback(state, target),
	});
}

/** Returns the record of the receiver if the receiver is listed as suspect or dead, else an empty list. A receiver that is still running refutes the record; after a partition, this also merges the two sides. */
function failureRecordOf(state: MembershipState, to: VmId): MemberRecord[] {
	const record = state.members.get(to)?.record;
	return record && record.status !== 'alive' ? [record] : [];
}

/** Returns up to `maxUpdates` records to piggyback on a message: the record of this process, that of the receiver if the receiver is listed as suspect or dead, and the updates sent least often; and up to `maxFailureUpdates` further records of suspect and dead members. */
function piggyback(state: MembershipState, to: VmId): MemberRecord[] {
	const records = [state.self, ...failureRecordOf(state, to)];
	const vms = new Set(records.map(({vm}) => vm));
	const updates = state.updates.take(maxUpdates - records.length, maxFailureUpdates, state.members.size).filter(({vm}) => !vms.has(vm));
	return [...records, ...updates];
}

/** Requests the next page of the member list from a random member that is alive or suspect; returns no effect if there is none. */
function syncWithRandomMember(state: MembershipState): MembershipEffect[] {
	return shuffledLiveMembers(state).slice(0, 1).map(vm => requestPage(state, vm));
}

/** Requests a page from a random dead member or from a random seed that is not in the member list, so that the two sides of a partition merge again. */
function rejoinLostMember(state: MembershipState): MembershipEffect[] {
	const candidates = rejoinCandidates(state);
	return candidates.length > 0 ? [requestPage(state, state.random.pick(candidates))] : [];
}

/** Returns the seeds that are not in the member list, and the dead members. */
function rejoinCandidates(state: MembershipState): VmId[] {
	return [
		...state.seeds.filter(vm => !state.members.has(vm)),
		...[...state.members.values()].filter(({record}) => record.status === 'dead').map(({record}) => record.vm),
	];
}

function requestPage(state: MembershipState, vm: VmId): MembershipEffect {
	return send(vm, {type: 'membership.join', after: state.cursor, updates: piggyback(state, vm)});
}

function handleMessage(state: MembershipState, {from, message, nowMs}: EventOf<'membership/message'>): MembershipEffect[] {
	const effects = endIsolation(state, from.vm, nowMs);
	effects.push(...message.updates.flatMap(record => mergeRecord(state, record, nowMs)));
	switch (message.type) {
		case 'membership.ping': {
			const {sequence, onBehalfOf} = message;
			return [...effects, send(from.vm, {
				type: 'membership.ack', sequence, of: onBehalfOf, updates: piggyback(state, from.vm),
			})];
		}

		case 'membership.ping-request': {
			return [...effects, ping(state, message.sequence, message.target, from.vm)];
		}

		case 'membership.ack': {
			return [...effects, ...handleAck(state, from.vm, message)];
		}

		case 'membership.join': {
			return [...effects, sendPage(state, from.vm, message.after)];
		}

		case 'membership.members': {
			return [...effects, ...handlePage(state, message, {from: from.vm, hasChanges: effects.length > 0, nowMs})];
		}
	}
}

/** Forwards the acknowledgement if another member requested the probe. Otherwise ends the current probe, provided that the acknowledgement belongs to it. */
function handleAck(state: MembershipState, from: VmId, {sequence, of}: MessageOf<'membership.ack'>): MembershipEffect[] {
	if (of !== '' && of !== state.self.vm) {
		return [send(of, {
			type: 'membership.ack', sequence, of, updates: piggyback(state, of),
		})];
	}

	const isExpected = state.probe?.sequence === sequence && (of !== '' || from === state.probe.target);
	state.probe = isExpected ? undefined : state.probe;
	return [];
}

function sendPage(state: MembershipState, to: VmId, after: string): MembershipEffect {
	const records = [state.self, ...[...state.members.values()].map(({record}) => record)]
		.filter(({vm}) => vm > after)
		.sort((a, b) => a.vm < b.vm ? -1 : 1);
	const page = records.slice(0, maxPageRecords - 1);
	const next = records.length > page.length ? page.at(-1)?.vm : undefined;
	return send(to, {type: 'membership.members', ...(next !== undefined && {next}), updates: [...failureRecordOf(state, to), ...page]});
}

type PageArrival = {
	readonly from: VmId;
	/** Whether the page has changed the list of this process. */
	readonly hasChanges: boolean;
	readonly nowMs: number;
};

/** Advances the page cursor. While the received pages change the local list, as after a join or the loss of a zone, the next page is requested after a probe interval instead of the longer sync interval. While this process catches up, requests the next page from the same member at once. */
function handlePage(state: MembershipState, {next}: MessageOf<'membership.members'>, {from, hasChanges, nowMs}: PageArrival): MembershipEffect[] {
	state.cursor = next ?? '';
	if (state.isCatchingUp) {
		state.isCatchingUp = next !== undefined;
		state.nextSyncMs = nowMs + syncIntervalMs(state);
		return next === undefined ? [] : [requestPage(state, from)];
	}

	state.hasPassChanges ||= hasChanges;
	if (state.hasPassChanges) {
		state.nextSyncMs = Math.min(state.nextSyncMs, nowMs + state.options.probeIntervalMs);
	}

	if (next === undefined) {
		state.hasPassChanges = hasChanges;
	}

	return [];
}

function updateSelf(state: MembershipState, {load, isDraining, nowMs}: EventOf<'membership/self'>): void {
	if (isDraining !== undefined && isDraining !== state.self.isDraining) {
		changeSelf(state, {isDraining, revision: state.self.revision + 1});
	}

	const isLoadChangeDue = load !== undefined && Math.abs(load - state.self.load) >= minLoadChangePercent && nowMs - state.loadPublishedMs >= minLoadIntervalMs;
	if (isLoadChangeDue) {
		state.loadPublishedMs = nowMs;
		changeSelf(state, {load, revision: state.self.revision + 1});
	}
}

/** Marks this process as dead and notifies `leaveFanout` random members, so that its end becomes known without a suspicion timeout. */
function announceLeave(state: MembershipState): MembershipEffect[] {
	changeSelf(state, {status: 'dead', revision: state.self.revision + 1});
	return shuffledLiveMembers(state).slice(0, leaveFanout).map(vm => ping(state, state.nextSequence++, vm, ''));
}

function send(to: VmId, message: MembershipMessage): MembershipEffect {
	return {type: 'send', to, message};
}
