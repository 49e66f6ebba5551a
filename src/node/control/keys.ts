import {Buffer} from 'node:buffer';
import {createHash, randomBytes, timingSafeEqual} from 'node:crypto';

/** Prefix of every API key, by which secret scanners recognize a leaked key. */
const keyPrefix = 'jh_';
const keySizeBytes = 32;
/** Maximum length of a text that is accepted as a possible key, in characters; keys are shorter. */
const maxKeyLength = 128;

/** Generates a random API key. The key itself must be shown only once, and neither stored nor logged. */
export function generateKey(): string {
	return keyPrefix + randomBytes(keySizeBytes).toString('base64url');
}

/** Returns the SHA-256 digest of a key, in hexadecimal. */
export function digestKey(key: string): string {
	return createHash('sha256').update(key).digest('hex');
}

/** Returns whether the text has the prefix of a key and is not longer than `maxKeyLength`. */
export function hasKeyFormat(text: string): boolean {
	return text.startsWith(keyPrefix) && text.length <= maxKeyLength;
}

/** Compares two digests in constant time. */
export function areDigestsEqual(a: string, b: string): boolean {
	const left = Buffer.from(a, 'hex');
	const right = Buffer.from(b, 'hex');
	return left.length === right.length && timingSafeEqual(left, right);
}
