import type {BaseEvent} from '../core/types.js';
import type {RetryBudget} from './retry-budget.js';
import type {CallFailure, ExecutionStatus, StopReason} from './types.js';

/** Largest number of attempts per request, including the first attempt and hedged attempts. */
export const maxPlainAttempts = 3;

/** Statuses with which an upstream, or a proxy in front of it, reports that it could not serve the request. */
const unavailableStatuses: ReadonlySet<number> = new Set([502, 503, 504]);

/** State of one request to a plain service. */
export type PlainRequestState = {
	readonly isIdempotent: boolean;
	/** Whether the request holds a claim; its outcome must then be recorded even if the caller disconnects. */
	readonly isClaimed: boolean;
	readonly budget: RetryBudget;
	phase: 'sending' | 'relaying' | 'ended';
	/** Number of attempts started so far, and thus the number of the latest attempt. */
	attemptsStarted: number;
	/** Numbers of the attempts that have neither failed nor been aborted. */
	readonly activeAttempts: Set<number>;
	/** Number of the attempt whose answer is relayed to the caller; undefined until an answer is relayed. */
	relayedAttempt: number | undefined;
	/** Whether any attempt may have sent data to an upstream. */
	mayHaveRun: boolean;
	isCallerGone: boolean;
};

/** Problem code reported to the caller of a refused request. */
export type PlainRefusalCode = 'no-upstream' | 'overloaded' | 'upstream-failed' | 'timeout' | 'key-withdrawn' | 'request-blocked';

/** Event of a plain request: its start, the result of an attempt, the expiry of its hedge timer, or an instruction to stop it. */
export type PlainRequestEvent =
	| BaseEvent<'plain/start'>
	/** No upstream is available for the attempt, so nothing was sent. */
	| (BaseEvent<'plain/no-upstream'> & {readonly attempt: number; readonly code: 'no-upstream' | 'overloaded'})
	/** Servers crash on the request, so nothing was sent. The block of the request ends after `retryAfterMs` milliseconds. */
	| (BaseEvent<'plain/blocked'> & {readonly attempt: number; readonly retryAfterMs: number})
	| (BaseEvent<'plain/attempt-failed'> & {readonly attempt: number; readonly failure: CallFailure})
	/** The status and headers of an attempt's answer have arrived. */
	| (BaseEvent<'plain/answered'> & {readonly attempt: number; readonly status: number})
	| BaseEvent<'plain/hedge-due'>
	| BaseEvent<'plain/body-ended'>
	| BaseEvent<'plain/body-broken'>
	| (BaseEvent<'plain/stopped'> & {readonly reason: StopReason});

/** Action that the entry process carries out for a plain request. */
export type PlainRequestEffect =
	| {readonly type: 'plain/send'; readonly attempt: number}
	| {readonly type: 'plain/abort'; readonly attempt: number}
	/** Relays the answer of this attempt to the caller. */
	| {readonly type: 'plain/relay'; readonly attempt: number}
	/** Closes the caller's connection, so that a partial answer is not mistaken for a complete one. */
	| {readonly type: 'plain/cut'}
	| {readonly type: 'plain/refuse'; readonly code: PlainRefusalCode; readonly run: ExecutionStatus; readonly retryAfterMs?: number | undefined}
	/** Records the outcome of the request's claim. */
	| {readonly type: 'plain/settle'; readonly outcome: 'answered' | 'not-run' | 'unknown'};

export function createPlainRequest(options: {readonly isIdempotent: boolean; readonly isClaimed: boolean; readonly budget: RetryBudget}): PlainRequestState {
	return {
		...options, phase: 'sending', attemptsStarted: 0, activeAttempts: new Set(), relayedAttempt: undefined, mayHaveRun: false, isCallerGone: false,
	};
}

function startAttempt(state: PlainRequestState): PlainRequestEffect[] {
	state.attemptsStarted++;
	state.activeAttempts.add(state.attemptsStarted);
	return [{type: 'plain/send', attempt: state.attemptsStarted}];
}

/** Returns whether the request may be sent again. Takes a retry from the budget if the request may have reached an upstream. */
function tryTakeResend(state: PlainRequestState, mayHaveBeenSent: boolean): boolean {
	if (state.attemptsStarted >= maxPlainAttempts || state.isCallerGone) {
		return false;
	}

	// Nothing has been sent to any upstream, so the new attempt is not a retry and takes nothing from the budget.
	if (!mayHaveBeenSent && !state.mayHaveRun) {
		return true;
	}

	return state.isIdempotent && state.budget.tryTake();
}

function abortAttemptsExcept(state: PlainRequestState, kept?: number): PlainRequestEffect[] {
	const others = [...state.activeAttempts].filter(attempt => attempt !== kept);
	for (const attempt of others) {
		state.activeAttempts.delete(attempt);
	}

	return others.map(attempt => ({type: 'plain/abort', attempt}));
}

function settleClaim(state: PlainRequestState, outcome: 'answered' | 'not-run' | 'unknown'): PlainRequestEffect[] {
	return state.isClaimed ? [{type: 'plain/settle', outcome}] : [];
}

function refuse(state: PlainRequestState, code: PlainRefusalCode, retryAfterMs?: number): PlainRequestEffect[] {
	state.phase = 'ended';
	const runStatement = state.mayHaveRun ? 'unknown' : 'not-run';
	return [...settleClaim(state, runStatement), {
		type: 'plain/refuse', code, run: runStatement, ...(retryAfterMs !== undefined && {retryAfterMs}),
	}];
}

function onAttemptFailed(state: PlainRequestState, attempt: number, failure: CallFailure): PlainRequestEffect[] {
	state.activeAttempts.delete(attempt);
	const canResend = tryTakeResend(state, failure.mayHaveBeenSent);
	state.mayHaveRun ||= failure.mayHaveBeenSent;
	if (canResend) {
		return startAttempt(state);
	}

	if (state.activeAttempts.size > 0) {
		return [];
	}

	return refuse(state, failure.kind === 'timeout' ? 'timeout' : 'upstream-failed');
}

function onAnswered(state: PlainRequestState, attempt: number, status: number): PlainRequestEffect[] {
	const isUnavailable = unavailableStatuses.has(status);
	state.mayHaveRun = true;
	if (isUnavailable && state.isIdempotent && state.activeAttempts.size > 1) {
		state.activeAttempts.delete(attempt);
		return [{type: 'plain/abort', attempt}];
	}

	if (isUnavailable && tryTakeResend(state, true)) {
		state.activeAttempts.delete(attempt);
		return [{type: 'plain/abort', attempt}, ...startAttempt(state)];
	}

	state.phase = 'relaying';
	state.relayedAttempt = attempt;
	return [...abortAttemptsExcept(state, attempt), {type: 'plain/relay', attempt}];
}

function onStopped(state: PlainRequestState, reason: StopReason): PlainRequestEffect[] {
	const isCallerGone = reason === 'caller-gone' || reason === 'slow-reader';
	if (isCallerGone && state.isClaimed && state.attemptsStarted > 0) {
		// If the caller repeats the request, it must find the outcome, so the attempt continues without the caller.
		state.isCallerGone = true;
		return [];
	}

	const wasRelaying = state.phase === 'relaying';
	state.mayHaveRun ||= state.activeAttempts.size > 0;
	const aborts = abortAttemptsExcept(state);
	if (wasRelaying) {
		state.phase = 'ended';
		return [...aborts, ...settleClaim(state, 'unknown'), {type: 'plain/cut'}];
	}

	return [...aborts, ...refuse(state, reason === 'key-withdrawn' ? 'key-withdrawn' : 'timeout')];
}

type SendingEvent = Exclude<PlainRequestEvent, {type: 'plain/stopped'}>;

function reduceSending(state: PlainRequestState, event: SendingEvent): PlainRequestEffect[] {
	switch (event.type) {
		case 'plain/start': {
			return state.attemptsStarted === 0 ? startAttempt(state) : [];
		}

		case 'plain/no-upstream': {
			state.activeAttempts.delete(event.attempt);
			return state.activeAttempts.size > 0 ? [] : refuse(state, event.code);
		}

		case 'plain/blocked': {
			state.activeAttempts.delete(event.attempt);
			return state.activeAttempts.size > 0 ? [] : refuse(state, 'request-blocked', event.retryAfterMs);
		}

		case 'plain/attempt-failed': {
			return state.activeAttempts.has(event.attempt) ? onAttemptFailed(state, event.attempt, event.failure) : [];
		}

		case 'plain/answered': {
			return state.activeAttempts.has(event.attempt) ? onAnswered(state, event.attempt, event.status) : [];
		}

		case 'plain/hedge-due': {
			return state.activeAttempts.size === 1 && tryTakeResend(state, true) ? startAttempt(state) : [];
		}

		case 'plain/body-ended':
		case 'plain/body-broken': {
			return [];
		}
	}
}

/** Advances the request by one event and returns the actions to carry out. Events that do not match the phase are ignored. */
export function reducePlainRequest(state: PlainRequestState, event: PlainRequestEvent): PlainRequestEffect[] {
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
		return settleClaim(state, 'answered');
	}

	if (event.type === 'plain/body-broken') {
		state.phase = 'ended';
		return [...settleClaim(state, 'unknown'), {type: 'plain/cut'}];
	}

	return [];
}
