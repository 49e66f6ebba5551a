import {Buffer} from 'node:buffer';
import type {IncomingMessage} from 'node:http';
import {ProblemError} from './problems.js';

/** Reads a whole body. Throws `ProblemError` as soon as it is too large or late; what follows is not read. */
export async function readBody(req: IncomingMessage, limitBytes: number, timeoutMs: number): Promise<Uint8Array> {
	if (Number(req.headers['content-length'] ?? 0) > limitBytes) {
		throw tooLarge(limitBytes);
	}

	return new Promise((resolve, reject) => {
		const chunks: Uint8Array[] = [];
		let length = 0;
		const finish = (err?: Error) => {
			clearTimeout(timer);
			req.off('data', onData).off('end', onEnd).off('close', onClose);
			if (err) {
				req.pause();
				reject(err);
			} else {
				resolve(Buffer.concat(chunks, length));
			}
		};

		const timer = setTimeout(() => {
			finish(new ProblemError('body-timeout', {detail: `the body was not complete within ${timeoutMs} ms`}));
		}, timeoutMs);
		const onData = (chunk: Uint8Array) => {
			length += chunk.length;
			if (length > limitBytes) {
				finish(tooLarge(limitBytes));
			} else {
				chunks.push(chunk);
			}
		};

		const onEnd = () => {
			finish();
		};

		const onClose = () => {
			finish(new ProblemError('malformed-request', {detail: 'the connection closed within the body'}));
		};

		req.on('data', onData).on('end', onEnd).on('close', onClose);
	});
}

function tooLarge(limitBytes: number): ProblemError {
	return new ProblemError('body-too-large', {detail: `the body is larger than ${limitBytes} bytes`});
}
