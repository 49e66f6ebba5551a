import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';

type Answer = {readonly status: number; readonly headers: Readonly<Record<string, string>>; readonly body: string};

/** Writes answers as a faulty server does: each is written again on its connection, ahead of the next answer that is due there or behind itself. */
export class RepeatingWriter {
	/** Number of copies written so far. */
	copies = 0;
	/** Time from the copy to the answer that is due or, if copies are written behind their answers, from the answer to its copy, in milliseconds. */
	delayMs = 0;
	/** Number of copies that are written in a row. */
	copiesInRow = 1;
	/** Whether a copy is written behind its answer, although no call waits for one. */
	isBehind = false;
	/** Number of bytes that a copy lacks at its end. */
	missingBytes = 0;
	/** Whether the connection is closed behind a copy. */
	isClosing = false;
	private readonly _lastAnswers = new WeakMap<Socket, string>();

	write(req: IncomingMessage, res: ServerResponse, {status, headers, body}: Answer): void {
		const lines = Object.entries({...headers, 'Content-Length': String(body.length)}).map(([name, value]) => `${name}: ${value}\r\n`);
		const text = `HTTP/1.1 ${status} Status\r\n${lines.join('')}\r\n${body}`;
		if (this.isBehind) {
			res.writeHead(status, headers).end(body);
			setTimeout(() => {
				this._copy(req.socket, text);
			}, this.delayMs);
			return;
		}

		const earlier = this._lastAnswers.get(req.socket);
		if (earlier !== undefined) {
			this._copy(req.socket, earlier);
		}

		this._lastAnswers.set(req.socket, text);
		setTimeout(() => {
			res.writeHead(status, headers).end(body);
		}, earlier === undefined ? 0 : this.delayMs);
	}

	private _copy(socket: Socket, text: string): void {
		if (socket.destroyed) {
			return;
		}

		this.copies += this.copiesInRow;
		socket.write(text.repeat(this.copiesInRow).slice(0, (text.length * this.copiesInRow) - this.missingBytes));
		if (this.isClosing) {
			socket.end();
		}
	}
}
