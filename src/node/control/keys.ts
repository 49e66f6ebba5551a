import {Buffer} from 'node:buffer';
import {createHash, randomBytes, timingSafeEqual} from 'node:crypto';

/** Prefix of every key, which lets secret scanners recognize a leaked one. */
const keyPrefix = 'jh_';
const keySizeBytes = 32;
/** Maximum length of a text that is hashed, since a longer one cannot be a key. */
const maxKeyLength = 128;

/** Generates a random key. A key is shown once and never stored or logged. */
export function generateKey(): string {
	return keyPrefix + randomBytes(keySizeBytes).toString('base64url');
}

/** Returns the SHA-256 digest of a key, in hexadecimal. */
export function digestKey(key: string): string {
	return createHash('sha256').update(key).digest('hex');
}

/** Whether the text has the prefix of a key and is no longer than a key may be. */
export function hasKeyFormat(text: string): boolean {
	return text.startsWith(keyPrefix) && text.length <= maxKeyLength;
}

/** Compares two digests in constant time. */
export function areDigestsEqual(a: string, b: string): boolean {
	const left = Buffer.from(a, 'hex');
	const right = Buffer.from(b, 'hex');
	return left.length === right.length && timingSafeEqual(left, right);
}
