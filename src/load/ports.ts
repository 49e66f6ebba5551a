import process from 'node:process';
import {createServer} from 'node:net';
import {SeededRandom} from '../common/core/random.js';

/** Ports below the range that the kernel gives to outgoing connections, so that none takes a port between the check and its use. */
const firstPort = 15_000;
const lastPort = 32_000;

const random = new SeededRandom(process.pid * 7919);
const taken = new Set<number>();

async function canListen(port: number): Promise<boolean> {
	return new Promise(resolve => {
		const server = createServer();
		server.once('error', () => {
			resolve(false);
		});
		server.listen(port, '127.0.0.1', () => {
			server.close(() => {
				resolve(true);
			});
		});
	});
}

/** A loopback port that nobody listens on and that this process has not given out before. */
export async function freePort(): Promise<number> {
	for (;;) {
		const port = random.integer(firstPort, lastPort);
		if (!taken.has(port) && await canListen(port)) {
			taken.add(port);
			return port;
		}
	}
}
