import {
	mkdtemp, readdir, rm, stat,
} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {performance} from 'node:perf_hooks';
import {setTimeout as sleep} from 'node:timers/promises';
import type {ConsensusState} from '../common/consensus/state.js';
import type {
	ConsensusEffect, ConsensusEvent, ConsensusLimits, PersistBatch, Snapshot,
} from '../common/consensus/types.js';
import type {VmId, UntimedEvent} from '../common/core/types.js';
import {reduceConsensus} from '../common/consensus/reducer.js';
import {confirmationSequence, createConsensusState} from '../common/consensus/state.js';
import {NodeFileSystem} from '../node/storage/file-system.js';
import {FileLogStorage} from '../node/storage/file-log-storage.js';

/** Commit throughput and latency of a cluster with the given number of members. */
export type CommitResult = {
	readonly scenario: 'commit';
	readonly members: number;
	/** Number of concurrent proposals. */
	readonly outstanding: number;
	/** Number of commands committed during the measurement. */
	readonly changes: number;
	readonly committedPerSecond: number;
	/** Median commit latency, in milliseconds. */
	readonly medianMs: number;
	/** 99th percentile of the commit latency, in milliseconds. */
	readonly p99Ms: number;
};

/** Time to restart one member from its data folder. */
export type RecoveryResult = {
	readonly scenario: 'recovery';
	readonly members: number;
	/** Number of commands committed before the restart. */
	readonly changes: number;
	/** Whether the members were configured to take snapshots. */
	readonly hasSnapshot: boolean;
	/** Time from opening the folder until the state machine has applied all entries known to be committed, in milliseconds. */
	readonly recoveryMs: number;
	/** Size of the data folder, in bytes. */
	readonly bytes: number;
};

export type ConsensusBenchOptions = {
	readonly memberCounts?: readonly number[];
	/** Numbers of concurrent proposals; each is measured in a scenario of its own. */
	readonly outstanding?: readonly number[];
	/** Number of commands proposed in each scenario. */
	readonly changes?: number;
};

const tickMs = 20;
/** Size of the payload of a command, in bytes. It is about the size of a configuration change. */
const commandBytes = 256;
/** Number of keys in the state machine. The commands overwrite the keys in turn, so that the state stays bounded, as that of a configuration does. */
const keyCount = 50;
/** Number of log entries after which a member takes a snapshot, in scenarios with snapshots. */
const entriesPerSnapshot = 250;
/** Number of log entries between snapshots, in scenarios without snapshots. No scenario writes as many entries. */
const unreachableSnapshotInterval = 1_000_000_000;
const leaderWaitTimeoutMs = 10_000;

/** Consensus member that stores its log in real files and exchanges messages with the other members in memory. */
class BenchMember {
	private _state!: ConsensusState;
	private _timer: NodeJS.Timeout | undefined;
	private readonly _storage: FileLogStorage;
	private readonly _pendingProposals = new Map<number, (isCommitted: boolean) => void>();
	private _nextToken = 1;
	private _isRunning = false;
	private _values = new Map<number, unknown>();

	constructor(
		readonly vm: VmId,
		readonly folder: string,
		private readonly _peers: Map<VmId, BenchMember>,
		private readonly _limits: Partial<ConsensusLimits>,
	) {
		this._storage = new FileLogStorage({folder, fileSystem: new NodeFileSystem()});
	}

	get isReady(): boolean {
		return this._state.role === 'leader' && this._state.hardState.commit >= this._state.termStartIndex;
	}

	/** Loads the stored log and snapshot and restores the state machine. */
	async restore(): Promise<void> {
		const stored = await this._storage.load();
		this._state = createConsensusState({
			vm: this.vm, stored, initialVms: [...this._peers.keys()], seed: Number(this.vm.slice(2)), limits: this._limits,
		});
		await this._storage.confirm();
		this.dispatch({type: 'consensus/persisted', sequence: confirmationSequence});
	}

	start(): void {
		this._isRunning = true;
		this._timer = setInterval(() => {
			this.dispatch({type: 'consensus/tick'});
		}, tickMs);
	}

	/** Proposes a command. Resolves with true once it is applied on this member, or with false if this member loses leadership first. */
	async propose(command: unknown): Promise<boolean> {
		const token = this._nextToken++;
		return new Promise(resolve => {
			this._pendingProposals.set(token, resolve);
			this.dispatch({type: 'consensus/propose', token, command});
		});
	}

	dispatch(event: UntimedEvent<ConsensusEvent>): void {
		for (const effect of reduceConsensus(this._state, {...event, nowMs: performance.now()})) {
			this._execute(effect);
		}
	}

	/** Dispatches an event, or drops it if the member is not running. */
	deliver(event: UntimedEvent<ConsensusEvent>): void {
		if (this._isRunning) {
			this.dispatch(event);
		}
	}

	async dispose(): Promise<void> {
		this._isRunning = false;
		clearInterval(this._timer);
		await this._storage.dispose();
	}

	private _execute(effect: ConsensusEffect): void {
		switch (effect.type) {
			case 'send': {
				this._send(effect.to, effect.message);
				break;
			}

			case 'consensus/persist': {
				void this._persist(effect.batch);
				break;
			}

			case 'consensus/save-snapshot': {
				void this._saveSnapshot(effect.snapshot);
				break;
			}

			case 'consensus/take-snapshot': {
				this._takeSnapshot(effect.index);
				break;
			}

			case 'consensus/install': {
				this._values = new Map(effect.data as Array<[number, unknown]>);
				break;
			}

			case 'consensus/committed': {
				this._apply(effect);
				break;
			}

			case 'consensus/dropped': {
				this._resolveProposal(effect.token, false);
				break;
			}

			case 'consensus/members-committed':
			case 'consensus/read-failed':
			case 'consensus/read-ready':
			case 'consensus/role':
			case 'count':
			case 'log':
			case 'notify':
			case 'reply': {
				break;
			}
		}
	}

	private _apply({command, token}: Extract<ConsensusEffect, {type: 'consensus/committed'}>): void {
		const {changeId} = command as {changeId: number};
		this._values.set(changeId % keyCount, command);
		if (token !== undefined) {
			this._resolveProposal(token, true);
		}
	}

	private _resolveProposal(token: number, isCommitted: boolean): void {
		this._pendingProposals.get(token)?.(isCommitted);
		this._pendingProposals.delete(token);
	}

	private _send(to: VmId, message: unknown): void {
		setImmediate(() => {
			this._peers.get(to)!.deliver({type: 'consensus/message', from: this.vm, message});
		});
	}

	private _takeSnapshot(index: number): void {
		const data = [...this._values];
		setImmediate(() => {
			this.deliver({type: 'consensus/snapshot-taken', index, data});
		});
	}

	private async _persist(batch: PersistBatch): Promise<void> {
		await this._storage.append(batch);
		this.deliver({type: 'consensus/persisted', sequence: batch.sequence});
	}

	private async _saveSnapshot(snapshot: Snapshot): Promise<void> {
		await this._storage.saveSnapshot(snapshot);
		this.deliver({type: 'consensus/snapshot-saved', index: snapshot.index});
	}
}

/** Starts a cluster in a temporary folder and calls `run` with its members and its leader. Stops the members and deletes the folder afterwards. */
async function withCluster<T>(
	size: number,
	limits: Partial<ConsensusLimits>,
	run: (members: Map<VmId, BenchMember>, leader: BenchMember) => Promise<T>,
): Promise<T> {
	const folder = await mkdtemp(path.join(tmpdir(), 'jasminehead-bench-'));
	const members = new Map<VmId, BenchMember>();
	try {
		for (let number = 1; number <= size; number++) {
			const vm = `vm${number}`;
			members.set(vm, new BenchMember(vm, path.join(folder, vm), members, limits));
		}

		await Promise.all([...members.values()].map(async member => member.restore()));
		for (const member of members.values()) {
			member.start();
		}

		return await run(members, await waitForLeader(members));
	} finally {
		await Promise.all([...members.values()].map(async member => member.dispose()));
		await rm(folder, {recursive: true});
	}
}

async function waitForLeader(members: Map<VmId, BenchMember>): Promise<BenchMember> {
	for (let waitedMs = 0; waitedMs < leaderWaitTimeoutMs; waitedMs += tickMs) {
		const leader = [...members.values()].find(({isReady}) => isReady);
		if (leader) {
			return leader;
		}

		await sleep(tickMs);
	}

	throw new Error(`no leader within ${leaderWaitTimeoutMs} ms`);
}

/** Proposes `changes` commands, `outstanding` of them concurrently. Resolves with their commit latencies in milliseconds, sorted. */
async function proposeAll(members: Map<VmId, BenchMember>, {changes, outstanding}: {changes: number; outstanding: number}): Promise<number[]> {
	let leader = await waitForLeader(members);
	const latenciesMs: number[] = [];
	let proposed = 0;
	const proposer = async () => {
		while (proposed < changes) {
			proposed++;
			const startMs = performance.now();
			const command = {changeId: proposed, body: 'x'.repeat(commandBytes)};
			// A leader on a busy machine may lose leadership before it commits the command. The command is then proposed to the next leader, and its latency includes the election.
			while (!await leader.propose(command)) {
				leader = await waitForLeader(members);
			}

			latenciesMs.push(performance.now() - startMs);
		}
	};

	await Promise.all(Array.from({length: outstanding}, async () => proposer()));
	return latenciesMs.sort((a, b) => a - b);
}

async function measureCommits(size: number, outstanding: number, changes: number): Promise<CommitResult> {
	return withCluster(size, {}, async members => {
		const startMs = performance.now();
		const latenciesMs = await proposeAll(members, {changes, outstanding});
		const elapsedMs = performance.now() - startMs;
		return {
			scenario: 'commit',
			members: size,
			outstanding,
			changes,
			committedPerSecond: changes * 1000 / elapsedMs,
			medianMs: latenciesMs[Math.floor(latenciesMs.length / 2)]!,
			p99Ms: latenciesMs[Math.floor(latenciesMs.length * 0.99)]!,
		};
	});
}

async function measureRecovery(size: number, changes: number, hasSnapshot: boolean): Promise<RecoveryResult> {
	const limits = {snapshotIntervalEntries: hasSnapshot ? entriesPerSnapshot : unreachableSnapshotInterval};
	return withCluster(size, limits, async (members, leader) => {
		await proposeAll(members, {changes, outstanding: 1});
		// Followers learn the final commit index with the next heartbeat, so wait for one before the members are stopped.
		await sleep(200);
		for (const member of members.values()) {
			await member.dispose();
		}

		const bytes = await folderBytes(leader.folder);
		const restarted = new BenchMember(leader.vm, leader.folder, members, limits);
		const startMs = performance.now();
		await restarted.restore();
		const recoveryMs = performance.now() - startMs;
		await restarted.dispose();
		return {
			scenario: 'recovery', members: size, changes, hasSnapshot, recoveryMs, bytes,
		};
	});
}

async function folderBytes(folder: string): Promise<number> {
	let total = 0;
	for (const file of await readdir(folder)) {
		const {size} = await stat(path.join(folder, file));
		total += size;
	}

	return total;
}

/** Measures commits and restarts of the replicated log on real files. Resolves with one result per scenario. */
export async function benchConsensus({memberCounts = [3, 5], outstanding = [1, 64], changes = 1000}: ConsensusBenchOptions = {}): Promise<Array<CommitResult | RecoveryResult>> {
	const results: Array<CommitResult | RecoveryResult> = [];
	for (const size of memberCounts) {
		for (const count of outstanding) {
			results.push(await measureCommits(size, count, changes));
		}
	}

	const [size = 3] = memberCounts;
	for (const hasSnapshot of [false, true]) {
		results.push(await measureRecovery(size, changes, hasSnapshot));
	}

	return results;
}
