import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';

type Answer = {readonly status: number; readonly headers: Readonly<Record<string, string>>; readonly body: string};

/** Writes answers as a faulty server does: once a connection has carried one, the next answer on it is preceded by a copy of that one. */
export class RepeatingWriter {
	copies = 0;
	/** Time from the copy to the answer that is due, in milliseconds. */
	delayMs = 0;
	private readonly _lastAnswers = new WeakMap<Socket, string>();

	write(req: IncomingMessage, res: ServerResponse, {status, headers, body}: Answer): void {
		const lines = Object.entries({...headers, 'Content-Length': String(body.length)}).map(([name, value]) => `${name}: ${value}\r\n`);
		const earlier = this._lastAnswers.get(req.socket);
		if (earlier !== undefined) {
			this.copies++;
			req.socket.write(earlier);
		}

		this._lastAnswers.set(req.socket, `HTTP/1.1 ${status} Status\r\n${lines.join('')}\r\n${body}`);
		setTimeout(() => {
			res.writeHead(status, headers).end(body);
		}, earlier === undefined ? 0 : this.delayMs);
	}
}
