/** Creates and connects the components of one process. No other module constructs them. */
import path from 'node:path';
import process from 'node:process';
import {createAccessState} from '../common/access/access.js';
import type {Settings} from '../common/configuration/types.js';
import {createConsensusState, currentMembers, isStorageSlow} from '../common/consensus/state.js';
import {ordersLeaseName} from '../common/control/apply.js';
import {createControl} from '../common/control/control.js';
import {DisposableStore} from '../common/core/disposable.js';
import type {
	CountEffect, VmId, VmIdentity,
} from '../common/core/types.js';
import type {ConsensusTimings} from '../common/consensus/types.js';
import {SpeedNews, speedNewsSchema} from '../common/forwarding/speed-news.js';
import {announcedCapacity} from '../common/membership/entry-point-sample.js';
import type {LocalMember} from '../common/membership/types.js';
import {reduce} from '../common/reducer.js';
import type {
	MemberChangeReply, ProcessEffect, ProcessEvent, ProcessState, Replica,
} from '../common/reducer.js';
import {planMemory} from '../common/memory/memory-plan.js';
import {splitAddress} from './address.js';
import {SystemClock} from './clock.js';
import {decodeConfiguration} from './control/configuration-codec.js';
import {ConsensusHost} from './control/consensus-host.js';
import {waitForFounders, serveFormation} from './control/formation-host.js';
import {ControlClient} from './control/control-client.js';
import {ControlLeaseStore} from './control/control-lease-store.js';
import {ControlLeaderClient} from './control/control-leader-client.js';
import {ControlAdminClient} from './control/control-admin-client.js';
import {EvacuationOrders} from './control/evacuation-orders.js';
import {ControlServer} from './control/control-server.js';
import {EntryServer} from './entry/entry-server.js';
import {GossipEntryPointService} from './membership/gossip-entry-point-service.js';
import {MembershipHost} from './membership/membership-host.js';
import {PlatformListPoller} from './membership/platform-list-poller.js';
import {MemoryKeeper} from './memory/memory-keeper.js';
import {RequestIntake} from './memory/request-intake.js';
import {JsonLogger} from './observability/json-logger.js';
import {LoadReporter} from './observability/load-reporter.js';
import {PromMetrics} from './observability/prom-metrics.js';
import {createStateDump} from './observability/state-dump.js';
import {ControlOperatorService} from './operators/control-operator-service.js';
import type {ReplicaMembers} from './operators/control-operator-service.js';
import {OperatorServer} from './operators/operator-server.js';
import {OrderHost} from './orders/order-host.js';
import {ServerStatusBroadcaster} from './forwarding/server-status-broadcaster.js';
import {FleetHttpServers, entryAnswerValidityMs} from './forwarding/fleet-http-servers.js';
import type {FleetProtocol} from './forwarding/fleet-protocol.js';
import type {FleetSettings, VmLimits} from './forwarding/fleet-settings.js';
import {ForwardServer} from './forwarding/forward-server.js';
import {ServerFleet} from './forwarding/server-fleet.js';
import {ServerListPoller} from './forwarding/server-list-poller.js';
import {StageBalancer} from './forwarding/stage-balancer.js';
import {BlockFile} from './quarantine/block-file.js';
import {RequestQuarantine} from './quarantine/request-quarantine.js';
import {ReducerRuntime} from './runtime.js';
import {LeaseHolder} from './scheduler/lease-holder.js';
import {LoopbackNetwork} from './scheduler/loopback-network.js';
import {PeerSchedulerClient} from './scheduler/peer-scheduler-client.js';
import {SchedulerHost} from './scheduler/scheduler-host.js';
import {FileLogStorage} from './storage/file-log-storage.js';
import type {LogStorage} from './storage/log-storage.js';
import {NodeFileSystem} from './storage/file-system.js';
import {TcpPeerNetwork} from './transport/tcp-peer-network.js';

/** Timeout for committing a change of the members of the replicated log, in milliseconds. */
const memberChangeTimeoutMs = 5000;

/** Components that every process has. */
type CoreComponents = {
	readonly settings: Settings;
	readonly self: VmIdentity;
	readonly clock: SystemClock;
	readonly logger: JsonLogger;
	readonly metrics: PromMetrics;
	readonly network: LoopbackNetwork;
	readonly state: ProcessState;
	readonly runtime: ReducerRuntime<ProcessEvent, ProcessEffect>;
	readonly leaderClient: ControlLeaderClient;
	readonly adminClient: ControlAdminClient;
	readonly membership: MembershipHost;
	readonly quarantine: RequestQuarantine;
	readonly disposables: DisposableStore;
};

/** Components that a process with the entry role has in addition to `CoreComponents`. */
type EntryComponents = {
	readonly client: ControlClient;
	readonly scheduler: SchedulerHost;
	readonly orders: OrderHost;
	readonly server: EntryServer;
};

/** A running process of the router, with the entry role, the control role or both. */
export class SystemProcess {
	/** Starts the process with the roles that the settings name. Rejects if an address is in use or if the stored log in the data folder cannot be loaded. */
	static async start(settings: Settings): Promise<SystemProcess> {
		const disposables = new DisposableStore();
		try {
			const core = await createCoreComponents(settings, disposables, {initialVms: settings.control.map(peer => peer.vm)});
			const entry = settings.roles.includes('entry') ? await startEntry(core) : undefined;
			await startOperatorServer(core, entry);
			return new SystemProcess(core, entry);
		} catch (err) {
			await disposables.dispose();
			throw err;
		}
	}

	private constructor(private readonly _core: CoreComponents, private readonly _entry: EntryComponents | undefined) {
		_core.logger.log('info', 'started', {roles: _core.settings.roles, incarnation: _core.self.incarnation});
	}

	/** Shuts down gracefully: withdraws this VM from new entry-point answers, then serves until every answer that still names the VM has expired and the last request has ended. */
	async stop(): Promise<void> {
		const {logger, membership, disposables} = this._core;
		logger.log('info', 'stopping');
		membership.setDraining(true);
		handOverLeadership(this._core);
		if (this._entry) {
			await this._entry.scheduler.stop();
			await this._entry.server.drain();
		}

		membership.leave();
		await disposables.dispose();
		logger.log('info', 'stopped');
	}
}

/** If this process leads the replicated log, makes it step down and send its rate limit state to the other members, so that the next leader need not wait until the grants of this one have expired. */
function handOverLeadership({state, self, runtime}: CoreComponents): void {
	if (state.replica) {
		const to = currentMembers(state.replica.consensus).map(({vm}) => vm).filter(vm => vm !== self.vm);
		runtime.dispatch({type: 'control/step-down', to});
	}
}

/** Options of the replicated log, membership and logging that differ between the two kinds of process. */
type ClusterOptions = {
	/** VMs whose control processes form the replicated log when the cluster starts for the first time; empty if they are determined after the process has started. */
	readonly initialVms: readonly VmId[];
	/** Whether the replicated log adds and removes members without an operator; false by default. */
	readonly managesMembers?: boolean;
	/** Number of voters that remain when it removes one; the default applies if absent. */
	readonly minVoters?: number;
	/** Timings of the replicated log, in milliseconds, that differ from the defaults. */
	readonly timings?: Partial<ConsensusTimings>;
	/** Interval between attempts to reach dead members and seeds that are not in the member list, in milliseconds; the default applies if absent. */
	readonly rejoinIntervalMs?: number;
	/** Returns the peer address (IP and port) of a VM; set only if the address follows from the name of the VM. */
	readonly peerAddressOf?: (vm: VmId) => string;
	/** Whether the process receives the platform's server list from the leader; false by default. */
	readonly followsServerList?: boolean;
	/** Capacity that this VM announces to the other members, in thousandths of a core; absent if it announces none. */
	readonly capacity?: number;
	/** Limits of the VM; absent if they are not known. */
	readonly vmLimits?: VmLimits;
	/** Fields added to every log line. */
	readonly logContext?: Readonly<Record<string, string>>;
};

async function createCoreComponents(settings: Settings, disposables: DisposableStore, cluster: ClusterOptions): Promise<CoreComponents> {
	// Uses the start time in Unix milliseconds as the incarnation, since a VM without a disk cannot keep a counter of its starts.
	const self: VmIdentity = {vm: settings.vm, incarnation: Date.now()};
	const {vm, zone, region} = settings;
	const logger = new JsonLogger({
		vm, zone, region, ...cluster.logContext,
	});
	const metrics = new PromMetrics({vm, zone, region});
	const clock = new SystemClock();
	const tcp = disposables.add(await TcpPeerNetwork.listen({
		cluster: settings.cluster,
		clusterKey: settings.clusterKey,
		self,
		listen: settings.listen.peers,
		count(metric, labels) {
			metrics.count(metric, labels);
		},
		logger,
		maxUnprovenPeers: planMemory(cluster.vmLimits).maxUnprovenPeers,
	}));
	for (const peer of settings.control) {
		if (peer.vm !== vm) {
			tcp.setAddress(peer.vm, peer.address);
		}
	}

	const network = disposables.add(new LoopbackNetwork(tcp, self));
	const controlVms = cluster.initialVms;
	const storage = settings.roles.includes('control') ? createLogStorage(settings, logger, metrics) : undefined;
	const state: ProcessState = {
		access: createAccessState({controlVms, decodeConfiguration, followsServerList: cluster.followsServerList === true}),
		replica: storage && await createReplica(settings, cluster, storage),
	};
	const seeds = new Set(settings.control.map(peer => peer.vm));
	// Adds the members of the replicated log to the seeds, since members that restart at the same time must find each other even if no configured seed is up.
	for (const member of cluster.peerAddressOf && state.replica ? currentMembers(state.replica.consensus) : []) {
		if (member.vm !== vm && !seeds.has(member.vm)) {
			tcp.setAddress(member.vm, cluster.peerAddressOf!(member.vm));
			seeds.add(member.vm);
		}
	}

	const runtime = new ReducerRuntime<ProcessEvent, ProcessEffect>(event => reduce(state, event), clock);
	registerCoreEffects(runtime, network, logger, metrics);
	if (storage) {
		disposables.add(new ConsensusHost(network, storage, runtime));
		disposables.add(new ControlServer(network, runtime));
	}

	const leaderClient = new ControlLeaderClient({network, clock, controlVms});
	const membership = disposables.add(new MembershipHost({
		self: {...describeSelf(settings, self), ...(cluster.capacity !== undefined && {capacity: cluster.capacity})},
		seeds: [...seeds],
		network,
		clock,
		logger,
		count: createCountHandler(metrics),
		randomSeed: self.incarnation,
		...(cluster.rejoinIntervalMs !== undefined && {rejoinIntervalMs: cluster.rejoinIntervalMs}),
	}));
	const quarantine = disposables.add(new RequestQuarantine({
		self,
		network,
		clock,
		logger,
		metrics,
		liveMembers: () => membership.liveMembers,
		blockFile: settings.dataFolder === undefined
			? undefined
			: disposables.add(new BlockFile({
				folder: settings.dataFolder, fileSystem: new NodeFileSystem(), clock, logger, metrics,
			})),
	}));
	membership.setGossipCompanion((to, isPage) => {
		quarantine.accompanyGossip(to, isPage);
	});
	membership.start();
	return {
		settings, self, clock, logger, metrics, network, state, runtime, leaderClient, adminClient: new ControlAdminClient(leaderClient), membership, quarantine, disposables,
	};
}

function describeSelf({zone, roles, listen}: Settings, {vm, incarnation}: VmIdentity): LocalMember {
	return {
		vm, incarnation, zone, roles, peerAddress: listen.peers, callerAddress: listen.callers, isDraining: false,
	};
}

function createCountHandler(metrics: PromMetrics): (effect: CountEffect) => void {
	return ({metric, labels, by}) => {
		metrics.count(metric, labels, by);
	};
}

function createLogStorage(settings: Settings, logger: JsonLogger, metrics: PromMetrics): LogStorage {
	return new FileLogStorage({
		folder: path.join(settings.dataFolder!, 'log'),
		fileSystem: new NodeFileSystem(),
		onRefused({step, code, detail}) {
			metrics.count('storage_refusals_total', {step, code});
			logger.log('error', 'disk refuses an operation; the member of the replicated log pauses', {step, code, detail});
		},
		onAccepted(step, refusals) {
			logger.log('info', 'disk accepts operations again', {step, refusals});
		},
	});
}

async function createReplica(settings: Settings, {initialVms, managesMembers = false, minVoters, timings = {}}: ClusterOptions, storage: LogStorage): Promise<Replica> {
	const consensus = createConsensusState({
		vm: settings.vm, stored: await storage.load(), initialVms, managesMembers, timings, seed: Date.now() + process.pid, ...(minVoters !== undefined && {minVoters}),
	});
	return {consensus, control: createControl({decodeConfiguration, minElectionTimeoutMs: consensus.timings.electionTimeoutMinMs}), pendingMemberChangeTokens: new Set()};
}

function registerCoreEffects(runtime: ReducerRuntime<ProcessEvent, ProcessEffect>, network: LoopbackNetwork, logger: JsonLogger, metrics: PromMetrics): void {
	runtime.on('send', ({to, message}) => {
		network.send(to, message);
	});
	runtime.on('count', createCountHandler(metrics));
	runtime.on('log', ({level, message, fields}) => {
		logger.log(level, message, fields);
	});
	runtime.on('notify', () => {
		// Does nothing in a process with only the control role, which has no listeners; `createControlClient` replaces this handler.
	});
}

/** Creates the client through which this process syncs its view of the shared state, takes rate tokens and makes claims, and registers the client's effect handlers with the runtime. */
function createControlClient({
	runtime, state, network, clock, leaderClient, disposables,
}: CoreComponents): ControlClient {
	const client = disposables.add(new ControlClient({
		host: runtime, state: state.access, network, clock, leaderClient,
	}));
	runtime.on('access/request', effect => {
		client.access.executeRequest(effect);
	});
	runtime.on('notify', effect => {
		client.access.notify(effect);
	});
	return client;
}

async function startEntry(core: CoreComponents): Promise<EntryComponents> {
	const {
		settings, self, clock, logger, metrics, network, state, runtime, leaderClient, adminClient, membership, quarantine, disposables,
	} = core;
	const client = createControlClient(core);
	const schedulerOptions = {
		self, network, clock, logger, access: client.access, directory: membership, count: createCountHandler(metrics),
	};
	const leases = new ControlLeaseStore(adminClient, self);
	const scheduler = disposables.add(new SchedulerHost({...schedulerOptions, leases}));
	const orders = disposables.add(new OrderHost({...schedulerOptions, leases, adminClient}));
	const {host, port} = splitAddress(settings.listen.callers!);
	const server = disposables.add(new EntryServer({
		access: client.access,
		claims: client.claims,
		scheduler: disposables.add(new PeerSchedulerClient(schedulerOptions)),
		entryPoints: new GossipEntryPointService({
			members: () => membership.members,
			leavingVms: () => membership.leavingVms,
			drainedVms: () => client.access.view?.drainedVms ?? new Set(),
		}),
		metrics,
		logger,
		clock,
		quarantine,
	}, {
		host, port, identity: self, zone: settings.zone, seed: self.incarnation,
	}));
	disposables.add(new LoadReporter(percent => {
		membership.setLoad(percent);
		runtime.dispatch({type: 'access/load', load: server.runningCount});
	}));
	watchPlatformList(core, client, server);
	scheduler.start();
	orders.start();
	await server.start();
	return {
		client, scheduler, orders, server,
	};
}

/** Starts polling the platform's list of VMs, so that leaving VMs get no new work: entry-point answers omit leaving entry VMs, and the entry server sends no requests to leaving upstreams. */
function watchPlatformList({membership, metrics, clock, disposables}: CoreComponents, client: ControlClient, server: EntryServer): void {
	const poller = disposables.add(new PlatformListPoller({
		clock,
		count: createCountHandler(metrics),
		onVmList(vms) {
			membership.updatePlatformList(vms);
			server.setLeavingUpstreams(membership.leavingVms);
		},
	}));
	client.access.events.on('onViewChanged', ({configuration}) => {
		poller.configure(configuration.platform);
	});
}

async function startOperatorServer(core: CoreComponents, entry: EntryComponents | undefined): Promise<void> {
	const {settings, metrics, adminClient, disposables} = core;
	disposables.add(await OperatorServer.listen({
		listen: settings.listen.operators,
		token: settings.operatorToken,
		service: new ControlOperatorService(adminClient, createReplicaMembers(core)),
		metrics,
		getNotReadyReason: () => getNotReadyReason(core, entry),
		dump: () => createStateDump(core, entry),
	}));
}

function createReplicaMembers({state, runtime}: CoreComponents): ReplicaMembers | undefined {
	const consensus = state.replica?.consensus;
	return consensus && {
		list: () => ({leader: consensus.leader, members: currentMembers(consensus), joinRequests: consensus.joinRequests}),
		change: async change => runtime.request<MemberChangeReply>(token => ({type: 'consensus/change-members', token, change}), memberChangeTimeoutMs),
	};
}

function getNotReadyReason({state, clock}: CoreComponents, entry: EntryComponents | undefined): string | undefined {
	if (entry && !entry.client.access.view) {
		return 'no configuration was received yet';
	}

	if (entry && !entry.client.access.isFresh()) {
		return 'no quorum confirmed the view recently';
	}

	if (state.replica && state.replica.consensus.role !== 'leader' && state.replica.consensus.leader === undefined) {
		return 'the replicated log has no leader';
	}

	// A VM that also serves callers goes on serving them: the other members keep the log.
	if (!entry && state.replica && isStorageSlow({state: state.replica.consensus, nowMs: clock.nowMs()})) {
		return 'the disk of the replicated log accepts no writes';
	}

	return undefined;
}

/** Timings of the replicated log in a `FleetProcess`. Its control VMs are in one region and answer each other within a few milliseconds, so a leader that is silent for the election timeout has failed. */
const fleetConsensusTimings = {heartbeatMs: 75, electionTimeoutMinMs: 300, electionTimeoutMaxMs: 600};
/** Interval between attempts to reach dead members and seeds that are not in the member list, in milliseconds. Short, since the end of a partition must be detected well within 3 s. */
const fleetRejoinIntervalMs = 1000;
/** Time within which gossip spreads the drain of a VM to every process that answers entry-point queries, in milliseconds. */
const drainPropagationMs = 1000;
/** Longest time for which callers use an entry-point answer, as a multiple of the validity that the answer states. */
const entryAnswerRetentionFactor = 3;

/** Largest fraction (0 to 1) of the memory that one customer of a `FleetProcess` may occupy. */
const maxCustomerShare = 0.5;

/** Components that a `FleetProcess` has in addition to `CoreComponents`. */
type FleetComponents = {
	readonly server: ForwardServer;
	readonly fleet: ServerFleet;
};

/** A running process that forwards requests by host and path, and whose callers, servers and operators use a platform's protocol. */
export class FleetProcess {
	/** Starts the process. Rejects if an address is in use or if the stored log in the data folder cannot be loaded. */
	static async start(settings: Settings, fleetSettings: FleetSettings, protocol: FleetProtocol): Promise<FleetProcess> {
		const disposables = new DisposableStore();
		const {port} = splitAddress(settings.listen.peers);
		try {
			const core = await createCoreComponents(settings, disposables, {
				initialVms: [],
				managesMembers: true,
				// Each loss that is to be borne takes one voter from the majority.
				minVoters: (2 * fleetSettings.tolerableLosses) + 1,
				timings: fleetConsensusTimings,
				rejoinIntervalMs: fleetRejoinIntervalMs,
				// The name of a VM is its IP address, and all VMs use the same port for peers.
				peerAddressOf: vm => `${vm}:${port}`,
				followsServerList: fleetSettings.serverList !== undefined,
				...(fleetSettings.vmLimits && {capacity: announcedCapacity(fleetSettings.vmLimits)}),
				logContext: {node: fleetSettings.node},
				...(fleetSettings.vmLimits && {vmLimits: fleetSettings.vmLimits}),
			});
			const fleet = await startForwarding(core, fleetSettings, protocol);
			trackControlVms(core, fleetSettings);
			return new FleetProcess(core, fleet);
		} catch (err) {
			await disposables.dispose();
			throw err;
		}
	}

	private constructor(private readonly _core: CoreComponents, private readonly _fleet: FleetComponents) {
		_core.logger.log('info', 'started', {roles: _core.settings.roles, incarnation: _core.self.incarnation});
	}

	/** Logs that the settings file changed, which has no effect until the next start. What can change at run time is in the shared configuration instead. */
	logSettingsChange(): void {
		this._core.logger.log('info', 'settings file changed; changes take effect at the next start');
	}

	/** Stops at once and interrupts running requests. */
	async kill(): Promise<void> {
		await this._core.disposables.dispose();
	}

	/** Shuts down gracefully: withdraws this VM from new entry-point answers, then serves until every answer that still names the VM has expired and no request is running, or until the grace period (`stopWithinMs`) is over. */
	async stop(): Promise<void> {
		const {logger, membership, runtime, disposables} = this._core;
		logger.log('info', 'stopping');
		membership.setDraining(true);
		runtime.dispatch({type: 'consensus/leave'});
		handOverLeadership(this._core);
		await this._fleet.server.drain();
		membership.leave();
		await disposables.dispose();
		logger.log('info', 'stopped');
	}
}

/** Updates the list of control VMs whenever a cluster member changes, and takes part in forming the replicated log if the whole system starts for the first time. */
function trackControlVms(core: CoreComponents, {isInitialClusterStart}: FleetSettings): void {
	const {
		self, settings, network, clock, logger, membership, leaderClient, runtime, state, disposables,
	} = core;
	const seeds = settings.control.map(peer => peer.vm);
	const updateControlVms = () => {
		const vms = membership.members.filter(({roles, status}) => roles.includes('control') && status !== 'dead').map(({vm}) => vm).sort();
		if (vms.length > 0) {
			leaderClient.setControlVms(vms);
			runtime.dispatch({type: 'access/control-vms', vms});
			runtime.dispatch({type: 'consensus/peers', knownVms: vms});
		}
	};

	membership.events.on('onMemberChanged', updateControlVms);
	updateControlVms();
	if (!isInitialClusterStart) {
		return;
	}

	const options = {
		network, clock, logger, self: self.vm, seeds,
	};
	serveFormation(options);
	if (state.replica) {
		const abort = new AbortController();
		disposables.add({
			dispose() {
				abort.abort();
			},
		});
		void (async () => {
			try {
				const initialVms = await waitForFounders(options, abort.signal);
				runtime.dispatch({type: 'consensus/peers', initialVms, knownVms: initialVms});
			} catch (err) {
				logger.log('info', 'cluster formation aborted', {detail: err instanceof Error ? err.message : String(err)});
			}
		})();
	}
}

/** Returns a function that tells whether the deployment has a zone of a given name: one of the settings, this process's own, or a listed server's. Any name passes if the settings name no zones. */
function createZoneCheck(ownZone: string, {regionByZone}: FleetSettings, fleet: ServerFleet): (zone: string) => boolean {
	return zone => regionByZone.size === 0 || regionByZone.has(zone) || zone === ownZone || [...fleet.directory.servers].some(({record}) => record.zone === zone);
}

/** Shares what this process learns about the speed of servers, along with gossip. */
function startSpeedNews({network, clock, membership, quarantine}: CoreComponents, {directory}: ServerFleet): void {
	const speedNews = new SpeedNews();
	network.registerHandler('forwarding/speeds', speedNewsSchema, (_from, message) => {
		speedNews.apply(message, directory.servers, clock.nowMs());
	});
	membership.setGossipCompanion((to, isPage) => {
		quarantine.accompanyGossip(to, isPage);
		const message = speedNews.take(directory, clock.nowMs());
		if (message) {
			network.sendDatagram(to, message);
		}
	});
}

async function startForwarding(core: CoreComponents, fleetSettings: FleetSettings, protocol: FleetProtocol): Promise<FleetComponents> {
	const {
		settings, self, clock, logger, metrics, network, state, runtime, leaderClient, adminClient, membership, quarantine, disposables,
	} = core;
	const client = createControlClient(core);
	const regionByZone = new Map([[settings.zone, settings.region], ...fleetSettings.regionByZone]);
	const plan = planMemory(fleetSettings.vmLimits);
	const memory = new MemoryKeeper({
		totalBytes: plan.totalBytes, maxRequestBytes: plan.maxRequestBytes, maxOwnerShare: maxCustomerShare, clock, logger, metrics,
	});
	const intake = disposables.add(new RequestIntake({
		memory, clock, logger, metrics,
	}));
	const processCount = () => Math.max(1, membership.entries.live.length);
	const fleet = disposables.add(new ServerFleet({
		protocol,
		clock,
		logger,
		seed: self.incarnation,
		retries: fleetSettings.retries,
		processCount,
		...(fleetSettings.coldAllowance && {cold: {allowance: fleetSettings.coldAllowance, self: self.vm, processes: () => membership.entries}}),
		announceUnreachable(key) {
			statusBroadcaster.announceUnreachable(key);
		},
		announceSuspended(key, forMs) {
			statusBroadcaster.announceSuspended(key, forMs);
		},
		announceLeaving(key) {
			statusBroadcaster.announceLeaving(key);
		},
		onServerLost(key) {
			quarantine.recordServerLost(key);
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
	startSpeedNews(core, fleet);
	const {host, port} = splitAddress(settings.listen.callers!);
	const server = disposables.add(new ForwardServer({
		protocol,
		fleet,
		quarantine,
		metrics,
		logger,
		clock,
		memory,
		plan,
		intake,
		zone: settings.zone,
		access: client.access,
		regionByZone,
		host,
		port,
		stopWithinMs: fleetSettings.stopWithinMs,
		entryAnswerExpiryMs: (Math.min(entryAnswerValidityMs, fleetSettings.maxEntryAnswerValidityMs) * entryAnswerRetentionFactor) + drainPropagationMs,
	}));
	if (state.replica) {
		const {consensus} = state.replica;
		disposables.add(new StageBalancer({
			clock,
			logger,
			metrics,
			protocol,
			fleet,
			lease: new LeaseHolder(ordersLeaseName, new ControlLeaseStore(adminClient, self), clock),
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
		const poller = disposables.add(new ServerListPoller({
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
		client.access.events.on('onServerListReceived', ({records, requestedMs, isChanged}) => {
			if (isChanged) {
				metrics.observe('server_list_learned_ms', clock.nowMs() - requestedMs);
			}

			fleet.update(records, requestedMs);
		});
		poller.start();
	}

	disposables.add(await FleetHttpServers.start({
		protocol,
		adminClient,
		evacuations: new EvacuationOrders(adminClient, clock),
		isKnownZone: createZoneCheck(settings.zone, fleetSettings, fleet),
		memory,
		plan,
		intake,
		clock,
		logger,
		metrics,
		dump: () => ({
			...createStateDump(core, undefined),
			running: server.runningRequests,
			isDraining: server.isDraining,
			evacuatedZones: [...fleet.directory.evacuatedZones],
			servers: [...fleet.directory.servers],
			zoneChoices: fleet.directory.dumpRankings(clock.nowMs()),
		}),
		members: () => membership.members,
		namedRegions: host => server.handler.namedRegions(host),
		regionByZone,
		random: () => fleet.random.next(),
		isReady: () => server.handler.isConfigured && !server.isDraining,
		listen: {operators: settings.listen.operators, ...fleetSettings.listen},
	}));
	await server.start();
	return {server, fleet};
}
