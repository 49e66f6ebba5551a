import {randomBytes} from 'node:crypto';
import type {IncomingMessage} from 'node:http';

/** Headers that apply to a single connection (RFC 9110, section 7.6.1), and credentials for a proxy. */
const hopByHopHeaders: ReadonlySet<string> = new Set([
	'connection', 'keep-alive', 'proxy-connection', 'proxy-authenticate', 'proxy-authorization', 'te', 'trailer', 'transfer-encoding', 'upgrade',
]);

/** Request headers that are not forwarded because this process sets them itself or because the body is buffered. */
const replacedHeaders: ReadonlySet<string> = new Set(['authorization', 'host', 'content-length', 'expect', 'x-request-id', 'traceparent', 'x-tenant']);

const requestIdPattern = /^[\w.:-]{1,128}$/;
const traceparentPattern = /^[\da-f]{2}-(?!0{32})[\da-f]{32}-(?!0{16})[\da-f]{16}-[\da-f]{2}$/;

/** Identifiers that accompany a request through every process. */
export type TraceIds = {
	readonly requestId: string;
	/** Value of the `traceparent` header (W3C Trace Context). */
	readonly traceparent: string;
};

/** Returns the caller's trace ids; a missing, repeated or invalid id is replaced by a new one. */
export function readTraceIds(req: IncomingMessage): TraceIds {
	const requestId = singleHeaderValue(req, 'x-request-id');
	const traceparent = singleHeaderValue(req, 'traceparent');
	return {
		requestId: requestId !== undefined && requestIdPattern.test(requestId) ? requestId : randomBytes(16).toString('hex'),
		traceparent: traceparent !== undefined && traceparentPattern.test(traceparent) && !traceparent.startsWith('ff')
			? traceparent
			: `00-${randomBytes(16).toString('hex')}-${randomBytes(8).toString('hex')}-01`,
	};
}

function singleHeaderValue(req: IncomingMessage, name: string): string | undefined {
	const values = req.headersDistinct[name];
	return values?.length === 1 ? values[0] : undefined;
}

/** Returns the key of `Authorization: Bearer`, or undefined if the header is missing, repeated or malformed. */
export function readBearerKey(req: IncomingMessage): string | undefined {
	const match = /^bearer +([\w\-.~+/]+=*)$/i.exec(singleHeaderValue(req, 'authorization') ?? '');
	return match?.[1];
}

function parseConnectionOptions(value: string | undefined): Set<string> {
	return new Set((value ?? '').split(',').map(option => option.trim().toLowerCase()));
}

/**
Returns the headers for the upstream as alternating names and values: the caller's end-to-end headers, the trace ids and the
customer. A header whose value contains the caller's key is dropped, so that the key does not leave this process.
*/
export function buildUpstreamHeaders(req: IncomingMessage, ids: TraceIds, customer: string | undefined): string[] {
	const connectionOptions = parseConnectionOptions(req.headers.connection);
	const key = readBearerKey(req);
	const forwarded: string[] = [];
	for (let i = 0; i < req.rawHeaders.length; i += 2) {
		const name = req.rawHeaders[i]!;
		const value = req.rawHeaders[i + 1]!;
		const lowerName = name.toLowerCase();
		const isForwarded = !hopByHopHeaders.has(lowerName) && !replacedHeaders.has(lowerName) && !connectionOptions.has(lowerName);
		if (isForwarded && (key === undefined || !value.includes(key))) {
			forwarded.push(name, value);
		}
	}

	forwarded.push('x-request-id', ids.requestId, 'traceparent', ids.traceparent);
	if (customer !== undefined) {
		forwarded.push('x-tenant', customer);
	}

	return forwarded;
}

/** Removes hop-by-hop headers and those in `dropped` (lower-case names). Takes and returns alternating names and values. */
export function endToEndHeaders(headers: readonly string[], dropped: ReadonlySet<string>): string[] {
	const connectionIndex = headers.findIndex((name, i) => i % 2 === 0 && name.toLowerCase() === 'connection');
	const connectionOptions = parseConnectionOptions(connectionIndex === -1 ? undefined : headers[connectionIndex + 1]);
	const kept: string[] = [];
	for (let i = 0; i < headers.length; i += 2) {
		const lowerName = headers[i]!.toLowerCase();
		if (!hopByHopHeaders.has(lowerName) && !connectionOptions.has(lowerName) && !dropped.has(lowerName)) {
			kept.push(headers[i]!, headers[i + 1]!);
		}
	}

	return kept;
}

const headersNotReturned: ReadonlySet<string> = new Set(['x-request-id']);

/** Returns the upstream's end-to-end headers for the caller as alternating names and values, without the upstream's request id. */
export function buildCallerHeaders(headers: readonly string[]): string[] {
	return endToEndHeaders(headers, headersNotReturned);
}
