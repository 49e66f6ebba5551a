import {Buffer} from 'node:buffer';
import {createHmac, timingSafeEqual} from 'node:crypto';
import {Encoder} from 'cbor-x';
import {at, ProtocolError} from '../../common/core/errors.js';

/** Largest payload of a frame, in bytes. */
export const maxPayloadBytes = 1_048_576;
const lengthBytes = 4;
const macBytes = 16;
const headerBytes = lengthBytes + macBytes;

const codec = new Encoder({useRecords: false, mapsAsObjects: true});

/** Keys of the two directions differ, so a frame cannot be reflected to its sender. */
export type Direction = 'to-acceptor' | 'to-dialer';

/** Authenticates the frames of one direction; the running number makes replayed and reordered frames invalid. */
export class FrameSealer {
	private _sequence = 0;

	constructor(private readonly _key: Uint8Array, private readonly _direction: Direction) {}

	/** Builds a frame: length, truncated HMAC-SHA256, payload. Throws `ProtocolError` if the payload is too large. */
	seal(value: unknown): Uint8Array {
		const payload = codec.encode(value);
		if (payload.length > maxPayloadBytes) {
			throw new ProtocolError(`a message of ${payload.length} bytes is over the limit of ${maxPayloadBytes}`, at({step: 'transport.seal'}));
		}

		const frame = Buffer.allocUnsafe(headerBytes + payload.length);
		frame.writeUInt32BE(payload.length, 0);
		frame.set(this._mac(payload), lengthBytes);
		frame.set(payload, headerBytes);
		return frame;
	}

	/** Checks and decodes a payload. Throws `ProtocolError` if it is damaged, replayed or from another key. */
	open(mac: Uint8Array, payload: Uint8Array): unknown {
		if (!timingSafeEqual(mac, this._mac(payload))) {
			throw new ProtocolError('a frame failed authentication', at({step: 'transport.open'}));
		}

		try {
			return codec.decode(payload) as unknown;
		} catch (err) {
			throw new ProtocolError('a frame is not valid CBOR', at({step: 'transport.open', cause: err}));
		}
	}

	private _mac(payload: Uint8Array): Uint8Array {
		const prefix = `${this._direction}:${this._sequence++}:`;
		return createHmac('sha256', this._key).update(prefix).update(payload).digest().subarray(0, macBytes);
	}
}

export type RawFrame = {mac: Uint8Array; payload: Uint8Array};

/** Splits a byte stream into frames; holds at most one incomplete frame. */
export class FrameSplitter {
	private _chunks: Uint8Array[] = [];
	private _buffered = 0;
	private _needed = headerBytes;

	/** Returns the frames that are complete. Throws `ProtocolError` on an oversized length before buffering its payload. */
	push(chunk: Uint8Array): RawFrame[] {
		this._chunks.push(chunk);
		this._buffered += chunk.length;
		const frames: RawFrame[] = [];
		while (this._buffered >= this._needed) {
			const joined = this._chunks.length === 1 ? this._chunks[0]! : Buffer.concat(this._chunks);
			const length = new DataView(joined.buffer, joined.byteOffset).getUint32(0);
			if (length > maxPayloadBytes) {
				throw new ProtocolError(`a frame announces ${length} bytes, over the limit of ${maxPayloadBytes}`, at({step: 'transport.split'}));
			}

			const end = headerBytes + length;
			this._chunks = [joined];
			if (joined.length < end) {
				this._needed = end;
				break;
			}

			frames.push({mac: joined.subarray(lengthBytes, headerBytes), payload: joined.subarray(headerBytes, end)});
			this._chunks = [joined.subarray(end)];
			this._buffered = joined.length - end;
			this._needed = headerBytes;
		}

		return frames;
	}
}
