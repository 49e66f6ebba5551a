import {once} from 'node:events';
import {createServer} from 'node:http';
import type {Server, ServerResponse} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';
import type {Metrics} from '../../common/services/metrics.js';
import type {ProblemCode} from './problems.js';
import {problem} from './problems.js';
import type {EntryLimits} from './types.js';

/** How often Node.js looks for connections whose headers are late; the header limit is exceeded by at most this. */
const checkEveryMs = 500;
/** Requests on one connection; bounds how long an unbalanced connection lives. */
const maxRequestsPerConnection = 10_000;

/** The codes of errors that Node.js raises before a request reaches a handler. */
const parseProblems: ReadonlyMap<string, ProblemCode> = new Map([
	['HPE_HEADER_OVERFLOW', 'headers-too-large'],
	['HPE_CHUNK_EXTENSIONS_OVERFLOW', 'malformed-request'],
	['ERR_HTTP_REQUEST_TIMEOUT', 'headers-timeout'],
]);

/**
Creates the server for callers. The strict parser refuses messages with several lengths or with a length and a transfer
encoding, so that this process and an upstream never disagree about where a request ends.
*/
export function createCallerServer(limits: EntryLimits, metrics: Metrics): Server {
	const server = createServer({
		maxHeaderSize: limits.headerBytes,
		headersTimeout: limits.headersTimeoutMs,
		// Bounds a body that trickles in behind its own limit, too.
		requestTimeout: limits.headersTimeoutMs + limits.bodyTimeoutMs,
		keepAliveTimeout: limits.keepAliveMs,
		connectionsCheckingInterval: Math.min(checkEveryMs, limits.headersTimeoutMs),
		requireHostHeader: true,
		noDelay: true,
	});
	server.maxConnections = limits.maxConnections;
	server.maxRequestsPerSocket = maxRequestsPerConnection;
	server.on('clientError', (err: NodeJS.ErrnoException, socket: Socket) => {
		refuseConnection(err, socket, metrics);
	});
	server.on('drop', () => {
		metrics.count('connections_dropped_total');
	});
	return server;
}

/** Answers a message that could not be parsed, unless another answer has begun on the connection. */
function refuseConnection(err: NodeJS.ErrnoException, socket: Socket, metrics: Metrics): void {
	const {_httpMessage: current} = socket as Socket & {_httpMessage?: ServerResponse};
	const hasBegun = current?.headersSent ?? false;
	if (err.code === 'ECONNRESET' || !socket.writable || hasBegun) {
		socket.destroy();
		return;
	}

	const code = parseProblems.get(err.code ?? '') ?? 'malformed-request';
	metrics.count('refusals_total', {service: '', code});
	const {status, headers, body} = problem(code, code === 'malformed-request' ? {detail: err.message} : {});
	const lines = Object.entries({...headers, connection: 'close', 'content-length': new TextEncoder().encode(body).length});
	socket.end(`HTTP/1.1 ${status} ${code}\r\n${lines.map(([name, value]) => `${name}: ${value}\r\n`).join('')}\r\n${body}`, () => {
		socket.destroy();
	});
}

/** Resolves with the address, IP and port, on which callers may connect. */
export async function listen(server: Server, host: string, port: number): Promise<string> {
	server.listen(port, host);
	await once(server, 'listening');
	const address = server.address() as AddressInfo;
	return address.family === 'IPv6' ? `[${address.address}]:${address.port}` : `${address.address}:${address.port}`;
}
