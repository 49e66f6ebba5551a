import {spawn} from 'node:child_process';
import type {ChildProcess} from 'node:child_process';
import {createWriteStream, existsSync, readFileSync} from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import {createInterface} from 'node:readline';
import type {Disposable} from '../common/core/disposable.js';
import {errorContext, TimeoutError, UpstreamError} from '../common/core/errors.js';

export type ProcessSignal = 'SIGTERM' | 'SIGKILL' | 'SIGSTOP' | 'SIGCONT';

/** Time between SIGTERM and SIGKILL when a process is disposed, in milliseconds. */
const stopTimeoutMs = 3000;

const runningChildren = new Set<ChildProcess>();

let areExitHandlersInstalled = false;

/** Installs handlers that kill all child processes when this process exits or receives SIGINT or SIGTERM. Does nothing if the handlers are already installed. */
function installExitHandlers(): void {
	if (areExitHandlersInstalled) {
		return;
	}

	areExitHandlersInstalled = true;
	process.on('exit', () => {
		for (const child of runningChildren) {
			child.kill('SIGKILL');
		}
	});
	for (const [signal, status] of [['SIGINT', 130], ['SIGTERM', 143]] as const) {
		process.once(signal, () => {
			process.exit(status);
		});
	}
}

/** Settles as `promise` does. Rejects with a `TimeoutError` that names the step and, if given, the peer if `promise` has not settled within `timeoutMs` milliseconds. */
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

/** A local child process whose output is appended to a log file. */
export class ManagedProcess implements Disposable {
	/** Resolves with the exit status, with the signal that ended the process, or with `not started` if the process could not be started. */
	readonly whenExited: Promise<number | string>;
	readonly logFile: string;
	private readonly _child: ChildProcess;
	private readonly _firstLine: Promise<string>;
	private _exitOutcome: number | string | undefined;

	constructor(readonly name: string, argv: readonly string[], logFolder: string) {
		installExitHandlers();
		this.logFile = path.join(logFolder, `${name}.log`);
		const log = createWriteStream(this.logFile, {flags: 'a'});
		const [command, ...args] = argv as [string, ...string[]];
		const child = spawn(command, args, {stdio: ['ignore', 'pipe', 'pipe']});
		this._child = child;
		runningChildren.add(child);
		child.stdout.pipe(log, {end: false});
		child.stderr.pipe(log, {end: false});
		this._firstLine = new Promise(resolve => {
			createInterface({input: child.stdout}).once('line', resolve);
		});
		this.whenExited = new Promise(resolve => {
			const handleEnd = (outcome: number | string): void => {
				runningChildren.delete(child);
				this._exitOutcome = outcome;
				resolve(outcome);
			};

			child.once('error', err => {
				log.write(String(err));
				handleEnd('not started');
			});
			child.once('close', (status, signal) => {
				log.end();
				handleEnd(status ?? signal ?? 'unknown');
			});
		});
	}

	get isRunning(): boolean {
		return this._exitOutcome === undefined;
	}

	get pid(): number | undefined {
		return this._child.pid;
	}

	signal(signal: ProcessSignal): void {
		this._child.kill(signal);
	}

	/** Resolves with the first line of standard output. Rejects if the process ends first or the timeout expires. */
	async firstLine(timeoutMs: number): Promise<string> {
		const ended = (async () => {
			const outcome = await this.whenExited;
			throw new UpstreamError(`process ended early with ${outcome}:\n${this.logTail()}`, errorContext({step: 'process.start', peer: this.name}));
		})();
		return withTimeout(Promise.race([this._firstLine, ended]), timeoutMs, 'process.start', this.name);
	}

	/** Returns the last `lines` lines of the log file, or an empty string if the file does not exist. */
	logTail(lines = 20): string {
		return existsSync(this.logFile) ? readFileSync(this.logFile, 'utf8').split('\n').slice(-lines).join('\n') : '';
	}

	/** Sends SIGTERM, followed by SIGKILL if the process has not ended within `stopTimeoutMs`. */
	async dispose(): Promise<void> {
		if (!this.isRunning) {
			return;
		}

		// A process suspended by SIGSTOP does not handle SIGTERM until it is resumed.
		this.signal('SIGCONT');
		this.signal('SIGTERM');
		try {
			await withTimeout(this.whenExited, stopTimeoutMs, 'process.stop', this.name);
		} catch {
			this.signal('SIGKILL');
			await this.whenExited;
		}
	}
}
