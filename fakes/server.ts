import {createServer} from 'node:http';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';
import {json} from 'node:stream/consumers';
import type {Disposable} from '../src/common/core/disposable.js';
import {faultSchema} from './faults.js';
import type {Fault} from './faults.js';

export type FakeServerOptions = {
	readonly name: string;
	/** Port of the service on the loopback address; 0 takes a free one. */
	readonly port?: number;
	/** Port of the control address; 0 takes a free one. */
	readonly controlPort?: number;
};

const host = '127.0.0.1';

export function sendJson(res: ServerResponse, status: number, body?: unknown): void {
	res.writeHead(status, body === undefined ? {} : {'content-type': 'application/json'});
	res.end(body === undefined ? undefined : JSON.stringify(body));
}

async function listen(server: Server, port: number): Promise<number> {
	await new Promise<void>((resolve, reject) => {
		server.once('error', reject);
		server.listen(port, host, () => {
			server.off('error', reject);
			resolve();
		});
	});
	return (server.address() as AddressInfo).port;
}

/** Base of the test doubles: one listener for the service, one for control, and the faults of connections. */
export abstract class FakeServer implements Disposable {
	/** Factor on all service times. */
	protected slowness = 1;
	protected isLeaving = false;
	/** Requests that carried an `Authorization` header. */
	protected keysSeen = 0;
	private readonly _sockets = new Set<Socket>();
	private readonly _silent = new WeakSet<Socket>();
	private readonly _controlServer = createServer(async (req, res) => this._control(req, res));
	private _server = this._createServer();
	private _port = 0;
	private _controlPort = 0;
	private _isRefusing = false;
	private _isResetting = false;
	private _isStalled = false;

	constructor(protected readonly options: FakeServerOptions) {}

	get name(): string {
		return this.options.name;
	}

	/** IP address and port of the service. */
	get address(): string {
		return `${host}:${this._port}`;
	}

	/** IP address and port of the control listener. */
	get controlAddress(): string {
		return `${host}:${this._controlPort}`;
	}

	async start(): Promise<void> {
		this._port = await listen(this._server, this.options.port ?? 0);
		this._controlPort = await listen(this._controlServer, this.options.controlPort ?? 0);
	}

	async dispose(): Promise<void> {
		this._server.close();
		this._controlServer.close();
		this._controlServer.closeAllConnections();
		for (const socket of this._sockets) {
			socket.destroy();
		}
	}

	/** Switches a fault on, like `POST /control`. */
	async setFault(fault: Fault): Promise<void> {
		switch (fault.fault) {
			case 'none': {
				this._isResetting = false;
				this._isStalled = false;
				this.slowness = 1;
				this.isLeaving = false;
				await this._stopRefusing();
				break;
			}

			case 'stall': {
				this._isStalled = true;
				break;
			}

			case 'refuse': {
				this._isRefusing = true;
				this._server.close();
				this._endConnections(socket => socket.destroy());
				break;
			}

			case 'reset': {
				this._isResetting = true;
				this._endConnections(socket => socket.resetAndDestroy());
				break;
			}

			case 'silence': {
				for (const socket of this._sockets) {
					this._silent.add(socket);
				}

				break;
			}

			case 'slow': {
				this.slowness = fault.factor;
				break;
			}

			case 'leaving': {
				this.isLeaving = fault.on;
				break;
			}

			case 'drop-events':
			case 'hold-answers':
			case 'reset-answers':
			case 'set-vm':
			case 'stall-transfers': {
				break;
			}
		}

		this.applyFault(fault);
	}

	/** What `GET /control/record` answers. */
	abstract record(): unknown;

	/** Handles the faults that only one kind of double has. */
	protected applyFault(_fault: Fault): void {
		// The base class has handled the faults of connections.
	}

	/** Whether bytes may still leave on this connection. */
	protected canWrite(res: ServerResponse): boolean {
		return res.socket !== null && !res.destroyed && !this._silent.has(res.socket);
	}

	protected reply(res: ServerResponse, status: number, body?: unknown): void {
		if (this.canWrite(res)) {
			sendJson(res, status, body);
		}
	}

	protected abstract serve(req: IncomingMessage, res: ServerResponse): Promise<void>;

	private _createServer(): Server {
		const server = createServer(async (req, res) => this._accept(req, res));
		// A quiet connection must not be closed by the double itself, since routers have to cope with that on their own.
		server.keepAliveTimeout = 0;
		server.on('connection', socket => {
			this._sockets.add(socket);
			socket.on('error', () => socket.destroy());
			socket.once('close', () => this._sockets.delete(socket));
		});
		return server;
	}

	private async _accept(req: IncomingMessage, res: ServerResponse): Promise<void> {
		if (this._isResetting) {
			req.socket.resetAndDestroy();
			return;
		}

		if (this._isStalled || this._silent.has(req.socket)) {
			return;
		}

		this.keysSeen += req.headers.authorization === undefined ? 0 : 1;
		try {
			await this.serve(req, res);
		} catch (err) {
			if (!res.headersSent) {
				this.reply(res, 400, {code: 'bad-request', detail: err instanceof Error ? err.message : String(err)});
			}
		}
	}

	private async _control(req: IncomingMessage, res: ServerResponse): Promise<void> {
		if (req.method === 'GET' && req.url === '/control/record') {
			sendJson(res, 200, this.record());
			return;
		}

		try {
			await this.setFault(faultSchema.parse(await json(req)));
			sendJson(res, 204);
		} catch (err) {
			sendJson(res, 400, {detail: String(err)});
		}
	}

	private _endConnections(end: (socket: Socket) => void): void {
		for (const socket of this._sockets) {
			end(socket);
		}
	}

	private async _stopRefusing(): Promise<void> {
		if (this._isRefusing) {
			this._isRefusing = false;
			this._server = this._createServer();
			await listen(this._server, this._port);
		}
	}
}
