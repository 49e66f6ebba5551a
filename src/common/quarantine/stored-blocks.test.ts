import assert from 'node:assert/strict';
import {test} from 'node:test';
import {QuarantineModel} from './fixtures.js';
import {findBlock} from './blocks.js';
import {nextTickMs, reduceQuarantine} from './quarantine.js';
import {createQuarantine, maxBlockMs, probationMs} from './state.js';
import {captureBlocks, decodeBlocks, encodeBlocks} from './stored-blocks.js';
import type {StoredBlocks} from './stored-blocks.js';

/** Time within which a block that one process restores is in force everywhere, in milliseconds. */
const contactMs = 3000;
const writtenMs = 1_800_000_000_000;
const stored: StoredBlocks = {
	blocks: ['a', 'b'].map(part => ({
		parts: [part, 'common'], strikes: 2, ageMs: 1000, remainingMs: 90_000, decidedBy: 'vm0', evidence: ['vm0.1.1'],
	})),
	probations: [{parts: ['c'], strikes: 1, remainingMs: 50_000}],
};

function restore({blocks, probations}: StoredBlocks) {
	const state = createQuarantine({self: 'vm0', idPrefix: 'vm0.2', seed: 1});
	reduceQuarantine(state, {
		type: 'quarantine/restored', blocks, probations, nowMs: 0,
	});
	return state;
}

// Guards against requests that crash servers anew after all processes lost power at once, or after one of them alone has a disk left.
test('a block that one process restores holds at all processes in time, although messages are lost', () => {
	for (let seed = 1; seed <= 30; seed++) {
		const model = new QuarantineModel({
			processes: 12, servers: 6, seed, crashingParts: ['deadly'], lossShare: 0.1,
		});
		for (let i = 0; i < 3; i++) {
			model.send({name: 'deadly', parts: ['deadly']});
			model.run(3500);
		}

		const text = encodeBlocks(captureBlocks(model.processes.get('vm3')!, model.nowMs), writtenMs);
		model.processes.clear();

		for (let i = 0; i < 12; i++) {
			model.startProcess(`vm${i}`);
		}

		model.dispatch('vm5', {type: 'quarantine/restored', ...decodeBlocks(text, writtenMs + 1000)});
		model.run(contactMs);
		const open = [...model.processes].filter(([, state]) => !findBlock(state, ['deadly'], model.nowMs)).map(([vm]) => vm);
		assert.deepEqual(open, [], `seed ${seed}`);
	}
});

// Guards against a request that needs several crashes again for its next block because the restart forgot the ended one.
test('one crash renews a restored block that has ended, and no block lasts longer after a restart', () => {
	const state = restore(decodeBlocks(encodeBlocks(stored, writtenMs), writtenMs + 95_000));
	assert.equal(state.blocks.size, 0);
	reduceQuarantine(state, {
		type: 'quarantine/attempt-started', attempt: 1, server: 's', requestId: 'r', parts: ['a', 'common'], nowMs: 10,
	});
	reduceQuarantine(state, {type: 'quarantine/server-lost', server: 's', nowMs: 20});
	reduceQuarantine(state, {
		type: 'quarantine/attempt-ended', attempt: 1, outcome: 'broken', nowMs: 20,
	});
	const nowMs = nextTickMs(state);
	reduceQuarantine(state, {type: 'quarantine/tick', nowMs});
	assert.equal(findBlock(state, ['a', 'common'], nowMs)?.strikes, 3);
});

// Guards against blocks that last for years, or that are of no effect, because the wall clock was set between the runs.
test('remaining times stay within their limits wherever the wall clock was set', () => {
	const long = {...stored, blocks: stored.blocks.map(block => ({...block, remainingMs: 1e15})), probations: [{parts: ['c'], strikes: 1, remainingMs: 1e15}]};
	const text = encodeBlocks(long, writtenMs);
	const setBack = decodeBlocks(text, 0);
	assert.deepEqual([setBack.ageMs, ...setBack.blocks.map(({remainingMs}) => remainingMs), setBack.probations[0]!.remainingMs], [0, maxBlockMs, maxBlockMs, probationMs]);
	const {blocks, probations} = decodeBlocks(text, writtenMs * 2);
	assert.deepEqual([blocks, probations], [[], []]);
});

// Guards against a process that does not start, or that forgets all blocks, because of a part of the file.
test('of a file that is cut off anywhere, or has odd entries, the readable entries are used', () => {
	const text = encodeBlocks(stored, writtenMs);
	assert.deepEqual(decodeBlocks(text, writtenMs), {...stored, ageMs: 0, faults: []});
	for (let length = 0; length < text.length; length++) {
		const {blocks, probations, faults} = decodeBlocks(text.slice(0, length), writtenMs);
		const wholeLines = text.slice(0, length + 1).split('\n').length - 1;
		assert.equal(blocks.length + probations.length, Math.max(0, wholeLines - 1));
		assert.equal(faults.length, ['{', '\n'].includes(text[length]!) && length > 0 ? 0 : 1);
	}

	const [header, first, second] = text.split('\n');
	const odd = ['{}', 'null', '[', first!.replace('"strikes":2', '"strikes":-1'), first!.replace('["a","common"]', '[]')];
	const {blocks, faults} = decodeBlocks([header, ...odd, second].join('\n'), writtenMs);
	assert.deepEqual([blocks, faults.length], [[stored.blocks[1]], odd.length]);
	assert.match(decodeBlocks(text.replace('"version":1', '"version":2'), writtenMs).faults[0]!, /version/);
	assert.equal(decodeBlocks([header, ...Array.from({length: 200}, () => first)].join('\n'), writtenMs).blocks.length, 64);
});

// Guards against a block that stays at a process that was down when the others released it.
test('a restored block that was released as wrong is released again when a server has produced output', () => {
	const model = new QuarantineModel({processes: 3, servers: 3, seed: 1});
	model.send({name: 'sound', parts: ['a', 'common']}, {process: 'vm1'});
	model.run(2500);
	const [block] = stored.blocks;
	model.dispatch('vm0', {type: 'quarantine/restored', probations: [], blocks: [{...block!, ageMs: 60_000}]});
	model.run(contactMs);
	assert.deepEqual([...model.processes.values()].map(({blocks}) => blocks.size), [0, 0, 0]);
});
