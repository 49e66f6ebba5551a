import {once} from 'node:events';
import {createServer} from 'node:http';
import type {Server, ServerResponse} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';
import type {Metrics} from '../../common/services/metrics.js';
import {stalledBodyCode} from '../memory/connection-guard.js';
import type {ProblemCode} from './problems.js';
import {createProblem} from './problems.js';
import type {EntryLimits} from './types.js';

/** Interval at which Node.js checks connections for expired timeouts, in milliseconds. A header timeout takes effect with a delay of at most this interval. */
const connectionsCheckIntervalMs = 500;
/** Number of requests after which a connection is closed, so that the caller reconnects and its requests are spread over the entry processes again. */
const maxRequestsPerConnection = 10_000;

/** Problem codes for errors that Node.js raises before a request reaches a handler, by error code. All other errors are reported as `malformed-request`. */
const problemCodesByErrorCode: ReadonlyMap<string, ProblemCode> = new Map([
	['HPE_HEADER_OVERFLOW', 'headers-too-large'],
	['HPE_CHUNK_EXTENSIONS_OVERFLOW', 'malformed-request'],
	['ERR_HTTP_REQUEST_TIMEOUT', 'headers-timeout'],
	[stalledBodyCode, 'body-timeout'],
]);

/**
Creates the HTTP server for callers. Its strict parser rejects messages with several content lengths, or with both a
content length and a transfer encoding, so that this process and an upstream never disagree about where a request ends (request smuggling).
*/
export function createCallerServer(limits: EntryLimits, metrics: Metrics): Server {
	const server = createServer({
		maxHeaderSize: limits.headerBytes,
		headersTimeout: limits.headersTimeoutMs,
		// Bounds the time for headers and body together, so that a body that still arrives after the body timeout cannot keep
		// its connection open.
		requestTimeout: limits.headersTimeoutMs + limits.bodyTimeoutMs,
		keepAliveTimeout: limits.keepAliveTimeoutMs,
		connectionsCheckingInterval: Math.min(connectionsCheckIntervalMs, limits.headersTimeoutMs),
		requireHostHeader: true,
		noDelay: true,
	});
	server.maxConnections = limits.maxConnections;
	server.maxRequestsPerSocket = maxRequestsPerConnection;
	closeQueuedResponses(server);
	server.on('clientError', (err: NodeJS.ErrnoException, socket: Socket) => {
		rejectInvalidMessage(err, socket, metrics);
	});
	server.on('drop', () => {
		metrics.count('connections_dropped_total');
	});
	return server;
}

/**
Emits the event `close` of responses that are queued behind another one when their connection closes. Node.js emits it only for the response
that is being written, so that a pipelined request whose caller is gone would never end.
*/
function closeQueuedResponses(server: Server): void {
	const openResponses = new WeakMap<Socket, Set<ServerResponse>>();
	server.on('connection', socket => {
		const responses = new Set<ServerResponse>();
		openResponses.set(socket, responses);
		socket.once('close', () => {
			// Node.js closes the response that is being written first.
			setImmediate(() => {
				for (const res of responses) {
					res.destroy();
					res.emit('close');
				}
			});
		});
	});
	server.on('request', ({socket}, res) => {
		const responses = openResponses.get(socket);
		responses?.add(res);
		res.once('close', () => {
			responses?.delete(res);
		});
	});
}

/** Refuses a message that is malformed or timed out and closes its connection. If a response has already begun on the connection, closes the connection without a refusal. */
function rejectInvalidMessage(err: NodeJS.ErrnoException, socket: Socket, metrics: Metrics): void {
	const {_httpMessage: currentResponse} = socket as Socket & {_httpMessage?: ServerResponse};
	const hasResponseBegun = currentResponse?.headersSent ?? false;
	if (err.code === 'ECONNRESET' || !socket.writable || hasResponseBegun) {
		if (hasResponseBegun && !currentResponse?.chunkedEncoding) {
			// A close would look like the end of a response that ends with its connection.
			socket.resetAndDestroy();
		}

		socket.destroy();
		return;
	}

	const code = problemCodesByErrorCode.get(err.code ?? '') ?? 'malformed-request';
	metrics.count('refusals_total', {service: '', code});
	const {status, headers, body} = createProblem(code, code === 'malformed-request' ? {detail: err.message} : {});
	const headerEntries = Object.entries({...headers, connection: 'close', 'content-length': new TextEncoder().encode(body).length});
	socket.end(`HTTP/1.1 ${status} ${code}\r\n${headerEntries.map(([name, value]) => `${name}: ${value}\r\n`).join('')}\r\n${body}`, () => {
		socket.destroy();
	});
}

/** Starts listening and resolves with the address of the listener (`IP:port`). */
export async function startListening(server: Server, host: string, port: number): Promise<string> {
	server.listen(port, host);
	await once(server, 'listening');
	const address = server.address() as AddressInfo;
	return address.family === 'IPv6' ? `[${address.address}]:${address.port}` : `${address.address}:${address.port}`;
}
