/* eslint-disable no-bitwise -- a CRC is computed with bit operations */

/** Castagnoli polynomial, bit-reversed (RFC 3720, appendix B.4). */
const polynomial = 0x82_F6_3B_78;

const table = Uint32Array.from({length: 256}, (_, byte) => {
	let value = byte;
	for (let bit = 0; bit < 8; bit++) {
		value = (value >>> 1) ^ (value & 1 ? polynomial : 0);
	}

	return value;
});

/** Computes the CRC-32C of the bytes. `seed` is the CRC of the bytes that precede them, or 0 if there are none, so that a checksum can be computed in parts. */
export function crc32c(bytes: Uint8Array, seed = 0): number {
	let crc = ~seed;
	for (const byte of bytes) {
		crc = (crc >>> 8) ^ table[(crc ^ byte) & 0xFF]!;
	}

	return ~crc >>> 0;
}
