/** Splits a stream of bytes into the data of its server-sent events. */
export async function * sseData(body: AsyncIterable<Uint8Array>): AsyncGenerator<string> {
	const decoder = new TextDecoder();
	let rest = '';
	for await (const chunk of body) {
		const parts = (rest + decoder.decode(chunk, {stream: true})).split(/\r?\n\r?\n/);
		rest = parts.pop()!;
		for (const part of parts) {
			const data = part.split(/\r?\n/).filter(line => line.startsWith('data:')).map(line => line.slice(5).trimStart()).join('\n');
			if (data !== '') {
				yield data;
			}
		}
	}
}
