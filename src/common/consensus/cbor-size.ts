/** Maximum bytes of the CBOR header of one value. */
const cborHeaderBytes = 9;
/** Maximum bytes that one UTF-16 code unit takes in UTF-8. */
const maxUtf8BytesPerCodeUnit = 3;

/** Returns an upper estimate of a value's size in CBOR, in bytes. This is cheaper than to encode the value. */
export function estimateCborBytes(value: unknown): number {
	if (typeof value === 'string') {
		return cborHeaderBytes + (value.length * maxUtf8BytesPerCodeUnit);
	}

	if (typeof value !== 'object' || value === null) {
		return cborHeaderBytes;
	}

	if (value instanceof Uint8Array) {
		return cborHeaderBytes + value.byteLength;
	}

	let total = cborHeaderBytes;
	if (Array.isArray(value)) {
		for (const item of value) {
			total += estimateCborBytes(item);
		}

		return total;
	}

	const pairs = value instanceof Map ? value : Object.entries(value);
	for (const [key, item] of pairs) {
		total += estimateCborBytes(key) + estimateCborBytes(item);
	}

	return total;
}
