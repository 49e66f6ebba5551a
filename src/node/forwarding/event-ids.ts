/** Longest line of an event that is remembered, in bytes; ids are short. */
const maxLineBytes = 4096;

/**
Follows a stream of server-sent events without changing its bytes: tells where the last whole event ends and its id, so
that a stream that breaks off within an event can go on behind the one before.
*/
export class EventIds {
	/** Id of the last whole event. */
	lastId: string | undefined;
	events = 0;
	private _line = '';
	private _pendingId: string | undefined;
	private _isEmptyEvent = true;

	/** Takes the next bytes; returns how many of them belong to whole events. */
	push(chunk: Uint8Array): number {
		let whole = 0;
		for (const [i, byte] of chunk.entries()) {
			if (byte !== 10) {
				this._line += this._line.length < maxLineBytes ? String.fromCodePoint(byte) : '';
				continue;
			}

			if (this._endLine()) {
				whole = i + 1;
			}
		}

		return whole;
	}

	/** Forgets a part of an event, when the stream goes on from another server. */
	restart(): void {
		this._line = '';
		this._pendingId = undefined;
		this._isEmptyEvent = true;
	}

	/** Returns whether the line ended an event. */
	private _endLine(): boolean {
		const line = this._line.endsWith('\r') ? this._line.slice(0, -1) : this._line;
		this._line = '';
		if (line === '') {
			const isEvent = !this._isEmptyEvent;
			this.lastId = this._pendingId ?? this.lastId;
			this.events += isEvent ? 1 : 0;
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
