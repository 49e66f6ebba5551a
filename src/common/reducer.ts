/** Root reducer of a process: passes each event to the slice that handles it, and turns effects that concern another slice into events for that slice. */
import {reduceAccess} from './access/access.js';
import type {AccessEffect, AccessEvent, AccessState} from './access/access.js';
import {reduceConsensus} from './consensus/reducer.js';
import type {ConsensusState} from './consensus/state.js';
import type {ConsensusEffect, ConsensusEvent} from './consensus/types.js';
import {reduceControl} from './control/control.js';
import type {ControlEffect, ControlEvent, ControlSlice} from './control/control.js';
import type {CoreEffect, ReplyToken} from './core/types.js';

/** State of the slices of a process. `replica` is undefined unless the process has the control role. */
export type ProcessState = {
	readonly access: AccessState;
	readonly replica: Replica | undefined;
};

/** A control VM's copy of the replicated log and state. */
export type Replica = {
	readonly consensus: ConsensusState;
	readonly control: ControlSlice;
	/** Reply tokens of the membership changes that operators have requested and that are not yet committed or refused. */
	readonly pendingMemberChangeTokens: Set<ReplyToken>;
};

/** Events of all slices. */
export type ProcessEvent = ConsensusEvent | ControlEvent | AccessEvent;

/** Effects that remain for the platform layer to execute. */
export type ProcessEffect =
	| CoreEffect
	| Extract<AccessEffect, {type: 'access/request'}>
	| Extract<ConsensusEffect, {type: 'consensus/persist' | 'consensus/save-snapshot'}>;

/** Reply to an operator's request to change the members of the replicated log: the new members, or why the change was refused and the VM of the leader (undefined if none is known). */
export type MemberChangeReply =
	| {readonly kind: 'changed'; readonly members: ReadonlyArray<{readonly vm: string; readonly role: string}>}
	| {readonly kind: 'refused'; readonly reason: string; readonly leader: string | undefined};

/** Handles one event of any slice and returns the effects for the platform layer. Consensus and control events have no effect in a process without a replica. */
export function reduce(state: ProcessState, event: ProcessEvent): ProcessEffect[] {
	if (isAccessEvent(event)) {
		return reduceAccess(state.access, event);
	}

	const effects: ProcessEffect[] = [];
	if (state.replica) {
		reduceReplica(state.replica, event, effects);
	}

	return effects;
}

function isAccessEvent(event: ProcessEvent): event is AccessEvent {
	return event.type.startsWith('access/');
}

function isControlEvent(event: ConsensusEvent | ControlEvent): event is ControlEvent {
	return event.type.startsWith('control/');
}

function reduceReplica(replica: Replica, event: ConsensusEvent | ControlEvent, effects: ProcessEffect[]): void {
	if (isControlEvent(event)) {
		for (const effect of reduceControl(replica.control, event)) {
			routeControlEffect(replica, effect, event.nowMs, effects);
		}

		return;
	}

	if (event.type === 'consensus/change-members') {
		replica.pendingMemberChangeTokens.add(event.token);
	}

	for (const effect of reduceConsensus(replica.consensus, event)) {
		routeConsensusEffect(replica, effect, event.nowMs, effects);
	}
}

function routeControlEffect(replica: Replica, effect: ControlEffect, nowMs: number, effects: ProcessEffect[]): void {
	if (effect.type === 'control/to-consensus') {
		reduceReplica(replica, {...effect.event, nowMs}, effects);
	} else {
		effects.push(effect);
	}
}

function routeConsensusEffect(replica: Replica, effect: ConsensusEffect, nowMs: number, effects: ProcessEffect[]): void {
	switch (effect.type) {
		case 'consensus/persist':
		case 'consensus/save-snapshot':
		case 'send':
		case 'reply':
		case 'notify':
		case 'count':
		case 'log': {
			effects.push(effect);
			break;
		}

		case 'consensus/members-committed': {
			const {index, members} = effect;
			effects.push(
				{type: 'notify', topic: 'consensus/members', value: members},
				{
					type: 'log', level: 'info', message: 'members of the replicated log changed', fields: {index, members: members.map(({vm, diskId, role}) => `${vm} ${diskId} ${role}`)},
				},
			);
			replyToMemberChange(replica, effect.token, {kind: 'changed', members: effect.members}, effects);
			break;
		}

		case 'consensus/dropped': {
			replyToMemberChange(replica, effect.token, {kind: 'refused', reason: effect.reason, leader: effect.leader}, effects);
			reduceReplica(replica, {type: 'control/consensus', effect, nowMs}, effects);
			break;
		}

		case 'consensus/role': {
			const {role, term, leader} = effect;
			effects.push({
				type: 'log', level: 'info', message: 'role in the replicated log changed', fields: {role, term, leader},
			});
			reduceReplica(replica, {type: 'control/consensus', effect, nowMs}, effects);
			break;
		}

		case 'consensus/committed':
		case 'consensus/read-ready':
		case 'consensus/read-failed':
		case 'consensus/take-snapshot':
		case 'consensus/install': {
			reduceReplica(replica, {type: 'control/consensus', effect, nowMs}, effects);
			break;
		}
	}
}

function replyToMemberChange({pendingMemberChangeTokens}: Replica, token: ReplyToken | undefined, body: MemberChangeReply, effects: ProcessEffect[]): void {
	if (token !== undefined && pendingMemberChangeTokens.delete(token)) {
		effects.push({type: 'reply', token, body});
	}
}
