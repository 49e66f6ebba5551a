import {setTimeout as sleep} from 'node:timers/promises';
import type {Clock} from '../../common/core/clock.js';
import type {Disposable} from '../../common/core/disposable.js';
import type {Logger} from '../../common/core/log.js';
import type {ServerRecord} from '../../common/forwarding/types.js';
import type {Metrics} from '../../common/services/metrics.js';
import {ConnectionPool} from '../upstreams/connection-pool.js';
import type {FleetProtocol} from './fleet-protocol.js';
import {bufferAnswer} from './forward-adapter.js';

/** Timeout of the request for one page, in milliseconds. */
const pageTimeoutMs = 1000;
/** Maximum number of pages of one list; a longer list is treated as unreadable. */
const maxPages = 100;
/** Maximum size of all pages of a list, in bytes; the entries of about 10,000 servers. */
const maxListBytes = 4_194_304;
/** Interval between two reads of the list, in milliseconds; short enough that a server's shutdown is known well before the server stops serving. */
const pollIntervalMs = 1000;
/**
Age of the list, in milliseconds, from which a process that is not the reader reads the list itself. It is long enough for a read
by the reader followed by a sync, and for a leader election. It is less than the 3 s or more that platforms allow until a server
that is shutting down must get no more work.
*/
const fallbackAgeMs = 2000;
/** Maximum random addition to `fallbackAgeMs`, in milliseconds, so that processes that lost their leader do not read at the same moment. */
const fallbackJitterMs = 400;
/** Interval at which a process checks whether it has become the reader, in milliseconds. */
const roleCheckIntervalMs = 250;
/** Pause after a call that the platform refused because of its rate limit, in milliseconds. */
const rateLimitedPauseMs = 300;
/** Share of the platform's rate limit that all processes together use; the rest is left for retries. */
const rateShare = 0.6;

export type ServerListPollerOptions = {
	readonly address: string;
	readonly callsPerSecond: number;
	readonly processCount: () => number;
	readonly protocol: FleetProtocol;
	readonly metrics: Metrics;
	readonly logger: Logger;
	readonly clock: Clock;
	/** Returns whether this process is the reader, which reads the list for all processes. */
	readonly isReader: () => boolean;
	/** Whether this process may become the reader. */
	readonly mayBeReader: boolean;
	/** Returns the time since the list in use was requested, in milliseconds; undefined before the first list. */
	readonly listAgeMs: () => number | undefined;
	/** Called with each list; `requestedMs` is the monotonic time at which it was requested. */
	readonly onList: (servers: readonly ServerRecord[], requestedMs: number) => void;
};

/**
Reads the platform's list of servers. The reader reads it for all processes; any other process reads it only while the list that
it received from the reader is too old. After a failed read, the last list stays in use.
*/
export class ServerListPoller implements Disposable {
	private readonly _pool: ConnectionPool;
	private readonly _abort = new AbortController();
	private readonly _jitterMs = Math.random() * fallbackJitterMs;
	private _isFailing = false;
	private _startedMs = 0;
	private _lastPollMs = Number.NEGATIVE_INFINITY;
	private _earliestPollMs = Number.NEGATIVE_INFINITY;

	constructor(private readonly _options: ServerListPollerOptions) {
		this._pool = new ConnectionPool(_options.address, _options.clock);
	}

	start(): void {
		this._startedMs = this._options.clock.nowMs();
		void this._run();
	}

	dispose(): void {
		this._abort.abort();
		this._pool.destroy();
	}

	private async _run(): Promise<void> {
		const {signal} = this._abort;
		while (!signal.aborted) {
			const delayMs = this._delayMs();
			if (delayMs <= 0) {
				await this._poll();
				continue;
			}

			try {
				await sleep(delayMs, undefined, {signal});
			} catch {
				// `dispose` aborted the sleep.
				return;
			}
		}
	}

	/** Returns the time until the next read, or until the next check whether a read is due, in milliseconds. A read is due if the result is 0 or less. */
	private _delayMs(): number {
		const {clock, isReader, mayBeReader, listAgeMs, processCount, callsPerSecond} = this._options;
		const nowMs = clock.nowMs();
		const pollDelayMs = Math.max(this._earliestPollMs, this._lastPollMs + pollIntervalMs) - nowMs;
		if (isReader()) {
			return pollDelayMs;
		}

		const ageMs = listAgeMs() ?? nowMs - this._startedMs;
		const rateDelayMs = this._lastPollMs + (processCount() / (callsPerSecond * rateShare) * 1000) - nowMs;
		const fallbackDelayMs = Math.max(pollDelayMs, rateDelayMs, fallbackAgeMs + this._jitterMs - ageMs);
		return mayBeReader ? Math.min(fallbackDelayMs, roleCheckIntervalMs) : fallbackDelayMs;
	}

	private async _poll(): Promise<void> {
		const {onList, metrics, logger, clock, isReader} = this._options;
		const requestedMs = clock.nowMs();
		this._lastPollMs = requestedMs;
		const reader = isReader() ? 'shared' : 'own';
		try {
			const servers = await this._readPages();
			if (servers === undefined) {
				metrics.count('server_list_polls_total', {outcome: 'rate-limited', reader});
				this._lastPollMs = Number.NEGATIVE_INFINITY;
				this._earliestPollMs = clock.nowMs() + rateLimitedPauseMs;
				return;
			}

			metrics.count('server_list_polls_total', {outcome: 'read', reader});
			if (this._isFailing) {
				this._isFailing = false;
				logger.log('info', 'server list can be read again');
			}

			onList(servers, requestedMs);
		} catch (err) {
			metrics.count('server_list_polls_total', {outcome: 'failed', reader});
			if (!this._isFailing && !this._abort.signal.aborted) {
				this._isFailing = true;
				logger.log('warn', 'server list cannot be read', {address: this._options.address, detail: err instanceof Error ? err.message : String(err)});
			}
		}
	}

	/** Reads all pages of the list; undefined if the platform refuses a call because of its rate limit. Throws if the list cannot be read. */
	private async _readPages(): Promise<ServerRecord[] | undefined> {
		const {protocol, metrics} = this._options;
		const servers: ServerRecord[] = [];
		let bytes = 0;
		let page: string | undefined;
		for (let count = 0; count < maxPages; count++) {
			const {status, text} = await this._readPage(page, maxListBytes - bytes);
			if (status === 429) {
				return undefined;
			}

			if (status !== 200) {
				throw new Error(`the server list was answered with status ${status}`);
			}

			bytes += text.length;
			const {servers: listed, unreadableCount, nextPage} = protocol.readList(text);
			servers.push(...listed);
			metrics.count('server_list_unreadable_total', {}, unreadableCount);
			if (nextPage === undefined) {
				return servers;
			}

			page = nextPage;
		}

		throw new Error(`the server list has more than ${maxPages} pages`);
	}

	private async _readPage(page: string | undefined, limitBytes: number): Promise<{status: number; text: string}> {
		const response = await this._pool.call({
			method: 'GET', path: this._options.protocol.listPath(page), headers: [], headersTimeoutMs: pageTimeoutMs, signal: AbortSignal.any([AbortSignal.timeout(pageTimeoutMs), this._abort.signal]),
		});
		const {status, body} = await bufferAnswer(response, limitBytes);
		return {status, text: new TextDecoder().decode(body.take())};
	}
}
