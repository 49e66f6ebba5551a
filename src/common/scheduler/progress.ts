import type {VmIdentity} from '../core/types.js';
import type {Progress} from '../services/scheduler-client.js';
import type {Engine} from './engine.js';
import {releaseLinkTime, isSameOwner, releaseReservation} from './state.js';
import type {Reservation, SchedulerState} from './state.js';
import type {SchedulerEffect} from './types.js';

type ProgressOf<Phase extends Progress['phase']> = Extract<Progress, {phase: Phase}>;

/** Applies a progress message of an entry process. Messages about unknown reservations or reservations of other owners are only counted. */
export function applyProgress(state: SchedulerState, owner: VmIdentity, progress: Progress, nowMs: number): SchedulerEffect[] {
	const reservation = state.reservations.get(progress.reservation);
	if (!reservation || !isSameOwner(reservation.owner, owner)) {
		return [{type: 'count', metric: 'scheduler_unknown_progress_total'}];
	}

	reservation.lastHeardMs = nowMs;
	switch (progress.phase) {
		case 'prefilled': {
			return applyPrefilled(state, reservation, progress, nowMs);
		}

		case 'transferred': {
			applyTransferred(state, reservation, progress);
			return [];
		}

		case 'first-token': {
			return applyFirstToken(state, reservation, progress, nowMs);
		}

		case 'ended': {
			return applyEnded(state, reservation, progress, nowMs);
		}
	}
}

function applyPrefilled(state: SchedulerState, reservation: Reservation, progress: ProgressOf<'prefilled'>, nowMs: number): SchedulerEffect[] {
	const {pool} = state;
	const engine = pool.engines.get(reservation.prefill);
	if (reservation.phase === 'prefill') {
		reservation.phase = 'transfer';
	}

	if (!engine) {
		return [];
	}

	pool.turnaroundMs.observe(nowMs - reservation.placedMs - progress.durationMs, 1);
	const startedMs = engine.removePrefill(reservation.id, nowMs);
	if (startedMs !== undefined) {
		observePrefill(state, engine, progress, nowMs - startedMs);
	}

	if (reservation.predictedCachedTokens > 0) {
		engine.cachePredictionAccuracy.observe(Math.min(progress.cachedTokens, reservation.predictedCachedTokens), reservation.predictedCachedTokens);
	}

	pool.prefixIndex.recordPrefix(reservation.prefill, reservation.prefix);
	return recordEngineSuccess(engine, nowMs);
}

/** Updates the estimated prefill time per prompt token. Counts only the time since the engine could start on this prefill, because the duration that the entry process reports includes the wait in the engine's queue. */
function observePrefill({pool}: SchedulerState, engine: Engine, progress: ProgressOf<'prefilled'>, sinceStartMs: number): void {
	const serviceMs = Math.min(progress.durationMs, sinceStartMs);
	const tokens = progress.promptTokens - progress.cachedTokens;
	engine.prefillMsPerToken.observe(serviceMs, tokens);
	pool.prefillMsPerToken.observe(serviceMs, tokens);
	pool.uncachedTokenShare.observe(tokens, progress.promptTokens);
}

function applyTransferred(state: SchedulerState, reservation: Reservation, {durationMs}: ProgressOf<'transferred'>): void {
	const prefill = state.pool.engines.get(reservation.prefill);
	const decode = state.pool.engines.get(reservation.decode);
	releaseLinkTime(state, reservation);
	reservation.phase = 'decode';
	if (prefill && decode && prefill !== decode) {
		state.pool.observeTransfer(prefill, decode, reservation.promptTokens, durationMs);
	}
}

function applyFirstToken(state: SchedulerState, reservation: Reservation, {durationMs}: ProgressOf<'first-token'>, nowMs: number): SchedulerEffect[] {
	reservation.phase = 'decode';
	reservation.firstTokenAtMs = nowMs;
	const engine = state.pool.engines.get(reservation.decode);
	engine?.firstTokenLatencyMs.observe(durationMs, 1);
	state.pool.firstTokenLatencyMs.observe(durationMs, 1);
	return engine ? recordEngineSuccess(engine, nowMs) : [];
}

function applyEnded(state: SchedulerState, reservation: Reservation, progress: ProgressOf<'ended'>, nowMs: number): SchedulerEffect[] {
	releaseReservation(state, reservation, nowMs);
	state.queue.refund(reservation.tenant, Math.max(0, reservation.maxTokens - progress.outputTokens));
	if (progress.reason === 'complete') {
		observeDecode(state, reservation, progress.outputTokens, nowMs);
	}

	const failed = progress.failedUpstream === undefined ? undefined : state.pool.engines.get(progress.failedUpstream);
	return failed ? recordEngineFailure(failed, nowMs) : [];
}

function observeDecode(state: SchedulerState, reservation: Reservation, outputTokens: number, nowMs: number): void {
	state.pool.slotHoldMs.observe(nowMs - reservation.placedMs, 1);
	if (reservation.firstTokenAtMs !== undefined) {
		const durationMs = nowMs - reservation.firstTokenAtMs;
		state.pool.engines.get(reservation.decode)?.outputMsPerToken.observe(durationMs, outputTokens);
		state.pool.outputMsPerToken.observe(durationMs, outputTokens);
	}
}

/** Records a failed request of an engine and ejects the engine if it has failed too often. */
export function recordEngineFailure(engine: Engine, nowMs: number): SchedulerEffect[] {
	if (!engine.health.recordFailure(nowMs)) {
		return [];
	}

	return [
		{type: 'count', metric: 'scheduler_engine_ejections_total', labels: {engine: engine.spec.name}},
		{
			type: 'log', level: 'warn', message: 'engine ejected after failures', fields: {engine: engine.spec.name},
		},
	];
}

function recordEngineSuccess(engine: Engine, nowMs: number): SchedulerEffect[] {
	if (!engine.health.recordSuccess(nowMs)) {
		return [];
	}

	engine.probeReservation = undefined;
	return [{
		type: 'log', level: 'info', message: 'engine readmitted', fields: {engine: engine.spec.name},
	}];
}
