/** Checks that a request on an unsafe route runs at most once, and not at all if it is answered 503, while servers send late second copies of answers. */
import {Agent, request} from 'node:http';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {configuration} from '../stand-ins/configuration.mjs';
import {PlainServer} from '../stand-ins/plain-server.mjs';
import {PlatformList} from '../stand-ins/platform.mjs';
import {Record} from '../stand-ins/record.mjs';
import {Routers} from '../stand-ins/routers.mjs';

const isTroubled = process.env.TROUBLE !== '0';
/** Share of the answers of a server that have a second copy; the site file's largest. */
const copyShare = 0.03;
const durationMs = 80_000;
/** Number of requests that ran twice or were refused and ran after which the script ends early. */
const enoughBroken = 5;
/** Callers press in waves, so that the servers are full now and then. */
const waveIntervalMs = 500;
const requestsPerWave = 75;

class RunRecord extends Record {
	runs = new Map();

	run(requestId, server) {
		this.add(`${server} runs ${requestId}`);
		this.runs.set(requestId, [...this.runs.get(requestId) ?? [], server]);
	}
}

const record = new RunRecord(path.join(import.meta.dirname, 'record.txt'));
const agent = new Agent({keepAlive: true, maxSockets: 200});
const answers = new Map();
let nextRequest = 1;

/** Requests that ran more than once, each with its servers. */
function findTwice() {
	return [...record.runs].filter(([, runs]) => runs.length > 1);
}

/** Ids of requests that ran although their answer promises that they did not. */
function findRefused() {
	return [...record.runs.keys()].filter(requestId => [408, 421, 429, 503].includes(answers.get(requestId)));
}

async function post(host, port) {
	const requestId = `r${String(nextRequest++).padStart(6, '0')}`;
	record.add(`client sends ${requestId} to ${host}`);
	await new Promise(resolve => {
		const req = request({
			host, port, agent, method: 'POST', path: `/post/${requestId}`,
			headers: {
				host: 'desk.example', 'request-id': requestId, key: 'key-1', 'deadline-ms': '1500', 'content-length': 600,
			},
		}, res => {
			res.resume();
			res.on('end', resolve).on('error', resolve);
			record.add(`client gets ${res.statusCode} for ${requestId}`);
			answers.set(requestId, res.statusCode);
		});
		req.on('error', err => {
			record.add(`client gets no answer for ${requestId}: ${err.message}`);
			resolve();
		});
		req.end('x'.repeat(600));
	});
}

async function main() {
	const list = new PlatformList();
	await list.start();
	const zones = ['et-central-a', 'et-central-b', 'et-central-c'];
	const servers = zones.map((zone, i) => new PlainServer({
		id: `i-desk-${i + 1}`, service: 'desk', zone, slots: 6, queue: 6, workMs: () => 10 + (Math.random() * 10), record,
		// At most 0.6 of the servers double answers, as in the site file.
		isDoubled: () => isTroubled && i === 0 && Math.random() < copyShare,
	}));
	await Promise.all(servers.map(async server => server.start()));
	list.publish(servers.map(({entry}) => entry));
	const routers = await Routers.create(3, {listAddress: list.address});
	try {
		await routers.start();
		await routers.publish(configuration());
		await routers.waitUntilReady();
		await sleep(3000);
		const endMs = record.elapsedMs + durationMs;
		const pending = [];
		while (record.elapsedMs < endMs && findTwice().length + findRefused().length < enoughBroken) {
			for (let i = 0; i < requestsPerWave; i++) {
				pending.push(post(routers.hosts[i % routers.hosts.length], routers.ports.front));
			}

			await sleep(waveIntervalMs);
		}

		await Promise.all(pending);
	} finally {
		await routers.stop();
		agent.destroy();
		list.close();
		for (const server of servers) {
			server.close();
		}
	}

	const statuses = {};
	for (const status of answers.values()) {
		statuses[status] = (statuses[status] ?? 0) + 1;
	}

	record.report(`sent ${nextRequest - 1}, answered ${JSON.stringify(statuses)}, second copies ${servers.map(({copies, answers: count}) => `${copies} of ${count} answers`).join(', ')}`);
	const twice = findTwice();
	const refused = findRefused();
	for (const [requestId, runs] of twice) {
		record.report(`TWICE: ${requestId} ran on ${runs.join(' and ')}, answered ${answers.get(requestId)}`);
	}

	for (const requestId of refused) {
		record.report(`REFUSED: ${requestId} was answered ${answers.get(requestId)} and ran on ${record.runs.get(requestId).join(' and ')}`);
	}

	if ((statuses[200] ?? 0) < 100) {
		record.report('too few requests were served');
		return 2;
	}

	return twice.length + refused.length > 0 ? 1 : 0;
}

// A fault of the script itself must not count as a broken rule.
process.on('uncaughtException', err => {
	console.log(err);
	process.exit(2);
});

let code = 2;
try {
	code = await main();
} catch (err) {
	record.report(`could not run: ${err.stack}`);
}

record.save();
process.exit(code); // eslint-disable-line unicorn/no-process-exit -- open connections must not keep the script alive
