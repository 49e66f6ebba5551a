import {Buffer} from 'node:buffer';
import {createHmac, timingSafeEqual} from 'node:crypto';
import {Encoder} from 'cbor-x';
import {errorContext, ProtocolError} from '../../common/core/errors.js';

/** Maximum size of a frame's payload, in bytes. */
export const maxPayloadBytes = 1_048_576;
const lengthFieldBytes = 4;
const macBytes = 16;
const headerBytes = lengthFieldBytes + macBytes;

const codec = new Encoder({useRecords: false, mapsAsObjects: true});

/** Direction of a frame. It is part of the authenticated data, so that a frame cannot be reflected to its sender. */
export type FrameDirection = 'to-acceptor' | 'to-dialer';

/** Seals (encodes and authenticates) or opens (verifies and decodes) the frames of one direction of a connection. A sequence number makes replayed and reordered frames invalid. */
export class FrameCodec {
	private _sequence = 0;

	constructor(private readonly _key: Uint8Array, private readonly _direction: FrameDirection) {}

	/** Encodes a value as a frame: payload length, truncated HMAC-SHA256, CBOR payload. Throws `ProtocolError` if the payload is too large. */
	seal(value: unknown): Uint8Array {
		const payload = codec.encode(value);
		if (payload.length > maxPayloadBytes) {
			throw new ProtocolError(`a message of ${payload.length} bytes is over the limit of ${maxPayloadBytes}`, errorContext({step: 'transport.seal'}));
		}

		const frame = Buffer.allocUnsafe(headerBytes + payload.length);
		frame.writeUInt32BE(payload.length, 0);
		frame.set(this._mac(payload), lengthFieldBytes);
		frame.set(payload, headerBytes);
		return frame;
	}

	/** Verifies and decodes a payload. Throws `ProtocolError` if the payload was corrupted, replayed, or authenticated with another key, or is not valid CBOR. */
	open(mac: Uint8Array, payload: Uint8Array): unknown {
		if (!timingSafeEqual(mac, this._mac(payload))) {
			throw new ProtocolError('a frame failed authentication', errorContext({step: 'transport.open'}));
		}

		try {
			return codec.decode(payload) as unknown;
		} catch (err) {
			throw new ProtocolError('a frame is not valid CBOR', errorContext({step: 'transport.open', cause: err}));
		}
	}

	private _mac(payload: Uint8Array): Uint8Array {
		return computeMac(this._key, `${this._direction}:${this._sequence++}:`, payload);
	}
}

/** Prefix of the authenticated data of a datagram; no frame of a connection begins with it. */
const datagramPrefix = 'datagram:';

function computeMac(key: Uint8Array, prefix: string, payload: Uint8Array): Uint8Array {
	return createHmac('sha256', key).update(prefix).update(payload).digest().subarray(0, macBytes);
}

/** Encodes and authenticates a value as a datagram: truncated HMAC-SHA256, CBOR payload. Unlike a frame, a datagram may be replayed, so its receiver must tolerate repeated and old messages. */
export function sealDatagram(key: Uint8Array, value: unknown): Uint8Array {
	const payload = codec.encode(value);
	return Buffer.concat([computeMac(key, datagramPrefix, payload), payload]);
}

/** Verifies and decodes a datagram; returns undefined if it is not authentic or not valid CBOR. */
export function openDatagram(key: Uint8Array, bytes: Uint8Array): unknown {
	const payload = bytes.subarray(macBytes);
	if (bytes.length <= macBytes || !timingSafeEqual(bytes.subarray(0, macBytes), computeMac(key, datagramPrefix, payload))) {
		return undefined;
	}

	try {
		return codec.decode(payload) as unknown;
	} catch {
		return undefined;
	}
}

export type RawFrame = {mac: Uint8Array; payload: Uint8Array};

/** Splits a byte stream into frames. Buffers at most one incomplete frame between calls. */
export class FrameSplitter {
	private _chunks: Uint8Array[] = [];
	private _bufferedBytes = 0;
	private _neededBytes = headerBytes;

	/**
	Adds received bytes and yields the frames that they complete. Throws `ProtocolError` if a frame declares an oversized payload, before buffering
	the payload. Every frame must be taken.
	@param maxBytes - returns the maximum size of the next frame's payload, in bytes, after the frames before it were handled
	*/
	* push(chunk: Uint8Array, maxBytes = () => maxPayloadBytes): Generator<RawFrame> {
		this._chunks.push(chunk);
		this._bufferedBytes += chunk.length;
		while (this._bufferedBytes >= this._neededBytes) {
			const joined = this._chunks.length === 1 ? this._chunks[0]! : Buffer.concat(this._chunks);
			const payloadBytes = new DataView(joined.buffer, joined.byteOffset).getUint32(0);
			if (payloadBytes > maxBytes()) {
				throw new ProtocolError(`a frame announces ${payloadBytes} bytes, over the limit of ${maxBytes()}`, errorContext({step: 'transport.split'}));
			}

			const frameEnd = headerBytes + payloadBytes;
			this._chunks = [joined];
			if (joined.length < frameEnd) {
				this._neededBytes = frameEnd;
				break;
			}

			this._chunks = [joined.subarray(frameEnd)];
			this._bufferedBytes = joined.length - frameEnd;
			this._neededBytes = headerBytes;
			yield {mac: joined.subarray(lengthFieldBytes, headerBytes), payload: joined.subarray(headerBytes, frameEnd)};
		}
	}
}
