import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
	entry1, makeEngine, makeLoad, SchedulerHarness,
} from './fixtures.js';

const makePool = () => [makeEngine('p1', 'prefill'), makeEngine('d1', 'decode', {slots: 2}), makeEngine('d2', 'decode', {slots: 2})];

test('a placement reserves a prefill engine and a decode slot immediately', () => {
	const harness = new SchedulerHarness(makePool()).acquireLease(7);
	const placement = harness.placement(harness.place('r1'));
	assert.deepEqual([placement.epoch, placement.prefill], [7, 'p1']);
	assert.equal(harness.state.pool.engines.get(placement.decode)?.decodes.size, 1);
});

test('a process without the lease answers placement requests with not-holder, also those that are queued when it loses the lease', () => {
	const harness = new SchedulerHarness(makePool());
	assert.deepEqual(harness.reply(harness.place('r1')), {kind: 'not-holder'});
	harness.acquireLease();
	harness.place('r2');
	const waiting = harness.place('r3');
	assert.equal(harness.reply(waiting), undefined);
	harness.send({type: 'scheduler/lease', epoch: undefined});
	assert.deepEqual(harness.reply(waiting), {kind: 'not-holder'});
	assert.equal(harness.state.reservations.size, 0);
});

test('a repeated placement request gets the first reply, so that a lost reply does not reserve twice', () => {
	const harness = new SchedulerHarness(makePool()).acquireLease();
	const first = harness.placement(harness.place('r1'));
	assert.deepEqual(harness.placement(harness.place('r1')), first);
	assert.equal(harness.state.reservations.size, 1);
});

test('a rebuild adopts reported reservations, and until it ends, only slots that the engine reports as free are used', () => {
	const harness = new SchedulerHarness([makeEngine('p1', 'prefill'), makeEngine('d1', 'decode', {slots: 2})]);
	harness.send({type: 'scheduler/entries', entries: {live: [entry1, {vm: 'entry-2', incarnation: 1}], dead: []}});
	harness.send({type: 'scheduler/lease', epoch: 2});
	assert.equal(harness.effects.filter(({type}) => type === 'scheduler/ask-report').length, 2);
	const token = harness.place('r1');
	assert.equal(harness.reply(token), undefined);
	harness.send({type: 'scheduler/load', engine: 'd1', load: makeLoad({slots: 2, activeDecodes: 2})});
	assert.equal(harness.reply(token), undefined);
	harness.send({
		type: 'scheduler/report', owner: entry1, requestedMs: 0, reservations: [{
			reservation: '1-9', requestId: 'old', tenant: 'a', prefill: 'p1', decode: 'd1', promptTokens: 100, maxTokens: 100, phase: 'decode',
		}],
	});
	assert.equal(harness.reply(token), undefined);
	harness.send({type: 'scheduler/load', engine: 'd1', load: makeLoad({slots: 2, activeDecodes: 0})});
	harness.advance(500);
	assert.equal(harness.placement(token).epoch, 2);
	assert.equal(harness.state.pool.engines.get('d1')?.decodes.size, 2);
});
