import assert from 'node:assert/strict';
import {test} from 'node:test';
import fastCheck from 'fast-check';
import {ByteBlocks} from './byte-blocks.js';
import {planMemory} from './memory-plan.js';

test('the chunks come back in their order, joined or in parts', () => {
	const chunk = fastCheck.uint8Array({maxLength: 3000});
	fastCheck.assert(fastCheck.property(fastCheck.array(chunk, {maxLength: 40}), chunks => {
		const expected = chunks.flatMap(bytes => [...bytes]);
		const [joined, parted] = [new ByteBlocks(), new ByteBlocks()];
		for (const bytes of chunks) {
			const announced = joined.capacityWith(bytes.length);
			joined.append(bytes);
			parted.append(bytes);
			assert.equal(joined.capacity, announced);
		}

		assert.deepEqual([...joined.take()], expected);
		assert.deepEqual(parted.takeParts().flatMap(part => [...part]), expected);
		assert.equal(joined.length, 0);
	}), {seed: 7});
});

test('a body in chunks of one byte costs little more than its bytes', () => {
	const blocks = new ByteBlocks();
	for (let i = 0; i < 600_000; i++) {
		blocks.append(new Uint8Array(1));
	}

	assert.ok(blocks.capacity <= 600_000 + 65_536);
});

test('one request of the usual limits fits into the smallest plan, and connections leave room for servers and files', () => {
	const {totalBytes, maxCallers, maxServiceCallers, maxUnprovenPeers} = planMemory({memoryBytes: 88_000_000, descriptors: 2212});
	assert.ok(totalBytes / 2 >= 4_194_304 + 131_072);
	assert.ok(maxCallers + (4 * maxServiceCallers) + maxUnprovenPeers <= 0.71 * (2212 - 200));
	assert.ok(planMemory({memoryBytes: 310_000_000, descriptors: 10_250}).totalBytes > planMemory({memoryBytes: 178_000_000, descriptors: 4100}).totalBytes);
});
