import {BodyCollector} from '../memory/body-collector.js';
import type {MemoryKeeper} from '../memory/memory-keeper.js';
import type {Exchange} from './exchange.js';
import {ProblemError} from './problems.js';

export type BodyLimits = {
	/** Size of the largest accepted body, in bytes. */
	readonly maxBytes: number;
	/** Time in which the whole body must arrive, in milliseconds. */
	readonly timeoutMs: number;
	readonly memory: MemoryKeeper;
	/** Customer whose share of the memory the body counts against. */
	readonly customer: string;
	/** Called for each part of the body. */
	readonly onData?: () => void;
};

/**
Reads a whole request body. Its memory is taken from `limits.memory` and released when the response closes.
Throws `ProblemError` as soon as the body is too large, the timeout expires, no memory is left, the connection closes or the key
is withdrawn; the rest of the body is then not buffered. A body that stalls while others need its memory is given up, too.
*/
export async function readBody(exchange: Exchange, limits: BodyLimits): Promise<Uint8Array> {
	const {req} = exchange;
	if (Number(req.headers['content-length'] ?? 0) > limits.maxBytes) {
		throw bodyTooLargeError(limits.maxBytes);
	}

	let onNoMemory: () => void = () => undefined;
	const holding = limits.memory.open('body', limits.customer, () => {
		onNoMemory();
	});
	const collector = new BodyCollector(holding);
	exchange.res.once('close', () => {
		holding.release();
	});
	await new Promise<void>((resolve, reject) => {
		const finish = (err?: ProblemError) => {
			clearTimeout(timer);
			req.off('data', onData).off('end', onEnd).off('close', onClose);
			if (err) {
				collector.drop();
				req.pause();
				reject(err);
			} else {
				resolve();
			}
		};

		const timer = setTimeout(() => {
			finish(new ProblemError('body-timeout', {detail: `the body was not complete within ${limits.timeoutMs} ms`}));
		}, limits.timeoutMs);
		const giveUp = () => {
			exchange.closeAfterResponse();
			finish(noMemoryError());
		};

		const onData = (chunk: Uint8Array) => {
			limits.onData?.();
			if (collector.length + chunk.length > limits.maxBytes) {
				finish(bodyTooLargeError(limits.maxBytes));
			} else if (!collector.add(chunk)) {
				giveUp();
			}
		};

		const onEnd = () => {
			finish();
		};

		const onClose = () => {
			finish(new ProblemError('malformed-request', {detail: 'the connection closed within the body'}));
		};

		onNoMemory = giveUp;
		req.on('data', onData).on('end', onEnd).on('close', onClose);
		exchange.onStop(reason => {
			if (reason === 'key-withdrawn') {
				finish(new ProblemError('key-withdrawn', {run: 'not-run'}));
			}
		});
	});
	return collector.take();
}

function noMemoryError(): ProblemError {
	return new ProblemError('overloaded', {run: 'not-run', detail: 'the entry point has no memory left for request bodies', retryAfterMs: noMemoryRetryMs});
}

/** Retry delay that a refusal for lack of memory advises, in milliseconds. */
const noMemoryRetryMs = 1000;

function bodyTooLargeError(limitBytes: number): ProblemError {
	return new ProblemError('body-too-large', {detail: `the body is larger than ${limitBytes} bytes`});
}
