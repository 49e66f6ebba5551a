import {Buffer} from 'node:buffer';
import {connect, createServer} from 'node:net';
import type {AddressInfo, Server, Socket} from 'node:net';
import Emittery from 'emittery';
import type {z} from 'zod';
import {errorContext, ProtocolError, TimeoutError} from '../../common/core/errors.js';
import type {Logger} from '../../common/core/log.js';
import type {PeerMessage, VmId, VmIdentity} from '../../common/core/types.js';
import {PeerNetwork} from '../../common/services/peer-network.js';
import type {MessageHandler, PeerNetworkEvents} from '../../common/services/peer-network.js';
import {joinAddress, splitAddress} from '../address.js';
import {DatagramChannel} from './datagram-channel.js';
import type {Envelope} from './messages.js';
import {PeerConnection, pingIntervalMs} from './peer-connection.js';

/** Maximum number of messages queued while a connection to one process is being opened. */
const maxQueuedEnvelopes = 256;
/**
Timeout for connecting and the handshake, in milliseconds; enough for three round trips between regions. If a SYN is lost
because the target machine is still starting, TCP retransmits it only after a second, so a new connection attempt after this timeout gets through sooner.
*/
const connectTimeoutMs = 300;
const defaultMaxUnprovenPeers = 1000;
/** Delay between a failed connection attempt and the next one, in milliseconds. */
const redialDelayMs = 100;

export type PeerNetworkOptions = {
	readonly cluster: string;
	readonly clusterKey: string;
	readonly self: VmIdentity;
	/** IP address and port to listen on, for example `127.0.0.1:7000`. */
	readonly listen: string;
	/** Increments a counter metric, such as those for refused messages, dropped messages and closed connections. */
	readonly count: (metric: string, labels: Readonly<Record<string, string>>) => void;
	readonly logger: Logger;
	/** Largest number of accepted connections whose peers have not proved that they know the cluster key, 1000 by default; the oldest of them makes room for a new one. */
	readonly maxUnprovenPeers?: number;
};

type RegisteredHandler = {schema: z.ZodType; handler: MessageHandler<unknown>};
type PendingRequest = {
	peer: VmId; resolve: (body: unknown) => void; reject: (err: Error) => void; timer: NodeJS.Timeout;
};
type PendingConnection = {readonly connection: PeerConnection; readonly queuedEnvelopes: Envelope[]};

/** Sends messages between processes over authenticated TCP connections, which are opened on demand and closed when idle, and small messages that may be lost as datagrams to the same port. */
export class TcpPeerNetwork extends PeerNetwork {
	/** Starts listening and returns the network. Rejects if the address cannot be listened on, for example because it is in use. */
	static async listen(options: PeerNetworkOptions): Promise<TcpPeerNetwork> {
		const network = new TcpPeerNetwork(options);
		const {host, port} = splitAddress(options.listen);
		await new Promise<void>((resolve, reject) => {
			network._server.once('error', reject);
			network._server.listen(port, host, resolve);
		});
		await network._openDatagramChannel();
		return network;
	}

	override readonly events = new Emittery<PeerNetworkEvents>();

	private readonly _server: Server;
	private readonly _addresses = new Map<VmId, string>();
	private readonly _handlers = new Map<string, RegisteredHandler>();
	private readonly _connections = new Map<VmId, PeerConnection>();
	private readonly _pendingConnections = new Map<VmId, PendingConnection>();
	private readonly _redialAfterMs = new Map<VmId, number>();
	private readonly _allConnections = new Set<PeerConnection>();
	/** Accepted connections whose peers have not proved that they know the cluster key, the oldest first. */
	private readonly _unprovenConnections = new Set<PeerConnection>();
	private readonly _pendingRequests = new Map<number, PendingRequest>();
	/** Number of requests from the peer whose handler is still running, by connection. */
	private readonly _activeInboundRequests = new Map<PeerConnection, number>();
	private readonly _clusterKey: Uint8Array;
	private readonly _checkTimer: NodeJS.Timeout;
	/** Undefined if the network listens on an IPv6 address. */
	private _datagrams: DatagramChannel | undefined;
	private _nextRequestId = 1;
	private _isDisposed = false;

	private constructor(private readonly _options: PeerNetworkOptions) {
		super();
		this._clusterKey = Buffer.from(_options.clusterKey);
		this._server = createServer(socket => {
			this._accept(socket);
		});
		this._checkTimer = setInterval(() => {
			this._checkConnections();
		}, pingIntervalMs);
		this._checkTimer.unref();
	}

	/** Address that the server listens on, with the actual port if the settings say port 0. */
	get address(): string {
		return joinAddress(this._server.address() as AddressInfo);
	}

	override setAddress(vm: VmId, address: string): void {
		this._addresses.set(vm, address);
	}

	override registerHandler<S extends z.ZodType>(type: string, schema: S, handler: MessageHandler<z.output<S>>): void {
		this._handlers.set(type, {schema, handler: handler as MessageHandler<unknown>});
	}

	override send(to: VmId, message: PeerMessage): void {
		this._sendOrQueue(to, {kind: 'one-way', body: message});
	}

	override sendDatagram(to: VmId, message: PeerMessage): void {
		const address = this._addresses.get(to);
		if (address === undefined || !this._datagrams?.trySend(to, address, message)) {
			this.send(to, message);
		}
	}

	override async request(to: VmId, message: PeerMessage, timeoutMs: number): Promise<unknown> {
		const id = this._nextRequestId++;
		return new Promise((resolve, reject) => {
			const timer = setTimeout(() => {
				this._pendingRequests.delete(id);
				reject(new TimeoutError(`"${message.type}" was not answered within ${Math.round(timeoutMs)} ms`, errorContext({step: 'transport.request', peer: to})));
			}, timeoutMs);
			this._pendingRequests.set(id, {
				peer: to, resolve, reject, timer,
			});
			if (!this._sendOrQueue(to, {kind: 'request', id, body: message})) {
				this._rejectRequest(id, `"${message.type}" could not be sent`);
			}
		});
	}

	override async dispose(): Promise<void> {
		this._isDisposed = true;
		clearInterval(this._checkTimer);
		for (const connection of this._allConnections) {
			connection.close(undefined);
		}

		for (const id of this._pendingRequests.keys()) {
			this._rejectRequest(id, 'the network is shut down');
		}

		await this._datagrams?.dispose();
		await new Promise(resolve => {
			this._server.close(resolve);
		});
	}

	private async _openDatagramChannel(): Promise<void> {
		const {cluster, self, count} = this._options;
		const {address: host, port, family} = this._server.address() as AddressInfo;
		if (family !== 'IPv4') {
			return;
		}

		try {
			this._datagrams = await DatagramChannel.open({
				cluster,
				clusterKey: this._clusterKey,
				self,
				host,
				port,
				onMessage: (from, body) => {
					void this._runHandler(from, body);
				},
				onRefused(reason) {
					count('transport_refused_datagrams_total', {reason});
				},
			});
		} catch (err) {
			await this.dispose();
			throw err;
		}
	}

	/** Sends an envelope, or queues it until a connection is open. Returns false if the envelope was dropped. */
	private _sendOrQueue(to: VmId, envelope: Envelope): boolean {
		const connection = this._connections.get(to);
		if (connection && (connection.canSendNewMessages || (connection.isReady && this._hasPendingRequests(connection)))) {
			const isSent = connection.send(envelope);
			if (!isSent) {
				this._options.count('transport_dropped_total', {reason: 'queue-full'});
			}

			return isSent;
		}

		const pendingConnection = this._pendingConnections.get(to) ?? this._dial(to);
		if (!pendingConnection || pendingConnection.queuedEnvelopes.length >= maxQueuedEnvelopes) {
			this._options.count('transport_dropped_total', {reason: 'not-connected'});
			return false;
		}

		pendingConnection.queuedEnvelopes.push(envelope);
		return true;
	}

	private _dial(to: VmId): PendingConnection | undefined {
		const address = this._addresses.get(to);
		if (address === undefined || this._isDisposed || (this._redialAfterMs.get(to) ?? 0) > performance.now()) {
			return undefined;
		}

		const {host, port} = splitAddress(address);
		const connection = this._createConnection(connect({host, port}), true);
		const pendingConnection: PendingConnection = {connection, queuedEnvelopes: []};
		this._allConnections.add(connection);
		this._pendingConnections.set(to, pendingConnection);
		const timer = setTimeout(() => {
			if (!connection.isReady) {
				connection.close(new TimeoutError(`no connection within ${connectTimeoutMs} ms`, errorContext({step: 'transport.connect', peer: to})));
			}
		}, connectTimeoutMs);
		timer.unref();
		return pendingConnection;
	}

	private _accept(socket: Socket): void {
		const connection = this._createConnection(socket, false);
		this._allConnections.add(connection);
		this._unprovenConnections.add(connection);
		if (this._unprovenConnections.size > (this._options.maxUnprovenPeers ?? defaultMaxUnprovenPeers)) {
			const [oldest] = this._unprovenConnections;
			this._options.count('transport_refused_total', {reason: 'too-many-unproven'});
			oldest!.close(undefined);
		}
	}

	private _createConnection(socket: Socket, isDialer: boolean): PeerConnection {
		return new PeerConnection(socket, isDialer, {cluster: this._options.cluster, clusterKey: this._clusterKey, self: this._options.self}, {
			onReady: connection => {
				this._onReady(connection);
			},
			onEnvelope: (connection, envelope) => {
				this._onEnvelope(connection, envelope);
			},
			onClose: (connection, err) => {
				this._onClose(connection, err);
			},
			onUnsendable: ({peer}, err) => {
				this._options.count('transport_dropped_total', {reason: 'not-encodable'});
				this._options.logger.log('error', 'message cannot be sent', {peer: peer?.vm, detail: err instanceof Error ? err.message : String(err)});
			},
		});
	}

	private _onReady(connection: PeerConnection): void {
		const peer = connection.peer!;
		this._unprovenConnections.delete(connection);
		this._connections.set(peer.vm, connection);
		const pendingConnection = this._pendingConnections.get(peer.vm);
		if (pendingConnection) {
			this._pendingConnections.delete(peer.vm);
			for (const envelope of pendingConnection.queuedEnvelopes) {
				connection.send(envelope);
			}
		}

		void this.events.emit('onPeerConnected', peer);
	}

	private _checkConnections(): void {
		for (const connection of this._allConnections) {
			connection.checkLiveness(this._hasPendingRequests(connection));
		}
	}

	/** Whether either side is waiting for a reply over this connection. */
	private _hasPendingRequests(connection: PeerConnection): boolean {
		const vm = connection.peer?.vm;
		return (this._activeInboundRequests.get(connection) ?? 0) > 0 || [...this._pendingRequests.values()].some(({peer}) => peer === vm);
	}

	private _onClose(connection: PeerConnection, err: Error | undefined): void {
		this._allConnections.delete(connection);
		this._unprovenConnections.delete(connection);
		this._activeInboundRequests.delete(connection);
		if (err) {
			this._options.count('transport_closed_total', {reason: err.name});
		}

		for (const [vm, pendingConnection] of this._pendingConnections) {
			if (pendingConnection.connection === connection) {
				this._pendingConnections.delete(vm);
				this._redialAfterMs.set(vm, performance.now() + redialDelayMs);
				this._failRequests(vm, `the connection failed: ${err?.message ?? 'closed'}`);
			}
		}

		const {peer} = connection;
		if (peer && this._connections.get(peer.vm) === connection) {
			this._connections.delete(peer.vm);
			this._failRequests(peer.vm, `the connection closed: ${err?.message ?? 'by the peer'}`);
			void this.events.emit('onPeerDisconnected', peer);
		}
	}

	private _onEnvelope(connection: PeerConnection, envelope: Envelope): void {
		switch (envelope.kind) {
			case 'one-way': {
				void this._runHandler(connection.peer!, envelope.body);
				break;
			}

			case 'request': {
				void this._answerRequest(connection, envelope.id, envelope.body);
				break;
			}

			case 'reply': {
				this._takePendingRequest(envelope.id, connection)?.resolve(envelope.body);
				break;
			}

			case 'error': {
				this._takePendingRequest(envelope.id, connection)?.reject(new ProtocolError(envelope.message, errorContext({step: 'transport.reply', peer: connection.peer?.vm})));
				break;
			}

			case 'ping': {
				break;
			}
		}
	}

	private async _answerRequest(connection: PeerConnection, id: number, body: PeerMessage): Promise<void> {
		this._activeInboundRequests.set(connection, (this._activeInboundRequests.get(connection) ?? 0) + 1);
		const outcome = await this._runHandler(connection.peer!, body);
		this._activeInboundRequests.set(connection, (this._activeInboundRequests.get(connection) ?? 1) - 1);
		if (outcome.ok && connection.send({kind: 'reply', id, body: outcome.value})) {
			return;
		}

		connection.send({kind: 'error', id, message: outcome.ok ? 'the reply cannot be sent' : outcome.message});
	}

	private async _runHandler(from: VmIdentity, body: PeerMessage): Promise<{ok: true; value: unknown} | {ok: false; message: string}> {
		const registered = this._handlers.get(body.type);
		const parsed = registered?.schema.safeParse(body);
		if (!registered || !parsed?.success) {
			this._options.count('transport_refused_total', {reason: registered ? 'invalid' : 'unknown-type'});
			return {ok: false, message: `message "${body.type}" is ${registered ? 'not valid' : 'not known'}`};
		}

		try {
			return {ok: true, value: await registered.handler(from, parsed.data)};
		} catch (err) {
			this._options.count('transport_handler_errors_total', {type: body.type});
			return {ok: false, message: err instanceof Error ? err.message : String(err)};
		}
	}

	/** Removes and returns a pending request. Returns undefined if no request with this id is pending, or if the request was sent to another process than the connection's peer. */
	private _takePendingRequest(id: number, connection: PeerConnection): PendingRequest | undefined {
		const request = this._pendingRequests.get(id);
		if (!request || request.peer !== connection.peer?.vm) {
			return undefined;
		}

		this._pendingRequests.delete(id);
		clearTimeout(request.timer);
		return request;
	}

	private _failRequests(peer: VmId, reason: string): void {
		for (const [id, request] of this._pendingRequests) {
			if (request.peer === peer) {
				this._rejectRequest(id, reason);
			}
		}
	}

	private _rejectRequest(id: number, reason: string): void {
		const request = this._pendingRequests.get(id);
		if (request) {
			this._pendingRequests.delete(id);
			clearTimeout(request.timer);
			request.reject(new ProtocolError(reason, errorContext({step: 'transport.request', peer: request.peer})));
		}
	}
}
