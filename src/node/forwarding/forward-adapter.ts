import {Buffer} from 'node:buffer';
import type {Dispatcher} from 'undici';
import {CallError} from '../upstreams/call-error.js';
import type {Answer, Call} from '../upstreams/connection-pool.js';
import {UpstreamAdapter} from '../upstreams/upstream-adapter.js';
import type {UpstreamOptions} from '../upstreams/upstream-adapter.js';
import type {Clock} from '../../common/core/clock.js';
import type {ServerCall} from './fleet-protocol.js';

/** Largest answer of a call that is not a caller's request, in bytes. */
const callAnswerLimitBytes = 65_536;

export type WholeAnswer = {
	readonly status: number;
	/** Lower-case names and values in turn. */
	readonly headers: readonly string[];
	readonly body: Uint8Array;
};

/** Reads a body to its end. Throws `CallError` if it breaks off or is larger than `limitBytes`. */
export async function readWhole({status, headers, body, wasReset}: Answer, limitBytes: number): Promise<WholeAnswer> {
	const chunks: Uint8Array[] = [];
	let length = 0;
	try {
		for await (const chunk of body as AsyncIterable<Uint8Array>) {
			length += chunk.length;
			if (length > limitBytes) {
				body.destroy();
				throw new CallError('broken', true, `the answer has more than ${limitBytes} bytes`);
			}

			chunks.push(chunk);
		}
	} catch (err) {
		throw CallError.from(err, {maySent: true, isTimeout: false});
	}

	if (wasReset()) {
		throw new CallError('broken', true, 'the connection was reset within the answer');
	}

	return {status, headers, body: Buffer.concat(chunks, length)};
}

/** Is told of the head of every answer of a server. */
export type AnswerObserver = (answer: Pick<Answer, 'status' | 'headers'>) => void;

/** Client of one start of a server that requests are forwarded to. */
export class ForwardAdapter extends UpstreamAdapter {
	constructor(options: UpstreamOptions, clock: Clock, private readonly _onAnswer: AnswerObserver) {
		super(options, clock);
	}

	/** Sends a request; resolves when the answer's headers arrived. Rejects with `CallError`. */
	async send(call: Call): Promise<Answer> {
		const answer = await this._pool.call(call);
		this._onAnswer(answer);
		return answer;
	}

	/** Makes a call that is not a caller's request and reads its whole answer. Rejects with `CallError`. */
	async call({
		method, path, headers = [], body,
	}: ServerCall, timeoutMs: number, signal?: AbortSignal): Promise<{readonly status: number; readonly text: string}> {
		const abort = new AbortController();
		const stop = () => {
			abort.abort();
		};

		const timer = setTimeout(stop, timeoutMs);
		signal?.addEventListener('abort', stop, {once: true});
		try {
			const answer = await this.send({
				method,
				path,
				headers: [...headers, ...(body === undefined ? [] : ['content-type', 'application/json'])],
				...(body !== undefined && {body}),
				headersTimeoutMs: timeoutMs,
				signal: abort.signal,
			});
			const whole = await readWhole(answer, callAnswerLimitBytes);
			return {status: whole.status, text: Buffer.from(whole.body).toString('utf8')};
		} finally {
			clearTimeout(timer);
			signal?.removeEventListener('abort', stop);
		}
	}

	/** Any answer shows that the server can be reached. */
	override async probe(timeoutMs: number): Promise<boolean> {
		try {
			await this.call({method: 'GET', path: '/healthz'}, timeoutMs);
			return true;
		} catch {
			// The result is what the caller wants to know; it logs the change that follows from it.
			return false;
		}
	}
}

export type ForwardMethod = Dispatcher.HttpMethod;
