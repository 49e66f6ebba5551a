/** Test doubles of the servers on the users' platform and of the list that names these servers. They support only what the tests of the platform adapter need. */
import {createServer} from 'node:http';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';

/** Record of a request that a server received. */
export type ReceivedRequest = {
	readonly server: string;
	readonly method: string;
	readonly path: string;
	readonly headers: Readonly<Record<string, string | string[] | undefined>>;
	/** Whether the response has ended or its connection has closed. */
	isClosed: boolean;
};

export type PlatformServerOptions = {
	readonly service: string;
	readonly id: string;
	readonly stage?: 'prefill' | 'decode';
	readonly state?: 'ready' | 'draining';
};

type RequestHandler = (req: IncomingMessage, res: ServerResponse) => boolean;

/** Servers of one platform and the list that names them. */
export class PlatformServers {
	readonly receivedRequests: ReceivedRequest[] = [];
	/** Ids of the reservations that engines hold. */
	readonly reservations = new Set<string>();
	/** Handler that is called first for each request. If it returns true, it has handled the request, and the default behaviour is skipped. */
	overrideHandler: RequestHandler | undefined;
	private readonly _servers: Server[] = [];
	private readonly _listEntries: Array<Record<string, unknown>> = [];
	private _nextReservation = 1;

	/** Starts a server and adds it to the list. */
	async addServer({service, id, stage, state = 'ready'}: PlatformServerOptions): Promise<void> {
		const address = await this._listen((req, res) => {
			this._handleRequest(id, stage, req, res);
		});
		this._listEntries.push({
			service, id, address, zone: 'z1', version: 'v1', slots: 8, state, coldLeftMs: 0, born: 1, ...(stage && {stage, models: []}),
		});
	}

	/** Starts the server of the list and returns its IP address and port. */
	async startList(): Promise<string> {
		return this._listen((_req, res) => {
			res.end(JSON.stringify({instances: [...this._listEntries, {id: 7, state: 'odd'}], next: null}));
		});
	}

	/** Returns the requests that callers sent to a path, without the prefill requests that the router adds. */
	callerRequests(path: string): ReceivedRequest[] {
		return this.receivedRequests.filter(request => request.path === path && request.headers.stage !== 'prefill');
	}

	close(): void {
		for (const server of this._servers) {
			server.closeAllConnections();
			server.close();
		}
	}

	private async _listen(handler: (req: IncomingMessage, res: ServerResponse) => void): Promise<string> {
		const server = createServer(handler);
		this._servers.push(server);
		await new Promise<void>(resolve => {
			server.listen(0, '127.0.0.1', resolve);
		});
		return `127.0.0.1:${(server.address() as AddressInfo).port}`;
	}

	private _handleRequest(id: string, stage: PlatformServerOptions['stage'], req: IncomingMessage, res: ServerResponse): void {
		const {url = '', method = ''} = req;
		const request: ReceivedRequest = {
			server: id, method, path: url, headers: req.headers, isClosed: false,
		};
		this.receivedRequests.push(request);
		res.once('close', () => {
			request.isClosed = true;
		});
		req.resume();
		this.reservations.delete(req.headers['kv-hold'] as string);
		if (this.overrideHandler?.(req, res) === true || this._answerControlRequest(id, req, res)) {
			return;
		}

		res.setHeader('Request-Id', req.headers['request-id'] ?? '');
		if (req.headers['expect-instance'] !== id) {
			res.writeHead(421, {'Not-Run': '1'}).end();
		} else if (req.headers.stage === 'prefill') {
			res.end(JSON.stringify({kvHandle: `kv-${id}`, tokens: 10, version: 1}));
		} else {
			this._answerCallerRequest(id, stage, req, res);
		}
	}

	private _answerControlRequest(id: string, {url = ''}: IncomingMessage, res: ServerResponse): boolean {
		if (url === '/v1/hold-take') {
			const hold = `hold-${id}-${this._nextReservation++}`;
			this.reservations.add(hold);
			res.end(JSON.stringify({hold}));
			return true;
		}

		if (url.startsWith('/v1/')) {
			this.reservations.delete(url.slice(url.lastIndexOf('/') + 1));
			res.end('{}');
			return true;
		}

		return false;
	}

	private _answerCallerRequest(id: string, stage: PlatformServerOptions['stage'], req: IncomingMessage, res: ServerResponse): void {
		res.setHeader('Server-Stamp', `stamp-${id}`);
		if (stage === undefined) {
			res.end(`${id} ${req.headers.tenant as string}`);
			return;
		}

		res.writeHead(200, {'content-type': 'text/event-stream'});
		const from = Number(req.headers['last-event-id'] ?? 0);
		for (let i = from + 1; i <= 5; i++) {
			res.write(`id: ${i}\ndata: ${id}\n\n`);
		}

		if (req.headers.model !== 'endless') {
			res.end();
		}
	}
}
