import type {Readable} from 'node:stream';
import {ByteBlocks} from '../../common/memory/byte-blocks.js';
import {CallError} from './call-error.js';

/**
Reads a body to its end. Throws `CallError`, and closes the connection, if the body breaks off or has more than `limitBytes`, or if `reserve`
returns false.
@param reserve - called with the memory that the body is about to occupy, in bytes; returns whether there is room
*/
export async function collectBody(body: Readable, limitBytes: number, reserve: (bytes: number) => boolean = () => true): Promise<ByteBlocks> {
	const blocks = new ByteBlocks();
	try {
		for await (const chunk of body as AsyncIterable<Uint8Array>) {
			if (blocks.length + chunk.length > limitBytes) {
				throw new CallError('broken', true, `the answer has more than ${limitBytes} bytes`);
			}

			const capacity = blocks.capacityWith(chunk.length);
			if (capacity > blocks.capacity && !reserve(capacity)) {
				throw new CallError('broken', true, 'there is no memory for the answer');
			}

			blocks.append(chunk);
		}
	} catch (err) {
		body.destroy();
		throw CallError.from(err, {mayHaveBeenSent: true, isTimeout: false});
	}

	return blocks;
}
