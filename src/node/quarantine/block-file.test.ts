import assert from 'node:assert/strict';
import {test} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {ManualClock} from '../../common/core/clock.js';
import {NullLogger} from '../../common/core/log.js';
import {SeededRandom} from '../../common/core/random.js';
import type {StoredBlocks} from '../../common/quarantine/stored-blocks.js';
import {CountingMetrics} from '../entry/testing/services.js';
import {waitUntil} from '../entry/testing/harness.js';
import {MemoryFileSystem} from '../storage/memory-file-system.js';
import type {FileOperation} from '../storage/memory-file-system.js';
import {BlockFile} from './block-file.js';

const file = '/data/quarantine.jsonl';
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

/** Waits until the part is on disk; a test that waits in vain fails by its timeout. */
async function waitForPart(fileSystem: MemoryFileSystem, part: string): Promise<void> {
	while (await loadPart(fileSystem.afterPowerCut(new SeededRandom(1))) !== part) {
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
	const stored = await blockFile.load();
	assert.equal(stored?.blocks[0]?.parts[0], 'old');
	blockFile.dispose();

	fileSystem.setBytes(file, new Uint8Array(5_000_000));
	await writePart(fileSystem, 'new');
	fileSystem.refuse = operation => operation === 'list' ? 'EIO' : undefined;
	const {blockFile: unread} = create(fileSystem);
	unread.save(() => blocksOf('newest'));
	assert.equal(await unread.load(), undefined);
	await waitForPart(fileSystem, 'newest');
	unread.dispose();
});
