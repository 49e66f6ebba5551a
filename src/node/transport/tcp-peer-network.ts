import {Buffer} from 'node:buffer';
import {connect, createServer} from 'node:net';
import type {AddressInfo, Server, Socket} from 'node:net';
import Emittery from 'emittery';
import type {z} from 'zod';
import {at, ProtocolError, TimeoutError} from '../../common/core/errors.js';
import type {PeerMessage, VmId, VmIdentity} from '../../common/core/types.js';
import {PeerNetwork} from '../../common/services/peer-network.js';
import type {MessageHandler, PeerNetworkEvents} from '../../common/services/peer-network.js';
import {joinAddress, splitAddress} from '../address.js';
import type {Envelope} from './messages.js';
import {PeerConnection, pingIntervalMs} from './peer-connection.js';

/** Messages that wait for one connection to open. */
const maxPendingEnvelopes = 256;
/**
Bound on connecting and the handshake, in milliseconds; three round trips between regions. A SYN that a starting machine
lost is repeated by the system's TCP only after a second.
*/
const connectTimeoutMs = 300;
/** Pause after a failed connection attempt, in milliseconds. */
const redialPauseMs = 100;

export type PeerNetworkOptions = {
	readonly cluster: string;
	readonly clusterKey: string;
	readonly self: VmIdentity;
	/** IP address and port to listen on. */
	readonly listen: string;
	/** Counts refused frames, dropped messages and closed connections. */
	readonly count: (metric: string, labels: Readonly<Record<string, string>>) => void;
};

type RegisteredHandler = {schema: z.ZodType; handler: MessageHandler<unknown>};
type PendingRequest = {
	peer: VmId; resolve: (body: unknown) => void; reject: (err: Error) => void; timer: NodeJS.Timeout;
};
type Dial = {readonly connection: PeerConnection; readonly pending: Envelope[]};

/** Messages between processes over TCP. */
export class TcpPeerNetwork extends PeerNetwork {
	/** Listens and returns the network. Rejects if the address is taken. */
	static async listen(options: PeerNetworkOptions): Promise<TcpPeerNetwork> {
		const network = new TcpPeerNetwork(options);
		const {host, port} = splitAddress(options.listen);
		await new Promise<void>((resolve, reject) => {
			network._server.once('error', reject);
			network._server.listen(port, host, resolve);
		});
		return network;
	}

	override readonly events = new Emittery<PeerNetworkEvents>();

	private readonly _server: Server;
	private readonly _addresses = new Map<VmId, string>();
	private readonly _handlers = new Map<string, RegisteredHandler>();
	private readonly _connections = new Map<VmId, PeerConnection>();
	private readonly _dials = new Map<VmId, Dial>();
	private readonly _redialAfter = new Map<VmId, number>();
	private readonly _all = new Set<PeerConnection>();
	private readonly _requests = new Map<number, PendingRequest>();
	/** Requests of peers that are being answered, by connection. */
	private readonly _answering = new Map<PeerConnection, number>();
	private readonly _key: Uint8Array;
	private readonly _checkTimer: NodeJS.Timeout;
	private _nextRequestId = 1;
	private _isDisposed = false;

	private constructor(private readonly _options: PeerNetworkOptions) {
		super();
		this._key = Buffer.from(_options.clusterKey);
		this._server = createServer(socket => {
			this._all.add(this._wrap(socket, false));
		});
		this._checkTimer = setInterval(() => {
			this._checkConnections();
		}, pingIntervalMs);
		this._checkTimer.unref();
	}

	/** The address that the server listens on; of use when the settings ask for port 0. */
	get address(): string {
		return joinAddress(this._server.address() as AddressInfo);
	}

	override setAddress(vm: VmId, address: string): void {
		this._addresses.set(vm, address);
	}

	override handle<S extends z.ZodType>(type: string, schema: S, handler: MessageHandler<z.output<S>>): void {
		this._handlers.set(type, {schema, handler: handler as MessageHandler<unknown>});
	}

	override send(to: VmId, message: PeerMessage): void {
		this._deliver(to, {kind: 'one-way', body: message});
	}

	override async request(to: VmId, message: PeerMessage, timeoutMs: number): Promise<unknown> {
		const id = this._nextRequestId++;
		return new Promise((resolve, reject) => {
			const timer = setTimeout(() => {
				this._requests.delete(id);
				reject(new TimeoutError(`"${message.type}" was not answered within ${Math.round(timeoutMs)} ms`, at({step: 'transport.request', peer: to})));
			}, timeoutMs);
			this._requests.set(id, {
				peer: to, resolve, reject, timer,
			});
			if (!this._deliver(to, {kind: 'request', id, body: message})) {
				this._rejectRequest(id, `"${message.type}" could not be sent`);
			}
		});
	}

	override async dispose(): Promise<void> {
		this._isDisposed = true;
		clearInterval(this._checkTimer);
		for (const connection of this._all) {
			connection.close(undefined);
		}

		for (const id of this._requests.keys()) {
			this._rejectRequest(id, 'the network is shut down');
		}

		await new Promise(resolve => {
			this._server.close(resolve);
		});
	}

	/** Returns false if the message certainly did not leave. */
	private _deliver(to: VmId, envelope: Envelope): boolean {
		const connection = this._connections.get(to);
		if (connection && (connection.isUsable || (connection.isReady && this._isAwaited(connection)))) {
			const isSent = connection.send(envelope);
			if (!isSent) {
				this._options.count('transport_dropped_total', {reason: 'queue-full'});
			}

			return isSent;
		}

		const dial = this._dials.get(to) ?? this._dial(to);
		if (!dial || dial.pending.length >= maxPendingEnvelopes) {
			this._options.count('transport_dropped_total', {reason: 'not-connected'});
			return false;
		}

		dial.pending.push(envelope);
		return true;
	}

	private _dial(to: VmId): Dial | undefined {
		const address = this._addresses.get(to);
		if (address === undefined || this._isDisposed || (this._redialAfter.get(to) ?? 0) > performance.now()) {
			return undefined;
		}

		const {host, port} = splitAddress(address);
		const connection = this._wrap(connect({host, port}), true);
		const dial: Dial = {connection, pending: []};
		this._all.add(connection);
		this._dials.set(to, dial);
		const timer = setTimeout(() => {
			if (!connection.isReady) {
				connection.close(new TimeoutError(`no connection within ${connectTimeoutMs} ms`, at({step: 'transport.connect', peer: to})));
			}
		}, connectTimeoutMs);
		timer.unref();
		return dial;
	}

	private _wrap(socket: Socket, isDialer: boolean): PeerConnection {
		return new PeerConnection(socket, isDialer, {cluster: this._options.cluster, clusterKey: this._key, self: this._options.self}, {
			onReady: connection => {
				this._onReady(connection);
			},
			onEnvelope: (connection, envelope) => {
				this._onEnvelope(connection, envelope);
			},
			onClose: (connection, err) => {
				this._onClose(connection, err);
			},
		});
	}

	private _onReady(connection: PeerConnection): void {
		const peer = connection.peer!;
		this._connections.set(peer.vm, connection);
		const dial = this._dials.get(peer.vm);
		if (dial) {
			this._dials.delete(peer.vm);
			for (const envelope of dial.pending) {
				connection.send(envelope);
			}
		}

		void this.events.emit('onPeerUp', peer);
	}

	private _checkConnections(): void {
		for (const connection of this._all) {
			connection.check(this._isAwaited(connection));
		}
	}

	/** Whether either side waits for a reply over this connection. */
	private _isAwaited(connection: PeerConnection): boolean {
		const vm = connection.peer?.vm;
		return (this._answering.get(connection) ?? 0) > 0 || [...this._requests.values()].some(({peer}) => peer === vm);
	}

	private _onClose(connection: PeerConnection, err: Error | undefined): void {
		this._all.delete(connection);
		this._answering.delete(connection);
		if (err) {
			this._options.count('transport_closed_total', {reason: err.name});
		}

		for (const [vm, dial] of this._dials) {
			if (dial.connection === connection) {
				this._dials.delete(vm);
				this._redialAfter.set(vm, performance.now() + redialPauseMs);
				this._failRequests(vm, `the connection failed: ${err?.message ?? 'closed'}`);
			}
		}

		const {peer} = connection;
		if (peer && this._connections.get(peer.vm) === connection) {
			this._connections.delete(peer.vm);
			this._failRequests(peer.vm, `the connection closed: ${err?.message ?? 'by the peer'}`);
			void this.events.emit('onPeerDown', peer);
		}
	}

	private _onEnvelope(connection: PeerConnection, envelope: Envelope): void {
		switch (envelope.kind) {
			case 'one-way': {
				void this._run(connection.peer!, envelope.body);
				break;
			}

			case 'request': {
				void this._answer(connection, envelope.id, envelope.body);
				break;
			}

			case 'reply': {
				this._settle(envelope.id, connection)?.resolve(envelope.body);
				break;
			}

			case 'error': {
				this._settle(envelope.id, connection)?.reject(new ProtocolError(envelope.message, at({step: 'transport.reply', peer: connection.peer?.vm})));
				break;
			}

			case 'ping': {
				break;
			}
		}
	}

	private async _answer(connection: PeerConnection, id: number, body: PeerMessage): Promise<void> {
		this._answering.set(connection, (this._answering.get(connection) ?? 0) + 1);
		const outcome = await this._run(connection.peer!, body);
		this._answering.set(connection, (this._answering.get(connection) ?? 1) - 1);
		connection.send(outcome.ok ? {kind: 'reply', id, body: outcome.value} : {kind: 'error', id, message: outcome.message});
	}

	private async _run(from: VmIdentity, body: PeerMessage): Promise<{ok: true; value: unknown} | {ok: false; message: string}> {
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

	/** Takes a request out of the table, but only for the process that was asked. */
	private _settle(id: number, connection: PeerConnection): PendingRequest | undefined {
		const request = this._requests.get(id);
		if (!request || request.peer !== connection.peer?.vm) {
			return undefined;
		}

		this._requests.delete(id);
		clearTimeout(request.timer);
		return request;
	}

	private _failRequests(peer: VmId, reason: string): void {
		for (const [id, request] of this._requests) {
			if (request.peer === peer) {
				this._rejectRequest(id, reason);
			}
		}
	}

	private _rejectRequest(id: number, reason: string): void {
		const request = this._requests.get(id);
		if (request) {
			this._requests.delete(id);
			clearTimeout(request.timer);
			request.reject(new ProtocolError(reason, at({step: 'transport.request', peer: request.peer})));
		}
	}
}
