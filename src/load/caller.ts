import {Agent, request} from 'undici';
import type {Dispatcher} from 'undici';
import {expectedAnswer} from '../../fakes/answer.js';
import {SeededRandom} from '../common/core/random.js';
import type {Disposable} from '../common/core/disposable.js';
import {entryPointAnswerSchema} from '../common/services/entry-point-service.js';
import type {EntryPointAnswer} from '../common/services/entry-point-service.js';
import type {Attempt, Outcome, OutcomeKind} from './outcome.js';
import {buildPrompt} from './prompts.js';
import {readSseData} from './sse.js';
import type {ModelTraceRequest, PlainTraceRequest, TraceRequest} from './trace.js';

export type CallerOptions = {
	readonly tenant: string;
	/** API key of the customer. */
	readonly key: string;
	/** Addresses from which the caller fetches the list of entry points. It sends its requests to these addresses if it cannot fetch a list. */
	readonly bootstrapAddresses: readonly string[];
	readonly seed: number;
	/** Returns the time since the start of the replay, in milliseconds. */
	readonly nowMs: () => number;
};

/** Maximum time until the headers of an answer arrive, in milliseconds. */
const headersTimeoutMs = 15_000;
/** Maximum time between two parts of the body of an answer, in milliseconds. */
const bodyTimeoutMs = 10_000;
/** Timeout of a request for the list of entry points, in milliseconds. */
const entryPointTimeoutMs = 2000;
/** Maximum number of times that one request is sent. */
const maxAttempts = 4;

type AttemptResult = Partial<Pick<Outcome, 'firstMs' | 'status' | 'code'>> & {
	readonly kind: OutcomeKind;
	readonly gapsMs?: readonly number[];
	readonly outputTokens?: number;
};

/** Error of a broken connection. `wasSent` is false only if the connection was never established, so that no byte of the request was sent. */
class ConnectionBrokenError extends Error {
	constructor(readonly code: string, readonly wasSent: boolean) {
		super(code);
	}
}

function toConnectionBrokenError(err: unknown): ConnectionBrokenError {
	if (err instanceof ConnectionBrokenError) {
		return err;
	}

	const code = (err as {code?: string}).code ?? 'connection-broken';
	return new ConnectionBrokenError(code, code !== 'ECONNREFUSED' && code !== 'UND_ERR_CONNECT_TIMEOUT');
}

/** Client of one customer: fetches the list of entry points, sends requests to them directly and verifies the content of every answer. */
export class Caller implements Disposable {
	private readonly _agent = new Agent({connections: 256, pipelining: 1, connectTimeout: 2000});
	private readonly _random: SeededRandom;
	private _cachedEntryPoints: {readonly value: EntryPointAnswer; readonly expiresMs: number} | undefined;
	private _pendingRefresh: Promise<void> | undefined;
	private readonly _brokenAddresses = new Set<string>();

	constructor(private readonly _options: CallerOptions) {
		this._random = new SeededRandom(_options.seed);
	}

	/** Sends a request and resolves with its outcome; never rejects. Sends the request again after a broken connection if the request cannot have run or may safely run twice. */
	async send(req: TraceRequest): Promise<Outcome> {
		const sentMs = this._options.nowMs();
		const abort = new AbortController();
		const timer = req.cancelAfterMs === undefined
			? undefined
			: setTimeout(() => {
				abort.abort();
			}, req.cancelAfterMs);
		const attempts: Attempt[] = [];
		let result: AttemptResult = {kind: 'unknown'};
		while (attempts.length < maxAttempts) {
			const address = await this._pickEntryPoint();
			const attemptMs = this._options.nowMs();
			const endAttempt = (isBroken: boolean): void => {
				attempts.push({sentMs: attemptMs, endMs: this._options.nowMs(), isBroken});
			};

			try {
				result = await (req.kind === 'model' ? this._sendModel(req, address, abort.signal) : this._sendPlain(req, address, abort.signal));
				endAttempt(false);
				break;
			} catch (err) {
				endAttempt(!abort.signal.aborted);
				if (abort.signal.aborted) {
					result = {kind: 'cancelled'};
					break;
				}

				const connectionError = toConnectionBrokenError(err);
				result = {kind: connectionError.wasSent ? 'unknown' : 'refused', code: connectionError.code};
				this._avoidAddress(address);
				if (connectionError.wasSent && !this._mayResend(req)) {
					break;
				}
			}
		}

		clearTimeout(timer);
		return {
			request: req, sentMs, endMs: this._options.nowMs(), gapsMs: [], outputTokens: 0, attempts, ...result,
		};
	}

	async dispose(): Promise<void> {
		await this._agent.destroy();
	}

	private _mayResend(req: TraceRequest): boolean {
		return req.kind === 'model' || req.isIdempotent || req.idempotencyKey !== undefined;
	}

	private async _pickEntryPoint(): Promise<string> {
		if (!this._cachedEntryPoints || this._cachedEntryPoints.expiresMs <= this._options.nowMs()) {
			this._pendingRefresh ??= this._refreshEntryPoints();
			await this._pendingRefresh;
		}

		const addresses = this._cachedEntryPoints?.value.entryPoints.map(({address}) => address) ?? this._options.bootstrapAddresses;
		const usableAddresses = addresses.filter(address => !this._brokenAddresses.has(address));
		return this._random.pick(usableAddresses.length > 0 ? usableAddresses : addresses);
	}

	/** Fetches the list of entry points; concurrent requests share one fetch. */
	private async _refreshEntryPoints(): Promise<void> {
		try {
			await this._fetchEntryPoints();
		} finally {
			this._pendingRefresh = undefined;
		}
	}

	/** Asks the bootstrap addresses in random order until one returns entry points. Leaves the cached list unchanged if none does. */
	private async _fetchEntryPoints(): Promise<void> {
		const candidates = [...this._options.bootstrapAddresses].sort(() => this._random.next() - 0.5);
		for (const address of candidates) {
			try {
				const requestedMs = this._options.nowMs();
				const res = await request(`http://${address}/v1/entry-points?tenant=${this._options.tenant}`, {
					dispatcher: this._agent, headersTimeout: entryPointTimeoutMs, bodyTimeout: entryPointTimeoutMs,
				});
				const value = entryPointAnswerSchema.parse(await res.body.json());
				if (value.entryPoints.length > 0) {
					this._cachedEntryPoints = {value, expiresMs: requestedMs + value.validForMs};
					this._brokenAddresses.clear();
					return;
				}
			} catch {
				// The address is unreachable or its answer is invalid, so the next address is tried.
			}
		}
	}

	/** Avoids an address until the entry points are fetched again. Drops the cached list once all of its addresses are avoided, so that the next request fetches a new one. */
	private _avoidAddress(address: string): void {
		this._brokenAddresses.add(address);
		if (this._cachedEntryPoints?.value.entryPoints.every(point => this._brokenAddresses.has(point.address))) {
			this._cachedEntryPoints = undefined;
		}
	}

	private _buildHeaders(req: TraceRequest): Record<string, string> {
		const isOpen = req.kind === 'plain' && req.isOpen;
		return {
			...(!isOpen && {authorization: `Bearer ${this._options.key}`}),
			'x-request-id': req.id,
			...(req.kind === 'plain' && req.idempotencyKey !== undefined && {'idempotency-key': req.idempotencyKey}),
			...((req.kind === 'model' || req.method === 'POST') && {'content-type': 'application/json'}),
		};
	}

	private async _readRefusal(res: Dispatcher.ResponseData): Promise<AttemptResult> {
		const text = await res.body.text();
		let problem: {code?: string; run?: string} = {};
		try {
			problem = JSON.parse(text) as typeof problem;
		} catch {
			// Without a problem document nothing states that the request was not run, so the outcome is unknown.
		}

		return {kind: problem.run === 'not-run' ? 'refused' : 'unknown', status: res.statusCode, code: problem.code ?? 'no-problem-document'};
	}

	private async _sendPlain(req: PlainTraceRequest, address: string, signal: AbortSignal): Promise<AttemptResult> {
		const query = req.method === 'GET' ? `?ref=${req.ref}` : '';
		const res = await request(`http://${address}/s/${req.service}${req.path}${query}`, {
			method: req.method,
			dispatcher: this._agent,
			headers: this._buildHeaders(req),
			...(req.method === 'POST' && {body: JSON.stringify({ref: req.ref, item: req.path})}),
			signal,
			headersTimeout: headersTimeoutMs,
			bodyTimeout: bodyTimeoutMs,
		});
		const firstMs = this._options.nowMs();
		if (res.statusCode >= 300) {
			return this._readRefusal(res);
		}

		const text = await res.body.text();
		return {kind: this._checkPlainAnswer(req, text), firstMs, status: res.statusCode};
	}

	private _checkPlainAnswer(req: PlainTraceRequest, text: string): OutcomeKind {
		try {
			const {ref, path} = JSON.parse(text) as {ref?: string; path?: string};
			return ref === req.ref && path === req.path ? 'complete' : 'crossed';
		} catch {
			return 'incomplete';
		}
	}

	private async _sendModel(req: ModelTraceRequest, address: string, signal: AbortSignal): Promise<AttemptResult> {
		const res = await request(`http://${address}/v1/chat/completions`, {
			method: 'POST',
			dispatcher: this._agent,
			headers: this._buildHeaders(req),
			body: JSON.stringify({
				model: req.service, messages: [{role: 'user', content: buildPrompt(req)}], max_tokens: req.maxTokens, stream: true, // eslint-disable-line @typescript-eslint/naming-convention -- field of the chat API
			}),
			signal,
			headersTimeout: headersTimeoutMs,
			bodyTimeout: bodyTimeoutMs,
		});
		if (res.statusCode !== 200) {
			return this._readRefusal(res);
		}

		return this._readStream(req, res);
	}

	private async _readStream(req: ModelTraceRequest, res: Dispatcher.ResponseData): Promise<AttemptResult> {
		const tokenTimesMs: number[] = [];
		let text = '';
		for await (const data of readSseData(res.body)) {
			if (data === '[DONE]') {
				const gapsMs = tokenTimesMs.slice(1).map((time, index) => time - tokenTimesMs[index]!);
				return {
					kind: checkModelAnswer(req, text), ...(tokenTimesMs[0] !== undefined && {firstMs: tokenTimesMs[0]}), gapsMs, outputTokens: tokenTimesMs.length, status: 200,
				};
			}

			const event = JSON.parse(data) as {choices?: Array<{delta?: {content?: string}}>; error?: {code?: string}; code?: string};
			if (event.error !== undefined || event.choices === undefined) {
				throw new ConnectionBrokenError(event.error?.code ?? event.code ?? 'stream-error', true);
			}

			const content = event.choices[0]?.delta?.content ?? '';
			if (content !== '') {
				text += content;
				tokenTimesMs.push(this._options.nowMs());
			}
		}

		throw new ConnectionBrokenError('stream-ended-early', true);
	}
}

/** Compares an answer that was presented as complete with the text that the fake engines generate for this request. Returns `complete` if they are equal, `incomplete` if the answer contains only reply tokens of this text, and `crossed` otherwise. */
export function checkModelAnswer({id, maxTokens}: Pick<ModelTraceRequest, 'id' | 'maxTokens'>, text: string): OutcomeKind {
	const expected = expectedAnswer(id, maxTokens);
	if (text === expected) {
		return 'complete';
	}

	const expectedTokens = expected.split(' ');
	const tokens = text.split(' ');
	const last = tokens.pop()!;
	const expectedTokenSet = new Set(expectedTokens);
	// The last token of the answer may be truncated, so it only has to be the start of an expected token.
	const isOwnAnswer = tokens.every(token => expectedTokenSet.has(token)) && expectedTokens.some(token => token.startsWith(last));
	return isOwnAnswer ? 'incomplete' : 'crossed';
}
