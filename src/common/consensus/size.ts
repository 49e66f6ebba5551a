/** Bytes added per value for its CBOR header. */
const headerBytes = 9;
/** Bytes of one UTF-16 code unit in UTF-8, at most. */
const bytesPerCharacter = 3;

/** Upper estimate, in bytes, of a value encoded as CBOR; encoding twice only to measure would cost more. */
export function estimateBytes(value: unknown): number {
	if (typeof value === 'string') {
		return headerBytes + (value.length * bytesPerCharacter);
	}

	if (typeof value !== 'object' || value === null) {
		return headerBytes;
	}

	if (value instanceof Uint8Array) {
		return headerBytes + value.byteLength;
	}

	let total = headerBytes;
	if (Array.isArray(value)) {
		for (const item of value) {
			total += estimateBytes(item);
		}

		return total;
	}

	const pairs = value instanceof Map ? value : Object.entries(value);
	for (const [key, item] of pairs) {
		total += estimateBytes(key) + estimateBytes(item);
	}

	return total;
}
