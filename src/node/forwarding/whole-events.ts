import {Buffer} from 'node:buffer';
import {CallError} from '../upstreams/call-error.js';
import type {EventIds} from './event-ids.js';

/** Largest part of an event that is kept until the event ends, in bytes; events are a few hundred bytes, and a server in trouble may send bytes without end. */
export const maxPartBytes = 262_144;

/** Passes on whole events of a stream and keeps the part of the last one until it ends. */
export class WholeEvents {
	private readonly _part: Uint8Array[] = [];
	private _partBytes = 0;

	constructor(private readonly _ids: EventIds) {}

	/** Whether the stream ended within an event. */
	get hasPart(): boolean {
		return this._partBytes > 0;
	}

	/** Takes the next bytes; returns those of the events that are whole now. Throws `CallError` when an event does not end. */
	push(chunk: Uint8Array): Uint8Array {
		const end = this._ids.push(chunk);
		const whole = end > 0 ? Buffer.concat([...this._part.splice(0), chunk.subarray(0, end)]) : new Uint8Array();
		this._partBytes = (end > 0 ? 0 : this._partBytes) + chunk.length - end;
		if (end < chunk.length) {
			this._part.push(chunk.subarray(end));
		}

		if (this._partBytes > maxPartBytes) {
			throw new CallError('broken', true, `an event has more than ${maxPartBytes} bytes`);
		}

		return whole;
	}
}
