import {maxRanks} from './priority-ranks.js';
import type {PriorityRank} from './priority-ranks.js';

/** Time for which a refusal shows a shortage, in milliseconds; one process sees about one request of a rank in this time. */
const shortageMemoryMs = 2000;
/** Number of services above which those without a shortage are forgotten. */
const maxServices = 64;

/** Which ranks of each service were recently refused memory at the engines, as far as this process knows. */
export class RoomShortage {
	/** For each service, the times until which its ranks count as short, in milliseconds. */
	private readonly _shortUntilMs = new Map<string, number[]>();

	/** Records that every engine refused a reservation that left nothing free, so that any request would have been refused. */
	recordFullPool(service: string, nowMs: number): void {
		this._ranksOf(service, nowMs).fill(nowMs + shortageMemoryMs);
	}

	/** Records that engines refused a reservation that had to leave room for more urgent requests. */
	recordRefusal(service: string, {rank}: PriorityRank, nowMs: number): void {
		this._ranksOf(service, nowMs)[rank] = nowMs + shortageMemoryMs;
	}

	/** Records that the first engine that was asked granted a reservation to a request that competed with `rank`. */
	recordRoom(service: string, rank: number): void {
		this._shortUntilMs.get(service)?.fill(0, 0, rank + 1);
	}

	isShort(service: string, rank: number, nowMs: number): boolean {
		return (this._shortUntilMs.get(service)?.[rank] ?? 0) > nowMs;
	}

	/** Returns the number of short ranks among those more urgent than `rank`. */
	moreUrgentShort(service: string, rank: number, nowMs: number): number {
		return (this._shortUntilMs.get(service) ?? []).slice(0, rank).filter(untilMs => untilMs > nowMs).length;
	}

	private _ranksOf(service: string, nowMs: number): number[] {
		let ranks = this._shortUntilMs.get(service);
		if (!ranks) {
			if (this._shortUntilMs.size >= maxServices) {
				this._forgetEnded(nowMs);
			}

			ranks = Array.from({length: maxRanks}, () => 0);
			this._shortUntilMs.set(service, ranks);
		}

		return ranks;
	}

	private _forgetEnded(nowMs: number): void {
		for (const [service, ranks] of this._shortUntilMs) {
			if (ranks.every(untilMs => untilMs <= nowMs)) {
				this._shortUntilMs.delete(service);
			}
		}
	}
}
