import assert from 'node:assert/strict';
import {once} from 'node:events';
import {createServer} from 'node:net';
import type {AddressInfo} from 'node:net';
import {test} from 'node:test';
import {cutHeads, writeCutHead} from '../../../fakes/cut-heads.js';
import {ManualClock} from '../../common/core/clock.js';
import {bufferAnswer} from '../forwarding/forward-adapter.js';
import {CallError} from './call-error.js';
import {EngineAdapter} from './engine-adapter.js';
import {PlainAdapter} from './plain-adapter.js';

const timeoutMs = 5000;
const answerLimitBytes = 1000;

// Guards against a 200 with an empty or a short body that is framed as a whole one, on the project's own interface.
test('no call to an engine or a plain server succeeds with a head that is cut, and each says that it may have been run', async t => {
	const heads = cutHeads('Content-Type: application/json\r\n');
	let head = heads[0]!;
	const server = createServer(socket => {
		socket.on('error', () => undefined).once('data', () => {
			writeCutHead(head, socket);
		});
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const {port} = server.address() as AddressInfo;
	const options = {name: 'server', address: `127.0.0.1:${port}`, zone: 'z1'};
	const plain = new PlainAdapter(options, new ManualClock());
	const engine = new EngineAdapter(options, new ManualClock());
	t.after(() => {
		plain.destroy();
		engine.destroy();
		server.close();
	});
	const calls: ReadonlyArray<() => Promise<unknown>> = [
		async () => bufferAnswer(await plain.send({
			method: 'POST', path: '/', headers: [], headersTimeoutMs: timeoutMs, requestId: 'r', isIdempotent: false,
		}), answerLimitBytes),
		async () => engine.fetchLoad({timeoutMs}),
		async () => engine.listRequests({timeoutMs}),
		async () => engine.fetchOrderState({timeoutMs}),
		async () => engine.fetchCacheEvents(0, {timeoutMs}),
		async () => engine.importCache({requestId: 'r', source: 's', tokens: 1} as unknown as Parameters<EngineAdapter['importCache']>[0], {timeoutMs}),
		async () => engine.prefill({requestId: 'r'} as unknown as Parameters<EngineAdapter['prefill']>[0], {timeoutMs}),
		async () => engine.submitOrder({} as unknown as Parameters<EngineAdapter['submitOrder']>[0], {timeoutMs}),
	];
	for (head of heads) {
		for (const [i, perform] of calls.entries()) {
			await assert.rejects(perform(), (err: unknown) => err instanceof CallError && err.mayHaveBeenSent, `${head.name}, call ${i}`);
		}

		const isCutInTrailer = head.part.includes('\r\n\r\n') && head.name.startsWith('trailer');
		assert.equal(await engine.probe(timeoutMs), false, head.name);
		assert.equal(await plain.probe(timeoutMs), isCutInTrailer, head.name);
	}
});
