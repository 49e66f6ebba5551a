import assert from 'node:assert/strict';
import {test} from 'node:test';
import {SeededRandom} from '../core/random.js';
import {ZoneChoice, leavingFractions, transferMs} from './zone-choice.js';
import type {ZoneRoom} from './zone-choice.js';

const tokens = 5000;
const enginesPerZone = 12;
const slotsPerEngine = 4;
const serviceMs = 500;
const tickMs = 5;
const roundIntervalMs = 50;
const maxWaitMs = 600;
/** Requests per second that a zone's engines can serve. */
const zoneRate = enginesPerZone * slotsPerEngine * 1000 / serviceMs;

type Engine = {readonly zone: string; readonly endsMs: number[]};
type Request = {readonly zone: string; readonly choice: ZoneChoice; readonly startedMs: number; readonly tried: Set<Engine>; nextMs: number};
type Scenario = {
	/** Requests per second of each zone's callers, as a multiple of what its engines can serve. */
	readonly loads: Readonly<Record<string, number>>;
	readonly zonesWithoutEngines?: readonly string[];
	readonly seed: number;
	readonly seconds?: number;
	readonly vmsPerZone?: number;
	readonly isCentral?: boolean;
	/** Whether every request stays at home as long as an engine there has not refused it. */
	readonly isHomeFirst?: boolean;
};

function buildRoom(zone: string, engineCount: number): ZoneRoom {
	return {
		zone, engines: engineCount, capacity: engineCount, fullShare: 0,
	};
}

/** Plays the requests of many processes that choose zones on their own, and returns what became of them. */
function simulate({loads, zonesWithoutEngines = [], seed, seconds = 15, vmsPerZone = 18, isCentral = false, isHomeFirst = false}: Scenario) {
	const random = new SeededRandom(seed);
	const zones = Object.keys(loads);
	const engines = zones.filter(zone => !zonesWithoutEngines.includes(zone)).flatMap(zone => Array.from({length: enginesPerZone}, (): Engine => ({zone, endsMs: []})));
	const choices = new Map(zones.map(zone => [zone, Array.from({length: vmsPerZone}, () => new ZoneChoice())]));
	const result = {
		requests: 0, costMs: 0, left: 0, refused: 0, calls: 0, leftBySecond: Array.from({length: seconds}, () => 0), servedFrom: new Map<string, number>(),
	};
	let waiting: Request[] = [];
	const hasRoom = ({endsMs}: Engine) => endsMs.length < slotsPerEngine;
	const place = ({zone, startedMs}: Request, engine: Engine, nowMs: number) => {
		engine.endsMs.push(nowMs + (serviceMs * (0.5 + random.next())));
		const hasLeft = engine.zone !== zone;
		result.costMs += nowMs - startedMs + (hasLeft ? transferMs(tokens) : 0);
		result.left += hasLeft ? 1 : 0;
		result.leftBySecond[Math.floor(nowMs / 1000)]! += hasLeft ? 1 : 0;
		result.servedFrom.set(zone, (result.servedFrom.get(zone) ?? 0) + 1);
	};

	/** Makes the next reservation call of a request; returns whether it is granted. */
	const call = (request: Request, nowMs: number): boolean => {
		const rooms = () => zones.map(zone => buildRoom(zone, engines.filter(engine => engine.zone === zone).length)).filter(room => room.engines > 0);
		const decision = isHomeFirst
			? {zone: request.zone, mayAskOthers: true}
			: request.choice.choose({
				home: request.zone, tokens, rooms, nowMs,
			}, random);
		const rank = ({zone}: Engine) => zone === decision.zone ? 0 : (zone === request.zone ? 1 : 2);
		const untried = engines.filter(engine => !request.tried.has(engine) && (decision.mayAskOthers || rank(engine) < 2));
		const best = Math.min(...untried.map(engine => rank(engine)));
		if (untried.length === 0) {
			request.tried.clear();
			request.nextMs = nowMs + roundIntervalMs;
			return false;
		}

		const engine = random.pick(untried.filter(engine => rank(engine) === best));
		result.calls++;
		request.tried.add(engine);
		request.nextMs = nowMs + tickMs;
		request.choice.recordAnswer(engine.zone, !hasRoom(engine), nowMs);
		if (hasRoom(engine)) {
			place(request, engine, nowMs);
			return true;
		}

		return false;
	};

	/** Places a request with full knowledge: at home if there is room or the queue is short, otherwise where most room is. */
	const placeCentrally = (request: Request, nowMs: number): boolean => {
		const free = (zone: string) => engines.filter(engine => engine.zone === zone && hasRoom(engine));
		const ahead = waiting.filter(({zone}) => zone === request.zone).indexOf(request) + 1;
		const homeWaitMs = zonesWithoutEngines.includes(request.zone) ? Infinity : ahead * 1000 / zoneRate;
		const away = zones.filter(zone => zone !== request.zone).sort((a, b) => free(b).length - free(a).length)[0]!;
		const [engine] = free(request.zone).length > 0 || homeWaitMs <= transferMs(tokens) ? free(request.zone) : free(away);
		if (engine) {
			place(request, engine, nowMs);
		}

		return engine !== undefined;
	};

	for (let nowMs = 0; nowMs < seconds * 1000; nowMs += tickMs) {
		for (const {endsMs} of engines) {
			endsMs.splice(0, Infinity, ...endsMs.filter(endMs => endMs > nowMs));
		}

		for (const [zone, load] of Object.entries(loads)) {
			const arrives = random.next() < load * zoneRate * tickMs / 1000;
			if (arrives) {
				result.requests++;
				waiting.push({
					zone, choice: random.pick(choices.get(zone)!), startedMs: nowMs, tried: new Set(), nextMs: nowMs,
				});
			}
		}

		for (const request of waiting) {
			if (nowMs - request.startedMs >= maxWaitMs) {
				result.refused++;
				result.costMs += maxWaitMs;
				waiting = waiting.filter(other => other !== request);
			} else if (isCentral ? placeCentrally(request, nowMs) : request.nextMs <= nowMs && call(request, nowMs)) {
				waiting = waiting.filter(other => other !== request);
			}
		}
	}

	return {
		...result, meanCostMs: result.costMs / result.requests, leftShare: result.left / result.requests, callsPerRequest: result.calls / result.requests,
	};
}

const overloadedHome = {a: 2, b: 0.25, c: 0.25};

test('one zone with twice the load that it can serve: the regret against a central decision is at most 10 ms a request', () => {
	const own = simulate({loads: overloadedHome, seed: 1});
	const central = simulate({loads: overloadedHome, seed: 1, isCentral: true});
	const homeFirst = simulate({loads: overloadedHome, seed: 1, isHomeFirst: true});
	assert.ok(own.meanCostMs <= central.meanCostMs + 10, `${own.meanCostMs} ms, central ${central.meanCostMs} ms`);
	assert.ok(own.meanCostMs < homeFirst.meanCostMs * 0.7, `${own.meanCostMs} ms, home first ${homeFirst.meanCostMs} ms`);
	assert.ok(own.callsPerRequest < homeFirst.callsPerRequest * 0.6, `${own.callsPerRequest} calls, home first ${homeFirst.callsPerRequest}`);
});

test('72 VMs in the overloaded zone, each of which sees a quarter as much: the regret is at most 15 ms a request, and they do not all leave at once', () => {
	const own = simulate({loads: overloadedHome, seed: 1, vmsPerZone: 72});
	const central = simulate({loads: overloadedHome, seed: 1, isCentral: true});
	assert.ok(own.meanCostMs <= central.meanCostMs + 15, `${own.meanCostMs} ms, central ${central.meanCostMs} ms`);
	assert.ok(own.leftShare <= central.leftShare + 0.05, `${own.leftShare}, central ${central.leftShare}`);
});

test('what leaves an overloaded zone does not swing: each second about the same number of requests leaves', () => {
	const {leftBySecond} = simulate({loads: overloadedHome, seed: 2});
	const settled = leftBySecond.slice(1);
	const mean = settled.reduce((total, left) => total + left, 0) / settled.length;
	assert.ok(settled.every(left => left > mean * 0.7 && left < mean * 1.3), leftBySecond.join(' '));
});

test('a zone that is a little too small sends away little more than a central decision would', () => {
	const loads = {a: 1.3, b: 0.5, c: 0.5};
	const own = simulate({loads, seed: 1});
	const central = simulate({loads, seed: 1, isCentral: true});
	assert.ok(own.leftShare <= central.leftShare + 0.05, `${own.leftShare}, central ${central.leftShare}`);
	assert.ok(own.meanCostMs <= central.meanCostMs + 10, `${own.meanCostMs} ms, central ${central.meanCostMs} ms`);
});

test('if all zones are overloaded, few requests leave, as many are served, and engines are asked less often than if each request asked all of them', () => {
	const overloaded = {loads: {a: 2, b: 2, c: 2}, seed: 1, seconds: 5};
	const own = simulate(overloaded);
	const homeFirst = simulate({...overloaded, isHomeFirst: true});
	assert.ok(own.leftShare < 0.2 && own.leftShare < homeFirst.leftShare / 2, `${own.leftShare} left, home first ${homeFirst.leftShare}`);
	assert.ok(own.refused <= homeFirst.refused * 1.02, `${own.refused} refused, home first ${homeFirst.refused}`);
	assert.ok(own.callsPerRequest < homeFirst.callsPerRequest * 0.8, `${own.callsPerRequest} calls, home first ${homeFirst.callsPerRequest}`);
});

test('requests stay at home if every zone has room, and the requests of a zone without engines are served by the others', () => {
	assert.equal(simulate({loads: {a: 0.5, b: 0.5, c: 0.5}, seed: 1}).left, 0);
	const {refused, requests, servedFrom} = simulate({loads: {a: 0.4, b: 0.4, c: 0.4}, zonesWithoutEngines: ['a'], seed: 2});
	assert.equal(refused, 0);
	assert.ok((servedFrom.get('a') ?? 0) > requests / 4);
});

test('water-filling sends away only what waits longer than the transfer takes, to the zones with the most room', () => {
	const costMs = transferMs(tokens);
	const load = (zone: string, calls: number) => ({zone, capacity: 4, load: calls});
	assert.deepEqual([...leavingFractions([load('a', 4), load('b', 1)], 'a', costMs).values()], [0], 'the wait at home is shorter than the transfer');
	assert.deepEqual([...leavingFractions([load('a', 40), load('b', 40), load('c', 40)], 'a', costMs).values()], [0, 0], 'all zones are equally full');
	const fractions = leavingFractions([load('a', 40), load('b', 1), load('c', 20)], 'a', costMs);
	assert.ok(fractions.get('b')! > fractions.get('c')!);
	assert.deepEqual([...leavingFractions([{zone: 'b', capacity: 3, load: 1}, {zone: 'c', capacity: 1, load: 1}], 'a', costMs)], [['b', 0.75], ['c', 0.25]]);
});

test('what leaves one zone changes nothing for requests that are at home in another zone, or may not use their own', () => {
	const choice = new ZoneChoice();
	const random = new SeededRandom(3);
	const rooms = () => ['a', 'b', 'c'].map(zone => buildRoom(zone, 10));
	for (let i = 0; i < 40; i++) {
		choice.recordAnswer('a', true, i * 10);
		choice.choose({
			home: 'a', tokens, nowMs: i * 10, rooms,
		}, random);
	}

	const leaving = choice.leavingFractionAt('a', 390);
	assert.ok(leaving > 0.3 && leaving < 0.9);
	for (let i = 0; i < 20; i++) {
		assert.equal(choice.choose({
			home: 'b', tokens, nowMs: 390, rooms,
		}, random).zone, 'b');
		assert.notEqual(choice.choose({
			home: 'a', tokens, nowMs: 390, rooms: () => rooms().slice(1),
		}, random).zone, 'a');
	}

	assert.equal(choice.leavingFractionAt('a', 390), leaving);
});

test('a zone that has room again gets all of its requests within a few seconds', () => {
	const choice = new ZoneChoice();
	const random = new SeededRandom(3);
	const query = (nowMs: number) => ({
		home: 'a', tokens, nowMs, rooms: () => ['a', 'b'].map(zone => buildRoom(zone, 10)),
	});
	for (let i = 0; i < 40; i++) {
		choice.choose(query(i * 10), random);
		choice.recordAnswer('a', true, i * 10);
	}

	assert.ok(choice.leavingFractionAt('a', 400) > 0.3);
	for (let nowMs = 400; nowMs < 4400; nowMs += 200) {
		const {zone} = choice.choose(query(nowMs), random);
		choice.recordAnswer(zone, false, nowMs);
	}

	assert.equal(choice.choose(query(4400), random).zone, 'a');
	assert.ok(choice.leavingFractionAt('a', 4400) < 0.05);
});
