import type {Usage} from '../../common/upstreams/engine-api.js';
import type {CompletionHead, FinishReason} from './chat.js';
import {
	completionBody, errorChunk, finalChunks, textChunk,
} from './chat.js';
import type {Exchange} from './exchange.js';
import type {Problem} from './problems.js';

/** Writes a model's answer in one of the two forms of the caller API. */
export abstract class AnswerSink {
	constructor(protected readonly _exchange: Exchange, protected readonly _head: CompletionHead) {}

	/** Resolves when the caller can take more. */
	abstract text(text: string): Promise<void>;
	/** Drops the text so far; only a sink that has shown none to the caller is asked to. */
	abstract restart(): void;
	abstract complete(finishReason: FinishReason, usage: Usage): void;
	abstract refuse(problem: Problem): void;
}

/** Sends each piece of text as a server-sent event. */
export class StreamSink extends AnswerSink {
	private _isFirst = true;

	constructor(exchange: Exchange, head: CompletionHead, private readonly _includeUsage: boolean) {
		super(exchange, head);
	}

	override async text(text: string): Promise<void> {
		const chunk = textChunk(this._head, text, this._isFirst);
		this._start();
		await this._exchange.write(chunk);
	}

	override restart(): void {
		// Nothing was sent, so nothing is dropped.
	}

	override complete(finishReason: FinishReason, usage: Usage): void {
		this._start();
		this._exchange.res.end(finalChunks(this._head, finishReason, this._includeUsage ? usage : undefined));
	}

	/** Behind the first text the refusal becomes an event, and the stream ends without its end marker. */
	override refuse(problem: Problem): void {
		if (this._isFirst) {
			this._exchange.sendProblem(problem);
			return;
		}

		this._exchange.closeAfterAnswer();
		this._exchange.res.end(errorChunk(problem.body));
	}

	private _start(): void {
		if (this._isFirst && !this._exchange.res.destroyed) {
			this._isFirst = false;
			this._exchange.writeHead(200, ['content-type', 'text/event-stream; charset=utf-8', 'cache-control', 'no-cache']);
		}
	}
}

/** Collects the text and sends one JSON document. */
export class DocumentSink extends AnswerSink {
	private _text = '';

	override async text(text: string): Promise<void> {
		this._text += text;
	}

	override restart(): void {
		this._text = '';
	}

	override complete(finishReason: FinishReason, usage: Usage): void {
		this._exchange.send(200, {'content-type': 'application/json'}, completionBody(this._head, this._text, finishReason, usage));
	}

	override refuse(problem: Problem): void {
		this._exchange.sendProblem(problem);
	}
}
