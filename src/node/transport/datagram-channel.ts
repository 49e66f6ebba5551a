import {createSocket} from 'node:dgram';
import type {Socket} from 'node:dgram';
import type {z} from 'zod';
import type {VmIdentity} from '../../common/core/types.js';
import {splitAddress} from '../address.js';
import {openDatagram, sealDatagram} from './frame.js';
import {datagramSchema} from './messages.js';

/** Maximum size of a datagram, in bytes; fits into one Ethernet frame, so that it is not fragmented. */
const maxDatagramBytes = 1400;

type Datagram = z.infer<typeof datagramSchema>;

export type DatagramChannelOptions = {
	readonly cluster: string;
	readonly clusterKey: Uint8Array;
	readonly self: VmIdentity;
	readonly host: string;
	readonly port: number;
	readonly onMessage: (from: VmIdentity, body: Datagram['body']) => void;
	/** Called for a datagram that is not authentic, not meant for this process or not well-formed. */
	readonly onRefused: (reason: string) => void;
};

/**
Sends and receives small one-way messages as authenticated UDP datagrams, which may be lost, reordered or repeated. A message costs
no handshake, unlike one on a connection that has been closed because it was idle.
*/
export class DatagramChannel {
	/** Rejects if the address cannot be bound. */
	static async open(options: DatagramChannelOptions): Promise<DatagramChannel> {
		const channel = new DatagramChannel(options);
		await new Promise<void>((resolve, reject) => {
			channel._socket.once('error', reject);
			channel._socket.bind(options.port, options.host, () => {
				channel._socket.off('error', reject);
				resolve();
			});
		});
		// Sending reports that a peer does not listen; the sender of a datagram expects no delivery.
		channel._socket.on('error', err => {
			options.onRefused(err.name);
		});
		return channel;
	}

	private readonly _socket: Socket = createSocket('udp4');
	private _isClosed = false;

	private constructor(private readonly _options: DatagramChannelOptions) {
		this._socket.on('message', bytes => {
			this._receive(bytes);
		});
	}

	/** Sends a message. Returns false, without sending it, if it does not fit into a datagram. */
	trySend(to: string, address: string, body: Datagram['body']): boolean {
		const {cluster, clusterKey, self} = this._options;
		const datagram: Datagram = {
			cluster, to, vm: self.vm, incarnation: self.incarnation, body,
		};
		const bytes = sealDatagram(clusterKey, datagram);
		if (bytes.length > maxDatagramBytes || this._isClosed) {
			return false;
		}

		const {host, port} = splitAddress(address);
		this._socket.send(bytes, port, host, err => {
			if (err) {
				this._options.onRefused(err.name);
			}
		});
		return true;
	}

	async dispose(): Promise<void> {
		if (this._isClosed) {
			return;
		}

		this._isClosed = true;
		await new Promise<void>(resolve => {
			this._socket.close(resolve);
		});
	}

	private _receive(bytes: Uint8Array): void {
		const {cluster, clusterKey, self, onMessage, onRefused} = this._options;
		const parsed = datagramSchema.safeParse(openDatagram(clusterKey, bytes));
		if (!parsed.success) {
			onRefused('invalid');
			return;
		}

		const {vm, incarnation, to, body} = parsed.data;
		if (parsed.data.cluster !== cluster || to !== self.vm) {
			onRefused('not-addressed');
			return;
		}

		onMessage({vm, incarnation}, body);
	}
}
