import type {VmIdentity} from '../core/types.js';
import type {RequestList} from '../upstreams/engine-api.js';
import {refusal} from './admission.js';
import {
	register, freeLink, isSameOwner, release, requestKey,
} from './state.js';
import type {Reservation, SchedulerState} from './state.js';
import type {
	EntryProcesses, RunningReservation, SchedulerEffect, SchedulerEvent,
} from './types.js';

type ReportEvent = Extract<SchedulerEvent, {type: 'scheduler/report'}>;

/** Reports in a row that omit a reservation before it is released: the first may have crossed the placement's reply. */
const missingReportsToRelease = 2;
/** Unknown owners remembered at once. */
const maxUnknownOwners = 1024;

/** Whether membership knows that this run of the process has ended. */
export function isDead(state: SchedulerState, owner: VmIdentity): boolean {
	const live = state.liveEntries.get(owner.vm);
	const dead = state.deadEntries.get(owner.vm);
	return (live !== undefined && live > owner.incarnation) || (live !== owner.incarnation && dead !== undefined && dead >= owner.incarnation);
}

/** Takes a new list of entry processes and ends what belongs to dead ones. */
export function updateEntries(state: SchedulerState, {live, dead}: EntryProcesses, nowMs: number): SchedulerEffect[] {
	state.liveEntries = new Map(live.map(({vm, incarnation}) => [vm, incarnation]));
	state.deadEntries = new Map(dead.map(({vm, incarnation}) => [vm, incarnation]));
	for (const vm of state.rebuild?.waitingFor ?? []) {
		if (!state.liveEntries.has(vm)) {
			state.rebuild?.waitingFor.delete(vm);
		}
	}

	return [...dropDeadCallers(state), ...endDeadReservations(state, nowMs)];
}

function dropDeadCallers(state: SchedulerState): SchedulerEffect[] {
	const effects: SchedulerEffect[] = [];
	for (const item of state.queue.waiting()) {
		if (isDead(state, item.owner)) {
			state.queue.remove(item);
			effects.push({type: 'reply', token: item.token, body: refusal('overloaded', 0)});
		}
	}

	return effects;
}

function endDeadReservations(state: SchedulerState, nowMs: number): SchedulerEffect[] {
	const effects: SchedulerEffect[] = [];
	for (const reservation of state.reservations.values()) {
		if (isDead(state, reservation.owner)) {
			effects.push(...endReservation(state, reservation, nowMs));
		}
	}

	if (effects.length > 0) {
		// The engines may also run requests of the dead process that this scheduler never knew.
		effects.push(...[...state.pool.engines.keys()].map(engine => ({type: 'scheduler/list-requests', engine}) as const));
	}

	return effects;
}

/** Releases a reservation of a dead owner and frees its engines. */
function endReservation(state: SchedulerState, reservation: Reservation, nowMs: number): SchedulerEffect[] {
	release(state, reservation, nowMs);
	const engines = new Set([reservation.prefill, reservation.decode]);
	return [
		...[...engines].map(engine => ({type: 'scheduler/cancel-request', engine, requestId: reservation.requestId}) as const),
		{type: 'count', metric: 'scheduler_reservations_expired_total', labels: {reason: 'dead-owner'}},
	];
}

/** Cancels what an engine runs for dead owners, and for owners that membership has not named for long. */
export function cancelOrphans(state: SchedulerState, engine: string, requests: RequestList['requests'], nowMs: number): SchedulerEffect[] {
	const effects: SchedulerEffect[] = [];
	for (const {requestId, owner} of requests) {
		if (isDead(state, owner) || isLongUnknown(state, owner, nowMs)) {
			const id = state.byRequest.get(requestKey(owner, requestId));
			const reservation = id === undefined ? undefined : state.reservations.get(id);
			if (reservation) {
				release(state, reservation, nowMs);
			}

			effects.push(
				{type: 'scheduler/cancel-request', engine, requestId},
				{type: 'count', metric: 'scheduler_orphans_cancelled_total'},
			);
		}
	}

	return effects;
}

function isLongUnknown(state: SchedulerState, owner: VmIdentity, nowMs: number): boolean {
	const key = requestKey(owner, '');
	if (state.liveEntries.get(owner.vm) === owner.incarnation) {
		state.unknownOwners.delete(key);
		return false;
	}

	const sinceMs = state.unknownOwners.get(key);
	if (sinceMs === undefined) {
		if (state.unknownOwners.size < maxUnknownOwners) {
			state.unknownOwners.set(key, nowMs);
		}

		return false;
	}

	return nowMs - sinceMs >= state.options.unknownOwnerMs;
}

/** Takes an entry process's list of what it runs: adopts what is new, releases what it no longer runs. */
export function applyReport(state: SchedulerState, {owner, askedMs, reservations: reported, nowMs}: ReportEvent): void {
	if (isDead(state, owner)) {
		return;
	}

	state.rebuild?.waitingFor.delete(owner.vm);
	const listed = new Set(reported.map(({reservation}) => reservation));
	for (const running of reported) {
		const known = state.reservations.get(running.reservation);
		if (known) {
			known.heardMs = nowMs;
			known.missingReports = 0;
			catchUp(state, known, running.phase, nowMs);
		} else {
			adopt(state, owner, running, nowMs);
		}
	}

	for (const reservation of state.reservations.values()) {
		if (isSameOwner(reservation.owner, owner) && reservation.placedMs < askedMs && !listed.has(reservation.id)) {
			reservation.heardMs = nowMs;
			reservation.missingReports++;
			if (reservation.missingReports >= missingReportsToRelease) {
				release(state, reservation, nowMs);
			}
		}
	}
}

/** Frees what a progress message that was lost would have freed. */
function catchUp(state: SchedulerState, known: Reservation, phase: RunningReservation['phase'], nowMs: number): void {
	if (phase !== 'prefill') {
		state.pool.engines.get(known.prefill)?.removePrefill(known.id, nowMs);
	}

	if (phase === 'decode') {
		freeLink(state, known);
	}

	known.phase = phase;
}

/** Enters a reservation that a predecessor or the entry process itself made. */
function adopt(state: SchedulerState, owner: VmIdentity, running: RunningReservation, nowMs: number): void {
	if (!state.pool.engines.has(running.decode)) {
		return;
	}

	const {
		reservation: id, requestId, tenant, promptTokens, maxTokens, decode, phase,
	} = running;
	const reservation: Reservation = {
		id,
		requestId,
		owner,
		tenant,
		promptTokens,
		maxTokens,
		prefill: running.prefill,
		decode,
		phase,
		prefix: [],
		placedMs: nowMs,
		heardMs: nowMs,
		missingReports: 0,
		predictedTokens: 0,
		linkMs: 0,
		firstTokenMs: undefined,
	};
	const prefill = state.pool.engines.get(running.prefill);
	if (running.phase === 'prefill' && prefill) {
		const estimateMs = running.promptTokens * prefill.prefillSpeed.value;
		prefill.addPrefill(reservation.id, {tokens: running.promptTokens, estimateMs}, nowMs);
	}

	register(state, reservation, nowMs);
}

/** Asks owners of reservations for reports, and releases what a silent owner holds. */
export function watchOwners(state: SchedulerState, nowMs: number): SchedulerEffect[] {
	const effects: SchedulerEffect[] = [];
	const owners = new Map<string, VmIdentity>();
	for (const reservation of state.reservations.values()) {
		if (nowMs - reservation.heardMs >= state.options.silentOwnerMs) {
			release(state, reservation, nowMs);
			effects.push({type: 'count', metric: 'scheduler_reservations_expired_total', labels: {reason: 'silent-owner'}});
		} else {
			owners.set(reservation.owner.vm, reservation.owner);
		}
	}

	for (const vm of state.nextReportMs.keys()) {
		if (!owners.has(vm)) {
			state.nextReportMs.delete(vm);
		}
	}

	for (const owner of owners.values()) {
		const dueMs = state.nextReportMs.get(owner.vm);
		if (dueMs === undefined || nowMs >= dueMs) {
			state.nextReportMs.set(owner.vm, nowMs + state.options.reportEveryMs);
			if (dueMs !== undefined) {
				effects.push({type: 'scheduler/ask-report', to: owner});
			}
		}
	}

	return effects;
}
