import type {VmId} from '../core/types.js';
import {maxPageRecords, maxUpdates} from './messages.js';
import {changeSelf, learn, shuffledMembers} from './state.js';
import type {MembershipState, Probe} from './state.js';
import type {
	MemberRecord, MembershipEffect, MembershipEvent, MembershipMessage,
} from './types.js';

export {createMembership, entryProcesses} from './state.js';
export type {MembershipOptions, MembershipState} from './state.js';

type EventOf<Type extends MembershipEvent['type']> = Extract<MembershipEvent, {type: Type}>;
type MessageOf<Type extends MembershipMessage['type']> = Extract<MembershipMessage, {type: Type}>;

/** Change of the own load that is worth spreading, in percent, and the shortest interval between two, in milliseconds. */
const loadStep = 10;
const loadEveryMs = 5000;
/** Interval between attempts to reach a seed while no other member is known, in milliseconds; a process that starts alone can serve nobody. */
const aloneExchangeMs = 200;
/** Probe intervals without any message after which this process may be cut off. */
const isolatedProbes = 2;
/** Suspicions last so many times longer while this process may be cut off. */
const isolatedFactor = 5;
/** Members told directly when this process leaves. */
const leaveMessages = 4;

/** Gossip membership after SWIM; updates the state in place. */
export function reduceMembership(state: MembershipState, event: MembershipEvent): MembershipEffect[] {
	switch (event.type) {
		case 'membership/tick': {
			return tick(state, event.nowMs);
		}

		case 'membership/message': {
			return receive(state, event);
		}

		case 'membership/self': {
			describeSelf(state, event);
			return [];
		}

		case 'membership/leave': {
			return leave(state);
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

/** When the next tick has something to do, in milliseconds. */
export function nextTickMs(state: MembershipState): number {
	const {probe, options} = state;
	const deadlines = [state.nextProbeMs, state.nextExchangeMs, ...(lostVms(state).length > 0 ? [state.nextSearchMs] : [])];
	if (probe) {
		deadlines.push(probe.startedMs + (probe.askedOthers ? options.probeEveryMs : options.directTimeoutMs));
	}

	for (const {record, sinceMs} of state.members.values()) {
		if (record.status === 'suspect') {
			deadlines.push(sinceMs + options.suspectMs);
		}
	}

	return Math.min(...deadlines);
}

function tick(state: MembershipState, nowMs: number): MembershipEffect[] {
	const effects = [...expire(state, nowMs), ...watchProbe(state, nowMs)];
	if (nowMs >= state.nextProbeMs) {
		state.nextProbeMs = nowMs + state.options.probeEveryMs;
		effects.push(...startProbe(state, nowMs));
	}

	if (nowMs >= state.nextExchangeMs) {
		state.nextExchangeMs = nowMs + (state.members.size === 0 ? aloneExchangeMs : state.options.exchangeEveryMs);
		effects.push(...exchange(state));
	}

	if (nowMs >= state.nextSearchMs) {
		state.nextSearchMs = nowMs + (state.members.size === 0 ? aloneExchangeMs : state.options.searchEveryMs);
		effects.push(...search(state));
	}

	return effects;
}

/** Declares suspects dead whose time is over, and forgets members that are long dead. */
function expire(state: MembershipState, nowMs: number): MembershipEffect[] {
	const effects: MembershipEffect[] = [];
	const suspectMs = state.options.suspectMs * (isIsolated(state, nowMs) ? isolatedFactor : 1);
	for (const [vm, {record, sinceMs}] of state.members) {
		if (record.status === 'suspect' && nowMs - sinceMs >= suspectMs) {
			effects.push(...learn(state, {...record, status: 'dead'}, nowMs));
		} else if (record.status === 'dead' && nowMs - sinceMs >= state.options.rememberDeadMs) {
			state.members.delete(vm);
		}
	}

	return effects;
}

/** A member that hears nobody may itself be the one that is cut off. */
function isIsolated(state: MembershipState, nowMs: number): boolean {
	return nowMs - state.heardMs >= isolatedProbes * state.options.probeEveryMs;
}

/** Tells members that were suspected in isolation of it, and gives them their full time to refute: one probe after another would take longer. */
function endIsolation(state: MembershipState, nowMs: number): MembershipEffect[] {
	const effects: MembershipEffect[] = [];
	for (const [vm, member] of isIsolated(state, nowMs) ? state.members : []) {
		if (member.record.status === 'suspect') {
			member.sinceMs = nowMs;
			effects.push(ping(state, state.nextSequence++, vm, ''));
		}
	}

	state.heardMs = nowMs;
	return effects;
}

/** Asks others when the target does not answer, and suspects it when they get no answer either. */
function watchProbe(state: MembershipState, nowMs: number): MembershipEffect[] {
	const {probe, options} = state;
	if (!probe) {
		return [];
	}

	if (nowMs >= probe.startedMs + options.probeEveryMs) {
		state.probe = undefined;
		return suspect(state, probe.target, nowMs);
	}

	if (probe.askedOthers || nowMs < probe.startedMs + options.directTimeoutMs) {
		return [];
	}

	probe.askedOthers = true;
	return shuffledMembers(state)
		.filter(vm => vm !== probe.target)
		.slice(0, options.indirectProbes)
		.map(vm => send(vm, {
			type: 'membership.ping-request', sequence: probe.sequence, target: probe.target, updates: piggyback(state, vm),
		}));
}

/** The suspect itself is told at once, so that one that lives can refute. */
function suspect(state: MembershipState, vm: VmId, nowMs: number): MembershipEffect[] {
	const record = state.members.get(vm)?.record;
	return record?.status === 'alive' ? [...learn(state, {...record, status: 'suspect'}, nowMs), ping(state, state.nextSequence++, vm, '')] : [];
}

function startProbe(state: MembershipState, nowMs: number): MembershipEffect[] {
	const target = nextTarget(state);
	if (target === undefined) {
		return [];
	}

	const probe: Probe = {
		target, sequence: state.nextSequence++, startedMs: nowMs, askedOthers: false,
	};
	state.probe = probe;
	return [ping(state, probe.sequence, target, '')];
}

/** The next member of a random order; each pass probes every member once, which bounds the time to find a death. */
function nextTarget(state: MembershipState): VmId | undefined {
	for (let pass = 0; pass < 2; pass++) {
		for (let vm = state.probeOrder.pop(); vm !== undefined; vm = state.probeOrder.pop()) {
			const status = state.members.get(vm)?.record.status;
			if (status === 'alive' || status === 'suspect') {
				return vm;
			}
		}

		state.probeOrder = shuffledMembers(state);
	}

	return undefined;
}

function ping(state: MembershipState, sequence: number, target: VmId, onBehalfOf: VmId): MembershipEffect {
	return send(target, {
		type: 'membership.ping', sequence, onBehalfOf, updates: piggyback(state, target),
	});
}

/** What the receiver must hear to refute that it is suspect or dead; this is also how a partition heals. */
function failureReport(state: MembershipState, to: VmId): MemberRecord[] {
	const record = state.members.get(to)?.record;
	return record && record.status !== 'alive' ? [record] : [];
}

/** Own record, the receiver's record if it is suspect or dead, and the least sent updates, within the bound. */
function piggyback(state: MembershipState, to: VmId): MemberRecord[] {
	const records = [state.self, ...failureReport(state, to)];
	const vms = new Set(records.map(({vm}) => vm));
	const updates = state.updates.take(maxUpdates - records.length, state.members.size).filter(({vm}) => !vms.has(vm));
	return [...records, ...updates];
}

/** Asks one member for a page of its list. */
function exchange(state: MembershipState): MembershipEffect[] {
	return shuffledMembers(state).slice(0, 1).map(vm => join(state, vm));
}

/** Tries one of the members and seeds that are lost, so that partitions heal. */
function search(state: MembershipState): MembershipEffect[] {
	const lost = lostVms(state);
	return lost.length > 0 ? [join(state, state.random.pick(lost))] : [];
}

function lostVms(state: MembershipState): VmId[] {
	return [
		...state.seeds.filter(vm => !state.members.has(vm)),
		...[...state.members.values()].filter(({record}) => record.status === 'dead').map(({record}) => record.vm),
	];
}

function join(state: MembershipState, vm: VmId): MembershipEffect {
	return send(vm, {type: 'membership.join', after: state.cursor, updates: piggyback(state, vm)});
}

function receive(state: MembershipState, {from, message, nowMs}: EventOf<'membership/message'>): MembershipEffect[] {
	const effects = endIsolation(state, nowMs);
	effects.push(...message.updates.flatMap(record => learn(state, record, nowMs)));
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
			return [...effects, ...acknowledge(state, from.vm, message)];
		}

		case 'membership.join': {
			return [...effects, sendPage(state, from.vm, message.after)];
		}

		case 'membership.members': {
			continueList(state, message, effects.length > 0, nowMs);
			return effects;
		}
	}
}

/** Ends the probe, or passes the acknowledgement on to the member that asked for the ping. */
function acknowledge(state: MembershipState, from: VmId, {sequence, of}: MessageOf<'membership.ack'>): MembershipEffect[] {
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
	return send(to, {type: 'membership.members', ...(next !== undefined && {next}), updates: [...failureReport(state, to), ...page]});
}

/** After a page that brought news, as after joining or the loss of a zone, goes through the whole list at a faster pace. */
function continueList(state: MembershipState, {next}: MessageOf<'membership.members'>, hasNews: boolean, nowMs: number): void {
	state.cursor = next ?? '';
	state.hasPageNews ||= hasNews;
	if (state.hasPageNews) {
		state.nextExchangeMs = Math.min(state.nextExchangeMs, nowMs + state.options.probeEveryMs);
	}

	if (next === undefined) {
		state.hasPageNews = hasNews;
	}
}

function describeSelf(state: MembershipState, {load, isDraining, nowMs}: EventOf<'membership/self'>): void {
	if (isDraining !== undefined && isDraining !== state.self.isDraining) {
		changeSelf(state, {isDraining, revision: state.self.revision + 1});
	}

	const isWorthSpreading = load !== undefined && Math.abs(load - state.self.load) >= loadStep && nowMs - state.loadSpreadMs >= loadEveryMs;
	if (isWorthSpreading) {
		state.loadSpreadMs = nowMs;
		changeSelf(state, {load, revision: state.self.revision + 1});
	}
}

/** Tells some members that this process ends, so that nobody has to suspect it first. */
function leave(state: MembershipState): MembershipEffect[] {
	changeSelf(state, {status: 'dead', revision: state.self.revision + 1});
	return shuffledMembers(state).slice(0, leaveMessages).map(vm => ping(state, state.nextSequence++, vm, ''));
}

function send(to: VmId, message: MembershipMessage): MembershipEffect {
	return {type: 'send', to, message};
}
