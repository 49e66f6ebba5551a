import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Fault} from './faults.js';
import {FakeServer} from './server.js';
import type {FakeServerOptions} from './server.js';

type VmEntry = {readonly vm: string; readonly state: 'live' | 'leaving'};

export type FakePlatformListOptions = FakeServerOptions & {
	/** Names of the VMs that are live at the start. */
	readonly vms: readonly string[];
	/** Delay until a change appears in the list, in milliseconds. */
	readonly lagMs?: number;
};

/** Test double of the platform's list of live and leaving VMs, which shows changes after a delay. */
export class FakePlatformList extends FakeServer {
	private readonly _lagMs: number;
	private readonly _vms: Map<string, VmEntry['state']>;
	private _pendingChanges: Array<{readonly visibleAtMs: number; readonly vm: string; readonly state: VmEntry['state'] | 'gone'}> = [];

	constructor(options: FakePlatformListOptions) {
		super(options);
		this._lagMs = options.lagMs ?? 2000;
		this._vms = new Map(options.vms.map(vm => [vm, 'live']));
	}

	/** Returns the list as published at present. */
	override getRecord(): {readonly vms: readonly VmEntry[]} {
		this._applyDueChanges();
		return {vms: [...this._vms].map(([vm, state]) => ({vm, state}))};
	}

	protected override applyFault(fault: Fault): void {
		if (fault.fault === 'set-vm') {
			this._pendingChanges.push({visibleAtMs: performance.now() + this._lagMs, vm: fault.vm, state: fault.state});
		}
	}

	protected override async serve(req: IncomingMessage, res: ServerResponse): Promise<void> {
		if (req.method === 'GET' && req.url === '/v1/vms') {
			this.reply(res, 200, this.getRecord());
		} else {
			this.reply(res, 404, {code: 'unknown-path'});
		}
	}

	private _applyDueChanges(): void {
		const nowMs = performance.now();
		for (const change of this._pendingChanges.filter(({visibleAtMs}) => visibleAtMs <= nowMs)) {
			if (change.state === 'gone') {
				this._vms.delete(change.vm);
			} else {
				this._vms.set(change.vm, change.state);
			}
		}

		this._pendingChanges = this._pendingChanges.filter(({visibleAtMs}) => visibleAtMs > nowMs);
	}
}
