/** Writes answers, and copies of them at other points of their connections, as a faulty server does. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import type {SeededRandom} from '../src/common/core/random.js';

export type WireAnswer = {
	readonly status: number;
	readonly headers: Readonly<Record<string, string>>;
	/** Parts of the body, each written by itself. */
	readonly parts: readonly string[];
	/** How the end of the body is told. */
	readonly framing: 'length' | 'chunks' | 'close';
	/** Pauses before the parts, in milliseconds; 0 where it has none. */
	readonly pausesMs?: readonly number[];
	/** Number of parts after which the connection breaks off. */
	readonly breaksAfter?: number | undefined;
};

export type CopyOptions = {
	/** Share of the answers that are written again. */
	readonly share: number;
	/** Idle time at and around which copies arrive, in milliseconds. */
	readonly idleMs: number;
};

/** Points at which copies are written: before the next answer on the connection, in one write with it, right after the answer, on the idle connection, within a stream. */
const points = ['ahead', 'ahead', 'joined', 'joined', 'behind', 'idle', 'inside'] as const;
const cuts = ['whole', 'whole', 'head', 'any'] as const;
const endings = ['none', 'none', 'none', 'close', 'reset'] as const;
/** Times between a copy and the answer that is due, in milliseconds. */
const dueDelaysMs = [0, 0, 1, 4, 30, 60];

type Copy = {readonly bytes: string; readonly ending: typeof endings[number]; readonly isJoined: boolean};

/** Number of copies for each kind of call whose answer is followed by them, and each point. */
export type CopyCounts = Map<string, number>;

function headOf({status, headers, framing, parts}: WireAnswer): string {
	const fields = {...headers, ...framingHeaders(framing, parts)};
	return `HTTP/1.1 ${status} Some Status\r\n${Object.entries(fields).map(([name, value]) => `${name}: ${value}\r\n`).join('')}\r\n`;
}

function framingHeaders(framing: WireAnswer['framing'], parts: readonly string[]): Record<string, string> {
	switch (framing) {
		case 'length': {
			return {'Content-Length': String(parts.join('').length)};
		}

		case 'chunks': {
			return {'Transfer-Encoding': 'chunked'};
		}

		case 'close': {
			return {connection: 'close'};
		}
	}
}

function framePart(framing: WireAnswer['framing'], part: string): string {
	return framing === 'chunks' && part !== '' ? `${part.length.toString(16)}\r\n${part}\r\n` : part;
}

function bytesOf(answer: WireAnswer): string {
	return headOf(answer) + answer.parts.map(part => framePart(answer.framing, part)).join('') + (answer.framing === 'chunks' ? '0\r\n\r\n' : '');
}

export class CopyWriter {
	readonly counts: CopyCounts = new Map();
	/** Answers of each connection, the oldest first. */
	private readonly _written = new WeakMap<Socket, WireAnswer[]>();
	private readonly _pending = new WeakMap<Socket, Copy[]>();
	/** Connections on which a body that is not in chunks is due: bytes that come before it pass as a part of it. */
	private readonly _dueBodies = new WeakSet<Socket>();

	constructor(private readonly _random: SeededRandom, private readonly _options: CopyOptions) {}

	/** Writes the answer, after the copies that wait on its connection. `kind` names the call in the counts. */
	async write(kind: string, {socket}: IncomingMessage, res: ServerResponse, answer: WireAnswer): Promise<void> {
		// The response is written by hand, so that its bytes may be joined with those of a copy; Node.js writes nothing by itself.
		res.detachSocket(socket);
		const copies = this._pending.get(socket)?.splice(0) ?? [];
		let joined = '';
		for (const {bytes, ending, isJoined} of copies) {
			if (isJoined) {
				joined += bytes;
				continue;
			}

			socket.write(bytes, 'latin1');
			if (await this._end(socket, ending)) {
				return;
			}
		}

		if (copies.length > 0 && joined === '') {
			await sleep(this._random.pick(dueDelaysMs));
		}

		const earlier = this._written.get(socket) ?? [];
		this._written.set(socket, [...earlier, answer]);
		await this._writeAnswer(kind, socket, answer, joined);
		res.emit('close');
		if (answer.framing === 'close' || answer.breaksAfter !== undefined) {
			socket.end();
		} else if (this._random.next() < this._options.share) {
			this._plan(kind, socket);
		}
	}

	private async _writeAnswer(kind: string, socket: Socket, {parts, pausesMs = [], framing, breaksAfter, ...rest}: WireAnswer, ahead: string): Promise<void> {
		const copiedPart = parts.length > 1 && this._random.next() < this._options.share / 4 ? this._random.integer(1, parts.length) : -1;
		let bytes = ahead + headOf({...rest, framing, parts});
		for (const [i, part] of parts.entries()) {
			if (i === breaksAfter) {
				socket.write(bytes, 'latin1');
				socket.resetAndDestroy();
				return;
			}

			if ((pausesMs[i] ?? 0) > 0) {
				socket.write(bytes, 'latin1');
				bytes = '';
				if (framing !== 'chunks') {
					this._dueBodies.add(socket);
				}

				await sleep(pausesMs[i]);
			}

			if (i === copiedPart) {
				// Either an earlier part of the body, framed as one, or a whole answer.
				const isPart = this._random.next() < 0.5;
				this._count(kind, isPart ? 'part' : 'inside');
				bytes += isPart ? framePart(framing, parts[i - 1]!) : bytesOf({...rest, framing, parts});
			}

			bytes += framePart(framing, part);
		}

		socket.write(bytes + (framing === 'chunks' ? '0\r\n\r\n' : ''), 'latin1');
		this._dueBodies.delete(socket);
	}

	private _plan(kind: string, socket: Socket): void {
		const point = this._random.pick(points);
		const copies = Array.from({length: this._random.pick([1, 1, 1, 2, 3])}, () => this._copyOf(socket, point === 'joined'));
		this._count(kind, point);
		if (point === 'ahead' || point === 'joined') {
			this._pending.set(socket, copies);
		} else {
			const {idleMs} = this._options;
			const delayMs = point === 'behind' ? this._random.integer(0, 3) : this._random.pick([this._random.integer(3, 2 * idleMs), idleMs + this._random.integer(-3, 4)]);
			void this._writeLater(socket, copies, delayMs);
		}
	}

	private async _writeLater(socket: Socket, copies: readonly Copy[], delayMs: number): Promise<void> {
		await (delayMs > 0 && sleep(delayMs));
		for (const {bytes, ending} of copies) {
			if (!socket.writable || this._dueBodies.has(socket)) {
				return;
			}

			socket.write(bytes, 'latin1');
			if (await this._end(socket, ending)) {
				return;
			}
		}
	}

	private _copyOf(socket: Socket, isJoined: boolean): Copy {
		const bytes = bytesOf(this._random.pick(this._written.get(socket)!.slice(-3)));
		const cut = this._random.pick(cuts);
		const length = cut === 'whole' ? bytes.length : this._random.integer(1, cut === 'head' ? bytes.indexOf('\r\n\r\n') + 4 : bytes.length);
		return {bytes: bytes.slice(0, length), ending: isJoined ? 'none' : this._random.pick(endings), isJoined};
	}

	/** Ends the connection as planned. Returns whether it has ended. */
	private async _end(socket: Socket, ending: Copy['ending']): Promise<boolean> {
		if (ending === 'none') {
			return false;
		}

		await sleep(this._random.pick([0, 0, 5]));
		if (ending === 'close') {
			socket.end();
		} else {
			socket.resetAndDestroy();
		}

		return true;
	}

	private _count(kind: string, point: string): void {
		const key = `${kind} ${point}`;
		this.counts.set(key, (this.counts.get(key) ?? 0) + 1);
	}
}
