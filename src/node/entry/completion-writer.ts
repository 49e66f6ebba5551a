import type {Usage} from '../../common/upstreams/engine-api.js';
import type {CompletionMetadata, FinishReason} from './chat-completions.js';
import {
	formatCompletion, formatErrorChunk, formatFinalChunks, formatTextChunk,
} from './chat-completions.js';
import type {Exchange} from './exchange.js';
import type {Problem} from './problems.js';

/** Writes a chat completion to the caller, either as a stream or as a single JSON document. */
export abstract class CompletionWriter {
	constructor(protected readonly _exchange: Exchange, protected readonly _metadata: CompletionMetadata) {}

	/** Sends or collects a piece of text; resolves when more text can be accepted. */
	abstract writeText(text: string): Promise<void>;
	/** Discards the text written so far. Must not be called once text has been sent to the caller. */
	abstract discardText(): void;
	abstract complete(finishReason: FinishReason, usage: Usage): void;
	abstract sendProblem(problem: Problem): void;
}

/** Sends each piece of text as a server-sent event. */
export class StreamingCompletionWriter extends CompletionWriter {
	private _isFirstChunk = true;

	constructor(exchange: Exchange, metadata: CompletionMetadata, private readonly _includeUsage: boolean) {
		super(exchange, metadata);
	}

	override async writeText(text: string): Promise<void> {
		const chunk = formatTextChunk(this._metadata, text, this._isFirstChunk);
		this._ensureHeadWritten();
		await this._exchange.write(chunk);
	}

	override discardText(): void {
		// No text is buffered, so there is nothing to discard.
	}

	override complete(finishReason: FinishReason, usage: Usage): void {
		this._ensureHeadWritten();
		this._exchange.res.end(formatFinalChunks(this._metadata, finishReason, this._includeUsage ? usage : undefined));
	}

	/** Sends the problem as the response or, if the stream has begun, as an event that ends it without an end marker. */
	override sendProblem(problem: Problem): void {
		if (this._isFirstChunk) {
			this._exchange.sendProblem(problem);
			return;
		}

		this._exchange.closeAfterResponse();
		this._exchange.res.end(formatErrorChunk(problem.body));
	}

	private _ensureHeadWritten(): void {
		if (this._isFirstChunk && !this._exchange.res.destroyed) {
			this._isFirstChunk = false;
			this._exchange.writeHead(200, ['content-type', 'text/event-stream; charset=utf-8', 'cache-control', 'no-cache']);
		}
	}
}

/** Collects the text and sends the completion as a single JSON document. */
export class JsonCompletionWriter extends CompletionWriter {
	private _text = '';

	override async writeText(text: string): Promise<void> {
		this._text += text;
	}

	override discardText(): void {
		this._text = '';
	}

	override complete(finishReason: FinishReason, usage: Usage): void {
		this._exchange.send(200, {'content-type': 'application/json'}, formatCompletion(this._metadata, this._text, finishReason, usage));
	}

	override sendProblem(problem: Problem): void {
		this._exchange.sendProblem(problem);
	}
}
