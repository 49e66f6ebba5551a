import assert from 'node:assert/strict';
import {test} from 'node:test';
import {SeededRandom} from '../core/random.js';
import {PrefillLimiter} from './prefill-limiter.js';

const prefillMs = 95;
const targetMs = 900;
/** Timeout of a prefill call, in milliseconds; a prefill that takes longer is wasted. */
const timeoutMs = 1080;
/** Time for which a prompt waits for a place in the limiter before it is refused, in milliseconds. */
const maxWaitMs = 600;

type Prompt = {readonly process: number; readonly arrivedMs: number};

/** Simulates processes that share prefill engines without knowing how many prompts the others send, and returns counts of prompts. Each engine prefills one prompt at a time. */
function simulate({processes, engines, promptsPerSecond}: {readonly processes: number; readonly engines: number; readonly promptsPerSecond: number}) {
	const random = new SeededRandom(3);
	const limiters = Array.from({length: processes}, () => new PrefillLimiter());
	const freeAtMs = Array.from({length: engines}, () => 0);
	const prefilling: Array<Prompt & {readonly startedMs: number; readonly endsMs: number}> = [];
	const counts = {
		prefilled: 0, late: 0, timedOut: 0, refused: 0,
	};
	let waitingPrompts: Prompt[] = [];
	for (let nowMs = 0; nowMs < 60_000; nowMs += 5) {
		if (random.next() < promptsPerSecond * 0.005) {
			waitingPrompts.push({process: random.integer(0, processes), arrivedMs: nowMs});
		}

		for (const prompt of prefilling.filter(({endsMs}) => endsMs === nowMs)) {
			const durationMs = nowMs - prompt.startedMs;
			limiters[prompt.process]!.release('models');
			limiters[prompt.process]!.recordDuration('models', durationMs, targetMs, nowMs);
			counts.prefilled++;
			counts.late += durationMs > targetMs ? 1 : 0;
			counts.timedOut += durationMs >= timeoutMs ? 1 : 0;
		}

		waitingPrompts = waitingPrompts.filter(({process, arrivedMs}) => {
			if (!limiters[process]!.tryAcquire('models', engines, nowMs)) {
				counts.refused += nowMs - arrivedMs >= maxWaitMs ? 1 : 0;
				return nowMs - arrivedMs < maxWaitMs;
			}

			const engine = freeAtMs.indexOf(Math.min(...freeAtMs));
			freeAtMs[engine] = Math.max(nowMs, freeAtMs[engine]!) + prefillMs;
			prefilling.push({
				process, arrivedMs, startedMs: nowMs, endsMs: freeAtMs[engine],
			});
			return false;
		});
	}

	return counts;
}

test('under overload, the queue at the prefill engines stays so short that hardly any prefill times out and is wasted', () => {
	for (const [processes, engines] of [[11, 1], [11, 2], [3, 1], [60, 4]] as const) {
		const capacity = engines * 1000 / prefillMs;
		const {prefilled, late, timedOut} = simulate({processes, engines, promptsPerSecond: 2 * capacity});
		assert.ok(timedOut <= prefilled * 0.01, `${processes} processes, ${engines} engines: ${timedOut} of ${prefilled} timed out`);
		assert.ok(late <= prefilled * 0.05, `${processes} processes, ${engines} engines: ${late} of ${prefilled} late`);
		assert.ok(prefilled >= 60 * capacity * 0.8, `${processes} processes, ${engines} engines: ${prefilled} prefilled`);
	}
});

test('below capacity, prompts are not held back while prefill engines are idle', () => {
	for (const [processes, engines] of [[11, 2], [3, 2], [60, 4]] as const) {
		const {prefilled, refused, late} = simulate({processes, engines, promptsPerSecond: 0.6 * engines * 1000 / prefillMs});
		assert.ok(refused <= prefilled * 0.01, `${processes} processes, ${engines} engines: ${refused} refused, ${prefilled} prefilled`);
		assert.equal(late, 0);
	}
});

test('a place that was released can be taken again, and a service without prefill engines is not limited', () => {
	const limiter = new PrefillLimiter();
	assert.equal(limiter.tryAcquire('models', 1, 0), true);
	assert.equal(limiter.tryAcquire('models', 1, 0), false);
	assert.equal(limiter.tryAcquire('others', 1, 0), true);
	assert.equal(limiter.tryAcquire('models', 0, 0), true);
	limiter.release('models');
	limiter.release('models');
	assert.equal(limiter.tryAcquire('models', 1, 0), true);
});

test('a more urgent request that got no place gets the next one, unless it does not come back for it', () => {
	const limiter = new PrefillLimiter();
	assert.equal(limiter.tryAcquire('models', 1, 0, 2), true);
	assert.equal(limiter.tryAcquire('models', 1, 0, 2), false);
	assert.equal(limiter.tryAcquire('models', 1, 0, 1), false);
	limiter.release('models');
	assert.equal(limiter.tryAcquire('models', 1, 50, 2), false);
	assert.equal(limiter.tryAcquire('models', 1, 50, 1), true);
	limiter.release('models');
	assert.equal(limiter.tryAcquire('models', 1, 50, 2), true);
	assert.equal(limiter.tryAcquire('models', 1, 60, 0), false);
	limiter.release('models');
	assert.equal(limiter.tryAcquire('models', 1, 300, 2), true);
});
