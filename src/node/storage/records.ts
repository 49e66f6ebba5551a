import {Buffer} from 'node:buffer';
import {decode, encode} from 'cbor-x';
import {errorContext, StorageError} from '../../common/core/errors.js';
import {crc32c} from './crc32c.js';

/** First four bytes of a record ("JHR1"). They allow a scan to find the next record if a length field is corrupt. */
const magicNumber = 0x4A_48_52_31;
const magicBuffer = Buffer.from('JHR1');
const lengthOffset = 4;
const crcOffset = 8;
/** Size of a record's header in bytes: magic number, payload length, and CRC-32C of length and payload, each 4 bytes in big-endian order. */
export const recordHeaderBytes = 12;

/** Encodes a value as a record: magic number, payload length, CRC-32C, CBOR payload. */
export function encodeRecord(value: unknown): Uint8Array {
	const payload = encode(value);
	const record = new Uint8Array(recordHeaderBytes + payload.length);
	const view = dataViewOf(record);
	view.setUint32(0, magicNumber);
	view.setUint32(lengthOffset, payload.length);
	record.set(payload, recordHeaderBytes);
	view.setUint32(crcOffset, recordCrc(record));
	return record;
}

function dataViewOf(bytes: Uint8Array): DataView {
	return new DataView(bytes.buffer, bytes.byteOffset, bytes.byteLength);
}

function recordCrc(record: Uint8Array): number {
	return crc32c(record.subarray(recordHeaderBytes), crc32c(record.subarray(lengthOffset, crcOffset)));
}

/** Returns the end offset of the record at `offset`, or undefined if there is no intact record. */
function intactRecordEnd(bytes: Uint8Array, offset: number): number | undefined {
	const view = dataViewOf(bytes);
	if (offset + recordHeaderBytes > bytes.length || view.getUint32(offset) !== magicNumber) {
		return undefined;
	}

	const end = offset + recordHeaderBytes + view.getUint32(offset + lengthOffset);
	const isIntact = end <= bytes.length && recordCrc(bytes.subarray(offset, end)) === view.getUint32(offset + crcOffset);
	return isIntact ? end : undefined;
}

export type RecordScan = {
	readonly values: readonly unknown[];
	/** Number of bytes up to the end of the last intact record. */
	readonly intactBytes: number;
};

/**
Decodes the records of a file. Bytes after the last consecutive intact record are ignored as a torn write if `mayBeTorn` is true and
no intact record follows them. Otherwise they are corruption, and the function throws `StorageError` with file and offset.
*/
export function scanRecords(file: string, bytes: Uint8Array, mayBeTorn: boolean): RecordScan {
	const values: unknown[] = [];
	let offset = 0;
	for (let end = intactRecordEnd(bytes, offset); end !== undefined; end = intactRecordEnd(bytes, offset)) {
		values.push(decode(bytes.subarray(offset + recordHeaderBytes, end)));
		offset = end;
	}

	if (offset < bytes.length && (!mayBeTorn || hasIntactRecordAfter(bytes, offset))) {
		throw new StorageError(`${file}: corrupt record at offset ${offset}`, errorContext({step: 'storage.load', peer: file}));
	}

	return {values, intactBytes: offset};
}

/**
Whether an intact record follows the damaged record at the given offset. A write starts only after the fsync of the previous write, so a
damaged record before an intact record is corrupt rather than torn.
*/
function hasIntactRecordAfter(bytes: Uint8Array, damagedOffset: number): boolean {
	const content = Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength);
	let offset = content.indexOf(magicBuffer, damagedOffset + 1);
	while (offset !== -1) {
		if (intactRecordEnd(bytes, offset) !== undefined) {
			return true;
		}

		offset = content.indexOf(magicBuffer, offset + 1);
	}

	return false;
}
