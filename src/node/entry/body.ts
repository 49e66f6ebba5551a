import {Buffer} from 'node:buffer';
import type {BodyMemory} from '../../common/requests/body-memory.js';
import type {Exchange} from './exchange.js';
import {ProblemError} from './problems.js';

export type BodyLimits = {
	readonly bytes: number;
	readonly timeoutMs: number;
	readonly memory: BodyMemory;
	/** Whose share of the memory the body takes. */
	readonly tenant: string;
};

/**
Reads a whole body, whose memory is given back when the exchange closes. Throws `ProblemError` as soon as the body is too
large or late; what follows is not kept.
*/
export async function readBody(exchange: Exchange, limits: BodyLimits): Promise<Uint8Array> {
	const {req} = exchange;
	if (Number(req.headers['content-length'] ?? 0) > limits.bytes) {
		throw tooLarge(limits.bytes);
	}

	const chunks: Uint8Array[] = [];
	let length = 0;
	exchange.res.once('close', () => {
		limits.memory.give(limits.tenant, length);
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
			if (length + chunk.length > limits.bytes) {
				finish(tooLarge(limits.bytes));
			} else if (limits.memory.take(limits.tenant, chunk.length)) {
				length += chunk.length;
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
	return Buffer.concat(chunks, length);
}

function tooLarge(limitBytes: number): ProblemError {
	return new ProblemError('body-too-large', {detail: `the body is larger than ${limitBytes} bytes`});
}
