import type {BaseEvent} from '../core/types.js';
import type {RetryBudget} from './retry-budget.js';
import type {CallFailure, RunStatement, StopReason} from './types.js';

/** Upstreams tried for one request, hedges included. */
export const maxPlainAttempts = 3;

/** Statuses by which an upstream or a proxy in front of it says that it could not serve the request. */
const unavailableStatuses: ReadonlySet<number> = new Set([502, 503, 504]);

/** Lifecycle of one request to a plain service. */
export type PlainState = {
	readonly isIdempotent: boolean;
	/** Whether a claim stands for the request; its outcome must be recorded even when the caller is gone. */
	readonly isClaimed: boolean;
	readonly budget: RetryBudget;
	phase: 'sending' | 'relaying' | 'ended';
	attempts: number;
	/** Attempts that have not failed. */
	readonly running: Set<number>;
	relayed: number | undefined;
	/** Whether any byte of any attempt may have left this process. */
	mayHaveRun: boolean;
	isCallerGone: boolean;
};

export type PlainRefusalCode = 'no-upstream' | 'overloaded' | 'upstream-failed' | 'timeout' | 'key-withdrawn';

export type PlainEvent =
	| BaseEvent<'plain/start'>
	/** No upstream may be used for the attempt; nothing was sent. */
	| (BaseEvent<'plain/no-upstream'> & {readonly attempt: number; readonly code: 'no-upstream' | 'overloaded'})
	| (BaseEvent<'plain/attempt-failed'> & {readonly attempt: number; readonly failure: CallFailure})
	/** The status line and headers of an answer arrived. */
	| (BaseEvent<'plain/answered'> & {readonly attempt: number; readonly status: number})
	| BaseEvent<'plain/hedge-due'>
	| BaseEvent<'plain/body-ended'>
	| BaseEvent<'plain/body-broken'>
	| (BaseEvent<'plain/stopped'> & {readonly reason: StopReason});

export type PlainEffect =
	| {readonly type: 'plain/send'; readonly attempt: number}
	| {readonly type: 'plain/abort'; readonly attempt: number}
	/** Passes the answer of this attempt on. */
	| {readonly type: 'plain/relay'; readonly attempt: number}
	/** Ends the caller's connection, so that a partial answer is not taken for a complete one. */
	| {readonly type: 'plain/cut'}
	| {readonly type: 'plain/refuse'; readonly code: PlainRefusalCode; readonly run: RunStatement}
	| {readonly type: 'plain/settle'; readonly outcome: 'answered' | 'not-run' | 'unknown'};

export function createPlainRequest(options: {readonly isIdempotent: boolean; readonly isClaimed: boolean; readonly budget: RetryBudget}): PlainState {
	return {
		...options, phase: 'sending', attempts: 0, running: new Set(), relayed: undefined, mayHaveRun: false, isCallerGone: false,
	};
}

function send(state: PlainState): PlainEffect[] {
	state.attempts++;
	state.running.add(state.attempts);
	return [{type: 'plain/send', attempt: state.attempts}];
}

/** Whether the request may be sent once more after a failure. */
function mayResend(state: PlainState, isSent: boolean): boolean {
	if (state.attempts >= maxPlainAttempts || state.isCallerGone) {
		return false;
	}

	// Nothing left this process, so sending is not a repetition and costs no budget.
	if (!isSent && !state.mayHaveRun) {
		return true;
	}

	return state.isIdempotent && state.budget.take();
}

function abortOthers(state: PlainState, kept?: number): PlainEffect[] {
	const others = [...state.running].filter(attempt => attempt !== kept);
	for (const attempt of others) {
		state.running.delete(attempt);
	}

	return others.map(attempt => ({type: 'plain/abort', attempt}));
}

function settle(state: PlainState, outcome: 'answered' | 'not-run' | 'unknown'): PlainEffect[] {
	return state.isClaimed ? [{type: 'plain/settle', outcome}] : [];
}

function refuse(state: PlainState, code: PlainRefusalCode): PlainEffect[] {
	state.phase = 'ended';
	const run = state.mayHaveRun ? 'unknown' : 'not-run';
	return [...settle(state, run), {type: 'plain/refuse', code, run}];
}

function onFailed(state: PlainState, attempt: number, failure: CallFailure): PlainEffect[] {
	state.running.delete(attempt);
	const isResent = mayResend(state, failure.maySent);
	state.mayHaveRun ||= failure.maySent;
	if (isResent) {
		return send(state);
	}

	if (state.running.size > 0) {
		return [];
	}

	return refuse(state, failure.kind === 'timeout' ? 'timeout' : 'upstream-failed');
}

function onAnswered(state: PlainState, attempt: number, status: number): PlainEffect[] {
	const isUnavailable = unavailableStatuses.has(status);
	state.mayHaveRun = true;
	if (isUnavailable && state.isIdempotent && state.running.size > 1) {
		state.running.delete(attempt);
		return [{type: 'plain/abort', attempt}];
	}

	if (isUnavailable && mayResend(state, true)) {
		state.running.delete(attempt);
		return [{type: 'plain/abort', attempt}, ...send(state)];
	}

	state.phase = 'relaying';
	state.relayed = attempt;
	return [...abortOthers(state, attempt), {type: 'plain/relay', attempt}];
}

function onStopped(state: PlainState, reason: StopReason): PlainEffect[] {
	const isCallerGone = reason === 'caller-gone' || reason === 'slow-reader';
	if (isCallerGone && state.isClaimed && state.attempts > 0) {
		// A resend is to find the outcome, so the attempt goes on without its caller.
		state.isCallerGone = true;
		return [];
	}

	const wasRelaying = state.phase === 'relaying';
	state.mayHaveRun ||= state.running.size > 0;
	const aborts = abortOthers(state);
	if (wasRelaying) {
		state.phase = 'ended';
		return [...aborts, ...settle(state, 'unknown'), {type: 'plain/cut'}];
	}

	return [...aborts, ...refuse(state, reason === 'key-withdrawn' ? 'key-withdrawn' : 'timeout')];
}

type SendingEvent = Exclude<PlainEvent, {type: 'plain/stopped'}>;

function reduceSending(state: PlainState, event: SendingEvent): PlainEffect[] {
	switch (event.type) {
		case 'plain/start': {
			return state.attempts === 0 ? send(state) : [];
		}

		case 'plain/no-upstream': {
			state.running.delete(event.attempt);
			return state.running.size > 0 ? [] : refuse(state, event.code);
		}

		case 'plain/attempt-failed': {
			return state.running.has(event.attempt) ? onFailed(state, event.attempt, event.failure) : [];
		}

		case 'plain/answered': {
			return state.running.has(event.attempt) ? onAnswered(state, event.attempt, event.status) : [];
		}

		case 'plain/hedge-due': {
			return state.running.size === 1 && mayResend(state, true) ? send(state) : [];
		}

		case 'plain/body-ended':
		case 'plain/body-broken': {
			return [];
		}
	}
}

/** Advances the request; events that do not fit the phase are ignored. */
export function reducePlainRequest(state: PlainState, event: PlainEvent): PlainEffect[] {
	if (state.phase === 'ended') {
		return [];
	}

	if (event.type === 'plain/stopped') {
		return onStopped(state, event.reason);
	}

	if (state.phase === 'sending') {
		return reduceSending(state, event);
	}

	if (event.type === 'plain/body-ended') {
		state.phase = 'ended';
		return settle(state, 'answered');
	}

	if (event.type === 'plain/body-broken') {
		state.phase = 'ended';
		return [...settle(state, 'unknown'), {type: 'plain/cut'}];
	}

	return [];
}
