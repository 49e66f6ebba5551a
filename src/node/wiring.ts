/** Wires the parts of one process; the only module that constructs them. */
import path from 'node:path';
import process from 'node:process';
import {createAccess} from '../common/access/access.js';
import type {Settings} from '../common/configuration/types.js';
import {createConsensus, currentMembers} from '../common/consensus/state.js';
import {ordersLease} from '../common/control/apply.js';
import {createControl} from '../common/control/control.js';
import {DisposableStore} from '../common/core/disposable.js';
import type {
	CountEffect, VmId, VmIdentity,
} from '../common/core/types.js';
import type {ConsensusTimings} from '../common/consensus/types.js';
import type {SelfDescription} from '../common/membership/types.js';
import {reduce} from '../common/reducer.js';
import type {
	MemberChangeReply, ProcessEffect, ProcessEvent, ProcessState, Replica,
} from '../common/reducer.js';
import {splitAddress} from './address.js';
import {MonotonicClock} from './clock.js';
import {decodeConfiguration} from './control/configuration-codec.js';
import {ConsensusHost} from './control/consensus-host.js';
import {waitForFounders, serveFormation} from './control/formation-host.js';
import {ControlClient} from './control/control-client.js';
import {ControlLeaseStore} from './control/control-lease-store.js';
import {ControlLeaderClient} from './control/control-leader-client.js';
import {ControlOperator} from './control/control-operator.js';
import {ControlServer} from './control/control-server.js';
import {EntryServer} from './entry/entry-server.js';
import {GossipEntryPointService} from './membership/gossip-entry-point-service.js';
import {MembershipHost} from './membership/membership-host.js';
import {PlatformList} from './membership/platform-list.js';
import {JsonLogger} from './observability/json-logger.js';
import {LoadReporter} from './observability/load-reporter.js';
import {PromMetrics} from './observability/prom-metrics.js';
import {dumpProcess} from './observability/state-dump.js';
import {ControlOperatorService} from './operators/control-operator-service.js';
import type {ReplicaMembers} from './operators/control-operator-service.js';
import {OperatorServer} from './operators/operator-server.js';
import {OrderHost} from './orders/order-host.js';
import {ServerStatusBroadcaster} from './forwarding/server-status-broadcaster.js';
import {FleetHttpServers, entryAnswerValidityMs} from './forwarding/fleet-http-servers.js';
import type {FleetProtocol} from './forwarding/fleet-protocol.js';
import type {FleetSettings} from './forwarding/fleet-settings.js';
import {ForwardServer} from './forwarding/forward-server.js';
import {ServerFleet} from './forwarding/server-fleet.js';
import {ServerListPoller} from './forwarding/server-list-poller.js';
import {StageBalancer} from './forwarding/stage-balancer.js';
import {Runtime} from './runtime.js';
import {LeaseHolder} from './scheduler/lease-holder.js';
import {LoopbackNetwork} from './scheduler/loopback-network.js';
import {PeerSchedulerClient} from './scheduler/peer-scheduler-client.js';
import {SchedulerHost} from './scheduler/scheduler-host.js';
import {FileLogStorage} from './storage/file-log-storage.js';
import type {LogStorage} from './storage/log-storage.js';
import {NodeFileSystem} from './storage/file-system.js';
import {TcpPeerNetwork} from './transport/tcp-peer-network.js';

/** Bound on the commit of a membership change, in milliseconds. */
const memberChangeTimeoutMs = 5000;

/** Parts that every process has. */
type Platform = {
	readonly settings: Settings;
	readonly self: VmIdentity;
	readonly clock: MonotonicClock;
	readonly logger: JsonLogger;
	readonly metrics: PromMetrics;
	readonly network: LoopbackNetwork;
	readonly state: ProcessState;
	readonly runtime: Runtime<ProcessEvent, ProcessEffect>;
	readonly leaderClient: ControlLeaderClient;
	readonly operator: ControlOperator;
	readonly membership: MembershipHost;
	readonly parts: DisposableStore;
};

/** Parts of a process with the entry role. */
type EntryParts = {
	readonly client: ControlClient;
	readonly scheduler: SchedulerHost;
	readonly orders: OrderHost;
	readonly server: EntryServer;
};

/** A running process of the system. */
export class SystemProcess {
	/** Starts the roles of the settings. Rejects if an address is taken or the data folder cannot be trusted. */
	static async start(settings: Settings): Promise<SystemProcess> {
		const parts = new DisposableStore();
		try {
			const platform = await createPlatform(settings, parts, {initialVms: settings.control.map(peer => peer.vm)});
			const entry = settings.roles.includes('entry') ? await startEntry(platform) : undefined;
			await startOperators(platform, entry);
			return new SystemProcess(platform, entry);
		} catch (err) {
			await parts.dispose();
			throw err;
		}
	}

	private constructor(private readonly _platform: Platform, private readonly _entry: EntryParts | undefined) {
		_platform.logger.log('info', 'started', {roles: _platform.settings.roles, incarnation: _platform.self.incarnation});
	}

	/** Graceful shutdown: leaves the entry-point answers, serves until they have expired and the last request has ended. */
	async stop(): Promise<void> {
		const {logger, membership, parts} = this._platform;
		logger.log('info', 'stopping');
		membership.setDraining(true);
		handOver(this._platform);
		if (this._entry) {
			await this._entry.scheduler.stop();
			await this._entry.server.drained();
		}

		membership.leave();
		await parts.dispose();
		logger.log('info', 'stopped');
	}
}

/** Lets another member lead the replicated log before this process stops, so that rates stay confirmed. */
function handOver({state, self, runtime}: Platform): void {
	if (state.replica) {
		const to = currentMembers(state.replica.consensus).map(({vm}) => vm).filter(vm => vm !== self.vm);
		runtime.dispatch({type: 'control/step-down', to});
	}
}

/** How a process finds the other members of the replicated log. */
type ClusterOptions = {
	/** VMs that form the cluster at its first start; empty when they are learned later. */
	readonly initialVms: readonly VmId[];
	readonly admitsNewVms?: boolean;
	readonly timings?: Partial<ConsensusTimings>;
	/** Interval between attempts to reach lost members and seeds, in milliseconds. */
	readonly searchEveryMs?: number;
	/** Where a VM listens for others, if its name tells. */
	readonly addressOf?: (vm: VmId) => string;
	/** Whether the leader passes on a platform's list of servers. */
	readonly followsServers?: boolean;
	/** Further fields of each log line. */
	readonly logContext?: Readonly<Record<string, string>>;
};

async function createPlatform(settings: Settings, parts: DisposableStore, cluster: ClusterOptions): Promise<Platform> {
	// A VM without a disk cannot count its starts, so the incarnation is the start time by the VM's own clock, in ms.
	const self: VmIdentity = {vm: settings.vm, incarnation: Date.now()};
	const {vm, zone, region} = settings;
	const logger = new JsonLogger({
		vm, zone, region, ...cluster.logContext,
	});
	const metrics = new PromMetrics({vm, zone, region});
	const clock = new MonotonicClock();
	const tcp = parts.add(await TcpPeerNetwork.listen({
		cluster: settings.cluster,
		clusterKey: settings.clusterKey,
		self,
		listen: settings.listen.peers,
		count(metric, labels) {
			metrics.count(metric, labels);
		},
	}));
	for (const peer of settings.control) {
		if (peer.vm !== vm) {
			tcp.setAddress(peer.vm, peer.address);
		}
	}

	const network = parts.add(new LoopbackNetwork(tcp, self));
	const controlVms = cluster.initialVms;
	const storage = settings.roles.includes('control') ? createStorage(settings) : undefined;
	const state: ProcessState = {
		access: createAccess({controlVms, decode: decodeConfiguration, followsServers: cluster.followsServers === true}),
		replica: storage && await createReplica(settings, cluster, storage),
	};
	const seeds = new Set(settings.control.map(peer => peer.vm));
	// After a restart of them all, members of the log must find each other although seeds may have changed or be gone.
	for (const member of cluster.addressOf && state.replica ? currentMembers(state.replica.consensus) : []) {
		if (member.vm !== vm && !seeds.has(member.vm)) {
			tcp.setAddress(member.vm, cluster.addressOf!(member.vm));
			seeds.add(member.vm);
		}
	}

	const runtime = new Runtime<ProcessEvent, ProcessEffect>(event => reduce(state, event), clock);
	registerCoreEffects(runtime, network, logger, metrics);
	if (storage) {
		parts.add(new ConsensusHost(network, storage, runtime));
		parts.add(new ControlServer(network, runtime));
	}

	const leaderClient = new ControlLeaderClient({network, clock, controlVms});
	const membership = parts.add(new MembershipHost({
		self: describeSelf(settings, self),
		seeds: [...seeds],
		network,
		clock,
		logger,
		count: countOn(metrics),
		randomSeed: self.incarnation,
		...(cluster.searchEveryMs !== undefined && {searchEveryMs: cluster.searchEveryMs}),
	}));
	membership.start();
	return {
		settings, self, clock, logger, metrics, network, state, runtime, leaderClient, operator: new ControlOperator(leaderClient), membership, parts,
	};
}

function describeSelf({zone, roles, listen}: Settings, {vm, incarnation}: VmIdentity): SelfDescription {
	return {
		vm, incarnation, zone, roles, peerAddress: listen.peers, callerAddress: listen.callers, isDraining: false,
	};
}

function countOn(metrics: PromMetrics): (effect: CountEffect) => void {
	return ({metric, labels, by}) => {
		metrics.count(metric, labels, by);
	};
}

function createStorage(settings: Settings): LogStorage {
	return new FileLogStorage({folder: path.join(settings.dataFolder!, 'log'), fileSystem: new NodeFileSystem()});
}

async function createReplica(settings: Settings, {initialVms, admitsNewVms = false, timings = {}}: ClusterOptions, storage: LogStorage): Promise<Replica> {
	const consensus = createConsensus({
		vm: settings.vm, stored: await storage.load(), initialVms, admitsNewVms, timings, seed: Date.now() + process.pid,
	});
	return {consensus, control: createControl({decodeConfiguration, minElectionTimeoutMs: consensus.timings.electionMinMs}), memberChanges: new Set()};
}

function registerCoreEffects(runtime: Runtime<ProcessEvent, ProcessEffect>, network: LoopbackNetwork, logger: JsonLogger, metrics: PromMetrics): void {
	runtime.on('send', ({to, message}) => {
		network.send(to, message);
	});
	runtime.on('count', countOn(metrics));
	runtime.on('log', ({level, message, fields}) => {
		logger.log(level, message, fields);
	});
	runtime.on('notify', () => {
		// Replaced by the entry role; a control VM has no listener.
	});
}

/** The part of a process that follows the control VMs: view, allowances and claims. */
function createControlClient({
	runtime, state, network, clock, leaderClient, parts,
}: Platform): ControlClient {
	const client = parts.add(new ControlClient({
		host: runtime, state: state.access, network, clock, leaderClient,
	}));
	runtime.on('access/request', effect => {
		client.access.request(effect);
	});
	runtime.on('notify', effect => {
		client.access.notify(effect);
	});
	return client;
}

async function startEntry(platform: Platform): Promise<EntryParts> {
	const {
		settings, self, clock, logger, metrics, network, state, runtime, leaderClient, operator, membership, parts,
	} = platform;
	const client = createControlClient(platform);
	const schedulerOptions = {
		self, network, clock, logger, access: client.access, directory: membership, count: countOn(metrics),
	};
	const leases = new ControlLeaseStore(operator, self);
	const scheduler = parts.add(new SchedulerHost({...schedulerOptions, leases}));
	const orders = parts.add(new OrderHost({...schedulerOptions, leases, operator}));
	const {host, port} = splitAddress(settings.listen.callers!);
	const server = parts.add(new EntryServer({
		access: client.access,
		claims: client.claims,
		scheduler: parts.add(new PeerSchedulerClient(schedulerOptions)),
		entryPoints: new GossipEntryPointService({
			members: () => membership.members,
			leaving: () => membership.leaving,
			drained: () => client.access.view?.drainedVms ?? new Set(),
		}),
		metrics,
		logger,
		clock,
	}, {
		host, port, identity: self, zone: settings.zone, seed: self.incarnation,
	}));
	parts.add(new LoadReporter(percent => {
		membership.setLoad(percent);
		runtime.dispatch({type: 'access/load', load: server.running});
	}));
	followPlatformList(platform, client, server);
	scheduler.start();
	orders.start();
	await server.start();
	return {
		client, scheduler, orders, server,
	};
}

/** Leaving VMs get no new work: entry VMs through membership, upstreams through their registry. */
function followPlatformList({membership, metrics, parts}: Platform, client: ControlClient, server: EntryServer): void {
	const list = parts.add(new PlatformList({
		count: countOn(metrics),
		onList(vms) {
			membership.setPlatformList(vms);
			server.setLeavingUpstreams(membership.leaving);
		},
	}));
	client.access.events.on('onViewChanged', ({configuration}) => {
		list.configure(configuration.platform);
	});
}

async function startOperators(platform: Platform, entry: EntryParts | undefined): Promise<void> {
	const {settings, metrics, operator, parts} = platform;
	parts.add(await OperatorServer.listen({
		listen: settings.listen.operators,
		token: settings.operatorToken,
		service: new ControlOperatorService(operator, replicaMembers(platform)),
		metrics,
		whyNotReady: () => whyNotReady(platform, entry),
		dump: () => dumpProcess(platform, entry),
	}));
}

function replicaMembers({state, runtime}: Platform): ReplicaMembers | undefined {
	const consensus = state.replica?.consensus;
	return consensus && {
		list: () => ({leader: consensus.leader, members: currentMembers(consensus), joinRequests: consensus.joinRequests}),
		change: async change => runtime.ask<MemberChangeReply>(token => ({type: 'consensus/change-members', token, change}), memberChangeTimeoutMs),
	};
}

function whyNotReady({state}: Platform, entry: EntryParts | undefined): string | undefined {
	if (entry && !entry.client.access.view) {
		return 'no configuration was received yet';
	}

	if (entry && !entry.client.access.isFresh()) {
		return 'no quorum confirmed the view recently';
	}

	if (state.replica && state.replica.consensus.role !== 'leader' && state.replica.consensus.leader === undefined) {
		return 'the replicated log has no leader';
	}

	return undefined;
}

/** Control VMs of one region answer within a few milliseconds, so a leader that is silent for this long is lost. In milliseconds. */
const fleetTimings = {heartbeatMs: 75, electionMinMs: 300, electionMaxMs: 600};
/** Interval between attempts to reach lost members and seeds, in milliseconds; a cut that heals must be noticed well within 3 s. */
const fleetSearchMs = 1000;
/** Time for the news of a drain to reach every process that answers entry-point questions, in milliseconds. */
const drainSpreadMs = 1000;
/** Longest time for which callers keep an answer, as a multiple of its validity. */
const answerKeepFactor = 3;

/** Parts of a process that forwards by host and path. */
type FleetParts = {
	readonly server: ForwardServer;
	readonly fleet: ServerFleet;
};

/** A process whose callers, servers and operators speak a platform's protocol. */
export class FleetProcess {
	/** Rejects if an address is taken or the data folder cannot be trusted. */
	static async start(settings: Settings, fleetSettings: FleetSettings, protocol: FleetProtocol): Promise<FleetProcess> {
		const parts = new DisposableStore();
		const {port} = splitAddress(settings.listen.peers);
		try {
			const platform = await createPlatform(settings, parts, {
				initialVms: [],
				admitsNewVms: true,
				timings: fleetTimings,
				searchEveryMs: fleetSearchMs,
				// A VM's name is its IP address, and ports are the same on all VMs.
				addressOf: vm => `${vm}:${port}`,
				followsServers: fleetSettings.serverList !== undefined,
				logContext: {node: fleetSettings.node},
			});
			const fleet = await startForwarding(platform, fleetSettings, protocol);
			formCluster(platform, fleetSettings);
			return new FleetProcess(platform, fleet);
		} catch (err) {
			await parts.dispose();
			throw err;
		}
	}

	private constructor(private readonly _platform: Platform, private readonly _fleet: FleetParts) {
		_platform.logger.log('info', 'started', {roles: _platform.settings.roles, incarnation: _platform.self.incarnation});
	}

	/** Notes that the settings file changed. Nothing in it is used after the start: what changes while the process runs comes with the configuration. */
	noteSettingsChange(): void {
		this._platform.logger.log('info', 'settings changed, in use from the next start');
	}

	/** Ends at once; requests that run are interrupted. */
	async kill(): Promise<void> {
		await this._platform.parts.dispose();
	}

	/** Graceful shutdown: leaves the entry-point answers and serves until the last request has ended or the time is over. */
	async stop(): Promise<void> {
		const {logger, membership, parts} = this._platform;
		logger.log('info', 'stopping');
		membership.setDraining(true);
		handOver(this._platform);
		await this._fleet.server.waitUntilDrained();
		membership.leave();
		await parts.dispose();
		logger.log('info', 'stopped');
	}
}

/** Keeps the list of control VMs in step with the members, and forms the cluster at the first start of the whole system. */
function formCluster(platform: Platform, {isInitialClusterStart}: FleetSettings): void {
	const {
		self, settings, network, clock, logger, membership, leaderClient, runtime, state, parts,
	} = platform;
	const seeds = settings.control.map(peer => peer.vm);
	const follow = () => {
		const vms = membership.members.filter(({roles, status}) => roles.includes('control') && status !== 'dead').map(({vm}) => vm).sort();
		if (vms.length > 0) {
			leaderClient.setControlVms(vms);
			runtime.dispatch({type: 'access/control-vms', vms});
			runtime.dispatch({type: 'consensus/peers', knownVms: vms});
		}
	};

	membership.events.on('onMemberChanged', follow);
	follow();
	if (!isInitialClusterStart) {
		return;
	}

	const options = {
		network, clock, logger, self: self.vm, seeds,
	};
	serveFormation(options);
	if (state.replica) {
		const abort = new AbortController();
		parts.add({
			dispose() {
				abort.abort();
			},
		});
		void (async () => {
			try {
				const initialVms = await waitForFounders(options, abort.signal);
				runtime.dispatch({type: 'consensus/peers', initialVms, knownVms: initialVms});
			} catch (err) {
				logger.log('info', 'formation given up', {detail: err instanceof Error ? err.message : String(err)});
			}
		})();
	}
}

async function startForwarding(platform: Platform, fleetSettings: FleetSettings, protocol: FleetProtocol): Promise<FleetParts> {
	const {
		settings, self, clock, logger, metrics, network, state, runtime, leaderClient, operator, membership, parts,
	} = platform;
	const client = createControlClient(platform);
	const processCount = () => Math.max(1, membership.entries.live.length);
	const fleet = parts.add(new ServerFleet({
		protocol,
		clock,
		logger,
		seed: self.incarnation,
		retries: fleetSettings.retries,
		processCount,
		announceUnreachable(key) {
			statusBroadcaster.announceUnreachable(key);
		},
		announceSuspended(key, forMs) {
			statusBroadcaster.announceSuspended(key, forMs);
		},
		announceLeaving(key) {
			statusBroadcaster.announceLeaving(key);
		},
	}));
	const statusBroadcaster = new ServerStatusBroadcaster({
		self: self.vm,
		network,
		processes: () => membership.entries.live,
		leader: () => client.access.leader,
		onUnreachable(key, announcedBy) {
			void fleet.probeReported(key, announcedBy);
		},
		onSuspended(key, forMs, announcedBy) {
			fleet.applyAnnouncedSuspension(key, forMs, announcedBy);
		},
		onLeaving(key, announcedBy) {
			fleet.recordAnnouncedShutdown(key, announcedBy);
		},
	});
	const {host, port} = splitAddress(settings.listen.callers!);
	const server = parts.add(new ForwardServer({
		protocol,
		fleet,
		metrics,
		logger,
		clock,
		zone: settings.zone,
		access: client.access,
		host,
		port,
		stopWithinMs: fleetSettings.stopWithinMs,
		entryAnswerExpiryMs: (Math.min(entryAnswerValidityMs, fleetSettings.maxEntryAnswerValidityMs) * answerKeepFactor) + drainSpreadMs,
	}));
	if (state.replica) {
		const {consensus} = state.replica;
		parts.add(new StageBalancer({
			clock,
			logger,
			metrics,
			protocol,
			fleet,
			lease: new LeaseHolder(ordersLease, new ControlLeaseStore(operator, self), clock),
			isLeader: () => consensus.role === 'leader',
			holderName: fleetSettings.node,
			services: () => client.access.view?.configuration.forwarding?.services.filter(({engine}) => engine).map(({name}) => name) ?? [],
			announceSuspended(key, forMs) {
				statusBroadcaster.announceSuspended(key, forMs);
			},
			minOrderGapMs: fleetSettings.minOrderGapMs,
		}));
	}

	if (fleetSettings.serverList) {
		const poller = parts.add(new ServerListPoller({
			...fleetSettings.serverList,
			processCount,
			protocol,
			metrics,
			logger,
			clock,
			isReader: () => state.replica?.consensus.role === 'leader',
			mayBeReader: state.replica !== undefined,
			listAgeMs: () => fleet.listAgeMs(),
			onList(servers, requestedMs) {
				fleet.update(servers, requestedMs);
				if (state.replica) {
					runtime.dispatch({type: 'control/servers', records: servers, requestedMs});
				}
			},
		}));
		client.access.events.on('onServers', ({records, requestedMs, isChanged}) => {
			if (isChanged) {
				metrics.observe('server_list_learned_ms', clock.nowMs() - requestedMs);
			}

			fleet.update(records, requestedMs);
		});
		poller.start();
	}

	parts.add(await FleetHttpServers.start({
		protocol,
		operator,
		logger,
		metrics,
		dump: () => ({
			...dumpProcess(platform, undefined), running: server.runningRequests, isDraining: server.isDraining, servers: [...fleet.directory.servers],
		}),
		members: () => membership.members,
		isReady: () => server.handler.isConfigured && !server.isDraining,
		listen: {operators: settings.listen.operators, ...fleetSettings.listen},
	}));
	await server.start();
	return {server, fleet};
}
