/** Measures the cost of a sync request, a placement, the acquisition of rate-limit tokens and the fetch of a view at the sizes of the two-year plan. docs/CAPACITY.md extrapolates from the results. */
import process from 'node:process';
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';
import {createAccessState, reduceAccess} from '../common/access/access.js';
import type {AccessEffect, AccessState} from '../common/access/access.js';
import {addViewPage, copyView} from '../common/access/view.js';
import type {PartialView} from '../common/access/view.js';
import {sharedConfigurationSchema} from '../common/configuration/shared.js';
import type {ConsensusEffect} from '../common/consensus/types.js';
import {createControl, reduceControl} from '../common/control/control.js';
import type {ControlEffect, ControlSlice} from '../common/control/control.js';
import type {Command, SyncReply, SyncRequest} from '../common/control/messages.js';
import {syncReplySchema, syncRequestSchema} from '../common/control/messages.js';
import {readViewPage} from '../common/control/queries.js';
import {createScheduler, reduceScheduler} from '../common/scheduler/scheduler.js';
import type {EngineSpec} from '../common/scheduler/types.js';
import {compressText, decodeConfiguration, encodeConfiguration} from '../node/control/configuration-codec.js';
import {FrameCodec} from '../node/transport/frame.js';

/** Number of customers in the two-year plan. */
const customerCount = 20_000;
/** Number of entry processes in the two-year plan. */
const entryProcessCount = 400;
/** Number of engines in the two-year plan. */
const engineCount = 600;
/** Number of engines in one scheduler shard. */
const shardEngineCount = 32;
/** Number of customers for which an entry process requests rate-limit tokens in one sync request. */
const activeCustomerCount = 15;
const bytesPerMegabyte = 1e6;

export type CapacityResult = {readonly [figure: string]: number | string; readonly scenario: string};

setFlagsFromString('--expose-gc');
const collectGarbage = runInNewContext('gc') as () => void;

function heapBytes(): number {
	collectGarbage();
	return process.memoryUsage().heapUsed;
}

function measureMicroseconds(count: number, step: (i: number) => void): number {
	const startMs = performance.now();
	for (let i = 0; i < count; i++) {
		step(i);
	}

	return (performance.now() - startMs) * 1000 / count;
}

function makeConfiguration() {
	const zones = Array.from({length: 7}, (_, i) => `zone-${i}`);
	return sharedConfigurationSchema.parse({
		profiles: {batch: {}},
		tenants: Object.fromEntries(Array.from({length: customerCount}, (_, i) => [`tenant-${i}`, {rate: '1000 tokens/s', burst: 4000}])),
		services: Object.fromEntries(Array.from({length: 4}, (_, i) => [`model-${i}`, {kind: 'model', profile: 'batch', model: `m${i}`}])),
		upstreams: Object.fromEntries(Array.from({length: engineCount}, (_, i) => [`engine-${i}`, {
			service: `model-${i % 4}`, address: `10.0.${Math.floor(i / 200)}.${i % 200}:9000`, zone: zones[i % 7], role: i % 3 === 0 ? 'prefill' : 'decode',
		}])),
	});
}

/** Control leader that commits and applies each proposal immediately, without replication. */
class ImmediateCommitLeader {
	readonly slice: ControlSlice = createControl({decodeConfiguration});
	reply: unknown;
	private _index = 0;

	constructor() {
		this._applyConsensusEffect({
			type: 'consensus/role', role: 'leader', term: 1, leader: 'control-1',
		}, 0);
	}

	send(event: Parameters<typeof reduceControl>[1]): unknown {
		this._executeEffects(reduceControl(this.slice, event), event.nowMs);
		return this.reply;
	}

	propose(command: Command): void {
		this.send({
			type: 'control/propose', nowMs: 0, token: ++this._index, command,
		});
	}

	private _applyConsensusEffect(effect: ConsensusEffect, nowMs: number): void {
		this._executeEffects(reduceControl(this.slice, {type: 'control/consensus', nowMs, effect}), nowMs);
	}

	private _executeEffects(effects: readonly ControlEffect[], nowMs: number): void {
		for (const effect of effects) {
			if (effect.type === 'reply') {
				this.reply = effect.body;
			} else if (effect.type === 'control/to-consensus' && effect.event.type === 'consensus/propose') {
				this._applyConsensusEffect({
					type: 'consensus/committed', index: ++this._index, command: effect.event.command, token: effect.event.token,
				}, nowMs);
			} else if (effect.type === 'control/to-consensus' && effect.event.type === 'consensus/read') {
				this._applyConsensusEffect({type: 'consensus/read-ready', token: effect.event.token}, nowMs);
			}
		}
	}
}

function createPopulatedLeader(): {leader: ImmediateCommitLeader; configurationBytes: number} {
	const leader = new ImmediateCommitLeader();
	const configuration = encodeConfiguration(makeConfiguration());
	leader.propose({
		type: 'config.apply', changeId: 'c1', expectedVersion: 0, sourceDigest: '0'.repeat(64), source: compressText('x'), configuration,
	});
	for (let i = 0; i < customerCount; i++) {
		leader.propose({
			type: 'key.issue', changeId: `k${i}`, keyId: `key-${i}`, digest: i.toString(16).padStart(64, '0'), tenant: `tenant-${i}`,
		});
	}

	return {leader, configurationBytes: configuration.length};
}

function makeSyncRequest(seq: number, entryIndex: number, revision: number): SyncRequest {
	const wanted = Array.from({length: activeCustomerCount}, (_, i) => ({
		tenant: `tenant-${((entryIndex * 50) + i) % customerCount}`, tokens: 500, atLeast: 100, waitMs: 500,
	}));
	return {
		type: 'control/sync', seq, revision, load: 5, allowances: {
			spent: [], returned: [], refunds: [], charges: [], wanted,
		},
	};
}

/** Measures the cost of one sync request on the leader, which opens the frame, checks the schema, runs the reducer with allowances and seals the reply. */
function benchSync(leader: ImmediateCommitLeader): CapacityResult {
	const key = new Uint8Array(32);
	const [outbound, inbound, replies] = [new FrameCodec(key, 'to-acceptor'), new FrameCodec(key, 'to-acceptor'), new FrameCodec(key, 'to-dialer')];
	const {revision} = leader.slice.data;
	let requestBytes = 0;
	let replyBytes = 0;
	const frames: Uint8Array[] = Array.from({length: 4000}, (_, i) => outbound.seal(makeSyncRequest(1 + Math.floor(i / entryProcessCount), i % entryProcessCount, revision)));
	const micros = measureMicroseconds(frames.length, i => {
		const frame = frames[i]!;
		const request = syncRequestSchema.parse(inbound.open(frame.subarray(4, 20), frame.subarray(20)));
		const reply = leader.send({
			type: 'control/sync', nowMs: 2000 + (i * 1.25), token: 100_000 + i, from: {vm: `entry-${i % entryProcessCount}`, incarnation: 1}, request,
		});
		requestBytes += frame.length;
		replyBytes += replies.seal(reply).length;
	});
	return {
		scenario: 'capacity/leader-sync', microsecondsPerSync: micros, requestBytes: requestBytes / frames.length, replyBytes: replyBytes / frames.length, tenantsPerSync: activeCustomerCount,
	};
}

/** Measures the size of the complete view that a restarted entry process fetches, the time to fetch this view, and the heap memory that it occupies. */
function benchView(leader: ImmediateCommitLeader): CapacityResult {
	const codec = new FrameCodec(new Uint8Array(32), 'to-dialer');
	const heapBytesBefore = heapBytes();
	const startMs = performance.now();
	let bytes = 0;
	let pages = 0;
	let paged: PartialView | undefined;
	let cursor: {base: number; cursor: number} | undefined;
	do {
		const page = readViewPage(leader.slice.data, cursor);
		bytes += codec.seal(page).length;
		pages++;
		paged = addViewPage(paged, page, decodeConfiguration);
		cursor = page.next === undefined ? undefined : {base: page.base, cursor: page.next};
	} while (cursor);

	const elapsedMs = performance.now() - startMs;
	const view = copyView(paged.view);
	const usedHeapBytes = heapBytes() - heapBytesBefore;
	return {
		scenario: 'capacity/view',
		tenants: Object.keys(view?.configuration.tenants ?? {}).length,
		keys: paged.view.keysByDigest.size,
		bytes,
		pages,
		milliseconds: elapsedMs,
		heapMegabytes: usedHeapBytes / bytesPerMegabyte,
	};
}

/** Measures the cost of acquiring the rate-limit tokens for one request at an entry process that already holds granted tokens. */
function benchAllowance(leader: ImmediateCommitLeader): CapacityResult {
	const access: AccessState = createAccessState({controlVms: ['control-1'], decodeConfiguration});
	let nowMs = 10_000;
	const answerSyncs = (effects: readonly AccessEffect[]): void => {
		for (const effect of effects) {
			if (effect.type === 'access/request') {
				const body = syncReplySchema.parse(leader.send({
					type: 'control/sync', nowMs, token: 900_000 + effect.seq, from: {vm: 'entry-x', incarnation: 1}, request: effect.message,
				}));
				answerSyncs(reduceAccess(access, {
					type: 'access/reply', nowMs, seq: effect.seq, body,
				}));
			}
		}
	};

	const advance = (): void => {
		nowMs += 20;
		answerSyncs(reduceAccess(access, {type: 'access/tick', nowMs}));
	};

	for (let i = 0; i < 200; i++) {
		// The tokens granted to an entry process follow the demand, so acquire tokens for some time before the measurement.
		answerSyncs(reduceAccess(access, {
			type: 'access/acquire', nowMs, token: 1_000_000 + i, tenant: `tenant-${i % activeCustomerCount}`, tokens: 5, maxWaitMs: 100,
		}));
		advance();
	}

	let granted = 0;
	const micros = measureMicroseconds(20_000, i => {
		if (i % 100 === 0) {
			advance();
		}

		const effects = reduceAccess(access, {
			type: 'access/acquire', nowMs, token: i + 1, tenant: `tenant-${i % activeCustomerCount}`, tokens: 1, maxWaitMs: 0,
		});
		answerSyncs(effects);
		granted += effects.some(effect => effect.type === 'reply' && (effect.body as {ok: boolean}).ok) ? 1 : 0;
	});
	return {scenario: 'capacity/allowance', microsecondsPerRequest: micros, granted};
}

/** Measures the cost of one placement and its progress reports in a scheduler shard of `shardEngineCount` engines. */
function benchPlacement(): CapacityResult {
	const engines: EngineSpec[] = Array.from({length: shardEngineCount}, (_, i) => ({
		name: `engine-${i}`, zone: `zone-${i % 7}`, role: i % 3 === 0 ? 'prefill' as const : 'decode' as const, slots: 20, cacheBlocks: 2000, linkRate: 1e10, isDrained: false,
	}));
	const state = createScheduler({});
	const owner = {vm: 'entry-1', incarnation: 1};
	reduceScheduler(state, {
		type: 'scheduler/configure', nowMs: 0, engines, weights: new Map(),
	});
	reduceScheduler(state, {type: 'scheduler/lease', nowMs: 0, epoch: 1});
	reduceScheduler(state, {type: 'scheduler/tick', nowMs: 1000});
	const prefix = Array.from({length: 16}, (_, i) => `block-${i}`);
	let placed = 0;
	const heapBytesBefore = heapBytes();
	const count = 5000;
	const micros = measureMicroseconds(count, i => {
		const nowMs = 1000 + (i * 4);
		const effects = reduceScheduler(state, {
			type: 'scheduler/place', nowMs, token: i + 1, owner, req: {
				requestId: `r${i}`, service: 's', tenant: `tenant-${i % 200}`, priority: 5, shedOrder: 5, promptTokens: 2000, maxTokens: 300,
				prefix: [...prefix.slice(0, 8), `own-${i}`], maxWaitMs: 1000, budgetMs: 800, zone: 'zone-1',
			},
		});
		for (const effect of effects) {
			if (effect.type === 'reply' && (effect.body as {kind: string}).kind === 'placed') {
				placed++;
				const {reservation} = (effect.body as {placement: {reservation: string}}).placement;
				const send = (progress: Parameters<typeof reduceScheduler>[1] extends infer E ? E extends {progress: infer P} ? P : never : never): void => {
					reduceScheduler(state, {
						type: 'scheduler/progress', nowMs, owner, progress,
					});
				};

				send({
					phase: 'prefilled', reservation, promptTokens: 2000, cachedTokens: 500, durationMs: 80,
				});
				send({phase: 'transferred', reservation, durationMs: 20});
				send({phase: 'first-token', reservation, durationMs: 120});
				send({
					phase: 'ended', reservation, outputTokens: 300, reason: 'complete',
				});
			}
		}
	});
	return {
		scenario: 'capacity/placement', engines: shardEngineCount, microsecondsPerRequest: micros, placed, heapMegabytes: (heapBytes() - heapBytesBefore) / bytesPerMegabyte,
	};
}

/** Runs all capacity scenarios in this process, which takes a few seconds. */
export async function benchCapacity(): Promise<CapacityResult[]> {
	const heapBytesBefore = heapBytes();
	const {leader, configurationBytes} = createPopulatedLeader();
	const state: CapacityResult = {
		scenario: 'capacity/leader-state', tenants: customerCount, keys: customerCount, heapMegabytes: (heapBytes() - heapBytesBefore) / bytesPerMegabyte, configurationBytes,
	};
	return [state, benchSync(leader), benchView(leader), benchAllowance(leader), benchPlacement()];
}
