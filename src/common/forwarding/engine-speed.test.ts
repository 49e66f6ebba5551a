import assert from 'node:assert/strict';
import {test} from 'node:test';
import {SeededRandom} from '../core/random.js';
import {
	SpeedEstimate, WorkReference, slowness, speedSpread,
} from './engine-speed.js';

const speeds = [0.6, 1, 1.6];

/** Returns the estimates of nine engines of three speeds after `samples` prompts that were prefilled on random engines with up to `jitter` of noise. */
function estimatePool({samples, jitter, seed}: {readonly samples: number; readonly jitter: number; readonly seed: number}): SpeedEstimate[] {
	const random = new SeededRandom(seed);
	const reference = new WorkReference();
	const engines = Array.from({length: 9}, () => new SpeedEstimate());
	for (let i = 0; i < samples; i++) {
		const engine = random.integer(0, engines.length);
		const tokens = random.integer(300, 9000);
		const msPerToken = 0.018 / speeds[engine % 3]! * (1 + (jitter * random.next()));
		const ratioLog = reference.compare(tokens, msPerToken, {source: engine, knownLog: engines[engine]!.steadyAt(i * 100).log});
		if (ratioLog !== undefined) {
			engines[engine]!.record(ratioLog, i * 100);
		}
	}

	return engines;
}

test('engines of the speeds 0.6, 1 and 1.6 are told apart despite noise, and unequal prompts', () => {
	const engines = estimatePool({samples: 300, jitter: 0.5, seed: 3});
	for (const [i, engine] of engines.entries()) {
		const error = slowness(engine, 30_000) * speeds[i % 3]!;
		assert.ok(error > 0.7 && error < 1.4, `engine ${i} is off by the factor ${error}`);
	}
});

test('an even pool ranks as if nothing were known', () => {
	const random = new SeededRandom(4);
	const reference = new WorkReference();
	const engines = Array.from({length: 6}, () => new SpeedEstimate());
	for (let i = 0; i < 300; i++) {
		engines[i % 6]!.record(reference.compare(5000, 0.02 * (1 + (0.3 * random.next())), {source: i % 6, knownLog: 0}) ?? 0, i * 10);
	}

	assert.deepEqual(engines.map(engine => slowness(engine, 3000)), [1, 1, 1, 1, 1, 1]);
});

test('one outlier is no slow spell; a second one within a second is, and an ordinary sample or a second without samples ends it', () => {
	const build = () => {
		const estimate = new SpeedEstimate();
		for (let i = 0; i < 10; i++) {
			estimate.record(0, i * 100);
		}

		return estimate;
	};

	const estimate = build();
	estimate.record(Math.log(2.5), 1100);
	assert.equal(slowness(estimate, 1100), 1);
	estimate.record(Math.log(2.5), 1300);
	assert.ok(slowness(estimate, 1300) > 2);
	estimate.record(0, 1400);
	assert.equal(slowness(estimate, 1400), 1);

	const silent = build();
	silent.record(Math.log(2.5), 1100);
	silent.record(Math.log(2.5), 1300);
	assert.ok(slowness(silent, 2299) > 2);
	assert.equal(slowness(silent, 2300), 1);
});

test('a first sample that a pause of the process or a preemption stretched is undone by three ordinary ones', () => {
	const estimate = new SpeedEstimate();
	estimate.record(Math.log(50), 0);
	assert.ok(slowness(estimate, 0) <= 2);
	for (const nowMs of [3000, 6000, 9000]) {
		estimate.record(0, nowMs);
	}

	assert.equal(slowness(estimate, 9000), 1);
});

test('a speed that has changed for good is the new normal after some seconds', () => {
	const estimate = new SpeedEstimate();
	for (let i = 0; i < 200; i++) {
		estimate.record(i < 20 ? 0 : Math.log(2.5), i * 100);
	}

	assert.ok(Math.abs(estimate.steadyAt(20_000).log - Math.log(2.5)) < 0.05);
});

test('estimates that processes pass around converge, and their weight does not grow by passing', () => {
	const [a, b] = [new SpeedEstimate(), new SpeedEstimate()];
	for (let i = 0; i < 6; i++) {
		a.record(Math.log(1.6), i * 500);
	}

	for (let i = 0; i < 20; i++) {
		b.merge(a.steadyAt(3000), 3000);
		a.merge(b.steadyAt(3000), 3000);
	}

	assert.ok(Math.abs(slowness(b, 3000) - 1.6) < 0.05);
	assert.ok(a.weightAt(3000) <= 6 && b.weightAt(3000) <= 6);
});

test('the choice among servers is proportional to their speed', () => {
	const random = new SeededRandom(5);
	const chosen = [0, 0, 0];
	for (let i = 0; i < 6000; i++) {
		const ranks = speeds.map(speed => speedSpread(1 / speed, 1, random.next()));
		chosen[ranks.indexOf(Math.min(...ranks))]!++;
	}

	for (const [i, speed] of speeds.entries()) {
		assert.ok(Math.abs((chosen[i]! / 6000) - (speed / 3.2)) < 0.03, `${chosen.join(', ')} of 6000`);
	}
});
