/** Tests of the clients of the project's own interface with servers whose answers do not end. */
import assert from 'node:assert/strict';
import process from 'node:process';
import {test} from 'node:test';
import {setInterval as repeat} from 'node:timers/promises';
import {EndlessServer, endlessParts} from '../../../fakes/endless-writer.js';
import {ManualClock} from '../../common/core/clock.js';
import {waitUntil} from '../entry/testing/harness.js';
import {PlatformListPoller} from '../membership/platform-list-poller.js';
import {EngineControlClient} from '../scheduler/engine-control-client.js';
import {EngineAdapter} from './engine-adapter.js';

/** Bytes that a server can write of one answer at most: the largest reply in chunks of one byte, which take six, and what kernels buffer. */
const maxWrittenBytes = (6 * 4_194_304) + 8_388_608;
/** Heap by which the process may grow meanwhile, in bytes; a process of a small VM has 64 MiB in all. */
const maxHeapGrowthBytes = 33_554_432;

/** Returns by how much the heap grows at most while `perform` runs, in bytes. */
async function measureHeap(perform: () => Promise<void>): Promise<number> {
	const before = process.memoryUsage().heapUsed;
	let peak = before;
	const ended = new AbortController();
	const sampling = (async () => {
		try {
			for await (const _ of repeat(5, undefined, {signal: ended.signal})) {
				peak = Math.max(peak, process.memoryUsage().heapUsed);
			}
		} catch {
			// `perform` has ended.
		}
	})();
	await perform();
	ended.abort();
	await sampling;
	return peak - before;
}

type Call = (address: string, stops: Array<() => void>) => Promise<void>;

const calls: Readonly<Record<string, Call>> = {
	async 'load report'(address, stops) {
		const engine = new EngineAdapter({name: 'e', address, zone: 'z'}, new ManualClock());
		stops.push(() => {
			engine.destroy();
		});
		await assert.rejects(engine.fetchLoad({timeoutMs: 5000}));
	},
	async order(address, stops) {
		const control = new EngineControlClient(new ManualClock());
		stops.push(() => {
			void control.dispose();
		});
		assert.deepEqual(await control.sendOrder(address, {orderId: 'o', fencing: 1, order: {kind: 'set-role', role: 'both'}}), {kind: 'unknown'});
	},
	async 'list of VMs'(address, stops) {
		let failures = 0;
		const poller = new PlatformListPoller({
			clock: new ManualClock(),
			onVmList() {
				assert.fail('a list was read');
			},
			count() {
				failures++;
			},
		});
		stops.push(() => {
			poller.dispose();
		});
		poller.configure({address, pollEvery: 60_000});
		await poller.poll();
		assert.equal(failures, 1);
	},
};

for (const [name, call] of Object.entries(calls)) {
	for (const part of endlessParts()) {
		// Guards against a process that runs out of memory, or spends its time, since it reads all of an answer without end.
		test(`the answer to a call without end is given up after a bounded number of bytes: ${name}, ${part.name}`, async t => {
			const server = await EndlessServer.start(part);
			const stops: Array<() => void> = [() => {
				server.close();
			}];
			t.after(() => {
				for (const stop of stops) {
					stop();
				}
			});
			const growthBytes = await measureHeap(async () => call(server.address, stops));
			await waitUntil(() => server.writers.every(({isClosed}) => isClosed));
			const written = Math.max(...server.writers.map(({bytes}) => bytes));
			assert.ok(written < maxWrittenBytes, `${written} bytes written`);
			assert.ok(growthBytes < maxHeapGrowthBytes, `heap up by ${growthBytes} bytes`);
		});
	}
}
