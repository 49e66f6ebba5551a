import assert from 'node:assert/strict';
import {test} from 'node:test';
import {FairQueue} from './fair-queue.js';
import {
	entry1, makeEngine, makeLoad, makeRequest, SchedulerHarness,
} from './fixtures.js';
import type {SchedulerOptions} from './scheduler.js';
import type {EngineSpec, RunningReservation, SchedulerReply} from './types.js';

/** Creates a scheduler for one prefill engine and one decode engine whose only slot is taken by a running request. */
function makeFullPool(options: Partial<SchedulerOptions> = {}, weights?: ReadonlyMap<string, number>) {
	const harness = new SchedulerHarness([makeEngine('p1', 'prefill'), makeEngine('d1', 'decode', {slots: 1})], options, weights).acquireLease();
	let running = harness.placement(harness.place('first', {tenant: 'first'})).reservation;
	return {
		harness,
		/** Ends the running request. Returns the reply token of the request in `tokens` that gets its slot, or undefined if none does. */
		endRunning(tokens: readonly number[], outputTokens = 200): number | undefined {
			const waiting = tokens.filter(token => harness.reply(token) === undefined);
			harness.startDecode(running);
			harness.endRequest(running, outputTokens);
			const placed = waiting.find(token => harness.reply(token)?.kind === 'placed');
			running = placed === undefined ? running : harness.placement(placed).reservation;
			return placed;
		},
	};
}

function replyCode(reply: SchedulerReply | undefined): string | undefined {
	return reply?.kind === 'refused' ? reply.code : reply?.kind;
}

const servingOrder = (busy: ReturnType<typeof makeFullPool>, tokens: readonly number[]) => tokens.map(() => tokens.indexOf(busy.endRunning(tokens)!));

test('the request with the lower priority number is served first', () => {
	const busy = makeFullPool();
	assert.deepEqual(servingOrder(busy, [busy.harness.place('low', {priority: 6}), busy.harness.place('high', {priority: 1})]), [1, 0]);
});

test('a request that has waited half of its maximum wait is served before requests of higher priority, so that it does not starve', () => {
	const busy = makeFullPool();
	const low = busy.harness.place('low', {tenant: 'b', priority: 9, maxWaitMs: 4000});
	busy.harness.advance(2000);
	assert.equal(busy.endRunning([low, busy.harness.place('high', {priority: 0})]), low);
});

test('requests of a customer that exceeds its share are not promoted for waiting', () => {
	const busy = makeFullPool();
	const flood = Array.from({length: 6}, (_, i) => busy.harness.place(`flood-${i}`, {tenant: 'flood', priority: 5, maxWaitMs: 3000}));
	busy.endRunning(flood);
	busy.endRunning(flood);
	busy.harness.advance(1500);
	const other = busy.harness.place('other', {tenant: 'other', priority: 3});
	assert.equal(busy.endRunning([...flood, other]), other);
});

test('a low-priority request that has waited long is served before requests of higher priority of its own customer', () => {
	const busy = makeFullPool();
	const flood = Array.from({length: 3}, (_, i) => busy.harness.place(`h${i}`, {tenant: 'b', priority: 0}));
	busy.endRunning(flood);
	const low = busy.harness.place('low', {tenant: 'b', priority: 9, maxWaitMs: 4000});
	busy.harness.advance(2000);
	assert.equal(busy.endRunning([...flood, low]), low);
});

test('a customer does not accumulate credit while it is idle', () => {
	const busy = makeFullPool();
	const {harness} = busy;
	const early = harness.place('early', {tenant: 'idle'});
	busy.endRunning([early]);
	const before = Array.from({length: 6}, (_, i) => harness.place(`x${i}`, {tenant: 'busy'}));
	for (let i = 0; i < 4; i++) {
		busy.endRunning(before);
	}

	const returning = Array.from({length: 3}, (_, i) => harness.place(`y${i}`, {tenant: 'idle'}));
	const served = servingOrder(busy, [...before, ...returning]).slice(0, 3);
	assert.ok(served.some(i => i >= 0 && i < before.length), `the returning tenant took every turn: ${served.join(',')}`);
});

test('the fair queue removes the state of customers that have no queued requests once virtual time has passed them', () => {
	const queue = new FairQueue();
	const push = (customer: string) => {
		const item = {
			req: makeRequest(customer, {tenant: customer}), owner: entry1, token: 1, arrivedMs: 0, serviceMs: 0,
		};
		queue.push(item, 1);
		return item;
	};

	for (let i = 0; i < 50; i++) {
		queue.dequeue(push(`t${i}`));
	}

	const waiting = [push('a'), push('a'), push('a')];
	queue.dequeue(waiting[0]!);
	queue.dequeue(waiting[1]!);
	queue.removeIdleCustomers();
	assert.equal(queue.customerCount, 1, 'tenants that virtual time has passed are removed');
	queue.remove(waiting[2]!);
	queue.removeIdleCustomers();
	assert.equal(queue.customerCount, 0, 'an empty queue keeps no tenants');
});

test('customers are served in proportion to their weight, and unused output tokens are refunded', () => {
	const weighted = makeFullPool({}, new Map([['heavy', 3]]));
	const heavy = ['h1', 'h2', 'h3', 'h4'].map(id => weighted.harness.place(id, {tenant: 'heavy'}));
	const light = ['l1', 'l2', 'l3', 'l4'].map(id => weighted.harness.place(id, {tenant: 'light'}));
	const firstFourServed = servingOrder(weighted, [...heavy, ...light]).slice(0, 4);
	assert.equal(firstFourServed.filter(i => i < heavy.length).length, 3);
	const refunded = makeFullPool();
	const short = ['s1', 's2'].map(id => refunded.harness.place(id, {tenant: 'short', promptTokens: 1, maxTokens: 1000}));
	const long = ['x1', 'x2'].map(id => refunded.harness.place(id, {tenant: 'long', promptTokens: 1, maxTokens: 300}));
	refunded.endRunning([...short, ...long]);
	assert.equal(refunded.endRunning([...short, ...long], 1), long[0]);
	assert.equal(refunded.endRunning([...short, ...long], 300), short[1]);
});

test('a request that would miss its target or exceed its maximum wait is refused immediately with a retry delay', () => {
	const {harness} = makeFullPool();
	const late = harness.place('late', {promptTokens: 8000, budgetMs: 500});
	const reply = harness.reply(late);
	assert.ok(reply?.kind === 'refused' && reply.code === 'deadline' && reply.retryAfterMs > 0);
	assert.equal(harness.replies.get(late)?.atMs, harness.nowMs);
	for (let i = 0; i < 10; i++) {
		harness.place(`q${i}`, {tenant: `t${i}`, maxWaitMs: 20_000, budgetMs: 30_000});
	}

	assert.equal(replyCode(harness.reply(harness.place('behind', {budgetMs: 30_000, maxWaitMs: 1000}))), 'overloaded');
});

test('a queued request is refused as soon as its maximum wait elapses or it can no longer meet its target', () => {
	const {harness} = makeFullPool();
	const bounded = harness.place('bounded', {maxWaitMs: 1200});
	const targeted = harness.place('targeted', {maxWaitMs: 9000, budgetMs: 3000, promptTokens: 5000});
	harness.advance(6000);
	assert.equal(replyCode(harness.reply(bounded)), 'overloaded');
	assert.equal(replyCode(harness.reply(targeted)), 'deadline');
	assert.ok(harness.replies.get(bounded)!.atMs <= 500 + 1200 + 20);
	assert.ok(harness.replies.get(targeted)!.atMs <= 500 + 3000);
});

test('a request with a maximum wait of 0 is placed or refused immediately', () => {
	const harness = new SchedulerHarness([makeEngine('p1', 'prefill'), makeEngine('d1', 'decode', {slots: 1})]).acquireLease();
	assert.equal(replyCode(harness.reply(harness.place('r1', {maxWaitMs: 0}))), 'placed');
	assert.equal(replyCode(harness.reply(harness.place('r2', {maxWaitMs: 0}))), 'overloaded');
	const large = {promptTokens: 1800, maxTokens: 200, maxWaitMs: 0};
	const small = new SchedulerHarness([makeEngine('p1', 'prefill'), makeEngine('d1', 'decode', {cacheBlocks: 40})]).acquireLease();
	small.startDecode(small.placement(small.place('r1', large)).reservation);
	assert.equal(replyCode(small.reply(small.place('r2', large))), 'overloaded');
	const rebuilding = new SchedulerHarness([makeEngine('p1', 'prefill'), makeEngine('d1', 'decode')]);
	rebuilding.send({type: 'scheduler/lease', epoch: 2});
	assert.equal(replyCode(rebuilding.reply(rebuilding.place('r1', {maxWaitMs: 0}))), 'overloaded');
});

test('a request causes queued requests with a higher shed order to be shed only if that allows it to be admitted', () => {
	const {harness} = makeFullPool({maxQueued: 2});
	const cheap = harness.place('cheap', {shedOrder: 9});
	const kept = harness.place('kept', {shedOrder: 2, tenant: 'b'});
	const valuable = harness.place('valuable', {shedOrder: 1, tenant: 'c'});
	assert.deepEqual([cheap, kept, valuable].map(token => replyCode(harness.reply(token))), ['overloaded', undefined, undefined]);
	assert.equal(replyCode(harness.reply(harness.place('worse', {shedOrder: 7}))), 'overloaded');
	assert.equal(replyCode(harness.reply(harness.place('hopeless', {shedOrder: 0, budgetMs: 10}))), 'deadline');
	assert.equal(harness.reply(kept), undefined);
});

/** Creates a scheduler for two decode engines and two prefill engines. Prefill engine `p2` has the returned prefix cached. */
function makePoolWithCachedPrefix(overrides: Partial<EngineSpec> = {}) {
	const prefix = Array.from({length: 10}, (_, i) => `h${i}`);
	const harness = new SchedulerHarness([
		makeEngine('p1', 'prefill', overrides), makeEngine('p2', 'prefill'), makeEngine('d1', 'decode'), makeEngine('d2', 'decode'),
	]).acquireLease();
	const events = prefix.map((hash, i) => ({n: i + 1, kind: 'stored' as const, hash}));
	harness.send({
		type: 'scheduler/cache-events', engine: 'p2', after: 0, reply: {events, last: 10},
	});
	const placeCached = (id: string) => harness.placement(harness.place(id, {prefix, promptTokens: 700}));
	return {harness, prefix, placeCached};
}

test('the engine that has the prefix cached is preferred until its queue costs more than the cache saves', () => {
	const {harness, placeCached} = makePoolWithCachedPrefix();
	const first = placeCached('r1');
	assert.equal(first.prefill, 'p2');
	harness.endRequest(first.reservation);
	harness.send({type: 'scheduler/load', engine: 'p2', load: makeLoad({queuedPrefillTokens: 20_000})});
	assert.equal(placeCached('r2').prefill, 'p1');
});

test('in a shard with more engines than are compared, the engine that has the prefix cached is compared and chosen', () => {
	const engines = Array.from({length: 12}, (_, i) => makeEngine(`p${i}`, 'prefill'));
	const harness = new SchedulerHarness([...engines, makeEngine('d1', 'decode')]).acquireLease();
	harness.send({
		type: 'scheduler/cache-events', engine: 'p11', after: 0, reply: {events: [{n: 1, kind: 'stored', hash: 'h'}], last: 1},
	});
	assert.equal(harness.placement(harness.place('r1', {prefix: ['h']})).prefill, 'p11');
});

test('a gap in the cache events of an engine clears its entries in the prefix index', () => {
	const {harness, placeCached} = makePoolWithCachedPrefix();
	harness.send({
		type: 'scheduler/cache-events', engine: 'p2', after: 10, reply: {events: [{n: 13, kind: 'stored', hash: 'z'}], last: 13},
	});
	assert.equal(harness.state.pool.prefixIndex.size, 1);
	harness.send({
		type: 'scheduler/cache-events', engine: 'p2', after: 5, reply: {events: [{n: 6, kind: 'stored', hash: 'late'}], last: 6},
	});
	assert.equal(harness.state.pool.prefixIndex.lastEventNumber('p2'), 13, 'a reply to an older poll must not be applied');
	assert.equal(placeCached('r1').prefill, 'p1');
});

test('the prefix index holds at most as many blocks as the engine can cache', () => {
	const harness = new SchedulerHarness([makeEngine('p1', 'prefill', {cacheBlocks: 5}), makeEngine('d1', 'decode')], {maxPrefixEntries: 100});
	const events = Array.from({length: 50}, (_, i) => ({n: i + 1, kind: 'stored' as const, hash: `h${i}`}));
	harness.send({
		type: 'scheduler/cache-events', engine: 'p1', after: 0, reply: {events, last: 50},
	});
	assert.equal(harness.state.pool.prefixIndex.size, 5);
});

test('prefills that find fewer cached prompt tokens than predicted reduce later predictions', () => {
	const {harness, prefix, placeCached} = makePoolWithCachedPrefix();
	const engine = harness.state.pool.engines.get('p2')!;
	const before = harness.state.pool.cachedTokens(engine, {promptTokens: 700, prefix});
	for (let i = 0; i < 12; i++) {
		const {reservation} = placeCached(`r${i}`);
		harness.advance(200);
		harness.startDecode(reservation);
		harness.endRequest(reservation);
	}

	assert.ok(harness.state.pool.cachedTokens(engine, {promptTokens: 700, prefix}) < before / 2);
	assert.equal(before, 640);
});

test('a decode engine in the zone of the prefill engine or with a faster link is preferred', () => {
	const zoned = new SchedulerHarness([makeEngine('p1', 'prefill'), makeEngine('d1', 'decode', {zone: 'z2'}), makeEngine('d2', 'decode')]).acquireLease();
	assert.equal(zoned.placement(zoned.place('r1')).decode, 'd2');
	const linked = new SchedulerHarness([makeEngine('p1', 'prefill'), makeEngine('d1', 'decode', {linkRate: 1e9}), makeEngine('d2', 'decode')]).acquireLease();
	assert.equal(linked.placement(linked.place('r1')).decode, 'd2');
});

test('a decode engine with a free link in another zone is preferred to an engine whose link is reserved for a transfer', () => {
	const slow = {linkRate: 1e8};
	const harness = new SchedulerHarness([
		makeEngine('p1', 'prefill'), makeEngine('p2', 'prefill'), makeEngine('d1', 'decode', slow), makeEngine('d2', 'decode', {...slow, zone: 'z2'}),
	]).acquireLease();
	const decodes = ['r1', 'r2'].map(id => harness.placement(harness.place(id)).decode);
	assert.deepEqual(decodes, ['d1', 'd2']);
});

test('KV cache blocks are reserved, so that large requests do not exceed the cache of an engine with free slots', () => {
	const harness = new SchedulerHarness([makeEngine('p1', 'prefill'), makeEngine('d1', 'decode', {cacheBlocks: 40})]).acquireLease();
	harness.place('r1', {promptTokens: 1800, maxTokens: 200});
	harness.advance(400);
	assert.equal(harness.reply(harness.place('r2', {promptTokens: 1800, maxTokens: 200})), undefined);
});

test('a reservation that moves to another decode engine frees its slot on the first engine', () => {
	const harness = new SchedulerHarness([makeEngine('p1', 'prefill'), makeEngine('d1', 'decode'), makeEngine('d2', 'decode', {linkRate: 1e7})]).acquireLease();
	const {reservation, decode} = harness.placement(harness.place('r1'));
	harness.send({
		type: 'scheduler/replace', token: 99, owner: entry1, reservation, failure: {upstream: decode, cause: 'failed'},
	});
	const moved = harness.placement(99);
	assert.notEqual(moved.decode, decode);
	assert.equal(moved.reservation, reservation);
	assert.equal(harness.state.pool.engines.get(decode)?.decodes.size, 0);
});

test('a decode engine that rejects requests because it is full is not ejected', () => {
	const harness = new SchedulerHarness([makeEngine('p1', 'prefill'), makeEngine('d1', 'decode'), makeEngine('d2', 'decode')]).acquireLease();
	for (let i = 0; i < 8; i++) {
		const {reservation, decode} = harness.placement(harness.place(`r${i}`));
		harness.send({
			type: 'scheduler/replace', token: 900 + i, owner: entry1, reservation, failure: {upstream: decode, cause: 'full'},
		});
		assert.notEqual(harness.placement(900 + i).decode, decode);
		harness.startDecode(reservation);
	}
});

const makeRunning = (reservation: string, phase: RunningReservation['phase'] = 'prefill'): RunningReservation => ({
	reservation, requestId: reservation, tenant: 'a', prefill: 'p1', decode: 'd1', promptTokens: 1000, maxTokens: 200, phase,
});

test('reservations of a dead entry process are released and their requests cancelled on the engines', () => {
	const {harness} = makeFullPool();
	const waiting = harness.place('next', {}, {vm: 'entry-2', incarnation: 1});
	harness.send({type: 'scheduler/entries', entries: {live: [{vm: 'entry-2', incarnation: 1}], dead: [entry1]}});
	assert.equal(replyCode(harness.reply(waiting)), 'placed');
	assert.deepEqual(harness.effects.flatMap(effect => effect.type === 'scheduler/cancel-request' ? [[effect.engine, effect.requestId]] : []), [['p1', 'first'], ['d1', 'first']]);
	const requests = [{
		requestId: 'orphan', owner: {vm: 'entry-2', incarnation: 0}, phase: 'decoding' as const, kvBlocks: 1, ageMs: 1,
	}, {
		requestId: 'kept', owner: {vm: 'entry-2', incarnation: 1}, phase: 'decoding' as const, kvBlocks: 1, ageMs: 1,
	}];
	const cancelled = harness.send({type: 'scheduler/engine-requests', engine: 'd1', requests});
	assert.deepEqual(cancelled.flatMap(effect => effect.type === 'scheduler/cancel-request' ? [effect.requestId] : []), ['orphan']);
});

test('a request of an owner that membership does not know is cancelled only after a timeout', () => {
	const {harness} = makeFullPool();
	const requests = [{
		requestId: 'r9', owner: {vm: 'entry-9', incarnation: 1}, phase: 'decoding' as const, kvBlocks: 1, ageMs: 1,
	}];
	assert.deepEqual(harness.send({type: 'scheduler/engine-requests', engine: 'd1', requests}), []);
	harness.advance(5000);
	assert.deepEqual(harness.send({type: 'scheduler/engine-requests', engine: 'd1', requests}), []);
	harness.advance(5000);
	assert.equal(harness.send({type: 'scheduler/engine-requests', engine: 'd1', requests})[0]?.type, 'scheduler/cancel-request');
});

test('reservations are kept while their owner reports them, and are released once the owner is silent', () => {
	const {harness} = makeFullPool();
	for (let i = 0; i < 5; i++) {
		harness.advance(2000);
		harness.send({
			type: 'scheduler/report', owner: entry1, requestedMs: harness.nowMs, reservations: [makeRunning('1-1')],
		});
	}

	assert.ok(harness.effects.some(({type}) => type === 'scheduler/ask-report'));
	assert.equal(harness.state.reservations.size, 1);
	harness.advance(8000);
	assert.equal(harness.state.reservations.size, 0);
});

test('a reservation whose end message was lost is released by the second report that does not list it', () => {
	const {harness} = makeFullPool();
	harness.advance(100);
	for (const left of [1, 0]) {
		harness.send({
			type: 'scheduler/report', owner: entry1, requestedMs: harness.nowMs, reservations: [],
		});
		assert.equal(harness.state.reservations.size, left);
	}
});

test('a report frees the prefill engine and the link if the progress messages were lost', () => {
	const {harness} = makeFullPool();
	harness.send({
		type: 'scheduler/report', owner: entry1, requestedMs: harness.nowMs, reservations: [makeRunning('1-1', 'decode')],
	});
	const engine = harness.state.pool.engines.get('p1')!;
	assert.deepEqual([engine.hasPrefills, engine.linkBacklogMs], [false, 0]);
});

test('the end of a transfer frees the link, and the prefix index keeps the computed prefix', () => {
	const harness = new SchedulerHarness([makeEngine('p1', 'prefill'), makeEngine('d1', 'decode')]).acquireLease();
	const {reservation} = harness.placement(harness.place('r1', {prefix: ['h0', 'h1']}));
	const engine = harness.state.pool.engines.get('d1')!;
	assert.notEqual(engine.linkBacklogMs, 0);
	harness.startDecode(reservation);
	assert.deepEqual([engine.linkBacklogMs, engine.decodes.size, harness.state.pool.prefixIndex.size], [0, 1, 2]);
});

test('a progress message from a process that does not own the reservation is ignored', () => {
	const {harness} = makeFullPool();
	harness.endRequest('1-1', 0, {vm: 'entry-2', incarnation: 1});
	assert.equal(harness.state.reservations.size, 1);
});

test('a queued request is refused and gets no slot if it is cancelled, or if its entry process sends it again', () => {
	const busy = makeFullPool();
	const {harness} = busy;
	const gone = harness.place('gone');
	const [first, second] = [harness.place('twice'), harness.place('twice')];
	harness.send({type: 'scheduler/cancel', owner: entry1, requestId: 'gone'});
	assert.deepEqual([gone, first, second].map(token => replyCode(harness.reply(token))), ['overloaded', 'overloaded', undefined]);
	assert.equal(busy.endRunning([second]), second);
});

test('a queued request of a dead process is refused and gets no slot', () => {
	const busy = makeFullPool();
	const waiting = busy.harness.place('next', {}, {vm: 'entry-2', incarnation: 1});
	busy.harness.send({type: 'scheduler/entries', entries: {live: [entry1], dead: [{vm: 'entry-2', incarnation: 1}]}});
	assert.equal(replyCode(busy.harness.reply(waiting)), 'overloaded');
	busy.endRunning([]);
	assert.equal(busy.harness.state.reservations.size, 0);
});

test('a report requested before the placement does not release the reservation', () => {
	const {harness} = makeFullPool();
	for (let i = 0; i < 3; i++) {
		harness.send({
			type: 'scheduler/report', owner: entry1, requestedMs: harness.nowMs - 1, reservations: [],
		});
	}

	assert.equal(harness.state.reservations.size, 1);
});

test('a rebuild ignores load reports from before the lease, and ends when all entry processes have reported', () => {
	const harness = new SchedulerHarness([makeEngine('p1', 'prefill'), makeEngine('d1', 'decode')]);
	harness.send({type: 'scheduler/entries', entries: {live: [entry1], dead: []}});
	harness.send({type: 'scheduler/load', engine: 'd1', load: makeLoad()});
	harness.send({type: 'scheduler/lease', epoch: 3});
	const token = harness.place('r1');
	assert.equal(harness.reply(token), undefined);
	harness.send({
		type: 'scheduler/report', owner: entry1, requestedMs: 0, reservations: [],
	});
	assert.equal(replyCode(harness.reply(token)), 'placed');
});

/** Places a request and reports that the request failed on the given engine. */
function failRequestOn(harness: SchedulerHarness, id: string, engine: string) {
	const {reservation} = harness.placement(harness.place(id, {promptTokens: 10}));
	harness.send({
		type: 'scheduler/progress', owner: entry1, progress: {
			phase: 'ended', reservation, outputTokens: 0, reason: 'failed', failedUpstream: engine,
		},
	});
}

test('an engine with consecutive failures is ejected, gets a single probe request after the ejection and is readmitted when the probe succeeds', () => {
	const harness = new SchedulerHarness([makeEngine('p1', 'prefill'), makeEngine('d1', 'decode')]).acquireLease();
	for (let i = 0; i < 3; i++) {
		failRequestOn(harness, `f${i}`, 'd1');
	}

	assert.equal(replyCode(harness.reply(harness.place('ejected'))), 'no-upstream');
	harness.advance(1000);
	const probe = harness.placement(harness.place('probe', {promptTokens: 10}));
	harness.advance(100);
	const second = harness.place('second');
	assert.notEqual(replyCode(harness.reply(second)), 'placed');
	harness.startDecode(probe.reservation);
	harness.send({type: 'scheduler/progress', owner: entry1, progress: {phase: 'first-token', reservation: probe.reservation, durationMs: 5}});
	assert.equal(replyCode(harness.reply(harness.place('third'))), 'placed');
	harness.advance(200);
	failRequestOn(harness, 'f4', 'd1');
	assert.equal(replyCode(harness.reply(harness.place('fourth'))), 'placed', 'one failure after a success must not eject the engine');
});

test('an engine that does not answer load polls gets no requests until it answers', () => {
	const harness = new SchedulerHarness([makeEngine('p1', 'prefill'), makeEngine('d1', 'decode')]).acquireLease();
	for (let i = 0; i < 3; i++) {
		harness.send({type: 'scheduler/poll-failed', engine: 'd1'});
	}

	assert.equal(replyCode(harness.reply(harness.place('r1'))), 'no-upstream');
	harness.send({type: 'scheduler/load', engine: 'd1', load: makeLoad()});
	assert.equal(replyCode(harness.reply(harness.place('r2'))), 'placed');
});

test('drained and leaving engines get no new requests but keep their reservations', () => {
	for (const stop of ['drain', 'leave']) {
		const harness = new SchedulerHarness([makeEngine('p1', 'prefill'), makeEngine('d1', 'decode')]).acquireLease();
		harness.place('r1', {promptTokens: 10});
		if (stop === 'drain') {
			harness.send({type: 'scheduler/configure', engines: [makeEngine('p1', 'prefill'), makeEngine('d1', 'decode', {isDrained: true})], weights: new Map()});
		} else {
			harness.send({type: 'scheduler/load', engine: 'd1', load: makeLoad({leaving: true})});
		}

		assert.equal(replyCode(harness.reply(harness.place('r2'))), 'no-upstream');
		assert.equal(harness.state.reservations.size, 1);
	}
});

test('requests are distributed among decode engines that are equally fast', () => {
	const harness = new SchedulerHarness([makeEngine('p1', 'prefill'), makeEngine('d1', 'decode'), makeEngine('d2', 'decode')]).acquireLease();
	const decodes = ['r1', 'r2'].map(id => harness.placement(harness.place(id, {promptTokens: 1})).decode);
	assert.deepEqual(decodes.sort(), ['d1', 'd2']);
});

test('one tick refuses every overdue request', () => {
	const {harness} = makeFullPool();
	const tokens = Array.from({length: 6}, (_, i) => harness.place(`r${i}`, {tenant: `t${i % 2}`, maxWaitMs: 3000}));
	harness.nowMs += 3000;
	harness.send({type: 'scheduler/tick'});
	assert.deepEqual(tokens.map(token => replyCode(harness.reply(token))), tokens.map(() => 'overloaded'));
	const [ahead, behind] = [9000, 2500].map(maxWaitMs => harness.place(`w${maxWaitMs}`, {maxWaitMs}));
	harness.advance(2500);
	assert.deepEqual([replyCode(harness.reply(ahead!)), replyCode(harness.reply(behind!))], [undefined, 'overloaded'], 'an overdue request behind a request that is not overdue must be refused');
});

test('a request is refused if it would miss its target on the only decode engine that is free', () => {
	const harness = new SchedulerHarness([makeEngine('p1', 'prefill'), makeEngine('d1', 'decode', {slots: 1}), makeEngine('d2', 'decode', {linkRate: 1e7})]).acquireLease();
	const {reservation} = harness.placement(harness.place('r1'));
	harness.startDecode(reservation);
	assert.equal(replyCode(harness.reply(harness.place('r2', {budgetMs: 500}))), 'deadline');
});

test('reservations that the engine also reports as active decodes are not counted twice', () => {
	const harness = new SchedulerHarness([makeEngine('p1', 'prefill'), makeEngine('d1', 'decode', {slots: 2})]).acquireLease();
	harness.place('r1', {promptTokens: 10});
	harness.send({type: 'scheduler/load', engine: 'd1', load: makeLoad({activeDecodes: 1})});
	assert.equal(replyCode(harness.reply(harness.place('r2'))), 'placed');
});

test('slots that other schedulers use are not assigned until the engine reports them as free', () => {
	const harness = new SchedulerHarness([makeEngine('p1', 'prefill'), makeEngine('d1', 'decode', {slots: 2})]).acquireLease();
	harness.send({type: 'scheduler/load', engine: 'd1', load: makeLoad({activeDecodes: 2})});
	const token = harness.place('r1');
	assert.equal(harness.reply(token), undefined);
	harness.send({type: 'scheduler/load', engine: 'd1', load: makeLoad({activeDecodes: 0})});
	assert.equal(replyCode(harness.reply(token)), 'placed');
});

test('admission and placement follow the measured speeds of the engines, not the initial estimates', () => {
	const harness = new SchedulerHarness([makeEngine('p1', 'prefill'), makeEngine('p2', 'prefill'), makeEngine('d1', 'decode')]).acquireLease();
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
			harness.endRequest(reservation, 100);
		}
	}

	const {pool} = harness.state;
	const [p2, d1] = [pool.engines.get('p2')!, pool.engines.get('d1')!];
	assert.ok(Math.abs(p2.prefillMsPerToken.value - 0.05) < 0.015);
	assert.ok(Math.abs(d1.firstTokenLatencyMs.value - 5) < 2);
	assert.ok(Math.abs(d1.outputMsPerToken.value - 11.75) < 1.5);
	assert.ok(Math.abs(pool.transferMs(p2, d1, 1000) - 200) < 10);
	assert.ok(Math.abs(pool.slotHoldMs.value - 1400) < 150);
	assert.equal(harness.placement(harness.place('last')).prefill, 'p2');
	assert.equal(replyCode(harness.reply(harness.place('late', {budgetMs: 200}))), 'deadline');
});

test('the wait of a prefill in the engine\'s queue is not counted as prefill time', () => {
	const harness = new SchedulerHarness([makeEngine('p1', 'prefill'), makeEngine('d1', 'decode')]).acquireLease();
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
		harness.endRequest(first.reservation);
		harness.endRequest(second.reservation);
	}

	assert.ok(Math.abs(harness.state.pool.prefillMsPerToken.value - 0.1) < 0.005);
});

/** Runs requests one after the other. Most tokens of each prompt are cached, and the messages of each request take `turnaroundMs` milliseconds in total. */
function learnFromCachedRequests(harness: SchedulerHarness, turnaroundMs: number): void {
	for (let i = 0; i < 20; i++) {
		const {reservation} = harness.placement(harness.place(`train-${i}`));
		harness.advance(10 + turnaroundMs);
		harness.send({
			type: 'scheduler/progress', owner: entry1, progress: {
				phase: 'prefilled', reservation, promptTokens: 1000, cachedTokens: 900, durationMs: 10,
			},
		});
		harness.endRequest(reservation);
	}
}

test('cached prompt tokens are left out of the estimated wait, so that a request that can meet its target is not refused', () => {
	const harness = new SchedulerHarness([makeEngine('p1', 'prefill'), makeEngine('d1', 'decode')]).acquireLease();
	learnFromCachedRequests(harness, 0);
	harness.place('running');
	for (let i = 0; i < 10; i++) {
		assert.equal(harness.reply(harness.place(`queued-${i}`)), undefined);
	}

	assert.equal(harness.reply(harness.place('in-time', {budgetMs: 700})), undefined);
});

test('a prefill engine gets its next prefill earlier if messages are slow, so that it does not run idle', () => {
	const quick = new SchedulerHarness([makeEngine('p1', 'prefill'), makeEngine('d1', 'decode')]).acquireLease();
	const slow = new SchedulerHarness([makeEngine('p1', 'prefill'), makeEngine('d1', 'decode')]).acquireLease();
	learnFromCachedRequests(quick, 0);
	learnFromCachedRequests(slow, 150);
	quick.place('first');
	slow.place('first');
	assert.equal(quick.reply(quick.place('second')), undefined);
	assert.equal(slow.reply(slow.place('second'))?.kind, 'placed');
});
