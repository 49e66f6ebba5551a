import type {ReplyToken, VmIdentity, UntimedEvent} from '../core/types.js';
import type {Placement, PlacementRequest} from '../services/scheduler-client.js';
import type {LoadReply} from '../upstreams/engine-api.js';
import {createScheduler, reduceScheduler} from './scheduler.js';
import type {SchedulerOptions} from './scheduler.js';
import type {
	EngineSpec, SchedulerEffect, SchedulerEvent, SchedulerReply,
} from './types.js';

/* Test fixtures for the scheduler. */

export const entry1: VmIdentity = {vm: 'entry-1', incarnation: 1};

export function makeEngine(name: string, role: EngineSpec['role'], overrides: Partial<EngineSpec> = {}): EngineSpec {
	return {
		name, role, zone: 'z1', slots: 20, cacheBlocks: 2000, linkRate: 1e10, isDrained: false, ...overrides,
	};
}

export function makeRequest(requestId: string, overrides: Partial<PlacementRequest> = {}): PlacementRequest {
	return {
		requestId, service: 'dossiers', tenant: 'a', priority: 5, shedOrder: 5, promptTokens: 1000, maxTokens: 200, prefix: [], maxWaitMs: 5000, budgetMs: 10_000, zone: 'z1', ...overrides,
	};
}

export function makeLoad(overrides: Partial<LoadReply> = {}): LoadReply {
	return {
		ageMs: 0, queuedPrefillTokens: 0, activeDecodes: 0, slots: 20, freeBlocks: 2000, totalBlocks: 2000, leaving: false, ...overrides,
	};
}

/** Runs a scheduler on a virtual clock and records its replies by reply token. */
export class SchedulerHarness {
	nowMs = 0;
	readonly replies = new Map<ReplyToken, {readonly atMs: number; readonly body: SchedulerReply}>();
	readonly effects: SchedulerEffect[] = [];
	readonly state: ReturnType<typeof createScheduler>;
	private _nextToken = 1;

	constructor(engines: readonly EngineSpec[], options: Partial<SchedulerOptions> = {}, weights: ReadonlyMap<string, number> = new Map()) {
		this.state = createScheduler(options);
		this.send({type: 'scheduler/configure', engines, weights});
	}

	/** Acquires the lease and advances the clock until the rebuild has ended. */
	acquireLease(epoch = 1): this {
		this.send({type: 'scheduler/lease', epoch});
		this.advance(500);
		return this;
	}

	send(event: UntimedEvent<SchedulerEvent>): SchedulerEffect[] {
		const effects = reduceScheduler(this.state, {...event, nowMs: this.nowMs});
		for (const effect of effects) {
			if (effect.type === 'reply') {
				this.replies.set(effect.token, {atMs: this.nowMs, body: effect.body as SchedulerReply});
			}
		}

		this.effects.push(...effects);
		return effects;
	}

	/** Advances the clock by `elapsedMs` in steps of `stepMs`, and sends a tick after each step. */
	advance(elapsedMs: number, stepMs = 20): void {
		for (let left = elapsedMs; left > 0; left -= stepMs) {
			this.nowMs += Math.min(left, stepMs);
			this.send({type: 'scheduler/tick'});
		}
	}

	/** Sends a placement request and returns its reply token. */
	place(requestId: string, overrides: Partial<PlacementRequest> = {}, owner = entry1): ReplyToken {
		const token = this._nextToken++;
		this.send({
			type: 'scheduler/place', token, owner, req: makeRequest(requestId, overrides),
		});
		return token;
	}

	/** Returns the reply for a reply token, or undefined while there is none. */
	reply(token: ReplyToken): SchedulerReply | undefined {
		return this.replies.get(token)?.body;
	}

	/** Returns the placement for a reply token. Throws if the request was not placed. */
	placement(token: ReplyToken): Placement {
		const reply = this.reply(token);
		if (reply?.kind !== 'placed') {
			throw new Error(`request ${token} was not placed: ${JSON.stringify(reply)}`);
		}

		return reply.placement;
	}

	/** Reports that the prefill and the transfer of a reservation have ended, so that decoding starts. */
	startDecode(reservation: string, owner = entry1): void {
		this.send({
			type: 'scheduler/progress', owner, progress: {
				phase: 'prefilled', reservation, promptTokens: 1000, cachedTokens: 0, durationMs: 100,
			},
		});
		this.send({type: 'scheduler/progress', owner, progress: {phase: 'transferred', reservation, durationMs: 10}});
	}

	endRequest(reservation: string, outputTokens = 200, owner = entry1): void {
		this.send({
			type: 'scheduler/progress', owner, progress: {
				phase: 'ended', reservation, outputTokens, reason: 'complete',
			},
		});
	}
}
