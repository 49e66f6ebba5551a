import {randomBytes} from 'node:crypto';
import type {IncomingMessage} from 'node:http';

/** Headers that describe one connection (RFC 9110, section 7.6.1) or carry credentials for this hop. */
const hopByHop: ReadonlySet<string> = new Set([
	'connection', 'keep-alive', 'proxy-connection', 'proxy-authenticate', 'proxy-authorization', 'te', 'trailer', 'transfer-encoding', 'upgrade',
]);

/** Headers that this process sets or that do not apply to a buffered body. */
const replaced: ReadonlySet<string> = new Set(['authorization', 'host', 'content-length', 'expect', 'x-request-id', 'traceparent', 'x-tenant']);

const requestIdPattern = /^[\w.:-]{1,128}$/;
const traceparentPattern = /^[\da-f]{2}-(?!0{32})[\da-f]{32}-(?!0{16})[\da-f]{16}-[\da-f]{2}$/;

/** Ids that follow a request through every process. */
export type TraceIds = {
	readonly requestId: string;
	/** W3C trace context. */
	readonly traceparent: string;
};

/** Takes the caller's ids where they are valid and makes new ones otherwise. */
export function traceIdsOf(req: IncomingMessage): TraceIds {
	const requestId = singleHeader(req, 'x-request-id');
	const traceparent = singleHeader(req, 'traceparent');
	return {
		requestId: requestId !== undefined && requestIdPattern.test(requestId) ? requestId : randomBytes(16).toString('hex'),
		traceparent: traceparent !== undefined && traceparentPattern.test(traceparent) && !traceparent.startsWith('ff')
			? traceparent
			: `00-${randomBytes(16).toString('hex')}-${randomBytes(8).toString('hex')}-01`,
	};
}

function singleHeader(req: IncomingMessage, name: string): string | undefined {
	const values = req.headersDistinct[name];
	return values?.length === 1 ? values[0] : undefined;
}

/** The key of `Authorization: Bearer`, or undefined if there is none or more than one. */
export function bearerKeyOf(req: IncomingMessage): string | undefined {
	const match = /^bearer +([\w\-.~+/]+=*)$/i.exec(singleHeader(req, 'authorization') ?? '');
	return match?.[1];
}

function connectionOptions(value: string | undefined): Set<string> {
	return new Set((value ?? '').split(',').map(option => option.trim().toLowerCase()));
}

/** The caller's end-to-end headers, names and values in turn, without the key wherever it stands. */
export function forwardedHeaders(req: IncomingMessage, ids: TraceIds, tenant: string | undefined): string[] {
	const named = connectionOptions(req.headers.connection);
	const key = bearerKeyOf(req);
	const forwarded: string[] = [];
	for (let i = 0; i < req.rawHeaders.length; i += 2) {
		const name = req.rawHeaders[i]!;
		const value = req.rawHeaders[i + 1]!;
		const lower = name.toLowerCase();
		const isKept = !hopByHop.has(lower) && !replaced.has(lower) && !named.has(lower);
		if (isKept && (key === undefined || !value.includes(key))) {
			forwarded.push(name, value);
		}
	}

	forwarded.push('x-request-id', ids.requestId, 'traceparent', ids.traceparent);
	if (tenant !== undefined) {
		forwarded.push('x-tenant', tenant);
	}

	return forwarded;
}

/** The headers of a message, names and values in turn, without those of one connection and without the dropped ones, which are named in lower case. */
export function endToEndHeaders(headers: readonly string[], dropped: ReadonlySet<string>): string[] {
	const connection = headers.findIndex((name, i) => i % 2 === 0 && name.toLowerCase() === 'connection');
	const named = connectionOptions(connection === -1 ? undefined : headers[connection + 1]);
	const kept: string[] = [];
	for (let i = 0; i < headers.length; i += 2) {
		const lower = headers[i]!.toLowerCase();
		if (!hopByHop.has(lower) && !named.has(lower) && !dropped.has(lower)) {
			kept.push(headers[i]!, headers[i + 1]!);
		}
	}

	return kept;
}

const notReturned: ReadonlySet<string> = new Set(['x-request-id']);

/** The upstream's end-to-end headers, names and values in turn. */
export function returnedHeaders(headers: readonly string[]): string[] {
	return endToEndHeaders(headers, notReturned);
}
