import type {Disposable} from '../src/common/core/disposable.js';

type Job = {readonly priority: number; readonly tokens: number; readonly onComputed: () => void; isCancelled: boolean};

/** Maximum number of prefills that wait at an engine. While that many prefills wait, the engine refuses new ones. */
const maxWaitingJobs = 32;

/** Runs prefills one at a time, the lowest priority number first. The duration of a prefill depends on the number of its uncached prompt tokens. */
export class PrefillQueue implements Disposable {
	private readonly _waitingJobs: Job[] = [];
	private _runningJob: Job | undefined;
	private _timer: NodeJS.Timeout | undefined;

	/** `_durationMs` returns the duration of a prefill in milliseconds for a number of uncached tokens. */
	constructor(private readonly _durationMs: (tokens: number) => number) {}

	get isFull(): boolean {
		return this._waitingJobs.length >= maxWaitingJobs;
	}

	/** Number of uncached tokens in the waiting prefills and the running one. */
	get queuedTokens(): number {
		return this._waitingJobs.reduce((sum, job) => sum + job.tokens, this._runningJob?.tokens ?? 0);
	}

	/** Queues a prefill of `tokens` uncached tokens; `onComputed` is called once the prefill has been computed. Returns a function that cancels the prefill. */
	add(priority: number, tokens: number, onComputed: () => void): () => void {
		const job: Job = {
			priority, tokens, onComputed, isCancelled: false,
		};
		const followerIndex = this._waitingJobs.findIndex(other => other.priority > priority);
		this._waitingJobs.splice(followerIndex === -1 ? this._waitingJobs.length : followerIndex, 0, job);
		this._startNext();
		return () => {
			this._cancel(job);
		};
	}

	dispose(): void {
		clearTimeout(this._timer);
		this._waitingJobs.length = 0;
	}

	private _cancel(job: Job): void {
		job.isCancelled = true;
		const index = this._waitingJobs.indexOf(job);
		if (index !== -1) {
			this._waitingJobs.splice(index, 1);
		}

		if (this._runningJob === job) {
			this._finishRunning();
		}
	}

	private _startNext(): void {
		if (this._runningJob) {
			return;
		}

		const job = this._waitingJobs.shift();
		if (job) {
			this._runningJob = job;
			this._timer = setTimeout(() => {
				this._finishRunning();
			}, this._durationMs(job.tokens));
		}
	}

	private _finishRunning(): void {
		const job = this._runningJob;
		clearTimeout(this._timer);
		this._runningJob = undefined;
		if (job && !job.isCancelled) {
			job.onComputed();
		}

		this._startNext();
	}
}
