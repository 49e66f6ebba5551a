import {createHmac, randomBytes} from 'node:crypto';
import type {Socket} from 'node:net';
import {errorContext, ProtocolError} from '../../common/core/errors.js';
import type {VmIdentity} from '../../common/core/types.js';
import {FrameCodec, FrameSplitter, maxPayloadBytes} from './frame.js';
import type {RawFrame} from './frame.js';
import {envelopeSchema, helloSchema, protocolVersion} from './messages.js';
import type {Envelope, Hello} from './messages.js';

/** Interval between pings while this side waits for data from the peer, in milliseconds. */
export const pingIntervalMs = 500;
/** A connection is considered dead if nothing arrives for this long after data was sent, in milliseconds; by then four pings were lost. */
const silenceTimeoutMs = 2000;
/**
A connection without messages for this long is closed, in milliseconds. The timeout is longer than the intervals between syncs of the shared
configuration and between heartbeats, so that these messages keep their connection open and need not wait two round trips for a new connection.
*/
const idleTimeoutMs = 1000;
/** No new message is sent during this time before the idle timeout, in milliseconds, because the peer may already be closing the connection when the message arrives. A message takes far less time than this to arrive. */
const idleMarginMs = 200;
/** Maximum number of bytes buffered in one socket; further messages are dropped instead of queued. */
const maxQueuedBytes = 4_194_304;

/** Maximum size of a frame's payload before the peer has proved that it knows the cluster key, in bytes. */
const maxHandshakeBytes = 4096;

export type ConnectionOptions = {
	readonly cluster: string;
	readonly clusterKey: Uint8Array;
	readonly self: VmIdentity;
};

export type ConnectionListener = {
	/** Called once the peer has proved that it knows the cluster key. */
	onReady(connection: PeerConnection): void;
	onEnvelope(connection: PeerConnection, envelope: Envelope): void;
	onClose(connection: PeerConnection, err: Error | undefined): void;
	/** Called for an envelope that cannot be encoded, for example because it is too large. It is not sent; the connection stays open. */
	onUnsendable(connection: PeerConnection, err: unknown): void;
};

/** One authenticated TCP connection between two processes. */
export class PeerConnection {
	/** Identity of the peer; undefined until its hello arrives. */
	peer: VmIdentity | undefined;

	private readonly _splitter = new FrameSplitter();
	private readonly _nonce = randomBytes(16).toString('hex');
	private readonly _outgoingHelloCodec: FrameCodec;
	private readonly _incomingHelloCodec: FrameCodec;
	private _outgoingCodec: FrameCodec | undefined;
	private _incomingCodec: FrameCodec | undefined;
	private _isReady = false;
	private _isClosed = false;
	private _isHalfClosed = false;
	/** Time of the first send since data last arrived from the peer; undefined if nothing was sent since then. */
	private _unansweredSinceMs: number | undefined;
	private _lastSentMs = performance.now();
	/** Time at which the last message other than a ping was sent or received. */
	private _lastMessageMs = performance.now();

	constructor(
		private readonly _socket: Socket,
		private readonly _isDialer: boolean,
		private readonly _options: ConnectionOptions,
		private readonly _listener: ConnectionListener,
	) {
		this._outgoingHelloCodec = new FrameCodec(_options.clusterKey, this._isDialer ? 'to-acceptor' : 'to-dialer');
		this._incomingHelloCodec = new FrameCodec(_options.clusterKey, this._isDialer ? 'to-dialer' : 'to-acceptor');
		_socket.setNoDelay(true);
		_socket.on('data', chunk => {
			this._receive(chunk);
		});
		_socket.on('error', err => {
			this.close(err);
		});
		_socket.on('close', () => {
			this.close(undefined);
		});
		if (_isDialer) {
			this._sendHello();
		}
	}

	get isReady(): boolean {
		return this._isReady && !this._isClosed;
	}

	/** Whether new messages and requests can be sent. False for a connection close to its idle timeout, although replies can still be sent over it. */
	get canSendNewMessages(): boolean {
		return this.isReady && !this._isHalfClosed && performance.now() - this._lastMessageMs < idleTimeoutMs - idleMarginMs;
	}

	/** Sends an envelope. Returns false without sending it if the handshake is not complete, the connection is closing, too many bytes are buffered, or the envelope cannot be encoded. */
	send(envelope: Envelope): boolean {
		if (!this._outgoingCodec || this._isClosed || this._isHalfClosed || this._socket.writableLength > maxQueuedBytes) {
			return false;
		}

		let frame: Uint8Array;
		try {
			frame = this._outgoingCodec.seal(envelope);
		} catch (err) {
			this._listener.onUnsendable(this, err);
			return false;
		}

		this._lastSentMs = performance.now();
		this._unansweredSinceMs ??= this._lastSentMs;
		if (envelope.kind !== 'ping') {
			this._lastMessageMs = this._lastSentMs;
		}

		this._socket.write(frame);
		return true;
	}

	/**
	Closes the connection if it is dead or idle. Otherwise sends a ping if a reply is pending or if the peer has sent nothing since this side last sent data.
	Must be called every `pingIntervalMs`.
	@param hasPendingRequests - whether either side is still waiting for a reply
	*/
	checkLiveness(hasPendingRequests: boolean): void {
		const nowMs = performance.now();
		const isIdle = !hasPendingRequests && nowMs - this._lastMessageMs >= idleTimeoutMs;
		if (this._unansweredSinceMs !== undefined && nowMs - this._unansweredSinceMs > silenceTimeoutMs) {
			this.close(new ProtocolError(`no traffic for ${silenceTimeoutMs} ms`, errorContext({step: 'transport.silence', peer: this.peer?.vm})));
		} else if (isIdle && this._isDialer && !this._isHalfClosed) {
			// Only the sending direction is closed, so that data already sent by the peer still arrives.
			this._isHalfClosed = true;
			this._socket.end();
			this._unansweredSinceMs ??= nowMs;
		} else if (!hasPendingRequests && nowMs - this._lastMessageMs >= idleTimeoutMs + silenceTimeoutMs) {
			// The dialer should have closed the idle connection by now; it disappeared without doing so, or never sent a hello.
			this.close(undefined);
		} else if (hasPendingRequests || nowMs - (this._unansweredSinceMs ?? nowMs) >= pingIntervalMs) {
			this.send({kind: 'ping'});
		}
	}

	close(err: Error | undefined): void {
		if (this._isClosed) {
			return;
		}

		this._isClosed = true;
		this._socket.destroy();
		this._listener.onClose(this, err);
	}

	private _sendHello(): void {
		const {cluster, self} = this._options;
		const hello: Hello = {
			protocol: protocolVersion, cluster, vm: self.vm, incarnation: self.incarnation, nonce: this._nonce,
		};
		this._socket.write(this._outgoingHelloCodec.seal(hello));
	}

	private _receive(chunk: Uint8Array): void {
		if (this._isClosed) {
			return;
		}

		this._unansweredSinceMs = undefined;
		try {
			for (const frame of this._splitter.push(chunk, () => this._isReady ? maxPayloadBytes : maxHandshakeBytes)) {
				this._handleFrame(frame);
			}
		} catch (err) {
			this.close(err instanceof Error ? err : new ProtocolError(String(err), errorContext({step: 'transport.receive'})));
		}
	}

	private _handleFrame(frame: RawFrame): void {
		if (!this._incomingCodec) {
			this._handleHello(this._incomingHelloCodec.open(frame.mac, frame.payload));
			return;
		}

		const parsed = envelopeSchema.safeParse(this._incomingCodec.open(frame.mac, frame.payload));
		if (!parsed.success) {
			throw new ProtocolError('an envelope has an unknown form', errorContext({step: 'transport.envelope', peer: this.peer?.vm}));
		}

		if (!this._isReady) {
			this._isReady = true;
			this._listener.onReady(this);
		}

		if (parsed.data.kind !== 'ping') {
			this._lastMessageMs = performance.now();
			this._listener.onEnvelope(this, parsed.data);
		} else if (performance.now() - this._lastSentMs >= pingIntervalMs / 2) {
			// The peer needs data from this side to see that it is alive. If data was sent less than half a ping interval ago, no ping is needed.
			this.send({kind: 'ping'});
		}
	}

	private _handleHello(value: unknown): void {
		const parsed = helloSchema.safeParse(value);
		const hello = parsed.data;
		if (hello?.protocol !== protocolVersion) {
			throw new ProtocolError(`the peer speaks another protocol version than ${protocolVersion}`, errorContext({step: 'transport.hello', peer: hello?.vm}));
		}

		if (hello.cluster !== this._options.cluster) {
			throw new ProtocolError(`the peer belongs to cluster "${hello.cluster}"`, errorContext({step: 'transport.hello', peer: hello.vm}));
		}

		this.peer = {vm: hello.vm, incarnation: hello.incarnation};
		if (!this._isDialer) {
			this._sendHello();
		}

		this._startSession(hello.nonce);
	}

	/** Derives the session key and sends the first frame under it. A hello can be replayed, so the peer is authenticated only by its first frame under the session key. */
	private _startSession(peerNonce: string): void {
		const nonces = this._isDialer ? this._nonce + peerNonce : peerNonce + this._nonce;
		const key = createHmac('sha256', this._options.clusterKey).update(nonces).digest();
		this._outgoingCodec = new FrameCodec(key, this._isDialer ? 'to-acceptor' : 'to-dialer');
		this._incomingCodec = new FrameCodec(key, this._isDialer ? 'to-dialer' : 'to-acceptor');
		this.send({kind: 'ping'});
	}
}
