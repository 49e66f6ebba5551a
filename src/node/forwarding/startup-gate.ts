import type {Clock} from '../../common/core/clock.js';

/** Time after its start in which a process expects its first configuration, in milliseconds: an election and a sync. */
const startupMs = 3000;
/** Longest wait of a request for it, in milliseconds. */
const longestWaitMs = 1000;
/** The same as a share of what its caller waits. */
const waitShare = 1 / 8;
/** Requests that wait at once; further ones are refused. */
const waitingLimit = 500;

/** Holds requests back in the first seconds of a process, until it knows a configuration. */
export class StartupGate {
	private readonly _startedMs: number;
	private readonly _waiting = new Set<() => void>();
	private _isOpen = false;

	constructor(private readonly _clock: Clock) {
		this._startedMs = _clock.nowMs();
	}

	get waiting(): number {
		return this._waiting.size;
	}

	/** A configuration is known. */
	open(): void {
		this._isOpen = true;
		for (const pass of this._waiting) {
			pass();
		}
	}

	/** Resolves when a configuration is known, or when waiting for it is no longer worth it. */
	async passed(callerWaitMs: number): Promise<void> {
		const leftMs = this._startedMs + startupMs - this._clock.nowMs();
		const waitMs = Math.min(leftMs, longestWaitMs, callerWaitMs * waitShare);
		if (this._isOpen || waitMs <= 0 || this._waiting.size >= waitingLimit) {
			return;
		}

		await new Promise<void>(resolve => {
			const pass = () => {
				clearTimeout(timer);
				this._waiting.delete(pass);
				resolve();
			};

			const timer = setTimeout(pass, waitMs);
			this._waiting.add(pass);
		});
	}
}
