/** Model of processes that send requests to servers and share their quarantine, for tests. */
import {SeededRandom} from '../core/random.js';
import type {UntimedEvent, VmId} from '../core/types.js';
import {findBlock} from './blocks.js';
import {nextTickMs, reduceQuarantine} from './quarantine.js';
import {createQuarantine} from './state.js';
import type {QuarantineState} from './state.js';
import type {
	PartId, QuarantineEffect, QuarantineEvent, QuarantineNews, ServerId,
} from './types.js';

export type ModelRequest = {readonly name: string; readonly parts: readonly PartId[]};
export type ModelOptions = {
	readonly processes: number;
	readonly servers: number;
	readonly seed: number;
	/** Parts on which a server crashes when it begins to write. */
	readonly crashingParts?: readonly PartId[];
	/** Time from the sending of a request with such a part to the crash of its server, in milliseconds. */
	readonly crashAfterMs?: number;
	/** Whether requests are plain: short, and without output before their end. */
	readonly isPlain?: boolean;
	/** Whether callers whose request failed twice send it once more. */
	readonly doCallersReturn?: boolean;
	/** Share of the messages between processes that are lost. */
	readonly lossShare?: number;
};

/** Delay of a message between processes, of the first output, of a crash, of the discovery that a server is down, of a restart, and of the end of a stream, in milliseconds. */
const delaysMs = {
	message: 2, output: 150, crash: 60, discovery: 80, restart: 3000, completion: 2000, gossip: 500, plainCompletion: 100, return: 50,
};
const pushFanout = 3;

type Running = {readonly process: VmId; readonly attempt: number; readonly request: ModelRequest; readonly tries: number};
type ModelServer = {key: ServerId; isDown: boolean; readonly running: Set<Running>};

export class QuarantineModel {
	nowMs = 0;
	/** Times of the crashes that requests caused, by part. */
	readonly crashes: Array<{readonly part: PartId; readonly atMs: number}> = [];
	/** Requests that reached a server, and requests that were refused because of a block. */
	readonly sent: Array<{readonly request: ModelRequest; readonly atMs: number; /** Time for which the process had run, in milliseconds. */ readonly processAgeMs: number}> = [];
	readonly refused: Array<{readonly request: ModelRequest; readonly atMs: number}> = [];
	readonly logs: Array<{readonly process: VmId; readonly message: string; readonly fields: Readonly<Record<string, unknown>>}> = [];
	readonly processes = new Map<VmId, QuarantineState>();
	sentMessages = 0;
	/** Processes that no message leaves or reaches. */
	readonly cutOff = new Set<VmId>();
	readonly random: SeededRandom;
	private readonly _servers: ModelServer[];
	private readonly _timers: Array<{readonly atMs: number; readonly run: () => void}> = [];
	private readonly _startedMs = new Map<VmId, number>();
	private _next = 1;

	constructor(private readonly _options: ModelOptions) {
		this.random = new SeededRandom(_options.seed);
		this._servers = Array.from({length: _options.servers}, (_, i) => ({key: `s${i}`, isDown: false, running: new Set()}));
		for (let i = 0; i < _options.processes; i++) {
			this.startProcess(`vm${i}`);
		}
	}

	/** Starts a process, or replaces one that has lost its state; it asks another process for a page of the member list. */
	startProcess(vm: VmId): void {
		const others = [...this.processes.keys()].filter(other => other !== vm);
		const state = createQuarantine({self: vm, idPrefix: `${vm}.${this._next++}`, seed: this._next});
		this.processes.set(vm, state);
		this._startedMs.set(vm, this.nowMs);
		if (others.length > 0) {
			this._gossip(this.random.pick(others), vm, true);
		}

		this._schedule(this.random.integer(0, delaysMs.gossip), () => {
			this._gossipRegularly(vm, state, 0);
		});
	}

	dispatch(vm: VmId, event: UntimedEvent<QuarantineEvent>): void {
		const state = this.processes.get(vm)!;
		for (const effect of reduceQuarantine(state, {...event, nowMs: this.nowMs})) {
			this._execute(vm, effect);
		}

		const tickMs = nextTickMs(state);
		if (tickMs < Infinity) {
			this._schedule(Math.max(1, tickMs - this.nowMs), () => {
				if (this.processes.get(vm) === state && nextTickMs(state) <= this.nowMs) {
					this.dispatch(vm, {type: 'quarantine/tick'});
				}
			});
		}
	}

	/** Sends a request to a random server that is up, at a random process, unless it is refused there. */
	send(request: ModelRequest, {process = this.random.pick([...this.processes.keys()]), tries = 0}: {process?: VmId; tries?: number} = {}): void {
		const block = findBlock(this.processes.get(process)!, request.parts, this.nowMs);
		if (block) {
			this.refused.push({request, atMs: this.nowMs});
			this.dispatch(process, {type: 'quarantine/refused', parts: block.parts});
			return;
		}

		const up = this._servers.filter(({isDown}) => !isDown);
		if (up.length === 0) {
			return;
		}

		this.sent.push({request, atMs: this.nowMs, processAgeMs: this.nowMs - this._startedMs.get(process)!});
		const server = this.random.pick(up);
		const state = this.processes.get(process);
		const running = {
			process, attempt: this._next++, request, tries,
		};
		server.running.add(running);
		this.dispatch(process, {
			type: 'quarantine/attempt-started', attempt: running.attempt, server: server.key, requestId: request.name, parts: request.parts,
		});
		const whileRunning = (delayMs: number, run: () => void) => {
			this._schedule(delayMs, () => {
				if (server.running.has(running) && this.processes.get(process) === state) {
					run();
				}
			});
		};

		const {isPlain = false} = this._options;
		whileRunning(isPlain ? Infinity : delaysMs.output + this.random.integer(0, delaysMs.output), () => {
			this.dispatch(process, {type: 'quarantine/attempt-produced', attempt: running.attempt});
		});
		const crashingPart = this._options.crashingParts?.find(part => request.parts.includes(part));
		if (crashingPart !== undefined) {
			whileRunning(this._options.crashAfterMs ?? delaysMs.crash, () => {
				this.crashes.push({part: crashingPart, atMs: this.nowMs});
				this.crashServer(server);
			});
			return;
		}

		whileRunning(isPlain ? this.random.integer(delaysMs.plainCompletion / 5, delaysMs.plainCompletion) : delaysMs.completion, () => {
			server.running.delete(running);
			this.dispatch(process, {type: 'quarantine/attempt-ended', attempt: running.attempt, outcome: 'completed'});
		});
	}

	/** Ends a server with everything that runs on it; requests are tried once more elsewhere. */
	crashServer(server = this.random.pick(this._servers)): void {
		const {key} = server;
		const running = [...server.running];
		server.running.clear();
		server.isDown = true;
		server.key = `s${this._next++}`;
		this._schedule(delaysMs.restart, () => {
			server.isDown = false;
		});
		for (const vm of this.processes.keys()) {
			this._schedule(this.random.integer(0, delaysMs.discovery), () => {
				this.dispatch(vm, {type: 'quarantine/server-lost', server: key});
			});
		}

		for (const {process, attempt, request, tries} of running.filter(({process}) => this.processes.has(process))) {
			this.dispatch(process, {type: 'quarantine/attempt-ended', attempt, outcome: 'broken'});
			if (tries % 2 === 0) {
				this.send(request, {process, tries: tries + 1});
			} else if (tries === 1 && this._options.doCallersReturn) {
				this._schedule(delaysMs.return, () => {
					this.send(request, {tries: 2});
				});
			}
		}
	}

	/** Ends every server on which a request runs. */
	crashRunning(): void {
		for (const server of this._servers.filter(({running}) => running.size > 0)) {
			this.crashServer(server);
		}
	}

	/** Advances the time, and calls `onStep` every `stepMs` milliseconds. */
	run(durationMs: number, stepMs = durationMs, onStep?: () => void): void {
		const endMs = this.nowMs + durationMs;
		for (let stepAtMs = this.nowMs; stepAtMs < endMs; stepAtMs += stepMs) {
			this._advance(stepAtMs);
			onStep?.();
		}

		this._advance(endMs);
	}

	private _advance(toMs: number): void {
		for (let next = this._timers.at(-1); next && next.atMs <= toMs; next = this._timers.at(-1)) {
			this._timers.pop();
			this.nowMs = Math.max(this.nowMs, next.atMs);
			next.run();
		}

		this.nowMs = toMs;
	}

	private _schedule(delayMs: number, run: () => void): void {
		const atMs = this.nowMs + delayMs;
		const index = this._timers.findLastIndex(timer => timer.atMs > atMs);
		this._timers.splice(index + 1, 0, {atMs, run});
	}

	private _execute(vm: VmId, effect: QuarantineEffect): void {
		if (effect.type === 'log') {
			this.logs.push({process: vm, message: effect.message, fields: effect.fields ?? {}});
		}

		if (effect.type === 'send') {
			this._deliver(vm, effect.to, effect.message as QuarantineNews);
		}

		if (effect.type === 'quarantine/push') {
			this._push(vm, effect.news);
		}
	}

	private _push(from: VmId, news: QuarantineNews): void {
		const others = [...this.processes.keys()].filter(vm => vm !== from);
		for (let i = 0; i < pushFanout && others.length > 0; i++) {
			this._deliver(from, others.splice(this.random.integer(0, others.length), 1)[0]!, news);
		}
	}

	private _deliver(from: VmId, to: VmId, news: QuarantineNews): void {
		this.sentMessages++;
		if (this.cutOff.has(from) || this.cutOff.has(to) || this.random.next() < (this._options.lossShare ?? 0)) {
			return;
		}

		this._schedule(delaysMs.message, () => {
			if (this.processes.has(to)) {
				this.dispatch(to, {type: 'quarantine/news', from, news});
			}
		});
	}

	private _gossipRegularly(vm: VmId, state: QuarantineState, round: number): void {
		if (this.processes.get(vm) !== state) {
			return;
		}

		const others = [...this.processes.keys()].filter(other => other !== vm);
		if (others.length > 0) {
			// A ping and its acknowledgement, and now and then a page of the member list.
			const other = this.random.pick(others);
			this._gossip(vm, other, false);
			this._gossip(other, vm, round % 10 === 0);
		}

		this._schedule(delaysMs.gossip, () => {
			this._gossipRegularly(vm, state, round + 1);
		});
	}

	private _gossip(from: VmId, to: VmId, isFull: boolean): void {
		this.dispatch(from, {
			type: 'quarantine/gossip', to, memberCount: this.processes.size, isFull,
		});
	}
}
