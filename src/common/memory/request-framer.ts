const carriageReturn = 13;
const lineFeed = 10;
const semicolon = 59;
/** The bytes that end the head of a request. */
const headEnd = [carriageReturn, lineFeed, carriageReturn, lineFeed];
/** Size of a chunk above which digits no longer count, in bytes; the parser refuses the message. */
const maxChunkSize = 2 ** 48;

/** Events that a whole head counts as: a request costs about as much processor time as the parsing of so many chunks. */
const headEvents = 64;

/** How the body of a request is framed; `length` is in bytes. */
export type BodyFraming = {readonly kind: 'length'; readonly length: number} | {readonly kind: 'chunked'};

/** A part of the stream that can be passed to the parser. */
export type Part = {
	/** Number of bytes. */
	readonly length: number;
	/** Measure of the work that they cause: the pieces of a body that the parser will report, and `headEvents` for a head. */
	readonly events: number;
};

/**
Finds where the parts of HTTP/1.1 requests end in the bytes of a connection, so that the parser can be given a part at a time. The parser alone
decides what a message means: a wrong guess here only changes how many bytes it gets at once.
*/
export class RequestFramer {
	private _state: 'head' | 'counted' | 'chunk-size' | 'chunk-extension' | 'chunk-data' | 'chunk-end' | 'trailer' | 'ended' = 'head';
	private _matchedHeadEnd = 0;
	/** Bytes left of the body or of the chunk. */
	private _left = 0;
	private _lineLength = 0;

	/** Whether all bytes of the request have been taken. */
	get isEnded(): boolean {
		return this._state === 'ended';
	}

	/** Whether the next bytes belong to a head. */
	get isInHead(): boolean {
		return this._state === 'head';
	}

	/** Begins the next request. */
	beginHead(): void {
		this._state = 'head';
		this._matchedHeadEnd = 0;
	}

	/** Begins the body of a request whose head the parser has reported. */
	beginBody(framing: BodyFraming): void {
		this._left = framing.kind === 'length' ? framing.length : 0;
		this._state = framing.kind === 'length' ? 'counted' : 'chunk-size';
		if (framing.kind === 'length' && framing.length === 0) {
			this._state = 'ended';
		}
	}

	/** Takes the longest part at the start of `bytes` that goes beyond the end of neither a head nor a request, and has at most `maxEvents` chunks. Must not be called when the request has ended. */
	take(bytes: Uint8Array, maxEvents: number): Part {
		if (this._state === 'head') {
			return this._takeHead(bytes);
		}

		return this._state === 'counted' ? {length: this._takeCounted(bytes, 'ended'), events: 1} : this._takeChunks(bytes, maxEvents);
	}

	private _takeHead(bytes: Uint8Array): Part {
		let length = 0;
		while (length < bytes.length) {
			if (this._matchedHeadEnd === 0) {
				const found = bytes.indexOf(carriageReturn, length);
				length = found === -1 ? bytes.length : found + 1;
				this._matchedHeadEnd = found === -1 ? 0 : 1;
				continue;
			}

			const byte = bytes[length++];
			const isNext = byte === headEnd[this._matchedHeadEnd];
			this._matchedHeadEnd = isNext ? this._matchedHeadEnd + 1 : Number(byte === carriageReturn);
			if (this._matchedHeadEnd === headEnd.length) {
				this._matchedHeadEnd = 0;
				return {length, events: headEvents};
			}
		}

		return {length, events: 1};
	}

	private _takeCounted(bytes: Uint8Array, next: 'ended' | 'chunk-end'): number {
		const length = Math.min(this._left, bytes.length);
		this._left -= length;
		if (this._left === 0) {
			this._state = next;
		}

		return length;
	}

	private _takeChunks(bytes: Uint8Array, maxEvents: number): Part {
		let length = 0;
		let events = 0;
		while (length < bytes.length && events < maxEvents && this._state !== 'ended') {
			if (this._state === 'chunk-data') {
				length += this._takeCounted(bytes.subarray(length), 'chunk-end');
				events++;
			} else {
				this._takeFramingByte(bytes[length++]!);
			}
		}

		return {length, events: Math.max(1, events)};
	}

	private _takeFramingByte(byte: number): void {
		if (this._state === 'chunk-size') {
			this._takeSizeByte(byte);
		} else if (this._state === 'trailer') {
			this._takeTrailerByte(byte);
		} else if (byte === lineFeed && this._state === 'chunk-extension') {
			this._endSizeLine();
		} else if (byte === lineFeed) {
			this._state = 'chunk-size';
		}
	}

	private _takeSizeByte(byte: number): void {
		const digit = hexDigit(byte);
		if (digit !== undefined) {
			this._left = Math.min(maxChunkSize, (this._left * 16) + digit);
		} else if (byte === lineFeed) {
			this._endSizeLine();
		} else if (byte === semicolon) {
			this._state = 'chunk-extension';
		}
	}

	private _endSizeLine(): void {
		this._lineLength = 0;
		this._state = this._left === 0 ? 'trailer' : 'chunk-data';
	}

	/** An empty line ends the trailer and the request. */
	private _takeTrailerByte(byte: number): void {
		if (byte === lineFeed) {
			this._state = this._lineLength === 0 ? 'ended' : 'trailer';
			this._lineLength = 0;
		} else if (byte !== carriageReturn) {
			this._lineLength++;
		}
	}
}

function hexDigit(byte: number): number | undefined {
	if (byte >= 48 && byte <= 57) {
		return byte - 48;
	}

	const letter = byte >= 97 ? byte - 32 : byte;
	return letter >= 65 && letter <= 70 ? letter - 55 : undefined;
}
