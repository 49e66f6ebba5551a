/** How requests of different priorities compete for the memory of model engines. */
import {fullPoolRetryAfterMs as fullPoolRetryWithJitterMs} from './memory-wait.js';
import type {PriorityRank} from './priority-ranks.js';
import type {RoomShortage} from './room-shortage.js';

/** Share of the less urgent requests that ask as the most urgent do, so that no rank starves however long a shortage lasts. */
const promotedShare = 0.3;
/** Maximum room that an engine must keep for more urgent requests, as a multiple of the reservation. */
const maxKeptRatio = 2;
/** Room that an engine must keep for first attempts of the same rank when a caller's retry asks, as a multiple of the reservation; less than for more urgent ranks. */
const callerRetryKeptRatio = 0.5;
/** Maximum number of engines that a request asks in a round in which they must keep room for more urgent requests. */
const maxYieldingEngines = 8;
/** Minimum share of a service's engines that must refuse a reservation before their pool counts as full for all ranks. */
const minFullPoolShare = 0.75;
/** Maximum size of a reservation whose refusal shows a full pool, as a share of an engine's memory; smaller ones may still fit where a larger one does not. */
const maxFullPoolSizeShare = 0.25;
/** Maximum share of the caller's time after which it is told to retry; the rest is left for the retry. */
const maxRetryAfterShare = 0.5;

/** How a round of reservation calls goes. */
export type ReservationRound = {
	/** Whether engines are first asked to keep spare memory in which streams can grow. */
	readonly isSpareFirst: boolean;
	/** Room that an engine must keep for other requests in any case, as a multiple of the reservation. */
	readonly keptRatio: number;
	/** Maximum number of engines to ask. */
	readonly maxEngines: number;
	/** `Retry-After` for the caller if no engine has room, in milliseconds. */
	readonly fullPoolRetryAfterMs: number;
};

export type RequestPriorityOptions = {
	readonly service: string;
	readonly priority: PriorityRank;
	readonly shortage: RoomShortage;
	/** `Retry-After` on a full pool if no more urgent request is short of memory, in milliseconds. */
	readonly fullPoolRetryAfterMs: number;
	/** Whether an earlier attempt of the caller has been refused. */
	readonly isCallerRetry: boolean;
	/** Caller's remaining time, in milliseconds. */
	readonly waitMs: number;
	/** Returns the number of engines of the service that may take requests of some caller. */
	readonly readyEngines: () => number;
	/** Size of the reservation, as a share of an engine's memory. */
	readonly sizeShare: number;
	/** Number in [0, 1) that decides whether the request is promoted. */
	readonly random: number;
};

/** The competition of one request with others of its service for engine memory. */
export class RequestPriority {
	/** Rank with which the request competes: its own, or 0 if it is promoted. */
	readonly effectiveRank: number;
	private _rounds = 0;
	/** Rank with which the current round competes. */
	private _roundRank = 0;

	constructor(private readonly _options: RequestPriorityOptions) {
		this.effectiveRank = _options.random < promotedShare ? 0 : _options.priority.rank;
	}

	/** Decides how the next round goes. A stream that has begun competes as the most urgent, since breaking it off wastes its output. */
	planRound(nowMs: number, hasBegun: boolean): ReservationRound {
		this._rounds++;
		this._roundRank = hasBegun ? 0 : this.effectiveRank;
		const yieldRatio = this._yieldRatio(nowMs);
		return {
			isSpareFirst: !this._isAnyShort(nowMs),
			keptRatio: yieldRatio + (hasBegun ? 0 : this._callerRetryRatio(nowMs)),
			maxEngines: yieldRatio > 0 ? maxYieldingEngines : Infinity,
			fullPoolRetryAfterMs: this._retryAfterMs(yieldRatio),
		};
	}

	/** Records a round in which every engine that was asked refused; `refusals` is their number. */
	recordRefusedRound({keptRatio}: ReservationRound, refusals: number, nowMs: number): void {
		const {
			shortage, service, priority, sizeShare, readyEngines,
		} = this._options;
		// A request may be kept from most engines, by its customer's regions for example; the engines left to it show nothing of the others.
		if (keptRatio === 0 && sizeShare <= maxFullPoolSizeShare && refusals >= readyEngines() * minFullPoolShare) {
			shortage.recordFullPool(service, nowMs);
		} else {
			shortage.recordRefusal(service, priority, nowMs);
		}
	}

	/** Records a granted reservation; `refusals` is the number of engines that refused before in the same round. */
	recordGranted(refusals: number): void {
		if (refusals === 0 && this._rounds === 1) {
			this._options.shortage.recordRoom(this._options.service, this._roundRank);
		}
	}

	/** Room to keep for more urgent ranks that are short. */
	private _yieldRatio(nowMs: number): number {
		const {shortage, service, priority: {ranks}} = this._options;
		return maxKeptRatio * shortage.moreUrgentShort(service, this._roundRank, nowMs) / Math.max(maxKeptRatio, ranks - 1);
	}

	private _callerRetryRatio(nowMs: number): number {
		const {shortage, service, isCallerRetry} = this._options;
		return isCallerRetry && shortage.isShort(service, this.effectiveRank, nowMs) ? callerRetryKeptRatio : 0;
	}

	private _isAnyShort(nowMs: number): boolean {
		const {shortage, service, priority: {ranks}} = this._options;
		return shortage.moreUrgentShort(service, ranks, nowMs) > 0;
	}

	/** Returns a later time the more room is kept, with its jitter in proportion, but one that leaves time for the retry. */
	private _retryAfterMs(yieldRatio: number): number {
		const {fullPoolRetryAfterMs, waitMs} = this._options;
		const maxFactor = waitMs * maxRetryAfterShare / fullPoolRetryWithJitterMs(1);
		return Math.round(fullPoolRetryAfterMs * Math.max(1, Math.min(1 + yieldRatio, maxFactor)));
	}
}
