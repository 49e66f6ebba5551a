import type {VmId, VmIdentity} from '../core/types.js';
import type {PlacementRequest} from '../services/scheduler-client.js';
import type {Engine} from './engine.js';
import {FairQueue} from './fair-queue.js';
import type {QueuedRequest} from './fair-queue.js';
import {LearnedRatio} from './learned-ratio.js';
import {requiredBlocks, Pool} from './pool.js';
import {ShardSchedulerPolicy} from './placement-policy.js';
import type {PlacementChoice, PlacementPolicy} from './placement-policy.js';
import type {RunningReservation} from './types.js';

export type SchedulerOptions = {
	/** Strategy that chooses the engines of a request. */
	readonly policy: PlacementPolicy;
	/** Prefix that makes the reservation ids of different processes distinct within one epoch. */
	readonly idPrefix: string;
	/** Maximum number of queued requests. If a request arrives while the queue is full, the least valuable request is refused. */
	readonly maxQueued: number;
	/** Maximum number of (engine, hash) pairs in the prefix index. */
	readonly maxPrefixEntries: number;
	/** Maximum time to wait for the reports of the entry processes after the lease was acquired, in milliseconds. */
	readonly rebuildTimeoutMs: number;
	/** Interval between report requests to an entry process that holds reservations, in milliseconds. */
	readonly reportIntervalMs: number;
	/** Time after the owner's last message about a reservation at which the reservation is released, in milliseconds. */
	readonly silentOwnerTimeoutMs: number;
	/** Time after which an owner that membership does not know counts as dead, in milliseconds. */
	readonly unknownOwnerTimeoutMs: number;
};

/** A reservation of a prefill engine, a decode slot and link time. */
export type Reservation = {
	readonly id: string;
	readonly requestId: string;
	readonly owner: VmIdentity;
	readonly tenant: string;
	readonly promptTokens: number;
	readonly maxTokens: number;
	/** Hashes of the prompt's leading blocks; empty for a reservation adopted from a report. */
	readonly prefix: readonly string[];
	/** Name of the prefill engine. */
	readonly prefill: string;
	/** Name of the decode engine. */
	decode: string;
	phase: RunningReservation['phase'];
	/** Time at which this scheduler placed the request or adopted the reservation, in milliseconds. */
	readonly placedMs: number;
	/** Time of the last message from the owner about this reservation, in milliseconds. */
	lastHeardMs: number;
	/** Number of consecutive reports of the owner that did not list this reservation. */
	missingReports: number;
	/** Number of cached prompt tokens that the prefix index predicted, before scaling by `cachePredictionAccuracy`. */
	readonly predictedCachedTokens: number;
	/** Estimated duration of the KV cache transfer, reserved on the links of both engines until the transfer ends, in milliseconds. */
	reservedLinkMs: number;
	/** Time at which the first output token was reported, in milliseconds; undefined before that. */
	firstTokenAtMs: number | undefined;
};

/** State of the scheduler of one pool shard; `reduceScheduler` updates it in place. */
export type SchedulerState = {
	readonly options: SchedulerOptions;
	readonly pool: Pool;
	/** Requests that wait for a placement. */
	queue: FairQueue;
	/** Reservations by id. */
	readonly reservations: Map<string, Reservation>;
	/** Reservation id by `requestKey`, so that a repeated placement request gets the same reply. */
	readonly reservationIdsByRequest: Map<string, string>;
	/** Fair-queue weight by customer; customers that are not listed have weight 1. */
	weights: ReadonlyMap<string, number>;
	/** Lease epoch; undefined while this process does not hold the lease. */
	epoch: number | undefined;
	/**
	Rebuild of the reservations from reports after the lease was acquired; undefined while no rebuild is in progress. Ends at
	`untilMs` or when all entry processes in `waitingFor` have reported.
	*/
	rebuild: {readonly untilMs: number; readonly waitingFor: Set<VmId>} | undefined;
	/** Incarnation of each live entry process, by VM. */
	liveEntries: ReadonlyMap<VmId, number>;
	/** Incarnation of each dead entry process, by VM. */
	deadEntries: ReadonlyMap<VmId, number>;
	/** Owners that membership does not know, each with the time at which an engine first listed one of its requests, in milliseconds. */
	readonly unknownOwners: Map<string, number>;
	/** Time of the next report request to each entry process, in milliseconds. */
	readonly nextReportDueMs: Map<VmId, number>;
	/** Ratio of generated output tokens to the requested maximum. */
	outputShare: LearnedRatio;
	/** Number used in the id of the next reservation. */
	nextId: number;
};

const defaultOptions: SchedulerOptions = {
	policy: new ShardSchedulerPolicy(),
	idPrefix: '',
	maxQueued: 2000,
	maxPrefixEntries: 50_000,
	rebuildTimeoutMs: 500,
	reportIntervalMs: 2000,
	silentOwnerTimeoutMs: 8000,
	unknownOwnerTimeoutMs: 10_000,
};

/** Weight of the initial value of `outputShare`, in output tokens of the requested maximum. */
const priorOutputLimit = 1000;

/** Creates the state of a scheduler without a lease. The scheduler answers placement requests with `not-holder` until it acquires the lease. */
export function createScheduler(options: Partial<SchedulerOptions> = {}): SchedulerState {
	const allOptions = {...defaultOptions, ...options};
	return {
		options: allOptions,
		pool: new Pool(allOptions.maxPrefixEntries),
		queue: new FairQueue(),
		reservations: new Map(),
		reservationIdsByRequest: new Map(),
		weights: new Map(),
		epoch: undefined,
		rebuild: undefined,
		liveEntries: new Map(),
		deadEntries: new Map(),
		unknownOwners: new Map(),
		nextReportDueMs: new Map(),
		outputShare: new LearnedRatio({value: 1}, priorOutputLimit),
		nextId: 1,
	};
}

/** Returns a key that identifies a request across entry processes and their restarts. */
export function requestKey(owner: VmIdentity, requestId: string): string {
	return `${owner.vm}/${owner.incarnation}/${requestId}`;
}

export function isSameOwner(a: VmIdentity, b: VmIdentity): boolean {
	return a.vm === b.vm && a.incarnation === b.incarnation;
}

/** Reserves the prefill engine, the decode slot and the link time for a request. */
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
		lastHeardMs: nowMs,
		missingReports: 0,
		predictedCachedTokens: estimate.cachedTokens / Math.min(1, prefill.cachePredictionAccuracy.value),
		reservedLinkMs: estimate.transferMs,
		firstTokenAtMs: undefined,
	};
	const tokens = Math.ceil(req.promptTokens - estimate.cachedTokens);
	prefill.addPrefill(reservation.id, {tokens, estimateMs: estimate.prefillMs}, nowMs);
	registerReservation(state, reservation, nowMs);
	return reservation;
}

/** Adds a reservation to the state and takes its decode slot and link time. */
export function registerReservation(state: SchedulerState, reservation: Reservation, nowMs: number): void {
	const {id, owner, requestId, reservedLinkMs} = reservation;
	state.reservations.set(id, reservation);
	state.reservationIdsByRequest.set(requestKey(owner, requestId), id);
	for (const engine of enginesOfReservation(state, reservation)) {
		engine.linkBacklogMs += reservedLinkMs;
		if (engine.health.state(nowMs) === 'probing') {
			engine.probeReservation = id;
		}
	}

	state.pool.engines.get(reservation.decode)?.addDecode(id, requiredBlocks(reservation));
}

/** Removes a reservation and frees the resources that it still holds. */
export function releaseReservation(state: SchedulerState, reservation: Reservation, nowMs: number): void {
	state.pool.engines.get(reservation.prefill)?.removePrefill(reservation.id, nowMs);
	releaseLinkTime(state, reservation);
	state.pool.engines.get(reservation.decode)?.removeDecode(reservation.id);
	state.reservations.delete(reservation.id);
	const key = requestKey(reservation.owner, reservation.requestId);
	if (state.reservationIdsByRequest.get(key) === reservation.id) {
		state.reservationIdsByRequest.delete(key);
	}
}

/** Frees the link time of a transfer that has ended or will not take place. */
export function releaseLinkTime(state: SchedulerState, reservation: Reservation): void {
	for (const engine of enginesOfReservation(state, reservation)) {
		engine.linkBacklogMs = Math.max(0, engine.linkBacklogMs - reservation.reservedLinkMs);
	}

	reservation.reservedLinkMs = 0;
}

/** Moves a reservation with its decode slot and link time to another decode engine. */
export function moveToDecodeEngine(state: SchedulerState, reservation: Reservation, decode: Engine, nowMs: number): void {
	releaseLinkTime(state, reservation);
	state.pool.engines.get(reservation.decode)?.removeDecode(reservation.id);
	const prefill = state.pool.engines.get(reservation.prefill);
	reservation.decode = decode.spec.name;
	reservation.phase = 'transfer';
	reservation.reservedLinkMs = prefill ? state.pool.transferMs(prefill, decode, reservation.promptTokens) : 0;
	registerReservation(state, reservation, nowMs);
}

/** Releases all reservations and clears the state of their owners. */
export function clearReservations(state: SchedulerState, nowMs: number): void {
	for (const reservation of state.reservations.values()) {
		releaseReservation(state, reservation, nowMs);
	}

	state.nextReportDueMs.clear();
	state.unknownOwners.clear();
}

function enginesOfReservation(state: SchedulerState, {prefill, decode}: Reservation): Engine[] {
	return [...new Set([prefill, decode])].flatMap(name => state.pool.engines.get(name) ?? []);
}
