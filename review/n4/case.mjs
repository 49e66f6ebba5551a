/**
A router process is stopped as planned. Clients whose entry-point answers still name it go on sending it requests that must not
run twice; each takes 2.5 s at a sound server. Checks that each accepted request gets an answer or a refusal.
*/
import http from 'node:http';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {configuration} from '../stand-ins/configuration.mjs';
import {PlainServer} from '../stand-ins/plain-server.mjs';
import {PlatformList} from '../stand-ins/platform.mjs';
import {Record} from '../stand-ins/record.mjs';
import {call, Routers} from '../stand-ins/routers.mjs';

const hasTrouble = process.env.TROUBLE !== '0';
const workMs = 2500;
/** The route's timeout and the clients' time limit, in milliseconds. */
const timeoutMs = 4000;
/** Time from SIGTERM to the first request of the clients, and to the last one, in milliseconds. */
const firstMs = 500;
const lastMs = 5750;
const gapMs = 250;

const record = new Record(fileURLToPath(new URL('record.txt', import.meta.url)));
const ranAt = new Map();
record.run = (requestId, server) => {
	ranAt.set(requestId, server);
	record.add(`${server} runs ${requestId}`);
};

/** Sends a request on a new connection. Resolves with how it ended. */
async function post(routers, host, requestId) {
	return new Promise(resolve => {
		let isSent = false;
		let isOver = false;
		const finish = (end, status) => {
			if (!isOver) {
				isOver = true;
				record.add(`client: ${requestId} ${end}`);
				resolve({requestId, end, status});
			}
		};

		const req = http.request({
			host, port: routers.ports.front, method: 'POST', path: '/post/x', agent: false, headers: {
				Host: 'desk.example', 'Request-Id': requestId, 'Deadline-Ms': String(timeoutMs), Key: 'key-1',
			},
		}, res => {
			res.resume();
			res.on('end', () => finish(res.complete ? `has the answer ${res.statusCode}` : 'was cut', res.complete ? res.statusCode : 0));
			res.on('error', () => finish('was cut', 0));
		});
		req.on('finish', () => {
			isSent = true;
		});
		req.on('error', err => finish(isSent ? `has no answer, its connection was closed (${err.code ?? err.message})` : `was not sent (${err.code ?? err.message})`, isSent ? 0 : undefined));
		record.add(`client: sends ${requestId} to ${host}`);
		req.end('entry');
	});
}

async function main() {
	const list = new PlatformList();
	await list.start();
	const servers = ['a', 'b', 'c'].map(zone => new PlainServer({
		id: `desk-${zone}`, service: 'desk', zone: `et-central-${zone}`, slots: 6, queue: 24, workMs: () => workMs, record,
	}));
	for (const server of servers) {
		await server.start();
	}

	list.publish(servers.map(({entry}) => entry));
	const routers = await Routers.create(3, {listAddress: list.address});
	try {
		await routers.start();
		const {routes, ...rest} = configuration();
		await routers.publish({...rest, routes: routes.map(route => ({...route, timeoutMs: route.name === 'entry-post' ? timeoutMs : route.timeoutMs}))});
		await routers.waitUntilReady();
		// The processes have been in touch for longer than contactMs.
		await sleep(5000);
		const [host] = routers.hosts;
		const {text} = await call({host: routers.hosts[1], port: routers.ports.directory, path: '/v1/resolve?name=desk.example&region=et-central&zone=et-central-a'});
		record.add(`the directory answers ${text}; some clients keep the answer for three times its ttlS`);
		if (hasTrouble) {
			record.add(`${host} gets SIGTERM`);
			routers.signal(host, 'SIGTERM');
		}

		const startedMs = performance.now();
		const answers = [];
		for (let atMs = firstMs; atMs <= lastMs; atMs += gapMs) {
			await sleep(Math.max(0, startedMs + atMs - performance.now()));
			answers.push(post(routers, host, `order-${atMs}`));
		}

		const results = await Promise.all(answers);
		const lost = results.filter(({requestId, status}) => status === 0 && ranAt.has(requestId));
		const answered = results.filter(({status}) => status === 200);
		const refused = results.filter(({status}) => status === 503);
		// Requests that were sent no later than 3 s after SIGTERM don't count if their server is still at work in the last sixth of graceS.
		const counted = lost.filter(({requestId}) => Number(requestId.slice('order-'.length)) > 3000);
		record.report(`${results.length} requests: ${answered.length} answered, ${refused.length} refused with 503, ${lost.length} run by a server and left without an answer, ${counted.length} of these sent more than 3 s after SIGTERM`);
		if (counted.length > 0) {
			return 1;
		}

		return hasTrouble || answered.length === results.length ? 0 : 2;
	} finally {
		await routers.stop();
		for (const server of servers) {
			server.close();
		}

		list.close();
	}
}

let code = 2;
try {
	code = await main();
} catch (err) {
	record.report(`could not run: ${err instanceof Error ? err.stack : err}`);
}

record.save();
process.exit(code); // eslint-disable-line unicorn/no-process-exit -- open connections must not keep the script alive
