import {createHash} from 'node:crypto';
import {requestPartPrefix} from '../../common/quarantine/parts.js';
import type {PartId} from '../../common/quarantine/types.js';

/** Length of the hash in a fingerprint, in characters of 6 bits each. */
const hashLength = 20;

const portPattern = /:\d+$/;

/** What makes two requests the same one, whatever their ids and other headers are. */
export type RequestIdentity = {
	readonly method: string;
	/** Host, or service; a port is ignored, as it is where routes are matched. */
	readonly host: string;
	/** Path and query. */
	readonly target: string;
	/** Undefined on a route that is open to all. */
	readonly customer: string | undefined;
	readonly body: Uint8Array;
};

/** Returns the part id of a request as a whole. It cannot be equal to that of a prompt part, since these contain no colon. */
export function fingerprintOf({method, host, target, customer, body}: RequestIdentity): PartId {
	const head = JSON.stringify([method, host.toLowerCase().replace(portPattern, ''), target, customer ?? null]);
	const hash = createHash('sha256').update(head).update('\n').update(body).digest('base64url');
	return requestPartPrefix + hash.slice(0, hashLength);
}
