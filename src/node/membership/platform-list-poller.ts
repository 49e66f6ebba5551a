import type {Clock} from '../../common/core/clock.js';
import type {Disposable} from '../../common/core/disposable.js';
import type {CountEffect, VmId} from '../../common/core/types.js';
import {platformListSchema} from '../../common/membership/messages.js';
import type {PlatformVmState} from '../../common/membership/types.js';
import {collectBody} from '../upstreams/collect-body.js';
import {ConnectionPool} from '../upstreams/connection-pool.js';

/** Timeout of a whole request to the platform, in milliseconds. */
const requestTimeoutMs = 1000;
/** Maximum size of the list, in bytes; several times that of the largest fleet. */
const maxListBytes = 1_048_576;

export type PlatformListPollerOptions = {
	readonly clock: Clock;
	readonly onVmList: (vms: ReadonlyMap<VmId, PlatformVmState>) => void;
	readonly count: (effect: CountEffect) => void;
};

/** Polls the platform's list of VMs. A failed poll keeps the last list, since a VM that was leaving is still leaving. */
export class PlatformListPoller implements Disposable {
	private _timer: NodeJS.Timeout | undefined;
	private _address: string | undefined;
	private _pool: ConnectionPool | undefined;
	private _pollIntervalMs = 0;
	private _isPolling = false;

	constructor(private readonly _options: PlatformListPollerOptions) {}

	/** Polls `address` every `pollEvery` milliseconds from now on, as the shared configuration specifies; stops polling if `platform` is undefined. */
	configure(platform: {readonly address: string; readonly pollEvery: number} | undefined): void {
		if (platform?.address === this._address && platform?.pollEvery === this._pollIntervalMs) {
			return;
		}

		clearInterval(this._timer);
		if (platform?.address !== this._address) {
			this._pool?.destroy();
			this._pool = platform && new ConnectionPool(platform.address, this._options.clock);
		}

		this._address = platform?.address;
		this._pollIntervalMs = platform?.pollEvery ?? 0;
		if (platform) {
			this._timer = setInterval(() => {
				void this.poll();
			}, platform.pollEvery);
			this._timer.unref();
		}
	}

	/** Polls once. Does nothing if a poll is running or no address is configured. Counts a failure instead of rejecting. */
	async poll(): Promise<void> {
		if (this._isPolling || !this._pool) {
			return;
		}

		this._isPolling = true;
		try {
			const {status, body} = await this._pool.call({
				method: 'GET', path: '/v1/vms', headers: [], headersTimeoutMs: requestTimeoutMs, signal: AbortSignal.timeout(requestTimeoutMs),
			});
			const blocks = await collectBody(body, maxListBytes);
			if (status !== 200) {
				throw new Error(`status ${status}`);
			}

			const {vms} = platformListSchema.parse(JSON.parse(new TextDecoder().decode(blocks.take())));
			this._options.onVmList(new Map(vms.map(({vm, state}) => [vm, state])));
		} catch {
			this._options.count({type: 'count', metric: 'membership_platform_polls_failed_total'});
		} finally {
			this._isPolling = false;
		}
	}

	dispose(): void {
		clearInterval(this._timer);
		this._pool?.destroy();
	}
}
