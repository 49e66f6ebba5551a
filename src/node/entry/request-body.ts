import {Buffer} from 'node:buffer';
import type {BodyMemoryBudget} from '../../common/requests/body-memory.js';
import type {Exchange} from './exchange.js';
import {ProblemError} from './problems.js';

export type BodyLimits = {
	/** Size of the largest accepted body, in bytes. */
	readonly maxBytes: number;
	/** Time in which the whole body must arrive, in milliseconds. */
	readonly timeoutMs: number;
	readonly bodyMemory: BodyMemoryBudget;
	/** Customer whose share of the memory the body counts against. */
	readonly customer: string;
};

/**
Reads a whole request body. Its memory is reserved from `limits.bodyMemory` and released when the response closes.
Throws `ProblemError` as soon as the body is too large, the timeout expires, no memory is left, the connection closes or the key
is withdrawn; the rest of the body is then not buffered.
*/
export async function readBody(exchange: Exchange, limits: BodyLimits): Promise<Uint8Array> {
	const {req} = exchange;
	if (Number(req.headers['content-length'] ?? 0) > limits.maxBytes) {
		throw bodyTooLargeError(limits.maxBytes);
	}

	const chunks: Uint8Array[] = [];
	let receivedBytes = 0;
	exchange.res.once('close', () => {
		limits.bodyMemory.release(limits.customer, receivedBytes);
	});
	await new Promise<void>((resolve, reject) => {
		const finish = (err?: ProblemError) => {
			clearTimeout(timer);
			req.off('data', onData).off('end', onEnd).off('close', onClose);
			if (err) {
				req.pause();
				reject(err);
			} else {
				resolve();
			}
		};

		const timer = setTimeout(() => {
			finish(new ProblemError('body-timeout', {detail: `the body was not complete within ${limits.timeoutMs} ms`}));
		}, limits.timeoutMs);
		const onData = (chunk: Uint8Array) => {
			if (receivedBytes + chunk.length > limits.maxBytes) {
				finish(bodyTooLargeError(limits.maxBytes));
			} else if (limits.bodyMemory.tryReserve(limits.customer, chunk.length)) {
				receivedBytes += chunk.length;
				chunks.push(chunk);
			} else {
				finish(new ProblemError('overloaded', {run: 'not-run', detail: 'the entry point has no memory left for request bodies'}));
			}
		};

		const onEnd = () => {
			finish();
		};

		const onClose = () => {
			finish(new ProblemError('malformed-request', {detail: 'the connection closed within the body'}));
		};

		req.on('data', onData).on('end', onEnd).on('close', onClose);
		exchange.onStop(reason => {
			if (reason === 'key-withdrawn') {
				finish(new ProblemError('key-withdrawn', {run: 'not-run'}));
			}
		});
	});
	return Buffer.concat(chunks, receivedBytes);
}

function bodyTooLargeError(limitBytes: number): ProblemError {
	return new ProblemError('body-too-large', {detail: `the body is larger than ${limitBytes} bytes`});
}
