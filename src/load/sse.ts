/** Yields the data field of each server-sent event in a byte stream; skips events without data. */
export async function * readSseData(body: AsyncIterable<Uint8Array>): AsyncGenerator<string> {
	const decoder = new TextDecoder();
	let remainder = '';
	for await (const chunk of body) {
		const parts = (remainder + decoder.decode(chunk, {stream: true})).split(/\r?\n\r?\n/);
		remainder = parts.pop()!;
		for (const part of parts) {
			const data = part.split(/\r?\n/).filter(line => line.startsWith('data:')).map(line => line.slice(5).trimStart()).join('\n');
			if (data !== '') {
				yield data;
			}
		}
	}
}
