import type {VmId} from '../core/types.js';
import type {MemberRecord} from './types.js';

/** Times that a member sends an update, per doubling of the member count; every receiver sends it as often, and page exchanges reach the rest. */
const sendsPerDoubling = 3;

type QueuedUpdate = {readonly record: MemberRecord; sends: number};

/** Updates that still have to be spread, the least sent first. Holds one update for each member. */
export class UpdateQueue {
	private readonly _updates = new Map<VmId, QueuedUpdate>();

	get size(): number {
		return this._updates.size;
	}

	/** Replaces an older update of the same member. */
	add(record: MemberRecord): void {
		this._updates.set(record.vm, {record, sends: 0});
	}

	/** Takes up to `count` updates for one message and forgets those that were sent often enough. */
	take(count: number, memberCount: number): MemberRecord[] {
		const limit = sendsPerDoubling * Math.ceil(Math.log2(memberCount + 2));
		const chosen = [...this._updates.values()].sort((a, b) => a.sends - b.sends).slice(0, count);
		for (const update of chosen) {
			update.sends++;
			if (update.sends >= limit) {
				this._updates.delete(update.record.vm);
			}
		}

		return chosen.map(({record}) => record);
	}
}
