/** Simulation of a plain request that crashes servers. `QUARANTINE_SEED` is the first seed, `QUARANTINE_RUNS` the number of runs. */
import assert from 'node:assert/strict';
import process from 'node:process';
import {test} from 'node:test';
import {QuarantineModel} from './fixtures.js';

const firstSeed = Number(process.env.QUARANTINE_SEED ?? 1);
const runs = Number(process.env.QUARANTINE_RUNS ?? 20);
/** Time after the third crash from which on no more than `maxLaterRequests` may reach servers, in milliseconds. */
const contactMs = 3000;
const maxLaterRequests = 3;

/** Checks the rule; processes that have run for less than `contactMs` may not have heard of the block yet. */
function assertHeld(model: QuarantineModel, seed: number): void {
	const thirdMs = model.crashes[2]?.atMs ?? Infinity;
	const later = model.sent.filter(({request, atMs, processAgeMs}) => request.name === 'deadly' && atMs > thirdMs + contactMs && processAgeMs >= contactMs);
	assert.ok(later.length <= maxLaterRequests, `seed ${seed}: ${later.length} later, ${model.crashes.length} crashes`);
}

// Guards against a request that crashes its engine in the middle of the stream, and counts as sound since there was output before.
test('a stream that crashes engines long after its first event is blocked in time, and no stream that runs beside it is refused for it', () => {
	for (let seed = firstSeed; seed < firstSeed + runs; seed++) {
		const model = new QuarantineModel({
			seed, servers: 6, processes: 11, crashingParts: ['req:deadly'], crashAfterMs: 1000, doCallersReturn: true,
		});
		let step = 0;
		model.run(40_000, 100, () => {
			step++;
			model.send({name: 'sound', parts: [`req:${step}`, 'first']});
			if (step % 15 === 0) {
				model.send({name: 'deadly', parts: ['req:deadly', 'first']});
			}
		});
		assertHeld(model, seed);
		assert.deepEqual(model.refused.filter(({request}) => request.name === 'sound').map(({request}) => request.parts), [], `seed ${seed}`);
	}
});

// Guards against one request that takes down server after server, and against refusals of the requests that happened to run beside it.
test('a plain request that crashes servers is blocked in time, amid restarts and lost messages, and no other request is refused for it', () => {
	for (let seed = firstSeed; seed < firstSeed + runs; seed++) {
		const model = new QuarantineModel({
			seed, servers: 3, processes: 11, crashingParts: ['req:deadly'], isPlain: true, doCallersReturn: true, lossShare: 0.1,
		});
		let step = 0;
		model.run(20_000, 20, () => {
			step++;
			model.send({name: 'sound', parts: [model.random.next() < 0.2 ? 'req:popular' : `req:${step}`]});
			if (step % 15 === 0) {
				model.send({name: 'deadly', parts: ['req:deadly']});
			}

			if (step % 100 === 0) {
				model.startProcess(`vm${model.random.integer(0, 11)}`);
			}
		});
		assertHeld(model, seed);
		assert.deepEqual(model.refused.filter(({request}) => request.name === 'sound').map(({request}) => request.parts), [], `seed ${seed}`);
	}
});
