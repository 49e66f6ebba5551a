import {Buffer} from 'node:buffer';
import {createHash, randomBytes, timingSafeEqual} from 'node:crypto';

/** Marks a key as this system's, so that secret scanners can find a leaked one. */
const keyPrefix = 'jh_';
const keyBytes = 32;
/** Longest text that is hashed; the digest of a longer one cannot be a key's. */
const longestKey = 128;

/** A fresh key. It is shown once and never stored or logged. */
export function generateKey(): string {
	return keyPrefix + randomBytes(keyBytes).toString('base64url');
}

/** SHA-256 of a key in hexadecimal. */
export function digestKey(key: string): string {
	return createHash('sha256').update(key).digest('hex');
}

/** Whether the text can be a key at all. */
export function isKeyShaped(text: string): boolean {
	return text.startsWith(keyPrefix) && text.length <= longestKey;
}

/** Compares two digests in constant time. */
export function equalDigests(a: string, b: string): boolean {
	const left = Buffer.from(a, 'hex');
	const right = Buffer.from(b, 'hex');
	return left.length === right.length && timingSafeEqual(left, right);
}
