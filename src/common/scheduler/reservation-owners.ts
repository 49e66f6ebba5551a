import type {VmIdentity} from '../core/types.js';
import type {RequestList} from '../upstreams/engine-api.js';
import {createRefusal} from './admission.js';
import {
	registerReservation, releaseLinkTime, isSameOwner, releaseReservation, requestKey,
} from './state.js';
import type {Reservation, SchedulerState} from './state.js';
import type {
	EntryProcesses, RunningReservation, SchedulerEffect, SchedulerEvent,
} from './types.js';

type ReportEvent = Extract<SchedulerEvent, {type: 'scheduler/report'}>;

/** Number of consecutive reports that do not list a reservation after which the reservation is released. One report is not enough: it may have been sent before the owner received the placement. */
const missingReportsToRelease = 2;
/** Maximum number of owners unknown to membership that are tracked. */
const maxUnknownOwners = 1024;

/** Returns whether membership knows that this incarnation of the process is dead. */
export function isDeadOwner(state: SchedulerState, owner: VmIdentity): boolean {
	const live = state.liveEntries.get(owner.vm);
	const dead = state.deadEntries.get(owner.vm);
	return (live !== undefined && live > owner.incarnation) || (live !== owner.incarnation && dead !== undefined && dead >= owner.incarnation);
}

/** Applies new lists of live and dead entry processes. Refuses the queued requests and releases the reservations of dead processes. */
export function updateEntryProcesses(state: SchedulerState, {live, dead}: EntryProcesses, nowMs: number): SchedulerEffect[] {
	state.liveEntries = new Map(live.map(({vm, incarnation}) => [vm, incarnation]));
	state.deadEntries = new Map(dead.map(({vm, incarnation}) => [vm, incarnation]));
	for (const vm of state.rebuild?.waitingFor ?? []) {
		if (!state.liveEntries.has(vm)) {
			state.rebuild?.waitingFor.delete(vm);
		}
	}

	return [...refuseRequestsOfDeadOwners(state), ...releaseReservationsOfDeadOwners(state, nowMs)];
}

function refuseRequestsOfDeadOwners(state: SchedulerState): SchedulerEffect[] {
	const effects: SchedulerEffect[] = [];
	for (const item of state.queue.queuedRequests()) {
		if (isDeadOwner(state, item.owner)) {
			state.queue.remove(item);
			effects.push({type: 'reply', token: item.token, body: createRefusal('overloaded', 0)});
		}
	}

	return effects;
}

function releaseReservationsOfDeadOwners(state: SchedulerState, nowMs: number): SchedulerEffect[] {
	const effects: SchedulerEffect[] = [];
	for (const reservation of state.reservations.values()) {
		if (isDeadOwner(state, reservation.owner)) {
			effects.push(...releaseAndCancel(state, reservation, nowMs));
		}
	}

	if (effects.length > 0) {
		// The engines may also run requests of the dead process that this scheduler does not know, so the requests on all engines are listed.
		effects.push(...[...state.pool.engines.keys()].map(engine => ({type: 'scheduler/list-requests', engine}) as const));
	}

	return effects;
}

/** Releases a reservation of a dead owner and cancels its request on both engines. */
function releaseAndCancel(state: SchedulerState, reservation: Reservation, nowMs: number): SchedulerEffect[] {
	releaseReservation(state, reservation, nowMs);
	const engines = new Set([reservation.prefill, reservation.decode]);
	return [
		...[...engines].map(engine => ({type: 'scheduler/cancel-request', engine, requestId: reservation.requestId}) as const),
		{type: 'count', metric: 'scheduler_reservations_expired_total', labels: {reason: 'dead-owner'}},
	];
}

/** Cancels the requests that an engine runs for dead owners, or for owners that have been unknown to membership for `unknownOwnerTimeoutMs`. */
export function cancelOrphans(state: SchedulerState, engine: string, requests: RequestList['requests'], nowMs: number): SchedulerEffect[] {
	const effects: SchedulerEffect[] = [];
	for (const {requestId, owner} of requests) {
		if (isDeadOwner(state, owner) || isUnknownTooLong(state, owner, nowMs)) {
			const id = state.reservationIdsByRequest.get(requestKey(owner, requestId));
			const reservation = id === undefined ? undefined : state.reservations.get(id);
			if (reservation) {
				releaseReservation(state, reservation, nowMs);
			}

			effects.push(
				{type: 'scheduler/cancel-request', engine, requestId},
				{type: 'count', metric: 'scheduler_orphans_cancelled_total'},
			);
		}
	}

	return effects;
}

/** Returns whether the owner has been unknown to membership for `unknownOwnerTimeoutMs`. The first call for an unknown owner starts that time. */
function isUnknownTooLong(state: SchedulerState, owner: VmIdentity, nowMs: number): boolean {
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

	return nowMs - sinceMs >= state.options.unknownOwnerTimeoutMs;
}

/** Applies the list of reservations that an entry process runs: adopts reservations that this scheduler does not know, and releases those that were missing from several reports. */
export function applyReport(state: SchedulerState, {owner, requestedMs, reservations: reported, nowMs}: ReportEvent): void {
	if (isDeadOwner(state, owner)) {
		return;
	}

	state.rebuild?.waitingFor.delete(owner.vm);
	const listed = new Set(reported.map(({reservation}) => reservation));
	for (const running of reported) {
		const known = state.reservations.get(running.reservation);
		if (known) {
			known.lastHeardMs = nowMs;
			known.missingReports = 0;
			applyReportedPhase(state, known, running.phase, nowMs);
		} else {
			adoptReservation(state, owner, running, nowMs);
		}
	}

	for (const reservation of state.reservations.values()) {
		if (isSameOwner(reservation.owner, owner) && reservation.placedMs < requestedMs && !listed.has(reservation.id)) {
			reservation.lastHeardMs = nowMs;
			reservation.missingReports++;
			if (reservation.missingReports >= missingReportsToRelease) {
				releaseReservation(state, reservation, nowMs);
			}
		}
	}
}

/** Applies the phase of a reservation in a report: frees the resources that a lost progress message would have freed. */
function applyReportedPhase(state: SchedulerState, known: Reservation, phase: RunningReservation['phase'], nowMs: number): void {
	if (phase !== 'prefill') {
		state.pool.engines.get(known.prefill)?.removePrefill(known.id, nowMs);
	}

	if (phase === 'decode') {
		releaseLinkTime(state, known);
	}

	known.phase = phase;
}

/** Adds a reservation that a previous lease holder or the entry process itself placed, unless its decode engine is unknown. */
function adoptReservation(state: SchedulerState, owner: VmIdentity, running: RunningReservation, nowMs: number): void {
	if (!state.pool.engines.has(running.decode)) {
		return;
	}

	const {
		reservation: id, requestId, tenant: customer, promptTokens, maxTokens, decode, phase,
	} = running;
	const reservation: Reservation = {
		id,
		requestId,
		owner,
		tenant: customer,
		promptTokens,
		maxTokens,
		prefill: running.prefill,
		decode,
		phase,
		prefix: [],
		placedMs: nowMs,
		lastHeardMs: nowMs,
		missingReports: 0,
		predictedCachedTokens: 0,
		reservedLinkMs: 0,
		firstTokenAtMs: undefined,
	};
	const prefill = state.pool.engines.get(running.prefill);
	if (running.phase === 'prefill' && prefill) {
		const estimateMs = running.promptTokens * prefill.prefillMsPerToken.value;
		prefill.addPrefill(reservation.id, {tokens: running.promptTokens, estimateMs}, nowMs);
	}

	registerReservation(state, reservation, nowMs);
}

/** Requests reports from the owners of reservations, and releases the reservations of owners that have been silent for too long. */
export function pollOwners(state: SchedulerState, nowMs: number): SchedulerEffect[] {
	const effects: SchedulerEffect[] = [];
	const owners = new Map<string, VmIdentity>();
	for (const reservation of state.reservations.values()) {
		if (nowMs - reservation.lastHeardMs >= state.options.silentOwnerTimeoutMs) {
			releaseReservation(state, reservation, nowMs);
			effects.push({type: 'count', metric: 'scheduler_reservations_expired_total', labels: {reason: 'silent-owner'}});
		} else {
			owners.set(reservation.owner.vm, reservation.owner);
		}
	}

	for (const vm of state.nextReportDueMs.keys()) {
		if (!owners.has(vm)) {
			state.nextReportDueMs.delete(vm);
		}
	}

	for (const owner of owners.values()) {
		const dueMs = state.nextReportDueMs.get(owner.vm);
		if (dueMs === undefined || nowMs >= dueMs) {
			state.nextReportDueMs.set(owner.vm, nowMs + state.options.reportIntervalMs);
			if (dueMs !== undefined) {
				effects.push({type: 'scheduler/ask-report', to: owner});
			}
		}
	}

	return effects;
}
