import {Buffer} from 'node:buffer';
import {createServer} from 'node:http';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import {Socket} from 'node:net';
import type {AddressInfo} from 'node:net';
import {json} from 'node:stream/consumers';
import type {Disposable} from '../src/common/core/disposable.js';
import {faultSchema} from './faults.js';
import type {Fault} from './faults.js';

export type FakeServerOptions = {
	readonly name: string;
	/** Port of the service on the loopback address; 0 selects a free port. */
	readonly port?: number;
	/** Port of the control listener on the loopback address; 0 selects a free port. */
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

/** Base class of the test doubles. It provides a listener for the service, a listener for control requests, and the faults that all doubles support. */
export abstract class FakeServer implements Disposable {
	/** Factor by which all service times are multiplied; 1 unless the fault `slow` is set. */
	protected serviceTimeFactor = 1;
	/** Whether the fault `leaving` is set. */
	protected isLeaving = false;
	/** Number of requests that carried an `Authorization` header. */
	protected keysSeen = 0;
	private readonly _sockets = new Set<Socket>();
	private readonly _silentSockets = new WeakSet<Socket>();
	/** What was written since the last request on a connection arrived. */
	private readonly _lastAnswers = new WeakMap<Socket, Uint8Array[]>();
	private readonly _controlServer = createServer(async (req, res) => this._handleControl(req, res));
	private _server = this._createServer();
	private _port = 0;
	private _controlPort = 0;
	private _isRefusing = false;
	private _isResetting = false;
	private _isStalled = false;
	private _isRepeating = false;

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

	/** Switches a fault on or off, as `POST /control` does. */
	async setFault(fault: Fault): Promise<void> {
		switch (fault.fault) {
			case 'none': {
				this._isResetting = false;
				this._isStalled = false;
				this._isRepeating = false;
				this.serviceTimeFactor = 1;
				this.isLeaving = false;
				await this._stopRefusing();
				break;
			}

			case 'stall': {
				this._isStalled = true;
				break;
			}

			case 'repeat-answers': {
				this._isRepeating = true;
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
					this._silentSockets.add(socket);
				}

				break;
			}

			case 'slow': {
				this.serviceTimeFactor = fault.factor;
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

	/** Returns the record of what the double did. `GET /control/record` answers with this record. */
	abstract getRecord(): unknown;

	/** Applies a fault that only one kind of double supports. The base class applies none. */
	protected applyFault(_fault: Fault): void {
		// Nothing to do: `setFault` has already applied the faults that all doubles support.
	}

	/** Returns whether the connection of a response is open and not silenced. */
	protected canWrite(res: ServerResponse): boolean {
		return res.socket !== null && !res.destroyed && !this._silentSockets.has(res.socket);
	}

	protected reply(res: ServerResponse, status: number, body?: unknown): void {
		if (this.canWrite(res)) {
			sendJson(res, status, body);
		}
	}

	protected abstract serve(req: IncomingMessage, res: ServerResponse): Promise<void>;

	private _createServer(): Server {
		const server = createServer(async (req, res) => this._handleRequest(req, res));
		// 0 disables the timeout, so the double never closes idle connections and the router under test has to manage them.
		server.keepAliveTimeout = 0;
		server.on('connection', socket => {
			this._sockets.add(socket);
			socket.on('error', () => socket.destroy());
			socket.once('close', () => this._sockets.delete(socket));
		});
		return server;
	}

	private async _handleRequest(req: IncomingMessage, res: ServerResponse): Promise<void> {
		if (this._isResetting) {
			req.socket.resetAndDestroy();
			return;
		}

		if (this._isStalled || this._silentSockets.has(req.socket)) {
			return;
		}

		if (this._isRepeating) {
			this._repeatLastAnswer(req.socket);
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

	private _repeatLastAnswer(socket: Socket): void {
		const earlier = this._lastAnswers.get(socket);
		if (earlier) {
			const copy = Buffer.concat(earlier);
			earlier.length = 0;
			Socket.prototype.write.call(socket, copy);
			return;
		}

		const written: Uint8Array[] = [];
		this._lastAnswers.set(socket, written);
		socket.write = function (chunk: Uint8Array | string, ...rest: unknown[]): boolean {
			written.push(typeof chunk === 'string' ? Buffer.from(chunk, rest[0] === 'latin1' ? 'latin1' : 'utf8') : chunk);
			return (Socket.prototype.write as (...args: unknown[]) => boolean).call(socket, chunk, ...rest);
		};
	}

	private async _handleControl(req: IncomingMessage, res: ServerResponse): Promise<void> {
		if (req.method === 'GET' && req.url === '/control/record') {
			sendJson(res, 200, this.getRecord());
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
