/** A router process is killed while it relays streams that end with their connection. See claim.txt. */
import {
	call, framedPiece, modelHeaders, newId, prepare, proof, runCase, Server, sleep, streamAnswer,
} from '../stand-ins-2/fleet.mjs';

/** Events of each stream, and the time between two of them, in milliseconds. */
const pieces = 80;
const gapMs = 50;
/** Every twentieth answer of a faulty server has neither a length nor chunks. */
const unframedEvery = 20;
const streams = 200;

/** Answers like a sound engine; every twentieth answer of a faulty one ends with its connection. */
function answer(isFaulty) {
	const framed = streamAnswer({pieces, gapMs});
	let count = 0;
	return (req, res, body, server) => {
		count++;
		if (!isFaulty || count % unframedEvery !== 0) {
			framed(req, res, body, server);
			return;
		}

		const {socket} = res;
		const headers = {
			...proof(server, req), 'content-type': 'text/event-stream', 'weight-versions': '1', connection: 'close',
		};
		socket.write(`HTTP/1.1 200 OK\r\n${Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`).join('')}\r\n`);
		let id = 0;
		const timer = setInterval(() => {
			id++;
			if (id > pieces) {
				clearInterval(timer);
				socket.end();
			} else {
				socket.write(framedPiece(id));
			}
		}, gapMs);
		socket.on('close', () => {
			clearInterval(timer);
		});
	};
}

await runCase(import.meta.dirname, {size: 6, disks: 3}, async (fleet, hasTrouble) => {
	const {record, routers} = fleet;
	for (let i = 0; i < 6; i++) {
		await new Server({
			fleet, service: 'dossier', stage: i < 2 ? 'prefill' : 'decode', slots: 64, handle: answer(i >= 3),
		}).start();
	}

	await prepare(fleet);
	const router = routers.at(-1);
	let looksComplete = 0;
	let isCut = 0;
	const results = [];
	for (let i = 0; i < streams; i++) {
		results.push((async () => {
			const id = newId();
			const result = await call(router.address('front'), {
				method: 'POST', path: '/note/1', body: 'prompt', headers: modelHeaders(id),
			}, 14_000);
			const events = (result.body?.match(/^id: \d+$/gm) ?? []).length;
			const framing = result.headers?.['transfer-encoding'] ?? 'none';
			record.line(`stream ${id}: ${result.status ?? result.error}, framing ${framing}, ${events} of ${pieces} events`);
			if (result.status === 200 && events < pieces) {
				looksComplete++;
				record.line(`stream ${id} ended early and looks complete`);
			} else if (result.status !== 200) {
				isCut++;
			}
		})());
		await sleep(12);
	}

	if (hasTrouble) {
		await sleep(800);
		await router.kill();
	}

	await Promise.all(results);
	record.line(`${looksComplete} streams ended early and look complete, ${isCut} were not complete and show it, of ${streams}`);
	// ORDER: the stream ends as complete before its last piece.
	return looksComplete > 0;
});
