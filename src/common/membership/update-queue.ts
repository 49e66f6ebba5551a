import type {VmId} from '../core/types.js';
import type {MemberRecord} from './types.js';

/**
Number of times that a member sends an update, for each doubling of the member count; the limit thus grows with the binary logarithm of the count.
The limit can be low because each receiver sends the update as often, and because members that gossip misses get it with a page of the member list.
*/
const transmissionsPerDoubling = 3;

type QueuedUpdate = {readonly record: MemberRecord; sends: number};

/** Queue of updates to piggyback, least-sent first. Holds at most one update per member. */
export class UpdateQueue {
	private readonly _updates = new Map<VmId, QueuedUpdate>();

	get size(): number {
		return this._updates.size;
	}

	/** Queues an update, replacing any earlier one for the same member. */
	add(record: MemberRecord): void {
		this._updates.set(record.vm, {record, sends: 0});
	}

	/** Returns up to `maxCount` updates for one message, and up to `maxFailures` further ones of suspect and dead members. Removes those that have reached the transmission limit. */
	take(maxCount: number, maxFailures: number, memberCount: number): MemberRecord[] {
		const transmissionLimit = transmissionsPerDoubling * Math.ceil(Math.log2(memberCount + 2));
		const queued = [...this._updates.values()].sort((a, b) => a.sends - b.sends);
		const chosen = [...queued.slice(0, maxCount), ...queued.slice(maxCount).filter(({record}) => record.status !== 'alive').slice(0, maxFailures)];
		for (const update of chosen) {
			update.sends++;
			if (update.sends >= transmissionLimit) {
				this._updates.delete(update.record.vm);
			}
		}

		return chosen.map(({record}) => record);
	}
}
