import {Buffer} from 'node:buffer';
import {createServer} from 'node:http';
import {once} from 'node:events';
import {setTimeout as sleep} from 'node:timers/promises';

const reasons = {
	200: 'OK', 400: 'Bad Request', 421: 'Misdirected Request', 503: 'Service Unavailable',
};

/**
Stand-in of a server of an application service. It runs `slots` requests at once, lets `queue` more wait and rejects others with 503 and
`Not-Run`. `isDoubled` decides for each answer whether a second copy of it follows late, at the point where the next answer on the
connection is expected. `isAnnounced` decides for each request whether the head of an interim response (102) goes ahead of its answer.
*/
export class PlainServer {
	constructor({id, service, zone, slots, queue, workMs, record, isDoubled = () => false, isAnnounced = () => false}) {
		this.id = id;
		this._options = {
			service, zone, slots, queue, workMs, record, isDoubled, isAnnounced,
		};
		this._running = 0;
		this._waiting = [];
		/** Copies of answers that are still to be sent, by connection. */
		this._lateCopies = new WeakMap();
		this.born = Date.now();
		this.answers = 0;
		this.copies = 0;
		this.announcements = 0;
	}

	/** Number of requests that the server works on. */
	get running() {
		return this._running;
	}

	get entry() {
		const {service, zone, slots} = this._options;
		return {
			id: this.id, service, address: this.address, zone, version: 'v1', slots, state: 'ready', coldLeftMs: 0, born: this.born,
		};
	}

	async start() {
		this._server = createServer({keepAliveTimeout: 60_000}, (req, res) => {
			this._handle(req, res);
		});
		this._server.listen(0, '127.0.0.1');
		await once(this._server, 'listening');
		this.address = `127.0.0.1:${this._server.address().port}`;
	}

	close() {
		this._server.closeAllConnections();
		this._server.close();
	}

	async _handle(req, res) {
		req.on('error', () => undefined);
		const {record, slots, queue, workMs, isAnnounced} = this._options;
		const requestId = req.headers['request-id'];
		const copy = this._lateCopies.get(req.socket);
		if (copy) {
			this._lateCopies.delete(req.socket);
			this.copies++;
			record.add(`${this.id} sends the second copy of its answer ${copy.status} to ${copy.requestId}; ${requestId ?? req.url} is waiting on this connection`);
			req.socket.write(copy.bytes);
		}

		req.resume();
		try {
			await once(req, 'end');
		} catch {
			// The caller closed the connection within the body.
			return;
		}

		if (req.url === '/healthz') {
			res.writeHead(200, {'Instance-Id': this.id, 'Content-Length': 0}).end();
			return;
		}

		if (requestId === undefined) {
			this._answer(req, res, {status: 400, headers: {'Not-Run': '1'}});
			return;
		}

		if ((req.headers['expect-instance'] ?? this.id) !== this.id) {
			this._answer(req, res, {status: 421, headers: {'Not-Run': '1'}});
			return;
		}

		if (this._running >= slots) {
			if (this._waiting.length >= queue) {
				this._answer(req, res, {status: 503, headers: {'Not-Run': '1'}});
				return;
			}

			await new Promise(resolve => {
				this._waiting.push(resolve);
			});
		}

		this._running++;
		record.run(requestId, this.id);
		if (isAnnounced()) {
			this.announcements++;
			record.add(`${this.id} sends the head of an interim response to ${requestId}`);
			res.writeProcessing();
		}

		await sleep(workMs());
		this._running--;
		this._waiting.shift()?.();
		this._answer(req, res, {status: 200, headers: {'Server-Stamp': `${this.id}.${requestId}`}, body: `done ${requestId}`});
	}

	_answer(req, res, {status, headers = {}, body = ''}) {
		const {record, isDoubled} = this._options;
		const requestId = req.headers['request-id'] ?? '';
		const all = {'Request-Id': requestId, ...headers, 'Content-Length': Buffer.byteLength(body)};
		this.answers++;
		record.add(`${this.id} answers ${requestId} with ${status}${headers['Not-Run'] ? ', not run' : ''}`);
		if (isDoubled()) {
			const head = Object.entries(all).map(([name, value]) => `${name}: ${value}\r\n`).join('');
			this._lateCopies.set(req.socket, {requestId, status, bytes: `HTTP/1.1 ${status} ${reasons[status]}\r\n${head}\r\n${body}`});
		}

		res.writeHead(status, all).end(body);
	}
}
