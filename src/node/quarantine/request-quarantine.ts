import type {Clock} from '../../common/core/clock.js';
import type {Disposable} from '../../common/core/disposable.js';
import type {Logger} from '../../common/core/log.js';
import {SeededRandom} from '../../common/core/random.js';
import type {VmId, VmIdentity} from '../../common/core/types.js';
import {quarantineNewsSchema} from '../../common/quarantine/messages.js';
import {findBlock} from '../../common/quarantine/blocks.js';
import {nextTickMs, reduceQuarantine} from '../../common/quarantine/quarantine.js';
import {createQuarantine} from '../../common/quarantine/state.js';
import type {QuarantineState} from '../../common/quarantine/state.js';
import {captureBlocks} from '../../common/quarantine/stored-blocks.js';
import type {
	AttemptOutcome, Block, PartId, QuarantineEffect, QuarantineEvent, ServerId,
} from '../../common/quarantine/types.js';
import type {CallFailure} from '../../common/requests/types.js';
import type {Metrics} from '../../common/services/metrics.js';
import type {PeerNetwork} from '../../common/services/peer-network.js';
import {DeadlineTimer} from '../deadline-timer.js';
import {ReducerRuntime} from '../runtime.js';
import type {BlockFile} from './block-file.js';

/** Number of members that news is sent to at once. Each of them sends it on, so that it reaches all members within a few steps. */
const pushFanout = 3;

/** One attempt of a request on a server, from its sending to its end. */
export type TrackedAttempt = {
	/** Records that the server produced output. Calls after the first have no effect. */
	recordOutput: () => void;
	/** Records that the server has been silent for longer than usual. */
	recordStall: () => void;
	/** Records that the answer is complete. `hasRun` is true if it shows that the server ran the request to its end. */
	endWithAnswer: (hasRun: boolean) => void;
	/** Records that the attempt ended without a complete answer. Calls after the end have no effect. */
	end: (outcome: Exclude<AttemptOutcome, 'completed'>) => void;
	/** Records that the attempt failed; `isAborted` if the router or the caller gave it up. */
	fail: (failure: Pick<CallFailure, 'mayHaveBeenSent'>, isAborted: boolean) => void;
};

/** An attempt that is not tracked, since nothing is known by which it could be recognized. */
const untrackedAttempt: TrackedAttempt = {
	recordOutput() {
		// Intentionally empty.
	},
	recordStall() {
		// Intentionally empty.
	},
	endWithAnswer() {
		// Intentionally empty.
	},
	end() {
		// Intentionally empty.
	},
	fail() {
		// Intentionally empty.
	},
};

export type RequestQuarantineOptions = {
	readonly self: VmIdentity;
	readonly network: PeerNetwork;
	readonly clock: Clock;
	readonly logger: Logger;
	readonly metrics: Metrics;
	/** Members that are alive, without this process. */
	readonly liveMembers: () => readonly VmId[];
	/** Keeps the blocks across restarts; undefined in a process without a data folder. */
	readonly blockFile?: BlockFile | undefined;
};

/** Runs the quarantine of requests and prompt parts that crash servers, and shares it with the other processes. */
export class RequestQuarantine implements Disposable {
	private readonly _state: QuarantineState;
	private readonly _runtime: ReducerRuntime<QuarantineEvent, QuarantineEffect>;
	private readonly _timer: DeadlineTimer;
	private readonly _random: SeededRandom;
	private _nextAttempt = 1;
	/** Number of blocks that the metric shows. */
	private _reportedBlocks = 0;
	private _savedRevision = 0;

	constructor(private readonly _options: RequestQuarantineOptions) {
		const {self: {vm, incarnation}, clock, network} = _options;
		this._random = new SeededRandom(incarnation);
		this._state = createQuarantine({self: vm, idPrefix: `${vm}.${incarnation}`, seed: incarnation});
		this._runtime = new ReducerRuntime(event => reduceQuarantine(this._state, event), clock);
		this._timer = new DeadlineTimer(clock, () => nextTickMs(this._state), () => {
			this._runtime.dispatch({type: 'quarantine/tick'});
			this._showChanges();
		});
		this._registerEffects();
		network.registerHandler('quarantine.news', quarantineNewsSchema, (from, news) => {
			this._dispatch({type: 'quarantine/news', from: from.vm, news});
		});
		void this._restore();
	}

	/** Tracks an attempt that is about to be sent to a server. `parts` are the parts by which another attempt, or other requests, may be recognized. */
	track(server: ServerId, requestId: string, parts: readonly PartId[]): TrackedAttempt {
		if (parts.length === 0) {
			return untrackedAttempt;
		}

		const attempt = this._nextAttempt++;
		let hasOutput = false;
		this._runtime.dispatch({
			type: 'quarantine/attempt-started', attempt, server, requestId, parts,
		});
		return {
			recordOutput: () => {
				if (!hasOutput) {
					hasOutput = true;
					this._runtime.dispatch({type: 'quarantine/attempt-produced', attempt});
				}
			},
			recordStall: () => {
				this._runtime.dispatch({type: 'quarantine/attempt-stalled', attempt});
			},
			endWithAnswer: hasRun => {
				this._dispatch({type: 'quarantine/attempt-ended', attempt, outcome: hasRun ? 'completed' : 'inconclusive'});
			},
			end: outcome => {
				this._dispatch({type: 'quarantine/attempt-ended', attempt, outcome});
			},
			fail: ({mayHaveBeenSent}, isAborted) => {
				const outcome = isAborted ? 'stopped' : 'broken';
				this._dispatch({type: 'quarantine/attempt-ended', attempt, outcome: mayHaveBeenSent ? outcome : 'inconclusive'});
			},
		};
	}

	/** Returns the block that applies to a request, or undefined. */
	findBlock(parts: readonly PartId[]): Block | undefined {
		return this._state.blocks.size === 0 ? undefined : findBlock(this._state, parts, this._options.clock.nowMs());
	}

	/** Records that a request was refused because of a block. Returns the time until the block ends, in milliseconds. */
	recordRefusal({parts, decidedBy, untilMs}: Block, requestId: string): number {
		const {logger, metrics, clock} = this._options;
		const remainingMs = Math.max(0, Math.ceil(untilMs - clock.nowMs()));
		metrics.count('quarantine_refusals_total');
		logger.log('info', 'request with blocked parts refused', {
			requestId, parts, decidedBy, remainingMs,
		});
		this._dispatch({type: 'quarantine/refused', parts});
		return remainingMs;
	}

	/** Records that a server cannot be reached, or is no longer listed. */
	recordServerLost(server: ServerId): void {
		this._dispatch({type: 'quarantine/server-lost', server});
	}

	/** Sends news along with a gossip message to a member. `isFull` if the member may have missed earlier news. */
	accompanyGossip(to: VmId, isFull: boolean): void {
		this._runtime.dispatch({
			type: 'quarantine/gossip', to, memberCount: this._options.liveMembers().length, isFull,
		});
	}

	dump(): unknown {
		const {blocks, reports, probations, pending} = this._state;
		return {
			blocks: [...blocks.values()], reports: [...reports.values()], probations: Object.fromEntries(probations), pending,
		};
	}

	dispose(): void {
		this._timer.dispose();
	}

	private _dispatch(event: Parameters<typeof this._runtime.dispatch>[0]): void {
		this._runtime.dispatch(event);
		this._timer.rearmIfEarlier();
		this._showChanges();
	}

	private async _restore(): Promise<void> {
		const stored = await this._options.blockFile?.load();
		if (stored) {
			this._dispatch({type: 'quarantine/restored', ...stored});
		}
	}

	/** Updates the gauge, and saves the blocks if they have changed. */
	private _showChanges(): void {
		const {blocks: {size}, revision} = this._state;
		if (revision !== this._savedRevision) {
			this._savedRevision = revision;
			this._options.blockFile?.save(() => captureBlocks(this._state, this._options.clock.nowMs()));
		}

		if (size !== this._reportedBlocks) {
			this._reportedBlocks = size;
			this._options.metrics.gauge('quarantine_blocks', size);
		}
	}

	private _registerEffects(): void {
		const {network, logger, metrics, liveMembers} = this._options;
		this._runtime.on('send', ({to, message}) => {
			network.send(to, message);
		});
		this._runtime.on('log', ({level, message, fields}) => {
			logger.log(level, message, fields);
		});
		this._runtime.on('count', ({metric, labels, by}) => {
			metrics.count(metric, labels, by);
		});
		this._runtime.on('quarantine/push', ({news}) => {
			const members = [...liveMembers()];
			for (let i = 0; i < pushFanout && members.length > 0; i++) {
				const [vm] = members.splice(this._random.integer(0, members.length), 1);
				network.send(vm!, news);
			}
		});
	}
}
