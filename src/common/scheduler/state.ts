import type {VmId, VmIdentity} from '../core/types.js';
import type {PlaceRequest} from '../services/scheduler-client.js';
import type {Engine} from './engine.js';
import {FairQueue} from './fair-queue.js';
import type {QueuedRequest} from './fair-queue.js';
import {LearnedRatio} from './learned.js';
import {blocksOf, Pool} from './pool.js';
import {ShardSchedulerPolicy} from './policy.js';
import type {PlacementChoice, PlacementPolicy} from './policy.js';
import type {RunningReservation} from './types.js';

export type SchedulerOptions = {
	readonly policy: PlacementPolicy;
	/** Makes reservation ids of different processes differ within one epoch. */
	readonly idPrefix: string;
	/** Requests that wait at once; more are shed. */
	readonly maxQueued: number;
	/** Pairs of hash and engine in the prefix index. */
	readonly maxPrefixEntries: number;
	/** Longest wait for reports after the lease was acquired, in milliseconds. */
	readonly rebuildMs: number;
	/** Interval between questions to an entry process that holds reservations, in milliseconds. */
	readonly reportEveryMs: number;
	/** A reservation whose owner reported nothing for so long is released, in milliseconds. */
	readonly silentOwnerMs: number;
	/** An owner that membership has not named for so long counts as dead, in milliseconds. */
	readonly unknownOwnerMs: number;
};

/** A reservation of a prefill engine, a decode slot and link time. */
export type Reservation = {
	readonly id: string;
	readonly requestId: string;
	readonly owner: VmIdentity;
	readonly tenant: string;
	readonly promptTokens: number;
	readonly maxTokens: number;
	/** Hashes of the prompt's leading blocks; empty for a reservation learned from a report. */
	readonly prefix: readonly string[];
	readonly prefill: string;
	decode: string;
	phase: RunningReservation['phase'];
	readonly placedMs: number;
	/** When the owner last mentioned it. */
	heardMs: number;
	/** Reports in a row that did not list it. */
	missingReports: number;
	/** Cached tokens that the prefix index predicted, before trust was applied. */
	readonly predictedTokens: number;
	/** Milliseconds held on the links of both engines until the transfer ends. */
	linkMs: number;
	firstTokenMs: number | undefined;
};

export type SchedulerState = {
	readonly options: SchedulerOptions;
	readonly pool: Pool;
	queue: FairQueue;
	readonly reservations: Map<string, Reservation>;
	/** Reservation by owner and request id, so that a repeated question gets the same answer. */
	readonly byRequest: Map<string, string>;
	weights: ReadonlyMap<string, number>;
	/** Lease epoch; undefined while another process holds the lease. */
	epoch: number | undefined;
	/** Set from the lease's acquisition until all live entry processes reported or the time is over. */
	rebuild: {readonly untilMs: number; readonly waitingFor: Set<VmId>} | undefined;
	liveEntries: ReadonlyMap<VmId, number>;
	deadEntries: ReadonlyMap<VmId, number>;
	/** Owners that membership has not named, with the time each was first seen. */
	readonly unknownOwners: Map<string, number>;
	/** When each entry process is asked next. */
	readonly nextReportMs: Map<VmId, number>;
	/** Output tokens per token of output limit. */
	outputShare: LearnedRatio;
	nextId: number;
};

const defaultOptions: SchedulerOptions = {
	policy: new ShardSchedulerPolicy(),
	idPrefix: '',
	maxQueued: 2000,
	maxPrefixEntries: 50_000,
	rebuildMs: 500,
	reportEveryMs: 2000,
	silentOwnerMs: 8000,
	unknownOwnerMs: 10_000,
};

/** Output limits that the initial share of used output outweighs, in tokens. */
const priorOutputLimit = 1000;

/** A scheduler without lease; it answers placements with `not-holder` until it gets one. */
export function createScheduler(options: Partial<SchedulerOptions> = {}): SchedulerState {
	const all = {...defaultOptions, ...options};
	return {
		options: all,
		pool: new Pool(all.maxPrefixEntries),
		queue: new FairQueue(),
		reservations: new Map(),
		byRequest: new Map(),
		weights: new Map(),
		epoch: undefined,
		rebuild: undefined,
		liveEntries: new Map(),
		deadEntries: new Map(),
		unknownOwners: new Map(),
		nextReportMs: new Map(),
		outputShare: new LearnedRatio({value: 1}, priorOutputLimit),
		nextId: 1,
	};
}

/** Identifies a request across entry processes and their restarts. */
export function requestKey(owner: VmIdentity, requestId: string): string {
	return `${owner.vm}/${owner.incarnation}/${requestId}`;
}

export function isSameOwner(a: VmIdentity, b: VmIdentity): boolean {
	return a.vm === b.vm && a.incarnation === b.incarnation;
}

/** Reserves the prefill engine, the decode slot and the link time together. */
export function reserve(state: SchedulerState, {req, owner}: QueuedRequest, {prefill, decode, estimate}: PlacementChoice, nowMs: number): Reservation {
	const reservation: Reservation = {
		id: `${state.epoch ?? 0}-${state.options.idPrefix}${state.nextId++}`,
		requestId: req.requestId,
		owner,
		tenant: req.tenant,
		promptTokens: req.promptTokens,
		maxTokens: req.maxTokens,
		prefix: req.prefix,
		prefill: prefill.spec.name,
		decode: decode.spec.name,
		phase: 'prefill',
		placedMs: nowMs,
		heardMs: nowMs,
		missingReports: 0,
		predictedTokens: estimate.cachedTokens / Math.min(1, prefill.cacheTrust.value),
		linkMs: estimate.transferMs,
		firstTokenMs: undefined,
	};
	const tokens = Math.ceil(req.promptTokens - estimate.cachedTokens);
	prefill.addPrefill(reservation.id, {tokens, estimateMs: estimate.prefillMs}, nowMs);
	register(state, reservation, nowMs);
	return reservation;
}

/** Enters a reservation with its decode slot and link time. */
export function register(state: SchedulerState, reservation: Reservation, nowMs: number): void {
	const {id, owner, requestId, linkMs} = reservation;
	state.reservations.set(id, reservation);
	state.byRequest.set(requestKey(owner, requestId), id);
	for (const engine of enginesOf(state, reservation)) {
		engine.linkBacklogMs += linkMs;
		if (engine.health.state(nowMs) === 'probing') {
			engine.probe = id;
		}
	}

	state.pool.engines.get(reservation.decode)?.addDecode(id, blocksOf(reservation));
}

/** Frees whatever the reservation still holds. */
export function release(state: SchedulerState, reservation: Reservation, nowMs: number): void {
	state.pool.engines.get(reservation.prefill)?.removePrefill(reservation.id, nowMs);
	freeLink(state, reservation);
	state.pool.engines.get(reservation.decode)?.removeDecode(reservation.id);
	state.reservations.delete(reservation.id);
	const key = requestKey(reservation.owner, reservation.requestId);
	if (state.byRequest.get(key) === reservation.id) {
		state.byRequest.delete(key);
	}
}

/** Gives back the link time of a transfer that ended or will not happen. */
export function freeLink(state: SchedulerState, reservation: Reservation): void {
	for (const engine of enginesOf(state, reservation)) {
		engine.linkBacklogMs = Math.max(0, engine.linkBacklogMs - reservation.linkMs);
	}

	reservation.linkMs = 0;
}

/** Moves the slot and the link time to another decode engine. */
export function moveDecode(state: SchedulerState, reservation: Reservation, decode: Engine, nowMs: number): void {
	freeLink(state, reservation);
	state.pool.engines.get(reservation.decode)?.removeDecode(reservation.id);
	const prefill = state.pool.engines.get(reservation.prefill);
	reservation.decode = decode.spec.name;
	reservation.phase = 'transfer';
	reservation.linkMs = prefill ? state.pool.transferMs(prefill, decode, reservation.promptTokens) : 0;
	register(state, reservation, nowMs);
}

/** Forgets every reservation, after the lease went to another process. */
export function clearReservations(state: SchedulerState, nowMs: number): void {
	for (const reservation of state.reservations.values()) {
		release(state, reservation, nowMs);
	}

	state.nextReportMs.clear();
	state.unknownOwners.clear();
}

function enginesOf(state: SchedulerState, {prefill, decode}: Reservation): Engine[] {
	return [...new Set([prefill, decode])].flatMap(name => state.pool.engines.get(name) ?? []);
}
