/* eslint-disable no-bitwise -- the hash is defined on 32-bit words */

const emptyHash = 0x81_1C_9D_C5;

/** Returns the 32-bit FNV-1a hash of a text that begins with a text whose hash is `hash`, and continues with `text`. */
function extendHash(hash: number, text: string): number {
	for (let i = 0; i < text.length; i++) {
		hash = Math.imul(hash ^ text.charCodeAt(i), 0x01_00_01_93); // eslint-disable-line unicorn/prefer-code-point -- one 16-bit unit at a time
	}

	return hash;
}

/** Mixes the bits of a hash, so that similar texts get unrelated values. */
function finalizeHash(hash: number): number {
	hash = Math.imul(hash ^ (hash >>> 16), 0x85_EB_CA_6B);
	hash = Math.imul(hash ^ (hash >>> 13), 0xC2_B2_AE_35);
	return (hash ^ (hash >>> 16)) >>> 0;
}

/* eslint-enable no-bitwise */

/** Returns the 32-bit FNV-1a hash of a text, with its bits mixed. */
export function hashString(text: string): number {
	return finalizeHash(extendHash(emptyHash, text));
}

/**
Returns the nodes in order of preference for a key, determined by rendezvous hashing.
Removing a node does not change the order of the others, so only keys that preferred the removed node get a different first choice.
*/
export function rankByRendezvous<T>(key: string, nodes: readonly T[], nameOf: (node: T) => string): T[] {
	const scored = nodes.map(node => ({node, name: nameOf(node), score: hashString(`${key}|${nameOf(node)}`)}));
	scored.sort((a, b) => b.score - a.score || (a.name < b.name ? -1 : 1));
	return scored.map(({node}) => node);
}

/** Returns how many of the nodes rank before `self` for a key, in the order of `rankByRendezvous`. `self` need not be among the nodes. */
export function rendezvousPosition(key: string, self: string, nodes: Iterable<string>): number {
	const keyHash = extendHash(emptyHash, `${key}|`);
	const ownScore = finalizeHash(extendHash(keyHash, self));
	let position = 0;
	for (const node of nodes) {
		const score = finalizeHash(extendHash(keyHash, node));
		position += score > ownScore || (score === ownScore && node < self) ? 1 : 0;
	}

	return position;
}
