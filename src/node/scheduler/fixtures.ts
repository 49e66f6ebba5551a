import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import Emittery from 'emittery';
import type {z} from 'zod';
import {NullLogger} from '../../common/core/log.js';
import {sharedConfigurationSchema} from '../../common/configuration/shared.js';
import type {SharedConfiguration} from '../../common/configuration/types.js';
import type {PeerMessage, VmId, VmIdentity} from '../../common/core/types.js';
import {EntryProcessDirectory} from '../../common/scheduler/entry-process-directory.js';
import {LeaseStore} from '../../common/scheduler/lease-store.js';
import type {EntryProcesses} from '../../common/scheduler/types.js';
import {AccessService} from '../../common/services/access-service.js';
import type {
	AccessEvents, AcquireResult, LeaseView, SharedStateView,
} from '../../common/services/access-service.js';
import {PeerNetwork} from '../../common/services/peer-network.js';
import type {MessageHandler, PeerNetworkEvents} from '../../common/services/peer-network.js';
import type {RequestList} from '../../common/upstreams/engine-api.js';
import {SystemClock} from '../clock.js';
import {LoopbackNetwork} from './loopback-network.js';
import {PeerSchedulerClient} from './peer-scheduler-client.js';
import {SchedulerHost} from './scheduler-host.js';

/* Test fixtures for the schedulers: several entry processes simulated in one process, and engines behind real HTTP servers. */

type RegisteredHandler = {readonly schema: z.ZodType; readonly handler: MessageHandler<unknown>};

/** Connects the in-memory networks of a test's processes. A process in `unreachable` can neither send nor receive messages. */
export class InMemoryNetworkHub {
	readonly unreachable = new Set<VmId>();
	/** Addresses set by `setAddress`, by VM. */
	readonly addresses = new Map<VmId, string>();
	readonly handlers = new Map<VmId, Map<string, RegisteredHandler>>();
}

/** A peer network that delivers messages through an `InMemoryNetworkHub`. */
export class InMemoryNetwork extends PeerNetwork {
	override readonly events = new Emittery<PeerNetworkEvents>();

	constructor(private readonly _hub: InMemoryNetworkHub, private readonly _self: VmIdentity) {
		super();
		_hub.handlers.set(_self.vm, new Map());
	}

	override setAddress(vm: VmId, address: string): void {
		this._hub.addresses.set(vm, address);
	}

	override registerHandler<S extends z.ZodType>(type: string, schema: S, handler: MessageHandler<z.output<S>>): void {
		this._hub.handlers.get(this._self.vm)!.set(type, {schema, handler: handler as MessageHandler<unknown>});
	}

	override send(to: VmId, message: PeerMessage): void {
		void this._deliver(to, message).catch(() => undefined); // eslint-disable-line promise/prefer-await-to-then -- a lost message has no effect
	}

	override async request(to: VmId, message: PeerMessage): Promise<unknown> {
		return this._deliver(to, message);
	}

	override async dispose(): Promise<void> {
		this._hub.handlers.delete(this._self.vm);
	}

	private async _deliver(to: VmId, message: PeerMessage): Promise<unknown> {
		const target = this._hub.handlers.get(to)?.get(message.type);
		if (!target || this._hub.unreachable.has(to) || this._hub.unreachable.has(this._self.vm)) {
			throw new Error(`${to} is unreachable`);
		}

		return structuredClone(await target.handler(this._self, target.schema.parse(structuredClone(message))));
	}
}

/** An access service whose view of the shared state is set by the test. */
export class StaticAccessService extends AccessService {
	override readonly events = new Emittery<AccessEvents>();
	private _view: SharedStateView;

	constructor(configuration: SharedConfiguration) {
		super();
		this._view = {
			revision: 1, version: 1, configuration, drainedUpstreams: new Set(), drainedVms: new Set(), evacuatedZones: new Set(), leases: new Map(),
		};
	}

	override get view(): SharedStateView {
		return this._view;
	}

	async change(changes: Partial<SharedStateView>): Promise<void> {
		this._view = {...this._view, ...changes, revision: this._view.revision + 1};
		await this.events.emit('onViewChanged', this._view);
	}

	override isFresh(): boolean {
		return true;
	}

	override authenticate(): undefined {
		return undefined;
	}

	override async acquire(customer: string, tokens: number): Promise<AcquireResult> {
		return {ok: true, acquisition: {id: 1, tenant: customer, tokens}};
	}

	override settle(): void {
		// The fixture has no rate limits.
	}
}

/** In-memory leases, published to the view of every process. */
export class MemoryLeases {
	readonly leases = new Map<string, LeaseView>();
	private _epoch = 0;

	constructor(private readonly _views: readonly StaticAccessService[]) {}

	storeOf(self: VmIdentity): LeaseStore {
		return new MemoryLeaseStore(this, self);
	}

	async acquire(name: string, holder: VmIdentity): Promise<number | undefined> {
		const lease = this.leases.get(name);
		if (lease) {
			return lease.holder.vm === holder.vm ? lease.epoch : undefined;
		}

		this.leases.set(name, {holder, epoch: ++this._epoch});
		await this._publish();
		return this._epoch;
	}

	/** Removes the lease, as if its holder had died and the lease had expired. */
	async expire(name: string): Promise<void> {
		this.leases.delete(name);
		await this._publish();
	}

	private async _publish(): Promise<void> {
		await Promise.all(this._views.map(async access => access.change({leases: new Map(this.leases)})));
	}
}

class MemoryLeaseStore extends LeaseStore {
	constructor(private readonly _leases: MemoryLeases, private readonly _self: VmIdentity) {
		super();
	}

	override async acquire(name: string): Promise<number | undefined> {
		return this._leases.acquire(name, this._self);
	}

	override async renew(name: string, epoch: number): Promise<boolean> {
		return this._leases.leases.get(name)?.epoch === epoch;
	}

	override async release(name: string): Promise<void> {
		await this._leases.expire(name);
	}
}

export class StaticEntryDirectory extends EntryProcessDirectory {
	constructor(public override entries: EntryProcesses) {
		super();
	}
}

/** Starts an HTTP server that acts as an idle engine: it reports a load of zero, lists the given requests and records the ids of cancelled requests. */
export async function startFakeEngine(requests: RequestList['requests'] = []) {
	const cancelled: string[] = [];
	const server = createServer((req, res) => {
		const url = req.url ?? '';
		if (req.method === 'DELETE') {
			cancelled.push(url.slice('/v1/requests/'.length));
			res.writeHead(204).end();
		} else if (url.startsWith('/v1/load')) {
			res.end(JSON.stringify({
				ageMs: 0, queuedPrefillTokens: 0, activeDecodes: 0, slots: 4, freeBlocks: 2000, totalBlocks: 2000, leaving: false,
			}));
		} else if (url.startsWith('/v1/cache-events')) {
			res.end(JSON.stringify({events: [], last: 0}));
		} else {
			res.end(JSON.stringify({requests}));
		}
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	return {
		address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
		cancelled,
		async close() {
			server.closeAllConnections();
			server.close();
		},
	};
}

export function makeConfiguration(prefill: string, decode: string): SharedConfiguration {
	return sharedConfigurationSchema.parse({
		profiles: {batch: {maxWait: '2s'}},
		tenants: {a: {rate: '1000 tokens/s', burst: 10_000}},
		services: {dossiers: {kind: 'model', profile: 'batch', model: 'm'}},
		upstreams: {
			p1: {
				service: 'dossiers', address: prefill, zone: 'z1', role: 'prefill',
			},
			d1: {
				service: 'dossiers', address: decode, zone: 'z1', role: 'decode', slots: 4,
			},
			d2: {
				service: 'dossiers', address: decode, zone: 'z1', role: 'decode', slots: 4,
			},
		},
	});
}

/** Creates entry processes, each with a scheduler host and a scheduler client. The hosts are not started. */
export function startProcesses(identities: readonly VmIdentity[], cfg: SharedConfiguration) {
	const hub = new InMemoryNetworkHub();
	const accesses = identities.map(() => new StaticAccessService(cfg));
	const leases = new MemoryLeases(accesses);
	const directory = new StaticEntryDirectory({live: identities, dead: []});
	const counts = new Map<string, number>();
	const processes = identities.map((self, i) => {
		const network = new LoopbackNetwork(new InMemoryNetwork(hub, self), self);
		const options = {
			self, network, directory, access: accesses[i]!, clock: new SystemClock(), logger: new NullLogger(), leases: leases.storeOf(self),
			count({metric}: {metric: string}) {
				counts.set(metric, (counts.get(metric) ?? 0) + 1);
			},
		};
		return {self, host: new SchedulerHost(options), client: new PeerSchedulerClient(options)};
	});
	return {
		hub, accesses, leases, directory, counts, processes,
		async dispose() {
			for (const {host, client} of processes) {
				client.dispose();
				await host.dispose();
			}
		},
	};
}

/** Polls a condition until it holds. Throws after 2000 attempts, so that a failing test ends. */
export async function waitUntil(condition: () => boolean): Promise<void> {
	for (let attempts = 0; !condition(); attempts++) {
		if (attempts === 2000) {
			throw new Error(`the condition did not hold within 2000 attempts: ${condition.toString()}`);
		}

		await new Promise(resolve => {
			setTimeout(resolve, 10);
		});
	}
}
