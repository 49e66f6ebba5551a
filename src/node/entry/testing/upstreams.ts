import {once} from 'node:events';
import {createServer} from 'node:http';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';
import {text} from 'node:stream/consumers';
import {callIdHeader} from '../../../common/upstreams/engine-api.js';

export type RequestHandler = (req: IncomingMessage, res: ServerResponse, body: string) => Promise<void> | void;

/** HTTP server on a free port that records the requests it receives. */
export class TestServer {
	static async start(handler: RequestHandler): Promise<TestServer> {
		const server = createServer();
		server.keepAliveTimeout = 60_000;
		const instance = new TestServer(server, handler);
		server.listen(0, '127.0.0.1');
		await once(server, 'listening');
		return instance;
	}

	readonly requests: Array<{method: string; url: string; headers: IncomingMessage['headers']; body: string; port: number}> = [];
	connectionCount = 0;
	closedConnectionCount = 0;

	private constructor(private readonly _server: Server, public handler: RequestHandler) {
		_server.on('connection', socket => {
			this.connectionCount++;
			socket.once('close', () => {
				this.closedConnectionCount++;
			});
		});
		_server.on('request', (req: IncomingMessage, res: ServerResponse) => {
			void this._handleRequest(req, res);
		});
	}

	get address(): string {
		return `127.0.0.1:${(this._server.address() as AddressInfo).port}`;
	}

	close(): void {
		this._server.close();
		this._server.closeAllConnections();
	}

	private async _handleRequest(req: IncomingMessage, res: ServerResponse): Promise<void> {
		try {
			const body = await text(req);
			this.requests.push({
				method: req.method!, url: req.url!, headers: req.headers, body, port: req.socket.remotePort!,
			});
			await this.handler(req, res, body);
		} catch {
			// The client disconnected during its request.
		}
	}
}

export function sendJson(res: ServerResponse, status: number, body: unknown): void {
	res.writeHead(status, {'content-type': 'application/json'});
	res.end(JSON.stringify(body));
}

export type EngineScript = {
	/** Handlers that replace the default response to a call; if a handler returns false, the default response is sent. */
	overrides: Partial<Record<'prefill' | 'import' | 'decode' | 'cancel', (res: ServerResponse, body: {requestId: string; after: number}) => Promise<boolean> | boolean>>;
	/** Texts of a decode stream, one per event. */
	texts: string[];
};

/** Starts a fake engine that responds at once and tracks which requests occupy its memory. */
export async function startFakeEngine() {
	const script: EngineScript = {overrides: {}, texts: ['Hello', ' ', 'world']};
	const heldRequestIds = new Set<string>();
	const cancelledRequestIds: string[] = [];
	const server = await TestServer.start(async (req, res, body) => {
		res.setHeader(callIdHeader, req.headers[callIdHeader]!);
		if (req.method === 'DELETE') {
			const id = decodeURIComponent(req.url!.split('/').at(-1)!);
			if (!await script.overrides.cancel?.(res, {requestId: id, after: 0})) {
				heldRequestIds.delete(id);
				cancelledRequestIds.push(id);
				res.writeHead(204).end();
			}

			return;
		}

		const call = body === '' ? {requestId: '', after: 0} : JSON.parse(body) as {requestId: string; after: number};
		switch (req.url!) {
			case '/v1/prefill': {
				heldRequestIds.add(call.requestId);
				if (!await script.overrides.prefill?.(res, call)) {
					sendJson(res, 200, {
						handle: `kv-${call.requestId}`, promptTokens: 5, cachedTokens: 1, kvBytes: 100, expiresInMs: 800,
					});
				}

				break;
			}

			case '/v1/kv/import': {
				heldRequestIds.add(call.requestId);
				if (!await script.overrides.import?.(res, call)) {
					sendJson(res, 200, {importedBytes: 100});
				}

				break;
			}

			case '/v1/decode': {
				if (!await script.overrides.decode?.(res, call)) {
					writeEvents(res, call.requestId, script.texts, call.after);
					heldRequestIds.delete(call.requestId);
				}

				break;
			}

			default: {
				sendJson(res, 404, {code: 'not-found'});
			}
		}
	});
	return {
		server, script, heldRequestIds, cancelledRequestIds, address: server.address,
	};
}

export function eventLine(requestId: string, n: number, text: string): string {
	return `data: ${JSON.stringify({requestId, n, text})}\n\n`;
}

export function endLine(requestId: string, n: number): string {
	return `data: ${JSON.stringify({
		requestId, n, end: true, usage: {promptTokens: 5, outputTokens: n - 1},
	})}\n\n`;
}

/** Writes the events with a number greater than `after` and the end marker. */
export function writeEvents(res: ServerResponse, requestId: string, words: readonly string[], after: number): void {
	res.writeHead(200, {'content-type': 'text/event-stream'});
	for (const [i, word] of words.entries()) {
		if (i + 1 > after) {
			res.write(eventLine(requestId, i + 1, word));
		}
	}

	res.end(endLine(requestId, words.length + 1));
}
