import assert from 'node:assert/strict';
import {test} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {ManualClock} from '../../common/core/clock.js';
import {NullLogger} from '../../common/core/log.js';
import {SeededRandom} from '../../common/core/random.js';
import type {StoredBlocks} from '../../common/quarantine/stored-blocks.js';
import {CountingMetrics} from '../entry/testing/services.js';
import {waitUntil} from '../entry/testing/harness.js';
import {SystemClock} from '../clock.js';
import {InMemoryNetwork, InMemoryNetworkHub} from '../scheduler/fixtures.js';
import {MemoryFileSystem} from '../storage/memory-file-system.js';
import type {FileOperation} from '../storage/memory-file-system.js';
import {BlockFile} from './block-file.js';
import {RequestQuarantine} from './request-quarantine.js';

const file = '/data/quarantine.jsonl';
const waitTimeoutMs = 5000;
const refusableOperations: readonly FileOperation[] = ['make-folder', 'open', 'write', 'sync', 'close', 'rename', 'sync-folder'];

function create(fileSystem: MemoryFileSystem, intervalMs = 1) {
	const metrics = new CountingMetrics();
	const blockFile = new BlockFile({
		folder: '/data', fileSystem, clock: new ManualClock(), logger: new NullLogger(), metrics, intervalMs,
	});
	return {blockFile, metrics};
}

function blocksOf(part: string): StoredBlocks {
	const block = {
		parts: [part], strikes: 1, ageMs: 0, remainingMs: 60_000, decidedBy: 'vm', evidence: [],
	};
	return {blocks: [block], probations: []};
}

async function loadPart(fileSystem: MemoryFileSystem): Promise<string | undefined> {
	const {blockFile} = create(fileSystem);
	const stored = await blockFile.load();
	blockFile.dispose();
	return stored?.blocks[0]?.parts[0];
}

/** Waits until the part, or no part, is on disk. */
async function waitForPart(fileSystem: MemoryFileSystem, part: string | undefined): Promise<void> {
	const endMs = performance.now() + waitTimeoutMs;
	while (await loadPart(fileSystem.afterPowerCut(new SeededRandom(1))) !== part) {
		assert.ok(performance.now() < endMs, `${part} is not on disk`);
		await sleep(1);
	}
}

async function writePart(fileSystem: MemoryFileSystem, part: string): Promise<void> {
	const {blockFile} = create(fileSystem);
	await blockFile.load();
	blockFile.save(() => blocksOf(part));
	await waitForPart(fileSystem, part);
	blockFile.dispose();
}

// Guards against blocks that are lost, since the power failed while their next state was written.
test('a loss of power at any step leaves the blocks before or after the write', async () => {
	for (let operations = 0; operations < 20; operations++) {
		const fileSystem = new MemoryFileSystem();
		await writePart(fileSystem, 'old');
		const {blockFile} = create(fileSystem);
		await blockFile.load();
		fileSystem.operationsUntilPowerCut = operations;
		blockFile.save(() => blocksOf('new'));
		await sleep(5);
		blockFile.dispose();
		for (let seed = 1; seed <= 5; seed++) {
			const part = await loadPart(fileSystem.afterPowerCut(new SeededRandom(seed)));
			assert.ok(part === 'new' || (part === 'old' && operations < 12), `${operations} operations: ${part}`);
		}
	}
});

// Guards against blocks that stay unwritten after the disk was full or failed for a moment, and against a refusal that nobody sees.
test('a write that the disk refuses is repeated with the latest blocks, and counted', async () => {
	for (const operation of refusableOperations) {
		const fileSystem = new MemoryFileSystem();
		const {blockFile, metrics} = create(fileSystem);
		await blockFile.load();
		fileSystem.refuse = refused => refused === operation ? 'ENOSPC' : undefined;
		blockFile.save(() => blocksOf('old'));
		await waitUntil(() => (metrics.counts.get('quarantine_write_refusals_total') ?? 0) >= 2);
		blockFile.save(() => blocksOf('new'));
		fileSystem.refuse = undefined;
		await waitForPart(fileSystem, 'new');
		blockFile.dispose();
	}
});

// Guards against an older state that replaces a newer one.
test('blocks that change while the disk refuses a write are not replaced by those of the refused write', async () => {
	const fileSystem = new MemoryFileSystem();
	const {blockFile, metrics} = create(fileSystem);
	await blockFile.load();
	let endStall: () => void;
	fileSystem.syncGate = new Promise(resolve => {
		endStall = resolve;
	});
	fileSystem.refuse = operation => operation === 'sync' ? 'EIO' : undefined;
	blockFile.save(() => blocksOf('old'));
	await sleep(5);
	blockFile.save(() => blocksOf('new'));
	endStall!();
	await waitUntil(() => metrics.counts.has('quarantine_write_refusals_total'));
	fileSystem.refuse = undefined;
	await waitForPart(fileSystem, 'new');
	blockFile.dispose();
});

// Guards against a block that comes back after a restart, although the quarantine had released it.
test('the quarantine stores a block when it starts and when it is released, and restores it', async () => {
	const fileSystem = new MemoryFileSystem();
	const start = () => {
		const self = {vm: 'vm', incarnation: 1};
		const {blockFile, metrics} = create(fileSystem);
		const quarantine = new RequestQuarantine({
			self, network: new InMemoryNetwork(new InMemoryNetworkHub(), self), clock: new SystemClock(), logger: new NullLogger(), metrics, liveMembers: () => [], blockFile,
		});
		return {blockFile, quarantine};
	};

	const first = start();
	for (const server of ['s1', 's2']) {
		first.quarantine.track(server, 'r', ['part']).end('broken');
		first.quarantine.recordServerLost(server);
	}

	await waitForPart(fileSystem, 'part');
	first.blockFile.dispose();
	first.quarantine.dispose();
	const {blockFile, quarantine} = start();
	await waitUntil(() => quarantine.findBlock(['part', 'own']) !== undefined);
	quarantine.track('s3', 'r', ['part']).endWithAnswer(true);
	await waitForPart(fileSystem, undefined);
	blockFile.dispose();
	quarantine.dispose();
});

// Guards against writes that pile up behind a disk that stalls, and against a disk that is written without pause.
test('while a write is in progress no other begins, and after it the latest blocks are written once', async () => {
	const fileSystem = new MemoryFileSystem();
	const {blockFile} = create(fileSystem, 50);
	await blockFile.load();
	let opened = 0;
	fileSystem.refuse = operation => {
		opened += Number(operation === 'open');
		return undefined;
	};

	let endStall: () => void;
	fileSystem.syncGate = new Promise(resolve => {
		endStall = resolve;
	});
	for (let i = 0; i < 10; i++) {
		blockFile.save(() => blocksOf(`part${i}`));
		await sleep(1);
	}

	assert.equal(opened, 1);
	endStall!();
	await sleep(20);
	assert.equal(opened, 1);
	await waitForPart(fileSystem, 'part9');
	assert.equal(opened, 2);
	blockFile.dispose();
});

// Guards against a process that overwrites the blocks of its earlier run before it has read them, and against one that never writes because it cannot read.
test('the file is written after it was read, and also if it cannot be read', async () => {
	const fileSystem = new MemoryFileSystem();
	await writePart(fileSystem, 'old');
	const {blockFile} = create(fileSystem);
	blockFile.save(() => blocksOf('new'));
	await sleep(5);
	const stored = await blockFile.load();
	assert.equal(stored?.blocks[0]?.parts[0], 'old');
	await waitForPart(fileSystem, 'new');
	blockFile.dispose();

	fileSystem.setBytes(file, new Uint8Array(5_000_000));
	await writePart(fileSystem, 'new');
	const {blockFile: first} = create(fileSystem);
	fileSystem.refuse = operation => operation === 'list' ? 'ENOENT' : undefined;
	assert.equal(await first.load(), undefined);
	fileSystem.refuse = operation => operation === 'list' ? 'EIO' : undefined;
	const {blockFile: unread} = create(fileSystem);
	unread.save(() => blocksOf('newest'));
	assert.equal(await unread.load(), undefined);
	await waitForPart(fileSystem, 'newest');
	unread.dispose();
});
