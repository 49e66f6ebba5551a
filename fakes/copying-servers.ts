/** Plain servers and engines that run requests, keep reservations and KV caches, and write copies of their answers. Record which rules calls to them break. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {SeededRandom} from '../src/common/core/random.js';
import {CopyWriter} from './copy-writer.js';
import type {CopyOptions, WireAnswer} from './copy-writer.js';

/** A request that a server ran. */
export type WireRun = {
	readonly requestId: string;
	readonly server: string;
	readonly startedMs: number;
	endedMs: number | undefined;
	readonly stamp: string;
	readonly status: number;
	readonly body: string;
};

type Reservation = {user: string | undefined; isReleased: boolean; isUsed: boolean};
type KvCache = {readonly owner: string; readonly atMs: number; isTaken: boolean; isReleased: boolean};

/** Number of events of a stream. */
export const eventCount = 6;
/** Time to live of a KV cache, in milliseconds. */
const cacheTtlMs = 500;
/** Silence after which the router seeks another engine, exceeded, in milliseconds. */
const silenceMs = 700;
const framings = ['length', 'chunks', 'chunks', 'close'] as const;

/** Returns the event that every run of the request writes at this point. */
export function eventOf(requestId: string, id: number): string {
	return `id: ${id}\ndata: ${requestId} writes ${id}\n\n`;
}

export class CopyingServers {
	readonly runs: WireRun[] = [];
	/** Rules that calls broke, as text. */
	readonly violations: string[] = [];
	readonly orders: string[] = [];
	readonly writer: CopyWriter;
	private readonly _reservations = new Map<string, Reservation>();
	private readonly _caches = new Map<string, KvCache>();
	private _next = 1;

	constructor(private readonly _random: SeededRandom, options: CopyOptions) {
		this.writer = new CopyWriter(_random, options);
	}

	readonly handle = (req: IncomingMessage, res: ServerResponse): boolean => {
		const {url = '', socket: {localPort}} = req;
		const server = `127.0.0.1:${localPort}`;
		const id = url.slice(url.lastIndexOf('/') + 1);
		const write = (kind: string, answer: Partial<WireAnswer> & {readonly status: number}) => {
			const requestId = req.headers['request-id'] as string | undefined;
			const {headers = {}, ...rest} = answer;
			void this.writer.write(kind, req, res, {
				headers: {...(this._isLikely(0.5) && {date: 'Sat, 05 Dec 2026 08:00:00 GMT'}), ...(requestId !== undefined && {'Request-Id': requestId}), ...headers},
				parts: [], framing: this._random.pick(framings), ...rest,
			});
		};

		switch (url.split('/', 3).slice(1).join('/')) {
			case 'v1/hold-take': {
				write('reserve', this._reserve(server));
				break;
			}

			case 'v1/hold-drop': {
				this._releaseReservation(`${server} ${id}`);
				write('release reservation', {status: 200, parts: ['{}']});
				break;
			}

			case 'v1/kv-handle': {
				this._releaseCache(`${server}/${id}`);
				write('release cache', {status: 200, parts: this._isLikely(0.5) ? [] : ['{}']});
				break;
			}

			case 'v1/report': {
				write('report', {status: 200, parts: [JSON.stringify({stage: 'decode', busy: false, seq: 0})]});
				break;
			}

			case 'v1/order': {
				this.orders.push(server);
				write('order', {status: 202});
				break;
			}

			case 'healthz': {
				write('health', {status: 200, parts: ['ok']});
				break;
			}

			default: {
				if (req.headers.stage === 'prefill') {
					write('prefill', this._prefill(server, req));
				} else {
					write(...this._run(server, req));
				}
			}
		}

		return true;
	};

	runsOf(requestId: string): WireRun[] {
		return this.runs.filter(run => run.requestId === requestId);
	}

	private _isLikely(share: number): boolean {
		return this._random.next() < share;
	}

	private _reserve(server: string) {
		if (this._isLikely(0.3)) {
			return {status: 503, headers: {'Not-Run': '1'}};
		}

		const id = `h${this._next++}`;
		this._reservations.set(`${server} ${id}`, {user: undefined, isReleased: false, isUsed: false});
		return {status: 200, parts: [JSON.stringify({hold: id})]};
	}

	private _releaseReservation(key: string): void {
		const reservation = this._reservations.get(key);
		if (!reservation) {
			this.violations.push(`${key} is released and was not granted`);
		} else if (reservation.isUsed) {
			this.violations.push(`${key} is released while ${reservation.user} uses it`);
		} else {
			reservation.isReleased = true;
		}
	}

	private _releaseCache(key: string): void {
		const cache = this._caches.get(key);
		if (cache) {
			cache.isReleased = true;
		} else {
			this.violations.push(`${key} is released and does not exist`);
		}
	}

	private _prefill(server: string, {headers}: IncomingMessage): Partial<WireAnswer> & {readonly status: number} {
		if (this._isLikely(0.12)) {
			return this._isLikely(0.5) ? {status: 503, headers: {'Not-Run': '1'}} : {status: 500};
		}

		const handle = `kv${this._next++}`;
		this._caches.set(`${server}/${handle}`, {
			owner: headers['request-id'] as string, atMs: performance.now(), isTaken: false, isReleased: false,
		});
		return {status: 200, parts: [JSON.stringify({kvHandle: handle, tokens: 10, version: 1})], headers: {'Content-Type': 'application/json'}};
	}

	/** Returns the kind and the answer of a request, and records its run unless it is rejected. */
	private _run(server: string, req: IncomingMessage): [string, Partial<WireAnswer> & {readonly status: number}] {
		const {headers, url = ''} = req;
		const requestId = headers['request-id'] as string;
		const isStream = headers.model !== undefined;
		const isResumed = headers['last-event-id'] !== undefined;
		const kind = isStream ? (isResumed ? 'resumed run' : 'run') : 'plain';
		const hasMemory = this._takeCache(requestId, headers['kv-from'] as string | undefined);
		const isRejected = !hasMemory || this._isLikely(0.25);
		this._useReservation(requestId, server, headers['kv-hold'] as string | undefined, isRejected);
		if (isRejected) {
			return [kind, {status: 503, headers: {'Not-Run': '1'}}];
		}

		const isFailure = this._isLikely(0.08);
		const first = Number(headers['last-event-id'] ?? 0) + 1;
		const events = Array.from({length: Math.max(0, eventCount + 1 - first)}, (_, i) => eventOf(requestId, first + i));
		const framing = this._random.pick(isStream ? ['chunks', 'chunks', 'close'] as const : ['length', 'chunks'] as const);
		const breaksAfter = isStream && this._isLikely(0.15) ? this._random.integer(0, events.length + 1) : undefined;
		// Names the plan of the answer, so that a failure shows it.
		const stamp = `stamp-${this._next++}-${framing}-${breaksAfter ?? 'whole'}`;
		const parts = isFailure ? [`failure of ${requestId}`] : (isStream ? events : [`${url} of ${requestId} at ${stamp}`]);
		const run: WireRun = {
			requestId, server, startedMs: performance.now(), endedMs: undefined, stamp, status: isFailure ? 500 : 200, body: parts.join(''),
		};
		this.runs.push(run);
		req.socket.once('close', () => {
			run.endedMs ??= performance.now();
		});
		const silentAt = this._isLikely(0.04) ? this._random.integer(0, parts.length + 1) : -1;
		return [kind, {
			status: run.status,
			parts,
			headers: {'Server-Stamp': stamp, ...(isStream && {'Content-Type': 'text/event-stream'})},
			pausesMs: parts.map((_, i) => i === silentAt ? silenceMs : (isStream ? this._random.pick([0, 0, 2, 10]) : 0)),
			framing,
			breaksAfter: breaksAfter !== undefined && breaksAfter < parts.length ? breaksAfter : undefined,
		}];
	}

	/** Takes the KV cache that the request names. Returns false if it is gone, and true if the request names none. */
	private _takeCache(requestId: string, source: string | undefined): boolean {
		if (source === undefined) {
			return true;
		}

		const cache = this._caches.get(source);
		if (cache?.owner !== requestId) {
			this.violations.push(`${requestId} goes on from ${source}, the memory of ${cache?.owner}`);
		}

		if (cache?.isTaken) {
			this.violations.push(`${requestId} goes on from ${source} again`);
		}

		if (!cache || cache.isTaken || cache.isReleased || performance.now() - cache.atMs > cacheTtlMs) {
			return false;
		}

		cache.isTaken = true;
		return true;
	}

	private _useReservation(requestId: string, server: string, id: string | undefined, isRejected: boolean): void {
		if (id === undefined) {
			return;
		}

		const key = `${server} ${id}`;
		const reservation = this._reservations.get(key);
		if (!reservation || reservation.user !== undefined || reservation.isReleased) {
			this.violations.push(`${requestId} uses ${key}, which ${reservation?.isReleased ? 'was released' : `belongs to ${reservation?.user}`}`);
		}

		if (reservation) {
			reservation.user ??= requestId;
			reservation.isUsed ||= !isRejected;
		}
	}
}
