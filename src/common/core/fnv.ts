/** Hash of a sequence of bytes in two 32-bit FNV-1a lanes. */
export class FnvHash {
	private _low = 0x81_1C_9D_C5;
	private _high = 0x9D_C5_81_1C;

	update(byte: number): void {
		/* eslint-disable no-bitwise -- FNV-1a is defined on 32-bit words */
		this._low = Math.imul(this._low ^ byte, 0x01_00_01_93) >>> 0;
		this._high = Math.imul(this._high ^ byte ^ (this._low >>> 24), 0x01_00_01_93) >>> 0;
		/* eslint-enable no-bitwise */
	}

	/** Returns the hash of the bytes so far as text of at most 14 characters. */
	digest(): string {
		return this._high.toString(36) + this._low.toString(36);
	}
}

/** Returns the hash of a text's UTF-8 bytes. */
export function hashText(text: string): string {
	const hash = new FnvHash();
	for (const byte of new TextEncoder().encode(text)) {
		hash.update(byte);
	}

	return hash.digest();
}
