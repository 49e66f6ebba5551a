import {Buffer} from 'node:buffer';
import {createServer} from 'node:http';
import {once} from 'node:events';
import {setTimeout as sleep} from 'node:timers/promises';

const reasons = {
	200: 'OK', 400: 'Bad Request', 404: 'Not Found', 421: 'Misdirected Request', 503: 'Service Unavailable',
};
const prefillTokensPerMs = 55.5;
const tokenBits = 18_432 * 8;
const linkBitsPerMs = 200e6;
const handleTtlMs = 500;
const kvTokens = 65_205;
/** A transfer that would wait longer is not started, in milliseconds. */
const maxTransferWaitMs = 2000;

/**
Stand-in of a model server in the stage `prefill` or `decode`.
- `isDoubled` decides for each answer, once the next request arrives on its connection, whether a second copy of it is sent there first.
- `transferFactor` slows the transfers of memory to this server down.
- `isDeadly` decides for each request to be decoded whether the server crashes when it begins to write the answer; it is back after `restartMs`.
- `stride` is the number of tokens in one event of a stream. Each event carries the number of its last token as its id.
- `isFramedByLength`: streams carry a `Content-Length`, not chunks.
- `pauseOf` returns how long a run is preempted before it makes the given token, in milliseconds; 0 if it is not.
- `isCutAt` decides whether the server resets the connection of a run right before it makes the given token.
- `reservedTokens` returns the memory that requests of other callers occupy, in tokens.
*/
export class Engine {
	/** Engines by their address, for transfers between them. */
	static byAddress = new Map();

	constructor({id, zone, stage, record, isDoubled = () => false, transferFactor = 1, isDeadly = () => false, events = 10, eventMs = 10, restartMs = 3000, onChange = () => undefined, stride = 1, isFramedByLength = false, pauseOf = () => 0, isCutAt = () => false, reservedTokens = () => 0}) {
		this.id = id;
		this.name = id;
		this.zone = zone;
		this.stage = stage;
		this.copies = 0;
		this.answers = 0;
		this.crashes = 0;
		this.isUp = false;
		this._options = {
			record, isDoubled, transferFactor, isDeadly, events, eventMs, restartMs, onChange, stride, isFramedByLength, pauseOf, isCutAt, reservedTokens,
		};
		this._port = 0;
		this._reset();
	}

	get entry() {
		return {
			id: this.id, service: 'lm', address: this.address, zone: this.zone, version: 'v1', slots: 64, state: 'ready', coldLeftMs: 0, born: this.born, stage: this.stage, models: [{name: 'm', version: 1, adapters: []}],
		};
	}

	async start() {
		this._reset();
		this.born = Date.now();
		this._server = createServer({keepAliveTimeout: 60_000}, (req, res) => {
			this._handle(req, res, this._server);
		});
		this._server.listen(this._port, '127.0.0.1');
		await once(this._server, 'listening');
		this._port = this._server.address().port;
		this.address = `127.0.0.1:${this._port}`;
		this.isUp = true;
		Engine.byAddress.set(this.address, this);
	}

	close() {
		this.isUp = false;
		clearTimeout(this._restartTimer);
		this._server.closeAllConnections();
		this._server.close();
	}

	_reset() {
		this._handles = new Map();
		this._holds = new Map();
		this._running = new Map();
		this._prefillQueue = Promise.resolve();
		/** Number of prompts that wait or are being read. */
		this.queued = 0;
		this._transferEndsMs = 0;
		this._lateCopies = new WeakMap();
		this._next = 1;
	}

	_crash() {
		const {record, restartMs, onChange} = this._options;
		this.crashes++;
		record.add(`${this.id} crashes`);
		record.crash?.(this.id);
		this.close();
		this._restartTimer = setTimeout(async () => {
			this.id = `${this.name}+${this.crashes}`;
			await this.start();
			record.add(`${this.id} is back`);
			onChange();
		}, restartMs);
	}

	async _handle(req, res, server) {
		const {record} = this._options;
		const copy = this._lateCopies.get(req.socket);
		this._lateCopies.delete(req.socket);
		if (copy && this._options.isDoubled(this, copy)) {
			this.copies++;
			record.add(`${this.id} sends the second copy of its answer to ${copy.label}; ${req.headers['request-id'] ?? req.url} is waiting on this connection`);
			req.socket.write(copy.bytes);
		}

		const chunks = [];
		try {
			for await (const chunk of req) {
				chunks.push(chunk);
			}
		} catch {
			return;
		}

		// A crash may have happened while the body was read.
		if (server === this._server && this.isUp) {
			await this._dispatch(req, res, Buffer.concat(chunks).toString('utf8'));
		}
	}

	async _dispatch(req, res, body) {
		const {method, url, headers} = req;
		if ((headers['expect-instance'] ?? this.id) !== this.id) {
			this._answer(req, res, {status: 421, headers: {'Not-Run': '1'}});
		} else if (url === '/healthz') {
			this._answer(req, res, {status: 200, headers: {'Instance-Id': this.id}});
		} else if (method === 'POST' && url === '/v1/hold-take') {
			this._takeHold(req, res, JSON.parse(body));
		} else if (method === 'DELETE' && url.startsWith('/v1/')) {
			const id = url.slice(url.lastIndexOf('/') + 1);
			const isKnown = this._handles.delete(id) || this._holds.delete(id);
			this._answer(req, res, {status: isKnown ? 200 : 404, body: '{}'});
		} else if (url === '/v1/report') {
			this._answer(req, res, {
				status: 200, body: JSON.stringify({
					stage: this.stage, models: [{name: 'm', version: 1, adapters: []}], busy: false, seq: 0, waiting: 0, running: this._running.size, kvUsed: 0, kvTotal: kvTokens, kvHandles: this._handles.size,
				}),
			});
		} else if (url.startsWith('/v1/')) {
			this._answer(req, res, {status: 400, headers: {'Not-Run': '1'}});
		} else if (headers['request-id'] === undefined) {
			this._answer(req, res, {status: 400, headers: {'Not-Run': '1'}});
		} else if (headers.stage === 'prefill') {
			await this._prefill(req, res);
		} else {
			await this._decode(req, res);
		}
	}

	_takeHold(req, res, {tokens, ttl_ms: ttlMs}) {
		const nowMs = performance.now();
		let used = this._options.reservedTokens();
		for (const [id, hold] of this._holds) {
			if (hold.untilMs <= nowMs) {
				this._holds.delete(id);
			} else {
				used += hold.tokens;
			}
		}

		for (const running of this._running.values()) {
			used += running;
		}

		if (used + tokens > kvTokens) {
			this._answer(req, res, {status: 503, body: '{}'});
			return;
		}

		const hold = `hold-${this.id}-${this._next++}`;
		this._holds.set(hold, {tokens, untilMs: nowMs + ttlMs});
		this._answer(req, res, {status: 200, headers: {'Content-Type': 'application/json'}, body: JSON.stringify({hold})});
	}

	async _prefill(req, res) {
		const {record} = this._options;
		if (this.stage !== 'prefill') {
			this._answer(req, res, {status: 421, headers: {'Not-Run': '1'}});
			return;
		}

		const requestId = req.headers['request-id'];
		const tokens = Number(req.headers['token-count'].split(',')[0]);
		const before = this._prefillQueue;
		this.queued++;
		this._prefillQueue = (async () => {
			await before;
			await sleep(tokens / prefillTokensPerMs);
			this.queued--;
		})();
		await this._prefillQueue;
		const handle = `h${this.id.replaceAll(/\W/g, '')}x${this._next++}`;
		this._handles.set(handle, {requestId, tokens, untilMs: performance.now() + handleTtlMs});
		record.add(`${this.id} has read the prompt of ${requestId}: handle ${handle}`);
		this._answer(req, res, {
			status: 200, headers: {'Content-Type': 'application/json'}, body: JSON.stringify({kvHandle: handle, tokens, version: 1}), handle,
		});
	}

	/** Fetches the memory of a handle. Returns the id of the request whose prompt it holds; undefined if it is gone. */
	async _fetch(source) {
		const slash = source.lastIndexOf('/');
		const engine = Engine.byAddress.get(source.slice(0, slash));
		const handle = source.slice(slash + 1);
		const nowMs = performance.now();
		const waitMs = Math.max(0, this._transferEndsMs - nowMs);
		const known = engine?._handles.get(handle);
		if (!known || waitMs > maxTransferWaitMs) {
			return undefined;
		}

		const durationMs = known.tokens * tokenBits / linkBitsPerMs * this._options.transferFactor * (engine.zone === this.zone ? 1 : 2);
		this._transferEndsMs = nowMs + waitMs + durationMs;
		// The transfers of a server run one after another; the memory is taken when its transfer begins.
		await sleep(waitMs);
		const taken = engine._handles.get(handle);
		if (!taken || taken.untilMs < performance.now()) {
			return undefined;
		}

		engine._handles.delete(handle);
		await sleep(durationMs);
		return taken.requestId;
	}

	async _decode(req, res) {
		const {record, isDeadly} = this._options;
		const {headers} = req;
		const requestId = headers['request-id'];
		record.arrived?.(requestId, this.id, headers);
		if (this.stage !== 'decode') {
			this._answer(req, res, {status: 421, headers: {'Not-Run': '1'}});
			return;
		}

		const tokens = Number(headers['token-count'].split(',')[0]);
		this._holds.delete(headers['kv-hold']);
		this._running.set(req, tokens);
		req.on('error', () => undefined);
		res.once('close', () => {
			this._running.delete(req);
		});
		let owner = requestId;
		if (headers['kv-from'] === undefined) {
			await sleep(tokens / prefillTokensPerMs * 2);
		} else {
			owner = await this._fetch(headers['kv-from']);
			if (owner === undefined) {
				record.add(`${this.id} turns ${requestId} away: ${headers['kv-from']} is gone`);
				this._answer(req, res, {status: 503, headers: {'Not-Run': '1'}});
				return;
			}
		}

		if (res.destroyed || !this.isUp) {
			return;
		}

		record.run(requestId, this.id, owner);
		if (isDeadly(headers)) {
			this._crash();
			return;
		}

		await this._stream(req, res, owner);
	}

	/** Sends the events of a stream, after `Last-Event-Id` if the request has one. */
	async _stream(req, res, owner) {
		const {record, events, eventMs, stride, isFramedByLength, pauseOf, isCutAt} = this._options;
		const requestId = req.headers['request-id'];
		const pieces = [];
		for (let first = Number(req.headers['last-event-id'] ?? 0) + 1; first <= events; first += stride) {
			const last = Math.min(events, first + stride - 1);
			const text = Array.from({length: last - first + 1}, (_, i) => `text ${first + i}`).join(' ');
			pieces.push({first, last, bytes: `id: ${last}\ndata: ${text} on the prompt of ${owner}\n\n`});
		}

		res.writeHead(200, {
			'Request-Id': requestId, 'Server-Stamp': `${this.id}.${requestId}`, 'Content-Type': 'text/event-stream',
			...(isFramedByLength && {'Content-Length': pieces.reduce((sum, {bytes}) => sum + Buffer.byteLength(bytes), 0)}),
		});
		res.flushHeaders();
		for (const {first, last, bytes} of pieces) {
			if (isCutAt(first, requestId)) {
				record.add(`${this.id} resets the connection of ${requestId} before token ${first}`);
				req.socket.resetAndDestroy();
			}

			const pauseMs = pauseOf(first, requestId);
			if (pauseMs > 0) {
				record.add(`${this.id} preempts ${requestId} before token ${first} for ${pauseMs} ms`);
				await sleep(pauseMs);
				record.add(`${this.id} goes on with ${requestId}${res.destroyed ? ', whose connection was closed meanwhile' : ''}`);
			}

			await sleep(eventMs * (last - first + 1));
			if (res.destroyed) {
				return;
			}

			res.write(bytes);
		}

		record.add(`${this.id} has answered ${requestId}`);
		res.end();
	}

	_answer(req, res, {status, headers = {}, body = '', handle}) {
		const label = `${req.headers['request-id'] ?? req.url}${handle ? ` (${handle})` : ''}`;
		const {'request-id': requestId} = req.headers;
		const all = {...(requestId !== undefined && {'Request-Id': requestId}), ...headers, 'Content-Length': Buffer.byteLength(body)};
		this.answers++;
		const head = Object.entries(all).map(([name, value]) => `${name}: ${value}\r\n`).join('');
		this._lateCopies.set(req.socket, {label, handle, bytes: `HTTP/1.1 ${status} ${reasons[status]}\r\n${head}\r\n${body}`});
		res.writeHead(status, all).end(body);
	}
}
