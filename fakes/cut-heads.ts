/** Heads of answers that a faulty server cuts short. */
import type {Socket} from 'node:net';
import process from 'node:process';

/** Distance between the bytes at which heads are cut, in bytes; `CUT_EVERY_BYTE=1` cuts them at each byte. */
const cutStride = process.env.CUT_EVERY_BYTE === '1' ? 1 : 23;

export type CutHead = {
	/** Which head it is, how many of its bytes are missing, and how the connection ends. */
	readonly name: string;
	/** The part that the server writes. */
	readonly part: string;
	readonly isReset: boolean;
};

/** Heads of successful answers with the given header lines, each with a different way to tell where the body ends. The last one is cut within its trailer, too. */
function successfulHeads(lines: string): Readonly<Record<string, string>> {
	return {
		length: `HTTP/1.1 200 OK\r\n${lines}Content-Length: 200\r\n\r\n`,
		chunks: `HTTP/1.1 200 OK\r\n${lines}Transfer-Encoding: chunked\r\n\r\n`,
		'no length': `HTTP/1.1 200 OK\r\nConnection: close\r\n${lines}\r\n`,
		'old version': `HTTP/1.0 200 OK\r\n${lines}\r\n`,
		'after an interim head': `HTTP/1.1 102 Processing\r\n${lines}\r\nHTTP/1.1 200 OK\r\nConnection: close\r\n${lines}\r\n`,
		trailer: `HTTP/1.1 200 OK\r\nConnection: close\r\n${lines}Transfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\r\n0\r\nX-Sum: 1234\r\n\r\n`,
	};
}

/** Returns the heads with these header lines (each ends with a line break), cut after every few bytes, with a close and with a reset of the connection. */
export function cutHeads(lines = ''): CutHead[] {
	return Object.entries(successfulHeads(lines)).flatMap(([name, head]) => {
		const missing = Array.from({length: Math.ceil(head.length / cutStride)}, (_, i) => 1 + (i * cutStride));
		return missing.flatMap(bytes => [false, true].map(isReset => ({
			name: `${name}, ${bytes} bytes missing, ${isReset ? 'reset' : 'closed'}`, part: head.slice(0, -bytes), isReset,
		})));
	});
}

/** Writes the part of the head and ends the connection. */
export function writeCutHead({part, isReset}: CutHead, socket: Socket): void {
	socket.write(part, 'latin1', () => {
		if (isReset) {
			setTimeout(() => {
				socket.resetAndDestroy();
			}, 5);
		} else {
			socket.end();
		}
	});
}
