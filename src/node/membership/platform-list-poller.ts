import {Agent} from 'undici';
import type {Disposable} from '../../common/core/disposable.js';
import type {CountEffect, VmId} from '../../common/core/types.js';
import {platformListSchema} from '../../common/membership/messages.js';
import type {PlatformVmState} from '../../common/membership/types.js';

/** Timeout for connecting to the platform, and also for a whole request, in milliseconds. */
const requestTimeoutMs = 1000;

export type PlatformListPollerOptions = {
	readonly onVmList: (vms: ReadonlyMap<VmId, PlatformVmState>) => void;
	readonly count: (effect: CountEffect) => void;
};

/** Polls the platform's list of VMs. A failed poll keeps the last list, since a VM that was leaving is still leaving. */
export class PlatformListPoller implements Disposable {
	private readonly _agent = new Agent({connections: 1, connect: {timeout: requestTimeoutMs}});
	private _timer: NodeJS.Timeout | undefined;
	private _address: string | undefined;
	private _pollIntervalMs = 0;
	private _isPolling = false;

	constructor(private readonly _options: PlatformListPollerOptions) {}

	/** Polls `address` every `pollEvery` milliseconds from now on, as the shared configuration specifies; stops polling if `platform` is undefined. */
	configure(platform: {readonly address: string; readonly pollEvery: number} | undefined): void {
		if (platform?.address === this._address && platform?.pollEvery === this._pollIntervalMs) {
			return;
		}

		clearInterval(this._timer);
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
		if (this._isPolling || this._address === undefined) {
			return;
		}

		this._isPolling = true;
		try {
			const {statusCode, body} = await this._agent.request({
				origin: `http://${this._address}`, method: 'GET', path: '/v1/vms', signal: AbortSignal.timeout(requestTimeoutMs),
			});
			const text = await body.text();
			if (statusCode !== 200) {
				throw new Error(`status ${statusCode}`);
			}

			const {vms} = platformListSchema.parse(JSON.parse(text));
			this._options.onVmList(new Map(vms.map(({vm, state}) => [vm, state])));
		} catch {
			this._options.count({type: 'count', metric: 'membership_platform_polls_failed_total'});
		} finally {
			this._isPolling = false;
		}
	}

	async dispose(): Promise<void> {
		clearInterval(this._timer);
		await this._agent.destroy();
	}
}
