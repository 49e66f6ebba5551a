import type {ServerKey} from './types.js';

/** Time for which a notice of leaving is kept, in milliseconds; a server that leaves is gone, and off every list, much sooner. */
const leavingValidityMs = 120_000;
/** Notices kept at once; starts of servers that left long ago make room. */
const noticeLimit = 2000;

type Notice = {
	leavesUntilMs: number;
	pausedUntilMs: number;
};

/**
What starts of servers said of themselves in their answers: that they leave, or that they want no work for a time.
A notice outlives the server's entry on the list, which may be missing from one reading and be there again in the next.
*/
export class ServerNotices {
	private readonly _notices = new Map<ServerKey, Notice>();

	/** The server leaves for good. Returns whether that is news. */
	noteLeaving(key: ServerKey, nowMs: number): boolean {
		const notice = this._notice(key, nowMs);
		const isNews = notice.leavesUntilMs <= nowMs;
		notice.leavesUntilMs = nowMs + leavingValidityMs;
		return isNews;
	}

	/** The server wants no work from this process for so long; a shorter notice does not take back a longer one. Returns whether it was not paused before. */
	notePause(key: ServerKey, forMs: number, nowMs: number): boolean {
		const notice = this._notice(key, nowMs);
		const isNews = notice.pausedUntilMs <= nowMs;
		notice.pausedUntilMs = Math.max(notice.pausedUntilMs, nowMs + forMs);
		return isNews;
	}

	isLeaving(key: ServerKey, nowMs: number): boolean {
		return (this._notices.get(key)?.leavesUntilMs ?? 0) > nowMs;
	}

	/** How long the server wants no work yet, in milliseconds; 0 if it takes work, infinite if it leaves. */
	barredMs(key: ServerKey, nowMs: number): number {
		const notice = this._notices.get(key);
		if (!notice) {
			return 0;
		}

		return notice.leavesUntilMs > nowMs ? Infinity : Math.max(0, notice.pausedUntilMs - nowMs);
	}

	private _notice(key: ServerKey, nowMs: number): Notice {
		let notice = this._notices.get(key);
		if (!notice) {
			this._makeRoom(nowMs);
			notice = {leavesUntilMs: 0, pausedUntilMs: 0};
			this._notices.set(key, notice);
		}

		return notice;
	}

	private _makeRoom(nowMs: number): void {
		if (this._notices.size < noticeLimit) {
			return;
		}

		for (const [key, {leavesUntilMs, pausedUntilMs}] of this._notices) {
			if (leavesUntilMs <= nowMs && pausedUntilMs <= nowMs) {
				this._notices.delete(key);
			}
		}

		if (this._notices.size >= noticeLimit) {
			this._notices.delete(this._notices.keys().next().value!);
		}
	}
}
