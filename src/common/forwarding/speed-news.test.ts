import assert from 'node:assert/strict';
import {test} from 'node:test';
import {SeededRandom} from '../core/random.js';
import {slowness} from './engine-speed.js';
import {buildServer} from './fixtures.js';
import {ServerDirectory} from './server-directory.js';
import {SpeedNews, speedNewsSchema} from './speed-news.js';

const speeds = [0.6, 1, 1.6];
const engineCount = 60;

type Process = {readonly directory: ServerDirectory; readonly news: SpeedNews};

function buildProcesses(count: number): Process[] {
	return Array.from({length: count}, (_, seed) => {
		const directory = new ServerDirectory(new SeededRandom(seed));
		directory.update(Array.from({length: engineCount}, (_, i) => buildServer({id: String(i), stage: 'decode'})), 0);
		return {directory, news: new SpeedNews()};
	});
}

/** Plays seconds in which each process relays one stream a second and gossips twice; returns the number of messages and of speeds in them. */
function play(processes: readonly Process[], seconds: number, speedOf: (engine: number) => number, lostShare = 0): {readonly messages: number; readonly speeds: number} {
	const random = new SeededRandom(9);
	const counts = {messages: 0, speeds: 0};
	for (let nowMs = 0; nowMs < seconds * 1000; nowMs += 500) {
		for (const {directory, news} of processes) {
			if (nowMs % 1000 === 0) {
				const engine = random.integer(0, engineCount);
				for (let window = 0; window < 5; window++) {
					directory.recordWork([...directory.servers][engine]!, 1, 40 / speedOf(engine) * (0.9 + (random.next() * 0.2)), nowMs + (window * 100));
				}
			}

			const message = news.take(directory, nowMs);
			if (message) {
				counts.messages++;
				counts.speeds += message.speeds.length;
				const to = random.pick(processes);
				if (random.next() < lostShare) {
					continue;
				}

				to.news.apply(speedNewsSchema.parse(message), to.directory.servers, nowMs);
			}
		}
	}

	return counts;
}

/** Lets each process choose engines, and returns how long they take on average, as a multiple of an engine of speed 1. */
function meanDuration(processes: readonly Process[], speedOf: (engine: number) => number): number {
	let total = 0;
	for (const {directory} of processes) {
		for (let i = 0; i < 100; i++) {
			const server = directory.chooseDecodeEngine({
				service: 'desk', zone: 'z1', exclude: new Set(), maxInFlight: 10, nowMs: 20_000,
			})!;
			total += 1 / speedOf(Number(server.record.id));
		}
	}

	return total / (processes.length * 100);
}

test('72 processes that see one stream a second each prefer faster engines after 20 s, from a few messages', () => {
	const processes = buildProcesses(72);
	const speedOf = (engine: number) => speeds[engine % 3]!;
	const {speeds: told} = play(processes, 20, speedOf);
	let mistaken = 0;
	for (const {directory} of processes) {
		mistaken += [...directory.servers].filter(({speed}, i) => speedOf(i) < 1 ? slowness(speed, 20_000) < 1 : (speedOf(i) > 1 && slowness(speed, 20_000) > 1)).length;
	}

	const mean = meanDuration(processes, speedOf);
	// Engines chosen at random take 1.10 on average; if every speed were known exactly, those chosen would take 0.82.
	assert.ok(mean < 0.9, `${mean}`);
	assert.ok(mistaken < 72 * engineCount * 0.01, `${mistaken} slow engines taken to be fast, or the reverse`);
	assert.ok(told / (72 * 20) < 15, `${told} speeds told`);
});

test('processes that lose half of the messages still prefer faster engines', () => {
	const processes = buildProcesses(72);
	const speedOf = (engine: number) => speeds[engine % 3]!;
	play(processes, 20, speedOf, 0.5);
	const mean = meanDuration(processes, speedOf);
	assert.ok(mean < 1, `${mean}`);
});

test('processes whose engines are alike send nothing', () => {
	assert.equal(play(buildProcesses(20), 20, () => 1).messages, 0);
});

test('news of servers that a process does not know are ignored', () => {
	const [{directory, news}] = buildProcesses(1) as [Process];
	news.apply({type: 'forwarding/speeds', speeds: [[12_345, 50, 5]]}, directory.servers, 0);
	assert.ok([...directory.servers].every(({speed}) => speed.weightAt(0) === 0));
	assert.equal(news.take(directory, 0), undefined);
});
