import {spawn} from 'node:child_process';
import type {ChildProcess} from 'node:child_process';
import {createWriteStream, existsSync, readFileSync} from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import {createInterface} from 'node:readline';
import type {Disposable} from '../common/core/disposable.js';
import {errorContext, TimeoutError, UpstreamError} from '../common/core/errors.js';

export type ProcessSignal = 'SIGTERM' | 'SIGKILL' | 'SIGSTOP' | 'SIGCONT';

/** How long a process may take to end after SIGTERM before it is killed, in milliseconds. */
const stopTimeoutMs = 3000;

const running = new Set<ChildProcess>();

let guardsExit = false;

/** Makes sure that neither a crash nor a signal of this process leaves children behind. */
function guardExit(): void {
	if (guardsExit) {
		return;
	}

	guardsExit = true;
	process.on('exit', () => {
		for (const child of running) {
			child.kill('SIGKILL');
		}
	});
	for (const [signal, status] of [['SIGINT', 130], ['SIGTERM', 143]] as const) {
		process.once(signal, () => {
			process.exit(status);
		});
	}
}

/** Resolves when `promise` does, or rejects after the time with an error that names the step. */
export async function withTimeout<T>(promise: Promise<T>, timeoutMs: number, step: string, peer?: string): Promise<T> {
	let timer: NodeJS.Timeout | undefined;
	const timeout = new Promise<never>((_resolve, reject) => {
		timer = setTimeout(() => {
			reject(new TimeoutError(`no result within ${timeoutMs} ms`, errorContext({step, ...(peer !== undefined && {peer})})));
		}, timeoutMs);
	});
	try {
		return await Promise.race([promise, timeout]);
	} finally {
		clearTimeout(timer);
	}
}

/** One process on this machine, with its output in a log file. */
export class ManagedProcess implements Disposable {
	/** Exit status, or the signal that ended the process. */
	readonly exited: Promise<number | string>;
	readonly logFile: string;
	private readonly _child: ChildProcess;
	private readonly _firstLine: Promise<string>;
	private _exit: number | string | undefined;

	constructor(readonly name: string, argv: readonly string[], logFolder: string) {
		guardExit();
		this.logFile = path.join(logFolder, `${name}.log`);
		const log = createWriteStream(this.logFile, {flags: 'a'});
		const [command, ...args] = argv as [string, ...string[]];
		const child = spawn(command, args, {stdio: ['ignore', 'pipe', 'pipe']});
		this._child = child;
		running.add(child);
		child.stdout.pipe(log, {end: false});
		child.stderr.pipe(log, {end: false});
		this._firstLine = new Promise(resolve => {
			createInterface({input: child.stdout}).once('line', resolve);
		});
		this.exited = new Promise(resolve => {
			const end = (outcome: number | string): void => {
				running.delete(child);
				this._exit = outcome;
				resolve(outcome);
			};

			child.once('error', err => {
				log.write(String(err));
				end('not started');
			});
			child.once('close', (status, signal) => {
				log.end();
				end(status ?? signal ?? 'unknown');
			});
		});
	}

	get isRunning(): boolean {
		return this._exit === undefined;
	}

	get pid(): number | undefined {
		return this._child.pid;
	}

	signal(signal: ProcessSignal): void {
		this._child.kill(signal);
	}

	/** First line of the standard output; rejects when the process ends before. */
	async firstLine(timeoutMs: number): Promise<string> {
		const ended = (async () => {
			const outcome = await this.exited;
			throw new UpstreamError(`process ended early with ${outcome}:\n${this.logTail()}`, errorContext({step: 'process.start', peer: this.name}));
		})();
		return withTimeout(Promise.race([this._firstLine, ended]), timeoutMs, 'process.start', this.name);
	}

	/** The last lines of the log. */
	logTail(lines = 20): string {
		return existsSync(this.logFile) ? readFileSync(this.logFile, 'utf8').split('\n').slice(-lines).join('\n') : '';
	}

	/** Sends SIGTERM, and SIGKILL when the process does not end in time. */
	async dispose(): Promise<void> {
		if (!this.isRunning) {
			return;
		}

		// A stopped process does not see SIGTERM until it continues.
		this.signal('SIGCONT');
		this.signal('SIGTERM');
		try {
			await withTimeout(this.exited, stopTimeoutMs, 'process.stop', this.name);
		} catch {
			this.signal('SIGKILL');
			await this.exited;
		}
	}
}
