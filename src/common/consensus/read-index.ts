import type {ReplyToken, VmId} from '../core/types.js';
import type {Context} from './state.js';
import {broadcastAppend} from './replication.js';
import {quorum, voters} from './state.js';

/** Queues a linearizable read; a heartbeat round that begins after its arrival must confirm the leadership. One that may wait shares the next heartbeat. */
export function requestRead(context: Context, token: ReplyToken, mayWait = false): void {
	const {state, effects} = context;
	if (state.role !== 'leader' || state.reads.length >= state.limits.maxReads) {
		effects.push({type: 'consensus/read-failed', token, leader: state.leader});
		return;
	}

	state.reads.push({token, round: state.round + 1, mayWait});
	if (!mayWait && !isRoundUnderWay(context)) {
		startRound(context);
	}
}

/** Sends the regular heartbeat, as the round for reads that wait for one. */
export function sendHeartbeat(context: Context): void {
	if (context.state.reads.length > 0 && !isRoundUnderWay(context)) {
		startRound(context);
	} else {
		broadcastAppend(context, true);
	}
}

function isRoundUnderWay(context: Context): boolean {
	return confirmedRound(context) < context.state.round;
}

function startRound(context: Context): void {
	context.state.round++;
	broadcastAppend(context, true);
	answerReads(context);
}

/** Highest heartbeat round that a quorum of voters has confirmed. */
function confirmedRound({state}: Context): number {
	const rounds = voters(state).map(({vm}) => vm === state.vm ? state.round : state.progress.get(vm)?.round ?? 0);
	return rounds.sort((a, b) => b - a)[quorum(state) - 1] ?? 0;
}

/**
Answers the confirmed reads. Before an entry of its own term is committed the leader may not know
everything its predecessors committed, so reads wait for it.
*/
export function answerReads(context: Context): void {
	const {state, effects} = context;
	if (state.reads.length === 0 || state.hard.commit < state.termStart) {
		return;
	}

	const confirmed = confirmedRound(context);
	const isReady = (round: number) => round <= confirmed;
	for (const {token} of state.reads.filter(read => isReady(read.round))) {
		effects.push({type: 'consensus/read-ready', token});
	}

	state.reads = state.reads.filter(read => !isReady(read.round));
	// One round is under way at a time; reads that arrived meanwhile share the next one.
	if (confirmed === state.round && state.reads.some(({mayWait}) => !mayWait)) {
		startRound(context);
	}
}

export function failReads({state, effects}: Context, leader: VmId | undefined): void {
	for (const {token} of state.reads) {
		effects.push({type: 'consensus/read-failed', token, leader});
	}

	state.reads = [];
}
