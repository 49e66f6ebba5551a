import assert from 'node:assert/strict';
import {test} from 'node:test';
import {PrefillPlaces} from './prefill-places.js';

function takenBy(processes: number, engines: number): number {
	let total = 0;
	for (let i = 0; i < processes; i++) {
		const places = new PrefillPlaces();
		while (total < 1000 && places.take('models', engines, processes)) {
			total++;
		}
	}

	return total;
}

test('guards against a flood of prompts that wait on prefill engines beyond their objective', () => {
	const promptMs = 95;
	const objectiveMs = 900;
	for (const [processes, engines] of [[1, 1], [3, 2], [6, 2], [60, 16]] as const) {
		const perEngine = takenBy(processes, engines) / engines;
		assert.ok(perEngine * promptMs < objectiveMs, `${processes} processes, ${engines} engines: ${perEngine}`);
	}

	// Each process may have one, however few engines there are.
	assert.equal(takenBy(11, 1), 11);
});

test('a place that is released can be taken again, and a pool without prefill engines needs none', () => {
	const places = new PrefillPlaces();
	assert.equal(places.take('models', 1, 11), true);
	assert.equal(places.take('models', 1, 11), false);
	assert.equal(places.take('others', 1, 11), true);
	assert.equal(places.take('models', 0, 11), true);
	places.release('models');
	places.release('models');
	assert.equal(places.take('models', 1, 11), true);
});
