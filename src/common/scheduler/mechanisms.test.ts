import assert from 'node:assert/strict';
import {test} from 'node:test';
import {FairQueue} from './fair-queue.js';
import {
	entry1, makeEngine, makeLoad, makeRequest, SchedulerHarness,
} from './fixtures.js';
import type {SchedulerOptions} from './scheduler.js';
import type {EngineSpec, RunningReservation, SchedulerReply} from './types.js';

/** One prefill engine and one decode engine with one slot, which is taken. */
function makeBusy(options: Partial<SchedulerOptions> = {}, weights?: ReadonlyMap<string, number>) {
	const harness = new SchedulerHarness([makeEngine('p1', 'prefill'), makeEngine('d1', 'decode', {slots: 1})], options, weights).lead();
	let running = harness.placement(harness.place('first', {tenant: 'first'})).reservation;
	return {
		harness,
		/** Ends the running request and tells which of the tokens gets the slot. */
		next(tokens: readonly number[], outputTokens = 200): number | undefined {
			const waiting = tokens.filter(token => harness.reply(token) === undefined);
			harness.startDecode(running);
			harness.end(running, outputTokens);
			const placed = waiting.find(token => harness.reply(token)?.kind === 'placed');
			running = placed === undefined ? running : harness.placement(placed).reservation;
			return placed;
		},
	};
}

function code(reply: SchedulerReply | undefined): string | undefined {
	return reply?.kind === 'refused' ? reply.code : reply?.kind;
}

const order = (busy: ReturnType<typeof makeBusy>, tokens: readonly number[]) => tokens.map(() => tokens.indexOf(busy.next(tokens)!));

test('a lower priority number goes first', () => {
	const busy = makeBusy();
	assert.deepEqual(order(busy, [busy.harness.place('low', {priority: 6}), busy.harness.place('high', {priority: 1})]), [1, 0]);
});

test('a request that waited half of its bound goes ahead of higher priorities, so that it does not starve', () => {
	const busy = makeBusy();
	const low = busy.harness.place('low', {tenant: 'b', priority: 9, maxWaitMs: 4000});
	busy.harness.advance(2000);
	assert.equal(busy.next([low, busy.harness.place('high', {priority: 0})]), low);
});

test('the backlog of a tenant beyond its share is not promoted by waiting', () => {
	const busy = makeBusy();
	const flood = Array.from({length: 6}, (_, i) => busy.harness.place(`flood-${i}`, {tenant: 'flood', priority: 5, maxWaitMs: 3000}));
	busy.next(flood);
	busy.next(flood);
	busy.harness.advance(1500);
	const other = busy.harness.place('other', {tenant: 'other', priority: 3});
	assert.equal(busy.next([...flood, other]), other);
});

test('a low-priority request is promoted over its own tenant\'s other requests too', () => {
	const busy = makeBusy();
	const flood = Array.from({length: 3}, (_, i) => busy.harness.place(`h${i}`, {tenant: 'b', priority: 0}));
	busy.next(flood);
	const low = busy.harness.place('low', {tenant: 'b', priority: 9, maxWaitMs: 4000});
	busy.harness.advance(2000);
	assert.equal(busy.next([...flood, low]), low);
});

test('a tenant earns no credit while it is idle', () => {
	const busy = makeBusy();
	const {harness} = busy;
	const early = harness.place('early', {tenant: 'idle'});
	busy.next([early]);
	const before = Array.from({length: 6}, (_, i) => harness.place(`x${i}`, {tenant: 'busy'}));
	for (let i = 0; i < 4; i++) {
		busy.next(before);
	}

	const returning = Array.from({length: 3}, (_, i) => harness.place(`y${i}`, {tenant: 'idle'}));
	const served = order(busy, [...before, ...returning]).slice(0, 3);
	assert.ok(served.some(i => i >= 0 && i < before.length), `the returning tenant took every turn: ${served.join(',')}`);
});

test('tenants without waiting requests are forgotten once their share has caught up, so that the queue stays small', () => {
	const queue = new FairQueue();
	const push = (tenant: string) => {
		const item = {
			req: makeRequest(tenant, {tenant}), owner: entry1, token: 1, arrivedMs: 0, serviceMs: 0,
		};
		queue.push(item, 1);
		return item;
	};

	for (let i = 0; i < 50; i++) {
		queue.take(push(`t${i}`));
	}

	const waiting = [push('a'), push('a'), push('a')];
	queue.take(waiting[0]!);
	queue.take(waiting[1]!);
	queue.compact();
	assert.equal(queue.tenantCount, 1, 'tenants that virtual time has passed');
	queue.remove(waiting[2]!);
	queue.compact();
	assert.equal(queue.tenantCount, 0, 'an empty queue');
});

test('tenants share by weight, and unused output is given back', () => {
	const weighted = makeBusy({}, new Map([['heavy', 3]]));
	const heavy = ['h1', 'h2', 'h3', 'h4'].map(id => weighted.harness.place(id, {tenant: 'heavy'}));
	const light = ['l1', 'l2', 'l3', 'l4'].map(id => weighted.harness.place(id, {tenant: 'light'}));
	const firstFour = order(weighted, [...heavy, ...light]).slice(0, 4);
	assert.equal(firstFour.filter(i => i < heavy.length).length, 3);
	const refunded = makeBusy();
	const short = ['s1', 's2'].map(id => refunded.harness.place(id, {tenant: 'short', promptTokens: 1, maxTokens: 1000}));
	const long = ['x1', 'x2'].map(id => refunded.harness.place(id, {tenant: 'long', promptTokens: 1, maxTokens: 300}));
	refunded.next([...short, ...long]);
	assert.equal(refunded.next([...short, ...long], 1), long[0]);
	assert.equal(refunded.next([...short, ...long], 300), short[1]);
});

test('a request that would miss its target is refused at once with a retry time, before any prefill', () => {
	const {harness} = makeBusy();
	const late = harness.place('late', {promptTokens: 8000, budgetMs: 500});
	const reply = harness.reply(late);
	assert.ok(reply?.kind === 'refused' && reply.code === 'deadline' && reply.retryAfterMs > 0);
	assert.equal(harness.replies.get(late)?.atMs, harness.nowMs);
	for (let i = 0; i < 10; i++) {
		harness.place(`q${i}`, {tenant: `t${i}`, maxWaitMs: 20_000, budgetMs: 30_000});
	}

	assert.equal(code(harness.reply(harness.place('behind', {budgetMs: 30_000, maxWaitMs: 1000}))), 'overloaded');
});

test('a queued request is answered when its bound is over or its target is out of reach, not later', () => {
	const {harness} = makeBusy();
	const bounded = harness.place('bounded', {maxWaitMs: 1200});
	const targeted = harness.place('targeted', {maxWaitMs: 9000, budgetMs: 3000, promptTokens: 5000});
	harness.advance(6000);
	assert.equal(code(harness.reply(bounded)), 'overloaded');
	assert.equal(code(harness.reply(targeted)), 'deadline');
	assert.ok(harness.replies.get(bounded)!.atMs <= 500 + 1200 + 20);
	assert.ok(harness.replies.get(targeted)!.atMs <= 500 + 3000);
});

test('a request that must not wait starts at once or is refused at once', () => {
	const harness = new SchedulerHarness([makeEngine('p1', 'prefill'), makeEngine('d1', 'decode', {slots: 1})]).lead();
	assert.equal(code(harness.reply(harness.place('r1', {maxWaitMs: 0}))), 'placed');
	assert.equal(code(harness.reply(harness.place('r2', {maxWaitMs: 0}))), 'overloaded');
	const large = {promptTokens: 1800, maxTokens: 200, maxWaitMs: 0};
	const small = new SchedulerHarness([makeEngine('p1', 'prefill'), makeEngine('d1', 'decode', {cacheBlocks: 40})]).lead();
	small.startDecode(small.placement(small.place('r1', large)).reservation);
	assert.equal(code(small.reply(small.place('r2', large))), 'overloaded');
	const rebuilding = new SchedulerHarness([makeEngine('p1', 'prefill'), makeEngine('d1', 'decode')]);
	rebuilding.send({type: 'scheduler/lease', epoch: 2});
	assert.equal(code(rebuilding.reply(rebuilding.place('r1', {maxWaitMs: 0}))), 'overloaded');
});

test('a valuable request sheds those with a higher shed order, and only where that lets it in', () => {
	const {harness} = makeBusy({maxQueued: 2});
	const cheap = harness.place('cheap', {shedOrder: 9});
	const kept = harness.place('kept', {shedOrder: 2, tenant: 'b'});
	const valuable = harness.place('valuable', {shedOrder: 1, tenant: 'c'});
	assert.deepEqual([cheap, kept, valuable].map(token => code(harness.reply(token))), ['overloaded', undefined, undefined]);
	assert.equal(code(harness.reply(harness.place('worse', {shedOrder: 7}))), 'overloaded');
	assert.equal(code(harness.reply(harness.place('hopeless', {shedOrder: 0, budgetMs: 10}))), 'deadline');
	assert.equal(harness.reply(kept), undefined);
});

/** Two prefill engines, the first of which holds the prefix, and two decode engines. */
function makeCached(overrides: Partial<EngineSpec> = {}) {
	const prefix = Array.from({length: 10}, (_, i) => `h${i}`);
	const harness = new SchedulerHarness([
		makeEngine('p1', 'prefill', overrides), makeEngine('p2', 'prefill'), makeEngine('d1', 'decode'), makeEngine('d2', 'decode'),
	]).lead();
	const events = prefix.map((hash, i) => ({n: i + 1, kind: 'stored' as const, hash}));
	harness.send({
		type: 'scheduler/cache-events', engine: 'p2', after: 0, reply: {events, last: 10},
	});
	const placeCached = (id: string) => harness.placement(harness.place(id, {prefix, promptTokens: 700}));
	return {harness, prefix, placeCached};
}

test('the engine that holds the prefix is preferred until its queue costs more than it saves', () => {
	const {harness, placeCached} = makeCached();
	const first = placeCached('r1');
	assert.equal(first.prefill, 'p2');
	harness.end(first.reservation);
	harness.send({type: 'scheduler/load', engine: 'p2', load: makeLoad({queuedPrefillTokens: 20_000})});
	assert.equal(placeCached('r2').prefill, 'p1');
});

test('in a large shard the engine that holds the prefix is among those compared', () => {
	const engines = Array.from({length: 12}, (_, i) => makeEngine(`p${i}`, 'prefill'));
	const harness = new SchedulerHarness([...engines, makeEngine('d1', 'decode')]).lead();
	harness.send({
		type: 'scheduler/cache-events', engine: 'p11', after: 0, reply: {events: [{n: 1, kind: 'stored', hash: 'h'}], last: 1},
	});
	assert.equal(harness.placement(harness.place('r1', {prefix: ['h']})).prefill, 'p11');
});

test('a gap in cache events invalidates what the engine was believed to hold', () => {
	const {harness, placeCached} = makeCached();
	harness.send({
		type: 'scheduler/cache-events', engine: 'p2', after: 10, reply: {events: [{n: 13, kind: 'stored', hash: 'z'}], last: 13},
	});
	assert.equal(harness.state.pool.index.size, 1);
	harness.send({
		type: 'scheduler/cache-events', engine: 'p2', after: 5, reply: {events: [{n: 6, kind: 'stored', hash: 'late'}], last: 6},
	});
	assert.equal(harness.state.pool.index.lastEvent('p2'), 13, 'an answer to an older question must not be applied');
	assert.equal(placeCached('r1').prefill, 'p1');
});

test('the index is bounded', () => {
	const harness = new SchedulerHarness([makeEngine('p1', 'prefill', {cacheBlocks: 5}), makeEngine('d1', 'decode')], {maxPrefixEntries: 100});
	const events = Array.from({length: 50}, (_, i) => ({n: i + 1, kind: 'stored' as const, hash: `h${i}`}));
	harness.send({
		type: 'scheduler/cache-events', engine: 'p1', after: 0, reply: {events, last: 50},
	});
	assert.equal(harness.state.pool.index.size, 5);
});

test('prefills that find less cached than predicted lower the trust in predictions', () => {
	const {harness, prefix, placeCached} = makeCached();
	const engine = harness.state.pool.engines.get('p2')!;
	const before = harness.state.pool.cachedTokens(engine, {promptTokens: 700, prefix});
	for (let i = 0; i < 12; i++) {
		const {reservation} = placeCached(`r${i}`);
		harness.advance(200);
		harness.startDecode(reservation);
		harness.end(reservation);
	}

	assert.ok(harness.state.pool.cachedTokens(engine, {promptTokens: 700, prefix}) < before / 2);
	assert.equal(before, 640);
});

test('a decode engine in the zone of the prefill engine is preferred, and a fast link over a slow one', () => {
	const zoned = new SchedulerHarness([makeEngine('p1', 'prefill'), makeEngine('d1', 'decode', {zone: 'z2'}), makeEngine('d2', 'decode')]).lead();
	assert.equal(zoned.placement(zoned.place('r1')).decode, 'd2');
	const linked = new SchedulerHarness([makeEngine('p1', 'prefill'), makeEngine('d1', 'decode', {linkRate: 1e9}), makeEngine('d2', 'decode')]).lead();
	assert.equal(linked.placement(linked.place('r1')).decode, 'd2');
});

test('link time is reserved: transfers that wait for a link make another engine cheaper', () => {
	const slow = {linkRate: 1e8};
	const harness = new SchedulerHarness([
		makeEngine('p1', 'prefill'), makeEngine('p2', 'prefill'), makeEngine('d1', 'decode', slow), makeEngine('d2', 'decode', {...slow, zone: 'z2'}),
	]).lead();
	const decodes = ['r1', 'r2'].map(id => harness.placement(harness.place(id)).decode);
	assert.deepEqual(decodes, ['d1', 'd2']);
});

test('KV cache blocks are reserved, so that large requests do not overfill an engine with free slots', () => {
	const harness = new SchedulerHarness([makeEngine('p1', 'prefill'), makeEngine('d1', 'decode', {cacheBlocks: 40})]).lead();
	harness.place('r1', {promptTokens: 1800, maxTokens: 200});
	harness.advance(400);
	assert.equal(harness.reply(harness.place('r2', {promptTokens: 1800, maxTokens: 200})), undefined);
});

test('a reservation moves to another decode engine and frees the first', () => {
	const harness = new SchedulerHarness([makeEngine('p1', 'prefill'), makeEngine('d1', 'decode'), makeEngine('d2', 'decode', {linkRate: 1e7})]).lead();
	const {reservation, decode} = harness.placement(harness.place('r1'));
	harness.send({
		type: 'scheduler/replace', token: 99, owner: entry1, reservation, failure: {upstream: decode, cause: 'failed'},
	});
	const moved = harness.placement(99);
	assert.notEqual(moved.decode, decode);
	assert.equal(moved.reservation, reservation);
	assert.equal(harness.state.pool.engines.get(decode)?.decodes.size, 0);
});

test('decode engines that are full are left without being ejected', () => {
	const harness = new SchedulerHarness([makeEngine('p1', 'prefill'), makeEngine('d1', 'decode'), makeEngine('d2', 'decode')]).lead();
	for (let i = 0; i < 8; i++) {
		const {reservation, decode} = harness.placement(harness.place(`r${i}`));
		harness.send({
			type: 'scheduler/replace', token: 900 + i, owner: entry1, reservation, failure: {upstream: decode, cause: 'full'},
		});
		assert.notEqual(harness.placement(900 + i).decode, decode);
		harness.startDecode(reservation);
	}
});

const running = (reservation: string, phase: RunningReservation['phase'] = 'prefill'): RunningReservation => ({
	reservation, requestId: reservation, tenant: 'a', prefill: 'p1', decode: 'd1', promptTokens: 1000, maxTokens: 200, phase,
});

test('reservations of a dead entry process are freed and cancelled on their engines', () => {
	const {harness} = makeBusy();
	const waiting = harness.place('next', {}, {vm: 'entry-2', incarnation: 1});
	harness.send({type: 'scheduler/entries', entries: {live: [{vm: 'entry-2', incarnation: 1}], dead: [entry1]}});
	assert.equal(code(harness.reply(waiting)), 'placed');
	assert.deepEqual(harness.effects.flatMap(effect => effect.type === 'scheduler/cancel-request' ? [[effect.engine, effect.requestId]] : []), [['p1', 'first'], ['d1', 'first']]);
	const requests = [{
		requestId: 'orphan', owner: {vm: 'entry-2', incarnation: 0}, phase: 'decoding' as const, kvBlocks: 1, ageMs: 1,
	}, {
		requestId: 'kept', owner: {vm: 'entry-2', incarnation: 1}, phase: 'decoding' as const, kvBlocks: 1, ageMs: 1,
	}];
	const cancelled = harness.send({type: 'scheduler/engine-requests', engine: 'd1', requests});
	assert.deepEqual(cancelled.flatMap(effect => effect.type === 'scheduler/cancel-request' ? [effect.requestId] : []), ['orphan']);
});

test('an owner that membership never names counts as dead after a while, but not at once', () => {
	const {harness} = makeBusy();
	const requests = [{
		requestId: 'r9', owner: {vm: 'entry-9', incarnation: 1}, phase: 'decoding' as const, kvBlocks: 1, ageMs: 1,
	}];
	assert.deepEqual(harness.send({type: 'scheduler/engine-requests', engine: 'd1', requests}), []);
	harness.advance(5000);
	assert.deepEqual(harness.send({type: 'scheduler/engine-requests', engine: 'd1', requests}), []);
	harness.advance(5000);
	assert.equal(harness.send({type: 'scheduler/engine-requests', engine: 'd1', requests})[0]?.type, 'scheduler/cancel-request');
});

test('a silent owner loses its reservations, a reporting one keeps them', () => {
	const {harness} = makeBusy();
	for (let i = 0; i < 5; i++) {
		harness.advance(2000);
		harness.send({
			type: 'scheduler/report', owner: entry1, askedMs: harness.nowMs, reservations: [running('1-1')],
		});
	}

	assert.ok(harness.effects.some(({type}) => type === 'scheduler/ask-report'));
	assert.equal(harness.state.reservations.size, 1);
	harness.advance(8000);
	assert.equal(harness.state.reservations.size, 0);
});

test('a reservation that two reports omit is released, since its end was lost; one report may have crossed its placement', () => {
	const {harness} = makeBusy();
	harness.advance(100);
	for (const left of [1, 0]) {
		harness.send({
			type: 'scheduler/report', owner: entry1, askedMs: harness.nowMs, reservations: [],
		});
		assert.equal(harness.state.reservations.size, left);
	}
});

test('a report makes up for lost progress: the prefill engine and the link are free again', () => {
	const {harness} = makeBusy();
	harness.send({
		type: 'scheduler/report', owner: entry1, askedMs: harness.nowMs, reservations: [running('1-1', 'decode')],
	});
	const engine = harness.state.pool.engines.get('p1')!;
	assert.deepEqual([engine.hasPrefills, engine.linkBacklogMs], [false, 0]);
});

test('the end of a transfer frees the link and leaves the prefix in the index', () => {
	const harness = new SchedulerHarness([makeEngine('p1', 'prefill'), makeEngine('d1', 'decode')]).lead();
	const {reservation} = harness.placement(harness.place('r1', {prefix: ['h0', 'h1']}));
	const engine = harness.state.pool.engines.get('d1')!;
	assert.notEqual(engine.linkBacklogMs, 0);
	harness.startDecode(reservation);
	assert.deepEqual([engine.linkBacklogMs, engine.decodes.size, harness.state.pool.index.size], [0, 1, 2]);
});

test('progress from a process that does not own the reservation changes nothing', () => {
	const {harness} = makeBusy();
	harness.end('1-1', 0, {vm: 'entry-2', incarnation: 1});
	assert.equal(harness.state.reservations.size, 1);
});

test('a caller that leaves the queue is answered and gets no slot; asking again replaces the first question', () => {
	const busy = makeBusy();
	const {harness} = busy;
	const gone = harness.place('gone');
	const [first, second] = [harness.place('twice'), harness.place('twice')];
	harness.send({type: 'scheduler/cancel', owner: entry1, requestId: 'gone'});
	assert.deepEqual([gone, first, second].map(token => code(harness.reply(token))), ['overloaded', 'overloaded', undefined]);
	assert.equal(busy.next([second]), second);
});

test('a queued request of a dead process is answered and gets no slot', () => {
	const busy = makeBusy();
	const waiting = busy.harness.place('next', {}, {vm: 'entry-2', incarnation: 1});
	busy.harness.send({type: 'scheduler/entries', entries: {live: [entry1], dead: [{vm: 'entry-2', incarnation: 1}]}});
	assert.equal(code(busy.harness.reply(waiting)), 'overloaded');
	busy.next([]);
	assert.equal(busy.harness.state.reservations.size, 0);
});

test('a report asked for before the placement does not release it', () => {
	const {harness} = makeBusy();
	for (let i = 0; i < 3; i++) {
		harness.send({
			type: 'scheduler/report', owner: entry1, askedMs: harness.nowMs - 1, reservations: [],
		});
	}

	assert.equal(harness.state.reservations.size, 1);
});

test('load read under an earlier lease does not count in a rebuild, which ends when all entry processes have reported', () => {
	const harness = new SchedulerHarness([makeEngine('p1', 'prefill'), makeEngine('d1', 'decode')]);
	harness.send({type: 'scheduler/entries', entries: {live: [entry1], dead: []}});
	harness.send({type: 'scheduler/load', engine: 'd1', load: makeLoad()});
	harness.send({type: 'scheduler/lease', epoch: 3});
	const token = harness.place('r1');
	assert.equal(harness.reply(token), undefined);
	harness.send({
		type: 'scheduler/report', owner: entry1, askedMs: 0, reservations: [],
	});
	assert.equal(code(harness.reply(token)), 'placed');
});

/** Places a request and lets the given engine fail it. */
function failOn(harness: SchedulerHarness, id: string, engine: string) {
	const {reservation} = harness.placement(harness.place(id, {promptTokens: 10}));
	harness.send({
		type: 'scheduler/progress', owner: entry1, progress: {
			phase: 'ended', reservation, outputTokens: 0, reason: 'failed', failedUpstream: engine,
		},
	});
}

test('an engine that fails in a row is ejected, gets one probe after a while and returns when that succeeds', () => {
	const harness = new SchedulerHarness([makeEngine('p1', 'prefill'), makeEngine('d1', 'decode')]).lead();
	for (let i = 0; i < 3; i++) {
		failOn(harness, `f${i}`, 'd1');
	}

	assert.equal(code(harness.reply(harness.place('ejected'))), 'no-upstream');
	harness.advance(1000);
	const probe = harness.placement(harness.place('probe', {promptTokens: 10}));
	harness.advance(100);
	const second = harness.place('second');
	assert.notEqual(code(harness.reply(second)), 'placed');
	harness.startDecode(probe.reservation);
	harness.send({type: 'scheduler/progress', owner: entry1, progress: {phase: 'first-token', reservation: probe.reservation, durationMs: 5}});
	assert.equal(code(harness.reply(harness.place('third'))), 'placed');
	harness.advance(200);
	failOn(harness, 'f4', 'd1');
	assert.equal(code(harness.reply(harness.place('fourth'))), 'placed', 'one failure after a success ejects nothing');
});

test('an engine whose load cannot be read gets no work until it answers', () => {
	const harness = new SchedulerHarness([makeEngine('p1', 'prefill'), makeEngine('d1', 'decode')]).lead();
	for (let i = 0; i < 3; i++) {
		harness.send({type: 'scheduler/poll-failed', engine: 'd1'});
	}

	assert.equal(code(harness.reply(harness.place('r1'))), 'no-upstream');
	harness.send({type: 'scheduler/load', engine: 'd1', load: makeLoad()});
	assert.equal(code(harness.reply(harness.place('r2'))), 'placed');
});

test('drained and leaving engines get no new work but keep what they run', () => {
	for (const stop of ['drain', 'leave']) {
		const harness = new SchedulerHarness([makeEngine('p1', 'prefill'), makeEngine('d1', 'decode')]).lead();
		harness.place('r1', {promptTokens: 10});
		if (stop === 'drain') {
			harness.send({type: 'scheduler/configure', engines: [makeEngine('p1', 'prefill'), makeEngine('d1', 'decode', {isDrained: true})], weights: new Map()});
		} else {
			harness.send({type: 'scheduler/load', engine: 'd1', load: makeLoad({leaving: true})});
		}

		assert.equal(code(harness.reply(harness.place('r2'))), 'no-upstream');
		assert.equal(harness.state.reservations.size, 1);
	}
});

test('requests spread over decode engines that are otherwise equal', () => {
	const harness = new SchedulerHarness([makeEngine('p1', 'prefill'), makeEngine('d1', 'decode'), makeEngine('d2', 'decode')]).lead();
	const decodes = ['r1', 'r2'].map(id => harness.placement(harness.place(id, {promptTokens: 1})).decode);
	assert.deepEqual(decodes.sort(), ['d1', 'd2']);
});

test('every overdue request is answered at one tick', () => {
	const {harness} = makeBusy();
	const tokens = Array.from({length: 6}, (_, i) => harness.place(`r${i}`, {tenant: `t${i % 2}`, maxWaitMs: 3000}));
	harness.nowMs += 3000;
	harness.send({type: 'scheduler/tick'});
	assert.deepEqual(tokens.map(token => code(harness.reply(token))), tokens.map(() => 'overloaded'));
	const [ahead, behind] = [9000, 2500].map(maxWaitMs => harness.place(`w${maxWaitMs}`, {maxWaitMs}));
	harness.advance(2500);
	assert.deepEqual([code(harness.reply(ahead!)), code(harness.reply(behind!))], [undefined, 'overloaded'], 'also behind one that is not overdue');
});

test('a request is refused when only engines are free that would miss its target', () => {
	const harness = new SchedulerHarness([makeEngine('p1', 'prefill'), makeEngine('d1', 'decode', {slots: 1}), makeEngine('d2', 'decode', {linkRate: 1e7})]).lead();
	const {reservation} = harness.placement(harness.place('r1'));
	harness.startDecode(reservation);
	assert.equal(code(harness.reply(harness.place('r2', {budgetMs: 500}))), 'deadline');
});

test('own reservations among the reported decodes are not counted twice', () => {
	const harness = new SchedulerHarness([makeEngine('p1', 'prefill'), makeEngine('d1', 'decode', {slots: 2})]).lead();
	harness.place('r1', {promptTokens: 10});
	harness.send({type: 'scheduler/load', engine: 'd1', load: makeLoad({activeDecodes: 1})});
	assert.equal(code(harness.reply(harness.place('r2'))), 'placed');
});

test('slots that others filled, as the engine reports, are not given out again', () => {
	const harness = new SchedulerHarness([makeEngine('p1', 'prefill'), makeEngine('d1', 'decode', {slots: 2})]).lead();
	harness.send({type: 'scheduler/load', engine: 'd1', load: makeLoad({activeDecodes: 2})});
	const token = harness.place('r1');
	assert.equal(harness.reply(token), undefined);
	harness.send({type: 'scheduler/load', engine: 'd1', load: makeLoad({activeDecodes: 0})});
	assert.equal(code(harness.reply(token)), 'placed');
});

test('speeds are learned: admission and choice follow what engines did, not fixed figures', () => {
	const harness = new SchedulerHarness([makeEngine('p1', 'prefill'), makeEngine('p2', 'prefill'), makeEngine('d1', 'decode')]).lead();
	for (let i = 0; i < 20; i++) {
		const placements = [`r${i}`, `s${i}`].map(id => harness.placement(harness.place(id)));
		for (const [engine, durationMs] of [['p2', 50], ['p1', 400]] as const) {
			const {reservation} = placements.find(({prefill}) => prefill === engine)!;
			harness.advance(durationMs - (engine === 'p1' ? 50 : 0), 10);
			harness.send({
				type: 'scheduler/progress', owner: entry1, progress: {
					phase: 'prefilled', reservation, promptTokens: 1000, cachedTokens: 0, durationMs,
				},
			});
			harness.send({type: 'scheduler/progress', owner: entry1, progress: {phase: 'transferred', reservation, durationMs: 200}});
			harness.send({type: 'scheduler/progress', owner: entry1, progress: {phase: 'first-token', reservation, durationMs: 5}});
		}

		harness.advance(1000);
		for (const {reservation} of placements) {
			harness.end(reservation, 100);
		}
	}

	const {pool} = harness.state;
	const [p2, d1] = [pool.engines.get('p2')!, pool.engines.get('d1')!];
	assert.ok(Math.abs(p2.prefillSpeed.value - 0.05) < 0.015);
	assert.ok(Math.abs(d1.firstTokenSpeed.value - 5) < 2);
	assert.ok(Math.abs(d1.outputSpeed.value - 11.75) < 1.5);
	assert.ok(Math.abs(pool.transferMs(p2, d1, 1000) - 200) < 10);
	assert.ok(Math.abs(pool.hold.value - 1400) < 150);
	assert.equal(harness.placement(harness.place('last')).prefill, 'p2');
	assert.equal(code(harness.reply(harness.place('late', {budgetMs: 200}))), 'deadline');
});

test('the time a prefill waited in its engine does not count as the time it took', () => {
	const harness = new SchedulerHarness([makeEngine('p1', 'prefill'), makeEngine('d1', 'decode')]).lead();
	for (let i = 0; i < 10; i++) {
		const first = harness.placement(harness.place(`a${i}`));
		harness.advance(60);
		const second = harness.placement(harness.place(`b${i}`));
		harness.advance(40);
		harness.startDecode(first.reservation);
		harness.advance(100);
		harness.send({
			type: 'scheduler/progress', owner: entry1, progress: {
				phase: 'prefilled', reservation: second.reservation, promptTokens: 1000, cachedTokens: 0, durationMs: 140,
			},
		});
		harness.end(first.reservation);
		harness.end(second.reservation);
	}

	assert.ok(Math.abs(harness.state.pool.prefill.value - 0.1) < 0.005);
});

/** Runs requests one after the other whose prompts are mostly cached and whose messages take `turnaroundMs`. */
function trainCached(harness: SchedulerHarness, turnaroundMs: number): void {
	for (let i = 0; i < 20; i++) {
		const {reservation} = harness.placement(harness.place(`train-${i}`));
		harness.advance(10 + turnaroundMs);
		harness.send({
			type: 'scheduler/progress', owner: entry1, progress: {
				phase: 'prefilled', reservation, promptTokens: 1000, cachedTokens: 900, durationMs: 10,
			},
		});
		harness.end(reservation);
	}
}

test('prompt tokens that engines find cached do not count in the estimated wait, which would refuse requests that are in time', () => {
	const harness = new SchedulerHarness([makeEngine('p1', 'prefill'), makeEngine('d1', 'decode')]).lead();
	trainCached(harness, 0);
	harness.place('running');
	for (let i = 0; i < 10; i++) {
		assert.equal(harness.reply(harness.place(`queued-${i}`)), undefined);
	}

	assert.equal(harness.reply(harness.place('in-time', {budgetMs: 700})), undefined);
});

test('a prefill engine gets its next prefill earlier where messages take long, so that it does not run idle', () => {
	const quick = new SchedulerHarness([makeEngine('p1', 'prefill'), makeEngine('d1', 'decode')]).lead();
	const slow = new SchedulerHarness([makeEngine('p1', 'prefill'), makeEngine('d1', 'decode')]).lead();
	trainCached(quick, 0);
	trainCached(slow, 150);
	quick.place('first');
	slow.place('first');
	assert.equal(quick.reply(quick.place('second')), undefined);
	assert.equal(slow.reply(slow.place('second'))?.kind, 'placed');
});
