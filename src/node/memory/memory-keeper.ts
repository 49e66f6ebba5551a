import type {Clock} from '../../common/core/clock.js';
import type {Logger} from '../../common/core/log.js';
import {MemoryBudget} from '../../common/memory/memory-budget.js';
import type {Holder, HolderKind, MemoryLimits} from '../../common/memory/memory-budget.js';
import type {Metrics} from '../../common/services/metrics.js';
import {BoundedLog} from './bounded-log.js';
import {BufferCollector} from './buffer-collector.js';

export type MemoryKeeperOptions = MemoryLimits & {
	readonly clock: Clock;
	readonly logger: Logger;
	readonly metrics: Metrics;
};

/** Memory that one peer makes the process hold. */
export class Holding {
	constructor(private readonly _keeper: MemoryKeeper, private readonly _holder: Holder) {}

	/** Makes the holding `bytes` large and returns true, closing other holders if that is necessary; changes nothing and returns false if there is no room. */
	resize(bytes: number): boolean {
		return this._keeper.resize(this._holder, bytes);
	}

	/** Records that the peer has sent or taken data, and that it is closed from now on, if `isClosable`, when it stalls and the memory is needed. */
	recordMove(isClosable: boolean): void {
		this._keeper.recordMove(this._holder, isClosable);
	}

	/** Records that memory of this holding was copied and the first copy dropped, in bytes. */
	recordCopy(bytes: number): void {
		this._keeper.recordCopy(bytes);
	}

	/** Frees the memory; later calls have no effect. */
	release(): void {
		this._keeper.release(this._holder);
	}
}

/** Executes the decisions of the memory budget: closes the holders that it chooses, logs and counts. */
export class MemoryKeeper {
	private readonly _budget: MemoryBudget;
	private readonly _log: BoundedLog;
	private readonly _collector: BufferCollector;
	private readonly _closers = new Map<Holder, () => void>();

	constructor(private readonly _options: MemoryKeeperOptions) {
		this._budget = new MemoryBudget(_options);
		this._log = new BoundedLog(_options.logger, _options.clock);
		this._collector = new BufferCollector(() => {
			_options.metrics.count('memory_collections_total');
		});
	}

	/** Memory of all holders, in bytes. */
	get usedBytes(): number {
		return this._budget.usedBytes;
	}

	/** Raises the limits, if necessary, so that one customer may hold `bytes`. */
	ensureShare(bytes: number): void {
		this._budget.ensureShare(bytes);
	}

	/** Begins a holding of 0 bytes. `close` is called when the holder has to go; its memory then counts as free. */
	open(kind: HolderKind, owner: string | undefined, close: () => void): Holding {
		const holder = this._budget.open(kind, owner, this._options.clock.nowMs());
		this._closers.set(holder, close);
		return new Holding(this, holder);
	}

	resize(holder: Holder, bytes: number): boolean {
		const nowMs = this._options.clock.nowMs();
		const before = holder.bytes;
		const {outcome, limit, victims} = this._budget.resize(holder, bytes, nowMs);
		if (limit !== undefined) {
			this._report(holder, bytes - before, {outcome, limit, victims}, nowMs);
		}

		for (const victim of victims) {
			this._closers.get(victim)?.();
			this._closers.delete(victim);
		}

		if (outcome === 'granted') {
			this._collector.record(Math.abs(bytes - before), Math.max(bytes, before), this._budget.usedBytes);
		}

		return outcome === 'granted';
	}

	recordMove(holder: Holder, isClosable: boolean): void {
		this._budget.recordMove(holder, isClosable, this._options.clock.nowMs());
	}

	recordCopy(bytes: number): void {
		this._collector.record(bytes, bytes, this._budget.usedBytes);
	}

	release(holder: Holder): void {
		this._closers.delete(holder);
		this._budget.release(holder);
	}

	/** Updates the gauges; called when they are read. */
	updateGauges(): void {
		this._options.metrics.gauge('memory_held_bytes', this._budget.usedBytes);
		this._options.metrics.gauge('memory_budget_bytes', this._budget.totalBytes);
	}

	private _report({kind, owner}: Holder, growth: number, {outcome, limit, victims}: {readonly outcome: string; readonly limit: string; readonly victims: readonly Holder[]}, nowMs: number): void {
		const {metrics} = this._options;
		const {usedBytes, totalBytes} = this._budget;
		metrics.count('memory_decisions_total', {kind, limit, outcome});
		metrics.count('memory_closed_total', {}, victims.length);
		this._log.log('memory limit reached', {
			kind,
			owner,
			growth,
			limit,
			usedBytes,
			totalBytes,
			outcome,
			closed: victims.map(victim => ({
				kind: victim.kind, owner: victim.owner, idleMs: Math.round(nowMs - victim.movedAtMs),
			})).slice(0, maxLoggedVictims),
		});
	}
}

/** Number of closed holders that one log line names. */
const maxLoggedVictims = 8;
