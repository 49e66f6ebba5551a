import type {VmIdentity} from '../core/types.js';
import type {Progress} from '../services/scheduler-client.js';
import type {Engine} from './engine.js';
import {freeLink, isSameOwner, release} from './state.js';
import type {Reservation, SchedulerState} from './state.js';
import type {SchedulerEffect} from './types.js';

type ProgressOf<Phase extends Progress['phase']> = Extract<Progress, {phase: Phase}>;

/** Applies what an entry process tells of its reservation; unknown reservations and other owners are counted. */
export function applyProgress(state: SchedulerState, owner: VmIdentity, progress: Progress, nowMs: number): SchedulerEffect[] {
	const reservation = state.reservations.get(progress.reservation);
	if (!reservation || !isSameOwner(reservation.owner, owner)) {
		return [{type: 'count', metric: 'scheduler_unknown_progress_total'}];
	}

	reservation.heardMs = nowMs;
	switch (progress.phase) {
		case 'prefilled': {
			return prefilled(state, reservation, progress, nowMs);
		}

		case 'transferred': {
			transferred(state, reservation, progress);
			return [];
		}

		case 'first-token': {
			return firstToken(state, reservation, progress, nowMs);
		}

		case 'ended': {
			return ended(state, reservation, progress, nowMs);
		}
	}
}

function prefilled(state: SchedulerState, reservation: Reservation, progress: ProgressOf<'prefilled'>, nowMs: number): SchedulerEffect[] {
	const {pool} = state;
	const engine = pool.engines.get(reservation.prefill);
	if (reservation.phase === 'prefill') {
		reservation.phase = 'transfer';
	}

	if (!engine) {
		return [];
	}

	pool.turnaround.observe(nowMs - reservation.placedMs - progress.durationMs, 1);
	const startedMs = engine.removePrefill(reservation.id, nowMs);
	if (startedMs !== undefined) {
		learnPrefill(state, engine, progress, nowMs - startedMs);
	}

	if (reservation.predictedTokens > 0) {
		engine.cacheTrust.observe(Math.min(progress.cachedTokens, reservation.predictedTokens), reservation.predictedTokens);
	}

	pool.index.store(reservation.prefill, reservation.prefix);
	return succeeded(engine, nowMs);
}

/** Time per token from when the engine could start on this prefill: the entry process's duration includes the engine's queue. */
function learnPrefill({pool}: SchedulerState, engine: Engine, progress: ProgressOf<'prefilled'>, sinceStartMs: number): void {
	const serviceMs = Math.min(progress.durationMs, sinceStartMs);
	const tokens = progress.promptTokens - progress.cachedTokens;
	engine.prefillSpeed.observe(serviceMs, tokens);
	pool.prefill.observe(serviceMs, tokens);
	pool.computedShare.observe(tokens, progress.promptTokens);
}

function transferred(state: SchedulerState, reservation: Reservation, {durationMs}: ProgressOf<'transferred'>): void {
	const prefill = state.pool.engines.get(reservation.prefill);
	const decode = state.pool.engines.get(reservation.decode);
	freeLink(state, reservation);
	reservation.phase = 'decode';
	if (prefill && decode && prefill !== decode) {
		state.pool.transferObserved(prefill, decode, reservation.promptTokens, durationMs);
	}
}

function firstToken(state: SchedulerState, reservation: Reservation, {durationMs}: ProgressOf<'first-token'>, nowMs: number): SchedulerEffect[] {
	reservation.phase = 'decode';
	reservation.firstTokenMs = nowMs;
	const engine = state.pool.engines.get(reservation.decode);
	engine?.firstTokenSpeed.observe(durationMs, 1);
	state.pool.firstToken.observe(durationMs, 1);
	return engine ? succeeded(engine, nowMs) : [];
}

function ended(state: SchedulerState, reservation: Reservation, progress: ProgressOf<'ended'>, nowMs: number): SchedulerEffect[] {
	release(state, reservation, nowMs);
	state.queue.refund(reservation.tenant, Math.max(0, reservation.maxTokens - progress.outputTokens));
	if (progress.reason === 'complete') {
		learnDecode(state, reservation, progress.outputTokens, nowMs);
	}

	const failed = progress.failedUpstream === undefined ? undefined : state.pool.engines.get(progress.failedUpstream);
	return failed ? engineFailed(failed, nowMs) : [];
}

function learnDecode(state: SchedulerState, reservation: Reservation, outputTokens: number, nowMs: number): void {
	state.pool.hold.observe(nowMs - reservation.placedMs, 1);
	if (reservation.firstTokenMs !== undefined) {
		const durationMs = nowMs - reservation.firstTokenMs;
		state.pool.engines.get(reservation.decode)?.outputSpeed.observe(durationMs, outputTokens);
		state.pool.output.observe(durationMs, outputTokens);
	}
}

/** Counts a failure against an engine. */
export function engineFailed(engine: Engine, nowMs: number): SchedulerEffect[] {
	if (!engine.health.failed(nowMs)) {
		return [];
	}

	return [
		{type: 'count', metric: 'scheduler_engine_ejections_total', labels: {engine: engine.spec.name}},
		{
			type: 'log', level: 'warn', message: 'engine ejected after failures', fields: {engine: engine.spec.name},
		},
	];
}

function succeeded(engine: Engine, nowMs: number): SchedulerEffect[] {
	if (!engine.health.succeeded(nowMs)) {
		return [];
	}

	engine.probe = undefined;
	return [{
		type: 'log', level: 'info', message: 'engine readmitted', fields: {engine: engine.spec.name},
	}];
}
