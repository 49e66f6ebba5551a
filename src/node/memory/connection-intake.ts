import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {RequestFramer} from '../../common/memory/request-framer.js';
import type {BodyFraming} from '../../common/memory/request-framer.js';
import {eventsPerVisit} from '../../common/memory/turn-queue.js';
import type {Holding} from './memory-keeper.js';
import type {RequestIntake} from './request-intake.js';

/** Events that a request may cause before its connection has to queue for a visit. */
const unqueuedEvents = 256;
/** Events of a body that are parsed before somebody reads it. */
const unreadEvents = 16;
/** Time for which bytes of a refused body are dropped before its connection is closed: closing at once would reset it, and the caller could lose the answer. */
const lingeringCloseMs = 500;
/** Bytes of such a body that are dropped at most. */
const maxDroppedBytes = 262_144;
/** Size of a read that fills the buffer of Node.js, in bytes. Shorter reads get a buffer of their length. */
const fullReadBytes = 65_536;
/** Bytes waiting for the parser from which on a connection is not read, in bytes; one more read of its socket may be under way. */
const maxWaitingBytes = 16_384;

/** What is told about the bodies of a connection. */
export type BodyObserver = {
	/** Bytes of a body that has not ended have arrived. */
	readonly onBodyData: (socket: Socket, bytes: number) => void;
	/** All of a request has arrived. */
	readonly onBodyEnd: (socket: Socket) => void;
};

/** The bytes of one connection that have not been passed to the parser yet. */
export class ConnectionIntake {
	private readonly _framer = new RequestFramer();
	private readonly _parse: (bytes: Uint8Array) => void;
	private _waiting: Uint8Array[] = [];
	/** Memory of the buffers in `_waiting`, in bytes. */
	private _heldBytes = 0;
	/** Bytes at the start of the first of them that have been passed on. */
	private _offset = 0;
	/** Request whose head was parsed last; undefined before the first one and while a head is parsed. */
	private _req: IncomingMessage | undefined;
	/** Number of requests that have not been answered. */
	private _unanswered = 0;
	/** Events that the current request has caused. */
	private _requestEvents = 0;
	/** Events of the body of the current request. */
	private _bodyEvents = 0;
	private _isDiscarding = false;
	private _droppedBytes = 0;
	private _lingerTimer: NodeJS.Timeout | undefined;
	private _isPaused = false;
	private _isParsing = false;
	private _holding: Holding | undefined;

	constructor(private readonly _intake: RequestIntake, private readonly _socket: Socket, private readonly _observer: BodyObserver | undefined) {
		// The listener of the server, which parses all bytes that it gets. With another listener Node.js no longer parses beneath the socket.
		const [parse] = _socket.listeners('data') as Array<(bytes: Uint8Array) => void>;
		this._parse = parse!;
		_socket.off('data', parse!);
		_socket.on('data', (bytes: Uint8Array) => {
			this._receive(bytes);
		});
		_socket.once('close', () => {
			this._intake.remove(this);
			this._holding?.release();
			this.discard();
			clearTimeout(this._lingerTimer);
		});
	}

	/** Records that the parser has reported the head of a request. */
	beginRequest(req: IncomingMessage, res: ServerResponse): void {
		this._req = req;
		this._unanswered++;
		this._bodyEvents = 0;
		this._framer.beginBody(framingOf(req));
		// A body that was not read at first is read now.
		req.on('resume', () => {
			this._continue();
		});
		res.once('close', () => {
			this._unanswered--;
			if (req.complete || this._req !== req || this._framer.isEnded) {
				this._continue();
			} else {
				this._closeLingering();
			}
		});
	}

	/** Drops the bytes that wait, and all that arrive from now on. */
	discard(): void {
		this._isDiscarding = true;
		this._waiting = [];
		this._heldBytes = 0;
		this._offset = 0;
		this._settle();
	}

	/** Passes on bytes until the events of a visit are used up, and returns the number of events. */
	visit(maxEvents = eventsPerVisit): number {
		let events = 0;
		this._isParsing = true;
		while (events < maxEvents && this._canParse()) {
			events += this._parseNext(maxEvents - events);
		}

		this._isParsing = false;
		this._requestEvents += events;
		this._settle();
		return events;
	}

	private _receive(bytes: Uint8Array): void {
		if (bytes.length >= fullReadBytes) {
			this._intake.recordFullRead(bytes.length);
		}

		if (this._isDiscarding) {
			this._drop(bytes);
			return;
		}

		this._waiting.push(bytes);
		this._heldBytes += bytes.length;
		if (this._req && !this._framer.isEnded) {
			this._observer?.onBodyData(this._socket, bytes.length);
		}

		if (this._waiting.length === 1 && this._requestEvents < unqueuedEvents) {
			this.visit();
		} else {
			this._settle();
		}
	}

	private _drop(bytes: Uint8Array): void {
		this._droppedBytes += bytes.length;
		if (this._droppedBytes >= maxDroppedBytes) {
			this._socket.pause();
		}
	}

	private _closeLingering(): void {
		this.discard();
		this._lingerTimer = setTimeout(() => {
			this._socket.destroy();
		}, lingeringCloseMs);
	}

	private _continue(): void {
		if (!this._isParsing && this._waiting.length > 0) {
			this._settle();
		}
	}

	/** Whether the parser may have the next bytes. Begins the next request if the last one has ended. */
	private _canParse(): boolean {
		// A malformed message has been refused if the socket is no longer writable.
		if (this._waiting.length === 0 || !this._socket.writable) {
			return false;
		}

		if (!this._req) {
			return true;
		}

		if (this._framer.isEnded || this._req.complete) {
			if (this._unanswered >= this._intake.maxUnanswered) {
				return false;
			}

			this._req = undefined;
			this._requestEvents = 0;
			this._framer.beginHead();
			return true;
		}

		return this._req.readableFlowing === true || (this._bodyEvents < unreadEvents && this._req.readableLength < this._req.readableHighWaterMark);
	}

	private _parseNext(maxEvents: number): number {
		const first = this._waiting[0]!;
		const {length, events} = this._framer.take(first.subarray(this._offset), maxEvents);
		const part = first.subarray(this._offset, this._offset + length);
		this._offset += length;
		if (this._offset === first.length) {
			this._waiting.shift();
			this._heldBytes -= first.length;
			this._offset = 0;
		}

		this._bodyEvents += events;
		this._parse(part);
		if (this._req && this._framer.isEnded) {
			this._observer?.onBodyEnd(this._socket);
		}

		return events;
	}

	/** Queues for the next visit, and reads on or stops reading, by the bytes that wait. */
	private _settle(): void {
		if (this._socket.destroyed) {
			return;
		}

		if (this._canParse()) {
			this._intake.enqueue(this);
		}

		this._hold();
		const mustPause = this._heldBytes >= maxWaitingBytes;
		if (mustPause) {
			this._isPaused = true;
			this._socket.pause();
		} else if (this._isPaused) {
			this._isPaused = false;
			this._socket.resume();
		}
	}

	private _hold(): void {
		if (this._heldBytes === 0 && !this._holding) {
			return;
		}

		this._holding ??= this._intake.openHolding(this._socket);
		if (this._holding.resize(this._heldBytes)) {
			this._holding.recordMove(true);
		} else {
			this._intake.closeForLackOfMemory(this._socket);
		}
	}
}

function framingOf({headers}: IncomingMessage): BodyFraming {
	if (headers['transfer-encoding'] !== undefined) {
		return {kind: 'chunked'};
	}

	return {kind: 'length', length: Number(headers['content-length'] ?? 0)};
}
