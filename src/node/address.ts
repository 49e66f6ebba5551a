import type {AddressInfo} from 'node:net';

/** Splits `127.0.0.1:80` or `[::1]:80`; the form was checked with the settings. */
export function splitAddress(address: string): {host: string; port: number} {
	const colon = address.lastIndexOf(':');
	const host = address.slice(0, colon);
	return {host: host.startsWith('[') ? host.slice(1, -1) : host, port: Number(address.slice(colon + 1))};
}

/** Joins the parts of a bound address; IPv6 hosts get brackets. */
export function joinAddress({address, family, port}: AddressInfo): string {
	return family === 'IPv6' ? `[${address}]:${port}` : `${address}:${port}`;
}
