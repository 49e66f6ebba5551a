/** Maximum number of bytes that are kept of a line; only lines with an event id are evaluated, and these are short. */
const maxLineBytes = 4096;

/**
Tracks the events of a stream of server-sent events (SSE) without changing its bytes. Reports the end and the id of the last
complete event, so that a stream that breaks off within an event can resume after the last complete one.
*/
export class SseEventTracker {
	/** Id of the last complete event that carried an id. */
	lastEventId: string | undefined;
	/** Number of complete events, including those that consist only of comments. */
	eventCount = 0;
	private _currentLine = '';
	private _pendingId: string | undefined;
	private _isEmptyEvent = true;

	/** Processes the next bytes of the stream. Returns how many bytes of `chunk` belong to events that are complete now. */
	push(chunk: Uint8Array): number {
		let completeBytes = 0;
		for (const [i, byte] of chunk.entries()) {
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
		this._currentLine = '';
		this._pendingId = undefined;
		this._isEmptyEvent = true;
	}

	/** Processes a complete line. Returns whether it ended an event. */
	private _endLine(): boolean {
		const line = this._currentLine.endsWith('\r') ? this._currentLine.slice(0, -1) : this._currentLine;
		this._currentLine = '';
		if (line === '') {
			const isEvent = !this._isEmptyEvent;
			this.lastEventId = this._pendingId ?? this.lastEventId;
			this.eventCount += isEvent ? 1 : 0;
			this._pendingId = undefined;
			this._isEmptyEvent = true;
			return true;
		}

		this._isEmptyEvent = false;
		if (line.startsWith('id:')) {
			this._pendingId = line.slice(3).trim();
		}

		return false;
	}
}
