/** Returns the 32-bit FNV-1a hash of a text. A finalizer mixes the bits of the hash, so that similar texts get unrelated values. */
export function hashString(text: string): number {
	/* eslint-disable no-bitwise -- the hash is defined on 32-bit words */
	let hash = 0x81_1C_9D_C5;
	for (let i = 0; i < text.length; i++) {
		hash = Math.imul(hash ^ text.charCodeAt(i), 0x01_00_01_93); // eslint-disable-line unicorn/prefer-code-point -- one 16-bit unit at a time
	}

	hash = Math.imul(hash ^ (hash >>> 16), 0x85_EB_CA_6B);
	hash = Math.imul(hash ^ (hash >>> 13), 0xC2_B2_AE_35);
	return (hash ^ (hash >>> 16)) >>> 0;
	/* eslint-enable no-bitwise */
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
	const ownScore = hashString(`${key}|${self}`);
	let position = 0;
	for (const node of nodes) {
		const score = hashString(`${key}|${node}`);
		position += score > ownScore || (score === ownScore && node < self) ? 1 : 0;
	}

	return position;
}
