import type {AddressInfo} from 'node:net';

/** Splits an address such as `127.0.0.1:80` or `[::1]:80` into host and port. Does not detect malformed addresses, since the settings schema has already rejected them. */
export function splitAddress(address: string): {host: string; port: number} {
	const colon = address.lastIndexOf(':');
	const host = address.slice(0, colon);
	return {host: host.startsWith('[') ? host.slice(1, -1) : host, port: Number(address.slice(colon + 1))};
}

/** Formats the address that a socket is bound to as `host:port`, with brackets around an IPv6 host. */
export function joinAddress({address, family, port}: AddressInfo): string {
	return family === 'IPv6' ? `[${address}]:${port}` : `${address}:${port}`;
}
