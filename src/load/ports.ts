import process from 'node:process';
import {createServer} from 'node:net';
import {SeededRandom} from '../common/core/random.js';

/** Lowest port that can be allocated. The range lies below the kernel's ephemeral ports, so that no outgoing connection takes a port between the check and its use. */
const firstPort = 15_000;
/** Upper bound of the ports that can be allocated, exclusive. */
const lastPort = 32_000;

const random = new SeededRandom(process.pid * 7919);
const allocatedPorts = new Set<number>();

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

/** Returns a loopback port that has no listener and that this process has not allocated before. */
export async function allocatePort(): Promise<number> {
	for (;;) {
		const port = random.integer(firstPort, lastPort);
		if (!allocatedPorts.has(port) && await canListen(port)) {
			allocatedPorts.add(port);
			return port;
		}
	}
}
