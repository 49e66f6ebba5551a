import type {ServerKey} from './types.js';

/** Time for which a notice of leaving counts, in milliseconds; a leaving server stops and disappears from the server list much sooner. */
const leavingValidityMs = 120_000;
/** Maximum number of notices; expired notices are evicted first, then the oldest. */
const maxNotices = 2000;

type Notice = {
	/** Time until which the server counts as leaving; 0 if it has not announced that it is leaving. */
	leavingUntilMs: number;
	/** Time until which the server accepts no work; 0 if it has announced no pause. */
	pausedUntilMs: number;
};

/**
Notices that servers sent about themselves in their answers: that they are leaving, or that they accept no work for some time.
A notice is kept while the server's entry is absent from the list, since the entry may be missing from one poll of the list and return with the next poll.
*/
export class ServerNotices {
	private readonly _notices = new Map<ServerKey, Notice>();

	/** Records that the server is leaving for good. Returns whether the server did not already count as leaving. */
	recordLeaving(key: ServerKey, nowMs: number): boolean {
		const notice = this._getOrCreateNotice(key, nowMs);
		const isNew = notice.leavingUntilMs <= nowMs;
		notice.leavingUntilMs = nowMs + leavingValidityMs;
		return isNew;
	}

	/**
	Records that the server accepts no work from this process for `forMs` milliseconds; an announced pause that
	lasts longer stays. Returns whether the server was not already paused.
	*/
	recordPause(key: ServerKey, forMs: number, nowMs: number): boolean {
		const notice = this._getOrCreateNotice(key, nowMs);
		const isNew = notice.pausedUntilMs <= nowMs;
		notice.pausedUntilMs = Math.max(notice.pausedUntilMs, nowMs + forMs);
		return isNew;
	}

	isLeaving(key: ServerKey, nowMs: number): boolean {
		return (this._notices.get(key)?.leavingUntilMs ?? 0) > nowMs;
	}

	/** Returns the time until the server accepts work again, in milliseconds: 0 if it accepts work, `Infinity` if it is leaving. */
	unavailableForMs(key: ServerKey, nowMs: number): number {
		const notice = this._notices.get(key);
		if (!notice) {
			return 0;
		}

		return notice.leavingUntilMs > nowMs ? Infinity : Math.max(0, notice.pausedUntilMs - nowMs);
	}

	private _getOrCreateNotice(key: ServerKey, nowMs: number): Notice {
		let notice = this._notices.get(key);
		if (!notice) {
			this._evictWhenFull(nowMs);
			notice = {leavingUntilMs: 0, pausedUntilMs: 0};
			this._notices.set(key, notice);
		}

		return notice;
	}

	private _evictWhenFull(nowMs: number): void {
		if (this._notices.size < maxNotices) {
			return;
		}

		for (const [key, {leavingUntilMs, pausedUntilMs}] of this._notices) {
			if (leavingUntilMs <= nowMs && pausedUntilMs <= nowMs) {
				this._notices.delete(key);
			}
		}

		if (this._notices.size >= maxNotices) {
			this._notices.delete(this._notices.keys().next().value!);
		}
	}
}
