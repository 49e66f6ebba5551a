import type {VmId, UntimedEvent} from '../core/types.js';
import {SeededRandom} from '../core/random.js';
import type {ConsensusMessage} from './messages.js';
import type {ConsensusState} from './state.js';
import type {
	ConsensusEffect, ConsensusEvent, ConsensusLimits, HardState, LogEntry, Member, PersistBatch, Snapshot, StoredState,
} from './types.js';
import {reduceConsensus} from './reducer.js';
import {confirmationSequence, createConsensusState, currentMembers} from './state.js';

/** Contents of the simulated disk of a VM, which survive a crash of the process. */
type Disk = {
	diskId: string;
	hardState: HardState;
	snapshot: Snapshot | undefined;
	entries: readonly LogEntry[];
	latencyMs: number;
	/** Whether the disk refuses all writes, as a full one does. The storage repeats them until the disk accepts them. */
	isRefusing: boolean;
};

/** State of a state machine that keeps a running digest of the commands. The padding makes snapshots span several chunks. */
type StateMachine = {readonly index: number; readonly digest: number; readonly padding: string};

type MemberProcess = {
	readonly vm: VmId;
	readonly state: ConsensusState;
	stateMachine: StateMachine;
	/** Whether the process is running; false after a crash. The outstanding writes of a stopped process never complete. */
	isRunning: boolean;
	/** Writes that the disk has not accepted yet, oldest first. */
	readonly pendingWrites: Array<() => void>;
	/** Events that wait until the process continues; undefined while it is not paused. */
	pausedEvents: Array<UntimedEvent<ConsensusEvent>> | undefined;
};

export type NetworkFaults = {
	readonly dropProbability: number;
	readonly duplicateProbability: number;
	/** Probability that a message is delayed by up to `maxDelayMs`. Delays reorder messages. */
	readonly delayProbability: number;
	readonly maxDelayMs: number;
};

export type ClusterOptions = {
	readonly size: number;
	readonly seed: number;
	readonly faults?: NetworkFaults;
	readonly limits?: Partial<ConsensusLimits>;
	readonly managesMembers?: boolean;
	readonly minVoters?: number;
	/** Whether the VMs start with an empty list of initial VMs. */
	readonly startsWithoutInitialVms?: boolean;
};

type Task = {readonly atMs: number; readonly order: number; readonly run: () => void};

const tickMs = 25;
/** Pause before a write that the disk refused is repeated, in ms. */
const refusalPauseMs = 200;
/** Interval between proposals and reads under load, in ms. */
const loadIntervalMs = 30;
const perfectNetwork: NetworkFaults = {
	dropProbability: 0, duplicateProbability: 0, delayProbability: 0, maxDelayMs: 0,
};
const initialStateMachine: StateMachine = {index: 0, digest: 0, padding: ''};
/** Limits that are so small that short runs reach all of them. */
const testLimits: Partial<ConsensusLimits> = {
	maxBatchEntries: 4, maxInFlightMessages: 3, snapshotChunkBytes: 512, snapshotIntervalEntries: 30, retainedEntries: 10,
};

/**
Runs the members of one replicated log on a virtual clock with simulated networks and disks, and checks safety at
every step.
*/
export class TestCluster {
	nowMs = 0;
	/** Whether members may halt; set by tests that inject a storage fault. */
	mayHalt = false;
	faults: NetworkFaults;
	readonly vms: VmId[];
	readonly disks = new Map<VmId, Disk>();
	/** Called for every message that a member sends, even if the message is then lost. */
	onSend: ((from: VmId, to: VmId, message: ConsensusMessage) => void) | undefined;
	readonly processes = new Map<VmId, MemberProcess>();
	/** Directed links that drop every message, written as `from>to`. */
	readonly blockedLinks = new Set<string>();
	readonly effects: Array<{readonly vm: VmId; readonly effect: ConsensusEffect}> = [];
	/** Tokens of the proposals that were reported as committed. */
	readonly acknowledgedTokens = new Set<number>();

	private readonly _random: SeededRandom;
	private readonly _limits: Partial<ConsensusLimits>;
	private readonly _initialVms: readonly VmId[];
	private readonly _managesMembers: boolean;
	private readonly _minVoters: number | undefined;
	private readonly _tasks: Task[] = [];
	private _nextTaskOrder = 0;
	private _nextToken = 1;
	private _nextDisk = 1;
	private _nextVm: number;
	/** All disks of this run, including replaced ones, by disk id. */
	private readonly _disksById = new Map<string, Disk>();
	private readonly _leaderByTerm = new Map<number, string>();
	/** Command and resulting digest of each applied log index, which must be the same on every member. */
	private readonly _appliedByIndex = new Map<number, {readonly command: string; readonly digest: number}>();
	/** Term and payload of each committed entry as JSON, by index. */
	private readonly _committedEntries = new Map<number, string>();
	private _highestAcknowledgedIndex = 0;
	private readonly _minReadIndexByToken = new Map<number, number>();

	constructor({
		size, seed, faults, limits, managesMembers = false, minVoters, startsWithoutInitialVms = false,
	}: ClusterOptions) {
		this._random = new SeededRandom(seed);
		this._limits = {...testLimits, ...limits};
		this.faults = faults ?? perfectNetwork;
		this.vms = Array.from({length: size}, (_, i) => `vm${i + 1}`);
		this._nextVm = size + 1;
		this._initialVms = startsWithoutInitialVms ? [] : [...this.vms];
		this._managesMembers = managesMembers;
		this._minVoters = minVoters;
		for (const vm of this.vms) {
			this.restart(vm);
		}
	}

	/** Advances virtual time and runs the tasks that are due. */
	run(durationMs: number): void {
		const endMs = this.nowMs + durationMs;
		while (this._tasks.length > 0 && this._tasks[0]!.atMs <= endMs) {
			const task = this._tasks.shift()!;
			this.nowMs = task.atMs;
			task.run();
		}

		this.nowMs = endMs;
	}

	/** Advances virtual time while each member that considers itself the leader gets a proposal and a read every `loadIntervalMs`. */
	runWithLoad(durationMs: number): void {
		const endMs = this.nowMs + durationMs;
		while (this.nowMs < endMs) {
			for (const [vm, {isRunning, state}] of this.processes) {
				if (isRunning && state.role === 'leader') {
					this.propose(vm);
					this.read(vm);
				}
			}

			this.run(Math.min(loadIntervalMs, endMs - this.nowMs));
		}
	}

	/** Advances virtual time until the condition holds. Throws if the condition does not hold within `limitMs`. */
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

	/** Returns the leader of the highest term among the running members, or undefined if no running member is a leader. */
	leader(): VmId | undefined {
		const leaders = [...this.processes.values()].filter(({isRunning, state}) => isRunning && state.role === 'leader');
		return leaders.sort((a, b) => b.state.hardState.term - a.state.hardState.term)[0]?.vm;
	}

	/** Advances virtual time until a leader has committed an entry of its term, and returns the leader. */
	elect(): VmId {
		this.runUntil(() => this.leader() !== undefined && this.state(this.leader()!).hardState.commit >= this.state(this.leader()!).termStartIndex);
		return this.leader()!;
	}

	/** Proposes a command at `vm` and returns its token. */
	propose(vm: VmId, command?: unknown): number {
		const token = this._nextToken++;
		this.dispatch(vm, {type: 'consensus/propose', token, command: command ?? `command-${token}`});
		return token;
	}

	/** Proposes commands to the leader until one is committed. Throws if that takes longer than `limitMs`. */
	commitCommand(limitMs = 10_000): void {
		const tokens: number[] = [];
		this.runUntil(() => {
			const leader = this.leader();
			tokens.push(...(leader === undefined ? [] : [this.propose(leader)]));
			return tokens.some(token => this.acknowledgedTokens.has(token));
		}, limitMs);
	}

	read(vm: VmId, mayWait = false): number {
		const token = this._nextToken++;
		this._minReadIndexByToken.set(token, this._highestAcknowledgedIndex);
		this.dispatch(vm, {type: 'consensus/read', token, mayWait});
		return token;
	}

	changeMembers(vm: VmId, change: Extract<ConsensusEvent, {type: 'consensus/change-members'}>['change']): number {
		const token = this._nextToken++;
		this.dispatch(vm, {type: 'consensus/change-members', token, change});
		return token;
	}

	/** Returns the types of the effects that carry the token. */
	answers(token: number): string[] {
		return this.effects.filter(({effect}) => 'token' in effect && effect.token === token).map(({effect}) => effect.type);
	}

	/** Stops the process. Writes that are not on disk are lost. */
	crash(vm: VmId): void {
		const process = this.processes.get(vm);
		if (process) {
			process.isRunning = false;
		}
	}

	/** Starts the process from the contents of its disk, or on an empty disk if it has none. */
	restart(vm: VmId): void {
		this.crash(vm);
		const disk = this.disks.get(vm) ?? this._newDisk();
		this._disksById.set(disk.diskId, disk);
		this.disks.set(vm, disk);
		if (!this.vms.includes(vm)) {
			this.vms.push(vm);
		}

		const stored: StoredState = {...disk};
		const process: MemberProcess = {
			vm,
			isRunning: true,
			pendingWrites: [],
			pausedEvents: undefined,
			stateMachine: initialStateMachine,
			state: createConsensusState({
				vm, stored, initialVms: this._initialVms, managesMembers: this._managesMembers, ...(this._minVoters !== undefined && {minVoters: this._minVoters}), seed: this._random.integer(0, 1_000_000_000), limits: this._limits,
			}),
		};
		this.processes.set(vm, process);
		this._scheduleTick(process, this._random.integer(0, tickMs));
		this._write(process, () => {
			// What was loaded is on disk already; the simulation loses no writes.
		}, {type: 'consensus/persisted', sequence: confirmationSequence});
		if (this._managesMembers) {
			this._announcePeers();
		}
	}

	/** Takes the VM and its disk away for good. */
	discard(vm: VmId): void {
		this.crash(vm);
		this.processes.delete(vm);
		this.disks.delete(vm);
		this.vms.splice(this.vms.indexOf(vm), 1);
		this._announcePeers();
	}

	/** Starts a new VM with an empty disk and returns its name. */
	addVm(): VmId {
		const vm = `vm${this._nextVm++}`;
		this.restart(vm);
		return vm;
	}

	/** Pauses the process, as a suspended VM would be. What arrives meanwhile is handled at once when it continues, ahead of its next tick. */
	pause(vm: VmId): void {
		const process = this.processes.get(vm);
		if (process) {
			process.pausedEvents ??= [];
		}
	}

	resume(vm: VmId): void {
		const process = this.processes.get(vm);
		const events = process?.pausedEvents ?? [];
		if (process) {
			process.pausedEvents = undefined;
		}

		for (const event of events) {
			this._deliver(process!, event);
		}
	}

	/** Replaces the disk by an empty one and restarts the process. */
	replaceDisk(vm: VmId): void {
		this.disks.delete(vm);
		this.restart(vm);
	}

	/** Blocks the links between the VM and all others: only the outgoing ones for `out`, only the incoming ones for `in`. */
	isolate(vm: VmId, direction: 'both' | 'in' | 'out' = 'both'): void {
		for (const other of this.vms.filter(name => name !== vm)) {
			if (direction !== 'in') {
				this.blockedLinks.add(`${vm}>${other}`);
			}

			if (direction !== 'out') {
				this.blockedLinks.add(`${other}>${vm}`);
			}
		}
	}

	/** Ends all faults and restarts every stopped or halted process. */
	heal(): void {
		this.blockedLinks.clear();
		this.faults = perfectNetwork;
		for (const vm of this.vms) {
			Object.assign(this.disks.get(vm)!, {latencyMs: 1, isRefusing: false});
			this.resume(vm);
			const process = this.processes.get(vm)!;
			if (!process.isRunning || process.state.role === 'halted') {
				this.restart(vm);
			}
		}
	}

	/** Returns the members in force on the running process with the highest commit index, or none if no process is running. */
	members(): readonly Member[] {
		const running = [...this.processes.values()].filter(({isRunning}) => isRunning);
		const [best] = running.sort((a, b) => b.state.hardState.commit - a.state.hardState.commit);
		return best ? currentMembers(best.state) : [];
	}

	/** Returns whether every membership that a process considers to be in force has a quorum of intact disks without the VM. */
	canLose(vm: VmId): boolean {
		return [...this.processes.values()].every(({state}) => {
			const currentVoters = currentMembers(state).filter(({role}) => role === 'voter');
			const intactVoters = currentVoters.filter(member => member.vm !== vm && this.disks.get(member.vm)?.diskId === member.diskId);
			return currentVoters.length === 0 || intactVoters.length > currentVoters.length / 2;
		});
	}

	/**
	Returns whether a quorum of intact disks remains without the VM in the newest committed membership and in all later ones. A leader
	has at least the newest committed one in its log.
	*/
	canDiscard(vm: VmId): boolean {
		const states = [...this.processes.values()].map(({state}) => state);
		const commit = Math.max(...states.map(({hardState}) => hardState.commit));
		const configurations = states.flatMap(state => {
			const committed = state.hardState.commit === commit ? state.configurations.filter(({index}) => index <= commit).slice(-1) : [];
			return [...committed, ...state.configurations.filter(({index}) => index > commit)];
		});
		return configurations.every(({members}) => {
			const currentVoters = members.filter(({role}) => role === 'voter');
			const intactVoters = currentVoters.filter(member => member.vm !== vm && this.disks.get(member.vm)?.diskId === member.diskId);
			return intactVoters.length > currentVoters.length / 2;
		});
	}

	dispatch(vm: VmId, event: UntimedEvent<ConsensusEvent>): void {
		const process = this.processes.get(vm)!;
		this._deliver(process, event);
	}

	private _announcePeers(): void {
		for (const vm of this.processes.keys()) {
			this.dispatch(vm, {type: 'consensus/peers', knownVms: [...this.vms]});
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
			isRefusing: false,
		};
	}

	private _schedule(delayMs: number, run: () => void): void {
		const task = {atMs: this.nowMs + delayMs, order: this._nextTaskOrder++, run};
		let position = this._tasks.length;
		while (position > 0 && this._tasks[position - 1]!.atMs > task.atMs) {
			position--;
		}

		this._tasks.splice(position, 0, task);
	}

	private _scheduleTick(process: MemberProcess, delayMs: number): void {
		this._schedule(delayMs, () => {
			if (process.isRunning) {
				if (!process.pausedEvents) {
					this._handle(process, {type: 'consensus/tick'});
				}

				this._scheduleTick(process, tickMs);
			}
		});
	}

	private _handle(process: MemberProcess, event: UntimedEvent<ConsensusEvent>): void {
		const effects = reduceConsensus(process.state, {...event, nowMs: this.nowMs});
		for (const effect of effects) {
			if (effect.type !== 'send' && effect.type !== 'count') {
				this.effects.push({vm: process.vm, effect});
			}

			this._execute(process, effect);
		}
	}

	private _execute(process: MemberProcess, effect: ConsensusEffect): void {
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
				const {stateMachine} = process;
				this._schedule(5, () => {
					this._deliver(process, {type: 'consensus/snapshot-taken', index: effect.index, data: stateMachine});
				});
				break;
			}

			case 'consensus/install': {
				process.stateMachine = effect.data as StateMachine;
				this._checkInstalledSnapshot(effect.index, process.stateMachine);
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
				assertSafety(effect.role !== 'halted' || this.mayHalt, `${process.vm} halted without a storage fault`);
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

	private _deliver(process: MemberProcess, event: UntimedEvent<ConsensusEvent>): void {
		if (!process.isRunning) {
			return;
		}

		if (process.pausedEvents) {
			process.pausedEvents.push(event);
		} else {
			this._handle(process, event);
		}
	}

	private _send(from: VmId, to: VmId, message: ConsensusMessage): void {
		this._checkDurableBeforeSend(from, to, message);
		this.onSend?.(from, to, message);
		const {dropProbability, duplicateProbability, delayProbability, maxDelayMs} = this.faults;
		const copies = this._random.next() < duplicateProbability ? 2 : 1;
		for (let copy = 0; copy < copies; copy++) {
			const delayMs = this._random.next() < delayProbability ? this._random.next() * maxDelayMs : 1;
			if (this._random.next() >= dropProbability) {
				this._schedule(delayMs, () => {
					const process = this.processes.get(to);
					if (process && !this.blockedLinks.has(`${from}>${to}`)) {
						this._deliver(process, {type: 'consensus/message', from, message});
					}
				});
			}
		}
	}

	private _persist(process: MemberProcess, batch: PersistBatch): void {
		this._write(process, disk => {
			writeBatch(disk, batch);
		}, {type: 'consensus/persisted', sequence: batch.sequence});
	}

	private _saveSnapshot(process: MemberProcess, snapshot: Snapshot): void {
		this._write(process, disk => {
			const hasMatchingEntry = disk.entries.some(({index, term}) => index === snapshot.index && term === snapshot.term);
			disk.entries = hasMatchingEntry ? disk.entries.filter(({index}) => index > snapshot.index) : [];
			disk.snapshot = snapshot;
		}, {type: 'consensus/snapshot-saved', index: snapshot.index});
	}

	/** Writes to the disk shortly before it notifies the process, so that a crash in between keeps the write. Writes of one process happen in order. */
	private _write(process: MemberProcess, change: (disk: Disk) => void, completion: UntimedEvent<ConsensusEvent>): void {
		const disk = this.disks.get(process.vm)!;
		process.pendingWrites.push(() => {
			change(disk);
			this._schedule(1, () => {
				this._deliver(process, completion);
			});
		});
		this._schedule(disk.latencyMs, () => {
			this._completeWrites(process, disk);
		});
	}

	private _completeWrites(process: MemberProcess, disk: Disk): void {
		if (!process.isRunning) {
			return;
		}

		if (disk.isRefusing) {
			this._schedule(refusalPauseMs, () => {
				this._completeWrites(process, disk);
			});
			return;
		}

		process.pendingWrites.shift()?.();
	}

	private _apply(process: MemberProcess, {index, command, token}: Extract<ConsensusEffect, {type: 'consensus/committed'}>): void {
		const {stateMachine} = process;
		const commandJson = JSON.stringify(command);
		assertSafety(index > stateMachine.index, `${process.vm} applied ${index} after ${stateMachine.index}`);
		const digest = digestOf(stateMachine.digest, commandJson);
		const firstApplied = this._appliedByIndex.get(index);
		assertSafety(!firstApplied || (firstApplied.command === commandJson && firstApplied.digest === digest), `${process.vm} applied ${commandJson} at ${index}, not ${firstApplied?.command}`);
		this._appliedByIndex.set(index, {command: commandJson, digest});
		process.stateMachine = {index, digest, padding: 'x'.repeat(1500)};
		const {term, payload} = process.state.log.entryAt(index)!;
		this._committedEntries.set(index, JSON.stringify([term, payload]));
		if (token !== undefined) {
			this._checkQuorum(process, index, term);
			this.acknowledgedTokens.add(token);
			this._highestAcknowledgedIndex = Math.max(this._highestAcknowledgedIndex, index);
		}
	}

	private _checkInstalledSnapshot(index: number, stateMachine: StateMachine): void {
		const applied = this._appliedByIndex.get(stateMachine.index);
		assertSafety(stateMachine.index <= index && (stateMachine.index === 0 || applied?.digest === stateMachine.digest), `snapshot ${index} differs from what was applied`);
	}

	private _checkRead({vm, stateMachine}: MemberProcess, token: number): void {
		assertSafety(stateMachine.index >= this._minReadIndexByToken.get(token)!, `${vm} answered a read at index ${stateMachine.index}, below acknowledged ${this._minReadIndexByToken.get(token)}`);
	}

	/** Checks that all state that a message depends on is on the sender's disk. */
	private _checkDurableBeforeSend(from: VmId, to: VmId, message: ConsensusMessage): void {
		const disk = this.disks.get(from)!;
		const {term, votedFor, cluster} = disk.hardState;
		const hasVoted = (vm: VmId) => term > message.term || (term === message.term && votedFor === vm);
		if (message.type === 'consensus/vote') {
			assertSafety(hasVoted(from), `${from} asks for votes in term ${message.term} before its own vote is on disk`);
		}

		if (message.type === 'consensus/vote-reply' && message.granted) {
			assertSafety(hasVoted(to), `${from} votes for ${to} in term ${message.term} before the vote is on disk`);
		}

		if (message.type === 'consensus/append-reply' && message.ok) {
			assertSafety(message.match <= lastIndexOf(disk) && term >= message.term, `${from} acknowledges ${message.match} of term ${message.term} before it is on disk`);
		}

		if (message.type === 'consensus/introduce-reply') {
			assertSafety(cluster === message.cluster, `${from} accepts the cluster before the acceptance is on disk`);
		}
	}

	/** Checks that a quorum of the voters' disks holds an acknowledged entry. A voter's disk counts even if it has been replaced since. */
	private _checkQuorum({vm, state}: MemberProcess, index: number, term: number): void {
		const currentVoters = currentMembers(state).filter(({role}) => role === 'voter');
		const holders = currentVoters.filter(({diskId}) => {
			const {snapshot, entries} = this._disksById.get(diskId)!;
			return (snapshot?.index ?? 0) >= index || entries.some(entry => entry.index === index && entry.term === term);
		});
		assertSafety(holders.length > currentVoters.length / 2, `${vm} acknowledged ${index}, which ${holders.length} of ${currentVoters.length} disks hold`);
	}

	/** Checks that a new leader is the only one of its term, that its vote is on disk, and that its log has every committed entry. */
	private _checkLeader({vm, state}: MemberProcess, term: number): void {
		const {hardState} = this.disks.get(vm)!;
		assertSafety(hardState.term === term && hardState.votedFor === vm, `${vm} leads term ${term} before its vote is on disk`);
		const identity = `${vm}/${state.diskId}`;
		assertSafety((this._leaderByTerm.get(term) ?? identity) === identity, `${this._leaderByTerm.get(term)} and ${identity} lead term ${term}`);
		this._leaderByTerm.set(term, identity);
		for (const [index, entryJson] of this._committedEntries) {
			const entry = state.log.entryAt(index);
			const isHeld = entry ? JSON.stringify([entry.term, entry.payload]) === entryJson : index <= state.log.baseIndex;
			assertSafety(isHeld, `leader ${vm} of term ${term} lacks committed entry ${index}`);
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

function assertSafety(condition: boolean, message: string): void {
	if (!condition) {
		throw new Error(`safety violated: ${message}`);
	}
}
