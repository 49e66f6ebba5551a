/** Checks that the configuration can be read and changed after the three machines of the core were replaced, one after another and as planned. */
import path from 'node:path';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {configuration} from '../stand-ins/configuration.mjs';
import {PlatformList} from '../stand-ins/platform.mjs';
import {Record} from '../stand-ins/record.mjs';
import {call, Routers} from '../stand-ins/routers.mjs';

const isTroubled = process.env.TROUBLE !== '0';
/** `bounds.catchUpS` and `bounds.graceS` of the settings, in milliseconds. */
const catchUpMs = 4000;
const graceMs = 8000;
/** Time without any disturbance before the operator's last calls, and time for which these are repeated. */
const calmMs = 8000;
const operatorMs = 12_000;
const coreSize = 3;
const replacements = isTroubled ? coreSize : 0;

const record = new Record(path.join(import.meta.dirname, 'record.txt'));

/** Calls the hosts in turn until one of them answers with 200; returns its answer, or undefined after `operatorMs`. */
async function askInTurn(routers, hosts, method, body) {
	const endMs = record.elapsedMs + operatorMs;
	for (let i = 0; record.elapsedMs < endMs; i++) {
		const host = hosts[i % hosts.length];
		const answer = await call({
			host, port: routers.ports.control, method, path: '/v1/config', headers: {'content-type': 'application/json'}, body,
		});
		record.add(`the operator sends ${method} /v1/config to ${host} and gets ${answer.status}`);
		if (answer.status === 200) {
			return answer;
		}

		await sleep(300);
	}

	return undefined;
}

async function main() {
	const list = new PlatformList();
	await list.start();
	const routers = await Routers.create(coreSize * 2, {disks: coreSize * 2, listAddress: list.address});
	let running = routers.hosts.slice(0, coreSize);
	try {
		await routers.start(running);
		await routers.publish(configuration(1));
		record.report('version 1 is acknowledged');
		await routers.waitUntilReady(running);
		for (let i = 0; i < replacements; i++) {
			const added = routers.hosts[coreSize + i];
			const [removed] = running;
			await routers.addProcess(added);
			record.report(`${added} has started with an empty disk`);
			await sleep(catchUpMs);
			await routers.removeProcess(removed, graceMs);
			running = [...running.slice(1), added];
			routers.seeds = running;
			record.report(`${removed} has stopped for good; ${running.join(', ')} run`);
			await sleep(catchUpMs + 1000);
		}

		await sleep(calmMs);
		const read = await askInTurn(routers, running, 'GET');
		const version = read && JSON.parse(read.text).version;
		record.report(version === undefined ? `CONFIG: the configuration could not be read for ${operatorMs} ms` : `version ${version} was read`);
		const changed = await askInTurn(routers, running, 'PUT', JSON.stringify(configuration(2)));
		record.report(changed ? 'version 2 is acknowledged' : `version 2 had no acknowledgement for ${operatorMs} ms`);
		return version === 1 ? 0 : 1;
	} finally {
		await routers.stop();
		list.close();
	}
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
