import {setTimeout as sleep} from 'node:timers/promises';
import {Agent, request} from 'undici';
import type {Disposable} from '../../common/core/disposable.js';
import type {Logger} from '../../common/core/log.js';
import type {ServerRecord} from '../../common/forwarding/types.js';
import type {Metrics} from '../../common/services/metrics.js';
import type {FleetProtocol} from './fleet-protocol.js';

/** Bound on one page, in milliseconds. */
const pageTimeoutMs = 1000;
/** Pages of one list; a list that goes on for longer is not read further. */
const maxPages = 100;
/** Time between two readings of the list; a leaving server must be known well before it stops serving. */
const pollMs = 1000;
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
	readonly onList: (servers: readonly ServerRecord[]) => void;
};

/** Reads the platform's list of servers again and again. While it cannot be read, the last one stands. */
export class ServerListPoller implements Disposable {
	private readonly _agent = new Agent({connections: 1, connect: {timeout: pageTimeoutMs}});
	private readonly _disposed = new AbortController();
	private _isLost = false;

	constructor(private readonly _options: ServerListPollerOptions) {}

	start(): void {
		void this._run();
	}

	async dispose(): Promise<void> {
		this._disposed.abort();
		await this._agent.destroy();
	}

	private async _run(): Promise<void> {
		const {signal} = this._disposed;
		while (!signal.aborted) {
			const pauseMs = await this._poll();
			try {
				await sleep(pauseMs, undefined, {signal});
			} catch {
				// Disposed.
				return;
			}
		}
	}

	/** Reads the list once; returns the pause until the next time. */
	private async _poll(): Promise<number> {
		const {onList, metrics, logger, processes, callsPerSecond} = this._options;
		const everyMs = Math.max(pollMs, (processes() / (callsPerSecond * rateShare)) * 1000);
		try {
			const servers = await this._readAll();
			if (servers === undefined) {
				metrics.count('server_list_polls_total', {outcome: 'rate-limited'});
				return rateLimitedMs;
			}

			metrics.count('server_list_polls_total', {outcome: 'read'});
			if (this._isLost) {
				this._isLost = false;
				logger.log('info', 'server list regained');
			}

			onList(servers);
		} catch (err) {
			metrics.count('server_list_polls_total', {outcome: 'failed'});
			if (!this._isLost && !this._disposed.signal.aborted) {
				this._isLost = true;
				logger.log('warn', 'server list lost', {address: this._options.address, detail: err instanceof Error ? err.message : String(err)});
			}
		}

		return everyMs;
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
