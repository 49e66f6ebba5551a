import assert from 'node:assert/strict';
import {once} from 'node:events';
import {connect} from 'node:net';
import type {Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';

/** TCP client that sends bytes unchanged, for messages that an HTTP client would not send. */
export class RawClient {
	static async connect(address: string): Promise<RawClient> {
		const [host, port] = address.split(':');
		const socket = connect(Number(port), host);
		await once(socket, 'connect');
		return new RawClient(socket);
	}

	received = '';
	isClosed = false;
	/** Whether the server has reset the connection. */
	wasReset = false;

	private constructor(readonly socket: Socket) {
		socket.on('data', (data: Uint8Array) => {
			this.received += new TextDecoder().decode(data);
		});
		socket.on('error', () => {
			this.wasReset = true;
		});
		socket.on('end', () => {
			// Node.js reports a reset that follows the last bytes as an end; the connection has no peer then.
			this.wasReset ||= socket.remoteAddress === undefined;
		});
		socket.on('close', () => {
			this.isClosed = true;
		});
	}

	/** Status codes of the responses received so far. */
	get statuses(): string[] {
		return [...this.received.matchAll(/HTTP\/1\.1 (\d+)/g)].map(match => match[1]!);
	}

	send(...lines: string[]): void {
		this.socket.write(lines.join('\r\n'));
	}
}

/** Resolves when the address refuses connections. */
export async function waitUntilRefused(address: string): Promise<void> {
	await assert.rejects(async () => {
		for (;;) {
			const {socket} = await RawClient.connect(address);
			socket.destroy();
			await sleep(5);
		}
	}, /ECONNREFUSED|ECONNRESET/);
}
