import {createHmac, randomBytes} from 'node:crypto';
import type {Socket} from 'node:net';
import {at, ProtocolError} from '../../common/core/errors.js';
import type {VmIdentity} from '../../common/core/types.js';
import {FrameSealer, FrameSplitter} from './frame.js';
import type {RawFrame} from './frame.js';
import {envelopeSchema, helloSchema, protocolVersion} from './messages.js';
import type {Envelope, Hello} from './messages.js';

/** Interval of pings on a connection on which this side waits for a sign of life, in milliseconds. */
export const pingIntervalMs = 500;
/** A connection on which nothing arrives for this long after something was sent is dead: four pings were lost. */
const silenceLimitMs = 2000;
/** A connection that carried no message for this long is closed, in milliseconds; a new one takes two round trips. Longer than the interval of syncs and heartbeats. */
const idleLimitMs = 1000;
/** Time before that in which the connection is not used for new messages, since the peer may be closing it, in milliseconds; messages take far less. */
const idleMarginMs = 200;
/** Bytes waiting in one socket before messages are dropped instead of queued. */
const maxQueuedBytes = 4_194_304;

export type ConnectionOptions = {
	readonly cluster: string;
	readonly clusterKey: Uint8Array;
	readonly self: VmIdentity;
};

export type ConnectionListener = {
	/** The peer has proved that it knows the cluster key. */
	onReady(connection: PeerConnection): void;
	onEnvelope(connection: PeerConnection, envelope: Envelope): void;
	onClose(connection: PeerConnection, err: Error | undefined): void;
};

/** One authenticated TCP connection between two processes. */
export class PeerConnection {
	/** Set once the peer's hello has arrived. */
	peer: VmIdentity | undefined;

	private readonly _splitter = new FrameSplitter();
	private readonly _nonce = randomBytes(16).toString('hex');
	private readonly _helloOut: FrameSealer;
	private readonly _helloIn: FrameSealer;
	private _out: FrameSealer | undefined;
	private _in: FrameSealer | undefined;
	private _isReady = false;
	private _isClosed = false;
	private _isEnding = false;
	/** When the first bytes were sent of which no later bytes of the peer show that they arrived; undefined when there are none. */
	private _unansweredSinceMs: number | undefined;
	private _lastSentMs = performance.now();
	/** When the last message that is no ping went either way. */
	private _lastUsedMs = performance.now();

	constructor(
		private readonly _socket: Socket,
		private readonly _isDialer: boolean,
		private readonly _options: ConnectionOptions,
		private readonly _listener: ConnectionListener,
	) {
		this._helloOut = new FrameSealer(_options.clusterKey, this._isDialer ? 'to-acceptor' : 'to-dialer');
		this._helloIn = new FrameSealer(_options.clusterKey, this._isDialer ? 'to-dialer' : 'to-acceptor');
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

	/** Whether a new message may be sent. One that is about to be closed for idleness still takes replies. */
	get isUsable(): boolean {
		return this.isReady && !this._isEnding && performance.now() - this._lastUsedMs < idleLimitMs - idleMarginMs;
	}

	/** Returns false, and sends nothing, if the connection is not ready or its queue is full. */
	send(envelope: Envelope): boolean {
		if (!this._out || this._isClosed || this._isEnding || this._socket.writableLength > maxQueuedBytes) {
			return false;
		}

		this._lastSentMs = performance.now();
		this._unansweredSinceMs ??= this._lastSentMs;
		if (envelope.kind !== 'ping') {
			this._lastUsedMs = this._lastSentMs;
		}

		this._socket.write(this._out.seal(envelope));
		return true;
	}

	/**
	Closes a connection that is dead or no longer used, and asks for a sign of life where one is missing; to be called at the interval of pings.
	@param isAwaited - whether either side still waits for a reply
	*/
	check(isAwaited: boolean): void {
		const nowMs = performance.now();
		const isIdle = !isAwaited && nowMs - this._lastUsedMs >= idleLimitMs;
		if (this._unansweredSinceMs !== undefined && nowMs - this._unansweredSinceMs > silenceLimitMs) {
			this.close(new ProtocolError(`no traffic for ${silenceLimitMs} ms`, at({step: 'transport.silence', peer: this.peer?.vm})));
		} else if (isIdle && this._isDialer && !this._isEnding) {
			// What the peer has sent meanwhile still arrives.
			this._isEnding = true;
			this._socket.end();
			this._unansweredSinceMs ??= nowMs;
		} else if (!isAwaited && nowMs - this._lastUsedMs >= idleLimitMs + silenceLimitMs) {
			// The dialer is gone without a word, or never said hello.
			this.close(undefined);
		} else if (isAwaited || nowMs - (this._unansweredSinceMs ?? nowMs) >= pingIntervalMs) {
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
		this._socket.write(this._helloOut.seal(hello));
	}

	private _receive(chunk: Uint8Array): void {
		if (this._isClosed) {
			return;
		}

		this._unansweredSinceMs = undefined;
		try {
			for (const frame of this._splitter.push(chunk)) {
				this._handleFrame(frame);
			}
		} catch (err) {
			this.close(err instanceof Error ? err : new ProtocolError(String(err), at({step: 'transport.receive'})));
		}
	}

	private _handleFrame(frame: RawFrame): void {
		if (!this._in) {
			this._handleHello(this._helloIn.open(frame.mac, frame.payload));
			return;
		}

		const parsed = envelopeSchema.safeParse(this._in.open(frame.mac, frame.payload));
		if (!parsed.success) {
			throw new ProtocolError('an envelope has an unknown form', at({step: 'transport.envelope', peer: this.peer?.vm}));
		}

		if (!this._isReady) {
			this._isReady = true;
			this._listener.onReady(this);
		}

		if (parsed.data.kind !== 'ping') {
			this._lastUsedMs = performance.now();
			this._listener.onEnvelope(this, parsed.data);
		} else if (performance.now() - this._lastSentMs >= pingIntervalMs / 2) {
			// The peer waits for a sign of life.
			this.send({kind: 'ping'});
		}
	}

	private _handleHello(value: unknown): void {
		const parsed = helloSchema.safeParse(value);
		const hello = parsed.data;
		if (hello?.protocol !== protocolVersion) {
			throw new ProtocolError(`the peer speaks another protocol version than ${protocolVersion}`, at({step: 'transport.hello', peer: hello?.vm}));
		}

		if (hello.cluster !== this._options.cluster) {
			throw new ProtocolError(`the peer belongs to cluster "${hello.cluster}"`, at({step: 'transport.hello', peer: hello.vm}));
		}

		this.peer = {vm: hello.vm, incarnation: hello.incarnation};
		if (!this._isDialer) {
			this._sendHello();
		}

		this._startSession(hello.nonce);
	}

	/** A hello can be replayed, so the peer counts as authenticated only after its first frame under the session key. */
	private _startSession(peerNonce: string): void {
		const nonces = this._isDialer ? this._nonce + peerNonce : peerNonce + this._nonce;
		const key = createHmac('sha256', this._options.clusterKey).update(nonces).digest();
		this._out = new FrameSealer(key, this._isDialer ? 'to-acceptor' : 'to-dialer');
		this._in = new FrameSealer(key, this._isDialer ? 'to-dialer' : 'to-acceptor');
		this.send({kind: 'ping'});
	}
}
