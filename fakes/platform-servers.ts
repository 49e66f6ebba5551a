/** Test doubles of the servers on the users' platform and of the list that names these servers. They support only what the tests of the platform adapter need. */
import {createServer} from 'node:http';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';
import {text} from 'node:stream/consumers';
import {setTimeout as sleep} from 'node:timers/promises';

/** Record of a request that a server received. */
export type ReceivedRequest = {
	readonly server: string;
	readonly method: string;
	readonly path: string;
	readonly headers: Readonly<Record<string, string | string[] | undefined>>;
	readonly atMs: number;
	/** Whether the response has ended or its connection has closed. */
	isClosed: boolean;
};

export type PlatformServerOptions = {
	readonly service: string;
	readonly id: string;
	/** Availability zone, "z1" by default. */
	readonly zone?: string;
	readonly stage?: 'prefill' | 'decode';
	readonly state?: 'ready' | 'draining';
};

/** A crash of a server. */
export type ServerCrash = {readonly server: string; readonly atMs: number};

/** Time for which a crashed server is down, in milliseconds. */
const restartDelayMs = 400;
/** Time that a request which crashes its server runs before, in milliseconds. */
const crashDelayMs = 40;

type RequestHandler = (req: IncomingMessage, res: ServerResponse) => boolean;

/** Servers of one platform and the list that names them. */
export class PlatformServers {
	readonly receivedRequests: ReceivedRequest[] = [];
	/** Time for which the list says that each server remains cold, in milliseconds. */
	coldLeftMs = 0;
	/** Ids of the reservations that engines hold. */
	readonly reservations = new Set<string>();
	/** Handler that is called first for each request. If it returns true, it has handled the request, and the default behaviour is skipped. */
	overrideHandler: RequestHandler | undefined;
	/** Handler that is called first for each call of the list. If it returns true, it has handled the call. */
	overrideList: RequestHandler | undefined;
	/** Id of a prompt part on which an engine crashes when it begins to write the output; it starts again under another id a short time later. */
	crashingPart: string | undefined;
	/** Stage whose engines crash on the part. */
	crashingStage: 'prefill' | 'decode' = 'decode';
	readonly crashes: ServerCrash[] = [];
	/** Returns whether a server crashes shortly after it has begun to run a request with this body; prompts are read without harm. */
	isCrashingRequest: ((req: IncomingMessage, body: string) => boolean) | undefined;
	/** Writes the part of its answer that a server writes before a request crashes it; nothing if undefined. */
	writeBeforeCrash: ((req: IncomingMessage, res: ServerResponse) => void) | undefined;
	/** Time that a plain request runs, in milliseconds. */
	plainRunMs = 0;
	/** Entries of another writer in the list, as JSON; the list names them first. */
	foreignEntries: string[] = [];
	private readonly _servers: Server[] = [];
	private readonly _restartTimers = new Set<NodeJS.Timeout>();
	private readonly _listEntries: Array<Record<string, unknown>> = [];
	private _nextReservation = 1;

	/** Starts a server and adds it to the list. */
	async addServer(options: PlatformServerOptions): Promise<void> {
		await this._startServer(options, 0, 1);
	}

	/** Starts the server of the list and returns its IP address and port. */
	async startList(): Promise<string> {
		return addressOf(await this._listen((req, res) => {
			if (this.overrideList?.(req, res) === true) {
				return;
			}

			const listed = this._listEntries.map(entry => ({...entry, coldLeftMs: this.coldLeftMs}));
			const entries = [...listed, {id: 7, state: 'odd'}].map(entry => JSON.stringify(entry));
			res.end(`{"instances":[${[...this.foreignEntries, ...entries].join(',')}],"next":null}`);
		}));
	}

	/** Returns the requests that callers sent to a path, without the prefill requests that the router adds. */
	callerRequests(path: string): ReceivedRequest[] {
		return this.receivedRequests.filter(request => request.path === path && request.headers.stage !== 'prefill');
	}

	/** Requests with the crashing part that reached a server, prefill calls included. */
	crashingRequests(): ReceivedRequest[] {
		return this.receivedRequests.filter(({headers}) => this._isCrashing(headers));
	}

	close(): void {
		for (const timer of this._restartTimers) {
			clearTimeout(timer);
		}

		for (const server of this._servers) {
			server.closeAllConnections();
			server.close();
		}
	}

	private async _startServer(options: PlatformServerOptions, port: number, born: number): Promise<void> {
		const {
			service, id, zone = 'z1', stage, state = 'ready',
		} = options;
		const server = await this._listen((req, res) => {
			if (stage === this.crashingStage && (stage === 'prefill') === (req.headers.stage === 'prefill') && this._isCrashing(req.headers)) {
				this._recordRequest(id, req, res);
				this.writeBeforeCrash?.(req, res);
				this._crash(options, server, born);
			} else if (this.isCrashingRequest && req.headers.stage !== 'prefill' && req.headers['expect-instance'] === id) {
				void this._runUnlessCrashing(options, server, born, {req, res});
			} else {
				this._handleRequest(id, stage, req, res);
			}
		}, port);
		const entry = {
			service, id, address: addressOf(server), zone, version: 'v1', slots: 8, state, born, ...(stage && {stage, models: []}),
		};
		const former = this._listEntries.findIndex(({address}) => address === entry.address);
		this._listEntries.splice(former === -1 ? this._listEntries.length : former, former === -1 ? 0 : 1, entry);
	}

	private _crash(options: PlatformServerOptions, server: Server, born: number): void {
		const {port} = server.address() as AddressInfo;
		this.crashes.push({server: options.id, atMs: performance.now()});
		server.close();
		server.closeAllConnections();
		const timer = setTimeout(() => {
			this._restartTimers.delete(timer);
			void this._startServer({...options, id: `${options.id.split('+', 1)[0]}+${born}`}, port, born + 1);
		}, restartDelayMs);
		this._restartTimers.add(timer);
	}

	private async _runUnlessCrashing(options: PlatformServerOptions, server: Server, born: number, {req, res}: {readonly req: IncomingMessage; readonly res: ServerResponse}): Promise<void> {
		const body = await text(req);
		if (this.isCrashingRequest!(req, body)) {
			this._recordRequest(options.id, req, res);
			this.writeBeforeCrash?.(req, res);
			await sleep(crashDelayMs);
			if (server.listening) {
				this._crash(options, server, born);
			}
		} else {
			this._handleRequest(options.id, options.stage, req, res);
		}
	}

	private _isCrashing(headers: ReceivedRequest['headers']): boolean {
		const parts = String(headers['prompt-prefix'] ?? '').split(',').map(entry => entry.split(':', 1)[0]);
		return this.crashingPart !== undefined && parts.includes(this.crashingPart);
	}

	private async _listen(handler: (req: IncomingMessage, res: ServerResponse) => void, port = 0): Promise<Server> {
		const server = createServer(handler);
		this._servers.push(server);
		await new Promise<void>(resolve => {
			server.listen(port, '127.0.0.1', resolve);
		});
		return server;
	}

	private _recordRequest(server: string, req: IncomingMessage, res: ServerResponse): void {
		const request: ReceivedRequest = {
			server, method: req.method ?? '', path: req.url ?? '', headers: req.headers, atMs: performance.now(), isClosed: false,
		};
		this.receivedRequests.push(request);
		res.once('close', () => {
			request.isClosed = true;
		});
		req.resume();
	}

	private _handleRequest(id: string, stage: PlatformServerOptions['stage'], req: IncomingMessage, res: ServerResponse): void {
		this._recordRequest(id, req, res);
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
			setTimeout(() => {
				res.end(`${id} ${req.headers.tenant as string}`);
			}, this.plainRunMs);
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

function addressOf(server: Server): string {
	return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}
