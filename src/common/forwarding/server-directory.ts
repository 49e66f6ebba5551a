import type {SeededRandom} from '../core/random.js';
import {OutlierEjection} from '../requests/ejection.js';
import {ServerNotices} from './server-notices.js';
import {serverKey} from './types.js';
import type {EngineStage, ServerKey, ServerRecord} from './types.js';

/** Weight of the newest answer in a server's mean latency and failure share. */
const sampleWeight = 0.1;
/** Latency assumed of a server that has not answered yet, in milliseconds. */
const initialLatencyMs = 20;
/** How many times its latency a server that always fails appears to have. */
const failureFactor = 10;
/** How many times its latency a server may take for an answer before it counts as overdue. */
const overdueFactor = 3;
/** Time constant in which a server's failures and slow answers are forgotten while it gets no requests, in milliseconds; it is tried again then. */
const memoryMs = 2000;
/** Time for which a prompt that was read shows that its engine takes others, in milliseconds. */
const soundMs = 1000;
/** Cost of a server in another zone, in milliseconds; a round trip between zones. */
const otherZoneMs = 1;
/** Time for which an engine that refused a reservation is asked last, in milliseconds. */
const fullMemoryMs = 100;
/** Tokens by which an engine in another zone seems fuller; moves of KV cache between zones are slower and dearer. */
const otherZoneTokens = 2000;

/** An exchange under way. */
export type PlainExchange = {readonly startedMs: number};

export type Server = {
	readonly key: ServerKey;
	record: ServerRecord;
	/** Exchanges of this process under way. */
	inFlight: number;
	/** Those with a server that is no engine, oldest first. */
	readonly exchanges: Set<PlainExchange>;
	/** Tokens that this process has under way: reserved on a decode engine, to be read on a prefill engine. */
	tokens: number;
	/** It turned work away, and is not expected to take any before this time. */
	fullUntilMs: number;
	/** An order to change its stage makes it turn work away until then, or until the list shows another stage. */
	suspendedUntilMs: number;
	latencyMs: number;
	failureShare: number;
	/** When the last answer arrived, or failed to. */
	sampledMs: number;
	/** Whether that was a success. */
	isSound: boolean;
	readonly ejection: OutlierEjection;
};

export type ServerQuestion = {
	readonly service: string;
	readonly stage?: EngineStage;
	readonly zone: string;
	/** Servers that this request tried. */
	readonly exclude: ReadonlySet<ServerKey>;
	/** Exchanges that this process may have under way with one server. */
	readonly maxInFlight: number;
	readonly nowMs: number;
};

/** The servers of all services as the platform lists them, with what this process saw of them. */
export class ServerDirectory {
	/** Monotonic time of the list in use; undefined before the first one. */
	listedMs: number | undefined;
	/** What servers said of themselves. */
	readonly notices = new ServerNotices();
	private readonly _servers = new Map<ServerKey, Server>();
	private readonly _byService = new Map<string, Server[]>();

	constructor(private readonly _random: SeededRandom) {}

	get servers(): Iterable<Server> {
		return this._servers.values();
	}

	/** Takes a whole list; servers that it lacks get no new work. Returns the keys of servers that appeared, changed state or went. */
	update(records: readonly ServerRecord[], nowMs: number): {readonly added: ServerKey[]; readonly changed: ServerKey[]; readonly removed: ServerKey[]} {
		this.listedMs = nowMs;
		const listed = new Map(records.map(record => [serverKey(record), record]));
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

		return {added, changed, removed};
	}

	get(key: ServerKey): Server | undefined {
		return this._servers.get(key);
	}

	/** Ready servers of a service, and of a stage where one is given. */
	ready(service: string, stage?: EngineStage): Server[] {
		return (this._byService.get(service) ?? []).filter(({record}) => record.state === 'ready' && (stage === undefined || record.stage === stage));
	}

	/** The server that is expected to answer first; undefined if none may be used. */
	choose(question: ServerQuestion): Server | undefined {
		const candidates = this._candidates(question);
		return best(candidates, server => this._delayMs(server, question));
	}

	/** The decode engine with the most room for a reservation by what this process knows, engines that refused one last. */
	chooseDecode(question: ServerQuestion): Server | undefined {
		const candidates = this._candidates({...question, stage: 'decode'});
		const rank = ({tokens, fullUntilMs, record, failureShare}: Server) =>
			(fullUntilMs > question.nowMs ? 1e9 : 0) + (tokens * (1 + (failureShare * failureFactor)))
			+ (record.zone === question.zone ? 0 : otherZoneTokens) + this._random.integer(0, otherZoneTokens);
		return best(candidates, rank);
	}

	/** The prefill engine with the least to read, in the zone of the decode engine where others are no better. */
	choosePrefill(question: ServerQuestion): Server | undefined {
		const candidates = this._candidates({...question, stage: 'prefill'});
		const rank = ({tokens, record, failureShare, fullUntilMs}: Server) =>
			(fullUntilMs > question.nowMs ? 1e9 : 0) + (tokens * (1 + (failureShare * failureFactor))) + (record.zone === question.zone ? 0 : otherZoneTokens) + this._random.integer(0, otherZoneTokens / 10);
		return best(candidates, rank);
	}

	/** Whether a prefill engine took a prompt of this process lately and none failed since: another one will hardly be turned away. */
	hasSoundPrefill(service: string, nowMs: number): boolean {
		return this.ready(service, 'prefill').some(server => server.isSound && nowMs - server.sampledMs <= soundMs && this._isUsable(server, nowMs));
	}

	/** Whether a request that was placed on the server may still be sent to it. */
	mayTake({key}: Server, nowMs: number): boolean {
		return this.notices.barredMs(key, nowMs) === 0;
	}

	/** When the first server of a service takes work again, in milliseconds; undefined unless every one said that it wants none for a time. */
	resumesInMs(service: string, nowMs: number, stage?: EngineStage): number | undefined {
		const pausesMs = this.ready(service, stage).map(({key}) => this.notices.barredMs(key, nowMs)).filter(barredMs => barredMs < Infinity);
		const firstMs = Math.min(...pausesMs);
		return firstMs > 0 && firstMs < Infinity ? firstMs : undefined;
	}

	/** Begins an exchange with a server that is no engine. */
	beginExchange(server: Server, nowMs: number): PlainExchange {
		const exchange = {startedMs: nowMs};
		server.exchanges.add(exchange);
		this.begin(server);
		return exchange;
	}

	endExchange(server: Server, exchange: PlainExchange): void {
		server.exchanges.delete(exchange);
		this.end(server);
	}

	/** Counts an answer that did not come in time. Returns false if the server cannot be blamed: it had less time than its answers sometimes take. */
	recordOverdue(server: Server, {startedMs}: PlainExchange, nowMs: number): boolean {
		if (nowMs - startedMs <= overdueMs(server)) {
			return false;
		}

		this._sample(server, false, nowMs - startedMs, nowMs);
		return true;
	}

	begin(server: Server, tokens = 0): void {
		server.inFlight++;
		server.tokens += tokens;
	}

	end(server: Server, tokens = 0): void {
		server.inFlight--;
		server.tokens -= tokens;
	}

	/** The engine has no room for a reservation or a prompt. */
	refusedReservation(server: Server, nowMs: number): void {
		server.fullUntilMs = nowMs + fullMemoryMs;
		server.isSound = false;
	}

	/** The engine carries out an order until then; a time that has passed takes it back. */
	suspend(server: Server, untilMs: number): void {
		server.suspendedUntilMs = untilMs;
	}

	/** Counts an answer. */
	recordAnswer(server: Server, isSuccess: boolean, latencyMs: number, nowMs: number): void {
		server.ejection.recordSuccess();
		this._sample(server, isSuccess, latencyMs, nowMs);
		server.ejection.recordProbe(true, 0);
	}

	/** Counts a failed exchange; returns whether the server is ejected by it. One that cannot be reached is ejected at once. */
	recordFailure(server: Server, isUnreachable: boolean, nowMs: number): boolean {
		this._sample(server, false, server.latencyMs, nowMs);
		return isUnreachable ? server.ejection.eject(nowMs) : server.ejection.recordFailure(nowMs);
	}

	/** Ejected servers are used only when every server is ejected: then the fault may lie with this process. */
	private _candidates({service, stage, exclude, maxInFlight, nowMs}: ServerQuestion): Server[] {
		const ready = this.ready(service, stage).filter(server => this._isUsable(server, nowMs));
		const healthy = ready.filter(({ejection}) => !ejection.isEjected);
		const usable = healthy.length > 0 ? healthy : ready;
		return usable.filter(({key, inFlight}) => !exclude.has(key) && inFlight < maxInFlight);
	}

	private _isUsable(server: Server, nowMs: number): boolean {
		return server.suspendedUntilMs <= nowMs && this.mayTake(server, nowMs);
	}

	private _sample(server: Server, isSuccess: boolean, latencyMs: number, nowMs: number): void {
		Object.assign(server, remembered(server, nowMs));
		server.latencyMs += (latencyMs - server.latencyMs) * sampleWeight;
		server.failureShare += ((isSuccess ? 0 : 1) - server.failureShare) * sampleWeight;
		server.sampledMs = nowMs;
		server.isSound = isSuccess;
	}

	private _delayMs(server: Server, {zone, nowMs}: ServerQuestion): number {
		const {record, inFlight, exchanges} = server;
		const {latencyMs, failureShare} = remembered(server, nowMs);
		const [oldest] = exchanges;
		const lateMs = oldest ? Math.max(0, nowMs - oldest.startedMs - overdueMs(server)) : 0;
		const ownMs = latencyMs + (failureShare * failureFactor * initialLatencyMs);
		const queueFactor = 1 + (inFlight / Math.max(1, record.slots));
		const jitter = 0.9 + (this._random.integer(0, 1000) / 5000);
		return ((ownMs + lateMs) * queueFactor * jitter) + (record.coldLeftMs / 1000) + (record.zone === zone ? 0 : otherZoneMs);
	}
}

function createServer(key: ServerKey, record: ServerRecord): Server {
	return {
		key, record, inFlight: 0, exchanges: new Set(), tokens: 0, fullUntilMs: 0, suspendedUntilMs: 0, latencyMs: initialLatencyMs, failureShare: 0, sampledMs: 0, isSound: false, ejection: new OutlierEjection(),
	};
}

/** What is remembered of a server's answers some time after the last one. */
function remembered({latencyMs, failureShare, sampledMs}: Server, nowMs: number): Pick<Server, 'latencyMs' | 'failureShare'> {
	const memory = Math.exp(-Math.max(0, nowMs - sampledMs) / memoryMs);
	return {latencyMs: initialLatencyMs + ((latencyMs - initialLatencyMs) * memory), failureShare: failureShare * memory};
}

/** Time after which an answer is overdue, in milliseconds. */
function overdueMs({latencyMs}: Server): number {
	return Math.max(latencyMs, initialLatencyMs) * overdueFactor;
}

function best(servers: readonly Server[], cost: (server: Server) => number): Server | undefined {
	let chosen: Server | undefined;
	let least = Infinity;
	for (const server of servers) {
		const value = cost(server);
		if (value < least) {
			least = value;
			chosen = server;
		}
	}

	return chosen;
}
