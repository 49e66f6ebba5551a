/** Checks that a stream goes on only from the memory of its own prompt while servers send late second copies of answers. */
import {Agent, request} from 'node:http';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {configuration} from '../stand-ins/configuration.mjs';
import {Engine} from '../stand-ins/engine.mjs';
import {PlatformList} from '../stand-ins/platform.mjs';
import {Record} from '../stand-ins/record.mjs';
import {Routers} from '../stand-ins/routers.mjs';

const isTroubled = process.env.TROUBLE !== '0';
/** Share of the answers of a server that have a second copy; the site file's largest. */
const copyShare = 0.03;
/** A server doubles answers while so many prompts are at it. */
const minQueued = 1;
const durationMs = 80_000;
/** Number of mixed requests after which the script ends early. */
const enoughMixed = 3;
const maxIntervalMs = 9;

class RunRecord extends Record {
	runs = [];

	run(requestId, server, owner) {
		this.add(`${server} runs ${requestId} on the memory of the prompt of ${owner}`);
		this.runs.push({requestId, server, owner});
	}

	/** Runs on the memory of another request's prompt. */
	get mixed() {
		return this.runs.filter(({requestId, owner}) => requestId !== owner);
	}
}

const record = new RunRecord(path.join(import.meta.dirname, 'record.txt'));
const agent = new Agent({keepAlive: true, maxSockets: 200});
const answers = new Map();
let nextRequest = 1;

async function stream(host, port) {
	const requestId = `s${String(nextRequest++).padStart(6, '0')}`;
	record.add(`client sends ${requestId} to ${host}`);
	await new Promise(resolve => {
		const req = request({
			host, port, agent, method: 'POST', path: `/note/${requestId}`,
			headers: {
				host: 'desk.example', 'request-id': requestId, key: 'key-1', 'deadline-ms': '14000', model: 'm', 'token-count': '500,70', 'prompt-prefix': `aa01:200,${requestId}:300`, 'content-length': 100,
			},
		}, res => {
			let text = '';
			res.on('data', chunk => {
				text += chunk;
			});
			const finish = () => {
				answers.set(requestId, {status: res.statusCode, text, isComplete: res.complete});
				record.add(`client has ${res.statusCode} for ${requestId}${res.complete ? '' : ', incomplete'}`);
				resolve();
			};

			res.on('end', finish).on('error', finish);
		});
		req.on('error', err => {
			record.add(`client gets no answer for ${requestId}: ${err.message}`);
			resolve();
		});
		req.end('x'.repeat(100));
	});
}

async function main() {
	const list = new PlatformList();
	await list.start();
	const zones = ['et-central-a', 'et-central-b', 'et-central-c'];
	const engines = ['prefill', 'prefill', 'decode', 'decode', 'decode', 'decode', 'decode', 'decode'].map((stage, i) => new Engine({
		id: `i-lm-${i + 1}`, zone: zones[i % zones.length], stage, record,
		// The two prefill servers double answers while they are busy.
		isDoubled: ({queued, copies, answers: count}) => isTroubled && stage === 'prefill' && queued >= minQueued && copies + 1 <= count * copyShare,
	}));
	await Promise.all(engines.map(async engine => engine.start()));
	list.publish(engines.map(({entry}) => entry));
	const routers = await Routers.create(3, {listAddress: list.address});
	try {
		await routers.start();
		await routers.publish(configuration());
		await routers.waitUntilReady();
		await sleep(3000);
		const endMs = record.elapsedMs + durationMs;
		const pending = [];
		while (record.elapsedMs < endMs && record.mixed.length < enoughMixed) {
			pending.push(stream(routers.hosts[nextRequest % routers.hosts.length], routers.ports.front));
			await sleep(Math.random() * maxIntervalMs);
		}

		await Promise.all(pending);
	} finally {
		await routers.stop();
		agent.destroy();
		list.close();
		for (const engine of engines) {
			engine.close();
		}
	}

	const statuses = {};
	for (const {status} of answers.values()) {
		statuses[status] = (statuses[status] ?? 0) + 1;
	}

	record.report(`sent ${nextRequest - 1}, answered ${JSON.stringify(statuses)}, second copies ${engines[0].copies} of ${engines[0].answers} and ${engines[1].copies} of ${engines[1].answers} answers`);
	const {mixed} = record;
	for (const {requestId, server, owner} of mixed) {
		const answer = answers.get(requestId);
		record.report(`MIXED: ${server} ran ${requestId} on the memory of the prompt of ${owner}; its client got ${answer?.status}: ${JSON.stringify(answer?.text.slice(0, 60))}`);
	}

	if ((statuses[200] ?? 0) < 100) {
		record.report('too few requests were served');
		return 2;
	}

	return mixed.length > 0 ? 1 : 0;
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
