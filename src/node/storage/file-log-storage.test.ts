import assert from 'node:assert/strict';
import {mkdtemp, rm} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {test} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import fc from 'fast-check';
import type {
	HardState, LogEntry, PersistBatch, Snapshot, StoredState,
} from '../../common/consensus/types.js';
import {StorageError} from '../../common/core/errors.js';
import {SeededRandom} from '../../common/core/random.js';
import {crc32c} from './crc32c.js';
import type {FileLogStorageOptions} from './file-log-storage.js';
import type {FileSystem} from './file-system.js';
import type {FileOperation} from './memory-file-system.js';
import {NodeFileSystem} from './file-system.js';
import {FileLogStorage} from './file-log-storage.js';
import {MemoryFileSystem} from './memory-file-system.js';
import {recordHeaderBytes} from './records.js';

const folder = '/data';
const firstSegment = '/data/segment-0000000000000001.log';

/** Pause between attempts at an operation that the disk refuses, in ms. */
const pauseMs = 1;
/** Time within which a storage makes several attempts, in ms. */
const attemptsMs = 20;

function createStorage(fileSystem: FileSystem, options: Partial<FileLogStorageOptions> = {}): FileLogStorage {
	return new FileLogStorage({
		folder, fileSystem, pauseMs, ...options,
	});
}

/** Creates a storage that has loaded and confirmed what the folder holds. */
async function openStorage(fileSystem: FileSystem, options: Partial<FileLogStorageOptions> = {}): Promise<FileLogStorage> {
	const storage = createStorage(fileSystem, options);
	await storage.load();
	await storage.confirm();
	return storage;
}

function entry(index: number, term = 1): LogEntry {
	return {index, term, payload: {kind: 'command', command: {name: `change-${index}-${term}`}}};
}

function hardState(term: number): HardState {
	return {
		term, votedFor: 'vm1', votedForDisk: 'disk-1', cluster: 'disk-1', commit: 0,
	};
}

function batch(entries: readonly LogEntry[], fields: Partial<PersistBatch> = {}): PersistBatch {
	return {
		sequence: 1, hardState: undefined, truncateFrom: undefined, entries, ...fields,
	};
}

function snapshot(index: number, term = 1): Snapshot {
	return {
		index, term, members: [{vm: 'vm1', diskId: 'disk-1', role: 'voter'}], data: {applied: index},
	};
}

async function loadFrom(fileSystem: MemoryFileSystem): Promise<StoredState> {
	return createStorage(fileSystem).load();
}

/** Creates a folder whose first segment holds three batches and returns the offsets of their records. */
async function writeThreeBatches(): Promise<{readonly fileSystem: MemoryFileSystem; readonly offsets: readonly number[]}> {
	const fileSystem = new MemoryFileSystem();
	const storage = await openStorage(fileSystem);
	const offsets: number[] = [];
	for (const index of [1, 2, 3]) {
		offsets.push(fileSystem.getBytes(firstSegment).length);
		await storage.append(batch([entry(index)]));
	}

	return {fileSystem, offsets};
}

test('CRC-32C matches the published check value', () => {
	assert.equal(crc32c(new TextEncoder().encode('123456789')), 0xE3_06_92_83);
});

test('entries, hard state, snapshot and disk id survive a restart on the real file system', async context => {
	const realFolder = await mkdtemp(path.join(tmpdir(), 'jasminehead-storage-'));
	context.after(async () => rm(realFolder, {recursive: true}));
	const first = createStorage(new NodeFileSystem(), {folder: path.join(realFolder, 'log')});
	const {diskId} = await first.load();
	await first.confirm();
	await first.append(batch([entry(1), entry(2), entry(3)], {hardState: hardState(1)}));
	await first.append(batch([entry(2, 2), entry(3, 2)], {hardState: hardState(2), truncateFrom: 2}));
	await first.saveSnapshot(snapshot(2, 2));
	await first.dispose();
	const second = createStorage(new NodeFileSystem(), {folder: path.join(realFolder, 'log')});
	assert.deepEqual(await second.load(), {
		diskId, hardState: hardState(2), snapshot: snapshot(2, 2), entries: [entry(3, 2)],
	});
	await second.dispose();
});

test('a torn last record is truncated, wherever it was cut off, and new entries can be appended after it', async () => {
	const {fileSystem, offsets} = await writeThreeBatches();
	const intact = fileSystem.getBytes(firstSegment);
	for (let length = offsets[2]!; length < intact.length; length++) {
		fileSystem.setBytes(firstSegment, intact.subarray(0, length));
		const recovered = fileSystem.afterPowerCut(new SeededRandom(1));
		const storage = createStorage(recovered);
		const {entries} = await storage.load();
		assert.deepEqual(entries.map(({index}) => index), [1, 2]);
		await storage.confirm();
		await storage.append(batch([entry(3, 2)]));
		const reloaded = await loadFrom(recovered);
		assert.deepEqual(reloaded.entries.map(({term}) => term), [1, 1, 2]);
	}
});

test('a corrupt record before the last record is reported with its file and offset, whichever byte is damaged', async () => {
	const {fileSystem, offsets} = await writeThreeBatches();
	const intact = fileSystem.getBytes(firstSegment);
	for (let position = offsets[1]!; position < offsets[2]!; position++) {
		const damaged = Uint8Array.from(intact);
		damaged[position]! += 1;
		fileSystem.setBytes(firstSegment, damaged);
		await assert.rejects(loadFrom(fileSystem), (err: unknown) => err instanceof StorageError && err.message === `${firstSegment}: corrupt record at offset ${offsets[1]}`);
	}
});

test('a damaged last record of a segment is rejected unless the segment is the last one: truncating the record would lose acknowledged entries', async () => {
	const {fileSystem, offsets} = await writeThreeBatches();
	await openStorage(fileSystem);
	fileSystem.setBytes(firstSegment, fileSystem.getBytes(firstSegment).subarray(0, offsets[2]! + recordHeaderBytes));
	await assert.rejects(loadFrom(fileSystem), /corrupt record at offset/);
});

test('missing entries, a missing disk id and files of another disk are rejected', async () => {
	const {fileSystem} = await writeThreeBatches();
	const storage = await openStorage(fileSystem);
	await assert.rejects(storage.append(batch([entry(9)])), /entries before 9 are missing/);
	const other = await writeThreeBatches();
	other.fileSystem.setBytes('/data/segment-0000000000000002.log', fileSystem.getBytes(firstSegment));
	await assert.rejects(loadFrom(other.fileSystem), /expected format 1 of disk/);
	await other.fileSystem.remove('/data/disk-id');
	await assert.rejects(loadFrom(other.fileSystem), /disk-id: missing/);
});

test('an append resolves only after its fsync, and its entries then survive a power cut', async () => {
	const fileSystem = new MemoryFileSystem();
	const storage = await openStorage(fileSystem);
	let openGate: () => void;
	fileSystem.syncGate = new Promise(resolve => {
		openGate = resolve;
	});
	let isResolved = false;
	const append = (async () => {
		await storage.append(batch([entry(1)]));
		isResolved = true;
	})();
	await new Promise(resolve => {
		setImmediate(resolve);
	});
	assert.equal(isResolved, false);
	openGate!();
	await append;
	const {entries} = await loadFrom(fileSystem.afterPowerCut(new SeededRandom(1)));
	assert.deepEqual(entries, [entry(1)]);
});

// The file system forgets the bytes whose fsync failed, as a kernel may, so a repeated fsync alone would lose them.
test('a record whose fsync failed is on disk once it is acknowledged, and survives a power cut', async () => {
	for (const failures of [1, 2, 5]) {
		const fileSystem = new MemoryFileSystem();
		const storage = await openStorage(fileSystem);
		await storage.append(batch([entry(1)]));
		let remaining = failures;
		fileSystem.refuse = operation => operation === 'sync' && remaining-- > 0 ? 'EIO' : undefined;
		await storage.append(batch([entry(2)]));
		await storage.append(batch([entry(3)]));
		const {entries} = await loadFrom(fileSystem.afterPowerCut(new SeededRandom(failures)));
		assert.deepEqual(entries, [entry(1), entry(2), entry(3)]);
	}
});

// Guards against entries that are acknowledged after a restart and lost in the next power cut.
test('what was loaded is on disk once it is confirmed, although the process that wrote it stopped before its fsync ended, or after it failed', async () => {
	for (const code of [undefined, 'EIO']) {
		const fileSystem = new MemoryFileSystem();
		const storage = await openStorage(fileSystem);
		await storage.append(batch([entry(1)]));
		let openGate: (() => void) | undefined;
		if (code === undefined) {
			fileSystem.syncGate = new Promise(resolve => {
				openGate = resolve;
			});
		}

		fileSystem.refuse = operation => operation === 'sync' ? code : undefined;
		const interrupted = storage.append(batch([entry(2)]));
		await sleep(attemptsMs);
		const afterCrash = fileSystem.afterCrash();
		fileSystem.refuse = undefined;
		openGate?.();
		await interrupted;
		const restarted = await openStorage(afterCrash);
		await restarted.append(batch([entry(3)]));
		const {entries} = await loadFrom(afterCrash.afterPowerCut(new SeededRandom(1)));
		assert.deepEqual(entries, [entry(1), entry(2), entry(3)]);
	}
});

const refusals: ReadonlyArray<{readonly code: string; readonly operations: readonly FileOperation[]}> = [
	{code: 'ENOSPC', operations: ['make-folder', 'open', 'write']},
	{code: 'EDQUOT', operations: ['write', 'sync']},
	{code: 'EFBIG', operations: ['write']},
	{code: 'EIO', operations: ['make-folder', 'list', 'open', 'write', 'sync', 'truncate', 'close', 'rename', 'remove', 'sync-folder']},
	{code: 'EROFS', operations: ['make-folder', 'open', 'write', 'truncate', 'rename', 'remove']},
	{code: 'EAGAIN', operations: ['open', 'write', 'sync']},
];

/** Operations of a storage, each of which a disk may refuse. */
const moments: ReadonlyArray<{readonly name: string; readonly segmentBytes?: number; readonly perform: (storage: FileLogStorage) => Promise<void>}> = [
	{name: 'append', perform: async storage => storage.append(batch([entry(3)]))},
	{name: 'append with a new segment', segmentBytes: 1, perform: async storage => storage.append(batch([entry(3)]))},
	{
		name: 'snapshot', segmentBytes: 1, async perform(storage) {
			await storage.saveSnapshot(snapshot(2));
			await storage.append(batch([entry(3)]));
		},
	},
];

// Guards against a member that is out for good because its disk refused something for a moment.
for (const {name, segmentBytes, perform} of moments) {
	test(`an operation that the disk refuses is repeated until the disk accepts it, and nothing is lost: ${name}`, async () => {
		for (const {code, operations} of refusals) {
			const fileSystem = new MemoryFileSystem();
			const reports: string[] = [];
			const storage = await openStorage(fileSystem, {
				segmentBytes,
				onRefused(refusal) {
					reports.push(refusal.code);
				},
				onAccepted() {
					reports.push('accepted');
				},
			});
			await storage.append(batch([entry(1)], {hardState: hardState(1)}));
			await storage.append(batch([entry(2)], {hardState: hardState(2)}));
			let isDone = false;
			fileSystem.refuse = operation => operations.includes(operation) ? code : undefined;
			const performing = (async () => {
				await perform(storage);
				isDone = true;
			})();
			await sleep(attemptsMs);
			assert.equal(isDone, false, code);
			const duringRefusal = await loadFrom(fileSystem.afterPowerCut(new SeededRandom(1)));
			assert.equal(duringRefusal.hardState.term, 2);
			fileSystem.refuse = undefined;
			await performing;
			await storage.append(batch([entry(4)]));
			const stored = await loadFrom(fileSystem.afterPowerCut(new SeededRandom(1)));
			assert.deepEqual([...(stored.snapshot ? [1, 2] : []), ...stored.entries.map(({index}) => index)], [1, 2, 3, 4], code);
			assert.deepEqual([reports[0], reports.at(-1)], [code, 'accepted']);
		}
	});
}

test('a storage that starts while the disk refuses everything loads at once, and confirms once the disk accepts it', async () => {
	for (const {code, operations} of refusals) {
		const filled = await writeThreeBatches();
		for (const [fileSystem, expected] of [[new MemoryFileSystem(), []], [filled.fileSystem, [entry(1), entry(2), entry(3)]]] as const) {
			fileSystem.refuse = operation => operation !== 'list' && operations.includes(operation) ? code : undefined;
			const storage = createStorage(fileSystem);
			const {entries} = await storage.load();
			assert.deepEqual(entries, expected);
			let isConfirmed = false;
			const confirming = (async () => {
				await storage.confirm();
				isConfirmed = true;
			})();
			await sleep(attemptsMs);
			assert.equal(isConfirmed, false, code);
			fileSystem.refuse = undefined;
			await confirming;
			await storage.append(batch([entry(expected.length + 1)]));
			const stored = await loadFrom(fileSystem.afterPowerCut(new SeededRandom(1)));
			assert.deepEqual(stored.entries, [...expected, entry(expected.length + 1)]);
		}
	}
});

test('a segment that lost bytes which were on disk is not continued', async () => {
	const fileSystem = new MemoryFileSystem();
	const storage = await openStorage(fileSystem);
	await storage.append(batch([entry(1)]));
	let isRefused = false;
	fileSystem.refuse = operation => {
		if (operation !== 'write' || isRefused) {
			return undefined;
		}

		isRefused = true;
		return 'EIO';
	};

	fileSystem.setBytes(firstSegment, new Uint8Array(0));
	await assert.rejects(storage.append(batch([entry(2)])), /0 of \d+ bytes are left/);
	await assert.rejects(storage.append(batch([entry(2)])), StorageError);
});

test('a storage whose disk refuses a write can be disposed of, and the write in progress is rejected', async () => {
	const fileSystem = new MemoryFileSystem();
	const storage = await openStorage(fileSystem);
	fileSystem.refuse = operation => operation === 'write' ? 'ENOSPC' : undefined;
	const appending = assert.rejects(storage.append(batch([entry(1)])), StorageError);
	await storage.dispose();
	await appending;
});

test('a partial write is continued until all bytes are written', async () => {
	const fileSystem = new MemoryFileSystem();
	fileSystem.maxWriteBytes = 7;
	const storage = await openStorage(fileSystem);
	await storage.append(batch([entry(1), entry(2)]));
	const {entries} = await loadFrom(fileSystem);
	assert.deepEqual(entries, [entry(1), entry(2)]);
});

test('a snapshot deletes the segments that it covers, so that restart time is bounded', async () => {
	const fileSystem = new MemoryFileSystem();
	const storage = await openStorage(fileSystem, {segmentBytes: 200});
	for (let index = 1; index <= 50; index++) {
		await storage.append(batch([entry(index)]));
	}

	assert.ok(fileSystem.fileNames().length > 10);
	await storage.saveSnapshot(snapshot(40));
	await storage.saveSnapshot(snapshot(50));
	await storage.append(batch([entry(51)]));
	// A snapshot that is older than the stored snapshot must not replace it.
	await storage.saveSnapshot(snapshot(45));
	const {entries} = await loadFrom(fileSystem.afterPowerCut(new SeededRandom(1)));
	assert.deepEqual(entries, [entry(51)]);
	assert.deepEqual(fileSystem.fileNames().map(name => path.basename(name).split('-', 1)[0]), ['disk', 'segment', 'snapshot']);
});

test('a snapshot of a different history replaces the stored log', async () => {
	const fileSystem = new MemoryFileSystem();
	const storage = await openStorage(fileSystem);
	await storage.append(batch([entry(1), entry(2), entry(3)]));
	await storage.saveSnapshot(snapshot(2, 2));
	const {entries} = await loadFrom(fileSystem);
	assert.deepEqual(entries, []);
});

type Operation = {readonly kind: 'append' | 'truncate' | 'snapshot' | 'install' | 'restart'; readonly size: number};

/** State that a member is expected to load: snapshot index, current term and the entries after the snapshot. */
type Model = {readonly snapshot: number; readonly term: number; readonly entries: readonly LogEntry[]};

function modelOf({hardState, snapshot, entries}: StoredState): Model {
	return {snapshot: snapshot?.index ?? 0, term: hardState.term, entries};
}

function nextModel(model: Model, {kind, size}: Operation): Model {
	const last = model.snapshot + model.entries.length;
	const term = model.term + 1;
	if (kind === 'append' || kind === 'truncate') {
		const from = kind === 'append' ? last + 1 : Math.max(model.snapshot + 1, last - size);
		const added = Array.from({length: kind === 'append' ? size : size - 1}, (_, i) => entry(from + i, term));
		return {...model, term, entries: [...model.entries.filter(({index}) => index < from), ...added]};
	}

	const index = Math.max(model.snapshot, last - size);
	if (kind === 'install') {
		return {...model, snapshot: index, entries: index > model.snapshot ? [] : model.entries};
	}

	return kind === 'snapshot' ? {...model, snapshot: index, entries: model.entries.filter(kept => kept.index > index)} : model;
}

async function performOperation(storage: FileLogStorage, before: Model, {kind, after}: {kind: Operation['kind']; after: Model}): Promise<void> {
	if (kind === 'snapshot' || kind === 'install') {
		const last = before.entries.find(({index}) => index === after.snapshot);
		// No entry has term 0, so an installed snapshot belongs to a different history.
		await (last && storage.saveSnapshot(snapshot(after.snapshot, kind === 'install' ? 0 : last.term)));
		return;
	}

	const entries = after.entries.filter(({term}) => term === after.term);
	const truncateFrom = kind === 'truncate' ? before.snapshot + after.entries.length - entries.length + 1 : undefined;
	await storage.append(batch(entries, {hardState: hardState(after.term), truncateFrom}));
}

/** Share of the file operations that the disk refuses in the following test. */
const refusalProbability = 0.03;

test('after a power cut at any file operation, beside operations that the disk refuses, the loaded state is that after the last acknowledged operation or that after the operation in progress', async () => {
	const operation = fc.record({kind: fc.constantFrom<Operation['kind']>('append', 'append', 'append', 'truncate', 'snapshot', 'install', 'restart'), size: fc.integer({min: 1, max: 4})});
	await fc.assert(fc.asyncProperty(fc.array(operation, {minLength: 10, maxLength: 25}), fc.integer({min: 10, max: 130}), fc.integer(), async (operations, operationsUntilPowerCut, seed) => {
		const fileSystem = new MemoryFileSystem();
		let storage = createStorage(fileSystem, {segmentBytes: 300, pauseMs: 0});
		let before = modelOf(await storage.load());
		let after = before;
		fileSystem.operationsUntilPowerCut = operationsUntilPowerCut;
		const faults = new SeededRandom(seed);
		const codes = ['ENOSPC', 'EIO'];
		fileSystem.refuse = operation => operation !== 'list' && faults.next() < refusalProbability ? codes[faults.integer(0, codes.length)] : undefined;
		try {
			await storage.confirm();
			for (const next of operations) {
				after = nextModel(before, next);
				if (next.kind === 'restart') {
					storage = createStorage(fileSystem, {segmentBytes: 300, pauseMs: 0});
					assert.deepEqual(modelOf(await storage.load()), before);
					await storage.confirm();
				} else {
					await performOperation(storage, before, {kind: next.kind, after});
				}

				before = after;
			}
		} catch (err) {
			assert.match(String(err), /power cut/);
		}

		const found = modelOf(await loadFrom(fileSystem.afterPowerCut(new SeededRandom(seed))));
		const expected = [before, after].find(({term, snapshot}) => term === found.term && snapshot === found.snapshot);
		assert.deepEqual(found, expected);
	}), {numRuns: 1500, seed: 20_260_807, includeErrorInReport: true});
});
