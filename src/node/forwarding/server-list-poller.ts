import {setTimeout as sleep} from 'node:timers/promises';
import {Agent, request} from 'undici';
import type {Clock} from '../../common/core/clock.js';
import type {Disposable} from '../../common/core/disposable.js';
import type {Logger} from '../../common/core/log.js';
import type {ServerRecord} from '../../common/forwarding/types.js';
import type {Metrics} from '../../common/services/metrics.js';
import type {FleetProtocol} from './fleet-protocol.js';

/** Bound on one page, in milliseconds. */
const pageTimeoutMs = 1000;
/** Pages of one list; a list that goes on for longer is not read further. */
const maxPages = 100;
/** Time between two readings of the list, in milliseconds; a leaving server must be known well before it stops serving. */
const pollMs = 1000;
/**
Age of the list at which a process reads it itself, in milliseconds: a reading and a sync after each other, and an election.
Platforms allow 3 s or more until a leaving server gets no work.
*/
const fallbackMs = 2000;
/** Spread of those readings, in milliseconds, so that processes that lost their leader do not read at the same moment. */
const fallbackSpreadMs = 400;
/** Time between two looks whether this process has become the reader, in milliseconds. */
const lookMs = 250;
/** Pause after a call that the platform refused for its rate, in milliseconds. */
const rateLimitedMs = 300;
/** Share of the platform's rate that all processes together use, so that retries have room. */
const rateShare = 0.6;

export type ServerListPollerOptions = {
	readonly address: string;
	readonly callsPerSecond: number;
	readonly processes: () => number;
	readonly protocol: FleetProtocol;
	readonly metrics: Metrics;
	readonly logger: Logger;
	readonly clock: Clock;
	/** Whether this process reads the list for the others. */
	readonly isReader: () => boolean;
	/** Whether it may become that one. */
	readonly mayBeReader: boolean;
	/** Age of the list in use, in milliseconds; undefined before the first one. */
	readonly listAgeMs: () => number | undefined;
	/** `askedMs` is the time on the clock at which the list was asked for. */
	readonly onList: (servers: readonly ServerRecord[], askedMs: number) => void;
};

/** Reads the platform's list of servers: always as the reader for all processes, otherwise while the list passed on is too old. While it cannot be read, the last one stands. */
export class ServerListPoller implements Disposable {
	private readonly _agent = new Agent({connections: 1, connect: {timeout: pageTimeoutMs}});
	private readonly _disposed = new AbortController();
	private readonly _spreadMs = Math.random() * fallbackSpreadMs;
	private _isLost = false;
	private _startedMs = 0;
	private _askedMs = Number.NEGATIVE_INFINITY;
	private _notBeforeMs = Number.NEGATIVE_INFINITY;

	constructor(private readonly _options: ServerListPollerOptions) {}

	start(): void {
		this._startedMs = this._options.clock.nowMs();
		void this._run();
	}

	async dispose(): Promise<void> {
		this._disposed.abort();
		await this._agent.destroy();
	}

	private async _run(): Promise<void> {
		const {signal} = this._disposed;
		while (!signal.aborted) {
			const waitMs = this._waitMs();
			if (waitMs <= 0) {
				await this._poll();
				continue;
			}

			try {
				await sleep(waitMs, undefined, {signal});
			} catch {
				// Disposed.
				return;
			}
		}
	}

	/** Time until the next reading or the next look at whether one is due. */
	private _waitMs(): number {
		const {clock, isReader, mayBeReader, listAgeMs, processes, callsPerSecond} = this._options;
		const nowMs = clock.nowMs();
		const nextMs = Math.max(this._notBeforeMs, this._askedMs + pollMs) - nowMs;
		if (isReader()) {
			return nextMs;
		}

		const ageMs = listAgeMs() ?? nowMs - this._startedMs;
		const sharedRateMs = this._askedMs + (processes() / (callsPerSecond * rateShare) * 1000) - nowMs;
		const ownMs = Math.max(nextMs, sharedRateMs, fallbackMs + this._spreadMs - ageMs);
		return mayBeReader ? Math.min(ownMs, lookMs) : ownMs;
	}

	private async _poll(): Promise<void> {
		const {onList, metrics, logger, clock, isReader} = this._options;
		const askedMs = clock.nowMs();
		this._askedMs = askedMs;
		const reader = isReader() ? 'shared' : 'own';
		try {
			const servers = await this._readAll();
			if (servers === undefined) {
				metrics.count('server_list_polls_total', {outcome: 'rate-limited', reader});
				this._askedMs = Number.NEGATIVE_INFINITY;
				this._notBeforeMs = clock.nowMs() + rateLimitedMs;
				return;
			}

			metrics.count('server_list_polls_total', {outcome: 'read', reader});
			if (this._isLost) {
				this._isLost = false;
				logger.log('info', 'server list regained');
			}

			onList(servers, askedMs);
		} catch (err) {
			metrics.count('server_list_polls_total', {outcome: 'failed', reader});
			if (!this._isLost && !this._disposed.signal.aborted) {
				this._isLost = true;
				logger.log('warn', 'server list lost', {address: this._options.address, detail: err instanceof Error ? err.message : String(err)});
			}
		}
	}

	/** Undefined when the platform refuses the call for its rate. */
	private async _readAll(): Promise<ServerRecord[] | undefined> {
		const {address, protocol, metrics} = this._options;
		const servers: ServerRecord[] = [];
		let page: string | undefined;
		for (let count = 0; count < maxPages; count++) {
			const {statusCode, body} = await request(`http://${address}${protocol.listPath(page)}`, {
				dispatcher: this._agent, signal: AbortSignal.any([AbortSignal.timeout(pageTimeoutMs), this._disposed.signal]),
			});
			const text = await body.text();
			if (statusCode === 429) {
				return undefined;
			}

			if (statusCode !== 200) {
				throw new Error(`status ${statusCode}`);
			}

			const {servers: listed, unreadable, nextPage} = protocol.readList(text);
			servers.push(...listed);
			metrics.count('server_list_unreadable_total', {}, unreadable);
			if (nextPage === undefined) {
				return servers;
			}

			page = nextPage;
		}

		throw new Error(`the list has more than ${maxPages} pages`);
	}
}
