import type {Readable} from 'node:stream';
import {CallError} from './call-error.js';

/** Longest line of a server-sent event, in bytes; one event carries one token. */
const maxLineBytes = 65_536;

/**
Yields the data of each server-sent event. Throws a `CallError` when the stream breaks or no byte arrives for
`silenceMs` while the consumer waits for one.
*/
export async function * readEventStream(body: Readable, silenceMs: number): AsyncGenerator<string, void, void> {
	const chunks = body.iterator() as AsyncIterator<Uint8Array, undefined>;
	let rest = '';
	const decoder = new TextDecoder();
	try {
		for (;;) {
			const chunk = await nextChunk(chunks, body, silenceMs);
			if (chunk === undefined) {
				return;
			}

			const lines = (rest + decoder.decode(chunk, {stream: true})).split('\n');
			rest = lines.pop()!;
			if (rest.length > maxLineBytes) {
				throw new CallError('broken', true, `an event is longer than ${maxLineBytes} bytes`);
			}

			yield * lines.filter(line => line.startsWith('data:')).map(line => line.slice(5).trim());
		}
	} finally {
		body.destroy();
	}
}

async function nextChunk(chunks: AsyncIterator<Uint8Array, undefined>, body: Readable, silenceMs: number): Promise<Uint8Array | undefined> {
	const timer = setTimeout(() => {
		body.destroy(new CallError('timeout', true, `no byte for ${silenceMs} ms`));
	}, silenceMs);
	try {
		const {done, value} = await chunks.next();
		return done ? undefined : value;
	} catch (err) {
		throw CallError.from(err, {maySent: true, isTimeout: false});
	} finally {
		clearTimeout(timer);
	}
}
