import type {SeededRandom} from '../core/random.js';
import {OutlierEjection} from '../requests/outlier-ejection.js';
import type {ColdBudget, ColdRate} from './cold-budget.js';
import {EngineRanking, lowestCostServer} from './engine-ranking.js';
import type {DepartureReason, RankingFacts} from './engine-ranking.js';
import {SpeedEstimate} from './engine-speed.js';
import {ServerNotices} from './server-notices.js';
import {serverKey} from './types.js';
import type {EngineStage, ServerKey, ServerRecord} from './types.js';

/** Weight of the newest sample in a server's moving averages of latency and failure share. */
const sampleWeight = 0.1;
/** Latency assumed for a server without samples, in milliseconds. */
const initialLatencyMs = 20;
/** Penalty for failures: a failure share of 1 adds this multiple of the initial latency to a plain server's expected latency. */
const failurePenaltyFactor = 10;
/** Multiple of a server's average latency after which its answer is overdue. */
const overdueFactor = 3;
/**
Time constant of the decay of a server's statistics while it gets no requests, in milliseconds. The decay lets a server that failed or was
slow be tried again.
*/
const statisticsDecayMs = 2000;
/** Time after a successful prefill for which the prefill engine is expected to accept further prompts, in milliseconds. */
const prefillSuccessValidityMs = 1000;
/** Expected extra latency of a cold server whose requests are limited, in milliseconds. */
const coldDelayMs = 40;
/** Expected extra latency of a server in another zone, in milliseconds: one round trip between zones. */
const otherZoneDelayMs = 1;
/**
Number of engines of one stage from which their speed and the room of their zones are compared. Among fewer, the load of the moment explains most
differences, and an engine that is shunned leaves the others too little memory.
*/
const minComparedEngines = 8;
/** Time for which an engine that refused a reservation or a prompt is ranked last, in milliseconds. */
const refusalPenaltyMs = 100;

/** An exchange in progress with a plain server. */
export type PlainExchange = {readonly startedMs: number};

/** A listed server with the statistics that this process keeps of it. The state dump prints the fields by name. */
export type Server = {
	readonly key: ServerKey;
	record: ServerRecord;
	/** Number of exchanges of this process in progress. */
	inFlight: number;
	/** Exchanges in progress with a plain server, oldest first; empty for engines. */
	readonly exchanges: Set<PlainExchange>;
	/** Tokens that this process has in progress: reserved on a decode engine, or sent to a prefill engine and not yet prefilled. */
	tokens: number;
	/** Time until which the engine is ranked last because it refused work for lack of room; 0 if it never refused any. */
	fullUntilMs: number;
	/**
	Time until which the server gets no work, because it is changing its stage or is not the server that the list names; 0 if the server is not
	suspended. A change of the stage in the list ends the suspension.
	*/
	suspendedUntilMs: number;
	/** Moving average of the latency, in milliseconds. */
	latencyMs: number;
	/** Moving average of failures, from 0 to 1. */
	failureShare: number;
	/** Time of the last sample (an answer, or a failure to answer), in milliseconds; 0 before the first sample. */
	sampledMs: number;
	/** Whether the last sample was a success and the server has not refused work since. */
	isSound: boolean;
	readonly ejection: OutlierEjection;
	/** How long the engine takes for its work, compared with the others. */
	readonly speed: SpeedEstimate;
};

/** Conditions for the choice of a server. */
export type ServerQuery = {
	readonly service: string;
	readonly stage?: EngineStage;
	readonly zone: string;
	/** Servers that the request has already tried. */
	readonly exclude: ReadonlySet<ServerKey>;
	/** Maximum number of exchanges that this process may have in progress with one server. */
	readonly maxInFlight: number;
	/** Size of the request's prompt in tokens; 0 if absent. */
	readonly tokens?: number;
	readonly nowMs: number;
	/** What the servers of the service tolerate while they are cold; undefined if they need no protection. */
	readonly coldRate?: ColdRate | undefined;
	/** Zones whose servers may be chosen; all zones if undefined. */
	readonly allowedZones?: ReadonlySet<string> | undefined;
	/** Whether the request fails if no engine is found, so that engines of other zones are asked although all zones are believed to be full. */
	readonly isLastChance?: boolean;
};

/** Servers of all services on the platform's list, with the load and health that this process observed, and the choice among them. */
export class ServerDirectory {
	/** Monotonic time at which the current list was requested, in milliseconds; undefined before the first list. */
	listRequestedAtMs: number | undefined;
	/** Notices that servers sent about themselves. */
	readonly notices = new ServerNotices();
	private readonly _servers = new Map<ServerKey, Server>();
	private readonly _byService = new Map<string, Server[]>();
	private readonly _rankings = new Map<string, EngineRanking>();
	private _evacuatedZones: ReadonlySet<string> = new Set();

	/** `cold` is undefined if cold servers need no protection. */
	constructor(private readonly _random: SeededRandom, readonly cold?: ColdBudget) {}

	get servers(): Iterable<Server> {
		return this._servers.values();
	}

	/**
	Replaces the list; servers that are no longer listed get no new work. Returns the keys of servers that were added, changed their state
	or stage, were removed, or are newly known to be cold. `requestedMs` is the time at which the list was requested.
	*/
	update(records: readonly ServerRecord[], requestedMs: number, nowMs = requestedMs): Record<'added' | 'changed' | 'removed' | 'cold', ServerKey[]> {
		const isFirst = this.listRequestedAtMs === undefined;
		this.listRequestedAtMs = requestedMs;
		const listed = new Map<ServerKey, ServerRecord>();
		for (const record of records) {
			const key = serverKey(record);
			// Of two entries for one server, the one that shows it leaving counts, whatever their order.
			if (listed.get(key)?.state !== 'leaving') {
				listed.set(key, record);
			}
		}

		const cold = this.cold?.update(listed, requestedMs, nowMs, key => !isFirst && !this._servers.has(key)) ?? [];
		const added: ServerKey[] = [];
		const changed: ServerKey[] = [];
		const removed = [...this._servers.keys()].filter(key => !listed.has(key));
		for (const key of removed) {
			this._servers.delete(key);
		}

		for (const [key, record] of listed) {
			const known = this._servers.get(key);
			if (!known) {
				added.push(key);
				this._servers.set(key, createServer(key, record));
			} else if (known.record.state !== record.state || known.record.stage !== record.stage) {
				changed.push(key);
			}

			if (known) {
				known.suspendedUntilMs = known.record.stage === record.stage ? known.suspendedUntilMs : 0;
				known.record = record;
			}
		}

		this._byService.clear();
		for (const server of this._servers.values()) {
			const servers = this._byService.get(server.record.service) ?? [];
			servers.push(server);
			this._byService.set(server.record.service, servers);
		}

		const zones = new Set([...listed.values()].map(({zone}) => zone));
		for (const ranking of this._rankings.values()) {
			ranking.zones.retainZones(zones);
		}

		return {
			added, changed, removed, cold,
		};
	}

	get(key: ServerKey): Server | undefined {
		return this._servers.get(key);
	}

	get evacuatedZones(): ReadonlySet<string> {
		return this._evacuatedZones;
	}

	/** Sets the availability zones whose servers get no work. Servers of a zone that comes back into service may have become cold meanwhile. */
	setEvacuatedZones(zones: ReadonlySet<string>, nowMs: number): void {
		const returned = [...this._evacuatedZones].filter(zone => !zones.has(zone));
		this._evacuatedZones = zones;
		for (const zone of returned) {
			this._presumeCold(zone, nowMs);
		}
	}

	isEvacuated({record}: Server): boolean {
		return this._evacuatedZones.has(record.zone);
	}

	/** Whether a service has ready servers, all of them in evacuated zones. */
	isServiceEvacuated(service: string): boolean {
		return this._evacuatedZones.size > 0 && this.readyServers(service).length === 0
			&& (this._byService.get(service) ?? []).some(({record}) => record.state === 'ready');
	}

	/** Returns the ready servers of a service outside evacuated zones, limited to a stage and to zones if they are given. */
	readyServers(service: string, stage?: EngineStage, allowedZones?: ReadonlySet<string>): Server[] {
		return (this._byService.get(service) ?? []).filter(server => {
			const {state, stage: ownStage, zone} = server.record;
			return state === 'ready' && (stage === undefined || ownStage === stage) && (allowedZones?.has(zone) ?? true) && !this.isEvacuated(server);
		});
	}

	/** Returns the server with the lowest expected latency; undefined if none may be used. */
	choose(query: ServerQuery): Server | undefined {
		const candidates = this._candidates(query);
		return lowestCostServer(candidates, server => this._delayMs(server, query));
	}

	/** Returns the decode engine with the lowest cost, mainly the tokens that this process has reserved on it; undefined if no engine may be used. Engines that recently refused a reservation rank last. */
	chooseDecodeEngine(query: ServerQuery): Server | undefined {
		return this._chooseEngine({...query, stage: 'decode'}, 'decode');
	}

	/** Returns the prefill engine with the lowest cost, mainly the tokens that this process has queued on it; undefined if no engine may be used. The query's zone, which is the zone of the decode engine, is preferred. */
	choosePrefillEngine(query: ServerQuery): Server | undefined {
		// Prompts do not wait for another round of calls: without a prefill engine, the decode engine prefills them.
		return this._chooseEngine({...query, stage: 'prefill', isLastChance: true}, 'prefill');
	}

	/** Returns why a decode engine that was chosen is in another zone than the request; undefined if it is not. */
	departureReason(server: Server, query: ServerQuery): DepartureReason | undefined {
		return this._ranking(query.service, 'decode').departureReason(server, () => this._usableServers({...query, stage: 'decode'}), query);
	}

	/** Returns what the ranking assumes of an engine and its zone, and of the request's zone `home`, for the log. */
	describeRanking(server: Server, home: string, nowMs: number): RankingFacts | undefined {
		const {service, stage} = server.record;
		return stage && this._ranking(service, stage).describe(server, home, nowMs);
	}

	/** Returns the state of the choice among zones, by service and stage, for the state dump. */
	dumpRankings(nowMs: number): unknown {
		return Object.fromEntries([...this._rankings].map(([pool, {zones}]) => [pool, zones.dump(nowMs)]));
	}

	/** Records how long an engine took for its work, per unit; only work of similar `size` is compared. */
	recordWork(server: Server, size: number, msPerUnit: number, nowMs: number): void {
		const {service, stage} = server.record;
		if (stage && this._isLargePool(service, stage)) {
			this._ranking(service, stage).recordWork(server, size, msPerUnit, nowMs);
		}
	}

	/** Records that an engine has granted a reservation. */
	recordGrant(server: Server, nowMs: number): void {
		this._recordRoom(server, false, nowMs);
	}

	/**
	Whether some usable prefill engine recently succeeded for this process and has neither failed nor refused work since then, so that the engine is
	likely to accept another prompt.
	*/
	hasAcceptingPrefillEngine(service: string, nowMs: number, allowedZones?: ReadonlySet<string>): boolean {
		return this.readyServers(service, 'prefill', allowedZones).some(server => server.isSound && nowMs - server.sampledMs <= prefillSuccessValidityMs && this._isUsable(server, nowMs));
	}

	/** Whether requests may be sent to the server: its zone is not evacuated, and it has announced neither that it is leaving nor a pause that has not ended yet. */
	isAcceptingWork(server: Server, nowMs: number): boolean {
		return !this.isEvacuated(server) && this.notices.unavailableForMs(server.key, nowMs) === 0;
	}

	/** Returns the time until the first paused server of a service resumes work, in milliseconds; undefined if a server accepts work or no server is paused. */
	earliestResumeInMs(service: string, nowMs: number, stage?: EngineStage, allowedZones?: ReadonlySet<string>): number | undefined {
		const pausesMs = this.readyServers(service, stage, allowedZones).map(({key}) => this.notices.unavailableForMs(key, nowMs)).filter(pauseMs => pauseMs < Infinity);
		const earliestMs = Math.min(...pausesMs);
		return earliestMs > 0 && earliestMs < Infinity ? earliestMs : undefined;
	}

	/**
	Returns the time until this process may send to the first of the servers that are left out only because they are cold, in milliseconds; undefined
	if a server may be used, or if none could be used even if it were warm.
	*/
	coldWaitMs(query: ServerQuery): number | undefined {
		const {coldRate, nowMs} = query;
		const servers = coldRate ? this._candidates({...query, coldRate: undefined}) : [];
		const waitMs = Math.min(...servers.map(({key}) => this.cold?.waitMs(key, coldRate!, nowMs) ?? 0));
		return waitMs > 0 && waitMs < Infinity ? waitMs : undefined;
	}

	/** Begins an exchange with a plain server. */
	beginExchange(server: Server, nowMs: number): PlainExchange {
		const exchange = {startedMs: nowMs};
		server.exchanges.add(exchange);
		this.beginWork(server);
		return exchange;
	}

	endExchange(server: Server, exchange: PlainExchange): void {
		server.exchanges.delete(exchange);
		this.endWork(server);
	}

	/** Records that an answer did not arrive in time. Returns false, without recording it, if the server had no more time than its answers may normally take. */
	recordOverdue(server: Server, {startedMs}: PlainExchange, nowMs: number): boolean {
		if (nowMs - startedMs <= overdueAfterMs(server)) {
			return false;
		}

		this._recordSample(server, false, nowMs - startedMs, nowMs);
		return true;
	}

	/** Counts an exchange in progress, with `tokens` reserved on or sent to an engine. Must be followed by `endWork` with the same number of tokens when the exchange ends. */
	beginWork(server: Server, tokens = 0): void {
		server.inFlight++;
		server.tokens += tokens;
	}

	endWork(server: Server, tokens = 0): void {
		server.inFlight--;
		server.tokens -= tokens;
	}

	/** Records that an engine refused a reservation or a prompt for lack of room. */
	recordRefusal(server: Server, nowMs: number): void {
		server.fullUntilMs = nowMs + refusalPenaltyMs;
		server.isSound = false;
		this._recordRoom(server, true, nowMs);
	}

	/** Stops new work for a server until `untilMs`; a time in the past ends the suspension. */
	suspend(server: Server, untilMs: number): void {
		server.suspendedUntilMs = untilMs;
	}

	/** Records an answer, which also readmits an ejected server. */
	recordAnswer(server: Server, isSuccess: boolean, latencyMs: number, nowMs: number): void {
		server.ejection.recordSuccess();
		this._recordSample(server, isSuccess, latencyMs, nowMs);
		server.ejection.recordProbe(true, 0);
		if (isSuccess && server.record.stage === 'prefill') {
			this._recordRoom(server, false, nowMs);
		}
	}

	/** Records a failed exchange and returns whether the failure ejects the server. An unreachable server is ejected immediately. */
	recordFailure(server: Server, isUnreachable: boolean, nowMs: number): boolean {
		this._recordSample(server, false, server.latencyMs, nowMs);
		return isUnreachable ? server.ejection.eject(nowMs) : server.ejection.recordFailure(nowMs);
	}

	/** Returns the servers that may be used for the query. Ejected servers are included only if all usable servers are ejected, since the fault may then lie with this process. */
	private _candidates({service, stage, exclude, maxInFlight, nowMs, coldRate, allowedZones}: ServerQuery): Server[] {
		const ready = this.readyServers(service, stage, allowedZones).filter(server => this._isUsable(server, nowMs));
		const healthy = ready.filter(({ejection}) => !ejection.isEjected);
		const usable = healthy.length > 0 ? healthy : ready;
		const mayBegin = (key: ServerKey) => !coldRate || !this.cold || this.cold.mayBegin(key, coldRate, nowMs);
		return usable.filter(({key, inFlight}) => !exclude.has(key) && inFlight < maxInFlight && mayBegin(key));
	}

	private _chooseEngine(query: ServerQuery, stage: EngineStage): Server | undefined {
		return this._ranking(query.service, stage).choose(this._candidates(query), () => this._usableServers(query), query, this._random);
	}

	private _usableServers({service, stage, nowMs, allowedZones}: ServerQuery): Server[] {
		return this.readyServers(service, stage, allowedZones).filter(server => !server.ejection.isEjected && this._isUsable(server, nowMs));
	}

	/** Records whether an engine had room for a request. */
	private _recordRoom({record: {service, stage, zone}}: Server, isRefused: boolean, nowMs: number): void {
		if (stage && this._isLargePool(service, stage)) {
			this._ranking(service, stage).zones.recordAnswer(zone, isRefused, nowMs);
		}
	}

	/** Whether a stage of a service has enough engines to compare their speed and the room of their zones. */
	private _isLargePool(service: string, stage: EngineStage): boolean {
		return this.readyServers(service, stage).length >= minComparedEngines;
	}

	private _ranking(service: string, stage: EngineStage): EngineRanking {
		const key = `${service} ${stage}`;
		let ranking = this._rankings.get(key);
		if (!ranking) {
			ranking = new EngineRanking(stage);
			this._rankings.set(key, ranking);
		}

		return ranking;
	}

	/** Takes the servers of a zone for cold until a list that must show it by now tells otherwise. */
	private _presumeCold(zone: string, nowMs: number): void {
		for (const {key, record} of this._servers.values()) {
			if (record.zone === zone) {
				this.cold?.presumeCold(key, nowMs);
			}
		}
	}

	private _isUsable(server: Server, nowMs: number): boolean {
		return server.suspendedUntilMs <= nowMs && this.isAcceptingWork(server, nowMs);
	}

	private _recordSample(server: Server, isSuccess: boolean, latencyMs: number, nowMs: number): void {
		Object.assign(server, decayedStatistics(server, nowMs));
		server.latencyMs += (latencyMs - server.latencyMs) * sampleWeight;
		server.failureShare += ((isSuccess ? 0 : 1) - server.failureShare) * sampleWeight;
		server.sampledMs = nowMs;
		server.isSound = isSuccess;
	}

	/** Estimates the latency of the next request to a plain server, in milliseconds, with jitter that spreads requests over servers of similar latency. */
	private _delayMs(server: Server, {zone, nowMs, coldRate}: ServerQuery): number {
		const {record, inFlight, exchanges} = server;
		const {latencyMs, failureShare} = decayedStatistics(server, nowMs);
		const [oldest] = exchanges;
		const overdueByMs = oldest ? Math.max(0, nowMs - oldest.startedMs - overdueAfterMs(server)) : 0;
		const isCold = coldRate !== undefined && this.cold !== undefined && this.cold.coldForMs(server.key, nowMs) > 0;
		const baseMs = latencyMs + (isCold ? coldDelayMs : 0) + (failureShare * failurePenaltyFactor * initialLatencyMs);
		const queueFactor = 1 + (inFlight / Math.max(1, record.slots));
		const jitter = 0.9 + (this._random.integer(0, 1000) / 5000);
		const extraMs = coldRate ? 0 : record.coldLeftMs / 1000;
		return ((baseMs + overdueByMs) * queueFactor * jitter) + extraMs + (record.zone === zone ? 0 : otherZoneDelayMs);
	}
}

function createServer(key: ServerKey, record: ServerRecord): Server {
	return {
		key, record, inFlight: 0, exchanges: new Set(), tokens: 0, fullUntilMs: 0, suspendedUntilMs: 0,
		latencyMs: initialLatencyMs, failureShare: 0, sampledMs: 0, isSound: false, ejection: new OutlierEjection(), speed: new SpeedEstimate(),
	};
}

/** Returns a server's statistics decayed by the time since its last sample. */
function decayedStatistics({latencyMs, failureShare, sampledMs}: Server, nowMs: number): Pick<Server, 'latencyMs' | 'failureShare'> {
	const weight = Math.exp(-Math.max(0, nowMs - sampledMs) / statisticsDecayMs);
	return {latencyMs: initialLatencyMs + ((latencyMs - initialLatencyMs) * weight), failureShare: failureShare * weight};
}

/** Returns the time after which an answer of the server is overdue, in milliseconds. */
function overdueAfterMs({latencyMs}: Server): number {
	return Math.max(latencyMs, initialLatencyMs) * overdueFactor;
}
