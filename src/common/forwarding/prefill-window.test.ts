import assert from 'node:assert/strict';
import {test} from 'node:test';
import {SeededRandom} from '../core/random.js';
import {PrefillWindow} from './prefill-window.js';

const readMs = 95;
const targetMs = 900;
/** A prompt that is not read by then is given up, and its reading was for nothing. */
const timeoutMs = 1080;
/** How long a request waits for a place, in milliseconds. */
const patienceMs = 600;

type Prompt = {readonly process: number; readonly sinceMs: number};

/** Processes that share prefill engines, each of which reads one prompt after the other, and do not see each other. */
function play({processes, engines, promptsPerSecond}: {readonly processes: number; readonly engines: number; readonly promptsPerSecond: number}) {
	const random = new SeededRandom(3);
	const windows = Array.from({length: processes}, () => new PrefillWindow());
	const freeAtMs = Array.from({length: engines}, () => 0);
	const reading: Array<Prompt & {readonly startedMs: number; readonly endsMs: number}> = [];
	const counts = {
		read: 0, late: 0, lost: 0, refused: 0,
	};
	let waiting: Prompt[] = [];
	for (let nowMs = 0; nowMs < 60_000; nowMs += 5) {
		if (random.next() < promptsPerSecond * 0.005) {
			waiting.push({process: random.integer(0, processes), sinceMs: nowMs});
		}

		for (const prompt of reading.filter(({endsMs}) => endsMs === nowMs)) {
			const durationMs = nowMs - prompt.startedMs;
			windows[prompt.process]!.release('models');
			windows[prompt.process]!.record('models', durationMs, targetMs, nowMs);
			counts.read++;
			counts.late += durationMs > targetMs ? 1 : 0;
			counts.lost += durationMs >= timeoutMs ? 1 : 0;
		}

		waiting = waiting.filter(({process, sinceMs}) => {
			if (!windows[process]!.take('models', engines, nowMs)) {
				counts.refused += nowMs - sinceMs >= patienceMs ? 1 : 0;
				return nowMs - sinceMs < patienceMs;
			}

			const engine = freeAtMs.indexOf(Math.min(...freeAtMs));
			freeAtMs[engine] = Math.max(nowMs, freeAtMs[engine]!) + readMs;
			reading.push({
				process, sinceMs, startedMs: nowMs, endsMs: freeAtMs[engine],
			});
			return false;
		});
	}

	return counts;
}

test('guards against prompts that queue on the prefill engine that is left, until they are given up and were read for nothing', () => {
	for (const [processes, engines] of [[11, 1], [11, 2], [3, 1], [60, 4]] as const) {
		const capacity = engines * 1000 / readMs;
		const {read, late, lost} = play({processes, engines, promptsPerSecond: 2 * capacity});
		assert.ok(lost <= read * 0.01, `${processes} processes, ${engines} engines: ${lost} of ${read} lost`);
		assert.ok(late <= read * 0.05, `${processes} processes, ${engines} engines: ${late} of ${read} late`);
		assert.ok(read >= 60 * capacity * 0.8, `${processes} processes, ${engines} engines: ${read} read`);
	}
});

test('guards against prompts that wait while engines are idle', () => {
	for (const [processes, engines] of [[11, 2], [3, 2], [60, 4]] as const) {
		const {read, refused, late} = play({processes, engines, promptsPerSecond: 0.6 * engines * 1000 / readMs});
		assert.ok(refused <= read * 0.01, `${processes} processes, ${engines} engines: ${refused} refused, ${read} read`);
		assert.equal(late, 0);
	}
});

test('a place that is released can be taken again, and a pool without prefill engines needs none', () => {
	const window = new PrefillWindow();
	assert.equal(window.take('models', 1, 0), true);
	assert.equal(window.take('models', 1, 0), false);
	assert.equal(window.take('others', 1, 0), true);
	assert.equal(window.take('models', 0, 0), true);
	window.release('models');
	window.release('models');
	assert.equal(window.take('models', 1, 0), true);
});
