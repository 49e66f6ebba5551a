import {createServer} from 'node:http';
import {once} from 'node:events';

/** Stand-in of the platform's list of servers (`GET /instances`), which shows changes `lagMs` after they were made. */
export class PlatformList {
	constructor(lagMs = 800) {
		this._lagMs = lagMs;
		this._published = [];
	}

	async start() {
		this._server = createServer((req, res) => {
			const isList = req.method === 'GET' && req.url.startsWith('/instances');
			res.writeHead(isList ? 200 : 404, {'content-type': 'application/json'});
			res.end(isList ? JSON.stringify({instances: this._published, next: null}) : '{}');
		});
		this._server.listen(0, '127.0.0.1');
		await once(this._server, 'listening');
		this.address = `127.0.0.1:${this._server.address().port}`;
	}

	/** Replaces the entries of the list, after the lag of the list. */
	publish(entries) {
		const copy = structuredClone(entries);
		setTimeout(() => {
			this._published = copy;
		}, this._lagMs);
	}

	close() {
		this._server.closeAllConnections();
		this._server.close();
	}
}
