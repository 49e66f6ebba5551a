import type {Readable} from 'node:stream';
import {CallError} from './call-error.js';

/** Length of the longest incomplete line that is buffered, in UTF-16 code units. An event carries the text of one token, so a longer line indicates a fault. */
const maxLineLength = 65_536;

/**
Yields the data of each server-sent event. Throws `CallError` if the stream breaks, a line is too long, or no data arrives
for `idleTimeoutMs` while the consumer waits for it.
*/
export async function * readEventStream(body: Readable, idleTimeoutMs: number): AsyncGenerator<string, void, void> {
	const chunks = body.iterator() as AsyncIterator<Uint8Array, undefined>;
	let partialLine = '';
	const decoder = new TextDecoder();
	try {
		for (;;) {
			const chunk = await readChunk(chunks, body, idleTimeoutMs);
			if (chunk === undefined) {
				return;
			}

			const lines = (partialLine + decoder.decode(chunk, {stream: true})).split('\n');
			partialLine = lines.pop()!;
			if (partialLine.length > maxLineLength) {
				throw new CallError('broken', true, `event stream has a line of more than ${maxLineLength} characters`);
			}

			yield * lines.filter(line => line.startsWith('data:')).map(line => line.slice(5).trim());
		}
	} finally {
		body.destroy();
	}
}

async function readChunk(chunks: AsyncIterator<Uint8Array, undefined>, body: Readable, idleTimeoutMs: number): Promise<Uint8Array | undefined> {
	const timer = setTimeout(() => {
		body.destroy(new CallError('timeout', true, `no data received for ${idleTimeoutMs} ms`));
	}, idleTimeoutMs);
	try {
		const {done, value} = await chunks.next();
		return done ? undefined : value;
	} catch (err) {
		throw CallError.from(err, {mayHaveBeenSent: true, isTimeout: false});
	} finally {
		clearTimeout(timer);
	}
}
