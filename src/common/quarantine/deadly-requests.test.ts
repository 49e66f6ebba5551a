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
		const thirdMs = model.crashes[2]?.atMs ?? Infinity;
		const later = model.sent.filter(({request, atMs}) => request.name === 'deadly' && atMs > thirdMs + contactMs);
		assert.ok(later.length <= maxLaterRequests, `seed ${seed}: ${later.length} later, ${model.crashes.length} crashes`);
		assert.deepEqual(model.refused.filter(({request}) => request.name === 'sound').map(({request}) => request.parts), [], `seed ${seed}`);
	}
});
