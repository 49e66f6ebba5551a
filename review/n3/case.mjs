/**
A model server states the length of its stream and resets the connection in the stream's middle. The router goes on at another
server, whose events hold fewer tokens each, so that its bytes are more. Checks that the caller gets one sound answer.
*/
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import net from 'node:net';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {configuration} from '../stand-ins/configuration.mjs';
import {Engine} from '../stand-ins/engine.mjs';
import {PlatformList} from '../stand-ins/platform.mjs';
import {Record} from '../stand-ins/record.mjs';
import {Routers} from '../stand-ins/routers.mjs';

const hasTrouble = process.env.TROUBLE !== '0';
const streams = 10;
const tokens = 42;
const tokenMs = 10;
/** Token before which the first server resets the connection. */
const cutBefore = 22;
/** Time for which a client waits for further bytes, in milliseconds. */
const patienceMs = 3600;

const record = new Record(fileURLToPath(new URL('record.txt', import.meta.url)));
record.run = (requestId, server) => record.add(`${server} runs ${requestId}`);

/** Reads one HTTP/1.1 answer from `bytes`; undefined while it is not complete. */
function readAnswer(bytes) {
	const headEnd = bytes.indexOf('\r\n\r\n');
	if (headEnd === -1) {
		return undefined;
	}

	const head = bytes.subarray(0, headEnd).toString('latin1');
	const status = Number(head.split(' ', 2)[1]);
	const length = /^content-length: *(\d+)/im.exec(head);
	const start = headEnd + 4;
	if (length) {
		const end = start + Number(length[1]);
		return bytes.length < end
			? undefined
			: {
				status, head, body: bytes.subarray(start, end).toString('utf8'), rest: bytes.subarray(end),
			};
	}

	let body = '';
	for (let at = start; ;) {
		const lineEnd = bytes.indexOf('\r\n', at);
		const size = Number.parseInt(bytes.subarray(at, lineEnd).toString('latin1'), 16);
		const chunkEnd = lineEnd + 2 + size;
		if (lineEnd === -1 || bytes.length < chunkEnd + 2) {
			return undefined;
		}

		body += bytes.subarray(lineEnd + 2, chunkEnd).toString('utf8');
		at = chunkEnd + 2;
		if (size === 0) {
			return {
				status, head, body, rest: bytes.subarray(at),
			};
		}
	}
}

/** Sends a request for a stream on a kept connection, and reads what comes until nothing has come for `patienceMs`. */
async function requestStream(routers, host, requestId) {
	const socket = net.connect(routers.ports.front, host);
	await once(socket, 'connect');
	let bytes = Buffer.alloc(0);
	let lastMs = performance.now();
	socket.on('error', () => undefined).on('data', chunk => {
		bytes = Buffer.concat([bytes, chunk]);
		lastMs = performance.now();
	});
	socket.write([
		'POST /sum/x HTTP/1.1',
		'Host: desk.example',
		`Request-Id: ${requestId}`,
		'Deadline-Ms: 14000',
		'Key: key-1',
		'Model: m',
		`Token-Count: 5000,${tokens}`,
		`Prompt-Prefix: aaaa:200,${Buffer.from(requestId).toString('hex')}:4800`,
		'Content-Length: 6',
		'',
		'prompt',
	].join('\r\n'));
	record.add(`client: sends ${requestId} to ${host}`);
	const isWaiting = () => performance.now() - lastMs < (readAnswer(bytes)?.rest.length === 0 ? 500 : patienceMs);
	while (!socket.closed && isWaiting()) {
		await sleep(50);
	}

	const isClosed = socket.closed;
	socket.destroy();
	return judge(requestId, readAnswer(bytes), isClosed);
}

function judge(requestId, answer, isClosed) {
	if (!answer) {
		record.add(`client: ${requestId} has no complete answer${isClosed ? ', the connection was closed' : ''}`);
		return 'incomplete';
	}

	const {status, head, body, rest} = answer;
	record.add(`client: ${requestId} has a complete answer with status ${status}, ${/^server-stamp.*/im.exec(head)?.[0] ?? 'no stamp'}, ${/^content-length.*/im.exec(head)?.[0] ?? 'no length'}`);
	if (status !== 200) {
		return 'refused';
	}

	const isWhole = body.endsWith('\n\n') && body.includes(`id: ${tokens}\n`);
	record.add(`client: ${requestId}: the body ends with ${JSON.stringify(body.slice(-40))}, the last event has the id ${tokens}`);
	if (rest.length > 0) {
		record.add(`client: ${requestId}: after the answer come ${rest.length} bytes that are no answer: ${JSON.stringify(rest.subarray(0, 60).toString('utf8'))}`);
	}

	return isWhole && rest.length === 0 ? 'whole' : 'mixed';
}

async function main() {
	const list = new PlatformList();
	await list.start();
	const options = {record, events: tokens, eventMs: tokenMs};
	const engines = [
		new Engine({
			...options, id: 'prefill-1', zone: 'et-central-a', stage: 'prefill',
		}),
		new Engine({
			...options, id: 'decode-1', zone: 'et-central-a', stage: 'decode', stride: 7, isFramedByLength: true, isCutAt: token => hasTrouble && token === cutBefore,
		}),
		new Engine({
			...options, id: 'decode-2', zone: 'et-central-a', stage: 'decode', isFramedByLength: true,
		}),
	];
	for (const engine of engines) {
		await engine.start();
	}

	list.publish(engines.map(({entry}) => entry));
	const routers = await Routers.create(3, {listAddress: list.address});
	try {
		await routers.start();
		await routers.publish(configuration());
		await routers.waitUntilReady();
		// The processes have been in touch for longer than contactMs.
		await sleep(5000);
		const results = [];
		for (let i = 0; i < streams; i++) {
			results.push(await requestStream(routers, routers.hosts[i % routers.hosts.length], `stream-${i + 1}`));
		}

		const count = kind => results.filter(result => result === kind).length;
		record.report(`${streams} streams: ${count('whole')} whole; ${count('mixed')} with a complete answer that lacks its end and is followed by bytes that are no answer; ${count('incomplete')} without a complete answer; ${count('refused')} refused`);
		if (count('mixed') > 0) {
			return 1;
		}

		return count('whole') === streams || (hasTrouble && count('whole') > 0) ? 0 : 2;
	} finally {
		await routers.stop();
		for (const engine of engines) {
			engine.close();
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
