import type {VmId, WithoutTime} from '../core/types.js';
import {SeededRandom} from '../core/random.js';
import type {ConsensusMessage} from './messages.js';
import type {ConsensusState} from './state.js';
import type {
	ConsensusEffect, ConsensusEvent, ConsensusLimits, HardState, LogEntry, Member, PersistBatch, Snapshot, StoredState,
} from './types.js';
import {reduceConsensus} from './reducer.js';
import {createConsensus, currentMembers} from './state.js';

/** What the simulated disk of a VM holds; survives a crash of the process. */
type Disk = {
	diskId: string;
	hardState: HardState;
	snapshot: Snapshot | undefined;
	entries: readonly LogEntry[];
	latencyMs: number;
};

/** The state machine: a running digest of the commands. The padding makes snapshots span several chunks. */
type Machine = {readonly index: number; readonly digest: number; readonly padding: string};

type Process = {
	readonly vm: VmId;
	readonly state: ConsensusState;
	machine: Machine;
	/** Writes of a stopped process no longer complete. */
	isRunning: boolean;
};

export type NetworkFaults = {
	readonly drop: number;
	readonly duplicate: number;
	/** Probability of a delay of up to `maxDelayMs`, which reorders messages. */
	readonly delay: number;
	readonly maxDelayMs: number;
};

export type ClusterOptions = {
	readonly size: number;
	readonly seed: number;
	readonly faults?: NetworkFaults;
	readonly limits?: Partial<ConsensusLimits>;
	readonly admitsNewVms?: boolean;
	/** Whether the VMs do not know each other at first. */
	readonly startsWithoutList?: boolean;
};

type Task = {readonly atMs: number; readonly order: number; readonly run: () => void};

const tickMs = 25;
const perfectNetwork: NetworkFaults = {
	drop: 0, duplicate: 0, delay: 0, maxDelayMs: 0,
};
const blankMachine: Machine = {index: 0, digest: 0, padding: ''};
/** Small values, so that short runs reach every limit. */
const testLimits: Partial<ConsensusLimits> = {
	maxBatchEntries: 4, maxInFlight: 3, snapshotChunkBytes: 512, snapshotEvery: 30, retainedEntries: 10,
};

/** Members of one replicated log on a virtual clock and a simulated network and disk; checks safety after every step. */
export class TestCluster {
	nowMs = 0;
	/** Set by tests that inject a fault that must stop a member. */
	mayHalt = false;
	faults: NetworkFaults;
	readonly vms: VmId[];
	readonly disks = new Map<VmId, Disk>();
	/** Called for every message sent. */
	onSend: ((from: VmId, to: VmId, message: ConsensusMessage) => void) | undefined;
	readonly processes = new Map<VmId, Process>();
	/** Directed links that lose every message, as `from>to`. */
	readonly blocked = new Set<string>();
	readonly effects: Array<{readonly vm: VmId; readonly effect: ConsensusEffect}> = [];
	/** Tokens whose proposal was reported committed. */
	readonly acknowledged = new Set<number>();

	private readonly _random: SeededRandom;
	private readonly _limits: Partial<ConsensusLimits>;
	private readonly _initialVms: readonly VmId[];
	private readonly _admitsNewVms: boolean;
	private readonly _tasks: Task[] = [];
	private _order = 0;
	private _nextToken = 1;
	private _nextDisk = 1;
	/** Every disk there ever was, by its id. */
	private readonly _allDisks = new Map<string, Disk>();
	private readonly _leaders = new Map<number, string>();
	/** Entry and digest that the first member applied at each index. */
	private readonly _committed = new Map<number, {readonly command: string; readonly digest: number}>();
	/** Term and payload of committed entries. */
	private readonly _entries = new Map<number, string>();
	private _highestAcknowledged = 0;
	private readonly _readFloors = new Map<number, number>();

	constructor({
		size, seed, faults, limits, admitsNewVms = false, startsWithoutList = false,
	}: ClusterOptions) {
		this._random = new SeededRandom(seed);
		this._limits = {...testLimits, ...limits};
		this.faults = faults ?? perfectNetwork;
		this.vms = Array.from({length: size}, (_, i) => `vm${i + 1}`);
		this._initialVms = startsWithoutList ? [] : [...this.vms];
		this._admitsNewVms = admitsNewVms;
		for (const vm of this.vms) {
			this.restart(vm);
		}
	}

	/** Lets virtual time pass. */
	run(durationMs: number): void {
		const endMs = this.nowMs + durationMs;
		while (this._tasks.length > 0 && this._tasks[0]!.atMs <= endMs) {
			const task = this._tasks.shift()!;
			this.nowMs = task.atMs;
			task.run();
		}

		this.nowMs = endMs;
	}

	/** Lets time pass until the condition holds; throws after `limitMs`. */
	runUntil(condition: () => boolean, limitMs = 10_000): void {
		const endMs = this.nowMs + limitMs;
		while (!condition()) {
			if (this.nowMs >= endMs) {
				throw new Error(`condition not reached within ${limitMs} ms`);
			}

			this.run(1);
		}
	}

	state(vm: VmId): ConsensusState {
		return this.processes.get(vm)!.state;
	}

	/** The leader of the highest term among running members. */
	leader(): VmId | undefined {
		const leaders = [...this.processes.values()].filter(({isRunning, state}) => isRunning && state.role === 'leader');
		return leaders.sort((a, b) => b.state.hard.term - a.state.hard.term)[0]?.vm;
	}

	/** Lets time pass until one member leads, and returns it. */
	elect(): VmId {
		this.runUntil(() => this.leader() !== undefined && this.state(this.leader()!).hard.commit >= this.state(this.leader()!).termStart);
		return this.leader()!;
	}

	/** Proposes at `vm` and returns the token. */
	propose(vm: VmId, command?: unknown): number {
		const token = this._nextToken++;
		this.dispatch(vm, {type: 'consensus/propose', token, command: command ?? `command-${token}`});
		return token;
	}

	read(vm: VmId, mayWait = false): number {
		const token = this._nextToken++;
		this._readFloors.set(token, this._highestAcknowledged);
		this.dispatch(vm, {type: 'consensus/read', token, mayWait});
		return token;
	}

	changeMembers(vm: VmId, change: Extract<ConsensusEvent, {type: 'consensus/change-members'}>['change']): number {
		const token = this._nextToken++;
		this.dispatch(vm, {type: 'consensus/change-members', token, change});
		return token;
	}

	/** The types of the effects that answered the token. */
	answers(token: number): string[] {
		return this.effects.filter(({effect}) => 'token' in effect && effect.token === token).map(({effect}) => effect.type);
	}

	/** Stops the process; writes that are not on disk are lost. */
	crash(vm: VmId): void {
		const process = this.processes.get(vm);
		if (process) {
			process.isRunning = false;
		}
	}

	/** Starts the process from what its disk holds. */
	restart(vm: VmId): void {
		this.crash(vm);
		const disk = this.disks.get(vm) ?? this._newDisk();
		this._allDisks.set(disk.diskId, disk);
		this.disks.set(vm, disk);
		if (!this.vms.includes(vm)) {
			this.vms.push(vm);
		}

		const stored: StoredState = {...disk};
		const process: Process = {
			vm,
			isRunning: true,
			machine: blankMachine,
			state: createConsensus({
				vm, stored, initialVms: this._initialVms, admitsNewVms: this._admitsNewVms, seed: this._random.integer(0, 1_000_000_000), limits: this._limits,
			}),
		};
		this.processes.set(vm, process);
		this._scheduleTick(process, this._random.integer(0, tickMs));
	}

	/** Replaces the disk by an empty one and restarts. */
	wipe(vm: VmId): void {
		this.disks.delete(vm);
		this.restart(vm);
	}

	/** Blocks the links between the VM and all others; only those from the VM if `direction` is `out`, only those to it if `in`. */
	isolate(vm: VmId, direction: 'both' | 'in' | 'out' = 'both'): void {
		for (const other of this.vms.filter(name => name !== vm)) {
			if (direction !== 'in') {
				this.blocked.add(`${vm}>${other}`);
			}

			if (direction !== 'out') {
				this.blocked.add(`${other}>${vm}`);
			}
		}
	}

	/** Ends all faults and starts every stopped process. */
	heal(): void {
		this.blocked.clear();
		this.faults = perfectNetwork;
		for (const vm of this.vms) {
			this.disks.get(vm)!.latencyMs = 1;
			const process = this.processes.get(vm)!;
			if (!process.isRunning || process.state.role === 'halted') {
				this.restart(vm);
			}
		}
	}

	/** Members in force on the running process that has applied most. */
	members(): readonly Member[] {
		const running = [...this.processes.values()].filter(({isRunning}) => isRunning);
		const [best] = running.sort((a, b) => b.state.hard.commit - a.state.hard.commit);
		return best ? currentMembers(best.state) : [];
	}

	/** Whether a quorum of intact disks remains without the VM, in every membership that some member believes to be in force. */
	canLose(vm: VmId): boolean {
		return [...this.processes.values()].every(({state}) => {
			const admitted = currentMembers(state).filter(({role}) => role === 'voter');
			const intact = admitted.filter(member => member.vm !== vm && this.disks.get(member.vm)?.diskId === member.diskId);
			return admitted.length === 0 || intact.length > admitted.length / 2;
		});
	}

	dispatch(vm: VmId, event: WithoutTime<ConsensusEvent>): void {
		const process = this.processes.get(vm)!;
		if (process.isRunning) {
			this._handle(process, event);
		}
	}

	private _newDisk(): Disk {
		return {
			diskId: `disk-${this._nextDisk++}`,
			hardState: {
				term: 0, votedFor: undefined, votedForDisk: undefined, cluster: undefined, commit: 0,
			},
			snapshot: undefined,
			entries: [],
			latencyMs: 1,
		};
	}

	private _schedule(delayMs: number, run: () => void): void {
		const task = {atMs: this.nowMs + delayMs, order: this._order++, run};
		let position = this._tasks.length;
		while (position > 0 && this._tasks[position - 1]!.atMs > task.atMs) {
			position--;
		}

		this._tasks.splice(position, 0, task);
	}

	private _scheduleTick(process: Process, delayMs: number): void {
		this._schedule(delayMs, () => {
			if (process.isRunning) {
				this._handle(process, {type: 'consensus/tick'});
				this._scheduleTick(process, tickMs);
			}
		});
	}

	private _handle(process: Process, event: WithoutTime<ConsensusEvent>): void {
		const effects = reduceConsensus(process.state, {...event, nowMs: this.nowMs});
		for (const effect of effects) {
			if (effect.type !== 'send' && effect.type !== 'count') {
				this.effects.push({vm: process.vm, effect});
			}

			this._execute(process, effect);
		}
	}

	private _execute(process: Process, effect: ConsensusEffect): void {
		switch (effect.type) {
			case 'send': {
				this._send(process.vm, effect.to, effect.message as unknown as ConsensusMessage);
				break;
			}

			case 'consensus/persist': {
				this._persist(process, effect.batch);
				break;
			}

			case 'consensus/save-snapshot': {
				this._saveSnapshot(process, effect.snapshot);
				break;
			}

			case 'consensus/take-snapshot': {
				const {machine} = process;
				this._schedule(5, () => {
					this._deliver(process, {type: 'consensus/snapshot-taken', index: effect.index, data: machine});
				});
				break;
			}

			case 'consensus/install': {
				process.machine = effect.data as Machine;
				this._checkInstall(effect.index, process.machine);
				break;
			}

			case 'consensus/committed': {
				this._apply(process, effect);
				break;
			}

			case 'consensus/read-ready': {
				this._checkRead(process, effect.token);
				break;
			}

			case 'consensus/role': {
				check(effect.role !== 'halted' || this.mayHalt, `${process.vm} halted without a storage fault`);
				if (effect.role === 'leader') {
					this._checkLeader(process, effect.term);
				}

				break;
			}

			case 'consensus/dropped':
			case 'consensus/members-committed':
			case 'consensus/read-failed':
			case 'count':
			case 'log':
			case 'notify':
			case 'reply': {
				break;
			}
		}
	}

	private _deliver(process: Process, event: WithoutTime<ConsensusEvent>): void {
		if (process.isRunning) {
			this._handle(process, event);
		}
	}

	private _send(from: VmId, to: VmId, message: ConsensusMessage): void {
		this._checkDurable(from, to, message);
		this.onSend?.(from, to, message);
		const {drop, duplicate, delay, maxDelayMs} = this.faults;
		const copies = this._random.next() < duplicate ? 2 : 1;
		for (let copy = 0; copy < copies; copy++) {
			const delayMs = this._random.next() < delay ? this._random.next() * maxDelayMs : 1;
			if (this._random.next() >= drop) {
				this._schedule(delayMs, () => {
					const process = this.processes.get(to);
					if (process && !this.blocked.has(`${from}>${to}`)) {
						this._deliver(process, {type: 'consensus/message', from, message});
					}
				});
			}
		}
	}

	/** A write reaches the disk shortly before the process learns of it, so a crash in between keeps it. */
	private _persist(process: Process, batch: PersistBatch): void {
		const disk = this.disks.get(process.vm)!;
		this._schedule(disk.latencyMs, () => {
			if (process.isRunning) {
				writeBatch(disk, batch);
				this._schedule(1, () => {
					this._deliver(process, {type: 'consensus/persisted', sequence: batch.sequence});
				});
			}
		});
	}

	private _saveSnapshot(process: Process, snapshot: Snapshot): void {
		const disk = this.disks.get(process.vm)!;
		this._schedule(disk.latencyMs, () => {
			if (process.isRunning) {
				const isContinued = disk.entries.some(({index, term}) => index === snapshot.index && term === snapshot.term);
				disk.entries = isContinued ? disk.entries.filter(({index}) => index > snapshot.index) : [];
				disk.snapshot = snapshot;
				this._schedule(1, () => {
					this._deliver(process, {type: 'consensus/snapshot-saved', index: snapshot.index});
				});
			}
		});
	}

	private _apply(process: Process, {index, command, token}: Extract<ConsensusEffect, {type: 'consensus/committed'}>): void {
		const {machine} = process;
		const text = JSON.stringify(command);
		check(index > machine.index, `${process.vm} applied ${index} after ${machine.index}`);
		const digest = digestOf(machine.digest, text);
		const known = this._committed.get(index);
		check(!known || (known.command === text && known.digest === digest), `${process.vm} applied ${text} at ${index}, not ${known?.command}`);
		this._committed.set(index, {command: text, digest});
		process.machine = {index, digest, padding: 'x'.repeat(1500)};
		const {term, payload} = process.state.log.at(index)!;
		this._entries.set(index, JSON.stringify([term, payload]));
		if (token !== undefined) {
			this._checkQuorum(process, index, term);
			this.acknowledged.add(token);
			this._highestAcknowledged = Math.max(this._highestAcknowledged, index);
		}
	}

	private _checkInstall(index: number, machine: Machine): void {
		const known = this._committed.get(machine.index);
		check(machine.index <= index && (machine.index === 0 || known?.digest === machine.digest), `snapshot ${index} differs from what was applied`);
	}

	private _checkRead({vm, machine}: Process, token: number): void {
		check(machine.index >= this._readFloors.get(token)!, `${vm} answered a read from ${machine.index}, but ${this._readFloors.get(token)} was acknowledged before`);
	}

	/** What a message promises is on the sender's disk. */
	private _checkDurable(from: VmId, to: VmId, message: ConsensusMessage): void {
		const disk = this.disks.get(from)!;
		const {term, votedFor, cluster} = disk.hardState;
		const hasVoted = (vm: VmId) => term > message.term || (term === message.term && votedFor === vm);
		if (message.type === 'consensus/vote') {
			check(hasVoted(from), `${from} asks for votes in term ${message.term} before its own vote is on disk`);
		}

		if (message.type === 'consensus/vote-reply' && message.granted) {
			check(hasVoted(to), `${from} votes for ${to} in term ${message.term} before the vote is on disk`);
		}

		if (message.type === 'consensus/append-reply' && message.ok) {
			check(message.match <= lastIndexOf(disk) && term >= message.term, `${from} acknowledges ${message.match} of term ${message.term} before it is on disk`);
		}

		if (message.type === 'consensus/introduce-reply') {
			check(cluster === message.cluster, `${from} promises itself before that is on disk`);
		}
	}

	/** A quorum of admitted disks holds an acknowledged entry; they may have been lost since. */
	private _checkQuorum({vm, state}: Process, index: number, term: number): void {
		const admitted = currentMembers(state).filter(({role}) => role === 'voter');
		const holders = admitted.filter(({diskId}) => {
			const {snapshot, entries} = this._allDisks.get(diskId)!;
			return (snapshot?.index ?? 0) >= index || entries.some(entry => entry.index === index && entry.term === term);
		});
		check(holders.length > admitted.length / 2, `${vm} acknowledged ${index}, which ${holders.length} of ${admitted.length} disks hold`);
	}

	/** One leader per term, whose vote is on disk and which has every committed entry. */
	private _checkLeader({vm, state}: Process, term: number): void {
		const {hardState} = this.disks.get(vm)!;
		check(hardState.term === term && hardState.votedFor === vm, `${vm} leads term ${term} before its vote is on disk`);
		const identity = `${vm}/${state.diskId}`;
		check((this._leaders.get(term) ?? identity) === identity, `${this._leaders.get(term)} and ${identity} lead term ${term}`);
		this._leaders.set(term, identity);
		for (const [index, text] of this._entries) {
			const entry = state.log.at(index);
			const isKept = entry ? JSON.stringify([entry.term, entry.payload]) === text : index <= state.log.baseIndex;
			check(isKept, `leader ${vm} of term ${term} lacks committed entry ${index}`);
		}
	}
}

function lastIndexOf({snapshot, entries}: Disk): number {
	return entries.at(-1)?.index ?? snapshot?.index ?? 0;
}

function writeBatch(disk: Disk, {hardState, truncateFrom, entries}: PersistBatch): void {
	disk.hardState = hardState ?? disk.hardState;
	const end = Math.min(truncateFrom ?? Number.POSITIVE_INFINITY, entries[0]?.index ?? Number.POSITIVE_INFINITY);
	const kept = [...disk.entries.filter(({index}) => index < end), ...entries];
	const covered = disk.snapshot?.index ?? 0;
	disk.entries = kept.filter(({index}) => index > covered);
}

function digestOf(seed: number, text: string): number {
	let digest = seed;
	for (const character of text) {
		digest = ((digest * 31) + character.codePointAt(0)!) % 1_000_000_007;
	}

	return digest;
}

function check(condition: boolean, message: string): void {
	if (!condition) {
		throw new Error(`safety violated: ${message}`);
	}
}
