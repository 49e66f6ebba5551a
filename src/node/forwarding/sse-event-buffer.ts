import {Buffer} from 'node:buffer';
import {ByteBlocks} from '../../common/memory/byte-blocks.js';
import {CallError} from '../upstreams/call-error.js';
import type {SseEventTracker} from './sse-event-tracker.js';

/** Maximum size of an incomplete event, in bytes. Events have a few hundred bytes; a faulty server may send bytes without ever ending an event. */
export const maxPartialEventBytes = 262_144;

/** Divides a stream of server-sent events (SSE) at event boundaries: passes complete events on and keeps an incomplete one until it ends. */
export class SseEventBuffer {
	private readonly _partialEvent = new ByteBlocks();

	constructor(private readonly _tracker: SseEventTracker) {}

	/** Whether an incomplete event is kept. If this is true at the end of the stream, the stream broke off within an event. */
	get hasPartialEvent(): boolean {
		return this._partialEvent.length > 0;
	}

	/** Memory of the incomplete event, in bytes. */
	get partialBytes(): number {
		return this._partialEvent.capacity;
	}

	/** Why the stream cannot continue after the events returned so far; undefined while it can. */
	get fault(): string | undefined {
		return this._tracker.fault;
	}

	/**
	Processes the next bytes of the stream. Returns the bytes of all events that are complete now. Throws `CallError` if an
	incomplete event is larger than `maxPartialEventBytes`.
	*/
	push(chunk: Uint8Array): Uint8Array {
		const end = this._tracker.push(chunk);
		const completeEvents = end > 0 ? Buffer.concat([this._partialEvent.take(), chunk.subarray(0, end)]) : new Uint8Array();
		if (end < chunk.length) {
			this._partialEvent.append(chunk.subarray(end));
		}

		if (this._partialEvent.length > maxPartialEventBytes) {
			throw new CallError('broken', true, `an event has more than ${maxPartialEventBytes} bytes`);
		}

		return completeEvents;
	}
}
