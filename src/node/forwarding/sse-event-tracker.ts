/** Maximum number of bytes that are kept of a line; only lines with an event id are evaluated to their end, and these are short. */
const maxLineBytes = 4096;
/** Start of a line of an event: a field name, which ends with a colon or the line, or the colon of a comment. */
const linePattern = /^(?:[a-z][a-z-]*)?(?::|$)/;
const wholeNumberPattern = /^\d{1,15}$/;

/**
Tracks the events of a stream of server-sent events (SSE) without changing its bytes. Reports the end and the id of the last
complete event, so that a stream that breaks off within an event can resume after the last complete one. Each event but a comment
must have an id that follows the one before, so that nothing else that a server writes passes as a part of the stream.
*/
export class SseEventTracker {
	/** Id of the last complete event that carried an id. */
	lastEventId: string | undefined;
	/** Number of complete events, including those that consist only of comments. */
	eventCount = 0;
	/** Why the stream cannot continue: what followed the last complete event is no further event. Undefined while it can. */
	fault: string | undefined;
	private _currentLine = '';
	private _hasFields = false;
	private _pendingId: string | undefined;
	private _isEmptyEvent = true;

	/** Processes the next bytes of the stream. Returns how many bytes of `chunk` belong to events that are complete now. Ignores all bytes after a fault. */
	push(chunk: Uint8Array): number {
		let completeBytes = 0;
		for (const [i, byte] of chunk.entries()) {
			if (this.fault !== undefined) {
				break;
			}

			if (byte !== 10) {
				this._currentLine += this._currentLine.length < maxLineBytes ? String.fromCodePoint(byte) : '';
				continue;
			}

			if (this._endLine()) {
				completeBytes = i + 1;
			}
		}

		return completeBytes;
	}

	/** Discards the bytes of an incomplete event, so that the stream can resume from another server. */
	discardPartialEvent(): void {
		this.fault = undefined;
		this._startEvent();
	}

	/** Processes a complete line. Returns whether it ended an event. */
	private _endLine(): boolean {
		const line = this._currentLine.endsWith('\r') ? this._currentLine.slice(0, -1) : this._currentLine;
		this._currentLine = '';
		if (line === '') {
			return this._endEvent();
		}

		if (!linePattern.test(line)) {
			this.fault = 'a line is no field of an event';
			return false;
		}

		this._isEmptyEvent = false;
		this._hasFields ||= !line.startsWith(':');
		if (line.startsWith('id:')) {
			this._pendingId = line.slice(3).trim();
		}

		return false;
	}

	/** Processes the end of an event. Returns whether the event is valid. */
	private _endEvent(): boolean {
		if (this._hasFields && !this._isNextId(this._pendingId)) {
			this.fault = `an event with the id ${this._pendingId ?? 'none'} follows the event ${this.lastEventId ?? 'none'}`;
			return false;
		}

		this.lastEventId = this._pendingId ?? this.lastEventId;
		this.eventCount += this._isEmptyEvent ? 0 : 1;
		this._startEvent();
		return true;
	}

	/** Returns whether an event with this id may follow the last one: ids that are numbers increase, and no id follows itself. */
	private _isNextId(id: string | undefined): boolean {
		const last = this.lastEventId;
		if (id === undefined || last === undefined) {
			return id !== undefined;
		}

		return wholeNumberPattern.test(id) && wholeNumberPattern.test(last) ? Number(id) > Number(last) : id !== last;
	}

	private _startEvent(): void {
		this._currentLine = '';
		this._hasFields = false;
		this._pendingId = undefined;
		this._isEmptyEvent = true;
	}
}
