/** Servers of the scripts of the third review. They follow the users' pages. */
import {Buffer} from 'node:buffer';
import {randomBytes} from 'node:crypto';
import http from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';

/** A plain server. Each start has a new id. */
export class PlainServer {
	/**
	@param behave - called with each request before it is answered; may crash the server, or return fields of the answer
	@param sendBody - sends the body of each answer and ends it; a short text is sent if it is absent
	*/
	constructor({
		service, zone, host, port, record, slots = 6, workMs = 20, behave, sendBody,
	}) {
		Object.assign(this, {
			service, zone, host, port, record, slots, workMs, behave, sendBody,
		});
		this.runs = [];
		this.runIds = new Set();
		this.isUp = false;
	}

	get entry() {
		return {
			service: this.service, address: `${this.host}:${this.port}`, zone: this.zone, version: 'v1', slots: this.slots, state: this.state ?? 'ready', coldLeftMs: 0, id: this.id, born: this.born,
		};
	}

	async start() {
		this.id = `i-${randomBytes(4).toString('hex')}`;
		this.born = Date.now();
		this._sockets = new Set();
		this._server = http.createServer(async (req, res) => this._handle(req, res));
		this._server.keepAliveTimeout = 5000;
		this._server.on('connection', socket => {
			this._sockets.add(socket);
			socket.once('close', () => this._sockets.delete(socket));
		});
		await new Promise(resolve => {
			this._server.listen(this.port, this.host, resolve);
		});
		this.isUp = true;
		this.record.write(`server ${this.host} starts as ${this.id}`);
	}

	/** Ends all connections and refuses new ones, as when a process ends. */
	stop() {
		this.isUp = false;
		this._server?.close();
		for (const socket of this._sockets ?? []) {
			socket.resetAndDestroy();
		}
	}

	async _handle(req, res) {
		const {id} = this;
		const requestId = req.headers['request-id'];
		const chunks = [];
		for await (const chunk of req) {
			chunks.push(chunk);
		}

		const send = (status, headers, body = '') => {
			res.writeHead(status, {...headers, 'content-length': Buffer.byteLength(body), ...(requestId !== undefined && {'request-id': requestId})});
			res.end(body);
		};

		if (req.headers['expect-instance'] !== undefined && req.headers['expect-instance'] !== id) {
			send(421, {'not-run': '1'});
			return;
		}

		if (req.url === '/healthz') {
			send(200, {'instance-id': id});
			return;
		}

		if (requestId === undefined) {
			send(400, {'not-run': '1'});
			return;
		}

		const request = {
			req, requestId, body: Buffer.concat(chunks).toString(), server: this,
		};
		this.runs.push({requestId, atMs: this.record.nowMs, server: this.host});
		this.runIds.add(requestId);
		this.record.write(`server ${this.host} (${id}) runs ${req.method} ${req.url} ${requestId}`);
		const answer = await this.behave?.(request);
		if (!this.isUp || this.id !== id || answer === 'crashed') {
			return;
		}

		await sleep(answer?.workMs ?? this.workMs);
		if (this.sendBody) {
			res.writeHead(200, {'request-id': requestId, 'server-stamp': `${id}.${requestId}`, 'transfer-encoding': 'chunked'});
			await this.sendBody(res);
			return;
		}

		send(answer?.status ?? 200, {'server-stamp': `${id}.${requestId}`, ...answer?.headers}, answer?.body ?? `answer to ${requestId}`);
	}
}
