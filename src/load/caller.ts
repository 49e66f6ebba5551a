import {Agent, request} from 'undici';
import type {Dispatcher} from 'undici';
import {expectedAnswer} from '../../fakes/answer.js';
import {SeededRandom} from '../common/core/random.js';
import type {Disposable} from '../common/core/disposable.js';
import {entryPointAnswerSchema} from '../common/services/entry-point-service.js';
import type {EntryPointAnswer} from '../common/services/entry-point-service.js';
import type {Attempt, Outcome, OutcomeKind} from './outcome.js';
import {buildPrompt} from './prompts.js';
import {sseData} from './sse.js';
import type {ModelTraceRequest, PlainTraceRequest, TraceRequest} from './trace.js';

export type CallerOptions = {
	readonly tenant: string;
	readonly key: string;
	/** Addresses that the caller knows from the start. */
	readonly bootstrap: readonly string[];
	readonly seed: number;
	/** Milliseconds since the start of the replay. */
	readonly nowMs: () => number;
};

/** A caller's patience for the first byte of an answer, and for each further part, in milliseconds. */
const headersTimeoutMs = 15_000;
const bodyTimeoutMs = 10_000;
const entryPointTimeoutMs = 2000;
const maxAttempts = 4;

type Result = Partial<Pick<Outcome, 'firstMs' | 'status' | 'code'>> & {
	readonly kind: OutcomeKind;
	readonly gapsMs?: readonly number[];
	readonly outputTokens?: number;
};

/** A connection that broke; `wasSent` is false only where no byte of the request can have left. */
class Broken extends Error {
	constructor(readonly code: string, readonly wasSent: boolean) {
		super(code);
	}
}

function toBroken(err: unknown): Broken {
	if (err instanceof Broken) {
		return err;
	}

	const code = (err as {code?: string}).code ?? 'connection-broken';
	return new Broken(code, code !== 'ECONNREFUSED' && code !== 'UND_ERR_CONNECT_TIMEOUT');
}

/** The callers of one tenant: they ask for entry points, connect directly, and check every answer. */
export class Caller implements Disposable {
	private readonly _agent = new Agent({connections: 256, pipelining: 1, connectTimeout: 2000});
	private readonly _random: SeededRandom;
	private _answer: {readonly value: EntryPointAnswer; readonly untilMs: number} | undefined;
	private _asking: Promise<void> | undefined;
	private readonly _broken = new Set<string>();

	constructor(private readonly _options: CallerOptions) {
		this._random = new SeededRandom(_options.seed);
	}

	/** Sends a request, again on another connection where that is allowed, and never rejects. */
	async send(req: TraceRequest): Promise<Outcome> {
		const sentMs = this._options.nowMs();
		const abort = new AbortController();
		const timer = req.cancelAfterMs === undefined
			? undefined
			: setTimeout(() => {
				abort.abort();
			}, req.cancelAfterMs);
		const attempts: Attempt[] = [];
		let result: Result = {kind: 'unknown'};
		while (attempts.length < maxAttempts) {
			const address = await this._entryPoint();
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

				const broken = toBroken(err);
				result = {kind: broken.wasSent ? 'unknown' : 'refused', code: broken.code};
				this._forget(address);
				if (broken.wasSent && !this._mayResend(req)) {
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

	private async _entryPoint(): Promise<string> {
		if (!this._answer || this._answer.untilMs <= this._options.nowMs()) {
			this._asking ??= this._ask();
			await this._asking;
		}

		const known = this._answer?.value.entryPoints.map(({address}) => address) ?? this._options.bootstrap;
		const usable = known.filter(address => !this._broken.has(address));
		return this._random.pick(usable.length > 0 ? usable : known);
	}

	/** Asks the known addresses in a random order until one answers. */
	private async _ask(): Promise<void> {
		try {
			await this._askEach();
		} finally {
			this._asking = undefined;
		}
	}

	private async _askEach(): Promise<void> {
		const candidates = [...this._options.bootstrap].sort(() => this._random.next() - 0.5);
		for (const address of candidates) {
			try {
				const askedMs = this._options.nowMs();
				const res = await request(`http://${address}/v1/entry-points?tenant=${this._options.tenant}`, {
					dispatcher: this._agent, headersTimeout: entryPointTimeoutMs, bodyTimeout: entryPointTimeoutMs,
				});
				const value = entryPointAnswerSchema.parse(await res.body.json());
				if (value.entryPoints.length > 0) {
					this._answer = {value, untilMs: askedMs + value.validForMs};
					this._broken.clear();
					return;
				}
			} catch {
				// The next address may answer.
			}
		}
	}

	/** After a broken connection the address is avoided until the next answer, which is asked for soon. */
	private _forget(address: string): void {
		this._broken.add(address);
		if (this._answer?.value.entryPoints.every(point => this._broken.has(point.address))) {
			this._answer = undefined;
		}
	}

	private _headers(req: TraceRequest): Record<string, string> {
		const isOpen = req.kind === 'plain' && req.isOpen;
		return {
			...(!isOpen && {authorization: `Bearer ${this._options.key}`}),
			'x-request-id': req.id,
			...(req.kind === 'plain' && req.idempotencyKey !== undefined && {'idempotency-key': req.idempotencyKey}),
			...((req.kind === 'model' || req.method === 'POST') && {'content-type': 'application/json'}),
		};
	}

	private async _refusal(res: Dispatcher.ResponseData): Promise<Result> {
		const text = await res.body.text();
		let problem: {code?: string; run?: string} = {};
		try {
			problem = JSON.parse(text) as typeof problem;
		} catch {
			// An answer that is no problem document makes no promise, so the outcome is unknown.
		}

		return {kind: problem.run === 'not-run' ? 'refused' : 'unknown', status: res.statusCode, code: problem.code ?? 'no-problem-document'};
	}

	private async _sendPlain(req: PlainTraceRequest, address: string, signal: AbortSignal): Promise<Result> {
		const query = req.method === 'GET' ? `?ref=${req.ref}` : '';
		const res = await request(`http://${address}/s/${req.service}${req.path}${query}`, {
			method: req.method,
			dispatcher: this._agent,
			headers: this._headers(req),
			...(req.method === 'POST' && {body: JSON.stringify({ref: req.ref, item: req.path})}),
			signal,
			headersTimeout: headersTimeoutMs,
			bodyTimeout: bodyTimeoutMs,
		});
		const firstMs = this._options.nowMs();
		if (res.statusCode >= 300) {
			return this._refusal(res);
		}

		const text = await res.body.text();
		return {kind: this._checkPlain(req, text), firstMs, status: res.statusCode};
	}

	private _checkPlain(req: PlainTraceRequest, text: string): OutcomeKind {
		try {
			const {ref, path} = JSON.parse(text) as {ref?: string; path?: string};
			return ref === req.ref && path === req.path ? 'complete' : 'crossed';
		} catch {
			return 'incomplete';
		}
	}

	private async _sendModel(req: ModelTraceRequest, address: string, signal: AbortSignal): Promise<Result> {
		const res = await request(`http://${address}/v1/chat/completions`, {
			method: 'POST',
			dispatcher: this._agent,
			headers: this._headers(req),
			body: JSON.stringify({
				model: req.service, messages: [{role: 'user', content: buildPrompt(req)}], max_tokens: req.maxTokens, stream: true, // eslint-disable-line @typescript-eslint/naming-convention -- field of the chat API
			}),
			signal,
			headersTimeout: headersTimeoutMs,
			bodyTimeout: bodyTimeoutMs,
		});
		if (res.statusCode !== 200) {
			return this._refusal(res);
		}

		return this._readStream(req, res);
	}

	private async _readStream(req: ModelTraceRequest, res: Dispatcher.ResponseData): Promise<Result> {
		const times: number[] = [];
		let text = '';
		for await (const data of sseData(res.body)) {
			if (data === '[DONE]') {
				const gapsMs = times.slice(1).map((time, index) => time - times[index]!);
				return {
					kind: checkModel(req, text), ...(times[0] !== undefined && {firstMs: times[0]}), gapsMs, outputTokens: times.length, status: 200,
				};
			}

			const event = JSON.parse(data) as {choices?: Array<{delta?: {content?: string}}>; error?: {code?: string}; code?: string};
			if (event.error !== undefined || event.choices === undefined) {
				throw new Broken(event.error?.code ?? event.code ?? 'stream-error', true);
			}

			const content = event.choices[0]?.delta?.content ?? '';
			if (content !== '') {
				text += content;
				times.push(this._options.nowMs());
			}
		}

		throw new Broken('stream-ended-early', true);
	}
}

/** Compares an answer that was presented as complete with the one that the engines generate for this request. */
export function checkModel({id, maxTokens}: Pick<ModelTraceRequest, 'id' | 'maxTokens'>, text: string): OutcomeKind {
	const expected = expectedAnswer(id, maxTokens);
	if (text === expected) {
		return 'complete';
	}

	const expectedTokens = expected.split(' ');
	const tokens = text.split(' ');
	const last = tokens.pop()!;
	const known = new Set(expectedTokens);
	// The last token may be cut off.
	const isOwn = tokens.every(token => known.has(token)) && expectedTokens.some(token => token.startsWith(last));
	return isOwn ? 'incomplete' : 'crossed';
}
