import type {Clock} from '../../common/core/clock.js';

/** Time after the start of a process within which its first configuration is expected, in milliseconds; long enough for a leader election and a sync. */
const startupWindowMs = 3000;
/** Maximum time that a request waits for the first configuration, in milliseconds. */
const maxWaitMs = 1000;
/** Maximum time that a request waits for the first configuration, as a share of the time that its caller waits. */
const maxWaitShare = 1 / 8;
/** Maximum number of requests that wait at the same time; further requests do not wait. */
const maxWaitingRequests = 500;

/** Holds requests back in the first seconds of a process until its first configuration is known. */
export class StartupGate {
	private readonly _startedMs: number;
	private readonly _waiters = new Set<() => void>();
	private _isOpen = false;

	constructor(private readonly _clock: Clock) {
		this._startedMs = _clock.nowMs();
	}

	get waitingCount(): number {
		return this._waiters.size;
	}

	/** Lets waiting and later requests pass. */
	open(): void {
		this._isOpen = true;
		for (const wake of this._waiters) {
			wake();
		}
	}

	/**
	Resolves when the gate opens or the request has waited for the maximum time. Resolves at once if the startup window is
	over or the maximum number of requests already wait.
	*/
	async waitUntilOpen(callerWaitMs: number): Promise<void> {
		const leftMs = this._startedMs + startupWindowMs - this._clock.nowMs();
		const waitMs = Math.min(leftMs, maxWaitMs, callerWaitMs * maxWaitShare);
		if (this._isOpen || waitMs <= 0 || this._waiters.size >= maxWaitingRequests) {
			return;
		}

		await new Promise<void>(resolve => {
			const wake = () => {
				clearTimeout(timer);
				this._waiters.delete(wake);
				resolve();
			};

			const timer = setTimeout(wake, waitMs);
			this._waiters.add(wake);
		});
	}
}
