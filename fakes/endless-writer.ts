/** Test doubles of a server that writes bytes without end which are no answer, or not the rest of one. */
import {once} from 'node:events';
import {createServer} from 'node:net';
import type {AddressInfo, Server, Socket} from 'node:net';

/** What a server writes first, and what it then writes again and again. */
export type EndlessPart = {readonly name: string; readonly start: string; readonly piece: string};

/** Size of a piece, in bytes. */
const pieceBytes = 65_536;

function repeat(text: string): string {
	return text.repeat(Math.ceil(pieceBytes / text.length));
}

/**
Returns the parts of an answer that may be without end.
@param headers - lines of the answer's head, each with its line break
*/
export function endlessParts(headers = ''): EndlessPart[] {
	const line = 'HTTP/1.1 200 OK\r\n';
	const chunked = `${line}${headers}Transfer-Encoding: chunked\r\n\r\n`;
	return [
		{name: 'text', start: '', piece: repeat('x')},
		{name: 'line breaks before the head', start: '', piece: repeat('\r\n')},
		{name: 'reason phrase', start: 'HTTP/1.1 200 ', piece: repeat('x')},
		{name: 'interim answers', start: '', piece: repeat('HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n')},
		{name: 'header name', start: line + headers, piece: repeat('x')},
		{name: 'header value', start: `${line}${headers}X-Long: `, piece: repeat('x')},
		{name: 'spaces before a header value', start: `${line}${headers}X-Long:`, piece: repeat(' ')},
		{name: 'header lines', start: line + headers, piece: repeat('X: y\r\n')},
		{name: 'body without framing', start: `${line}${headers}\r\n`, piece: repeat('x')},
		{name: 'body with a length', start: `${line}${headers}Content-Length: 99999999999999\r\n\r\n`, piece: repeat('x')},
		{name: 'chunks', start: chunked, piece: `${pieceBytes.toString(16)}\r\n${repeat('x')}\r\n`},
		{name: 'chunks of one byte', start: chunked, piece: repeat('1\r\nx\r\n')},
		{name: 'digits of a chunk size', start: chunked, piece: repeat('0')},
		{name: 'chunk extension', start: `${chunked}1;`, piece: repeat('x')},
		{name: 'chunks of one byte with long extensions', start: chunked, piece: `1;${repeat('x')}\r\nx\r\n`},
		{name: 'trailer', start: `${chunked}0\r\nX-Long: `, piece: repeat('x')},
		{name: 'trailer lines', start: `${chunked}0\r\n`, piece: repeat('X: y\r\n')},
	];
}

/** Writes to a connection until its other end closes it. */
export class EndlessWriter {
	isClosed = false;
	/** Bytes that the kernel has taken; final once the connection is closed. */
	bytes = 0;

	constructor(socket: Socket, {start, piece}: Omit<EndlessPart, 'name'>) {
		const writePieces = () => {
			while (!socket.destroyed && socket.write(piece, 'latin1')) {
				// Writes until the socket's buffer is full.
			}
		};

		socket.on('error', () => undefined).on('drain', () => {
			// Other connections of the process get their turn between two pieces.
			setImmediate(writePieces);
		});
		socket.once('close', () => {
			this.isClosed = true;
			this.bytes = socket.bytesWritten - socket.writableLength;
		});
		socket.resume().write(start, 'latin1');
		writePieces();
	}
}

/** Server that answers the first bytes on each connection without end. */
export class EndlessServer {
	static async start(part: EndlessPart): Promise<EndlessServer> {
		const server = createServer();
		const instance = new EndlessServer(server, part);
		server.listen(0, '127.0.0.1');
		await once(server, 'listening');
		return instance;
	}

	readonly writers: EndlessWriter[] = [];
	private readonly _sockets = new Set<Socket>();

	private constructor(private readonly _server: Server, part: EndlessPart) {
		_server.on('connection', socket => {
			this._sockets.add(socket);
			socket.on('error', () => undefined).once('data', () => {
				this.writers.push(new EndlessWriter(socket, part));
			});
		});
	}

	get address(): string {
		return `127.0.0.1:${(this._server.address() as AddressInfo).port}`;
	}

	close(): void {
		this._server.close();
		for (const socket of this._sockets) {
			socket.destroy();
		}
	}
}
