import assert from 'node:assert/strict';
import {test} from 'node:test';
import {SeededRandom} from '../core/random.js';
import {fullPoolRetryAfterMs, isCallerRetry, memoryWaitPolicy} from './memory-wait.js';
import {createModelForward, reduceModelForward} from './model-forward.js';
import type {ModelForwardEffect, ModelForwardInput, ModelForwardState} from './model-forward.js';
import {RequestPriority} from './priority-policy.js';
import {keptTokens, minFreeTokens, reservedTokens} from './reservation.js';
import {RoomShortage} from './room-shortage.js';

const cacheTokens = 43_707;
const callMs = 6;
const runMs = 1000;
const timeoutMs = 14_000;
const vmCount = 36;
const engineCount = 12;
const placesPerEngine = 8;
const tokens = reservedTokens({
	model: 'm', promptTokens: 5200, maxOutputTokens: 66, expectedOutputTokens: undefined,
});
/** Kinds of requests, the most urgent first: their share of the load and their latency objective. */
const kinds = [{share: 0.4, targetMs: 800}, {share: 0.3, targetMs: 1000}, {share: 0.3, targetMs: 2000}];

type KindResult = {offered: number; served: number; firstServed: number};
type Load = {
	readonly seed: number;
	readonly usePriorities: boolean;
	readonly durationMs: number;
	/** Returns the offered load, as a multiple of the engines' capacity. */
	readonly loadAt: (nowMs: number) => number;
};
type Caller = {readonly kind: number; readonly waitMs: number; readonly isFirst: boolean};

/** Requests of all kinds at processes that share engines. Callers retry a refused request once. */
class Pool {
	readonly results: KindResult[] = kinds.map(() => ({offered: 0, served: 0, firstServed: 0}));
	private _nowMs = 0;
	private readonly _random: SeededRandom;
	private readonly _agenda = new Map<number, Array<() => void>>();
	private readonly _freeTokens = Array.from({length: engineCount}, () => cacheTokens);
	private readonly _shortages = Array.from({length: vmCount}, () => new RoomShortage());

	constructor(private readonly _load: Load) {
		this._random = new SeededRandom(_load.seed);
	}

	play(): KindResult[] {
		const {durationMs, loadAt} = this._load;
		for (; this._nowMs < durationMs + timeoutMs; this._nowMs++) {
			for (const action of this._agenda.get(this._nowMs) ?? []) {
				action();
			}

			this._agenda.delete(this._nowMs);
			for (const [kind, {share}] of kinds.entries()) {
				if (this._nowMs < durationMs && this._random.next() < engineCount * placesPerEngine / runMs * share * loadAt(this._nowMs)) {
					this.results[kind]!.offered++;
					this._begin({kind, waitMs: timeoutMs, isFirst: true});
				}
			}
		}

		return this.results;
	}

	private _after(delayMs: number, action: () => void): void {
		const atMs = this._nowMs + Math.max(1, Math.round(delayMs));
		const actions = this._agenda.get(atMs);
		if (actions) {
			actions.push(action);
		} else {
			this._agenda.set(atMs, [action]);
		}
	}

	private _begin(caller: Caller): void {
		const {kind, waitMs, isFirst} = caller;
		const fullPoolRetryMs = fullPoolRetryAfterMs(this._random.next());
		const priority = this._load.usePriorities
			? new RequestPriority({
				service: 'plans', priority: {rank: kind, ranks: kinds.length}, shortage: this._random.pick(this._shortages), fullPoolRetryAfterMs: fullPoolRetryMs,
				isCallerRetry: isCallerRetry({waitMs, timeoutMs}), waitMs, random: this._random.next(),
				readyEngines: () => engineCount, sizeShare: tokens / cacheTokens,
			})
			: undefined;
		const state = createModelForward({
			memoryWaitPolicy: memoryWaitPolicy({waitMs, timeoutMs, targetMs: kinds[kind]!.targetMs}), fullPoolRetryAfterMs: fullPoolRetryMs, priority,
			isResumable: false, maxAttempts: 1, takeRetry: () => true, hasAcceptingPrefillEngine: () => true, chargeFailedPrefill: () => undefined,
		});
		const startedMs = this._nowMs;
		const dispatch = (event: ModelForwardInput) => {
			for (const effect of reduceModelForward(state, {...event, nowMs: this._nowMs})) {
				if (effect.type === 'forward/prefill') {
					this.results[kind]!.served++;
					this.results[kind]!.firstServed += isFirst ? 1 : 0;
				} else if (effect.type === 'forward/answer' && isFirst) {
					this._after(effect.answer.retryAfterMs!, () => {
						this._begin({kind, waitMs: waitMs - (this._nowMs - startedMs), isFirst: false});
					});
				} else {
					this._execute(effect, state, dispatch);
				}
			}
		};

		dispatch({type: 'forward/start'});
	}

	private _execute(effect: ModelForwardEffect, state: ModelForwardState, dispatch: (event: ModelForwardInput) => void): void {
		if (effect.type === 'forward/wait') {
			this._after(effect.durationMs, () => {
				dispatch({type: 'forward/wake'});
			});
		}

		if (effect.type === 'forward/hold') {
			const engines = [...this._freeTokens.keys()].filter(i => !effect.exclude.has(String(i)));
			if (engines.length === 0) {
				this._after(1, () => {
					dispatch({type: 'forward/no-engine', attempt: 1});
				});
				return;
			}

			const engine = this._random.pick(engines);
			const kept = state.round ? keptTokens(tokens, state.round.keptRatio, cacheTokens) : tokens * state.memoryWaitPolicy.spareMemoryRatio;
			const freeTokens = Math.max(kept, effect.isSpacious ? minFreeTokens(cacheTokens) : 0);
			this._after(callMs, () => {
				dispatch(this._reserve(engine, freeTokens) ? {type: 'forward/held', attempt: 1} : {type: 'forward/hold-refused', attempt: 1, server: String(engine)});
			});
		}
	}

	private _reserve(engine: number, keptTokens: number): boolean {
		if (this._freeTokens[engine]! < tokens + keptTokens) {
			return false;
		}

		this._freeTokens[engine]! -= tokens;
		this._after(runMs, () => {
			this._freeTokens[engine]! += tokens;
		});
		return true;
	}
}

function play(load: Load): KindResult[] {
	return new Pool(load).play();
}

function burst(nowMs: number): number {
	return nowMs > 2000 && nowMs < 8000 ? 1.4 : 0.7;
}

function share(results: readonly KindResult[], count: 'served' | 'firstServed'): number {
	return results.reduce((total, result) => total + result[count], 0) / results.reduce((total, {offered}) => total + offered, 0);
}

/** Asserts a bound, with a message: without one, a failing assertion parses this file's source, which may take minutes. */
function assertAtLeast(value: number, bound: number): void {
	assert.ok(value >= bound, `${value}, not ${bound}`);
}

/** Asserts that no kind is served less often than a less urgent one by more than the operators accept, 5 in 100. */
function assertOrder(runs: readonly KindResult[][]): void {
	const shares = kinds.map((_, kind) => share(runs.map(results => results[kind]!), 'served'));
	for (const [kind, served] of shares.entries()) {
		assertAtLeast(served, Math.max(...shares.slice(kind)) - 0.05);
	}
}

// Guards against the most urgent kind, whose objective is the shortest, being served least while memory is short.
test('in a burst of twice the usual load, more urgent requests are served better, and all together hardly less', () => {
	const runs = [1, 2, 3].map(seed => ({seed, durationMs: 9000, loadAt: burst}));
	const without = runs.map(load => play({...load, usePriorities: false}));
	const results = runs.map(load => play({...load, usePriorities: true}));
	const shareOfKind = (played: readonly KindResult[][], kind: number) => share(played.map(kindResults => kindResults[kind]!), 'firstServed');
	assert.ok(shareOfKind(without, 0) < shareOfKind(without, 2), 'the load does not show the cause');
	const shares = kinds.map((_, kind) => shareOfKind(results, kind));
	assert.ok(shares[0]! > 0.97, `most urgent: ${shares[0]}`);
	assert.ok(shares[0]! > shares[1]! && shares[1]! > shares[2]!, `in order: ${shares.join(' ')}`);
	assertOrder(results);
	assertAtLeast(share(results.flat(), 'firstServed'), 0.97 * share(without.flat(), 'firstServed'));
	assertAtLeast(share(results.flat(), 'served'), share(without.flat(), 'served'));
});

test('under a load of twice the capacity that does not end, no kind starves', () => {
	const load = {seed: 1, durationMs: 5000, loadAt: () => 2};
	const results = play({...load, usePriorities: true});
	for (const result of results) {
		assertAtLeast(share([result], 'firstServed'), 0.3 * share([results[0]!], 'firstServed'));
		assertAtLeast(share([result], 'served'), 0.5 * share(results, 'served'));
	}

	const without = play({...load, usePriorities: false});
	assertOrder([results]);
	assertAtLeast(share(results, 'firstServed'), 0.92 * share(without, 'firstServed'));
	assertAtLeast(share(results, 'served'), share(without, 'served'));
});
