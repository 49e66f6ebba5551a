import assert from 'node:assert/strict';
import {test} from 'node:test';
import {SeededRandom} from '../core/random.js';
import {fullPoolRetryAfterMs, isCallerRetry, memoryWaitPolicy} from './memory-wait.js';
import {createModelForward, reduceModelForward} from './model-forward.js';
import type {ModelForwardInput} from './model-forward.js';
import {RequestPriority} from './priority-policy.js';
import {minFreeTokens, reservedTokens} from './reservation.js';
import {RoomShortage} from './room-shortage.js';

const cacheTokens = 43_707;
const callMs = 3;
const runMs = 1000;
const timeoutMs = 14_000;
const vmCount = 72;
const engineCount = 24;
const placesPerEngine = 8;
/** Kinds of requests, the most urgent first: their share of the load and their latency objective. */
const kinds = [{share: 0.4, targetMs: 800}, {share: 0.3, targetMs: 1000}, {share: 0.3, targetMs: 2000}];

type KindResult = {offered: number; served: number; firstServed: number};
type Load = {readonly seed: number; readonly usePriorities: boolean; readonly durationMs: number; readonly loadAt: (nowMs: number, kind: number) => number};

/** Plays requests of all kinds against engines; `loadAt` is the offered load as a multiple of the engines' capacity. Callers retry a refused request once. */
function play({seed, usePriorities, durationMs, loadAt}: Load): KindResult[] {
	const random = new SeededRandom(seed);
	const agenda: Array<Array<() => void>> = [];
	const free = Array.from({length: engineCount}, () => cacheTokens);
	const shortages = Array.from({length: vmCount}, () => new RoomShortage());
	const results = kinds.map(() => ({offered: 0, served: 0, firstServed: 0}));
	const tokens = reservedTokens({model: 'm', promptTokens: 5200, maxOutputTokens: 66, expectedOutputTokens: undefined});
	let nowMs = 0;
	const after = (delayMs: number, action: () => void) => {
		(agenda[nowMs + Math.max(1, Math.round(delayMs))] ??= []).push(action);
	};

	const begin = (kind: number, waitMs: number, isFirst: boolean) => {
		const {targetMs} = kinds[kind]!;
		const base = {memoryWaitPolicy: memoryWaitPolicy({waitMs, timeoutMs, targetMs}), fullPoolRetryAfterMs: fullPoolRetryAfterMs(random.next())};
		const startedMs = nowMs;
		const state = createModelForward({
			...base, isResumable: false, maxAttempts: 1, takeRetry: () => true, hasAcceptingPrefillEngine: () => true, chargeFailedPrefill: () => undefined,
			priority: usePriorities ? new RequestPriority({
				...base, service: 'plans', priority: {rank: kind, ranks: kinds.length}, shortage: shortages[random.integer(0, vmCount)]!,
				isCallerRetry: isCallerRetry({waitMs, timeoutMs}), waitMs, random: random.next(),
			}) : undefined,
		});
		const dispatch = (event: ModelForwardInput) => {
			for (const effect of reduceModelForward(state, {...event, nowMs})) {
				if (effect.type === 'forward/hold') {
					const engines = free.map((_, i) => i).filter(i => !effect.exclude.has(String(i)));
					const engine = engines[random.integer(0, engines.length)];
					const kept = Math.max(tokens * (state.round?.keptRatio ?? state.memoryWaitPolicy.spareMemoryRatio), effect.isSpacious ? minFreeTokens(cacheTokens) : 0);
					after(engine === undefined ? 1 : callMs, () => {
						if (engine === undefined) {
							dispatch({type: 'forward/no-engine', attempt: 1});
						} else if (free[engine]! >= tokens + kept) {
							free[engine]! -= tokens;
							after(runMs, () => {
								free[engine]! += tokens;
							});
							dispatch({type: 'forward/held', attempt: 1});
						} else {
							dispatch({type: 'forward/hold-refused', attempt: 1, server: String(engine)});
						}
					});
				} else if (effect.type === 'forward/wait') {
					after(effect.durationMs, () => {
						dispatch({type: 'forward/wake'});
					});
				} else if (effect.type === 'forward/prefill') {
					results[kind]!.served++;
					results[kind]!.firstServed += isFirst ? 1 : 0;
				} else if (effect.type === 'forward/answer' && isFirst) {
					after(effect.answer.retryAfterMs!, () => {
						begin(kind, waitMs - (nowMs - startedMs), false);
					});
				}
			}
		};

		dispatch({type: 'forward/start'});
	};

	const capacityPerMs = engineCount * placesPerEngine / runMs;
	for (; nowMs < durationMs + timeoutMs; nowMs++) {
		for (const action of agenda[nowMs] ?? []) {
			action();
		}

		delete agenda[nowMs];
		for (const [kind, {share}] of kinds.entries()) {
			if (nowMs < durationMs && random.next() < capacityPerMs * share * loadAt(nowMs, kind)) {
				results[kind]!.offered++;
				begin(kind, timeoutMs, true);
			}
		}
	}

	return results;
}

test('x', () => {
	for (const [name, loadAt] of [
		['burst', (nowMs: number) => nowMs > 5000 && nowMs < 13_000 ? 1.4 : 0.7],
		['burst2.4', (nowMs: number) => nowMs > 5000 && nowMs < 13_000 ? 1.7 : 0.7],
		['tips', (nowMs: number, kind: number) => nowMs > 5000 && nowMs < 13_000 && kind === 2 ? 1.7 : 0.7],
		['tips+', (nowMs: number, kind: number) => nowMs > 5000 && nowMs < 13_000 && kind === 2 ? 2.4 : 0.85],
		['long', () => 2],
	] as const) {
		for (const usePriorities of [false, true]) {
			const rs = [1, 2, 3].map(seed => play({seed, usePriorities, durationMs: 20_000, loadAt}));
			const sum = (k: number, f: keyof KindResult) => rs.reduce((a, r) => a + r[k]![f], 0);
			const all = (f: keyof KindResult) => [0, 1, 2].reduce((a, k) => a + sum(k, f), 0);
			console.log(name, usePriorities, [0, 1, 2].map(k => `${(sum(k, 'served') / sum(k, 'offered')).toFixed(3)}/${(sum(k, 'firstServed') / sum(k, 'offered')).toFixed(3)}`).join(' '), 'all', (all('served') / all('offered')).toFixed(3), (all('firstServed') / all('offered')).toFixed(3));
		}
	}
	assert.ok(true);
});
