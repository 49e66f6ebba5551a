/** Memory of a request without its body, in bytes, unless its head is large: the head, the connection to the server and the bookkeeping. */
const minRequestBytes = 16_384;
/** Memory of a request without its head and body, in bytes. */
const bookkeepingBytes = 8192;
/** Memory of one header line of a parsed head besides its text, in bytes: its strings and their places in lists and maps. */
const headerLineBytes = 160;

/**
Estimates the memory of a request without its body, in bytes.
@param rawHeaders - names and values of the parsed head, alternating
*/
export function requestMemory(rawHeaders: readonly string[]): number {
	let textBytes = 0;
	for (const text of rawHeaders) {
		textBytes += text.length;
	}

	return Math.max(minRequestBytes, bookkeepingBytes + textBytes + (headerLineBytes * rawHeaders.length / 2));
}
