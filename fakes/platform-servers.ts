/** Stand-ins for the servers of the users' platform and for its list of them, as far as the adapter's tests need them. */
import {createServer} from 'node:http';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';

/** One request that a server received. */
export type SeenRequest = {
	readonly server: string;
	readonly method: string;
	readonly path: string;
	readonly headers: Readonly<Record<string, string | string[] | undefined>>;
	isClosed: boolean;
};

export type StandInServer = {
	readonly service: string;
	readonly id: string;
	readonly stage?: 'prefill' | 'decode';
	readonly state?: 'ready' | 'draining';
};

type Behaviour = (req: IncomingMessage, res: ServerResponse) => boolean;

/** Servers of one platform behind one list. */
export class PlatformServers {
	readonly seen: SeenRequest[] = [];
	/** Reservations that engines hold. */
	readonly holds = new Set<string>();
	/** Answers a request in place of the usual behaviour when it returns true. */
	override: Behaviour | undefined;
	private readonly _servers: Server[] = [];
	private readonly _entries: Array<Record<string, unknown>> = [];
	private _nextHold = 1;

	/** Starts a server and puts it on the list. */
	async add({service, id, stage, state = 'ready'}: StandInServer): Promise<void> {
		const address = await this._listen((req, res) => {
			this._serve(id, stage, req, res);
		});
		this._entries.push({
			service, id, address, zone: 'z1', version: 'v1', slots: 8, state, coldLeftMs: 0, born: 1, ...(stage && {stage, models: []}),
		});
	}

	/** Starts the list; resolves with its address. */
	async list(): Promise<string> {
		return this._listen((_req, res) => {
			res.end(JSON.stringify({instances: [...this._entries, {id: 7, state: 'odd'}], next: null}));
		});
	}

	/** Requests that a caller sent, without calls of the system's own. */
	runs(path: string): SeenRequest[] {
		return this.seen.filter(request => request.path === path && request.headers.stage !== 'prefill');
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

	private _serve(id: string, stage: StandInServer['stage'], req: IncomingMessage, res: ServerResponse): void {
		const {url = '', method = ''} = req;
		const request: SeenRequest = {
			server: id, method, path: url, headers: req.headers, isClosed: false,
		};
		this.seen.push(request);
		res.once('close', () => {
			request.isClosed = true;
		});
		req.resume();
		this.holds.delete(req.headers['kv-hold'] as string);
		if (this.override?.(req, res) === true || this._control(id, req, res)) {
			return;
		}

		res.setHeader('Request-Id', req.headers['request-id'] ?? '');
		if (req.headers['expect-instance'] !== id) {
			res.writeHead(421, {'Not-Run': '1'}).end();
		} else if (req.headers.stage === 'prefill') {
			res.end(JSON.stringify({kvHandle: `kv-${id}`, tokens: 10, version: 1}));
		} else {
			this._answer(id, stage, req, res);
		}
	}

	private _control(id: string, {url = ''}: IncomingMessage, res: ServerResponse): boolean {
		if (url === '/v1/hold-take') {
			const hold = `hold-${id}-${this._nextHold++}`;
			this.holds.add(hold);
			res.end(JSON.stringify({hold}));
			return true;
		}

		if (url.startsWith('/v1/')) {
			this.holds.delete(url.slice(url.lastIndexOf('/') + 1));
			res.end('{}');
			return true;
		}

		return false;
	}

	private _answer(id: string, stage: StandInServer['stage'], req: IncomingMessage, res: ServerResponse): void {
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
