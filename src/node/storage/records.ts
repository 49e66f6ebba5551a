import {Buffer} from 'node:buffer';
import {decode, encode} from 'cbor-x';
import {at, StorageError} from '../../common/core/errors.js';
import {crc32c} from './crc32c.js';

/** First bytes of a record ("JHR1"); lets a scan find the next record after a damaged length. */
const marker = 0x4A_48_52_31;
const markerBytes = Buffer.from('JHR1');
const lengthOffset = 4;
const crcOffset = 8;
/** Marker, payload length and CRC-32C of length and payload; each 4 bytes, big-endian. */
export const recordHeaderBytes = 12;

/** Encodes a value as a record: marker, length, CRC-32C, CBOR. */
export function encodeRecord(value: unknown): Uint8Array {
	const payload = encode(value);
	const record = new Uint8Array(recordHeaderBytes + payload.length);
	const view = viewOf(record);
	view.setUint32(0, marker);
	view.setUint32(lengthOffset, payload.length);
	record.set(payload, recordHeaderBytes);
	view.setUint32(crcOffset, recordCrc(record));
	return record;
}

function viewOf(bytes: Uint8Array): DataView {
	return new DataView(bytes.buffer, bytes.byteOffset, bytes.byteLength);
}

function recordCrc(record: Uint8Array): number {
	return crc32c(record.subarray(recordHeaderBytes), crc32c(record.subarray(lengthOffset, crcOffset)));
}

/** The end of the intact record at `offset`, or undefined. */
function intactEnd(bytes: Uint8Array, offset: number): number | undefined {
	const view = viewOf(bytes);
	if (offset + recordHeaderBytes > bytes.length || view.getUint32(offset) !== marker) {
		return undefined;
	}

	const end = offset + recordHeaderBytes + view.getUint32(offset + lengthOffset);
	const isIntact = end <= bytes.length && recordCrc(bytes.subarray(offset, end)) === view.getUint32(offset + crcOffset);
	return isIntact ? end : undefined;
}

export type RecordScan = {
	readonly values: readonly unknown[];
	/** Bytes up to the end of the last intact record. */
	readonly intactBytes: number;
};

/**
Decodes the records of a file. What follows the last intact record is a torn write, provided that
`mayBeTorn` holds and no intact record comes after it. Throws `StorageError` with file and offset otherwise.
*/
export function scanRecords(file: string, bytes: Uint8Array, mayBeTorn: boolean): RecordScan {
	const values: unknown[] = [];
	let offset = 0;
	for (let end = intactEnd(bytes, offset); end !== undefined; end = intactEnd(bytes, offset)) {
		values.push(decode(bytes.subarray(offset + recordHeaderBytes, end)));
		offset = end;
	}

	if (offset < bytes.length && (!mayBeTorn || hasRecordAfter(bytes, offset))) {
		throw new StorageError(`${file}: corrupt record at offset ${offset}`, at({step: 'storage.load', peer: file}));
	}

	return {values, intactBytes: offset};
}

/** A write starts only after the fsync of the previous one, so a record before an intact one cannot be torn. */
function hasRecordAfter(bytes: Uint8Array, damaged: number): boolean {
	const content = Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength);
	let offset = content.indexOf(markerBytes, damaged + 1);
	while (offset !== -1) {
		if (intactEnd(bytes, offset) !== undefined) {
			return true;
		}

		offset = content.indexOf(markerBytes, offset + 1);
	}

	return false;
}
