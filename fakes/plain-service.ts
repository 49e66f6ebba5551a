import {createHash} from 'node:crypto';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {text} from 'node:stream/consumers';
import {setTimeout as sleep} from 'node:timers/promises';
import type {Fault} from './faults.js';
import {FakeServer} from './server.js';
import type {FakeServerOptions} from './server.js';

export type FakePlainServiceOptions = FakeServerOptions & {
	/** Service time of one call, in milliseconds. */
	readonly serviceMs?: number;
	/** Calls served at once; further calls wait. */
	readonly concurrency?: number;
};

/** One call that ran. */
export type PlainCall = {
	/** When the call arrived, in Unix milliseconds. */
	readonly startedMs: number;
	readonly method: string;
	readonly path: string;
	readonly idempotencyKey: string | undefined;
	/** SHA-256 of the body, in hexadecimal. */
	readonly bodyDigest: string;
	/** The caller's reference: the query parameter `ref`, or the JSON body's `ref`. */
	readonly ref: string | undefined;
};

/** What a plain service did, as `GET /control/record` answers it. */
export type PlainRecord = {
	readonly kind: 'plain';
	/** Requests that carried an `Authorization` header; no upstream may see a key. */
	readonly keysSeen: number;
	readonly calls: readonly PlainCall[];
};

/** Calls remembered for the record. */
const maxRecorded = 200_000;

function refOf(url: URL, body: string): string | undefined {
	const inQuery = url.searchParams.get('ref');
	if (inQuery !== null || body === '') {
		return inQuery ?? undefined;
	}

	try {
		const {ref} = JSON.parse(body) as {ref?: unknown};
		return typeof ref === 'string' ? ref : undefined;
	} catch {
		return undefined;
	}
}

/** A plain application service that runs every call it receives, without removing duplicates. */
export class FakePlainService extends FakeServer {
	private readonly _calls: PlainCall[] = [];
	private readonly _waiting: Array<() => void> = [];
	private readonly _serviceMs: number;
	private readonly _concurrency: number;
	private _running = 0;
	private _afterRun: 'answer' | 'hold' | 'reset' = 'answer';

	constructor(options: FakePlainServiceOptions) {
		super(options);
		this._serviceMs = options.serviceMs ?? 10;
		this._concurrency = options.concurrency ?? 64;
	}

	override record(): PlainRecord {
		return {kind: 'plain', keysSeen: this.keysSeen, calls: this._calls};
	}

	protected override applyFault({fault}: Fault): void {
		const behaviours: Partial<Record<Fault['fault'], FakePlainService['_afterRun']>> = {none: 'answer', 'hold-answers': 'hold', 'reset-answers': 'reset'};
		this._afterRun = behaviours[fault] ?? this._afterRun;
	}

	protected override async serve(req: IncomingMessage, res: ServerResponse): Promise<void> {
		const body = await text(req);
		const url = new URL(req.url ?? '/', 'http://service');
		const call: PlainCall = {
			startedMs: Date.now(),
			method: req.method ?? 'GET',
			path: url.pathname,
			idempotencyKey: req.headers['idempotency-key'] as string | undefined,
			bodyDigest: createHash('sha256').update(body).digest('hex'),
			ref: refOf(url, body),
		};
		await this._takeTurn();
		try {
			await sleep(this._serviceMs * this.slowness);
		} finally {
			this._endTurn();
		}

		this._remember(call);
		if (this._afterRun === 'reset') {
			req.socket.resetAndDestroy();
		} else if (this._afterRun === 'answer') {
			this.reply(res, call.method === 'POST' ? 201 : 200, {
				service: this.name, method: call.method, path: call.path, ref: call.ref ?? '', bodyDigest: call.bodyDigest,
			});
		}
	}

	private _remember(call: PlainCall): void {
		this._calls.push(call);
		if (this._calls.length > maxRecorded) {
			this._calls.shift();
		}
	}

	private async _takeTurn(): Promise<void> {
		if (this._running >= this._concurrency) {
			await new Promise<void>(resolve => {
				this._waiting.push(resolve);
			});
		}

		this._running++;
	}

	private _endTurn(): void {
		this._running--;
		this._waiting.shift()?.();
	}
}
