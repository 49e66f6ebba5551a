import type {Disposable} from '../src/common/core/disposable.js';

type Job = {readonly priority: number; readonly tokens: number; readonly run: () => void; isCancelled: boolean};

/** Prefills waiting at an engine beyond this number are refused. */
const maxWaiting = 32;

/** Runs prefills one at a time, the most urgent first; the time depends on the tokens that are not cached. */
export class PrefillQueue implements Disposable {
	private readonly _waiting: Job[] = [];
	private _running: Job | undefined;
	private _timer: NodeJS.Timeout | undefined;

	/** `costMs` gives the time of a prefill from its uncached tokens. */
	constructor(private readonly _costMs: (tokens: number) => number) {}

	get isFull(): boolean {
		return this._waiting.length >= maxWaiting;
	}

	get queuedTokens(): number {
		return this._waiting.reduce((sum, job) => sum + job.tokens, this._running?.tokens ?? 0);
	}

	/** Queues a prefill; `run` is called once it has been computed. Returns a function that cancels it. */
	add(priority: number, tokens: number, run: () => void): () => void {
		const job: Job = {
			priority, tokens, run, isCancelled: false,
		};
		const behind = this._waiting.findIndex(other => other.priority > priority);
		this._waiting.splice(behind === -1 ? this._waiting.length : behind, 0, job);
		this._next();
		return () => {
			this._cancel(job);
		};
	}

	dispose(): void {
		clearTimeout(this._timer);
		this._waiting.length = 0;
	}

	private _cancel(job: Job): void {
		job.isCancelled = true;
		const index = this._waiting.indexOf(job);
		if (index !== -1) {
			this._waiting.splice(index, 1);
		}

		if (this._running === job) {
			this._finish();
		}
	}

	private _next(): void {
		if (this._running) {
			return;
		}

		const job = this._waiting.shift();
		if (job) {
			this._running = job;
			this._timer = setTimeout(() => {
				this._finish();
			}, this._costMs(job.tokens));
		}
	}

	private _finish(): void {
		const job = this._running;
		clearTimeout(this._timer);
		this._running = undefined;
		if (job && !job.isCancelled) {
			job.run();
		}

		this._next();
	}
}
